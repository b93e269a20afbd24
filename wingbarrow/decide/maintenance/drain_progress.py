"""The progress of calendar drains: each drain's phase, and which tasks to move now; no I/O, the caller gives the time.

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
CANCELLED = "cancelled by the operator"
WITHDRAWN = "its window was taken back"
MAX_ENDED_DRAINS = 4_096  # ended drains that are remembered
CLOSING_HORIZON_US = (
    24 * 3600 * SECOND
)  # a machine refuses tasks that would outlive a start within this
NO_END = 1 << 62


class Phase(Enum):
    """How far a drain is."""

    PLANNED = "planned"  # long tasks are kept off the machine
    CLOSED = "closed"  # no new tasks; those that run are moved, or end
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
ACTIVE_PHASES = (Phase.CLOSED, Phase.OUT)
ENDED_PHASES = (Phase.DONE, Phase.GIVEN_UP)


@dataclass(frozen=True, slots=True)
class DrainPolicy:
    """How drains are done; times in microseconds."""

    lead_us: int = 60 * SECOND  # how long before its start a machine closes
    moves: int = 4  # tasks moved by all placers together ...
    every_us: int = SECOND  # ... in this time
    failed_share: float = 0.5  # of a zone's machines not running: the zone has failed
    take_back: bool = True  # a zone's failure also takes back drains that have begun elsewhere


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A task of this placer on a machine; `ends_us` by the owner's hint, None without one."""

    request: int
    movable: bool  # a second start does no harm
    ends_us: int | None
    offered: bool = False  # its offer is out: it may yet run there


@dataclass(frozen=True, slots=True)
class TrackedDrain:
    """A drain and its phase."""

    drain: Drain
    phase: Phase
    unsafe: UnsafePolicy
    since_us: int
    moved: int = 0
    late: bool = False  # tasks that must not move kept it waiting past its start
    reason: str = ""


@dataclass(frozen=True, slots=True)
class DrainStep:
    """A step's result: machines that close for long tasks, with when; closed ones; requests to move; new phases."""

    closing: dict[str, int]
    closed: frozenset[str]
    moves: tuple[int, ...]
    changed: tuple[TrackedDrain, ...]


def failed_zones(machines: Iterable[tuple[str, bool, bool]], share: float) -> frozenset[str]:
    """Zones of which at least a share of the machines is out without a drain; (zone, running, drained) of each."""
    total: dict[str, int] = {}
    lost: dict[str, int] = {}
    for zone, running, drained in machines:
        total[zone] = total.get(zone, 0) + 1
        lost[zone] = lost.get(zone, 0) + (not running and not drained)
    return frozenset(
        zone for zone, count in total.items() if lost[zone] and lost[zone] >= share * count
    )


@dataclass(frozen=True, slots=True)
class _Site:
    """What a step knows of a drain's machine."""

    tasks: list[RunningTask]  # this placer's
    failed_elsewhere: frozenset[str]  # zones that have failed, but its own
    has_capacity: bool  # whether its tasks would fit elsewhere

    def failed_words(self) -> str:
        return f"{', '.join(sorted(self.failed_elsewhere))} has failed"


