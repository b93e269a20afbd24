"""Calendar drains of one placer: plans them, restricts placement and moves its own tasks at its share of the pace.

`decide.maintenance.drain_plan` decides which machines are drained and when, `decide.maintenance.drain_progress` what
may be done next, and the placement module where a moved task goes. The state of drains is kept on disk, so that they
continue after a restart, and when the clock is set back.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any, Protocol

import msgspec
import xxhash

from wingbarrow.config.calendar import Calendar, load_calendar
from wingbarrow.config.load import SettingsError
from wingbarrow.core.saved_list import write_atomically
from wingbarrow.decide.maintenance.drain_plan import (
    FLOAT_TOLERANCE,
    Drain,
    MachineState,
    PlanOutcome,
    plan,
)
from wingbarrow.decide.maintenance.drain_progress import (
    ACTIVE_PHASES,
    ENDED_PHASES,
    DrainStep,
    DrainTracker,
    Phase,
    RunningTask,
    TrackedDrain,
    failed_zones,
)
from wingbarrow.decide.maintenance.windows import Series, UnsafePolicy, expand_all, to_wall_us
from wingbarrow.decide.rulesets.agreed_drains import AskedDrain
from wingbarrow.transport import Hub

SECOND_US = 1_000_000
STEP_INTERVAL_US = 500_000
PLAN_INTERVAL_US = 60 * SECOND_US
HORIZON_US = 8 * 86_400 * SECOND_US  # how far ahead drains are planned
LOOKBACK_US = 86_400 * SECOND_US  # how far back the starts of present windows are sought
LOSS_MEMORY_US = 600 * SECOND_US  # how long a vanished machine counts towards a failure of its zone
STATE_FORMAT = 1  # of the state file
MAX_REQUESTED_DRAINS = 64
MAX_LOGGED_PROBLEMS = 20
MAX_LOGGED_CHARACTERS = 200


class _StoredDrain(msgspec.Struct):
    """A drain in the state file."""

    key: str
    window: str
    occurrence: str
    machine: str
    start_us: int
    end_us: int
    phase: str
    unsafe: str
    since_us: int
    moved: int
    late: bool
    reason: str


class _File(msgspec.Struct):
    form: int
    digest: str
    drains: msgspec.Raw


class DrainHost(Protocol):
    """What the drainer needs of its placer."""

    def machine_states(self) -> list[MachineState]:
        """The listed machines; those that the list itself drains are not `running`."""

    def own_running(self) -> dict[str, list[RunningTask]]:
        """This placer's placed and offered tasks by machine."""

    def on_planned(self, closing: dict[str, int], closed: frozenset[str]) -> None:
        """Apply the machines that close to long tasks, with their closing times (wall clock), and the closed ones."""

    def move_task(self, request: int, why: str) -> None:
        """Stop a task here and request it again."""

    def report_drain(self, held: TrackedDrain) -> None:
        """Report that a drain entered a new phase."""


