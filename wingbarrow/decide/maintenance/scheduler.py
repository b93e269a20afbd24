"""The leader's part of turns: what is proposed when, and the proof without which no machine is given out.

What it goes by beside the log is its own and known anew after an election: what placers said last and until when each
may act, which region is in reach, who holds a turn. `out` is proposed only where, as of now, (1) every placer that may
act has confirmed under the turn's number that nothing of its is at the machine or on its way; one whose grant has
lapsed cannot act any more, but by a floor, which knows of no turns; so (2) the machine itself, told the number, has
said that it refuses new work and holds nothing; (3) the budgets have room for it, whatever else was lost meanwhile.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field

from wingbarrow.decide.coordination.leases import lease_expiry_us
from wingbarrow.decide.coordination.subsystem import Proposal
from wingbarrow.decide.maintenance.budgets import BudgetUse
from wingbarrow.decide.maintenance.slots import (
    AGE_US,
    OVER,
    MaintenanceReport,
    MaintenanceResponse,
    RegionView,
    Slot,
    SlotQueue,
    short_ident,
)
from wingbarrow.decide.quotas.escrow import Requester
from wingbarrow.decide.quotas.limits import drifted_us
from wingbarrow.decide.rulesets.ruleset import RuleSet

SECOND = 1_000_000
PLACERS_MOST = 4096
TOLD_MOST = 64  # turns that are asked for, in one grant, beside all that are active
PROPOSED_MOST = 16  # entries at a time
LOOK_US = SECOND // 4  # between looks at all turns
TAKEN_BACK = "its window was taken back"


@dataclass(frozen=True, slots=True)
class MaintenanceTiming:
    """In microseconds. `grant_us` is the agreement's; the rest is the leader's reckoning, by its own clock."""

    grant_us: int = 2 * SECOND
    view_us: int = 6 * SECOND  # a region whose teller was not heard of for so long is out of reach
    count_us: int = (
        3 * SECOND
    )  # placers that have not counted their tasks by then are not waited for
    lease_us: int = 30 * SECOND  # of a worker
    try_us: int = (
        30 * SECOND
    )  # a machine that is back and got nothing to start is taken for good then
    gone_us: int = 600 * SECOND  # a machine that no list has: its turn is over then
    patience_us: int = 10 * AGE_US  # who has waited for so long keeps room from later ones

    def lapse_us(self) -> int:
        """For how long after a grant its holder may act, at the most, by the leader's clock."""
        return lease_expiry_us(0, self.grant_us)


@dataclass(slots=True)
class _Placer:
    life: int
    number: int
    heard_us: int
    said: MaintenanceReport


@dataclass(slots=True)
class _Watch:
    """What this leader knows of one turn beside the log."""

    since_us: int  # from when on it is in its state, as far as this leader knows
    state: str
    gone_us: int | None = None  # since when its machine was on no list
    renewed_us: int = 0
    asked: list[tuple[int, int]] = field(
        default_factory=list
    )  # renewals not confirmed yet: number, when


