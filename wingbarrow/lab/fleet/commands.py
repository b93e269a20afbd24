"""REST requests of the rig to placers: queries, used only to wait for a state, and an operator's commands.

Answers to queries are not recorded, so the judge does not see them. Outcomes of commands are recorded as events.
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

MAX_TRIES = 20
API_PATH = "/apis/wingbarrow.io/v1"


class Commands:
    """`variant` maps a number to a variant of the rules: settings text, and placers that share the cold budget."""

    def __init__(self, places: Places) -> None:
        self._places, self._hub = places, places.hub
        self._drains: dict[str, str] = {}  # machine -> key of its requested drain
        self.variant: Callable[[int], tuple[str, list[str]]] = self.random_variant

    # -- queries

    def get(self, slot: Slot, target: str) -> dict[str, Any] | None:
        """Answer of a placer to a GET; None on an error or without an answer."""
        pool = Pool(self._hub, "127.0.0.1", slot.front.port, PoolLimits(connections=1), "rig")
        try:
            return call(pool, "GET", target, None, self._hub.now_us() + 2 * SECOND)
        except (CallFailed, ApiError):
            return None
        finally:
            pool.close()

    def all_listed(self) -> bool:
        """Whether every placer lists all machines that it holds."""
        layout = self._places.layout
        for slot in self._places.placers:
            names = [each.name for each in self._places.clusters[layout.region(slot.name)].machines]
            answer = self.get(slot, "/api/v1/nodes")
            if answer is None or len(answer["items"]) < layout.held(slot.name, names):
                return False
        return True

    def all_agree(self) -> bool:
        """Whether all running placers act on the same version of the rules, with no step left to apply."""
        labels = set()
        for slot in self._places.running():
            answer = self.get(slot, f"{API_PATH}/rules")
            if answer is None or not str(answer["label"]).startswith("e") or answer.get("steps"):
                return False
            labels.add((answer["label"], answer["version"]))
        return len(labels) == 1

    def all_alive(self) -> bool:
        """Whether all running placers report all others as alive."""
        running = self._places.running()
        for slot in running:
            answer = self.get(slot, f"{API_PATH}/members")
            alive = (
                {each["ident"] for each in answer["items"] if each["standing"] == "alive"}
                if answer
                else set()
            )
            if not {other.name for other in running if other is not slot} <= alive:
                return False
        return True

    def wait_until(self, done: Callable[[], bool], within_us: int, what: str) -> None:
        """Waits for a condition. Raises TimeoutError if it does not hold within `within_us`."""
        end = self._hub.now_us() + within_us
        while not done():
            if self._hub.now_us() >= end:
                raise TimeoutError(f"{what}: not within {within_us / SECOND:g} s")
            self._hub.sleep(SECOND // 5)

    # -- commands

    def random_variant(self, number: int) -> tuple[str, list[str]]:
        """Random variant of the initial settings and the placers that share the cold budget, with `number` as seed."""
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
        """Proposes a variant of the rules; returns whether it was accepted."""
        text, sharers = self.variant(number)
        rules = requested_rule_set(load_text(text))
        offers = sum(share for _, share in rules.cold_shares)
        rules = normalized(replace(rules, cold_shares=equal_shares(offers, tuple(sharers))))
        body = {
            "ident": f"rig-{number}-{self._hub.now_us()}",
            "rules": json.loads(rules.text()),
            "by": "the rig",
            "keepDrains": True,
        }
        answer = self.at_leader(slot, "POST", "rules", body)
        if answer is None:
            self._places.event("not-decided", variant=number)
        elif answer.get("kind") == "Accepted":
            self._places.event("accepted", version=answer["version"], rules=rules.text())
            return True
        return False

    def propose_last(self) -> None:
        """Proposes the variant that all placers act on at the end; tries further ones until one is accepted."""
        slots = self._places.slots
        for number in range(1, 20):
            if self.propose(
                1_000_000 + self._places.size.seed * 100 + number, slots[number % len(slots)]
            ):
                return

    def drain(self, fault: Fault) -> None:
        """Asks a placer to drain a machine for longer than any run, or to cancel its drain."""
        machines, slot = self._places.machines, self._places.slot(fault.who)
        name = machines[int(fault.amount) % len(machines)].name
        key = self._drains.pop(name, None)
        if key is not None:
            answer = self.at_leader(slot, "DELETE", f"drains/{quote(key)}", None)
        else:
            answer = self.at_leader(slot, "POST", "drains", {"machine": name, "lasts": "6h"})
        if answer is not None and answer.get("kind") == "Drain":
            self._drains[name] = answer["key"]
        self._places.event("drain", machine=name, back=key is not None, told=answer)

    def at_leader(
        self,
        slot: Slot,
        method: str,
        path: str,
        body: dict[str, Any] | None,
        tries: int = MAX_TRIES,
    ) -> dict[str, Any] | None:
        """Sends a request to the leader, found through other placers. Returns its answer; None if undecided."""
        places = self._places
        for _ in range(tries):
            answer = self.call(slot, method, path, body)
            if (
                answer is not None
                and answer.get("kind") == "Leader"
                and answer.get("name") in places.names
            ):
                slot = places.slot(str(answer["name"]))
                continue
            if answer is not None and answer.get("code", 200) in (200, 201, 404, 409):
                if answer.get("code") == 409:
                    places.event("objected", words=answer["message"])
                return answer
            self._hub.sleep(SECOND // 2)
            slot = places.slots[(slot.index + 1) % len(places.slots)]
        return None

    def call(
        self, slot: Slot, method: str, path: str, body: dict[str, Any] | None
    ) -> dict[str, Any] | None:
        """Answer of a placer, whatever its status; None if none arrived."""
        pool = Pool(self._hub, "127.0.0.1", slot.front.port, PoolLimits(connections=1), "rig")
        try:
            raw = b"" if body is None else json.dumps(body).encode()
            response = pool.request(
                method,
                f"{API_PATH}/{path}",
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
