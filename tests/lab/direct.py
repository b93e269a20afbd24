"""Arrivals given straight to the module, with machines that take what fits: what the program is compared with."""

from __future__ import annotations

import heapq
import itertools

from wingbarrow import interface as api
from wingbarrow.kube.names import ident
from wingbarrow.lab.machine import Machine
from wingbarrow.lab.wants import PATIENCE_US, Want
from wingbarrow.scheduler import Scheduler

START_US, S = 120_000, 1_000_000


def place_directly(
    scheduler: Scheduler, machines: list[Machine], wants: list[Want]
) -> tuple[int, int]:
    """How many wants are placed, and how many refused, without any program around the module."""
    builds = {ident(machine.name): machine.build for machine in machines}
    room = {
        key: [build.cores * build.booking_cores, build.memory * build.booking_memory]
        for key, build in builds.items()
    }
    order, placed, refused = itertools.count(), 0, 0
    events: list[tuple[int, int, api.Event]] = []
    by_request = dict(enumerate(wants))
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
                room[key][0] - build.cores * (build.booking_cores - 1),
                room[key][1] - build.memory * (build.booking_memory - 1),
            )
            for key, build in builds.items()
        )

    at(0, api.MachineList(api.ListForm.SAVED, ()))
    for second in range(1, 100):
        at(second * S, api.MachineList(api.ListForm.FULL, ()))  # filled in when its time has come
    for request, want in by_request.items():
        now = 2 * S + want.at_us
        at(
            now,
            api.TaskArrived(
                request,
                want.task_class,
                want.service,
                want.ident,
                want.cores,
                want.memory,
                now + PATIENCE_US[want.task_class],
                want.runs_us,
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
            want = by_request[event.request]
            room[event.machine][0] += want.cores
            room[event.machine][1] += want.memory
        for action in scheduler.handle(now, event):
            if isinstance(action, api.Bind):
                number = attempts[action.request] = attempts.get(action.request, -1) + 1
                want, free = by_request[action.request], room[action.machine]
                if (
                    now + START_US >= action.give_up_us
                ):  # it could only start after its owner's patience
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
                    room[action.machine][0] -= want.cores
                    room[action.machine][1] -= want.memory
                elif want.cores <= free[0] and want.memory <= free[1]:
                    free[0] -= want.cores
                    free[1] -= want.memory
                    at(
                        now + START_US,
                        api.TaskPlaced(action.request, number, action.machine, START_US),
                    )
                    at(
                        now + START_US + want.runs_us,
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
                    why = api.Reason.NO_CORES if want.cores > free[0] else api.Reason.NO_MEMORY
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
