"""Operators that work on machines: they request a slot, poll until the machine is out, work, renew, and return it.

Their work is recorded as `work-begin` and `work-end` of the machine, with the number of tasks there at that time.
"""

from __future__ import annotations

from typing import Any

from wingbarrow.lab.fleet.commands import MAX_TRIES, Commands
from wingbarrow.lab.fleet.places import Places, Slot
from wingbarrow.lab.fleet.process import SECOND
from wingbarrow.lab.fleet.script import Fault
from wingbarrow.lab.machine import Machine

POLL_INTERVAL_US = SECOND // 2
SLOT_TIMEOUT_US = 120 * SECOND  # from the request until the machine is out
RENEW_INTERVAL_US = 2 * SECOND
FINAL_STATES = ("done", "given-back")
OPERATOR_NAME = "the-rig"


class MaintenanceOperator:
    """Runs the work of all operators of a run."""

    def __init__(self, places: Places, commands: Commands) -> None:
        self._places, self._commands, self._hub = places, commands, places.hub

    def work(self, fault: Fault) -> None:
        """Requests a slot from a placer and works in it. Returns once the work is done or the slot is not granted."""
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
                "worker": OPERATOR_NAME,
                "ident": ident,
            },
        )
        number = answer.get("number") if answer is not None else None
        self._places.event(
            "turn-asked", machine=machine.name, urgency=urgency, number=number, told=answer
        )
        if isinstance(number, int) and self._wait_until_out(number):
            self._work_in_slot(machine, number, fault)

    def _wait_until_out(self, number: int) -> bool:
        end = self._hub.now_us() + SLOT_TIMEOUT_US
        while self._hub.now_us() < end:
            state = self._state(number)
            if state == "out" or state in FINAL_STATES:
                return state == "out"
            self._hub.sleep(POLL_INTERVAL_US)
        self._places.event("turn-not-given", number=number)
        return False

    def _state(self, number: int) -> str:
        for slot in self._rotated_running():
            answer = self._commands.get(slot, f"/apis/wingbarrow.io/v1/turns/{number}")
            if answer is not None and answer.get("state"):
                return str(answer["state"])
        return ""

    def _rotated_running(self) -> list[Slot]:
        """All running placers, rotated so that each poll starts with another one."""
        running = self._places.running()
        first = self._hub.now_us() // POLL_INTERVAL_US % max(1, len(running))
        return running[first:] + running[:first]

    def _work_in_slot(self, machine: Machine, number: int, fault: Fault) -> None:
        """Works for the fault's duration, and no longer than the lease of the slot.

        With `state=false` it renews only at the start, and works for the whole duration.
        """
        requested_us = self._hub.now_us()
        answer = self._post(number, "renew")
        if answer is None or answer.get("state") != "out":
            self._places.event("turn-not-held", number=number, told=answer)
            return
        lease_us, end = int(answer["leaseUs"]), requested_us + fault.lasts_us
        self._places.record(machine.name, "work-begin", turn=number, tasks=_tasks(machine))
        renewed_us = requested_us
        while (now := self._hub.now_us()) < min(end, renewed_us + lease_us if fault.state else end):
            self._hub.sleep(min(RENEW_INTERVAL_US, end - now))
            requested_us = self._hub.now_us()
            if (
                fault.state
                and requested_us < end
                and (self._post(number, "renew", 1) or {}).get("state") == "out"
            ):
                renewed_us = requested_us
        self._places.record(machine.name, "work-end", turn=number, tasks=_tasks(machine))
        self._places.event("turn-worked", number=number, told=self._post(number, "back"))

    def _post(self, number: int, action: str, tries: int = MAX_TRIES) -> dict[str, Any] | None:
        running = self._rotated_running()
        body = {"worker": OPERATOR_NAME}
        return (
            self._commands.at_leader(running[0], "POST", f"turns/{number}/{action}", body, tries)
            if running
            else None
        )


def _tasks(machine: Machine) -> int:
    """Pending and running tasks at the simulated machine."""
    return sum(pod.phase in ("Pending", "Running") for pod in machine.pods.values())
