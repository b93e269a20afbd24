"""Hollow machines: stand-ins that speak the machine's HTTP over real sockets, some thousands to a process.

    python -m benchmarks.capacity.hollow FIRST COUNT

Each has a listener of its own and keeps its pods; there is no admission, no queue and no start: a Pod that is POSTed is
"Running" in the answer, "Succeeded" after its `wingbarrow.io/runs-for`, and deleted a while later. Lists and watches
know the selector of one placer's pods. Bookmarks go to every watch, evenly spread over `BOOKMARK_S`, so that a watch
without news is not taken for dead. What a hollow machine itself costs is not measured.

It tells the list source over a connection of its own: at the start of each machine's address, then once a second of
those whose asked room has changed. The port for that is the first line of standard input, answered with COUNT once the
machines listen. Then it takes one command a line: `held`, the number of running pods;
`end N`, end so many now; `cut N`, close so many watches; `marks N`, send bookmarks from now on, with 0 none. Each is
answered with a number.
"""

from __future__ import annotations

import heapq
import re
import select
import socket
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import unquote

import msgspec

from benchmarks.capacity.processes import InputLines, raise_descriptor_limit, say
from wingbarrow.config import parse_duration, parse_size
from wingbarrow.http.write import write_chunk, write_response
from wingbarrow.kube import names
from wingbarrow.kube.store import event_line

BOOKMARK_S = 20.0  # below the silence after which a placer takes a watch for dead
KEEP_ENDED_S = 5.0  # from a pod's end to its deletion
TELL_S = 1.0
TURN_S = 0.1  # bookmarks and news are looked at so often
_LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.I)
_JSON = [("Content-Type", "application/json")]
_DONE = names.encode({"kind": "Status", "apiVersion": "v1", "status": "Success"})
_POD = re.compile(r"/api/v1/namespaces/[^/]+/pods/([^/?]+)")


class Told(msgspec.Struct, frozen=True):
    """What the list source is told of a machine: where it is, and the room that its pods ask (cores, GiB)."""

    index: int
    host: str
    port: int
    cores: float
    memory: float


@dataclass(slots=True)
class HollowPod:
    """A running or ended pod."""

    value: dict[str, Any]
    placer: str
    cores: float
    memory: float
    running: bool = True


@dataclass(slots=True, eq=False)
class Machine:
    """One machine: its pods by name and its watches."""

    index: int
    port: int
    version: int = 1
    cores: float = 0.0
    memory: float = 0.0
    pods: dict[str, HollowPod] = field(default_factory=dict)
    watches: dict[Connection, str] = field(default_factory=dict)  # the placer whose pods it shows


@dataclass(slots=True, eq=False)
class Connection:
    """One accepted connection; `unsent` waits until the reader takes more."""

    stream: socket.socket
    machine: Machine
    unread: bytearray = field(default_factory=bytearray)
    unsent: bytearray = field(default_factory=bytearray)
    blocked: bool = False  # the reader takes no more for now


