"""Doing drains: the state of each planned drain, and what may be done next; no I/O, the caller tells the time.

Phases go forward only, by the table below, whatever a clock does: a drain that has begun stays begun when the wall
clock is set back. Each placer runs the same plan; it moves its own tasks alone, at its share of the pace.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import Enum

from wingbarrow.decide.maintenance.drain_plan import Drain
from wingbarrow.decide.maintenance.windows import UnsafePolicy

SECOND = 1_000_000
CANCELLED, WITHDRAWN = "cancelled by the operator", "its window was taken back"
KEPT = 4_096  # ended drains that are remembered
LOOK_AHEAD_US = (
    24 * 3600 * SECOND
)  # a machine closes for tasks that would outlive a start so far ahead


class Phase(Enum):
    """Where a drain stands."""

    PLANNED = "planned"  # long tasks are kept off
    CLOSED = "closed"  # nothing new; tasks are moved, or run out
    OUT = "out"  # no task of this placer is left; the window's work goes on
    DONE = "done"
    GIVEN_UP = "given up"


_NEXT = {
    Phase.PLANNED: (Phase.CLOSED, Phase.GIVEN_UP),
    Phase.CLOSED: (Phase.OUT, Phase.DONE, Phase.GIVEN_UP),
    Phase.OUT: (Phase.DONE, Phase.GIVEN_UP),
    Phase.DONE: (),
    Phase.GIVEN_UP: (),
}
OVER = (Phase.DONE, Phase.GIVEN_UP)


@dataclass(frozen=True, slots=True)
class Policy:
    """How drains are done; times in microseconds."""

    lead_us: int = 60 * SECOND  # how long before its start a machine closes
    moves: int = 4  # tasks moved by all placers together ...
    every_us: int = SECOND  # ... in this time
    failed_share: float = 0.5  # of a hall's machines not running: the hall has failed
    take_back: bool = True  # a hall's failure also takes back drains that have begun elsewhere


@dataclass(frozen=True, slots=True)
class Running:
    """A task of this placer on a machine; `ends_us` by the owner's hint, None without one."""

    request: int
    movable: bool  # a second start does no harm
    ends_us: int | None
    offered: bool = False  # its offer is out: it may yet run there


@dataclass(frozen=True, slots=True)
class Held:
    """A drain and where it stands."""

    drain: Drain
    phase: Phase
    unsafe: UnsafePolicy
    since_us: int
    moved: int = 0
    late: bool = False  # tasks that must not move kept it waiting past its start
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Turn:
    """What a step has come to: machines that close for long tasks (and when), are closed, are open again; moves."""

    closing: dict[str, int]
    closed: frozenset[str]
    moves: tuple[int, ...]
    changed: tuple[Held, ...]


def failed_zones(machines: Iterable[tuple[str, bool, bool]], share: float) -> frozenset[str]:
    """Halls of whose machines at least a share is gone without a drain; (zone, running, drained) of each."""
    total: dict[str, int] = {}
    lost: dict[str, int] = {}
    for zone, running, drained in machines:
        total[zone] = total.get(zone, 0) + 1
        lost[zone] = lost.get(zone, 0) + (not running and not drained)
    return frozenset(
        zone for zone, count in total.items() if lost[zone] and lost[zone] >= share * count
    )