class Drainer:
    """Runs the calendar of one placer."""

    def __init__(
        self,
        hub: Hub,
        paths: tuple[str, ...],
        kinds_needed: tuple[str, ...],
        placers: int,
        state: str | None,
        host: DrainHost,
        log: Callable[..., None],
        *,
        is_agreed: bool = False,
    ) -> None:
        self._hub = hub
        self._paths = paths
        self._kinds_needed = kinds_needed
        self._host = host
        self._log = log
        self._file = Path(state) / "drains.json" if state else None
        self.is_agreed = is_agreed  # windows and drains are those on which placers agree
        self.may_move: Callable[[], bool] = lambda: True
        self.on_closed: Callable[[frozenset[str]], None] = lambda machines: None
        self._closed = frozenset[str]()
        self._agreed_drains: dict[str, AskedDrain] = {}  # by machine
        self.calendar = Calendar() if is_agreed else load_calendar(paths, kinds_needed)
        self.drains = DrainTracker(self.calendar.policy, placers)
        self.refused: list[Drain] = []
        self._requested: list[Series] = []  # drains that operators requested
        self._planned_us: int | None = None
        self._planned_for: frozenset[str] = frozenset()
        # By name, the zone of each machine and when it last ran: failed zones are detected from these.
        self._last_running: dict[str, tuple[str, int]] = {}

    def reload(self) -> bool:
        """Reload the calendar. False, with the problems logged, if it is invalid; the present one then stays."""
        if self.is_agreed:
            self._log(
                "calendar-reload-ignored",
                what="placers agree on the calendar; change it by `wingbarrow rules propose`",
            )
            return True
        try:
            calendar = load_calendar(self._paths, self._kinds_needed)
        except SettingsError as error:
            for line, problem in error.problems[:MAX_LOGGED_PROBLEMS]:
                self._log(
                    "calendar-rejected", level="error", file=error.name, line=line, why=problem
                )
            return False
        self.calendar = calendar
        self.drains.on_policy(calendar.policy)
        self._planned_us = None
        return True

    def on_agreed(
        self, calendar: Calendar, asked: tuple[AskedDrain, ...], cancelled: tuple[str, ...]
    ) -> None:
        """Apply the windows and drains on which placers agree; they are in force when this returns."""
        now_us = self._hub.clock.wall_us()
        self.calendar = calendar
        self._requested = [each.series() for each in asked]
        self.drains.on_policy(calendar.policy)
        self.drains.slot_windows = frozenset(each.name for each in calendar.series)
        windows = frozenset(each.name for each in (*calendar.series, *self._requested))
        for each in self.drains.on_agreed(windows, frozenset(cancelled), now_us):
            self._host.report_drain(each)
        self._agreed_drains = {each.machine: each for each in asked}
        self._planned_us = None
        self.step()

    def is_closed(self, machine: str) -> bool:
        """Whether a drain on which placers agree closes a machine, also before it is planned here."""
        asked = self._agreed_drains.get(machine)
        if asked is None:
            return False
        now_us = self._hub.clock.wall_us()
        if not asked.start_us <= now_us < asked.start_us + asked.lasts_us:
            return False
        tracked = self.drains.tracked.get(asked.key)
        return tracked is None or tracked.phase not in ENDED_PHASES

    def run(self) -> None:
        """Restore the saved drains and follow the calendar until cancelled."""
        self._restore()
        while True:
            self.step()
            self._hub.sleep(STEP_INTERVAL_US)

    def step(self) -> None:
        """Plan if that is due, then advance every drain as far as possible."""
        if not (self.calendar.series or self._requested or self.drains.tracked):
            return
        now_us = self._hub.clock.wall_us()
        machines = self._host.machine_states()
        self._record_running(now_us, machines)
        self._plan(now_us, machines)
        running = self._host.own_running()
        drained = {
            each.drain.machine
            for each in self.drains.tracked.values()
            if each.phase in ACTIVE_PHASES
        }
        step = self.drains.step(
            now_us,
            running,
            zones={name: zone for name, (zone, _) in self._last_running.items()},
            failed=self._failed_zones(machines, drained),
            has_capacity=self._has_capacity(machines, drained),
        )
        self._apply(step)

    def _apply(self, step: DrainStep) -> None:
        self._host.on_planned(step.closing, step.closed)
        for each in step.changed:
            self._host.report_drain(each)
        if step.closed != self._closed:
            self._closed = step.closed
            self.on_closed(step.closed)
        # Danger: a task that is stopped while this placer may act on no rules could not be started elsewhere.
        for request in step.moves if self.may_move() else ():
            self._host.move_task(request, "its machine is drained by the calendar")
        if step.changed:
            self._save()

    def _record_running(self, now_us: int, machines: list[MachineState]) -> None:
        """Record when machines last ran. One that the list drained left on purpose; one that vanished is lost."""
        for machine in machines:
            if machine.running:
                self._last_running[machine.name] = (machine.zone, now_us)
            else:
                self._last_running.pop(machine.name, None)
        expired = [
            name
            for name, (_, at_us) in self._last_running.items()
            if not 0 <= now_us - at_us <= LOSS_MEMORY_US
        ]
        for name in expired:
            del self._last_running[name]

    def _failed_zones(self, machines: list[MachineState], drained: set[str]) -> frozenset[str]:
        running = {machine.name for machine in machines if machine.running}
        return failed_zones(
            (
                (zone, name in running, name in drained)
                for name, (zone, _) in self._last_running.items()
            ),
            self.calendar.policy.failed_share,
        )

    def _plan(self, now_us: int, machines: list[MachineState]) -> None:
        """Plan again every PLAN_INTERVAL_US, and whenever the set of running machines has changed."""
        running = frozenset(machine.name for machine in machines if machine.running)
        is_due = self._planned_us is None or not 0 <= now_us - self._planned_us < PLAN_INTERVAL_US
        if not machines or not (is_due or running != self._planned_for):
            return
        self._planned_us = now_us
        self._planned_for = running
        self._requested = [
            each for each in self._requested if to_wall_us(each.start) + each.duration_us > now_us
        ]
        occurrences = expand_all(
            [*self._requested, *self.calendar.series], now_us - LOOKBACK_US, now_us + HORIZON_US
        )
        unsafe = {occurrence.ident: occurrence.series.unsafe for occurrence in occurrences}
        drains = plan(occurrences, machines, self.calendar.rules)
        if self.is_agreed:
            drains = self._with_agreed_planned(drains)
        planned = [each for each in drains if each.outcome is PlanOutcome.PLANNED]
        self.drains.on_plan([(each, unsafe[each.occurrence]) for each in planned], now_us)
        self.refused = [
            each for each in drains if each.outcome is PlanOutcome.REFUSED and each.end_us > now_us
        ]

    def _with_agreed_planned(self, drains: list[Drain]) -> list[Drain]:
        """Keep requested drains planned: placers agreed on them, even if this placer now sees other machines."""
        windows = {each.name for each in self._requested}
        return [
            replace(each, outcome=PlanOutcome.PLANNED, reason="")
            if each.window in windows
            else each
            for each in drains
        ]

    def _has_capacity(self, machines: list[MachineState], drained: set[str]) -> dict[str, bool]:
        """By machine: whether the resources requested on it would fit on those that stay, by present requests."""
        fill = self.calendar.rules.fill
        staying = [
            machine for machine in machines if machine.running and machine.name not in drained
        ]
        free = [
            sum(fill * machine.size[i] - machine.requested[i] for machine in staying)
            for i in (0, 1)
        ]
        has_capacity: dict[str, bool] = {}
        for machine in machines:
            own = [0.0, 0.0]
            if machine.name not in drained:
                own = [fill * machine.size[i] - machine.requested[i] for i in (0, 1)]
            has_capacity[machine.name] = all(
                free[i] - own[i] >= machine.requested[i] - FLOAT_TOLERANCE for i in (0, 1)
            )
        return has_capacity

    # -- state on disk

    def _save(self) -> None:
        if self._file is None:
            return
        stored = [
            _to_stored(each)
            for each in self.drains.tracked.values()
            if each.phase is not Phase.PLANNED
        ]
        raw = msgspec.json.encode(stored)
        data = msgspec.json.encode(
            _File(STATE_FORMAT, xxhash.xxh64_hexdigest(raw), msgspec.Raw(raw))
        )
        try:
            write_atomically(self._file, data)
        except OSError as error:
            self._log("drains-not-saved", level="error", why=str(error))

    def _restore(self) -> None:
        if self._file is None or not self._file.exists():
            return
        try:
            self.drains.restore(_from_stored(each) for each in _read(self._file))
        except (OSError, ValueError, msgspec.MsgspecError) as error:
            self._log(
                "saved-drains-unusable",
                level="error",
                file=str(self._file),
                why=str(error)[:MAX_LOGGED_CHARACTERS],
            )

    # -- requests of operators

    def cancel(self, key: str) -> bool:
        """Cancel the drain of that key; False if there is none that has not ended."""
        is_cancelled = self.drains.cancel(key, self._hub.clock.wall_us())
        if is_cancelled:
            self._host.report_drain(self.drains.tracked[key])
            self._save()
            self.step()
        return is_cancelled

    def drain_now(self, machine: str, duration_us: int) -> Drain:
        """Drain a machine from now on, under the same budgets. Returns the drain, planned or refused with a reason."""
        request, drain = self.plan_drain(machine, duration_us)
        if drain.outcome is PlanOutcome.PLANNED:
            self._requested = [*self._requested[-MAX_REQUESTED_DRAINS:], request.series()]
            self._planned_us = None
            self.step()
        return drain

    def plan_drain(self, machine: str, duration_us: int) -> tuple[AskedDrain, Drain]:
        """The request for a drain from now on, and the drain as it would be planned; nothing changes."""
        now_us = self._hub.clock.wall_us()
        request = AskedDrain(machine, now_us // SECOND_US * SECOND_US, duration_us)
        series = [request.series(), *self._requested, *self.calendar.series]
        drains = plan(
            expand_all(series, now_us - LOOKBACK_US, now_us + HORIZON_US),
            self._host.machine_states(),
            self.calendar.rules,
        )
        own = [each for each in drains if each.window == request.window]
        if own:
            return request, own[0]
        unknown = Drain(
            window=request.window,
            occurrence="",
            machine=machine,
            outcome=PlanOutcome.REFUSED,
            start_us=now_us,
            end_us=now_us,
            reason="no such machine runs",
        )
        return request, unknown

    def describe(self) -> list[dict[str, Any]]:
        """All drains in order of start, refused ones with their reason, in the form of the REST API."""
        shown = [
            {
                "key": each.drain.key,
                "window": each.drain.window,
                "machine": each.drain.machine,
                "phase": each.phase.value,
                "startUs": each.drain.start_us,
                "endUs": each.drain.end_us,
                "moved": each.moved,
                "late": each.late,
                "reason": each.reason,
            }
            for each in self.drains.tracked.values()
        ]
        shown += [
            {
                "key": each.key,
                "window": each.window,
                "machine": each.machine,
                "phase": "refused",
                "startUs": each.start_us,
                "endUs": each.end_us,
                "moved": 0,
                "late": False,
                "reason": each.reason,
            }
            for each in self.refused
        ]
        return sorted(shown, key=lambda each: (each["startUs"], each["key"]))


def _read(path: Path) -> list[_StoredDrain]:
    """The drains of a state file; OSError, ValueError or MsgspecError if it cannot be used."""
    file: _File = msgspec.json.decode(path.read_bytes(), type=_File)
    if file.form != STATE_FORMAT or xxhash.xxh64_hexdigest(bytes(file.drains)) != file.digest:
        raise ValueError(f"state file has a wrong digest, or is not of form {STATE_FORMAT}")
    drains: list[_StoredDrain] = msgspec.json.decode(file.drains, type=list[_StoredDrain])
    return drains


def _to_stored(tracked: TrackedDrain) -> _StoredDrain:
    return _StoredDrain(
        key=tracked.drain.key,
        window=tracked.drain.window,
        occurrence=tracked.drain.occurrence,
        machine=tracked.drain.machine,
        start_us=tracked.drain.start_us,
        end_us=tracked.drain.end_us,
        phase=tracked.phase.value,
        unsafe=tracked.unsafe.value,
        since_us=tracked.since_us,
        moved=tracked.moved,
        late=tracked.late,
        reason=tracked.reason,
    )


def _from_stored(stored: _StoredDrain) -> TrackedDrain:
    return TrackedDrain(
        drain=Drain(
            window=stored.window,
            occurrence=stored.occurrence,
            machine=stored.machine,
            outcome=PlanOutcome.PLANNED,
            start_us=stored.start_us,
            end_us=stored.end_us,
        ),
        phase=Phase(stored.phase),
        unsafe=UnsafePolicy(stored.unsafe),
        since_us=stored.since_us,
        moved=stored.moved,
        late=stored.late,
        reason=stored.reason,
    )
