"""Small stand-ins of owner, machine and journal service, written from the protocol; what crosses sockets is kept."""

from __future__ import annotations

import json
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from wingbarrow.core.logs import silent
from wingbarrow.http.message import Request
from wingbarrow.http.server import Answer, Server
from wingbarrow.relay.configuration import Address, Configuration
from wingbarrow.relay.message import Cause, Code, Framer, Kind, Message, encode, with_cause
from wingbarrow.relay.placer import Placer
from wingbarrow.settings_parser import parse_settings
from wingbarrow.transport import (
    Hub,
    Listener,
    Nursery,
    PeerGone,
    Stream,
    VirtualClock,
    connect,
    listen,
)

MS, S = 1_000, 1_000_000
SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "me": 0,
    "bounds": {"probes": False, "send_cap": 4},
    "costs": {"probe": 0.003},
    "discovery": "push",
    "kinds": ["std"],
    "quantum_us": 2000,
    "report": {"how": "on_probe", "names": ["x0", "x1"]},
    "family_info": {
        "admit_memory": 1.0,
        "class_kind": [-1, -1],
        "class_most": [3, 3],
        "cores_by_kind": [20],
        "cpu_booking": 1.0,
        "easy_until": [0.8, 0.8],
        "free_in_list": True,
        "fresh_offers": 20.0,
        "lost_after": [0.2, 0.2],
        "memory_by_kind": [40.0],
        "report_counts": "used",
        "spread_by": ["off", "off"],
    },
    "lanes": [
        {"name": "web", "effect": "retryable", "importance": 1.0, "deadline_us": 5_000_000},
        {"name": "settlement", "effect": "fragile", "importance": 1.0, "deadline_us": 5_000_000},
    ],
    "rules": {"ask_every_us": 10_000_000, "cold_us": 18_000_000, "fall_us": 2_000_000},
}
DESCRIPTION = b"from the owner"
MADE = b"made by a machine"


@dataclass
class Heard:
    """A message as it crossed a socket."""

    at_us: int
    message: Message


class Machine:
    """Takes every set-up unless `on_set_up` does otherwise."""

    def __init__(self, hub: Hub, name: str, port: int = 0) -> None:
        self.hub, self.name = hub, name
        self.listener = listen(hub, "127.0.0.1", port, print)
        self.port = self.listener.port
        self.heard: list[Heard] = []
        self.streams: list[Stream] = []
        self.on_set_up: Callable[[Stream, Message], None] = self.take
        self.on_end: Callable[[Stream], None] = lambda stream: None
        self.silent = False
        hub.spawn(lambda: self.listener.serve(self._serve), f"stand-in {name}")

    def _serve(self, stream: Stream) -> None:
        self.streams.append(stream)
        framer = Framer()
        while data := stream.receive():
            if self.silent:
                continue
            framer.feed(data)
            while (message := framer.next()) is not None:
                self.heard.append(Heard(self.hub.now_us(), message))
                if message.kind == Kind.SET_UP:
                    self.on_set_up(stream, message)
        self.on_end(stream)

    def take(self, stream: Stream, message: Message) -> None:
        """The task stands."""
        stream.send(encode(Kind.ANSWER, message.task, {Code.DESCRIPTION: MADE}))

    def tell(self, data: bytes) -> None:
        """Send on any open connection."""
        next(stream for stream in self.streams if stream.open).send(data)

    def die(self) -> None:
        """The process ends: its connections are reset, nothing listens any more."""
        self.listener.close()
        for stream in self.streams:
            stream.abort()

    def vanish(self) -> list[socket.socket]:
        """Its connections stay open and silent, new ones never come up: the line of those waiting is full."""
        self.silent = True
        self.listener.close()
        full = socket.socket()
        full.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        full.bind(("127.0.0.1", self.port))
        full.listen(0)
        fillers = [full]
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            fillers.append(filler)
        return fillers

    def set_ups(self, task: int | None = None) -> list[Heard]:
        """Set-ups heard."""
        return [
            each
            for each in self.heard
            if each.message.kind == Kind.SET_UP and task in (None, each.message.task)
        ]

    def entry(self, lifecycle: str = "Ready", started_ms: int = 0) -> dict[str, Any]:
        """Its entry in the list."""
        return {
            "instanceId": self.name,
            "hostPort": f"127.0.0.1:{self.port}",
            "zone": "east",
            "machineType": "std",
            "cell": 1,
            "lifecycle": lifecycle,
            "weight": 1,
            "startedAtMs": started_ms,
            "room": [20.0, 40.0],
        }


class Journal:
    """Numbered events over a long poll; `trouble`, where set, does with the next calls what it likes."""

    def __init__(self, hub: Hub, port: int = 0) -> None:
        self.hub = hub
        self.events: list[dict[str, Any]] = []
        self.calls: list[tuple[int, str]] = []
        self.troubles: list[Callable[[Request], None]] = []
        self.server = Server(hub, "127.0.0.1", port, self._answer, print)
        hub.spawn(self.server.serve, "stand-in journal")

    def add(self, *entries: dict[str, Any], reset: bool = False) -> None:
        """One more event."""
        self.events.append(
            {
                "pos": len(self.events) + 1,
                "hosts": {"generation": 1, "reset": reset, "instances": list(entries)},
            }
        )

    def known(self, after: int = 0) -> dict[str, Any]:
        """The service's form."""
        return {"pos": len(self.events), "entries": self.events[after:]}

    def _answer(self, request: Request) -> Answer:
        self.calls.append((self.hub.now_us(), request.target))
        if self.troubles:
            self.troubles.pop(0)(request)
        query = dict(pair.split("=") for pair in request.target.partition("?")[2].split("&"))
        until = self.hub.now_us() + int(query["max_wait"]) * MS
        while len(self.events) <= int(query["tail"]) and self.hub.now_us() < until:
            self.hub.sleep(5 * MS)
        return Answer(200, json.dumps(self.known(int(query["tail"]))).encode())


