"""The follower of the machine list: long poll from the last whole event, and what it makes of the entries."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from dataclasses import dataclass
from hashlib import blake2b
from math import isfinite
from typing import Any

from wingbarrow import interface as api
from wingbarrow.core.life import Life
from wingbarrow.decide.backoff import Backoff
from wingbarrow.http.client import CallFailed, Pool, PoolLimits
from wingbarrow.http.message import Limits
from wingbarrow.relay.configuration import Address, BadConfiguration, read_address
from wingbarrow.transport import CancelScope

# Danger (rule 3): what a service that fell silent would have told counts as told soon after the wait that was asked
# for. A short wait has it noticed soon, at the price of a call as often.
WAIT_MS = 1_000
GRACE_US = 400_000  # beyond the wait asked for, until it counts as silent
CONNECT_US = 500_000
BODY_MOST = 4 << 20
PHASES = {"Ready": api.Phase.RUNNING, "Terminating": api.Phase.DRAINING, "Gone": api.Phase.GONE}


def ident(name: str) -> int:
    """The number by which the module knows a machine: the same at every placer, without talk."""
    return int.from_bytes(blake2b(name.encode(), digest_size=6).digest(), "big")


@dataclass(frozen=True, slots=True)
class Entry:
    """A machine of the list, where it listens, and as the module hears of it."""

    name: str
    address: Address
    listed: api.ListedMachine


@dataclass(frozen=True, slots=True)
class News:
    """One numbered event; `whole` where it holds the complete list."""

    position: int
    whole: bool
    entries: tuple[Entry, ...]


def _entry(value: Any, shift_us: int) -> Entry:
    """One machine; ValueError says what is wrong. `shift_us`: the hub's clock less the Unix clock."""
    if not isinstance(value, dict):
        raise ValueError("an entry is no object")
    name, zone, kind, cell = (value.get(key) for key in ("instanceId", "zone", "machineType", "cell"))
    if not (isinstance(name, str) and name and isinstance(zone, str) and isinstance(kind, str)):
        raise ValueError("an entry without id, zone or kind")
    if not isinstance(cell, int):
        raise ValueError(f"{name}: cell")
    phase, started, room = PHASES.get(value.get("lifecycle", "")), value.get("startedAtMs", 0), value.get("room")
    if phase is None:
        raise ValueError(f"{name}: lifecycle")
    if isinstance(started, bool) or not isinstance(started, (int, float)) or not isfinite(started):
        raise ValueError(f"{name}: startedAtMs")
    free = [float(figure) for figure in room] if isinstance(room, list) and len(room) == 2 else [float("nan")] * 2
    try:
        address = read_address(value.get("hostPort"), name)
    except BadConfiguration as error:
        raise ValueError(str(error)) from None
    launched_us = max(1, int(started * 1000) + shift_us) if started > 0 else 0
    return Entry(name, address,
                 api.ListedMachine(ident(name), kind, cell, zone, phase, launched_us, free[0], free[1]))


def read(value: Any, shift_us: int, complain: Callable[[str], None]) -> tuple[int, list[News]]:
    """The last position and the events of the service's form; ValueError where it is not of that form."""
    if not isinstance(value, dict) or not isinstance(value.get("entries"), list):
        raise ValueError("no list of events")
    last = value.get("pos")
    if isinstance(last, bool) or not isinstance(last, int):
        raise ValueError("no position")
    out: list[News] = []
    for event in value["entries"]:
        position = event.get("pos") if isinstance(event, dict) else None
        hosts = event.get("hosts") if isinstance(event, dict) else None
        if not isinstance(position, int) or not isinstance(hosts, dict) or not isinstance(hosts.get("instances"), list):
            raise ValueError("an event without position or list")
        entries: list[Entry] = []
        for each in hosts["instances"]:
            try:
                entries.append(_entry(each, shift_us))
            except (ValueError, TypeError) as error:
                complain(str(error))
        out.append(News(position, hosts.get("reset") is True, tuple(entries)))
    return last, out


class Follower:
    """Tells `deliver(news)` each event once, in order; `failed()` when the service breaks off or falls silent."""

    def __init__(self, life: Life, address: Address, position: int, shift_us: int, deliver: Callable[[News], None],
                 failed: Callable[[], None]) -> None:
        self._shift_us = shift_us  # the same for a whole life: a start is never two times
        self._life, self._address, self._deliver, self._failed = life, address, deliver, failed
        self.position = position
        self._scope: CancelScope | None = None
        self._pause = Backoff(random.Random(life.random.random()), 20_000, 500_000)

    def move_to(self, address: Address) -> None:
        """Ask another address from now on; what was asked of the old one is let go."""
        if address != self._address:
            self._address = address
            self._pause.clear()
            if self._scope is not None:
                self._scope.cancel()

    def run(self) -> None:
        """Follow for ever."""
        life = self._life
        life.hub.current().first = True  # Danger (rule 3): offers that are ready must not go before drains are read
        while True:
            address = self._address
            pool = Pool(life.hub, address.host, address.port,
                        PoolLimits(connections=1, connect_us=CONNECT_US, message=Limits(body=BODY_MOST)))
            try:
                with CancelScope(life.hub) as scope:
                    self._scope = scope
                    while True:
                        self._ask(pool)
            except (CallFailed, ValueError, RecursionError) as error:
                life.counts["journal_failures"] += 1
                life.log("journal-failed", level="warning", address=str(address), why=str(error)[:200])
                self._failed()
                life.hub.sleep(self._pause.next_us())
            finally:
                self._scope = None
                pool.close()

    def _ask(self, pool: Pool) -> None:
        life = self._life
        until_us = life.hub.now_us() + WAIT_MS * 1000 + GRACE_US
        response = pool.request("GET", f"/journal?tail={self.position}&max_wait={WAIT_MS}", until_us=until_us)
        if response.status != 200:
            raise ValueError(f"status {response.status}")
        _, news = read(json.loads(response.body), self._shift_us, self._complain)
        for each in news:
            if each.position <= self.position:
                continue  # told before
            if each.position != self.position + 1 and not each.whole:
                raise ValueError(f"event {each.position} after {self.position}")
            self.position = each.position
            self._deliver(each)
        self._pause.clear()

    def _complain(self, why: str) -> None:
        self._life.counts["journal_bad_entries"] += 1
        self._life.log("bad-list-entry", level="warning", why=why)
