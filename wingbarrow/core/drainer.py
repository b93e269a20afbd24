"""Calendar drains of one placer: plan them, narrow the placement module, move own tasks at its share of the pace.

What is out when is decided in `decide.maintenance.drain_plan`, what may be done next in
`decide.maintenance.drain_progress`; where a moved task goes, by the placement module. The state of drains is kept on
disk: after a restart, or when the clock is set back, they go on from there.
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
from wingbarrow.decide.maintenance.drain_plan import Drain, Fate, MachineState, plan
from wingbarrow.decide.maintenance.drain_progress import (
    OVER,
    Drains,
    Held,
    Phase,
    Running,
    failed_zones,
)
from wingbarrow.decide.maintenance.windows import Series, UnsafePolicy, expand_all, to_us
from wingbarrow.decide.rulesets.agreed_drains import AskedDrain
from wingbarrow.transport import Hub

SECOND = 1_000_000
TURN_US = 500_000
PLAN_EVERY_US = 60 * SECOND
HORIZON_US = 8 * 86_400 * SECOND
EARLIER_US = 86_400 * SECOND
FORM = 1
ASKED_MOST = 64
LOST_KEPT_US = (
    600 * SECOND
)  # a machine that vanished without a drain speaks for its hall's failure so long


class _Kept(msgspec.Struct):
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


class Host(Protocol):
    """The placer, as far as drains go."""

    def machine_states(self) -> list[MachineState]:
        """The machines of the list; those that drain by the list's word do not run."""

    def own_running(self) -> dict[str, list[Running]]:
        """Own placed tasks by machine."""

    def take_planned(self, closing: dict[str, int], closed: frozenset[str]) -> None:
        """Machines that close for long tasks at a wall time, and those that are closed."""

    def move_task(self, request: int, why: str) -> None:
        """Stop a task here and ask for it again."""

    def tell_drain(self, held: Held) -> None:
        """A drain has come to another phase."""


