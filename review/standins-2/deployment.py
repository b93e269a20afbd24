"""Stand-ins of the platform for the second review: journal service, machines and owners, in one asyncio process.

Written from the protocol page, with the standard library alone. The placer is a process of its own, started with the
`run` command of the deploy file. Every address is a loopback address.
"""

from __future__ import annotations

import asyncio
import json
import os
import resource
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, UNABLE = 0, 1, 2

SET_UP, ANSWER, RELEASE, RELEASE_HEARD, NOTE, MOVE, TEST, TESTED = 1, 9, 12, 16, 44, 51, 52, 53
KINDS = {
    1: "set-up", 6: "progress", 9: "answer", 12: "release", 16: "release heard", 44: "note", 51: "move", 52: "test",
    53: "test passed or failed",
}
CLASS, PATIENCE, NAME, FIGURES, STAY_AWAY, REMARK, HINT, CAUSE, DESCRIPTION = 3, 6, 15, 18, 21, 24, 33, 45, 48
GIVEN_UP, ENDED, CANCELLED, FULL = 16, 16, 31, 34

ADMIT_S = 0.02  # a machine looks at one ask at a time, for 14 to 34 ms
OWNER_IDLE_S = 4.0  # owners close a connection with no task on it after this time
RELEASE_BOUND_S = 1.05  # "within 1 s", and 50 ms that each limit grows by
UNSENT_BOUND_S = 8.05  # "8 s after its end" where no release could be sent


class Unable(Exception):
    """The case could not run as described; nothing is concluded."""


def message(kind: int, task: int, values: dict[int, bytes]) -> bytes:
    """One message of the protocol, as bytes."""
    body = b"".join(struct.pack(">BH", code, len(value)) + value for code, value in values.items())
    return struct.pack(">HBQ", 9 + len(body), kind, task) + body


class Parsed:
    """A message that was received."""

    def __init__(self, body: bytes) -> None:
        self.kind, self.task = struct.unpack(">BQ", body[:9])
        self.values: dict[int, bytes] = {}
        at = 9
        while at < len(body):
            code, length = struct.unpack(">BH", body[at : at + 3])
            self.values[code] = body[at + 3 : at + 3 + length]
            at += 3 + length

    def text(self, code: int) -> str:
        return self.values.get(code, b"").decode()

    @property
    def cause(self) -> int:
        return self.values.get(CAUSE, b"\0")[0]

    def __str__(self) -> str:
        parts = [f"{KINDS.get(self.kind, self.kind)} {self.task:016x}"]
        if CAUSE in self.values:
            parts.append(f"cause {self.cause}")
        for code, word in ((CLASS, "class"), (PATIENCE, "ms"), (FIGURES, ""), (REMARK, "remark")):
            if code in self.values:
                parts.append(f"{word} {self.text(code)}".strip())
        return ", ".join(parts)


class Record:
    """`record.txt` of a case: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.began

    def __call__(self, who: str, what: object) -> None:
        self._file.write(f"{self.now():8.3f} {who}: {what}\n")
        self._file.flush()


async def read_messages(reader: asyncio.StreamReader, handle: Callable[[Parsed], None]) -> None:
    """Pass on whole messages until the connection ends."""
    try:
        while True:
            (length,) = struct.unpack(">H", await reader.readexactly(2))
            handle(Parsed(await reader.readexactly(length)))
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return


class Journal:
    """The journal service: numbered events over a long poll. `events` are told to whoever asks."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.events: list[dict[str, Any]] = []
        self.port = 0
        self.writers: list[asyncio.StreamWriter] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def known(self, after: int = 0) -> dict[str, Any]:
        return {"pos": len(self.events), "entries": self.events[after:]}

    def tell(self, *entries: dict[str, Any], reset: bool = False) -> None:
        """Put one event into the service; from now on it counts as told."""
        position = len(self.events) + 1
        hosts = {"generation": position, "reset": reset, "instances": list(entries)}
        self.events.append({"pos": position, "hosts": hosts})
        states = ", ".join(f"{each['instanceId']} {each['lifecycle']}" for each in entries)
        self.record("journal", f"event {position}: {states}")
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                query = dict(pair.split("=") for pair in head.split(" ")[1].partition("?")[2].split("&"))
                tail, until = int(query["tail"]), time.monotonic() + int(query["max_wait"]) / 1000
                while len(self.events) <= tail and (left := until - time.monotonic()) > 0:
                    try:
                        await asyncio.wait_for(self._changed.wait(), left)
                    except TimeoutError:
                        break
                body = json.dumps(self.known(tail)).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()


