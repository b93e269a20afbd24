"""Tracks calendar drains: the phase of each drain, and which tasks to move now; no I/O, the caller passes the time.

Phases only move forward, as `_NEXT` defines: a drain that has begun does not return to an earlier phase when the wall
clock is set back. Every placer runs the same plan, but moves only its own tasks, at its share of the move rate.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import Enum

from wingbarrow.decide.maintenance.drain_plan import Drain
from wingbarrow.decide.maintenance.windows import UnsafePolicy

SECOND = 1_000_000
CANCELLED = "cancelled by the operator"
WITHDRAWN = "its window was taken back"
MAX_ENDED_DRAINS = 4_096  # ended drains that are kept
# A machine whose drain starts within this time refuses tasks that would still run at the start.
CLOSING_HORIZON_US = 24 * 3600 * SECOND
NO_END = 1 << 62


class Phase(Enum):
    """The phase of a drain."""

    PLANNED = "planned"  # the machine takes no tasks that would still run at the start
    CLOSED = "closed"  # no new tasks; running ones are moved or end by themselves
    OUT = "out"  # no task of this placer is left; maintenance is in progress
    DONE = "done"
    GIVEN_UP = "given up"


_NEXT = {
    Phase.PLANNED: (Phase.CLOSED, Phase.GIVEN_UP),
    Phase.CLOSED: (Phase.OUT, Phase.DONE, Phase.GIVEN_UP),
    Phase.OUT: (Phase.DONE, Phase.GIVEN_UP),
    Phase.DONE: (),
    Phase.GIVEN_UP: (),
}
ACTIVE_PHASES = (Phase.CLOSED, Phase.OUT)
ENDED_PHASES = (Phase.DONE, Phase.GIVEN_UP)


@dataclass(frozen=True, slots=True)
class DrainPolicy:
    """Settings of drains; times in microseconds."""

    lead_us: int = 60 * SECOND  # time before the start at which a machine closes
    moves: int = 4  # tasks that all placers together may move ...
    every_us: int = SECOND  # ... within this interval
    failed_share: float = 0.5  # a zone has failed once this share of its machines does not run
    take_back: bool = True  # a zone's failure also ends drains that have begun in other zones


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A task of this placer on a machine; `ends_us` is the owner's hint for its end, None without one."""

    request: int
    movable: bool  # it may be started a second time
    ends_us: int | None
    offered: bool = False  # its offer is pending: it may still start there


@dataclass(frozen=True, slots=True)
class TrackedDrain:
    """A drain and its progress. `since_us`: when its phase began."""

    drain: Drain
    phase: Phase
    unsafe: UnsafePolicy
    since_us: int
    moved: int = 0
    late: bool = False  # tasks that must not be moved delayed it past its start
    reason: str = ""


@dataclass(frozen=True, slots=True)
class DrainStep:
    """Result of a step: machines about to close, with the drain's start; closed ones; requests to move; new phases."""

    closing: dict[str, int]
    closed: frozenset[str]
    moves: tuple[int, ...]
    changed: tuple[TrackedDrain, ...]


def failed_zones(machines: Iterable[tuple[str, bool, bool]], share: float) -> frozenset[str]:
    """Return zones with at least a share of machines out without a drain; `machines`: (zone, running, drained) each."""
    total: dict[str, int] = {}
    lost: dict[str, int] = {}
    for zone, running, drained in machines:
        total[zone] = total.get(zone, 0) + 1
        lost[zone] = lost.get(zone, 0) + (not running and not drained)
    return frozenset(
        zone for zone, count in total.items() if lost[zone] and lost[zone] >= share * count
    )


@dataclass(frozen=True, slots=True)
class _MachineConditions:
    """A step's input about the machine of one drain."""

    tasks: list[RunningTask]  # this placer's
    failed_elsewhere: frozenset[str]  # failed zones, without the machine's own
    has_capacity: bool  # whether its tasks fit on other machines

    def failed_zones_reason(self) -> str:
        return f"{', '.join(sorted(self.failed_elsewhere))} has failed"


