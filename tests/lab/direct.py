"""Arrivals given directly to the scheduler module, with machines that accept what fits.

The whole program is compared with its result.
"""

from __future__ import annotations

import heapq
import itertools

from wingbarrow import interface as api
from wingbarrow.kube.names import ident
from wingbarrow.lab.machine import Machine
from wingbarrow.lab.workload import PATIENCE_US, TaskSpec
from wingbarrow.scheduler import Scheduler

START_US, S = 120_000, 1_000_000


def place_directly(
    scheduler: Scheduler, machines: list[Machine], specs: list[TaskSpec]
) -> tuple[int, int]:
    """Numbers of tasks placed and refused by the module alone, without the program around it."""
    builds = {ident(machine.name): machine.build for machine in machines}
    free_capacity = {
        key: [build.cores * build.booking_cores, build.memory * build.booking_memory]
        for key, build in builds.items()
    }
    order, placed, refused = itertools.count(), 0, 0
    events: list[tuple[int, int, api.Event]] = []
    by_request = dict(enumerate(specs))
    attempts: dict[int, int] = {}
    ended: set[int] = set()

    def at(when: int, event: api.Event) -> None:
        heapq.heappush(events, (when, next(order), event))

    def listed() -> tuple[api.ListedMachine, ...]:
        return tuple(
            api.ListedMachine(
                key,
                build.kind,
                ident(f"{build.zone}/{build.cell}"),
                build.zone,
                api.Phase.RUNNING,
                0,
                free_capacity[key][0] - build.cores * (build.booking_cores - 1),
                free_capacity[key][1] - build.memory * (build.booking_memory - 1),
            )
            for key, build in builds.items()
        )

    at(0, api.MachineList(api.ListForm.SAVED, ()))
    for second in range(1, 100):
        # The content of the list is filled in when it is processed.
        at(second * S, api.MachineList(api.ListForm.FULL, ()))
    for request, spec in by_request.items():
        now = 2 * S + spec.at_us
        at(
            now,
            api.TaskArrived(
                request,
                spec.task_class,
                spec.service,
                spec.ident,
                spec.cores,
                spec.memory,
                now + PATIENCE_US[spec.task_class],
                spec.runs_us,
            ),
        )
    while events:
        now, _, event = heapq.heappop(events)
        if isinstance(event, api.MachineList) and event.form is api.ListForm.FULL:
            event = api.MachineList(api.ListForm.FULL, listed())
        if isinstance(event, api.TaskPlaced):
            assert event.request not in ended, "placed after its answer"
            placed += 1
        if isinstance(event, api.AttemptEnded) and event.closed:
            spec = by_request[event.request]
            free_capacity[event.machine][0] += spec.cores
            free_capacity[event.machine][1] += spec.memory
        for action in scheduler.handle(now, event):
            if isinstance(action, api.Bind):
                number = attempts[action.request] = attempts.get(action.request, -1) + 1
                spec, free = by_request[action.request], free_capacity[action.machine]
                # It could only start after its owner's patience.
                if now + START_US >= action.give_up_us:
                    at(
                        action.give_up_us,
                        api.AttemptEnded(
                            action.request,
                            number,
                            action.machine,
                            api.Outcome.TIMED_OUT,
                            api.Reason.UNTOLD,
                            True,
                            0,
                            None,
                        ),
                    )
                    free_capacity[action.machine][0] -= spec.cores
                    free_capacity[action.machine][1] -= spec.memory
                elif spec.cores <= free[0] and spec.memory <= free[1]:
                    free[0] -= spec.cores
                    free[1] -= spec.memory
                    at(
                        now + START_US,
                        api.TaskPlaced(action.request, number, action.machine, START_US),
                    )
                    at(
                        now + START_US + spec.runs_us,
                        api.AttemptEnded(
                            action.request,
                            number,
                            action.machine,
                            api.Outcome.DONE,
                            api.Reason.UNTOLD,
                            True,
                            0,
                            None,
                        ),
                    )
                else:
                    why = api.Reason.NO_CORES if spec.cores > free[0] else api.Reason.NO_MEMORY
                    at(
                        now + 8_000,
                        api.AttemptEnded(
                            action.request,
                            number,
                            action.machine,
                            api.Outcome.REFUSED,
                            why,
                            False,
                            8_000,
                            None,
                        ),
                    )
            elif isinstance(action, (api.Refuse, api.Fail)):
                refused += 1
                ended.add(action.request)
            elif isinstance(action, api.SetTimer):
                at(action.at_us, api.TimerDue(action.name))
    return placed, refused
