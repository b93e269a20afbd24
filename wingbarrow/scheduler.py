"""The scheduler: attempts and final answers of one placer. Its events and actions are in interface.py.

It implements Random Early Migration (REM, Zhao and Kuo): each task goes to a random one of the three least
loaded machines that fit, and a bind may migrate one of the placer's own tasks early. Everything else here
enforces the five rules or keeps the load that REM sees accurate.
"""

import random
from typing import Any

from wingbarrow import interface as api
from wingbarrow.machine_state import (
    ALL_CLASSES,
    FOREVER_US,
    WARM_RETENTION_US,
    FleetState,
    Machine,
    Task,
)
from wingbarrow.placement import SWEEP_INTERVAL_US, MachineSelector

# Longest pause after discovery failed, as a share of the interval `ask_every_us`, after which a placer is
# treated as informed of drains.
MAX_LIST_RETRY_SHARE = 0.25
# Outcomes that prove that the task never ran: its resources are released as of the bind.
NEVER_RAN = (
    api.Outcome.REFUSED,
    api.Outcome.UNREACHABLE,
    api.Outcome.NOT_SENT,
)


class Scheduler:
    """The decisions of one placer, from its own events alone.

    The same settings, seed and events give the same actions.
    """

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self._rng = random.Random(seed)
        fleet = FleetState(settings)
        self._fleet = fleet
        self._selector = MachineSelector(fleet, self._rng)
        self._tasks = dict[int, Task]()
        self._pending = dict[int, None]()
        self._open_attempts: dict[tuple[int, int], tuple[Machine, Task]] = {}
        self._on_settings(settings)
        self._subscribed = settings.discovery is api.Discovery.PUSH
        self._next_watch_us = 0
        self._sweep_us = FOREVER_US
        self._actions: list[api.Action] = []
        self.knowledge = fleet.knowledge  # what is known of machines, for another instance
        self._handlers: dict[type, Any] = {
            api.MachineList: self._on_list,
            api.TaskArrived: self._on_arrival,
            api.TaskFound: self._on_found,
            api.TaskWithdrawn: self._forget,
            api.TaskPlaced: self._on_placed,
            api.AttemptEnded: self._on_ended,
            api.Probed: fleet.on_report,
            api.Learned: fleet.on_learned,
            api.Planned: self._selector.on_planned,
            api.TaskNote: self._on_note,
            api.TimerDue: self._on_timer,
            api.Settings: self._on_settings,
        }

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        """Decide on one event at `now_us`; return the actions to carry out, in order."""
        self._actions, self._fleet.now_us = [], now_us
        self._handlers[type(event)](event)
        return self._actions

    def _on_settings(self, settings: api.Settings) -> None:
        """Apply settings at the start and whenever the rules change; open tasks get their new class."""
        self._settings = self._fleet.settings = settings
        self._classes = {each.name: each for each in settings.classes}
        for task in self._tasks.values():
            task.task_class = self._classes.get(task.task_class.name, task.task_class)

    def _schedule_sweep(self, at_us: int) -> None:
        """Have the sweep run at `at_us` or earlier; no timer is set while nothing waits for it."""
        if at_us < self._sweep_us:
            self._sweep_us = at_us
            self._actions.append(api.SetTimer(at_us, "sweep"))

    def _try_bind(self, task: Task) -> None:
        """Bind the task if a machine is found, else keep it pending; the bind may migrate an own task."""
        machine = self._selector.select(task)
        self._pending[task.arrival.request] = None
        # Every bind passes this check, however the machine was selected.
        if machine is None or not self._selector.may_bind(task, machine):
            self._schedule_sweep(self._fleet.now_us + SWEEP_INTERVAL_US)
            return
        arrival, attempt, now_us = task.arrival, task.attempts, self._fleet.now_us
        task.attempts, task.open_attempt, task.state_since_us = attempt + 1, attempt, now_us
        self._register_attempt(task, machine, attempt)
        machine.pending_starts += 1
        machine.add_change(now_us, arrival.cores, arrival.memory)
        if self._fleet.is_cold(machine):
            if self._settings.arrivals_told:
                machine.unconfirmed_offers[(arrival.request, attempt)] = False
            else:
                machine.cold_offers.append(now_us)
        self._pending.pop(arrival.request, None)
        # The attempt stays open until the deadline: a slow start that succeeds is worth more than a new
        # attempt at the end of another machine's queue.
        self._actions.append(api.Bind(arrival.request, machine.listed.machine, arrival.deadline_us))
        moved = self._selector.select_move(machine)
        if moved is not None:
            # The task is being moved: no further bind may move it again.
            del machine.own_tasks[moved.arrival.request]
            self._actions.append(api.Move(moved.arrival.request))

    def _register_attempt(self, task: Task, machine: Machine, attempt: int) -> None:
        self._open_attempts[(task.arrival.request, attempt)] = (machine, task)
        self._tasks[task.arrival.request] = machine.own_tasks[task.arrival.request] = task
        self._selector.count_spread(task, machine, 1)

    def _on_arrival(self, event: api.TaskArrived) -> None:
        task_class = self._classes.get(event.task_class)
        if task_class is None or event.request in self._tasks:
            return
        due_us = event.deadline_us - self._settings.tick_us
        task = self._tasks[event.request] = Task(event, task_class, self._fleet.now_us, due_us)
        self._actions.append(api.SetTimer(due_us, str(event.request)))
        self._try_bind(task)
        self._actions += self._fleet.next_probes()

    def _on_found(self, event: api.TaskFound) -> None:
        task_class = self._classes.get(event.arrival.task_class)
        machine = self._fleet.machines.get(event.machine)
        if task_class is None or machine is None or event.arrival.request in self._tasks:
            return
        self._register_attempt(
            Task(
                event.arrival,
                task_class,
                self._fleet.now_us,
                attempts=1,
                open_attempt=0,
                placed=True,
            ),
            machine,
            0,
        )
        self._fleet.mark_warm(machine, event.arrival.service, FOREVER_US)

    def _on_placed(self, event: api.TaskPlaced) -> None:
        machine, task = self._open_attempts.get((event.request, event.attempt), (None, None))
        if machine is None or task is None or task.placed or task.open_attempt != event.attempt:
            return
        machine.update_unconfirmed(self._fleet.now_us, (event.request, event.attempt), None)
        machine.pending_starts -= 1
        self._selector.blocked_classes.clear()
        machine.backoffs = {
            key: backoff
            for key, backoff in machine.backoffs.items()
            if key not in (ALL_CLASSES, task.task_class.name)
        }
        task.placed, task.state_since_us = True, self._fleet.now_us
        self._fleet.mark_warm(machine, task.arrival.service, FOREVER_US)

    def _on_ended(self, event: api.AttemptEnded) -> None:
        machine, task = self._open_attempts.pop((event.request, event.attempt), (None, None))
        if machine is None or task is None:
            return
        arrival, now_us = task.arrival, self._fleet.now_us
        machine.update_unconfirmed(now_us, (event.request, event.attempt), event.outcome)
        machine.own_tasks.pop(event.request, None)
        self._selector.count_spread(task, machine, -1)
        machine.add_change(
            task.state_since_us if event.outcome in NEVER_RAN else now_us,
            -arrival.cores,
            -arrival.memory,
        )
        self._fleet.on_report(event)
        if task.placed:
            self._fleet.mark_warm(machine, arrival.service, now_us + WARM_RETENTION_US)
        else:
            machine.pending_starts -= 1
            self._selector.blocked_classes.clear()
            self._fleet.record_failed_start(machine, task, event)
        task.open_attempt = None
        if event.closed or task.placed:
            self._forget(event)
        elif event.request in self._tasks:
            if event.outcome not in NEVER_RAN and task.possible_run is None:
                task.possible_run = task.state_since_us, machine.listed
            # A task that no further attempt can serve is answered at once: its owner can retry sooner.
            unsafe_to_repeat = task.possible_run and task.task_class.effect is api.Effect.UNSAFE
            (
                self._give_final_answer
                if unsafe_to_repeat or task.attempts >= self._settings.attempts_most
                else self._try_bind
            )(task)

    def _give_final_answer(self, task: Task) -> None:
        """Refuse the task where a retry is harmless, else fail it."""
        # Danger (rule 2): a refusal promises that a retry does no harm; it is sent only where that is true.
        deduplicated_everywhere = (
            task.task_class.effect is api.Effect.KEYED and task.task_class.group is api.Place.ALL
        )
        harmless = (
            deduplicated_everywhere
            or task.task_class.effect is api.Effect.SAFE
            or (task.open_attempt is None and task.possible_run is None)
        )
        self._actions.append((api.Refuse if harmless else api.Fail)(task.arrival.request))
        self._forget(task.arrival)

    def _forget(self, ended: api.TaskWithdrawn | api.AttemptEnded | api.TaskArrived) -> None:
        """Drop the request; an attempt that is still open stays counted on its machine until it ends."""
        self._tasks.pop(ended.request, None)
        self._pending.pop(ended.request, None)

    def _on_list(self, event: api.MachineList) -> None:
        if event.form is api.ListForm.FAILED:
            self._subscribed = self._settings.discovery is api.Discovery.PUSH
            self._next_watch_us = self._fleet.now_us + int(
                self._settings.ask_every_us * MAX_LIST_RETRY_SHARE * self._rng.random()
            )
        elif event.form is api.ListForm.SAVED:
            self._selector.started_us = self._fleet.now_us  # sent once, at the scheduler's start
        else:
            self._subscribed = True
        self._fleet.on_list(event)
        self._selector.blocked_classes.clear()
        if not self._subscribed:
            self._schedule_sweep(self._next_watch_us)

    def _on_timer(self, event: api.TimerDue) -> None:
        task = self._tasks.get(int(event.name)) if event.name.isdecimal() else None
        if event.name == "sweep":
            self._sweep()
        # Danger (rule 1): no task may stay unanswered past its deadline, even while an attempt is open.
        elif task is not None and not task.placed and self._fleet.now_us >= task.answer_due_us:
            self._give_final_answer(task)

    def _on_note(self, event: api.TaskNote) -> None:
        machine, task = self._open_attempts.get((event.request, event.attempt), (None, None))
        if machine is not None and task is not None and 0 <= event.level < float("inf"):
            self._fleet.on_note(machine, task, event)

    def _sweep(self) -> None:
        """Try all pending tasks again, and ask for the list of machines where its time has come."""
        now_us = self._fleet.now_us
        if now_us < self._sweep_us:
            return  # a timer that a later request for an earlier sweep has replaced
        self._sweep_us = FOREVER_US
        # Danger (rule 3): a placer without a subscription that asks for the list too rarely is treated as
        # informed of drains that it never received.
        if not self._subscribed:
            if now_us >= self._next_watch_us:
                self._next_watch_us = now_us + self._settings.ask_every_us // 2
                self._actions.append(api.WatchList())
            self._schedule_sweep(self._next_watch_us)
        self._selector.blocked_classes.clear()
        for request in list(self._pending):
            self._try_bind(self._tasks[request])