class DrainTracker:
    """All drains of one placer."""

    def __init__(self, policy: DrainPolicy, placers: int) -> None:
        self._policy = policy
        self._placers = placers
        self.tracked: dict[str, TrackedDrain] = {}
        self._move_tokens = 0.0
        self._last_us: int | None = None
        # Keys of drains that were given up and are not planned again.
        self._cancelled = frozenset[str]()
        # Windows that maintenance slots carry out: their drains are planned here, but never begin.
        self.slot_windows = frozenset[str]()
        # Keys of drains whose cancellation placers agree on.
        self._agreed_cancelled = frozenset[str]()

    def on_policy(self, policy: DrainPolicy) -> None:
        """Replace the settings after a change of the calendar."""
        self._policy = policy

    def on_plan(self, plan: Iterable[tuple[Drain, UnsafePolicy]], now_us: int) -> None:
        """Apply a new plan to drains that have not begun; drains that have begun continue unchanged."""
        fresh = {drain.key: (drain, unsafe) for drain, unsafe in plan}
        for key, tracked in list(self.tracked.items()):
            if tracked.phase is Phase.PLANNED and key not in fresh:
                del self.tracked[key]
        for key, (drain, unsafe) in fresh.items():
            existing = self.tracked.get(key)
            if existing is None:
                if (
                    drain.end_us > now_us
                    and key not in self._cancelled
                    and key not in self._agreed_cancelled
                ):
                    self.tracked[key] = TrackedDrain(drain, Phase.PLANNED, unsafe, now_us)
            elif existing.phase is Phase.PLANNED:
                self.tracked[key] = replace(existing, drain=drain, unsafe=unsafe)
        self._forget()

    def _forget(self) -> None:
        ended = [key for key, tracked in self.tracked.items() if tracked.phase in ENDED_PHASES]
        for key in ended[: max(0, len(ended) - MAX_ENDED_DRAINS)]:
            del self.tracked[key]
        self._cancelled &= frozenset(self.tracked)

    def restore(self, tracked: Iterable[TrackedDrain]) -> None:
        """Restore drains that an earlier incarnation stored."""
        for each in tracked:
            self.tracked[each.drain.key] = each
            if each.phase is Phase.GIVEN_UP and each.reason in (CANCELLED, WITHDRAWN):
                self._cancelled |= {each.drain.key}

    def cancel(self, key: str, now_us: int) -> bool:
        """Cancel a drain for an operator; False if it is unknown or has ended."""
        tracked = self.tracked.get(key)
        if tracked is None or tracked.phase in ENDED_PHASES:
            return False
        self.tracked[key] = replace(
            tracked, phase=Phase.GIVEN_UP, since_us=now_us, reason=CANCELLED
        )
        self._cancelled |= {key}
        return True

    def on_agreed(
        self, windows: frozenset[str], cancelled: frozenset[str], now_us: int
    ) -> list[TrackedDrain]:
        """Apply a change of the calendar that placers agree on; return the drains that it ended.

        Drains that are cancelled, or whose window was removed, end; those no longer cancelled may be planned again.
        """
        self._agreed_cancelled = cancelled
        changed: list[TrackedDrain] = []
        for key, tracked in list(self.tracked.items()):
            is_cancelled = key in cancelled
            is_withdrawn = tracked.drain.window not in windows
            if tracked.phase not in ENDED_PHASES and (is_cancelled or is_withdrawn):
                self.tracked[key] = replace(
                    tracked,
                    phase=Phase.GIVEN_UP,
                    since_us=now_us,
                    reason=CANCELLED if is_cancelled else WITHDRAWN,
                )
                self._cancelled |= {key}
                changed.append(self.tracked[key])
            elif key in self._cancelled and not is_cancelled and not is_withdrawn:
                self._cancelled -= {key}
                del self.tracked[key]
        return changed

    def step(
        self,
        now_us: int,
        running: Mapping[str, list[RunningTask]],
        zones: Mapping[str, str],
        failed: frozenset[str],
        has_capacity: Mapping[str, bool],
    ) -> DrainStep:
        """Advance every drain to its phase at a wall time.

        `running`: own tasks by machine. `zones`: each machine's zone. `failed`: zones that have failed.
        `has_capacity`: whether the tasks of a machine fit on other machines now.
        """
        changed: list[TrackedDrain] = []
        moves: list[int] = []
        self._refill_move_tokens(now_us)
        for key in sorted(self.tracked, key=lambda each: (self.tracked[each].drain.start_us, each)):
            tracked = self.tracked[key]
            if tracked.phase in ENDED_PHASES:
                continue
            if tracked.phase is Phase.PLANNED and tracked.drain.window in self.slot_windows:
                if now_us >= tracked.drain.end_us:
                    del self.tracked[key]
                continue
            machine = tracked.drain.machine
            conditions = _MachineConditions(
                tasks=running.get(machine, []),
                failed_elsewhere=failed - {zones.get(machine, "")},
                has_capacity=has_capacity.get(machine, True),
            )
            after = self._next(tracked, now_us, conditions)
            if after.phase in ACTIVE_PHASES:
                # Danger: a late answer can still add a task to a machine that already counts as empty.
                chosen = self._moves(after, conditions)
                moves += chosen
                after = replace(after, moved=after.moved + len(chosen))
            if after.phase is not tracked.phase:
                assert after.phase in _NEXT[tracked.phase]
                changed.append(after)
            self.tracked[key] = after
        closing, closed = self._closed_machines(now_us)
        return DrainStep(closing, closed, tuple(moves), tuple(changed))

    def _closed_machines(self, now_us: int) -> tuple[dict[str, int], frozenset[str]]:
        """Return machines that close within CLOSING_HORIZON_US, with the drain's start, and closed machines."""
        closing: dict[str, int] = {}
        closed: set[str] = set()
        for tracked in self.tracked.values():
            machine = tracked.drain.machine
            start_us = tracked.drain.start_us
            if tracked.phase in ACTIVE_PHASES:
                closed.add(machine)
            elif tracked.phase is Phase.PLANNED and start_us - now_us <= CLOSING_HORIZON_US:
                closing[machine] = min(start_us, closing.get(machine, start_us))
        return closing, frozenset(closed)

    def _refill_move_tokens(self, now_us: int) -> None:
        """Refill a token bucket at this placer's share of the move rate; its capacity is at least one token."""
        passed_us = 0 if self._last_us is None else max(0, now_us - self._last_us)
        self._last_us = now_us
        share = self._policy.moves / self._placers
        earned = self._move_tokens + share * passed_us / self._policy.every_us
        self._move_tokens = min(max(1.0, share), earned)

    def _next(
        self, tracked: TrackedDrain, now_us: int, conditions: _MachineConditions
    ) -> TrackedDrain:
        if tracked.phase is Phase.PLANNED:
            return self._next_from_planned(tracked, now_us, conditions)
        if tracked.phase is Phase.OUT:
            return (
                _in_phase(tracked, Phase.DONE, now_us)
                if now_us >= tracked.drain.end_us
                else tracked
            )
        if conditions.failed_elsewhere and self._policy.take_back:
            return _in_phase(
                tracked, Phase.GIVEN_UP, now_us, f"taken back: {conditions.failed_zones_reason()}"
            )
        return self._next_from_closed(tracked, now_us, conditions)

    def _next_from_planned(
        self, tracked: TrackedDrain, now_us: int, conditions: _MachineConditions
    ) -> TrackedDrain:
        drain = tracked.drain
        if now_us >= drain.end_us:
            return _in_phase(tracked, Phase.GIVEN_UP, now_us, "its time passed before it began")
        if now_us < drain.start_us - self._policy.lead_us:
            return tracked
        if conditions.failed_elsewhere:
            # Danger: the remaining zones carry the whole load; none of their machines may be taken out now.
            return replace(tracked, reason=f"waits: {conditions.failed_zones_reason()}")
        if not conditions.has_capacity and now_us < drain.start_us:
            return replace(tracked, reason="waits: nowhere has room for what runs there")
        return _in_phase(tracked, Phase.CLOSED, now_us)

    def _next_from_closed(
        self, tracked: TrackedDrain, now_us: int, conditions: _MachineConditions
    ) -> TrackedDrain:
        drain = tracked.drain
        if not conditions.tasks:
            return _in_phase(tracked, Phase.OUT if now_us < drain.end_us else Phase.DONE, now_us)
        stuck = [task for task in conditions.tasks if not task.movable and not task.offered]
        if now_us >= drain.start_us and stuck:
            if tracked.unsafe is UnsafePolicy.GIVE_UP:
                reason = f"{len(stuck)} task(s) that must not start twice still run"
                return _in_phase(tracked, Phase.GIVEN_UP, now_us, reason)
            tracked = replace(tracked, late=True)
            if tracked.unsafe is UnsafePolicy.WAIT:
                # The window is shifted: its end moves by as much as its start.
                end_us = now_us + drain.end_us - drain.start_us
                return replace(tracked, drain=replace(drain, start_us=now_us, end_us=end_us))
        if now_us >= drain.end_us:
            reason = f"{len(conditions.tasks)} task(s) still run at the window's end"
            return _in_phase(tracked, Phase.GIVEN_UP, now_us, reason)
        return tracked

    def _moves(self, tracked: TrackedDrain, conditions: _MachineConditions) -> list[int]:
        """Choose own tasks to stop here and place again, within the move rate: those that would run longest first."""
        if not conditions.has_capacity:
            return []
        # A task that ends by itself before the window begins need not be moved.
        candidates = [
            task
            for task in conditions.tasks
            if task.movable
            and not task.offered
            and (task.ends_us is None or task.ends_us > tracked.drain.start_us)
        ]
        candidates.sort(key=lambda task: (-(task.ends_us or NO_END), task.request))
        chosen: list[int] = []
        while candidates and self._move_tokens >= 1:
            self._move_tokens -= 1
            chosen.append(candidates.pop(0).request)
        return chosen


def _in_phase(tracked: TrackedDrain, phase: Phase, now_us: int, reason: str = "") -> TrackedDrain:
    return replace(tracked, phase=phase, since_us=now_us, reason=reason)