class DrainTracker:
    """All drains of one placer."""

    def __init__(self, policy: DrainPolicy, placers: int) -> None:
        self._policy = policy
        self._placers = placers
        self.tracked: dict[str, TrackedDrain] = {}
        self._allowance = 0.0
        self._last_us: int | None = None
        self._cancelled = frozenset[str]()  # keys of drains that were given up for good
        self.slot_windows = frozenset[
            str
        ]()  # windows carried out by maintenance slots: only foreseen here
        self._agreed_cancelled = frozenset[str]()  # keys that placers agree to have cancelled

    def on_policy(self, policy: DrainPolicy) -> None:
        """The calendar changed."""
        self._policy = policy

    def on_plan(self, plan: Iterable[tuple[Drain, UnsafePolicy]], now_us: int) -> None:
        """A new plan: drains that have not begun follow it, those that have begun go on as they are."""
        fresh = {drain.key: (drain, unsafe) for drain, unsafe in plan}
        for key, held in list(self.tracked.items()):
            if held.phase is Phase.PLANNED and key not in fresh:
                del self.tracked[key]
        for key, (drain, unsafe) in fresh.items():
            known = self.tracked.get(key)
            if known is None:
                if (
                    drain.end_us > now_us
                    and key not in self._cancelled
                    and key not in self._agreed_cancelled
                ):
                    self.tracked[key] = TrackedDrain(drain, Phase.PLANNED, unsafe, now_us)
            elif known.phase is Phase.PLANNED:
                self.tracked[key] = replace(known, drain=drain, unsafe=unsafe)
        self._forget()

    def _forget(self) -> None:
        ended = [key for key, held in self.tracked.items() if held.phase in ENDED_PHASES]
        for key in ended[: max(0, len(ended) - MAX_ENDED_DRAINS)]:
            del self.tracked[key]
        self._cancelled &= frozenset(self.tracked)

    def restore(self, held: Iterable[TrackedDrain]) -> None:
        """Take over drains that an earlier incarnation stored."""
        for each in held:
            self.tracked[each.drain.key] = each
            if each.phase is Phase.GIVEN_UP and each.reason in (CANCELLED, WITHDRAWN):
                self._cancelled |= {each.drain.key}

    def cancel(self, key: str, now_us: int) -> bool:
        """An operator cancels a drain; False if there is none that has not ended."""
        held = self.tracked.get(key)
        if held is None or held.phase in ENDED_PHASES:
            return False
        self.tracked[key] = replace(held, phase=Phase.GIVEN_UP, since_us=now_us, reason=CANCELLED)
        self._cancelled |= {key}
        return True

    def on_agreed(
        self, windows: frozenset[str], cancelled: frozenset[str], now_us: int
    ) -> list[TrackedDrain]:
        """What placers agree on changed; the drains that this ended.

        Drains that are cancelled, or whose window is gone, end; those no longer cancelled may be planned anew.
        """
        self._agreed_cancelled = cancelled
        changed: list[TrackedDrain] = []
        for key, held in list(self.tracked.items()):
            is_cancelled = key in cancelled
            is_withdrawn = held.drain.window not in windows
            if held.phase not in ENDED_PHASES and (is_cancelled or is_withdrawn):
                self.tracked[key] = replace(
                    held,
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
        """Take every drain as far as it goes at a wall time.

        `running`: own tasks by machine. `zones`: each machine's zone. `failed`: zones that have failed.
        `has_capacity`: whether what runs on a machine would fit elsewhere now.
        """
        changed: list[TrackedDrain] = []
        moves: list[int] = []
        self._earn_moves(now_us)
        for key in sorted(self.tracked, key=lambda each: (self.tracked[each].drain.start_us, each)):
            held = self.tracked[key]
            if held.phase in ENDED_PHASES:
                continue
            if held.phase is Phase.PLANNED and held.drain.window in self.slot_windows:
                if now_us >= held.drain.end_us:
                    del self.tracked[key]
                continue
            machine = held.drain.machine
            site = _Site(
                tasks=running.get(machine, []),
                failed_elsewhere=failed - {zones.get(machine, "")},
                has_capacity=has_capacity.get(machine, True),
            )
            after = self._next(held, now_us, site)
            if after.phase in ACTIVE_PHASES:
                # Danger: an answer that was on its way brings a task to a machine that counts as empty.
                chosen = self._moves(after, site)
                moves += chosen
                after = replace(after, moved=after.moved + len(chosen))
            if after.phase is not held.phase:
                assert after.phase in _NEXT[held.phase]
                changed.append(after)
            self.tracked[key] = after
        closing, closed = self._closed_machines(now_us)
        return DrainStep(closing, closed, tuple(moves), tuple(changed))

    def _closed_machines(self, now_us: int) -> tuple[dict[str, int], frozenset[str]]:
        """Machines that close within CLOSING_HORIZON_US, with when; and those that are closed."""
        closing: dict[str, int] = {}
        closed: set[str] = set()
        for held in self.tracked.values():
            machine = held.drain.machine
            start_us = held.drain.start_us
            if held.phase in ACTIVE_PHASES:
                closed.add(machine)
            elif held.phase is Phase.PLANNED and start_us - now_us <= CLOSING_HORIZON_US:
                closing[machine] = min(start_us, closing.get(machine, start_us))
        return closing, frozenset(closed)

    def _earn_moves(self, now_us: int) -> None:
        """A token bucket: this placer's share of the pace, at least one token deep."""
        passed_us = 0 if self._last_us is None else max(0, now_us - self._last_us)
        self._last_us = now_us
        share = self._policy.moves / self._placers
        earned = self._allowance + share * passed_us / self._policy.every_us
        self._allowance = min(max(1.0, share), earned)

    def _next(self, held: TrackedDrain, now_us: int, site: _Site) -> TrackedDrain:
        if held.phase is Phase.PLANNED:
            return self._of_planned(held, now_us, site)
        if held.phase is Phase.OUT:
            return _to(held, Phase.DONE, now_us) if now_us >= held.drain.end_us else held
        if site.failed_elsewhere and self._policy.take_back:
            return _to(held, Phase.GIVEN_UP, now_us, f"taken back: {site.failed_words()}")
        return self._of_closed(held, now_us, site)

    def _of_planned(self, held: TrackedDrain, now_us: int, site: _Site) -> TrackedDrain:
        drain = held.drain
        if now_us >= drain.end_us:
            return _to(held, Phase.GIVEN_UP, now_us, "its time passed before it began")
        if now_us < drain.start_us - self._policy.lead_us:
            return held
        if site.failed_elsewhere:
            # Danger: the zones that are left carry everything; none of their machines may go now.
            return replace(held, reason=f"waits: {site.failed_words()}")
        if not site.has_capacity and now_us < drain.start_us:
            return replace(held, reason="waits: nowhere has room for what runs there")
        return _to(held, Phase.CLOSED, now_us)

    def _of_closed(self, held: TrackedDrain, now_us: int, site: _Site) -> TrackedDrain:
        drain = held.drain
        if not site.tasks:
            return _to(held, Phase.OUT if now_us < drain.end_us else Phase.DONE, now_us)
        stuck = [task for task in site.tasks if not task.movable and not task.offered]
        if now_us >= drain.start_us and stuck:
            if held.unsafe is UnsafePolicy.GIVE_UP:
                reason = f"{len(stuck)} task(s) that must not start twice still run"
                return _to(held, Phase.GIVEN_UP, now_us, reason)
            held = replace(held, late=True)
            if held.unsafe is UnsafePolicy.WAIT:
                # The window waits: it ends as much later as it begins.
                end_us = now_us + drain.end_us - drain.start_us
                return replace(held, drain=replace(drain, start_us=now_us, end_us=end_us))
        if now_us >= drain.end_us:
            reason = f"{len(site.tasks)} task(s) still run at the window's end"
            return _to(held, Phase.GIVEN_UP, now_us, reason)
        return held

    def _moves(self, held: TrackedDrain, site: _Site) -> list[int]:
        """Own tasks to stop here and request anew, within the pace: those that would run longest first."""
        if not site.has_capacity:
            return []
        # What ends by itself before the window begins need not be moved.
        candidates = [
            task
            for task in site.tasks
            if task.movable
            and not task.offered
            and (task.ends_us is None or task.ends_us > held.drain.start_us)
        ]
        candidates.sort(key=lambda task: (-(task.ends_us or NO_END), task.request))
        chosen: list[int] = []
        while candidates and self._allowance >= 1:
            self._allowance -= 1
            chosen.append(candidates.pop(0).request)
        return chosen


def _to(held: TrackedDrain, phase: Phase, now_us: int, reason: str = "") -> TrackedDrain:
    return replace(held, phase=phase, since_us=now_us, reason=reason)
