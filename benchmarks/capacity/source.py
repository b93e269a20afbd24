"""The list source of a measurement: `wingbarrow.lab.source.ListSource` over what hollow machines tell of themselves.

    python -m benchmarks.capacity.source

Says its ports; `count` on standard input is answered with the number of machines known. `change N EVERY_MS` changes
the free room of N entries, one at a time, and is answered with the list's version then. Once a machine tells of room
that its pods ask, its entry shows it, as the list does in the laboratory.
"""

from __future__ import annotations

import os
from typing import Any

import msgspec

from benchmarks.capacity.hollow import Told
from benchmarks.capacity.processes import InputLines, raise_descriptor_limit, say
from wingbarrow.kube import names
from wingbarrow.lab.record import Recorder
from wingbarrow.lab.source import ListSource
from wingbarrow.transport import Hub, Stream, listen
from wingbarrow.transport.hub import READ

MS = 1_000
_WINDOW = 65_536  # changes kept: more than any measurement makes while its placer is away
_KINDS = (
    ("small", 24.0, 48.0),
    ("large", 48.0, 96.0),
)  # of the laboratory's settings: name, cores, GiB
_DECODER: msgspec.json.Decoder[Told] = msgspec.json.Decoder(Told)


class Ports(msgspec.Struct, frozen=True):
    """Where the list is served, and where hollow machines tell of themselves."""

    source: int
    news: int


def node_value(told: Told, nudge: float = 0.0) -> dict[str, Any]:
    """The Node of a hollow machine: two halls, racks of three, each fourth large.

    `nudge`: cores that are shown as free beside those that are.
    """
    kind, cores, memory = _KINDS[told.index % 4 == 3]
    name = f"node-{told.index}"
    return {
        "kind": "Node",
        "apiVersion": "v1",
        "metadata": {
            "name": name,
            "uid": names.uid("node", name),
            "annotations": {
                names.FREE_CORES: f"{cores - told.cores + nudge:.2f}",
                names.FREE_MEMORY: f"{memory - told.memory:.2f}",
            },
            "labels": {
                names.ZONE: f"hall-{told.index % 2}",
                names.CELL: f"rack-{told.index // 3}",
                names.KIND: kind,
            },
        },
        "spec": {},
        "status": {
            "capacity": {"cpu": f"{cores:g}", "memory": f"{memory:g}Gi"},
            "allocatable": {"cpu": f"{cores:g}", "memory": f"{memory:g}Gi"},
            "addresses": [{"type": "InternalIP", "address": told.host}],
            "daemonEndpoints": {"kubeletEndpoint": {"Port": told.port}},
            "conditions": [{"type": "Ready", "status": "True"}],
        },
    }


class Source:
    """The list and its ways in."""

    def __init__(self, hub: Hub) -> None:
        self._hub = hub
        self._known: dict[int, Told] = {}
        self._list = ListSource(hub, 1, Recorder(hub.now_us, 0), lambda _: None, _WINDOW)
        self._list.lag_us = 0
        self._list.start()
        self._news = listen(hub, "127.0.0.1", 0, lambda _: None)
        self._rounds = 0

    def run(self) -> None:
        """Serve until the standard input ends."""
        self._hub.spawn(lambda: self._news.serve(self._hear), "news")
        say(Ports(self._list.port, self._news.port))
        lines = InputLines()
        while True:
            self._hub.wait(0, READ)
            commands = lines.read()
            if commands is None:
                os._exit(0)
            for command in commands:
                self._command(command.split())

    def _hear(self, stream: Stream) -> None:
        unread = b""
        while part := stream.receive():
            *lines, unread = (unread + part).split(b"\n")
            for line in lines:
                told = _DECODER.decode(line)
                self._known[told.index] = told
                self._list.show(f"node-{told.index}", node_value(told))

    def _command(self, words: list[str]) -> None:
        if words[0] == "count":
            say(len(self._known))
        elif words[0] == "change":
            self._change(int(words[1]), int(words[2]))
            say(self._list._store.version)

    def _change(self, count: int, every_ms: int) -> None:
        self._rounds += 1
        entries = list(self._known.values())
        step = max(1, len(entries) // count)
        for position in range(count):
            told = entries[position * step % len(entries)]
            # A different figure each time: what does not change is not shown.
            nudge = -0.01 * (1 + (self._rounds + position * step // len(entries)) % 50)
            self._list.show(f"node-{told.index}", node_value(told, nudge))
            self._hub.sleep(every_ms * MS)


def main() -> None:
    """Serve the list."""
    raise_descriptor_limit()
    hub = Hub()
    hub.run(lambda: Source(hub).run())


if __name__ == "__main__":
    main()
