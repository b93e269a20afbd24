"""Seeded plays of a journal service that is fast, slow, dead, refusing or moved, beside stalls of the placer.

Each drain has to be known within the time that docs/relay.md states, counted from the last trouble that excuses it.
By hand, for more plays: `DISCOVERY_PLAY_SEEDS=1-200 python -m pytest tests/relay/test_discovery_plays.py`.
"""

from __future__ import annotations

import os
from dataclasses import dataclass
from random import Random

import pytest

from tests.relay.slow_journal import LOOK_US, SlowJournal
from tests.relay.stage import MS, Machine, S, Stage
from tests.relay.test_list import change_address, phase
from tests.slow_service import Order
from wingbarrow import interface as api
from wingbarrow.decide.long_poll import CALL_INTERVAL_US, MAX_CALLS

PLAY_US = 180 * S
# The slowest phase that is drawn after a dead one: calls that were lost then leave that much to those that follow.
MAX_LATE_MS = 2500
RETRY_US = 1900 * MS  # from call to call at a silent or refusing service
ROUNDING_US = LOOK_US + 10 * MS
PHASES = ("fast", "slow", "dead", "refuses", "moves", "stalls")


def seeds() -> list[int]:
    """The seeds to play: those of DISCOVERY_PLAY_SEEDS (`first-last`), else a few."""
    first, _, last = os.environ.get("DISCOVERY_PLAY_SEEDS", "1-6").partition("-")
    return list(range(int(first), int(last or first) + 1))


@dataclass
class Change:
    """A change of a machine's phase, and until when the placer has to know it."""

    told_us: int
    due_us: int | None = None  # None while the service is dead or refuses


class Play:
    """One play: what happens is drawn from its seed."""

    def __init__(self, stage: Stage, seed: int) -> None:
        self.stage, self.hub, self.random = stage, stage.hub, Random(seed)
        self.journal = SlowJournal(stage.hub, order=self.random.choice(list(Order)))
        self.journal.events = list(stage.journal.events)
        change_address(stage, self.journal)
        self.journals = [self.journal]
        self.machine = Machine(stage.hub, "s-changing")
        self.lifecycle = "Ready"
        self.change: Change | None = None
        self.worst_us = 0
        self.changes = 0
        self.slow_until_us = 0  # calls that began in an earlier phase may be as late as in that

    def run(self) -> None:
        """Play, and check each change."""
        end_us = self.hub.now_us() + PLAY_US
        next_phase_us = next_change_us = self.hub.now_us()
        while self.hub.now_us() < end_us:
            now = self.hub.now_us()
            if now >= next_phase_us:
                self._begin_phase()
                next_phase_us = now + self.random.randrange(2000, 15_000) * MS
            if now >= next_change_us and self.change is None:
                self._tell_change()
                next_change_us = now + self.random.randrange(500, 6000) * MS
            self._check()
            self.stage.sleep(5)

    def _begin_phase(self) -> None:
        what = self.random.choice(PHASES)
        journal = self.journal
        excused = journal.is_dead or journal.refuses
        if what == "moves":
            journal = self._move()
        elif what == "stalls":
            stall_us = self.random.randrange(100, 2500) * MS
            self.hub.clock.jump(self.hub.now_us() + stall_us)
            self._postpone(self.hub.now_us() + self._longest_us())
            return
        journal.is_dead, journal.refuses = what == "dead", what == "refuses"
        journal.late_us = self.random.randrange(MAX_LATE_MS) * MS if what == "slow" else 0
        if journal.is_dead or journal.refuses:
            self._excuse()
        elif excused or what in ("moves", "slow"):
            # Calls of the phase before may be lost, or be late as in that phase.
            self._postpone(self.hub.now_us() + RETRY_US + self._longest_us())

    def _move(self) -> SlowJournal:
        moved = SlowJournal(self.hub, order=self.journal.order)
        moved.events = list(self.journal.events)
        self.journals.append(moved)
        self.journal = moved
        change_address(self.stage, moved)
        return moved

    def _longest_us(self) -> int:
        return CALL_INTERVAL_US + MAX_LATE_MS * MS + ROUNDING_US

    def _excuse(self) -> None:
        if self.change is not None:
            self.change.due_us = None

    def _postpone(self, due_us: int) -> None:
        if self.change is not None and not (self.journal.is_dead or self.journal.refuses):
            self.change.due_us = max(due_us, self.change.due_us or 0)
        self.slow_until_us = due_us

    def _tell_change(self) -> None:
        self.lifecycle = "Terminating" if self.lifecycle == "Ready" else "Ready"
        self.journal.add(self.machine.entry(self.lifecycle))
        now = self.hub.now_us()
        self.change = Change(now)
        if not (self.journal.is_dead or self.journal.refuses):
            bound_us = CALL_INTERVAL_US + self.journal.late_us + ROUNDING_US
            self.change.due_us = max(now + bound_us, self.slow_until_us)

    def _check(self) -> None:
        change, now = self.change, self.hub.now_us()
        if change is None:
            return
        expected = api.Phase.DRAINING if self.lifecycle == "Terminating" else api.Phase.RUNNING
        if phase(self.stage, self.machine) is expected:
            self.worst_us = max(self.worst_us, now - change.told_us)
            self.change, self.changes = None, self.changes + 1
        else:
            assert change.due_us is None or now <= change.due_us, (
                f"told {(now - change.told_us) // MS} ms ago, late {self.journal.late_us // MS} ms"
            )


@pytest.mark.parametrize("seed", seeds())
def test_each_change_of_a_machine_is_known_in_the_stated_time(seed: int) -> None:
    def play(stage: Stage) -> None:
        played = Play(stage, seed)
        played.run()
        assert played.changes >= 10
        calls = sum(len(journal.calls) for journal in played.journals)
        refused_calls = stage.placer.runtime.counts["journal_failures"]
        # A call a second, one for each event, and those that were refused.
        assert calls <= PLAY_US // S + len(played.journal.events) + refused_calls + len(
            played.journals
        )
        assert stage.placer.runtime.counts["journal_went_back"] == 0
        assert stage.placer._follower._pool._open <= MAX_CALLS + 1
        assert stage.ended_us is None
        print(f"seed {seed}: {played.changes} changes, {calls} calls, {played.worst_us} us at most")

    Stage().run(play)
