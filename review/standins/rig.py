"""Stand-ins of the platform for the cases of this review: owners, machines, journal service, and the placer's process.

Written from PROTOCOL.md and DEPLOY.md of the platform; standard library alone. Every address is a loopback address.
"""

from __future__ import annotations

import asyncio
import json
import logging
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
SET_UP, ANSWER, RELEASE, HEARD, NOTE, MOVE, TEST, TESTED = 1, 9, 12, 16, 44, 51, 52, 53
CLASS, PATIENCE, NAME, FIGURES, REMARK, HINT, CAUSE, DESCRIPTION = 3, 6, 15, 18, 24, 33, 45, 48
NAMES = {
    1: "set-up",
    9: "answer",
    12: "release",
    16: "release heard",
    44: "note",
    51: "move",
    52: "test",
    53: "tested",
}
FULL, OVER, GIVEN_UP, CANCELLED = 34, 16, 16, 31


def encode(kind: int, task: int, values: dict[int, bytes]) -> bytes:
    """One message of the platform's protocol."""
    body = b"".join(bytes((c,)) + len(v).to_bytes(2, "big") + v for c, v in values.items())
    return (9 + len(body)).to_bytes(2, "big") + bytes((kind,)) + task.to_bytes(8, "big") + body


async def read_message(reader: asyncio.StreamReader) -> tuple[int, int, dict[int, bytes]]:
    """The next message: type, task, parameters. Raises IncompleteReadError at the end of the stream."""
    length = int.from_bytes(await reader.readexactly(2), "big")
    body = await reader.readexactly(length)
    values, at = {}, 9
    while at < length:
        size = int.from_bytes(body[at + 1 : at + 3], "big")
        values[body[at]] = body[at + 3 : at + 3 + size]
        at += 3 + size
    return body[0], int.from_bytes(body[1:9], "big"), values


