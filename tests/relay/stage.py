"""Fake owner, machine and journal service, written from the protocol; they record every message they receive."""

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
# Machines that have just started take many tasks.
ROOMY_SETTINGS: dict[str, Any] = {
    **SETTINGS,
    "family_info": {**SETTINGS["family_info"], "fresh_offers": 200.0},
}
DESCRIPTION = b"from the owner"
MACHINE_DESCRIPTION = b"made by a machine"


@dataclass
class ReceivedMessage:
    """A message received from a socket, with the time of its receipt."""

    at_us: int
    message: Message


class Machine:
    """A fake machine: accepts every set-up unless `on_set_up` is replaced."""

    def __init__(self, hub: Hub, name: str, port: int = 0) -> None:
        self.hub, self.name = hub, name
        self.listener = listen(hub, "127.0.0.1", port, print)
        self.port = self.listener.port
        self.received: list[ReceivedMessage] = []
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
                self.received.append(ReceivedMessage(self.hub.now_us(), message))
                if message.kind == Kind.SET_UP:
                    self.on_set_up(stream, message)
        self.on_end(stream)

    def take(self, stream: Stream, message: Message) -> None:
        """Answer that the task is placed."""
        stream.send(encode(Kind.ANSWER, message.task, {Code.DESCRIPTION: MACHINE_DESCRIPTION}))

    def tell(self, data: bytes) -> None:
        """Send bytes on any open connection."""
        next(stream for stream in self.streams if stream.open).send(data)

    def die(self) -> None:
        """Simulate a process crash: its connections are reset and new ones refused."""
        self.listener.close()
        for stream in self.streams:
            stream.abort()

    def vanish(self) -> list[socket.socket]:
        """Simulate a lost host: connections stay open and silent, and dials time out as the listen backlog is full.

        Returns the sockets that fill the backlog, for the test to close.
        """
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

    def set_ups(self, task: int | None = None) -> list[ReceivedMessage]:
        """Set-ups received, of one task or of all."""
        return [
            each
            for each in self.received
            if each.message.kind == Kind.SET_UP and task in (None, each.message.task)
        ]

    def entry(self, lifecycle: str = "Ready", started_ms: int = 0) -> dict[str, Any]:
        """The machine's entry in the machine list."""
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
    """A fake journal service: numbered events over a long poll; each of `troubles` handles one call instead."""

    def __init__(self, hub: Hub, port: int = 0) -> None:
        self.hub = hub
        self.events: list[dict[str, Any]] = []
        self.calls: list[tuple[int, str]] = []
        self.troubles: list[Callable[[Request], None]] = []
        self.server = Server(hub, "127.0.0.1", port, self._answer, print)
        hub.spawn(self.server.serve, "stand-in journal")

    def add(self, *entries: dict[str, Any], reset: bool = False) -> None:
        """Append an event."""
        self.events.append(
            {
                "pos": len(self.events) + 1,
                "hosts": {"generation": 1, "reset": reset, "instances": list(entries)},
            }
        )

    def known(self, after: int = 0) -> dict[str, Any]:
        """The service's response with all events after a position."""
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
    """A fake owner's connection to the placer."""

    def __init__(self, hub: Hub, port: int) -> None:
        self.hub = hub
        self.acknowledges = False  # whether it says that it has heard a release
        self.stream = connect(hub, "127.0.0.1", port)
        self.received: list[ReceivedMessage] = []
        self.ended_us: int | None = None
        hub.spawn(self._read, "stand-in owner")

    def _read(self) -> None:
        framer = Framer()
        try:
            while data := self.stream.receive():
                framer.feed(data)
                while (message := framer.next()) is not None:
                    self.received.append(ReceivedMessage(self.hub.now_us(), message))
                    if self.acknowledges and message.kind == Kind.RELEASE:
                        self.stream.send(encode(Kind.RELEASE_HEARD, message.task, {}))
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
        """Send a set-up; `changes` replaces parameters by code name, and None omits one."""
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
        """All messages received for a task."""
        return [each.message for each in self.received if each.message.task == task]

    def kinds(self, task: int) -> list[int]:
        """The types of all messages received for a task."""
        return [each.kind for each in self.of(task)]

    def test(self) -> int | None:
        """Send a test; its result, or None without one within a second."""
        ident = 1 << 40 | len(self.received)
        self.stream.send(with_cause(Kind.TEST, ident, 0))
        for _ in range(100):
            self.hub.sleep(10 * MS)
            if self.of(ident):
                return self.of(ident)[0].cause
        return None


@dataclass
class Stage:
    """A placer with fake machines, owner and journal service, all on one hub with a virtual clock."""

    machine_count: int = 2
    settings: dict[str, Any] = field(default_factory=lambda: SETTINGS)
    sockets: int = 256
    deadline_ms: int = 5000  # the longest deadline of any class
    ended_us: int | None = None  # when the placer exited by itself

    def run(self, play: Callable[[Stage], None]) -> None:
        """Start everything, run `play`, and stop it."""
        self.hub = Hub(VirtualClock())
        self.hub.run(lambda: self._play(play))

    def _play(self, play: Callable[[Stage], None]) -> None:
        hub = self.hub
        self.journal = Journal(hub)
        self.machines = [Machine(hub, f"s-{i:08x}") for i in range(self.machine_count)]
        self.journal.add(*(machine.entry() for machine in self.machines), reset=True)
        with Nursery(hub) as nursery:
            self.placer, self.placer_started_us = self.make(), hub.now_us()
            nursery.spawn(self._serve, "placer")
            hub.sleep(10 * MS)
            self.owner = self.client()
            play(self)
            nursery.cancel()

    def _serve(self) -> None:
        self.placer.run()
        self.ended_us = self.hub.now_us()

    def make(self, log: Callable[..., None] = silent) -> Placer:
        """A placer configured as the platform would start it now."""
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
        """Open another owner connection."""
        return Client(self.hub, self.placer.port)

    def sleep(self, ms: int) -> None:
        """Advance the virtual clock by `ms`."""
        self.hub.sleep(ms * MS)

    def set_ups(self, task: int) -> list[tuple[Machine, ReceivedMessage]]:
        """Set-ups of a task received by any machine, in order of time."""
        found = [
            (machine, received) for machine in self.machines for received in machine.set_ups(task)
        ]
        return sorted(found, key=lambda each: each[1].at_us)


def release_message(task: int, cause: int = Cause.OVER) -> bytes:
    """A machine's release of a task, as bytes."""
    return with_cause(Kind.RELEASE, task, cause)


__all__ = [
    "DESCRIPTION",
    "MACHINE_DESCRIPTION",
    "MS",
    "ROOMY_SETTINGS",
    "SETTINGS",
    "Client",
    "Journal",
    "Listener",
    "Machine",
    "S",
    "Stage",
    "release_message",
]