class Drains:
    """All drains of one placer."""

    def __init__(self, policy: Policy, placers: int) -> None:
        self._policy = policy
        self._placers = placers
        self.held: dict[str, Held] = {}
        self._allowance = 0.0
        self._last_us: int | None = None
        self._calls = frozenset[str]()  # drains cancelled by an operator
        self.by_turns = frozenset[
            str
        ]()  # windows whose machines are closed in turns: here they are but foreseen
        self._barred = frozenset[str]()  # keys that placers agree to have taken back

    def take_policy(self, policy: Policy) -> None:
        """A calendar was read again."""
        self._policy = policy

    def take_plan(self, plan: Iterable[tuple[Drain, UnsafePolicy]], now_us: int) -> None:
        """A plan, anew: drains that have not begun follow it, those that have go on as they are."""
        fresh = {drain.key: (drain, unsafe) for drain, unsafe in plan}
        for key, held in list(self.held.items()):
            if held.phase is Phase.PLANNED and key not in fresh:
                del self.held[key]
        for key, (drain, unsafe) in fresh.items():
            known = self.held.get(key)
            if known is None:
                if drain.end_us > now_us and key not in self._calls and key not in self._barred:
                    self.held[key] = Held(drain, Phase.PLANNED, unsafe, now_us)
            elif known.phase is Phase.PLANNED:
                self.held[key] = replace(known, drain=drain, unsafe=unsafe)
        self._forget()

    def _forget(self) -> None:
        ended = [key for key, held in self.held.items() if held.phase in OVER]
        for key in ended[: max(0, len(ended) - KEPT)]:
            del self.held[key]
        self._calls &= frozenset(self.held)

    def restore(self, held: Iterable[Held]) -> None:
        """What a former life knew."""
        for each in held:
            self.held[each.drain.key] = each
            if each.phase is Phase.GIVEN_UP and each.reason in (CANCELLED, WITHDRAWN):
                self._calls |= {each.drain.key}

    def cancel(self, key: str, now_us: int) -> bool:
        """An operator takes a drain back; False where there is none to take."""
        held = self.held.get(key)
        if held is None or held.phase in OVER:
            return False
        self.held[key] = replace(held, phase=Phase.GIVEN_UP, since_us=now_us, reason=CANCELLED)
        self._calls |= {key}
        return True

    def agree(self, windows: frozenset[str], cancelled: frozenset[str], now_us: int) -> list[Held]:
        """What placers agree on: drains taken back, and of windows that are gone, end; those no longer taken back may
        be planned anew. What has changed."""
        self._barred = cancelled
        changed: list[Held] = []
        for key, held in list(self.held.items()):
            out = key in cancelled
            gone = held.drain.window not in windows
            if held.phase not in OVER and (out or gone):
                self.held[key] = replace(
                    held,
                    phase=Phase.GIVEN_UP,
                    since_us=now_us,
                    reason=CANCELLED if out else WITHDRAWN,
                )
                self._calls |= {key}
                changed.append(self.held[key])
            elif key in self._calls and not out and not gone:
                self._calls -= {key}
                del self.held[key]
        return changed

    def step(
        self,
        now_us: int,
        running: Mapping[str, list[Running]],
        zones: Mapping[str, str],
        failed: frozenset[str],
        room: Mapping[str, bool],
    ) -> Turn:
        """One turn at a wall time. `running`: own tasks by machine; `zones`: each machine's hall; `failed`: halls
        that have failed; `room`: whether what runs on a machine would find a home elsewhere now."""
        changed: list[Held] = []
        moves: list[int] = []
        self._earn(now_us)
        for key in sorted(self.held, key=lambda each: (self.held[each].drain.start_us, each)):
            held = self.held[key]
            if held.phase in OVER:
                continue
            if held.phase is Phase.PLANNED and held.drain.window in self.by_turns:
                if now_us >= held.drain.end_us:
                    del self.held[key]
                continue
            machine = held.drain.machine
            after = self._judge(
                held,
                now_us,
                running.get(machine, []),
                zones.get(machine, ""),
                failed,
                room.get(machine, True),
            )
            if after.phase in (Phase.CLOSED, Phase.OUT):
                # Danger: an answer that was on its way brings a task to a machine that counts as empty.
                mine = self._moves(after, now_us, running.get(machine, []), room.get(machine, True))
                moves += mine
                after = replace(after, moved=after.moved + len(mine))
            if after != held:
                if after.phase is not held.phase:
                    assert after.phase in _NEXT[held.phase]
                    changed.append(after)
                self.held[key] = after
        live = [held for held in self.held.values() if held.phase not in OVER]
        closed = frozenset(
            held.drain.machine for held in live if held.phase in (Phase.CLOSED, Phase.OUT)
        )
        closing: dict[str, int] = {}
        for held in live:
            if held.phase is Phase.PLANNED and held.drain.start_us - now_us <= LOOK_AHEAD_US:
                at = held.drain.start_us
                closing[held.drain.machine] = min(at, closing.get(held.drain.machine, at))
        return Turn(closing, closed, tuple(moves), tuple(changed))

    def _earn(self, now_us: int) -> None:
        """This placer's share of the pace, saved up to one turn's worth of all."""
        passed = 0 if self._last_us is None else max(0, now_us - self._last_us)
        self._last_us = now_us
        share = self._policy.moves / self._placers
        self._allowance = min(
            max(1.0, share), self._allowance + share * passed / self._policy.every_us
        )

    def _judge(
        self,
        held: Held,
        now_us: int,
        tasks: list[Running],
        zone: str,
        failed: frozenset[str],
        room: bool,
    ) -> Held:
        drain, policy = held.drain, self._policy

        def to(phase: Phase, reason: str = "") -> Held:
            return replace(held, phase=phase, since_us=now_us, reason=reason)

        elsewhere = failed - {zone}
        if held.phase is Phase.PLANNED:
            if now_us >= drain.end_us:
                return to(Phase.GIVEN_UP, "its time passed before it began")
            if now_us < drain.start_us - policy.lead_us:
                return held
            if elsewhere:
                # Danger: the halls that are left carry everything; none of their machines may go now.
                return replace(held, reason=f"waits: {', '.join(sorted(elsewhere))} has failed")
            if not room and now_us < drain.start_us:
                return replace(held, reason="waits: nowhere has room for what runs there")
            return to(Phase.CLOSED)
        if elsewhere and policy.take_back and held.phase is Phase.CLOSED:
            return to(Phase.GIVEN_UP, f"taken back: {', '.join(sorted(elsewhere))} has failed")
        if held.phase is Phase.OUT:
            return to(Phase.DONE) if now_us >= drain.end_us else held
        if not tasks:
            return to(Phase.OUT) if now_us < drain.end_us else to(Phase.DONE)
        stuck = [task for task in tasks if not task.movable and not task.offered]
        if now_us >= drain.start_us and stuck:
            if held.unsafe is UnsafePolicy.GIVE_UP:
                return to(
                    Phase.GIVEN_UP, f"{len(stuck)} task(s) that must not start twice still run"
                )
            if held.unsafe is UnsafePolicy.WAIT:
                # The window waits: it ends as much later as it begins.
                length = drain.end_us - drain.start_us
                return replace(
                    held, late=True, drain=replace(drain, start_us=now_us, end_us=now_us + length)
                )
            held = replace(held, late=True)
        if now_us >= drain.end_us:
            return to(Phase.GIVEN_UP, f"{len(tasks)} task(s) still run at the window's end")
        return held

    def _moves(self, held: Held, now_us: int, tasks: list[Running], room: bool) -> list[int]:
        """Own tasks to stop here and ask for again, within the pace: the longest-lived first."""
        if not room:
            return []
        # What ends by itself before the window begins need not be moved.
        candidates = [
            task
            for task in tasks
            if task.movable
            and not task.offered
            and (task.ends_us is None or task.ends_us > held.drain.start_us)
        ]
        candidates.sort(key=lambda task: (-(task.ends_us or 1 << 62), task.request))
        chosen: list[int] = []
        while candidates and self._allowance >= 1:
            self._allowance -= 1
            chosen.append(candidates.pop(0).request)
        return chosen