class Hollow:
    """All machines of one process on one `epoll`."""

    def __init__(self, first: int, count: int) -> None:
        self._poll = select.epoll()
        self._host = f"127.0.1.{1 + first % 250}"
        self._handlers: dict[int, Callable[[int], None]] = {}
        self._due: list[tuple[float, int, Machine, str]] = []
        self._order = 0
        self._dirty: dict[int, Machine] = {}
        self._listeners: list[socket.socket] = []
        self._machines = [self._listen(first + offset) for offset in range(count)]
        self._marked = 0.0  # position of the next machine that gets its bookmark
        self._marks = True
        self._input = InputLines()
        self._open = True

    def run(self) -> None:
        """Serve until the standard input ends."""
        self._news = socket.create_connection(("127.0.0.1", int(self._input.first())))
        self._tell(self._machines)
        say(len(self._machines))
        self._poll.register(0, select.EPOLLIN)
        self._handlers[0] = lambda _: self._command()
        next_turn = next_tell = time.monotonic()
        while self._open:
            now = time.monotonic()
            self._end_due(now)
            if now >= next_turn:
                next_turn = now + TURN_S
                if self._marks:
                    self._bookmarks(TURN_S / BOOKMARK_S)
            if now >= next_tell:
                next_tell = now + TELL_S
                self._tell(list(self._dirty.values()))
                self._dirty.clear()
            until = min(next_turn, self._due[0][0] if self._due else next_turn)
            for descriptor, mask in self._poll.poll(max(0.0, until - time.monotonic())):
                handler = self._handlers.get(descriptor)
                if handler is not None:
                    handler(mask)

    # -- connections

    def _listen(self, index: int) -> Machine:
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setblocking(False)
        listener.bind((self._host, 0))
        listener.listen(64)
        machine = Machine(index, listener.getsockname()[1])
        self._listeners.append(listener)
        self._poll.register(listener.fileno(), select.EPOLLIN)
        self._handlers[listener.fileno()] = lambda _: self._accept(listener, machine)
        return machine

    def _accept(self, listener: socket.socket, machine: Machine) -> None:
        try:
            stream, _ = listener.accept()
        except BlockingIOError:
            return
        stream.setblocking(False)
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = Connection(stream, machine)
        self._poll.register(stream.fileno(), select.EPOLLIN)
        self._handlers[stream.fileno()] = lambda mask: self._ready(connection, mask)

    def _ready(self, connection: Connection, mask: int) -> None:
        if mask & select.EPOLLOUT:
            self._flush(connection)
        if not mask & ~select.EPOLLOUT or connection.stream.fileno() < 0:
            return
        try:
            part = connection.stream.recv(65536)
        except BlockingIOError:
            return
        except OSError:
            part = b""
        if not part:
            self._close(connection)
            return
        connection.unread += part
        self._requests(connection)

    def _send(self, connection: Connection, data: bytes) -> None:
        connection.unsent += data
        self._flush(connection)

    def _flush(self, connection: Connection) -> None:
        try:
            sent = connection.stream.send(connection.unsent)
        except BlockingIOError:
            sent = 0
        except OSError:
            self._close(connection)
            return
        del connection.unsent[:sent]
        if connection.blocked != bool(connection.unsent):
            connection.blocked = bool(connection.unsent)
            wanted = select.EPOLLIN | (select.EPOLLOUT if connection.blocked else 0)
            self._poll.modify(connection.stream.fileno(), wanted)

    def _close(self, connection: Connection) -> None:
        connection.machine.watches.pop(connection, None)
        descriptor = connection.stream.fileno()
        if descriptor >= 0:
            self._handlers.pop(descriptor, None)
            self._poll.unregister(descriptor)
            connection.stream.close()

    # -- requests

    def _requests(self, connection: Connection) -> None:
        """Answer each whole request that has come."""
        unread = connection.unread
        while (end := unread.find(b"\r\n\r\n")) >= 0:
            head = bytes(unread[:end])
            length = _LENGTH.search(head)
            whole = end + 4 + (int(length[1]) if length else 0)
            if len(unread) < whole:
                return
            body = bytes(unread[end + 4 : whole])
            del unread[:whole]
            method, target, _ = head.partition(b"\r\n")[0].decode("latin-1").split(" ")
            self._answer(connection, method, target, body)

    def _answer(self, connection: Connection, method: str, target: str, body: bytes) -> None:
        machine, (path, _, query) = connection.machine, target.partition("?")
        named = _POD.fullmatch(path)
        if method == "POST" and path.endswith("/pods"):
            pod = self._start(machine, body)
            self._send(connection, write_response(201, _JSON, names.encode(pod.value), True))
            self._show(machine, b"ADDED", pod)
            return
        if method == "GET" and path == "/api/v1/pods":
            placer = unquote(query).partition(f"{names.PLACER}=")[2].partition("&")[0]
            if "watch=true" in query:
                self._send(connection, write_response(200, _JSON, None, True))
                machine.watches[connection] = placer
                return
            status, answer = 200, self._list(machine, placer)
        elif method == "DELETE" and named is not None and named[1] in machine.pods:
            status, answer = 200, _DONE
            self._delete(machine, named[1])
        elif method == "GET" and path == "/stats/summary":
            status, answer = (
                200,
                names.encode(
                    {
                        "node": {
                            "cpu": {"usageNanoCores": int(machine.cores * 5e8)},
                            "memory": {"availableBytes": 24 << 30},
                        },
                        "pods": [],
                    }
                ),
            )
        else:
            status, answer = 404, names.encode({"kind": "Status", "apiVersion": "v1", "code": 404})
        self._send(connection, write_response(status, _JSON, answer, True))

    def _list(self, machine: Machine, placer: str) -> bytes:
        items = [pod.value for pod in machine.pods.values() if pod.placer == placer]
        return names.encode(
            {
                "kind": "PodList",
                "apiVersion": "v1",
                "metadata": {"resourceVersion": str(machine.version)},
                "items": items,
            }
        )

    # -- pods

    def _start(self, machine: Machine, body: bytes) -> HollowPod:
        value = names.decode(body)
        meta = value["metadata"]
        asked = [each["resources"]["requests"] for each in value["spec"]["containers"]]
        pod = HollowPod(
            value,
            meta["labels"].get(names.PLACER, ""),
            sum(parse_size(each["cpu"]) for each in asked),
            sum(parse_size(each["memory"]) for each in asked) / 2**30,
        )
        value["status"] = {
            "phase": "Running",
            "hostIP": self._host,
            "startTime": names.short_time(time.time_ns() // 1000),
        }
        machine.pods[meta["name"]] = pod
        machine.cores += pod.cores
        machine.memory += pod.memory
        self._dirty[machine.index] = machine
        runs_s = parse_duration(meta["annotations"].get(names.RUNS_FOR, "10s")) / 1e6
        self._later(runs_s, machine, meta["name"])
        return pod

    def _later(self, after_s: float, machine: Machine, name: str) -> None:
        self._order += 1
        heapq.heappush(self._due, (time.monotonic() + after_s, self._order, machine, name))

    def _end_due(self, now: float) -> None:
        while self._due and self._due[0][0] <= now:
            _, _, machine, name = heapq.heappop(self._due)
            pod = machine.pods.get(name)
            if pod is not None and pod.running:
                self._end(machine, name, pod)
            elif pod is not None:
                self._delete(machine, name)

    def _end(self, machine: Machine, name: str, pod: HollowPod) -> None:
        self._leave(machine, pod)
        pod.value["status"]["phase"] = "Succeeded"
        self._show(machine, b"MODIFIED", pod)
        self._later(KEEP_ENDED_S, machine, name)

    def _leave(self, machine: Machine, pod: HollowPod) -> None:
        pod.running = False
        machine.cores -= pod.cores
        machine.memory -= pod.memory
        self._dirty[machine.index] = machine

    def _delete(self, machine: Machine, name: str) -> None:
        pod = machine.pods.pop(name)
        if pod.running:
            self._leave(machine, pod)
        self._show(machine, b"DELETED", pod)

    def _show(self, machine: Machine, kind: bytes, pod: HollowPod) -> None:
        machine.version += 1
        pod.value["metadata"]["resourceVersion"] = str(machine.version)
        watches = [each for each, placer in machine.watches.items() if placer == pod.placer]
        if watches:
            chunk = write_chunk(event_line(kind, names.encode(pod.value)))
            for connection in watches:
                self._send(connection, chunk)

    # -- what goes out unasked

    def _bookmarks(self, part: float) -> None:
        """Send their bookmark to the next `part` of the machines."""
        count = len(self._machines)
        begin, self._marked = self._marked, self._marked + part * count
        for position in range(int(begin), int(self._marked)):
            machine = self._machines[position % count]
            mark = names.encode(
                {
                    "kind": "Pod",
                    "apiVersion": "v1",
                    "metadata": {"resourceVersion": str(machine.version)},
                }
            )
            for connection in list(machine.watches):
                self._send(connection, write_chunk(event_line(b"BOOKMARK", mark)))

    def _tell(self, machines: list[Machine]) -> None:
        lines = [
            msgspec.json.encode(Told(each.index, self._host, each.port, each.cores, each.memory))
            + b"\n"
            for each in machines
        ]
        self._news.sendall(b"".join(lines))

    # -- commands

    def _command(self) -> None:
        lines = self._input.read()
        if lines is None:
            self._open = False
            return
        for line in lines:
            command, _, count = line.partition(" ")
            if command == "held":
                say(sum(pod.running for machine in self._machines for pod in machine.pods.values()))
            elif command == "end":
                say(self._end_some(int(count)))
            elif command == "cut":
                say(self._cut_some(int(count)))
            elif command == "marks":
                self._marks = bool(int(count))
                say(int(count))

    def _end_some(self, most: int) -> int:
        """End up to so many pods, the next of each machine in turn."""
        chosen = [
            (machine, name, pod)
            for machine in self._machines
            for name, pod in machine.pods.items()
            if pod.running
        ][:most]
        for machine, name, pod in chosen:
            self._end(machine, name, pod)
        return len(chosen)

    def _cut_some(self, most: int) -> int:
        """Close up to so many watches, one a machine."""
        chosen = [next(iter(machine.watches)) for machine in self._machines if machine.watches][
            :most
        ]
        for connection in chosen:
            self._close(connection)
        return len(chosen)


def main() -> None:
    """Run the machines FIRST to FIRST + COUNT - 1."""
    raise_descriptor_limit()
    Hollow(*map(int, sys.argv[1:])).run()


if __name__ == "__main__":
    main()