class Client:
    """One connection of an owner."""

    def __init__(self, hub: Hub, port: int) -> None:
        self.hub = hub
        self.stream = connect(hub, "127.0.0.1", port)
        self.heard: list[Heard] = []
        self.ended_us: int | None = None
        hub.spawn(self._read, "stand-in owner")

    def _read(self) -> None:
        framer = Framer()
        try:
            while data := self.stream.receive():
                framer.feed(data)
                while (message := framer.next()) is not None:
                    self.heard.append(Heard(self.hub.now_us(), message))
        except PeerGone:
            pass
        self.ended_us = self.hub.now_us()

    def ask(
        self,
        task: int,
        cls: str = "web",
        patience_ms: int = 2000,
        name: str = "0123456789abcdef",
        figures: str = "cores:1;memory:1;service:s1",
        **changes: Any,
    ) -> None:
        """Send a set-up; `changes` replaces parameters, None leaves one out."""
        values: dict[int, bytes | None] = {
            Code.CLASS: cls.encode(),
            Code.PATIENCE: b"%d" % patience_ms,
            Code.HINT: b"8200.0",
            Code.NAME: name.encode(),
            Code.FIGURES: figures.encode(),
            Code.DESCRIPTION: DESCRIPTION,
        }
        values.update({int(Code[key]): value for key, value in changes.items()})
        self.stream.send(
            encode(Kind.SET_UP, task, {k: v for k, v in values.items() if v is not None})
        )

    def of(self, task: int) -> list[Message]:
        """What was heard of a task."""
        return [each.message for each in self.heard if each.message.task == task]

    def kinds(self, task: int) -> list[int]:
        """The types of what was heard of a task."""
        return [each.kind for each in self.of(task)]

    def test(self) -> int | None:
        """A test's result, None without one within a second."""
        ident = 1 << 40 | len(self.heard)
        self.stream.send(with_cause(Kind.TEST, ident, 0))
        for _ in range(100):
            self.hub.sleep(10 * MS)
            if self.of(ident):
                return self.of(ident)[0].cause
        return None


@dataclass
class Stage:
    """A placer with its surroundings, all on one hub with a virtual clock."""

    machines_wanted: int = 2
    settings: dict[str, Any] = field(default_factory=lambda: SETTINGS)
    sockets: int = 256
    deadline_ms: int = 5000  # the longest of any class
    ended_us: int | None = None  # when the placer ended by itself

    def run(self, play: Callable[[Stage], None]) -> None:
        """Set up, play, take down."""
        self.hub = Hub(VirtualClock())
        self.hub.run(lambda: self._play(play))

    def _play(self, play: Callable[[Stage], None]) -> None:
        hub = self.hub
        self.journal = Journal(hub)
        self.machines = [Machine(hub, f"s-{i:08x}") for i in range(self.machines_wanted)]
        self.journal.add(*(machine.entry() for machine in self.machines), reset=True)
        with Nursery(hub) as nursery:
            self.placer, self.placer_born_us = self.make(), hub.now_us()
            nursery.spawn(self._serve, "placer")
            hub.sleep(10 * MS)
            self.owner = self.client()
            play(self)
            nursery.cancel()

    def _serve(self) -> None:
        self.placer.run()
        self.ended_us = self.hub.now_us()

    def make(self, log: Callable[..., None] = silent) -> Placer:
        """A placer as the platform would start it now."""
        configuration = Configuration(
            name="n0",
            listen=Address("127.0.0.1", 0),
            seed=5,
            sockets=self.sockets,
            journal=Address("127.0.0.1", self.journal.server.port),
            known=self.journal.known(),
            settings=parse_settings(self.settings),
            dial_us=250 * MS,
            max_retry_after_us=3 * S,
            patience_us=self.deadline_ms * MS,
            conn_idle_us=self.settings["bounds"].get("conn_idle_us", 30 * S),
        )
        return Placer(self.hub, configuration, log)

    def client(self) -> Client:
        """One more connection of an owner."""
        return Client(self.hub, self.placer.port)

    def sleep(self, ms: int) -> None:
        """Let time pass."""
        self.hub.sleep(ms * MS)

    def set_ups(self, task: int) -> list[tuple[Machine, Heard]]:
        """Set-ups of a task at any machine, in order."""
        found = [(machine, heard) for machine in self.machines for heard in machine.set_ups(task)]
        return sorted(found, key=lambda each: each[1].at_us)


def over(task: int, cause: int = Cause.OVER) -> bytes:
    """A machine's release."""
    return with_cause(Kind.RELEASE, task, cause)


__all__ = [
    "DESCRIPTION",
    "MADE",
    "MS",
    "SETTINGS",
    "Client",
    "Journal",
    "Listener",
    "Machine",
    "S",
    "Stage",
    "over",
]