class Record:
    """Writes what was sent, answered and run to a file, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.began = time.time()
        self._file = path.open("w")

    def now(self) -> float:
        """Seconds since the start."""
        return time.time() - self.began

    def __call__(self, who: str, what: str) -> None:
        self._file.write(f"{self.now():8.3f} {who:14s} {what}\n")
        self._file.flush()


def _say(kind: int, task: int, values: dict[int, bytes]) -> str:
    cause = f" cause {values[CAUSE][0]}" if CAUSE in values else ""
    remark = f" {values[REMARK].decode()}" if REMARK in values else ""
    return f"{NAMES.get(kind, kind)} {task:016x}{cause}{remark}"


class Machine:
    """A sound machine: accepts each set-up, runs the task for `life(service name)` seconds, and releases it."""

    def __init__(self, rig: Rig, name: str, cell: int, zone: str, address: str = "") -> None:
        self.rig, self.name, self.cell, self.zone = rig, name, cell, zone
        self.host, _, port = (address or "127.0.0.1:0").rpartition(":")
        self.port = int(port)
        self.tasks: dict[int, asyncio.StreamWriter] = {}  # running, with the set-up's connection
        self.open_set_ups: dict[int, asyncio.StreamWriter] = {}
        self.lives: dict[int, asyncio.Task[None]] = {}
        # Open connections: all on which no end has been read.
        self.connections = 0  # so far
        self.numbers: dict[asyncio.StreamWriter, int] = {}
        self.writers: dict[asyncio.StreamWriter, asyncio.StreamReader] = {}
        self.repeats: list[bytes] = []  # releases to be sent again on the next connection that opens
        self.set_ups: list[tuple[float, int]] = []  # time and task of each set-up that was read
        self.ended: dict[int, float] = {}  # when a task that stood was released by this machine
        self.draining = False
        self.running = asyncio.Event()  # cleared while the machine hangs
        self.running.set()
        self.start_s = 0.05
        self.started_ms = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, self.host, self.port, backlog=128)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, lifecycle: str = "") -> dict[str, Any]:
        """Its entry in the list."""
        return {
            "instanceId": self.name,
            "hostPort": f"{self.host}:{self.port}",
            "zone": self.zone,
            "machineType": "small-node",
            "cell": self.cell,
            "lifecycle": lifecycle or ("Terminating" if self.draining else "Ready"),
            "weight": 1,
            "startedAtMs": self.started_ms,
            "room": [24.0, 40.0],
        }

    def hang(self) -> None:
        """Stand still: nothing is read or sent; the system still accepts connections."""
        self.rig.record(self.name, "hangs")
        self.running.clear()

    def resume(self) -> None:
        """Go on."""
        self.rig.record(self.name, "goes on")
        self.running.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers[writer] = reader
        self.connections += 1
        self.numbers[writer] = self.connections
        self.rig.record(self.name, f"connection {self.connections} opens")
        try:
            await self.running.wait()
            for data in self.repeats:
                self._write(writer, data)
            self.repeats.clear()
            while True:
                kind, task, values = await read_message(reader)
                if not self.running.is_set():
                    await self.running.wait()
                if kind != TEST:
                    self.rig.record(self.name, "reads " + _say(kind, task, values))
                if kind == SET_UP:
                    self.set_ups.append((self.rig.record.now(), task))
                    self.open_set_ups[task] = writer
                    self.rig.spawn(self._take(writer, task, values))
                elif kind == RELEASE:
                    self.open_set_ups.pop(task, None)
                    if task in self.tasks:
                        self._end(task, CANCELLED)
                elif kind == TEST:
                    report = {CAUSE: b"\1", 30: b"x0:12;x1:30"}
                    self._write(writer, encode(TESTED, task, report))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            del self.writers[writer]
            self.rig.record(self.name, f"connection {self.numbers.pop(writer)} has ended")
            for task in [each for each, its in self.open_set_ups.items() if its is writer]:
                del self.open_set_ups[task]  # the end of a connection gives up the set-ups open on it
            writer.close()

    async def _take(self, writer: asyncio.StreamWriter, task: int, values: dict[int, bytes]) -> None:
        await asyncio.sleep(0.02)
        await self.running.wait()
        if self.draining:
            self.open_set_ups.pop(task, None)
            self._write(writer, encode(RELEASE, task, {CAUSE: bytes((FULL,)), REMARK: b"nh"}))
            return
        await asyncio.sleep(self.start_s)
        await self.running.wait()
        if self.open_set_ups.pop(task, None) is None:
            return  # given up
        self.tasks[task] = writer
        self._write(writer, encode(ANSWER, task, {DESCRIPTION: b"made by " + self.name.encode()}))
        self.lives[task] = self.rig.spawn(self._live(task, self.rig.life(values)))

    async def _live(self, task: int, life_s: float) -> None:
        await asyncio.sleep(life_s)
        await self.running.wait()
        if task in self.tasks:
            self._end(task, OVER)

    def _end(self, task: int, cause: int) -> None:
        writer = self.tasks.pop(task)
        data = encode(RELEASE, task, {CAUSE: bytes((cause,))})
        self.ended[task] = self.rig.record.now()
        # On the connection of its set-up, else on any open one; and again on the next one that opens.
        open_ones = [each for each, reader in self.writers.items() if not reader.at_eof()]
        if writer not in open_ones and not open_ones:
            self.rig.record(self.name, f"{task:016x} has ended, and no connection is open")
        else:
            self._write(writer if writer in open_ones else open_ones[0], data)
        self.repeats.append(data)

    def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        kind, task = data[2], int.from_bytes(data[3:11], "big")
        if kind != TESTED:
            cause = f" cause {data[14]}" if kind == RELEASE else ""
            number = self.numbers.get(writer, "that has ended")
            self.rig.record(self.name, f"sends {NAMES[kind]} {task:016x}{cause} on connection {number}")
        writer.write(data)


class Journal:
    """A sound journal service: numbered events over a long poll; `late_s` delays each answer."""

    def __init__(self, rig: Rig) -> None:
        self.rig = rig
        self.events: list[dict[str, Any]] = []
        self.late_s = 0.0
        self.port = 0
        self._news = asyncio.Event()

    async def start(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=128)
        self.port = server.sockets[0].getsockname()[1]

    def add(self, *entries: dict[str, Any], reset: bool = False) -> None:
        """Add an event: from now on it is in the service."""
        hosts = {"generation": len(self.events) + 1, "reset": reset, "instances": list(entries)}
        self.events.append({"pos": len(self.events) + 1, "hosts": hosts})
        self._news.set()
        self._news = asyncio.Event()
        brief = ", ".join(f"{e['instanceId']} {e['lifecycle']}" for e in entries)
        self.rig.record("journal", f"event {len(self.events)}: {brief}")

    def known(self, after: int = 0) -> dict[str, Any]:
        """The events after a number."""
        return {"pos": len(self.events), "entries": self.events[after:]}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                target = head.split(" ")[1]
                query = dict(pair.split("=") for pair in target.partition("?")[2].split("&"))
                tail, late_s = int(query["tail"]), self.late_s
                until = time.time() + min(5000, int(query["max_wait"])) / 1000
                if late_s:
                    await asyncio.sleep(late_s)
                while len(self.events) <= tail and time.time() < until:
                    try:
                        await asyncio.wait_for(self._news.wait(), max(0.001, until - time.time()))
                    except TimeoutError:
                        pass
                body = json.dumps(self.known(tail)).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % len(body) + body
                )
                if late_s or len(self.events) > tail:
                    self.rig.record("journal", f"answers {target}" + (f", {late_s} s late" if late_s else ""))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class Owner:
    """A connection from an owner; it closes after 4 s without an open set-up, unless it `keeps` for good."""

    def __init__(self, rig: Rig, name: str, keeps: bool = False) -> None:
        self.rig, self.name, self.keeps = rig, name, keeps
        self.open: set[int] = set()
        self.resting_since: float | None = None
        self.opened = rig.record.now()
        self.closed: float | None = None

    async def start(self) -> None:
        """Connect."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.rig.port)
        self.rig.record(self.name, "connects")
        self.resting_since = self.rig.record.now()
        self.rig.spawn(self._read())
        if not self.keeps:
            self.rig.spawn(self._close_when_idle())

    async def _close_when_idle(self) -> None:
        while self.closed is None:
            await asyncio.sleep(0.05)
            now = self.rig.record.now()
            if not self.open and self.resting_since is not None and now - self.resting_since >= 4:
                self.closed = now
                self.rig.record(self.name, "closes its connection: no task on it for 4 s")
                self.writer.close()

    async def _read(self) -> None:
        try:
            while True:
                kind, task, values = await read_message(self.reader)
                now = self.rig.record.now()
                self.rig.record(self.name, "gets " + _say(kind, task, values))
                if task in self.open and kind in (ANSWER, RELEASE):
                    self.open.discard(task)
                    if not self.open:
                        self.resting_since = now
                self.rig.heard(kind, task, values, now)
                if kind == RELEASE:
                    self.writer.write(encode(HEARD, task, {}))
        except (asyncio.IncompleteReadError, ConnectionError):
            if self.closed is None:
                self.closed = self.rig.record.now()
                self.rig.record(self.name, "its connection is closed by the placer")
                self.writer.close()

    def ask(
        self, task: int, cls: str, service: str, patience_ms: int, cores: float, memory: float, at: str = ""
    ) -> None:
        """Send a set-up."""
        figures = f"cores:{cores:g};memory:{memory:g};service:{service}" + (f";at:{at}" if at else "")
        values = {
            CLASS: cls.encode(),
            PATIENCE: b"%d" % patience_ms,
            HINT: b"8000.0",
            NAME: f"{task ^ 0x5A5A:016x}".encode(),
            FIGURES: figures.encode(),
            DESCRIPTION: b"from the owner of " + service.encode(),
        }
        if not at:
            self.open.add(task)
            self.rig.asked[task] = (self.rig.record.now(), patience_ms / 1000, cls)
        self.rig.record(self.name, f"sends set-up {task:016x} {cls} {figures} patience {patience_ms} ms")
        self.writer.write(encode(SET_UP, task, values))

    async def test(self) -> None:
        """Send a test, as the front does."""
        self.writer.write(encode(TEST, 1 << 40, {CAUSE: b"\0"}))


