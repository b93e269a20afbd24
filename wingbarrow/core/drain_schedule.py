"""Drains by the calendar, as the core carries them out; `core.drainer` says when, `decide` how."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace

from wingbarrow import interface as api
from wingbarrow.core.api_objects import ApiObjects
from wingbarrow.core.attempts import Attempts, Stage
from wingbarrow.core.base import Base
from wingbarrow.core.fleet import Fleet
from wingbarrow.core.host import Host
from wingbarrow.core.nodes import NodeEntry
from wingbarrow.core.runs import Runs
from wingbarrow.decide.maintenance.drain_plan import MachineState
from wingbarrow.decide.maintenance.drain_progress import Held, Running
from wingbarrow.kube import names


class Closing:
    """Owns which machines are closed, or close for long tasks."""

    def __init__(
        self,
        base: Base,
        host: Host,
        fleet: Fleet,
        attempts: Attempts,
        runs: Runs,
        board: ApiObjects,
    ) -> None:
        self._base, self._host, self._fleet, self._attempts = base, host, fleet, attempts
        self._runs, self._board = runs, board
        self._closing: dict[
            str, int
        ] = {}  # machines that close for long tasks: when, on the module's clock
        self._closed: frozenset[str] = frozenset()
        self.turned: Callable[[str], bool] = lambda name: False  # closed by a turn
        fleet.guards.append(self._guard)
        fleet.is_drained = self._is_closed

    def _is_closed(self, name: str) -> bool:
        return name in self._closed or self.turned(name)

    def _guard(self, entry: NodeEntry, listed: api.ListedMachine) -> api.ListedMachine:
        """The calendar can only take from what the list says (rule 3)."""
        if self._is_closed(entry.name) and listed.phase is api.Phase.RUNNING:
            return replace(listed, phase=api.Phase.DRAINING)
        return listed

    def machine_states(self) -> list[MachineState]:
        """The machines of the list as planning sees them; those that the list itself drains do not run."""
        asked = {each.machine: each.asked for each in self._host.knowledge().machines}
        out = []
        for name, entry in self._fleet.held.items():
            labels = entry.value["metadata"].get("labels") or {}
            out.append(
                MachineState(
                    name,
                    str(labels.get(names.CELL, name)),
                    entry.listed.zone,
                    entry.listed.kind,
                    labels,
                    self._fleet.size_of(entry),
                    asked.get(entry.listed.machine) or (0.0, 0.0),
                    entry.listed.phase is api.Phase.RUNNING,
                )
            )
        return out

    def own_running(self) -> dict[str, list[Running]]:
        """Own tasks by machine, placed or offered, with when they end by their owner's hint."""
        out: dict[str, list[Running]] = {}
        wall = self._base.hub.clock.wall_us() - self._base.hub.now_us()
        for attempt in self._attempts.by_key.values():
            if attempt.stage is not Stage.ENDED and attempt.stopping is None:
                asked = attempt.task.job.request
                offered = attempt.stage is not Stage.PLACED
                began = attempt.decided_us if offered else attempt.placed_us
                ends = None if asked.expected_us is None else wall + began + asked.expected_us
                movable = (
                    asked.task_class.task_class.effect is not api.Effect.UNSAFE
                    and not attempt.task.answer_uncertain
                )
                out.setdefault(attempt.link.name, []).append(
                    Running(attempt.request, movable, ends, offered)
                )
        return out

    def take_planned(self, closing: dict[str, int], closed: frozenset[str]) -> None:
        """Narrow the module: long tasks off machines that close, everything off those that are closed."""
        shift = self._base.hub.now_us() - self._base.hub.clock.wall_us()
        fresh = {name: at + shift for name, at in closing.items()}
        changes: dict[int, int | None] = {
            names.ident(name): at
            for name, at in fresh.items()
            if abs(self._closing.get(name, 0) - at) > 1_000
        }
        changes |= {names.ident(name): None for name in self._closing if name not in fresh}
        self._closing = fresh
        if changes:
            self._host.feed(api.Planned(changes))
        if closed != self._closed:
            touched = closed ^ self._closed
            self._closed = closed
            held = self._fleet.held
            entries = [held[name] for name in sorted(touched) if name in held]
            for entry in entries:
                self._board.show_node(entry, self._is_closed(entry.name))
            self._fleet.reapply(entries)

    def pass_again(self, machines: Iterable[str]) -> None:
        """Turns closed, or opened, machines: show that, to the module too."""
        held = self._fleet.held
        entries = [held[name] for name in sorted(machines) if name in held]
        for entry in entries:
            self._board.show_node(entry, self._is_closed(entry.name))
        if entries:
            self._fleet.reapply(entries)

    def move_task(self, request: int, why: str) -> None:
        """Stop a placed task and ask for it again; never one that must not start twice."""
        attempt = self._attempts.of(request)
        if (
            attempt is None
            or attempt.task.job.request.task_class.task_class.effect is api.Effect.UNSAFE
        ):
            self._base.counts["moves_dropped"] += 1
            return
        self._base.counts["drain_moves"] += 1
        attempt.task.last_outcome = why
        self._runs.move(request)

    def tell_drain(self, held: Held) -> None:
        """A drain's phase for people: a line in the log, an Event and a condition of its Node."""
        self._base.counts["drains:" + held.phase.value] += 1
        name, wall = held.drain.machine, self._base.hub.clock.wall_us()
        reason = "Drain" + held.phase.value.title().replace(" ", "")
        self._board.record_node_event(
            name,
            "Warning" if held.reason else "Normal",
            reason,
            f"window {held.drain.window}: {held.reason or held.phase.value}, "
            f"{held.moved} task(s) moved",
        )
        self._board.set_condition(
            name,
            {
                "type": "wingbarrow.io/Drain",
                "status": str(held.phase.value in ("closed", "out")),
                "reason": reason,
                "message": held.reason or f"window {held.drain.window}",
                "lastTransitionTime": names.short_time(wall),
                "lastHeartbeatTime": names.short_time(wall),
            },
        )
        entry = self._fleet.held.get(name)
        if entry is not None:
            self._board.show_node(entry, self._is_closed(name))
        self._base.log(
            "drain",
            window=held.drain.window,
            machine=held.drain.machine,
            phase=held.phase.value,
            why=held.reason,
            moved=held.moved,
        )
