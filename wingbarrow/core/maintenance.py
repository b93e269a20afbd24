"""Turns as the core carries them out: machines closed and asked, own tasks moved away, what is told of the region.

What is out when is decided by the voters (`decide.maintenance.scheduler`); this room is the eyes of this placer's side
of it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from wingbarrow import interface as api
from wingbarrow.core.attempts import Attempts
from wingbarrow.core.base import Base
from wingbarrow.core.drain_schedule import Closing
from wingbarrow.core.fleet import Fleet
from wingbarrow.core.machines import Machines
from wingbarrow.core.outlier_ejection import FAULTS
from wingbarrow.core.stops import Stops
from wingbarrow.decide.coordination.coordinator import Coordinator
from wingbarrow.decide.drains import MachineState
from wingbarrow.decide.maintenance.calendar import wanted
from wingbarrow.decide.maintenance.participant import KnownSlot, MaintenanceMember
from wingbarrow.decide.maintenance.slots import RegionView, SlotRequest
from wingbarrow.decide.rulesets.ruleset import RuleSet
from wingbarrow.kube import names

SECOND = 1_000_000
LOOK_US = SECOND // 4
ASK_US, SELDOM_US = (
    SECOND,
    5 * SECOND,
)  # between words with a machine: by the one that is to, by the others
WORD_US = 10 * SECOND  # a machine's word counts for so long
LOST_US = 600 * SECOND  # a machine that vanished without a drain counts as lost for so long
DEAF_US = 10 * SECOND  # one that is listed, and not reached for so long, counts as lost
WANTS_US = 2 * SECOND
STRIKES = 3  # verdicts on one machine before it asks for a turn
CALLS_MOST = 32  # words with machines at once


@dataclass(slots=True)
class _Talk:
    """With one machine, about one turn."""

    word: str = ""
    at_us: int = -WORD_US
    asked_us: int = -SELDOM_US
    came_to: str = ""  # what starts there came to since this placer tries it
    out: bool = False  # a call is under way


@dataclass(slots=True)
class _Seen:
    """A machine of the list, when it ran last, and since when it is not reached."""

    zone: str
    cell: str
    at_us: int
    deaf_us: int | None = field(default=None)


class MaintenanceSlots:
    """`rules`: those in force; `agreement` gives the state machine that placers agree by, once there is one."""

    def __init__(
        self,
        base: Base,
        fleet: Fleet,
        machines: Machines,
        attempts: Attempts,
        stops: Stops,
        closing: Closing,
        side: MaintenanceMember,
        agreement: Callable[[], Coordinator | None],
        rules: Callable[[], RuleSet | None],
    ) -> None:
        self._base, self._fleet, self._machines, self._attempts = base, fleet, machines, attempts
        self._stops, self._closing, self.side = stops, closing, side
        self._agreement, self._rules = agreement, rules
        self._talks: dict[int, _Talk] = {}
        self._seen: dict[str, _Seen] = {}
        self._shut: frozenset[str] = frozenset()
        self._wants: tuple[int, list[SlotRequest]] = -WANTS_US, []
        self._allowance, self._earned_us = 0.0, base.hub.now_us()
        self._calls = 0
        side.eyes = self
        closing.turned = side.closes

    # -- what the side asks

    def listed(self, machine: str) -> bool:
        """Whether the list has it; True where this placer cannot tell: without a list, and of machines left out."""
        return machine in self._fleet.held or not self._fleet.must_tell(machine)

    def place(self, machine: str) -> tuple[str, str] | None:
        """Where the list has it."""
        entry = self._fleet.held.get(machine)
        if entry is None:
            return None
        labels = entry.value["metadata"].get("labels") or {}
        return entry.listed.zone, str(labels.get(names.CELL, machine))

    def tasks(self, machine: str) -> int:
        """Own tasks there or on their way, owed stops included; -1 while the machine has not told what it runs."""
        entry, link = self._fleet.held.get(machine), self._machines.links.get(machine)
        if not self._fleet.ready or (entry is not None and self._fleet.closed_by_start(entry)):
            return -1
        return (
            len(self._attempts.on(link)) + self._stops.pending_on(link) if link is not None else 0
        )

    def word(self, number: int) -> str:
        """What the machine said last, as long as that counts."""
        talk = self._talks.get(number)
        return (
            talk.word if talk is not None and self._base.hub.now_us() - talk.at_us < WORD_US else ""
        )

    def came_to(self, number: int) -> str:
        """What starts at a machine that this placer tries came to."""
        talk = self._talks.get(number)
        return talk.came_to if talk is not None else ""

    def view(self) -> RegionView | None:
        """The region as this placer's list has it; None before there is a list."""
        if not self._fleet.ready:
            return None
        states = {each.name: each for each in self._closing.machine_states()}
        cells = Counter((each.zone, each.cell) for each in self._seen.values())
        now, agreement = self._base.hub.now_us(), self._agreement()
        bad = agreement.ejections.now(now) if agreement is not None else frozenset()
        lost = [
            (name, each.zone, each.cell)
            for name, each in self._seen.items()
            if name in bad or self._is_lost(now, each, states.get(name))
        ]
        return RegionView(
            tuple((zone, cell, count) for (zone, cell), count in sorted(cells.items())),
            tuple(sorted(lost)),
            self._used(list(states.values())),
        )

    def _is_lost(self, now: int, seen: _Seen, state: MachineState | None) -> bool:
        deaf = seen.deaf_us is not None and now - seen.deaf_us >= DEAF_US
        return state is None or not state.running or deaf

    def _used(self, states: Sequence[MachineState]) -> float:
        """Machines' worth of what is asked for, filled as far as the calendar lets them be."""
        rules = self._rules()
        fill = rules.plan.fill if rules is not None else 1.0
        shares = []
        for which in (0, 1):
            size = sum(each.size[which] for each in states)
            shares.append(
                sum(each.asked[which] for each in states) / (fill * size) if size else 0.0
            )
        return max(0.0, *shares) * len(
            states
        )  # by estimate: a list may tell of more room than there is

    def wants(self) -> Sequence[SlotRequest]:
        """What windows want by now, and machines that verdicts closed again and again."""
        now, rules = self._base.hub.now_us(), self._rules()
        if rules is None or now - self._wants[0] < WANTS_US:
            return self._wants[1]
        states = self._closing.machine_states()
        found = wanted(rules, states, self._base.hub.clock.wall_us())
        agreement = self._agreement()
        struck = agreement.ejections.again_and_again(now, STRIKES) if agreement is not None else []
        for each in states:
            if each.name in struck:
                ident = f"verdict-{each.name}-{self._base.hub.clock.wall_us() // LOST_US}"
                found.append(
                    SlotRequest(ident, each.name, each.zone, each.cell, "verdict", 6, 0, 0)
                )
        self._wants = now, found
        return found

    def noting(
        self, then: Callable[[str, api.Outcome | None], None]
    ) -> Callable[[str, api.Outcome | None], None]:
        """Who is told what attempts came to, and tells somebody else."""

        def note(machine: str, outcome: api.Outcome | None) -> None:
            self.note(machine, outcome)
            then(machine, outcome)

        return note

    def note(self, machine: str, outcome: api.Outcome | None) -> None:
        """What an attempt came to at a machine; None: it runs."""
        for turn in self.side.turns.values():
            if turn.machine == machine and turn.state == "back" and turn.hand == self.side.me:
                talk = self._talks.setdefault(turn.number, _Talk())
                if talk.came_to != "well" and (outcome is None or outcome in FAULTS):
                    talk.came_to = "well" if outcome is None else "bad"

    # -- what it does

    def changed(self) -> None:
        """A grant told of other turns: close and open machines at once."""
        before, self._shut = self._shut, self.side.shut
        self._closing.pass_again(before ^ self._shut)
        self._talks = {
            number: talk for number, talk in self._talks.items() if number in self.side.turns
        }

    def run(self) -> None:
        """Look at turns until cancelled."""
        while True:
            self._look()
            self._base.hub.sleep(LOOK_US)

    def _look(self) -> None:
        now = self._base.hub.now_us()
        if self._fleet.ready:
            self._look_at_list(now)
        if self._shut != self.side.shut:
            self.changed()
        for turn in list(self.side.turns.values()):
            if turn.state != "asked":
                self._speak(now, turn)
        self._move(now)

    def _look_at_list(self, now: int) -> None:
        """Which machines belong here; one that the list drained is out by intent, one that vanished counts as lost."""
        for state in self._closing.machine_states():
            seen = self._seen.setdefault(state.name, _Seen(state.zone, state.cell, now))
            seen.zone, seen.cell, seen.at_us = state.zone, state.cell, now
            link = self._machines.links.get(state.name)
            if link is not None and link.reachable:
                seen.deaf_us = None
            elif seen.deaf_us is None:
                seen.deaf_us = now
        for name in [name for name, each in self._seen.items() if now - each.at_us > LOST_US]:
            del self._seen[name]

    def _speak(self, now: int, turn: KnownSlot) -> None:
        """Tell the machine the turn's number, and hear what it says; all may, one is to."""
        link = self._machines.links.get(turn.machine)
        mine, talk = turn.hand == self.side.me, self._talks.setdefault(turn.number, _Talk())
        if (
            link is None
            or talk.out
            or self._calls >= CALLS_MOST
            or (turn.state == "back" and not mine)
        ):
            return
        urgent = mine and (
            turn.state in ("closing", "empty") or (turn.state == "back" and talk.word != "open")
        )
        if now - talk.asked_us < (ASK_US if urgent else SELDOM_US):
            return
        talk.asked_us, talk.out = now, True
        self._calls += 1

        def ask() -> None:
            try:
                word = link.turn(turn.number, turn.state != "back")
            finally:
                self._calls -= 1
                talk.out = False
            if word:
                talk.word, talk.at_us = word, self._base.hub.now_us()
            else:
                self._base.counts["turns:no word"] += 1

        self._base.spawn(ask, f"turn {turn.number}")

    def _move(self, now: int) -> None:
        """Own tasks away from closed machines, at this placer's share of the calendar's pace."""
        rules, agreement = self._rules(), self._agreement()
        if rules is None or agreement is None or agreement.rules_in_force(now) is None:
            return  # Danger: what is stopped here while this placer may act on no rules could not be started elsewhere
        share = rules.plan.moves / max(1, self._base.settings.scheduler.placers)
        passed, self._earned_us = max(0, now - self._earned_us), now
        self._allowance = min(
            max(1.0, share), self._allowance + share * passed / rules.plan.every_us
        )
        if self._allowance < 1 or not self._shut:
            return
        running = self._closing.own_running()
        for turn in sorted(self.side.turns.values(), key=lambda each: each.number):
            for task in running.get(turn.machine, []) if turn.machine in self._shut else ():
                if task.movable and not task.offered and self._allowance >= 1:
                    self._allowance -= 1
                    self._closing.move_task(
                        task.request, f"turn {turn.number} takes its machine out"
                    )