class MaintenanceScheduler:
    """A chapter. `wall_us` gives the wall clock at a time of the host's clock."""

    name = "turns"

    def __init__(
        self, me: str, wall_us: Callable[[int], int], times: MaintenanceTiming = MaintenanceTiming()
    ) -> None:
        self.me, self._wall_us, self.times = me, wall_us, times
        self.queue = SlotQueue()
        self.held_back: Callable[[int, str], float] = (
            lambda now_us, region: 0.0
        )  # in machines' worth
        self.leads = False
        self._began_us = 0
        self._placers: dict[str, _Placer] = {}
        self._given: dict[str, int] = {}  # until when a placer may act, at the latest
        self._watches: dict[int, _Watch] = {}
        self._views: dict[str, tuple[int, str, RegionView]] = {}  # by region: when, who, what
        self._wants: dict[str, dict[str, object]] = {}  # requests to be proposed, by ident
        self._hands: dict[int, tuple[int, str]] = {}  # as of when, by turn
        self._looked_us = -LOOK_US
        self.blocked: dict[
            int, str
        ] = {}  # why a turn that waits is not closing, as of the last look

    # -- the voters' side

    def apply(self, kind: str, value: dict[str, object]) -> None:
        """One decided entry."""
        self.queue.apply(kind, value)

    def snapshot(self) -> str:
        """The queue."""
        return self.queue.text()

    def restore(self, text: str) -> None:
        """The queue as it was."""
        self.queue.restore(text)

    # -- the leader's

    def on_leadership_change(self, now_us: int, on: bool) -> None:
        """Begin anew: nothing that an earlier leader was told counts."""
        self.leads, self._began_us = on, now_us
        self._placers, self._given, self._watches, self._views, self._wants = {}, {}, {}, {}, {}
        self.blocked, self._hands, self._looked_us = {}, {}, now_us - LOOK_US

    def on_report(self, now_us: int, asker: Requester, said: MaintenanceReport | None) -> None:
        """What a placer says, in place of what it said before."""
        if said is None:
            return
        held = self._placers.get(asker.ident)
        if held is not None and (asker.life, asker.number) <= (held.life, held.number):
            return  # late or doubled
        if held is None and len(self._placers) >= PLACERS_MOST:
            return
        self._placers[asker.ident] = _Placer(asker.life, asker.number, now_us, said)
        if said.view is not None:
            self._views[said.region] = now_us, asker.ident, said.view
        for each in said.wants:
            if len(self._wants) < PROPOSED_MOST and not self.queue.knows(each.ident):
                self._wants[each.ident] = {
                    "ident": each.ident,
                    "machine": each.machine,
                    "region": said.region,
                    "zone": each.zone,
                    "cell": each.cell,
                    "why": each.why,
                    "urgency": each.urgency,
                    "latest_us": each.latest_us,
                    "lasts_us": each.lasts_us,
                    "unsafe": each.unsafe,
                    "ends_us": each.ends_us,
                    "from_us": each.from_us,
                    "worker": "",
                }
        if asker.ident == self.me:
            self._confirm_renewals(said.at_us)

    def response_for(self, now_us: int, asker: Requester) -> MaintenanceResponse:
        """With a grant: from now on its holder may act until that has lapsed."""
        self._given[asker.ident] = now_us + self.times.lapse_us()
        placer = self._placers.get(asker.ident)
        region = placer.said.region if placer is not None else ""
        active = sorted(self.queue.active(), key=lambda each: each.number)
        asked = [
            each
            for each in self.queue.turns.values()
            if each.state == "asked" and each.region in ("", region)
        ]
        turns = tuple(
            (
                each.number,
                each.machine,
                each.state,
                self.hand(now_us, each) if each.state != "asked" else "",
            )
            for each in (*active, *asked[:TOLD_MOST])
        )
        return MaintenanceResponse(
            self.queue.version,
            turns,
            tuple(self.silent(now_us)),
            self._teller(now_us, region) == asker.ident,
        )

    # -- who does what

    def _live(self, now_us: int, region: str) -> list[str]:
        return [
            name
            for name, each in self._placers.items()
            if each.said.region == region and now_us - each.heard_us < self.times.view_us
        ]

    def hand(self, now_us: int, turn: Slot) -> str:
        """Which placer speaks with a turn's machine, and tries it: one of its region; "" where none is in reach."""
        at, held = self._hands.get(turn.number, (now_us - LOOK_US, ""))
        if now_us - at < LOOK_US:
            return held
        able = [
            name
            for name in self._live(now_us, turn.region)
            if turn.number not in self._placers[name].said.gone
        ]
        name = max(
            able, key=lambda name: _weight(f"{turn.number}/{turn.machine}", name), default=""
        )
        self._hands[turn.number] = now_us, name
        return name

    def _teller(self, now_us: int, region: str) -> str:
        able = self._live(now_us, region)
        return (
            self.me
            if self.me in able
            else max(able, key=lambda name: _weight(region, name), default="")
        )

    def _in_reach(self, now_us: int) -> dict[str, RegionView]:
        return {
            region: view
            for region, (at, _, view) in self._views.items()
            if now_us - at < self.times.view_us
        }

    # -- the worker's lease

    def renew(self, now_us: int, number: int) -> None:
        """Its worker says that it holds a turn; it does once `renewed_us` is no earlier than now: a majority has
        followed this leader since. Danger: one that was deposed would let a worker go on with a turn given back."""
        watch = self._watch(now_us, number)
        if watch is not None and len(watch.asked) < 16:
            watch.asked.append((number, now_us))

    def _confirm_renewals(self, at_us: int) -> None:
        for number, watch in self._watches.items():
            turn = self.queue.turns.get(number)
            for _, asked in watch.asked:
                if asked <= at_us and turn is not None and turn.state == "out":
                    watch.renewed_us = max(watch.renewed_us, asked)
            watch.asked = [each for each in watch.asked if each[1] > at_us]

    def renewed_us(self, number: int) -> int:
        """When its worker renewed last, as far as that is confirmed; 0 for never."""
        return self._watches[number].renewed_us if number in self._watches else 0

    def silent(self, now_us: int) -> Iterator[int]:
        """Turns that are out, whose worker was not heard of for longer than its lease, reckoned anew by each leader."""
        for turn in self.queue.turns.values():
            watch = self._watch(now_us, turn.number) if turn.state == "out" else None
            if (
                watch is not None
                and (turn.worker or not turn.lasts_us)
                and now_us
                >= max(watch.since_us, watch.renewed_us) + drifted_us(self.times.lease_us)
            ):
                yield turn.number

    def _watch(self, now_us: int, number: int) -> _Watch | None:
        turn = self.queue.turns.get(number)
        if turn is None or turn.state in OVER:
            self._watches.pop(number, None)
            return None
        held = self._watches.get(number)
        if held is None or held.state != turn.state:
            held = self._watches[number] = _Watch(now_us, turn.state)
        return held

    # -- what is proposed

    def next_proposals(self, now_us: int, rules: RuleSet) -> tuple[list[Proposal], int | None]:
        """Requests that tellers brought, then each turn's next step, then who closes, in the queue's order."""
        if not self._wants and not self.queue.live():
            return [], None
        if now_us - self._looked_us < LOOK_US:
            return [], self._looked_us + LOOK_US
        self._looked_us = now_us
        wall = max(0, self._wall_us(now_us))
        for held in (self._watches, self._hands):
            for number in held.keys() - self.queue.turns.keys():
                del held[number]
        out = [
            Proposal("ask", {**value, "at_us": wall})
            for ident, value in self._wants.items()
            if not self.queue.knows(ident) and not self.queue.refusal({**value, "at_us": wall})
        ]
        self._wants = {}
        room = BudgetUse(
            rules.plan.rules(()).budgets,
            self._in_reach(now_us),
            self.queue.active(),
            lambda region: self.held_back(now_us, region),
        )
        counted: list[tuple[object, ...]] = []
        for turn in sorted(self.queue.live(), key=lambda each: each.number):
            watch = self._watch(now_us, turn.number)
            assert watch is not None
            self._look_gone(now_us, turn, watch)
            if turn.state == "asked":
                found = self._found(now_us, turn, watch)
                counted += [found] if found is not None else []
            step = self._step(now_us, wall, turn, watch, rules, room)
            if step is not None:
                again = turn.ident if step[1] == TAKEN_BACK else ""
                out.append(
                    Proposal(
                        step[0],
                        {"number": turn.number, "at_us": wall, "note": step[1], "again": again},
                    )
                )
        if counted:
            out.append(Proposal("queue", {"turns": counted, "at_us": wall}))
        if not out:  # what closes is chosen once all else is decided: it goes by states as they are
            out += [
                Proposal("close", {"number": each, "at_us": wall})
                for each in self._closing(now_us, wall, room, rules.plan.failed_share)
            ]
        return out[:PROPOSED_MOST], now_us + LOOK_US

    def _look_gone(self, now_us: int, turn: Slot, watch: _Watch) -> None:
        """Whether its machine is on no list of its region, by its teller's word."""
        told = self._views.get(turn.region)
        teller = (
            self._placers.get(told[1])
            if told is not None and turn.region in self._in_reach(now_us)
            else None
        )
        nowhere = not turn.region and turn.state == "asked"
        if not nowhere and (teller is None or turn.number not in teller.said.gone):
            watch.gone_us = None
        elif watch.gone_us is None:
            watch.gone_us = now_us

    def _found(self, now_us: int, turn: Slot, watch: _Watch) -> tuple[object, ...] | None:
        """For the queue: tasks at its machine, once all placers of its region have counted theirs, or had the time to;
        and where it is, if that was not said."""
        region, place = turn.region, tuple[str, ...]()
        if not region:
            self.blocked[turn.number] = "no list that is heard of has such a machine"
            told = (
                (each.said.region, *where)
                for name, each in self._placers.items()
                if now_us - each.heard_us < self.times.view_us
                for where in each.said.places
            )
            place = next(
                (
                    (region, zone, cell)
                    for region, number, zone, cell in told
                    if number == turn.number
                ),
                (),
            )
            if not place:
                return None
            region = place[0]
        found = [
            dict(self._placers[name].said.tasks).get(turn.number)
            for name in self._live(now_us, region)
        ]
        if now_us < watch.since_us + self.times.count_us and (not found or None in found):
            return None
        return (turn.number, sum(each for each in found if each is not None), *place)

    def _step(
        self, now_us: int, wall: int, turn: Slot, watch: _Watch, rules: RuleSet, room: BudgetUse
    ) -> tuple[str, str] | None:
        """What becomes of one turn, and why; None: it stays."""
        gone = watch.gone_us is not None and now_us >= watch.gone_us + self.times.gone_us
        if turn.state == "back":
            return self._returned(now_us, turn, watch, gone)
        if gone and turn.state != "out":
            return "give-back", "no list has such a machine"
        if turn.why == "calendar":
            window = turn.ident.rpartition("/")[0].rpartition("@")[0]
            if turn.ident in map(short_ident, rules.cancelled) or window not in {
                each.name for each in rules.windows
            }:
                return "give-back", TAKEN_BACK
        if turn.why == "calendar" and turn.state != "out":
            late = wall >= turn.latest_us > 0
            if late and turn.state in ("asked", "queued"):
                return "give-back", "its time passed before it began"
            if late and turn.unsafe == "give-up":
                return "give-back", "tasks that must not start twice still run"
            if 0 < turn.ends_us <= wall:
                return "give-back", "its window is over"
            # Danger: the halls that are left carry everything.
            failed = room.failed(turn, rules.plan.failed_share) if rules.plan.take_back else []
            if failed and turn.state == "closing":
                return "give-back", f"{', '.join(failed)} has failed"
        if turn.state == "closing" and self.proved(now_us, turn):
            return "empty", ""
        if (
            turn.state == "empty"
            and self.proved(now_us, turn)
            and turn.region in self._in_reach(now_us)
        ):
            full = (
                room.full(turn, taken=True) if wall >= turn.from_us else "its time has not come yet"
            )
            self.blocked[turn.number] = full
            return ("out", "") if not full else None
        if turn.state == "out" and not turn.worker and turn.lasts_us:
            ends = min(turn.since_us + turn.lasts_us, turn.ends_us or 1 << 62)
            return ("back", "its time is over") if wall >= ends else None
        return None

    def _returned(
        self, now_us: int, turn: Slot, watch: _Watch, gone: bool
    ) -> tuple[str, str] | None:
        said = [
            each.said
            for name, each in self._placers.items()
            if now_us - each.heard_us < self.times.view_us
        ]
        if gone:
            return "done", "its machine has left the list"
        if any(turn.number in each.tried for each in said):
            return "done", ""
        opened = any(turn.number in each.open for each in said)
        if opened and not turn.out_us:
            return "done", ""  # it was closed in vain, and nothing was done to it
        if (
            opened
            and not any(turn.number in each.bad for each in said)
            and (now_us >= watch.since_us + self.times.try_us)
        ):
            return "done", "nothing was there to try it with"
        return None

    def may_act(self, now_us: int) -> list[str]:
        """Who may act by a grant that this leader gave."""
        return [name for name, until in self._given.items() if now_us < until]

    def proved(self, now_us: int, turn: Slot) -> bool:
        """Whether nothing is at a turn's machine, and nothing can come."""
        return not self.unproved(now_us, turn)

    def unproved(self, now_us: int, turn: Slot) -> str:
        """What the proof for a turn lacks, in words; "" where it is whole."""
        if now_us < self._began_us + self.times.lapse_us():
            # Danger: who was not heard of yet may act by a grant of an earlier leader's.
            return "grants of an earlier leader may not have lapsed"
        for name in self.may_act(now_us):
            placer = self._placers.get(name)
            if placer is None or turn.number not in placer.said.clear:
                return f"placer {name} has not confirmed"
        # Danger: a floor knows of no turns. Its holder may send at any time; it is the machine that refuses.
        heard = any(
            turn.number in each.said.empty
            for each in self._placers.values()
            if now_us - each.heard_us < self.times.lapse_us()
        )
        return "" if heard else "the machine has not said that it refuses new work and is empty"

    def _closing(
        self, now_us: int, wall: int, room: BudgetUse, failed_share: float
    ) -> Iterator[int]:
        """Who closes now, in order. Who cannot, holds nobody up; but one that has waited long, and could go if no turn
        were out, keeps its room."""
        reach = self._in_reach(now_us)
        left = PROPOSED_MOST
        self.blocked = {
            number: why
            for number, why in self.blocked.items()
            if number in self.queue.turns and self.queue.turns[number].state in ("asked", "empty")
        }
        for turn in self.queue.queued():
            watch = self._watch(now_us, turn.number)
            if turn.region not in reach or (watch is not None and watch.gone_us is not None):
                self.blocked[turn.number] = (
                    "no list has its machine now"
                    if turn.region in reach
                    else f"region {turn.region!r} is out of reach"
                )
                continue
            failed = room.failed(turn, failed_share)
            why = f"{', '.join(failed)} has failed" if failed else room.full(turn)
            if not why and left > 0:
                left -= 1
                room.take(turn)
                yield turn.number
                continue
            self.blocked[turn.number] = why or "others close first"
            if wall - turn.asked_us >= self.times.patience_us and not room.full(
                turn, turns_too=False
            ):
                room.take(turn)

    def states(self) -> Mapping[str, int]:
        """How many turns are in each state."""
        out: dict[str, int] = {}
        for each in self.queue.turns.values():
            out[each.state] = out.get(each.state, 0) + 1
        return out


def _weight(what: str, name: str) -> bytes:
    return hashlib.blake2b(f"{what}/{name}".encode(), digest_size=8).digest()
