"""Maintenance workers: request a turn, poll until the machine is out, work, renew the turn, and give the machine back.

The machine's record gets `work-begin` and `work-end`, each with the number of tasks on the machine at that time.
"""

from __future__ import annotations

from typing import Any

from wingbarrow.lab.fleet.commands import MAX_ATTEMPTS, Commands
from wingbarrow.lab.fleet.places import Places, Slot
from wingbarrow.lab.fleet.process import SECOND
from wingbarrow.lab.fleet.script import Fault
from wingbarrow.lab.machine import Machine

POLL_INTERVAL_US = SECOND // 2
TURN_TIMEOUT_US = 120 * SECOND
RENEW_INTERVAL_US = 2 * SECOND
FINAL_STATES = ("done", "given-back")
WORKER = "the-rig"


class Worker:
    """All workers of a run."""

    def __init__(self, places: Places, commands: Commands) -> None:
        self._places, self._commands, self._hub = places, commands, places.hub

    def work(self, fault: Fault) -> None:
        """Request one turn from a placer; returns when the turn is over, or was not granted in time."""
        machines = self._places.machines
        machine = machines[int(fault.amount) % 100 % len(machines)]
        urgency, ident = int(fault.amount) // 100 % 10, f"rig-{machine.name}-{self._hub.now_us()}"
        answer = self._commands.at_leader(
            self._places.slot(fault.who),
            "POST",
            "turns",
            {
                "machine": machine.name,
                "urgency": urgency,
                "lasts": f"{fault.lasts_us // 1000}ms",
                "why": "operator",
                "worker": WORKER,
                "ident": ident,
            },
        )
        number = answer.get("number") if answer is not None else None
        self._places.event(
            "turn-asked", machine=machine.name, urgency=urgency, number=number, told=answer
        )
        if isinstance(number, int) and self._wait_until_out(number):
            self._work_on(machine, number, fault)

    def _wait_until_out(self, number: int) -> bool:
        deadline_us = self._hub.now_us() + TURN_TIMEOUT_US
        while self._hub.now_us() < deadline_us:
            state = self._state(number)
            if state == "out" or state in FINAL_STATES:
                return state == "out"
            self._hub.sleep(POLL_INTERVAL_US)
        self._places.event("turn-not-given", number=number)
        return False

    def _state(self, number: int) -> str:
        for slot in self._rotated_slots():
            answer = self._commands.get(slot, f"/apis/wingbarrow.io/v1/turns/{number}")
            if answer is not None and answer.get("state"):
                return str(answer["state"])
        return ""

    def _rotated_slots(self) -> list[Slot]:
        """Slots of all running placers, starting with another one at each poll."""
        running = self._places.running()
        first = self._hub.now_us() // POLL_INTERVAL_US % max(1, len(running))
        return running[first:] + running[:first]

    def _work_on(self, machine: Machine, number: int, fault: Fault) -> None:
        """Work for the fault's duration.

        With `fault.state`, the worker renews its turn and stops when its lease runs out; without, it renews only at the
        start and works on for the whole duration, as a worker that falls silent.
        """
        request_us = self._hub.now_us()
        answer = self._post(number, "renew")
        if answer is None or answer.get("state") != "out":
            self._places.event("turn-not-held", number=number, told=answer)
            return
        lease_us, end_us = int(answer["leaseUs"]), request_us + fault.lasts_us
        self._places.record(machine.name, "work-begin", turn=number, tasks=_tasks(machine))
        renewed_us = request_us
        while (now := self._hub.now_us()) < min(
            end_us, renewed_us + lease_us if fault.state else end_us
        ):
            self._hub.sleep(min(RENEW_INTERVAL_US, end_us - now))
            request_us = self._hub.now_us()
            if (
                fault.state
                and request_us < end_us
                and (self._post(number, "renew", 1) or {}).get("state") == "out"
            ):
                renewed_us = request_us
        self._places.record(machine.name, "work-end", turn=number, tasks=_tasks(machine))
        self._places.event("turn-worked", number=number, told=self._post(number, "back"))

    def _post(
        self, number: int, action: str, attempts: int = MAX_ATTEMPTS
    ) -> dict[str, Any] | None:
        running = self._rotated_slots()
        body = {"worker": WORKER}
        return (
            self._commands.at_leader(running[0], "POST", f"turns/{number}/{action}", body, attempts)
            if running
            else None
        )


def _tasks(machine: Machine) -> int:
    """The number of pending and running tasks on a simulated machine."""
    return sum(pod.phase in ("Pending", "Running") for pod in machine.pods.values())