class Run:
    """A task at a machine: being started, standing, or over."""

    def __init__(self, task: int, writer: asyncio.StreamWriter, cores: float, memory: float) -> None:
        self.task, self.writer, self.cores, self.memory = task, writer, cores, memory
        self.stands = False
        self.work: asyncio.Task[None] | None = None


@dataclass
class Attempt:
    """A set-up that has come whole to a machine: out until its end is written or it is given up."""

    task: int
    machine: str
    came: float
    writer: asyncio.StreamWriter
    over: float = float("inf")
    why: str = ""

    def end(self, now: float, why: str) -> None:
        if self.over == float("inf"):
            self.over, self.why = now, why


class Machine:
    """A machine: admits by cores and memory, starts, answers once the task runs, and releases it at its end."""

    def __init__(self, record: Record, name: str, kind: str, cores: float, memory: float, cell: int, zone: str) -> None:
        self.record, self.name, self.kind, self.cell, self.zone = record, name, kind, cell, zone
        self.cores, self.memory = cores, memory
        self.started_ms = 0
        self.runs: dict[int, Run] = {}
        self.attempts: list[Attempt] = []
        self.released: dict[int, tuple[int, float]] = {}  # cause, and when, by task
        self.start_s: Callable[[Parsed], float] = lambda set_up: 0.05
        self.life_s: Callable[[Parsed], float] = lambda set_up: 3600.0
        self.answer: Callable[[int, bytes], bytes] = lambda task, whole: whole
        self._asks: asyncio.Queue[tuple[Parsed, asyncio.StreamWriter, Attempt]] = asyncio.Queue()
        self.writers: list[asyncio.StreamWriter] = []
        self._repeats: list[bytes] = []  # releases that the next connection brings again
        self.port = 0

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        self._server, self._admits = server, asyncio.create_task(self._admit())

    def entry(self, lifecycle: str = "Ready") -> dict[str, Any]:
        free = self.cores - sum(run.cores for run in self.runs.values())
        room = [free, self.memory - sum(run.memory for run in self.runs.values())]
        return {
            "instanceId": self.name, "hostPort": f"127.0.0.1:{self.port}", "zone": self.zone, "machineType": self.kind,
            "cell": self.cell, "lifecycle": lifecycle, "weight": 1, "startedAtMs": self.started_ms, "room": room,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        for again in self._repeats:
            writer.write(again)
        self._repeats.clear()
        await read_messages(reader, lambda got: self._on_message(got, writer))
        self.writers.remove(writer)
        for task in [attempt.task for attempt in self.attempts if attempt.writer is writer]:
            self._give_up(task, "given up with its connection")
        writer.close()

    def _on_message(self, got: Parsed, writer: asyncio.StreamWriter) -> None:
        if got.kind == TEST:
            free = self.entry()["room"]
            report = f"x0:{free[0]};x1:{free[1]}".encode()
            writer.write(message(TESTED, got.task, {CAUSE: b"\1", 30: report}))
            return
        self.record(self.name, f"got {got}")
        run = self.runs.get(got.task)
        if got.kind == SET_UP:
            attempt = Attempt(got.task, self.name, self.record.now(), writer)
            self.attempts.append(attempt)
            self._asks.put_nowait((got, writer, attempt))
            return
        if got.kind == RELEASE:
            self._give_up(got.task, "given up")
            if run is not None and run.stands:
                self.end(got.task, CANCELLED)

    def _give_up(self, task: int, why: str) -> None:
        """End the attempts of a task that are out, and what is being started."""
        for attempt in self.attempts:
            if attempt.task == task:
                attempt.end(self.record.now(), why)
        run = self.runs.get(task)
        if run is not None and not run.stands:
            self._drop(run, why)

    def _drop(self, run: Run, why: str) -> None:
        self.record(self.name, f"{run.task:016x} dropped: {why}")
        del self.runs[run.task]
        if run.work is not None:
            run.work.cancel()

    async def _admit(self) -> None:
        while True:
            got, writer, attempt = await self._asks.get()
            await asyncio.sleep(ADMIT_S)
            if attempt.why:
                continue
            figures = dict(pair.split(":") for pair in got.text(FIGURES).split(";") if ":" in pair)
            cores, memory = self.demands.get(got.text(NAME), (0.0, 0.0)) if not figures else (
                float(figures["cores"]), float(figures["memory"]))
            free = self.entry()["room"]
            lacks = "nh" if got.task in self.runs else "nc" if cores > free[0] else "nm" if memory > free[1] else ""
            if lacks:
                self.record(self.name, f"refuses {got.task:016x}: {lacks}")
                attempt.end(self.record.now(), "refused")
                writer.write(message(RELEASE, got.task, {CAUSE: bytes((FULL,)), REMARK: lacks.encode()}))
                continue
            run = self.runs[got.task] = Run(got.task, writer, cores, memory)
            run.work = asyncio.create_task(self._run(run, got, attempt))

    demands: dict[str, tuple[float, float]] = {}  # of tasks, by name: what the platform knows of them

    async def _run(self, run: Run, got: Parsed, attempt: Attempt) -> None:
        await asyncio.sleep(self.start_s(got))
        run.stands = True
        self.record(self.name, f"runs {run.task:016x}, and answers")
        attempt.end(self.record.now(), "answered")
        self._send(run, self.answer(run.task, message(ANSWER, run.task, {DESCRIPTION: b"by " + self.name.encode()})))
        await asyncio.sleep(self.life_s(got))
        self.end(run.task, ENDED)

    def hold(self, task: int, cores: float, memory: float, life_s: float) -> None:
        """A task that another placer placed here before."""
        run = self.runs[task] = Run(task, None, cores, memory)  # type: ignore[arg-type]
        run.stands = True
        self.record(self.name, f"runs {task:016x}, placed through another placer")

        async def live() -> None:
            await asyncio.sleep(life_s)
            self.end(task, ENDED)

        run.work = asyncio.create_task(live())

    def end(self, task: int, cause: int) -> None:
        """The task is over: release it, on an open connection and on the next one that opens."""
        run = self.runs.pop(task)
        if run.work is not None and run.work is not asyncio.current_task():
            run.work.cancel()
        self.released[task] = cause, self.record.now()
        data = message(RELEASE, task, {CAUSE: bytes((cause,))})
        self.record(self.name, f"{task:016x} is over, release with cause {cause}")
        self._send(run, data)
        self._repeats.append(data)

    def _send(self, run: Run, data: bytes) -> None:
        writer = run.writer if run.writer in self.writers else next(iter(self.writers), None)
        if writer is not None:
            writer.write(data)


class Connection:
    """A connection to the placer, of an owner, the front or a bad client."""

    def __init__(self, site: Site, who: str) -> None:
        self.site, self.who = site, who
        self.is_usual = not who.startswith("bad client")  # a bad client reads what is sent to it, and says no more
        self.received: list[tuple[float, Parsed]] = []
        self.ended_at: float | None = None
        self.gone = asyncio.Event()

    async def open(self) -> Connection:
        self._reader, self.writer = await asyncio.open_connection("127.0.0.1", self.site.port)
        self.site.record(self.who, "connects")
        self._work = asyncio.create_task(self._read())
        return self

    async def _read(self) -> None:
        await read_messages(self._reader, self._on_message)
        if self.ended_at is None:
            self.ended_at = self.site.record.now()
            self.site.record(self.who, "its connection was ended by the placer")
        self.writer.close()
        self.gone.set()

    def _on_message(self, got: Parsed) -> None:
        self.received.append((self.site.record.now(), got))
        self.site.record(self.who, f"got {got}")
        if got.kind == RELEASE and self.is_usual:
            self.writer.write(message(RELEASE_HEARD, got.task, {}))

    def ask(self, task: int, cls: str, service: str, cores: float, memory: float, patience_ms: int,
            at: str | None = None, hint_ms: float | None = None, description: bytes | None = None) -> None:
        """Send a set-up."""
        name = f"{task ^ 0x5A5A5A5A5A5A5A5A:016x}"
        Machine.demands[name] = cores, memory
        figures = f"cores:{cores:g};memory:{memory:g};service:{service}" + (f";at:{at}" if at else "")
        values = {
            CLASS: cls.encode(), PATIENCE: b"%d" % patience_ms, NAME: name.encode(), FIGURES: figures.encode(),
            DESCRIPTION: description or b"by " + self.who.encode(),
        }
        if hint_ms is not None:
            values[HINT] = f"{hint_ms}".encode()
        self.site.record(self.who, f"asks {task:016x}, class {cls}, {figures}, waits {patience_ms} ms")
        self.site.asked[task] = self.site.record.now()
        self.writer.write(message(SET_UP, task, values))

    def close(self) -> None:
        if self.ended_at is None:
            self.ended_at = self.site.record.now()
            self.site.record(self.who, "closes its connection")
            self.writer.close()

    def of(self, task: int) -> list[tuple[float, Parsed]]:
        return [(at, got) for at, got in self.received if got.task == task]


class Site:
    """A small deployment with one placer as a process."""

    def __init__(self, folder: Path, settings: dict[str, Any], sockets: int = 256, memory_mb: int = 192) -> None:
        self.folder, self.settings, self.sockets, self.memory_mb = folder, settings, sockets, memory_mb
        self.record = Record(folder)
        self.journal = Journal(self.record)
        self.machines: list[Machine] = []
        self.connections: list[Connection] = []
        self.asked: dict[int, float] = {}
        self.process: subprocess.Popen[bytes] | None = None
        self._temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.port = 0

    def heard(self) -> list[tuple[float, Parsed]]:
        return [each for connection in self.connections for each in connection.received]

    async def machine(self, name: str, kind: str, cores: float, memory: float, cell: int = 1) -> Machine:
        made = Machine(self.record, name, kind, cores, memory, cell, "hall-a")
        await made.start()
        self.machines.append(made)
        return made

    async def connect(self, who: str) -> Connection:
        connection = Connection(self, who)
        self.connections.append(connection)
        return await connection.open()

    def write_configuration(self) -> Path:
        path = self._temporary / "config.json"
        path.write_text(json.dumps({
            "name": "n0", "listen": f"127.0.0.1:{self.port}", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "journal": f"127.0.0.1:{self.journal.port}", "known": self.journal.known(), "settings": self.settings,
        }))
        return path

    async def start_placer(self) -> None:
        """Start the placer as the deploy file says, and wait until it passes the front's test."""
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            command = tomllib.load(file)["run"]
        if not self.port:
            with socket.socket() as free:
                free.bind(("127.0.0.1", 0))
                self.port = free.getsockname()[1]
        path, temporary = self.write_configuration(), self._temporary / "tmp"
        temporary.mkdir(exist_ok=True)
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"), "TMPDIR": str(temporary), "PYTHONDONTWRITEBYTECODE": "1",
            "RELAY_NAME": "n0", "RELAY_LISTEN": f"127.0.0.1:{self.port}", "RELAY_CONFIG": str(path),
        }
        if os.environ.get("RELAY_TRACE"):
            environment["RELAY_TRACE"] = os.environ["RELAY_TRACE"]
        sockets = self.sockets
        self._log = (self._temporary / "log").open("ab")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=self._log,
            stderr=self._log, preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets)),
        )
        self.record("platform", "starts the placer")
        until = time.monotonic() + 20
        while time.monotonic() < until and self.process.poll() is None:
            try:
                front = await self.connect("front")
            except OSError:
                self.connections.pop()
                await asyncio.sleep(0.05)
                continue
            front.writer.write(message(TEST, 1 << 40, {CAUSE: b"\0"}))
            await asyncio.sleep(0.2)
            passed = any(got.kind == TESTED and got.cause == 1 for _, got in front.of(1 << 40))
            front.close()
            if passed:
                return
        raise Unable("the placer was not ready: " + self.log()[-500:])

    def waits(self) -> int:
        """How often the placer's process has waited for anything since its start, by the system's count."""
        assert self.process is not None
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("voluntary_ctxt_switches:"):
                return int(line.split()[1])
        raise Unable("the system does not tell how often a process has waited")

    def log(self) -> str:
        path = self._temporary / "log"
        return path.read_text(errors="replace") if path.exists() else ""

    def is_up(self) -> bool:
        return self.process is not None and self.process.poll() is None

    async def close_connections(self) -> None:
        """End the placer, and close what the stand-ins hold open, once the case has its verdict."""
        self.end_placer()
        for writer in [*(each.writer for each in self.connections), *self.journal.writers,
                       *(writer for machine in self.machines for writer in machine.writers)]:
            writer.close()
        await asyncio.sleep(0.1)

    def end_placer(self) -> None:
        """Kill the placer, which this script started."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            self.process.wait(10)

    def end(self) -> None:
        """End the placer, put its log into the record, and remove the temporary folder."""
        self.end_placer()
        for line in self.log().splitlines():
            self.record("log of the placer", line[:600])
        shutil.rmtree(self._temporary, ignore_errors=True)


def run_case(file: str, settings: dict[str, Any], play: Callable[[Site], Awaitable[tuple[int, str]]],
             sockets: int = 256, memory_mb: int = 192) -> None:
    """Play a case, write the verdict into the record, and exit with it."""
    site = Site(Path(file).resolve().parent, settings, sockets, memory_mb)
    status, why = UNABLE, "it did not end"

    async def whole() -> None:
        nonlocal status, why
        await site.journal.start()
        try:
            status, why = await asyncio.wait_for(play(site), 110)
        finally:
            await site.close_connections()

    try:
        asyncio.run(whole())
    except (Unable, TimeoutError, OSError) as error:
        status, why = UNABLE, f"could not run: {error}"
    finally:
        site.end()
    site.record("verdict", f"{('held', 'BROKEN', 'could not run')[status]}: {why}")
    print(f"{('held', 'broken', 'could not run')[status]}: {why}")
    sys.exit(status)