class Rig:
    """One placer as a process of its own, with stand-ins on loopback."""

    def __init__(self, folder: Path, settings: dict[str, Any]) -> None:
        self.record = Record(folder / "record.txt")
        self.settings = settings
        self.journal = Journal(self)
        self.machines: list[Machine] = []
        self.process: subprocess.Popen[bytes] | None = None
        self.port = 0
        self.lives: dict[str, float] = {}  # by service
        self.asked: dict[int, tuple[float, float, str]] = {}
        self.answers: dict[int, list[tuple[float, int, int]]] = {}  # time, type, cause
        self._tasks: set[asyncio.Task[Any]] = set()
        self._ready = asyncio.Event()

    def spawn(self, call: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run in the background."""
        task = asyncio.get_running_loop().create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def life(self, values: dict[int, bytes]) -> float:
        """How long a task lives, by its service, which the owner's description names."""
        service = values[DESCRIPTION].decode().rpartition(" ")[2]
        return self.lives.get(service, float(service.rpartition(":")[2]) if ":" in service else 5.0)

    def heard(self, kind: int, task: int, values: dict[int, bytes], now: float) -> None:
        """Note what an owner got."""
        if kind == TESTED and values.get(CAUSE) == b"\1":
            self._ready.set()
        self.answers.setdefault(task, []).append((now, kind, values.get(CAUSE, b"\0")[0]))

    async def owner(self, name: str, keeps: bool = False) -> Owner:
        """A new connection from an owner."""
        owner = Owner(self, name, keeps)
        await owner.start()
        return owner

    async def start_machines(self, count: int, cells: int, zones: list[str], apart: int = -1) -> None:
        """Start machines and list them; if one of them is `apart`, the caller does that."""
        for i in range(count):
            if i == apart:
                continue
            cell = i % cells
            machine = Machine(self, machine_name(i), cell, zones[cell % len(zones)])
            await machine.start()
            self.machines.append(machine)
        if apart < 0:
            self.journal.add(*(machine.entry() for machine in self.machines), reset=True)

    async def start_placer(self, folder: Path) -> None:
        """Start the placer with the deploy file's `run`, and wait until it passes a test."""
        if not self.port:
            with socket.socket() as free:
                free.bind(("127.0.0.1", 0))
                self.port = free.getsockname()[1]
        config = folder / "config.json"
        config.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": f"127.0.0.1:{self.port}",
                    "seed": "8c1f30d27a5be964",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
                    "journal": f"127.0.0.1:{self.journal.port}",
                    "known": self.journal.known(),
                    "settings": self.settings,
                }
            )
        )
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = {
            **os.environ,
            "RELAY_NAME": "n0",
            "RELAY_LISTEN": f"127.0.0.1:{self.port}",
            "RELAY_CONFIG": str(config),
            "TMPDIR": str(folder),
        }
        with (folder / "placer.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._ready.clear()
        until = time.time() + 30
        while time.time() < until:
            try:
                front = await self.owner("front")
                await front.test()
                await asyncio.wait_for(self._ready.wait(), 1)
                self.record("front", f"the placer (process {self.process.pid}) passes a test")
                return
            except (OSError, TimeoutError):
                await asyncio.sleep(0.05)
        raise RuntimeError("the placer is not ready within 30 s")

    def stop(self) -> None:
        """End the placer's process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    def first(self, task: int, *kinds: int) -> tuple[float, int, int] | None:
        """The first message of these types that an owner got for a task."""
        return next((each for each in self.answers.get(task, []) if each[1] in kinds), None)

    async def until_answered(self, task: int, for_s: float = 12) -> bool:
        """Wait for the answer of a set-up; whether the task stands."""
        until = time.time() + for_s
        while time.time() < until and self.first(task, ANSWER, RELEASE) is None:
            await asyncio.sleep(0.01)
        got = self.first(task, ANSWER, RELEASE)
        return got is not None and got[1] == ANSWER


def machine_name(i: int) -> str:
    """The name of a machine."""
    return f"s-{0x00C41F00 + i * 7919:08x}"


def holder(rig: Rig, task: int) -> Machine | None:
    """The machine that runs a task."""
    return next((machine for machine in rig.machines if task in machine.tasks), None)


def main(
    folder: Path,
    settings: dict[str, Any],
    play: Callable[[Rig, bool], Coroutine[Any, Any, bool]],
) -> None:
    """Play a case; the exit status is 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        current = asyncio.current_task()
        assert current is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, current.cancel)
        rig = Rig(folder, settings)
        rig.record("case", "with the disruption" if trouble else "without the disruption")
        with tempfile.TemporaryDirectory() as temporary:
            try:
                await rig.journal.start()
                async with asyncio.timeout(115):
                    rig.temporary = Path(temporary)
                    broken = await play(rig, trouble)
                if rig.process is None or rig.process.poll() is not None:
                    rig.record("case", "the placer has ended by itself")
                    return 2
                rig.record("verdict", "the rule was broken" if broken else "the rule held")
                return int(broken)
            except Exception as error:
                rig.record("case", f"could not run: {type(error).__name__}: {error}")
                print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
                return 2
            finally:
                rig.stop()
                if os.environ.get("KEEP_LOG"):
                    print((Path(temporary) / "placer.log").read_text())

    logging.getLogger("asyncio").setLevel(logging.CRITICAL)  # connections that are cut off at the end
    status = asyncio.run(run())
    print(("the rule held", "the rule was broken", "the case could not run")[status])
    sys.exit(status)
