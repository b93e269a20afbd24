"""Who works on machines: asks for a turn, looks until the machine is out, works, renews, and gives it back.

What it does is recorded where it does it: `work-begin` and `work-end` at the machine, with the tasks that were there.
"""

from __future__ import annotations

from typing import Any

from wingbarrow.lab.fleet.commands import TRIES, Commands
from wingbarrow.lab.fleet.places import Places, Slot
from wingbarrow.lab.fleet.process import SECOND
from wingbarrow.lab.fleet.script import Fault
from wingbarrow.lab.machine import Machine

LOOK_US = SECOND // 2
WAIT_US = 120 * SECOND  # for its turn
RENEW_US = 2 * SECOND
OVER = ("done", "given-back")
WORKER = "the-rig"


class Worker:
    """All workers of a play."""

    def __init__(self, places: Places, commands: Commands) -> None:
        self._places, self._commands, self._hub = places, commands, places.hub

    def work(self, fault: Fault) -> None:
        """One turn, asked of a placer; returns when it is over, or nobody gave it."""
        machines = self._places.machines
        machine = machines[int(fault.amount) % 100 % len(machines)]
        urgency, ident = int(fault.amount) // 100 % 10, f"rig-{machine.name}-{self._hub.now_us()}"
        told = self._commands.at_leader(
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
        number = told.get("number") if told is not None else None
        self._places.event(
            "turn-asked", machine=machine.name, urgency=urgency, number=number, told=told
        )
        if isinstance(number, int) and self._wait(number):
            self._do(machine, number, fault)

    def _wait(self, number: int) -> bool:
        end = self._hub.now_us() + WAIT_US
        while self._hub.now_us() < end:
            state = self._state(number)
            if state == "out" or state in OVER:
                return state == "out"
            self._hub.sleep(LOOK_US)
        self._places.event("turn-not-given", number=number)
        return False

    def _state(self, number: int) -> str:
        for slot in self._asked():
            told = self._commands.get(slot, f"/apis/wingbarrow.io/v1/turns/{number}")
            if told is not None and told.get("state"):
                return str(told["state"])
        return ""

    def _asked(self) -> list[Slot]:
        """All that run, another first at each look."""
        running = self._places.running()
        first = self._hub.now_us() // LOOK_US % max(1, len(running))
        return running[first:] + running[:first]

    def _do(self, machine: Machine, number: int, fault: Fault) -> None:
        """Work for so long, and no longer than it holds the turn; one that is to be silent renews only at the start."""
        asked = self._hub.now_us()
        told = self._say(number, "renew")
        if told is None or told.get("state") != "out":
            self._places.event("turn-not-held", number=number, told=told)
            return
        lease_us, end = int(told["leaseUs"]), asked + fault.lasts_us
        self._places.record(machine.name, "work-begin", turn=number, tasks=_tasks(machine))
        held = asked
        while (now := self._hub.now_us()) < min(end, held + lease_us if fault.state else end):
            self._hub.sleep(min(RENEW_US, end - now))
            asked = self._hub.now_us()
            if (
                fault.state
                and asked < end
                and (self._say(number, "renew", 1) or {}).get("state") == "out"
            ):
                held = asked
        self._places.record(machine.name, "work-end", turn=number, tasks=_tasks(machine))
        self._places.event("turn-worked", number=number, told=self._say(number, "back"))

    def _say(self, number: int, what: str, tries: int = TRIES) -> dict[str, Any] | None:
        running = self._asked()
        body = {"worker": WORKER}
        return (
            self._commands.at_leader(running[0], "POST", f"turns/{number}/{what}", body, tries)
            if running
            else None
        )


def _tasks(machine: Machine) -> int:
    """At the machine, as its stand-in sees it."""
    return sum(pod.phase in ("Pending", "Running") for pod in machine.pods.values())
