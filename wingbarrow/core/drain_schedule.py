"""Effects of drains and maintenance slots: closed machines and moved tasks. `core.drainer` decides when."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace

from wingbarrow import interface as api
from wingbarrow.core.api_objects import ApiObjects
from wingbarrow.core.attempts import Attempt, Attempts, Stage
from wingbarrow.core.context import CoreContext
from wingbarrow.core.fleet import Fleet
from wingbarrow.core.host import Host
from wingbarrow.core.nodes import NodeEntry
from wingbarrow.core.runs import Runs
from wingbarrow.decide.maintenance.drain_plan import MachineState
from wingbarrow.decide.maintenance.drain_progress import RunningTask, TrackedDrain
from wingbarrow.kube import names

CLOCK_JITTER_US = 1_000  # closing times that differ by less count as equal


class DrainSchedule:
    """Owns which machines are closed to new tasks, and which close to long ones and when."""

    def __init__(
        self,
        context: CoreContext,
        host: Host,
        fleet: Fleet,
        attempts: Attempts,
        runs: Runs,
        objects: ApiObjects,
    ) -> None:
        self._context = context
        self._host = host
        self._fleet = fleet
        self._attempts = attempts
        self._runs = runs
        self._objects = objects
        # Machines that close to long tasks: the closing time by the module's clock.
        self._closing: dict[str, int] = {}
        self._closed: frozenset[str] = frozenset()
        self.is_closed_by_slot: Callable[[str], bool] = _never_closed
        fleet.guards.append(self._guard)
        fleet.is_drained = self._is_closed

    def _is_closed(self, name: str) -> bool:
        return name in self._closed or self.is_closed_by_slot(name)

    def _guard(self, entry: NodeEntry, listed: api.ListedMachine) -> api.ListedMachine:
        """Present a closed machine as draining; a drain can only restrict what the list allows (rule 3)."""
        if self._is_closed(entry.name) and listed.phase is api.Phase.RUNNING:
            return replace(listed, phase=api.Phase.DRAINING)
        return listed

    def machine_states(self) -> list[MachineState]:
        """The listed machines as the drain planner sees them; those that the list itself drains are not `running`."""
        requested = {each.machine: each.asked for each in self._host.knowledge().machines}
        states = []
        for name, entry in self._fleet.held.items():
            labels = entry.value["metadata"].get("labels") or {}
            states.append(
                MachineState(
                    name=name,
                    cell=str(labels.get(names.CELL, name)),
                    zone=entry.listed.zone,
                    kind=entry.listed.kind,
                    labels=labels,
                    size=self._fleet.size_of(entry),
                    requested=requested.get(entry.listed.machine) or (0.0, 0.0),
                    running=entry.listed.phase is api.Phase.RUNNING,
                )
            )
        return states

    def own_running(self) -> dict[str, list[RunningTask]]:
        """This placer's placed and offered tasks by machine, with their ends (wall clock) by their owners' hints."""
        running: dict[str, list[RunningTask]] = {}
        wall_shift_us = self._context.hub.clock.wall_us() - self._context.hub.now_us()
        for attempt in self._attempts.by_key.values():
            if attempt.stage is Stage.ENDED or attempt.stopping is not None:
                continue
            request = attempt.task.job.request
            is_offered = attempt.stage is not Stage.PLACED
            began_us = attempt.decided_us if is_offered else attempt.placed_us
            ends_us = None
            if request.expected_us is not None:
                ends_us = wall_shift_us + began_us + request.expected_us
            is_movable = not _is_unsafe(attempt) and not attempt.task.answer_uncertain
            running.setdefault(attempt.link.name, []).append(
                RunningTask(attempt.request, is_movable, ends_us, is_offered)
            )
        return running

    def on_planned(self, closing: dict[str, int], closed: frozenset[str]) -> None:
        """Restrict the module: no long tasks on machines in `closing`, no tasks at all on those in `closed`."""
        self._restrict_long_tasks(closing)
        if closed != self._closed:
            changed = closed ^ self._closed
            self._closed = closed
            self._fleet.reapply(self._publish(changed))

    def _restrict_long_tasks(self, closing: dict[str, int]) -> None:
        shift_us = self._context.hub.now_us() - self._context.hub.clock.wall_us()
        closing_us = {name: at_us + shift_us for name, at_us in closing.items()}
        changes: dict[int, int | None] = {
            names.ident(name): at_us
            for name, at_us in closing_us.items()
            if abs(self._closing.get(name, 0) - at_us) > CLOCK_JITTER_US
        }
        changes |= {names.ident(name): None for name in self._closing if name not in closing_us}
        self._closing = closing_us
        if changes:
            self._host.feed(api.Planned(changes))

    def _publish(self, machines: Iterable[str]) -> list[NodeEntry]:
        """Publish the Nodes of listed machines again, in order of name; returns their entries."""
        held = self._fleet.held
        entries = [held[name] for name in sorted(machines) if name in held]
        for entry in entries:
            self._objects.publish_node(entry, self._is_closed(entry.name))
        return entries

    def on_slots_changed(self, machines: Iterable[str]) -> None:
        """Publish machines that maintenance slots closed or opened, and pass them to the module again."""
        entries = self._publish(machines)
        if entries:
            self._fleet.reapply(entries)

    def move_task(self, request: int, why: str) -> None:
        """Stop a placed task and request it again; one that must not start twice is never moved."""
        attempt = self._attempts.of(request)
        if attempt is None or _is_unsafe(attempt):
            self._context.counts["moves_dropped"] += 1
            return
        self._context.counts["drain_moves"] += 1
        attempt.task.last_outcome = why
        self._runs.move(request)

    def report_drain(self, held: TrackedDrain) -> None:
        """Report a drain's phase to operators: by a log line, an Event and a condition of its Node."""
        self._context.counts["drains:" + held.phase.value] += 1
        name = held.drain.machine
        now = names.short_time(self._context.hub.clock.wall_us())
        reason = "Drain" + held.phase.value.title().replace(" ", "")
        self._objects.record_node_event(
            name,
            "Warning" if held.reason else "Normal",
            reason,
            f"window {held.drain.window}: {held.reason or held.phase.value}, "
            f"{held.moved} task(s) moved",
        )
        self._objects.set_node_condition(
            name,
            {
                "type": "wingbarrow.io/Drain",
                "status": str(held.phase.value in ("closed", "out")),
                "reason": reason,
                "message": held.reason or f"window {held.drain.window}",
                "lastTransitionTime": now,
                "lastHeartbeatTime": now,
            },
        )
        entry = self._fleet.held.get(name)
        if entry is not None:
            self._objects.publish_node(entry, self._is_closed(name))
        self._context.log(
            "drain",
            window=held.drain.window,
            machine=held.drain.machine,
            phase=held.phase.value,
            why=held.reason,
            moved=held.moved,
        )


def _never_closed(machine: str) -> bool:
    return False


def _is_unsafe(attempt: Attempt) -> bool:
    """Whether a task must not start twice."""
    return attempt.task.job.request.task_class.task_class.effect is api.Effect.UNSAFE