class Drainer:
    """Runs the calendar of one placer."""

    def __init__(
        self,
        hub: Hub,
        paths: tuple[str, ...],
        kinds_needed: tuple[str, ...],
        placers: int,
        state: str | None,
        host: Host,
        log: Callable[..., None],
        agreed: bool = False,
    ) -> None:
        self._hub = hub
        self._paths = paths
        self._kinds_needed = kinds_needed
        self._host = host
        self._log = log
        self._file = Path(state) / "drains.json" if state else None
        self.agreed = (
            agreed  # windows and drains are what placers agree on, and nothing of this one's own
        )
        self.may_move: Callable[[], bool] = lambda: True
        self.on_closed: Callable[[frozenset[str]], None] = lambda machines: None
        self._closed = frozenset[str]()
        self._agreed: dict[str, AskedDrain] = {}  # by machine
        self.calendar = Calendar() if agreed else load_calendar(paths, kinds_needed)
        self.drains = Drains(self.calendar.policy, placers)
        self.refused: list[Drain] = []
        self._asked: list[Series] = []  # drains that an operator asked for now
        self._planned_us: int | None = None
        self._planned_for: frozenset[str] = frozenset()
        # Machines that were seen running, their hall and when last: so a lost hall is noticed.
        self._seen: dict[str, tuple[str, int]] = {}

    def reload(self) -> bool:
        """Read the calendar again, whole or not at all; False, and told, where it cannot be used."""
        if self.agreed:
            self._log(
                "calendar-agreed",
                what="a calendar read again changes nothing: `wingbarrow rules propose`",
            )
            return True
        try:
            fresh = load_calendar(self._paths, self._kinds_needed)
        except SettingsError as error:
            for line, words in error.problems[:20]:
                self._log("calendar-refused", level="error", file=error.name, line=line, why=words)
            return False
        self.calendar = fresh
        self.drains.take_policy(fresh.policy)
        self._planned_us = None
        return True

    def take(
        self, calendar: Calendar, asked: tuple[AskedDrain, ...], cancelled: tuple[str, ...]
    ) -> None:
        """What placers agree on, in place of what was there; acted on when this returns."""
        now = self._hub.clock.wall_us()
        self.calendar, self._asked = calendar, [each.series() for each in asked]
        self.drains.take_policy(calendar.policy)
        self.drains.by_turns = frozenset(each.name for each in calendar.series)
        windows = frozenset(each.name for each in (*calendar.series, *self._asked))
        for each in self.drains.agree(windows, frozenset(cancelled), now):
            self._host.tell_drain(each)
        self._agreed = {each.machine: each for each in asked}
        self._planned_us = None
        self.turn()

    def closes(self, machine: str) -> bool:
        """Whether a drain that placers agree on closes a machine, also before it is planned here."""
        asked = self._agreed.get(machine)
        if (
            asked is None
            or not asked.start_us <= self._hub.clock.wall_us() < asked.start_us + asked.lasts_us
        ):
            return False
        held = self.drains.held.get(asked.key)
        return held is None or held.phase not in OVER

    def run(self) -> None:
        """Follow the calendar until cancelled."""
        self._restore()
        while True:
            self.turn()
            self._hub.sleep(TURN_US)

    def turn(self) -> None:
        """Plan where it is time to, then do what is due."""
        if not (self.calendar.series or self._asked or self.drains.held):
            return
        now = self._hub.clock.wall_us()
        machines = self._host.machine_states()
        self._look(now, machines)
        self._plan(now, machines)
        running = self._host.own_running()
        held = [
            each for each in self.drains.held.values() if each.phase in (Phase.CLOSED, Phase.OUT)
        ]
        drained = {each.drain.machine for each in held}
        here = {machine.name for machine in machines if machine.running}
        failed = failed_zones(
            ((zone, name in here, name in drained) for name, (zone, _) in self._seen.items()),
            self.calendar.policy.failed_share,
        )
        zones = {name: zone for name, (zone, _) in self._seen.items()}
        turn = self.drains.step(now, running, zones, failed, self._room(machines, drained))
        self._host.take_planned(turn.closing, turn.closed)
        for each in turn.changed:
            self._host.tell_drain(each)
        if turn.closed != self._closed:
            self._closed = turn.closed
            self.on_closed(turn.closed)
        # Danger: what is stopped here while this placer may act on no rules could not be started elsewhere.
        for request in turn.moves if self.may_move() else ():
            self._host.move_task(request, "its machine is drained by the calendar")
        if turn.changed:
            self._save()

    def _look(self, now: int, machines: list[MachineState]) -> None:
        """A machine that the list drained has left by intent; one that vanished counts as lost for a while."""
        for machine in machines:
            if machine.running:
                self._seen[machine.name] = machine.zone, now
            else:
                self._seen.pop(machine.name, None)
        for name in [
            name for name, (_, at) in self._seen.items() if not 0 <= now - at <= LOST_KEPT_US
        ]:
            del self._seen[name]

    def _plan(self, now: int, machines: list[MachineState]) -> None:
        names = frozenset(machine.name for machine in machines if machine.running)
        due = self._planned_us is None or not 0 <= now - self._planned_us < PLAN_EVERY_US
        if not machines or not (due or names != self._planned_for):
            return
        self._planned_us, self._planned_for = now, names
        self._asked = [each for each in self._asked if to_us(each.start) + each.lasts_us > now]
        occurrences = expand_all(
            [*self._asked, *self.calendar.series], now - EARLIER_US, now + HORIZON_US
        )
        unsafe = {occurrence.ident: occurrence.series.unsafe for occurrence in occurrences}
        found = plan(occurrences, machines, self.calendar.rules)
        if self.agreed:
            # Weighed when it was asked for: who sees the fleet otherwise now must not leave it out.
            windows = {each.name for each in self._asked}
            found = [
                replace(each, fate=Fate.PLANNED, reason="") if each.window in windows else each
                for each in found
            ]
        self.drains.take_plan(
            [(drain, unsafe[drain.occurrence]) for drain in found if drain.fate is Fate.PLANNED],
            now,
        )
        self.refused = [
            drain for drain in found if drain.fate is Fate.REFUSED and drain.end_us > now
        ]

    def _room(self, machines: list[MachineState], drained: set[str]) -> dict[str, bool]:
        """Whether what is asked on a machine would fit on those that stay, by what is asked now."""
        fill = self.calendar.rules.fill
        staying = [
            machine for machine in machines if machine.running and machine.name not in drained
        ]
        free = [
            sum(fill * machine.size[i] - machine.asked[i] for machine in staying) for i in (0, 1)
        ]
        out: dict[str, bool] = {}
        for machine in machines:
            own = [
                fill * machine.size[i] - machine.asked[i] if machine.name not in drained else 0.0
                for i in (0, 1)
            ]
            out[machine.name] = all(free[i] - own[i] >= machine.asked[i] - 1e-9 for i in (0, 1))
        return out

    # -- what survives a restart

    def _save(self) -> None:
        if self._file is None:
            return
        raw = msgspec.json.encode(
            [
                _Kept(
                    each.drain.key,
                    each.drain.window,
                    each.drain.occurrence,
                    each.drain.machine,
                    each.drain.start_us,
                    each.drain.end_us,
                    each.phase.value,
                    each.unsafe.value,
                    each.since_us,
                    each.moved,
                    each.late,
                    each.reason,
                )
                for each in self.drains.held.values()
                if each.phase is not Phase.PLANNED
            ]
        )
        data = msgspec.json.encode(_File(FORM, xxhash.xxh64_hexdigest(raw), msgspec.Raw(raw)))
        try:
            write_atomically(self._file, data)
        except OSError as error:
            self._log("drains-not-saved", level="error", why=str(error))

    def _restore(self) -> None:
        if self._file is None or not self._file.exists():
            return
        try:
            file: _File = msgspec.json.decode(self._file.read_bytes(), type=_File)
            if file.form != FORM or xxhash.xxh64_hexdigest(bytes(file.drains)) != file.digest:
                raise ValueError("its digest or form is wrong")
            kept: list[_Kept] = msgspec.json.decode(file.drains, type=list[_Kept])
            self.drains.restore(
                Held(
                    Drain(
                        each.window,
                        each.occurrence,
                        each.machine,
                        Fate.PLANNED,
                        each.start_us,
                        each.end_us,
                    ),
                    Phase(each.phase),
                    UnsafePolicy(each.unsafe),
                    each.since_us,
                    each.moved,
                    each.late,
                    each.reason,
                )
                for each in kept
            )
        except (OSError, ValueError, msgspec.MsgspecError) as error:
            self._log(
                "saved-drains-unusable", level="error", file=str(self._file), why=str(error)[:200]
            )

    # -- for operators

    def cancel(self, key: str) -> bool:
        """Take a drain back; False where there is none to take."""
        now = self._hub.clock.wall_us()
        done = self.drains.cancel(key, now)
        if done:
            self._host.tell_drain(self.drains.held[key])
            self._save()
            self.turn()
        return done

    def ask_now(self, machine: str, lasts_us: int) -> Drain:
        """Drain a machine from now on, under the same budgets; the drain as planned, or refused with the reason."""
        asked, drain = self.weigh(machine, lasts_us)
        if drain.fate is Fate.PLANNED:
            self._asked = [*self._asked[-ASKED_MOST:], asked.series()]
            self._planned_us = None
            self.turn()
        return drain

    def weigh(self, machine: str, lasts_us: int) -> tuple[AskedDrain, Drain]:
        """What would come of a drain from now on; nothing changes."""
        now = self._hub.clock.wall_us()
        asked = AskedDrain(machine, now // SECOND * SECOND, lasts_us)
        every = [asked.series(), *self._asked, *self.calendar.series]
        found = plan(
            expand_all(every, now - EARLIER_US, now + HORIZON_US),
            self._host.machine_states(),
            self.calendar.rules,
        )
        mine = [each for each in found if each.window == asked.window]
        if not mine:
            return asked, Drain(
                asked.window, "", machine, Fate.REFUSED, now, now, "no such machine runs"
            )
        return asked, mine[0]

    def describe(self) -> list[dict[str, Any]]:
        """All drains that are known, by their start, refused ones with their reason."""
        out = [
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
            for each in self.drains.held.values()
        ]
        out += [
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
        return sorted(out, key=lambda each: (each["startUs"], each["key"]))
