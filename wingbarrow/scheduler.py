"""All decisions of wingbarrow; here attempts and final answers. Its types are those of interface.py.

Random Early Migration (REM, Zhao and Kuo) decides the ordinary path: a random pick of the three least loaded
machines that fit; a bind may move an own task. All else keeps the rules, or REM's view of load honest."""

import random
from typing import Any

from wingbarrow import interface as api
from wingbarrow.machine_state import FOREVER_US, WARM_US, WHOLE, Fleet, Machine, Task
from wingbarrow.placement import SWEEP_US, Choice

ASK_BACK = 0.25  # longest pause after discovery failed, as a share of the time to be 'deemed told'
UNRUN = (
    api.Outcome.REFUSED,
    api.Outcome.UNREACHABLE,
    api.Outcome.NOT_SENT,
)  # what never ran is taken back


class Scheduler:
    """One placer's decisions; it knows only what its own events tell."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self._rng, fleet = random.Random(seed), Fleet(settings)
        self._fleet, self._choice = fleet, Choice(fleet, self._rng)
        self._tasks, self._held = dict[int, Task](), dict[int, None]()
        self._out: dict[tuple[int, int], tuple[Machine, Task]] = {}
        self._on_settings(settings)
        self._watching = settings.discovery is api.Discovery.PUSH
        self._ask_us, self._wake_us = 0, FOREVER_US
        self._actions: list[api.Action] = []
        self.knowledge = fleet.knowledge  # what is known of machines, for another instance
        self._handlers: dict[type, Any] = {
            api.MachineList: self._on_list,
            api.TaskArrived: self._on_arrival,
            api.TaskFound: self._on_found,
            api.TaskWithdrawn: self._close,
            api.TaskPlaced: self._on_placed,
            api.AttemptEnded: self._on_ended,
            api.Probed: fleet.on_report,
            api.Learned: fleet.on_learned,
            api.Planned: self._choice.on_planned,
            api.TaskNote: self._on_note,
            api.TimerDue: self._on_timer,
            api.Settings: self._on_settings,
        }

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        """Decide on one event."""
        self._actions, self._fleet.now = [], now_us
        self._handlers[type(event)](event)
        return self._actions

    def _on_settings(self, settings: api.Settings) -> None:  # at the start, and when rules change
        self._settings = self._fleet.settings = settings
        self._classes = {each.name: each for each in settings.classes}
        for task in self._tasks.values():
            task.cls = self._classes.get(task.cls.name, task.cls)

    def _wake(self, at_us: int) -> None:
        """Have the sweep run then or before; it runs only while something waits for it."""
        if at_us < self._wake_us:
            self._wake_us = at_us
            self._actions.append(api.SetTimer(at_us, "sweep"))

    def _settle(self, task: Task) -> None:
        machine = self._choice.pick(task)
        self._held[task.arrival.request] = None
        if machine is None or not self._choice.may_bind(task, machine):  # every send passes here
            self._wake(self._fleet.now + SWEEP_US)
            return
        arrival, attempt, now = task.arrival, task.attempts, self._fleet.now
        task.attempts, task.out, task.since_us = attempt + 1, attempt, now
        self._enter(task, machine, attempt)
        machine.starts += 1
        machine.change(now, arrival.cores, arrival.memory)
        if self._fleet.is_cold(machine):
            if self._settings.arrivals_told:
                machine.unsure[(arrival.request, attempt)] = False
            else:
                machine.offers.append(now)
        self._held.pop(arrival.request, None)
        # Never abandoned early: a slow start that comes is worth more than a second one in line.
        self._actions.append(api.Bind(arrival.request, machine.listed.machine, arrival.deadline_us))
        moved = self._choice.move_off(machine)
        if moved is not None:
            del machine.own[
                moved.arrival.request
            ]  # it is on its way: no further bind may move it again
            self._actions.append(api.Move(moved.arrival.request))

    def _enter(self, task: Task, machine: Machine, attempt: int) -> None:
        self._out[(task.arrival.request, attempt)] = (machine, task)
        self._tasks[task.arrival.request] = machine.own[task.arrival.request] = task
        self._choice.count(task, machine, 1)

    def _on_arrival(self, event: api.TaskArrived) -> None:
        cls = self._classes.get(event.task_class)
        if cls is None or event.request in self._tasks:
            return
        due_us = event.deadline_us - self._settings.tick_us
        task = self._tasks[event.request] = Task(event, cls, self._fleet.now, due_us)
        self._actions.append(api.SetTimer(due_us, str(event.request)))
        self._settle(task)
        self._actions += self._fleet.probes()

    def _on_found(self, event: api.TaskFound) -> None:
        cls, machine = (
            self._classes.get(event.arrival.task_class),
            self._fleet.machines.get(event.machine),
        )
        if cls is None or machine is None or event.arrival.request in self._tasks:
            return
        self._enter(
            Task(event.arrival, cls, self._fleet.now, attempts=1, out=0, placed=True), machine, 0
        )
        self._fleet.warms(machine, event.arrival.service, FOREVER_US)

    def _on_placed(self, event: api.TaskPlaced) -> None:
        machine, task = self._out.get((event.request, event.attempt), (None, None))
        if machine is None or task is None or task.placed or task.out != event.attempt:
            return
        machine.came(self._fleet.now, (event.request, event.attempt), None)
        machine.starts -= 1
        self._choice.busy.clear()
        machine.rests = {
            k: rest for k, rest in machine.rests.items() if k not in (WHOLE, task.cls.name)
        }
        task.placed, task.since_us = True, self._fleet.now
        self._fleet.warms(machine, task.arrival.service, FOREVER_US)

    def _on_ended(self, event: api.AttemptEnded) -> None:
        machine, task = self._out.pop((event.request, event.attempt), (None, None))
        if machine is None or task is None:
            return
        arrival, now = task.arrival, self._fleet.now
        machine.came(now, (event.request, event.attempt), event.outcome)
        machine.own.pop(event.request, None)
        self._choice.count(task, machine, -1)
        machine.change(
            task.since_us if event.outcome in UNRUN else now, -arrival.cores, -arrival.memory
        )
        self._fleet.on_report(event)
        if task.placed:
            self._fleet.warms(machine, arrival.service, now + WARM_US)
        else:
            machine.starts -= 1
            self._choice.busy.clear()
            self._fleet.judge(machine, task, event)
        task.out = None
        if event.closed or task.placed:
            self._close(event)
        elif event.request in self._tasks:
            if event.outcome not in UNRUN and task.maybe is None:
                task.maybe = task.since_us, machine.listed
            # What no further send could serve is ended at once: its owner may ask again the sooner.
            over = task.maybe and task.cls.effect is api.Effect.UNSAFE
            (self._end if over or task.attempts >= self._settings.attempts_most else self._settle)(
                task
            )

    def _end(self, task: Task) -> None:
        # Danger (rule 2): a refusal says that trying again does no harm: given only where that is true.
        anywhere = task.cls.effect is api.Effect.KEYED and task.cls.group is api.Place.ALL
        harmless = (
            anywhere
            or task.cls.effect is api.Effect.SAFE
            or (task.out is None and task.maybe is None)
        )
        self._actions.append((api.Refuse if harmless else api.Fail)(task.arrival.request))
        self._close(task.arrival)

    def _close(self, ended: api.TaskWithdrawn | api.AttemptEnded | api.TaskArrived) -> None:
        self._tasks.pop(ended.request, None)
        self._held.pop(ended.request, None)

    def _on_list(self, event: api.MachineList) -> None:
        if event.form is api.ListForm.FAILED:
            self._watching = self._settings.discovery is api.Discovery.PUSH
            self._ask_us = self._fleet.now + int(
                self._settings.ask_every_us * ASK_BACK * self._rng.random()
            )
        elif event.form is api.ListForm.SAVED:
            self._choice.born_us = self._fleet.now  # it comes once, at the scheduler's start
        else:
            self._watching = True
        self._fleet.on_list(event)
        self._choice.busy.clear()
        if not self._watching:
            self._wake(self._ask_us)

    def _on_timer(self, event: api.TimerDue) -> None:
        task = self._tasks.get(int(event.name)) if event.name.isdecimal() else None
        if event.name == "sweep":
            self._sweep()
        # Danger (rule 1): nothing may stay unanswered past its own deadline, whatever was hoped for it.
        elif task is not None and not task.placed and self._fleet.now >= task.due_us:
            self._end(task)

    def _on_note(self, event: api.TaskNote) -> None:
        machine, task = self._out.get((event.request, event.attempt), (None, None))
        if machine is not None and task is not None and 0 <= event.level < float("inf"):
            self._fleet.on_note(machine, task, event)

    def _sweep(self) -> None:
        now = self._fleet.now
        if now < self._wake_us:
            return  # an older timer that an earlier one has replaced
        self._wake_us = FOREVER_US
        # Danger (rule 3): one not subscribed that asks too seldom is deemed told of drains it never heard of.
        if not self._watching:
            if now >= self._ask_us:
                self._ask_us = now + self._settings.ask_every_us // 2
                self._actions.append(api.WatchList())
            self._wake(self._ask_us)
        self._choice.busy.clear()
        for request in list(self._held):
            self._settle(self._tasks[request])
