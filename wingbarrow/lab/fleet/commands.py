"""What the rig asks of placers over REST: questions, for waiting only, and an operator's commands.

The judge never hears the answers to questions; what commands came to is written down as events.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any
from urllib.parse import quote

from wingbarrow.config import load_text
from wingbarrow.decide.rulesets.ruleset import equal_shares, normalized
from wingbarrow.http.client import CallFailed, Pool, PoolLimits
from wingbarrow.http.watching import call
from wingbarrow.kube.status import ApiError
from wingbarrow.lab.fleet.places import Places, Slot
from wingbarrow.lab.fleet.process import SECOND
from wingbarrow.lab.fleet.script import Fault
from wingbarrow.peers.ruleset_settings import requested_rule_set

TRIES = 20
API = "/apis/wingbarrow.io/v1"


class Commands:
    """`variant` makes the rules of a number: settings' text, and who shares the cold budget."""

    def __init__(self, places: Places) -> None:
        self._places, self._hub = places, places.hub
        self._drains: dict[str, str] = {}  # asked for, by machine: the key
        self.variant: Callable[[int], tuple[str, list[str]]] = self.drawn

    # -- questions

    def get(self, slot: Slot, target: str) -> dict[str, Any] | None:
        """What a placer answers; None for nothing, or an error."""
        pool = Pool(self._hub, "127.0.0.1", slot.front.port, PoolLimits(connections=1), "rig")
        try:
            return call(pool, "GET", target, None, self._hub.now_us() + 2 * SECOND)
        except (CallFailed, ApiError):
            return None
        finally:
            pool.close()

    def all_listed(self) -> bool:
        """Whether every placer has the list of all machines that it holds."""
        layout = self._places.layout
        for slot in self._places.placers:
            names = [each.name for each in self._places.clusters[layout.region(slot.name)].machines]
            told = self.get(slot, "/api/v1/nodes")
            if told is None or len(told["items"]) < layout.held(slot.name, names):
                return False
        return True

    def agreed(self) -> bool:
        """Whether all placers that run act on the same version, with no step to come."""
        labels = set()
        for slot in self._places.running():
            told = self.get(slot, f"{API}/rules")
            if told is None or not str(told["label"]).startswith("e") or told.get("steps"):
                return False
            labels.add((told["label"], told["version"]))
        return len(labels) == 1

    def whole(self) -> bool:
        """Whether all placers that run say that all others are alive."""
        running = self._places.running()
        for slot in running:
            told = self.get(slot, f"{API}/members")
            alive = (
                {each["ident"] for each in told["items"] if each["standing"] == "alive"}
                if told
                else set()
            )
            if not {other.name for other in running if other is not slot} <= alive:
                return False
        return True

    def wait_until(self, done: Callable[[], bool], within_us: int, what: str) -> None:
        """TimeoutError where something does not hold in its time."""
        end = self._hub.now_us() + within_us
        while not done():
            if self._hub.now_us() >= end:
                raise TimeoutError(f"{what}: not within {within_us / SECOND:g} s")
            self._hub.sleep(SECOND // 5)

    # -- commands

    def drawn(self, number: int) -> tuple[str, list[str]]:
        """Settings with rules unlike those at the beginning, and who shares the cold budget, by a number."""
        places = self._places
        rng, text = random.Random(number), places.settings(places.slots[0])
        text = (
            text.replace('by="cell" most=3', f'by="cell" most={rng.randrange(1, 4)}')
            .replace("offers=20", f"offers={rng.randrange(4, 21)}")
            .replace("attempts most=4", f"attempts most={rng.randrange(2, 5)}")
        )
        barred = "".join(
            f'bar "{machine.name}"\n' for machine in places.machines if rng.random() < 0.15
        )
        names = places.layout.names
        sharers = rng.sample(names, rng.randrange(1, len(names) + 1))
        text = text.replace("upper=90", f"upper={rng.randrange(70, 96)}")
        return text + barred, sharers

    def propose(self, number: int, slot: Slot) -> bool:
        """Propose a variant; whether it was accepted."""
        text, sharers = self.variant(number)
        wanted = requested_rule_set(load_text(text))
        offers = sum(share for _, share in wanted.cold_shares)
        wanted = normalized(replace(wanted, cold_shares=equal_shares(offers, tuple(sharers))))
        body = {
            "ident": f"rig-{number}-{self._hub.now_us()}",
            "rules": json.loads(wanted.text()),
            "by": "the rig",
            "keepDrains": True,
        }
        told = self.at_leader(slot, "POST", "rules", body)
        if told is None:
            self._places.event("not-decided", variant=number)
        elif told.get("kind") == "Accepted":
            self._places.event("accepted", version=told["version"], rules=wanted.text())
            return True
        return False

    def propose_last(self) -> None:
        """What all are to act on in the end."""
        slots = self._places.slots
        for number in range(1, 20):
            if self.propose(
                1_000_000 + self._places.size.seed * 100 + number, slots[number % len(slots)]
            ):
                return

    def drain(self, fault: Fault) -> None:
        """Ask a placer to drain a machine for longer than any run, or to take that back."""
        machines, slot = self._places.machines, self._places.slot(fault.who)
        name = machines[int(fault.amount) % len(machines)].name
        key = self._drains.pop(name, None)
        if key is not None:
            told = self.at_leader(slot, "DELETE", f"drains/{quote(key)}", None)
        else:
            told = self.at_leader(slot, "POST", "drains", {"machine": name, "lasts": "6h"})
        if told is not None and told.get("kind") == "Drain":
            self._drains[name] = told["key"]
        self._places.event("drain", machine=name, back=key is not None, told=told)

    def at_leader(
        self, slot: Slot, method: str, path: str, body: dict[str, Any] | None, tries: int = TRIES
    ) -> dict[str, Any] | None:
        """What whoever leads answers in the end, asked by way of other placers; None where nothing was decided."""
        places = self._places
        for _ in range(tries):
            told = self.call(slot, method, path, body)
            if (
                told is not None
                and told.get("kind") == "Leader"
                and told.get("name") in places.names
            ):
                slot = places.slot(str(told["name"]))
                continue
            if told is not None and told.get("code", 200) in (200, 201, 404, 409):
                if told.get("code") == 409:
                    places.event("objected", words=told["message"])
                return told
            self._hub.sleep(SECOND // 2)
            slot = places.slots[(slot.index + 1) % len(places.slots)]
        return None

    def call(
        self, slot: Slot, method: str, path: str, body: dict[str, Any] | None
    ) -> dict[str, Any] | None:
        """An answer, whatever its status; None where none came."""
        pool = Pool(self._hub, "127.0.0.1", slot.front.port, PoolLimits(connections=1), "rig")
        try:
            raw = b"" if body is None else json.dumps(body).encode()
            response = pool.request(
                method,
                f"{API}/{path}",
                raw,
                [("Content-Type", "application/json")],
                self._hub.now_us() + 8 * SECOND,
            )
            value: dict[str, Any] = json.loads(response.body)
            return value
        except (CallFailed, ValueError):
            return None
        finally:
            pool.close()
