"""The placer under test: one `Service` in a process of its own that tells its figures when asked.

    python -m benchmarks.capacity.placer [traced]

Reads its settings, KDL as one JSON string, from the first line of standard input. Says its port and its memory before
the service was made. Each further line, `MACHINES`, is answered with `Figures`; `trace` with `Traced`; `sample N`
starts the sampler, or with 0 stops it.

What the placer pays for news of its list is the processor time inside `Reflector._on_batch`, wrapped here: entries read
and guarded, the module's part, Nodes shown; not the reading and decoding of the bytes.

Bytes are counted in `Stream.receive`, `send` and `send_now`, wrapped here before the service is made; of all its
connections, the list's, the machines' and the clients'.
"""

from __future__ import annotations

import gc
import os
import sys
import time
import tracemalloc
from collections import Counter
from typing import Any

import msgspec

from benchmarks.capacity.processes import InputLines, raise_descriptor_limit, resident_mb, say
from benchmarks.capacity.profile import Sampler
from wingbarrow.config import load_text
from wingbarrow.core.logs import silent
from wingbarrow.core.reflector import Reflector
from wingbarrow.fronts.serve import Service
from wingbarrow.transport import Hub, Stream
from wingbarrow.transport.hub import READ

MEMORY_PARTS = ("attempts", "book", "module", "core", "connections", "objects shown")
_PART_BY_FILE = {
    "core/attempts": "attempts",
    "core/attempt_table": "attempts",
    "core/job_store": "book",
}
_PART_BY_PACKAGE = {
    "core": "core",
    "http": "connections",
    "transport": "connections",
    "kube": "objects shown",
}
LOOK_US = 5_000  # whether the list is in is looked at so often


class Begun(msgspec.Struct, frozen=True):
    """What a placer says first: its port, its bare memory and the processor time used so far."""

    port: int
    bare_mb: float
    processor_s: float
    descriptor_limit: int


class Figures(msgspec.Struct, frozen=True):
    """Where a placer stands; `samples` since the last answer, all else since its start."""

    at_s: float  # a monotonic clock
    processor_s: float
    module_s: float  # spent in `Scheduler.handle`
    list_processor_s: float  # used when the list was in; 0 before
    sees: bool  # it has its list, and every machine has told what it runs
    received: int  # bytes
    sent: int
    list_version: int  # of the list as held
    list_news: int  # entries of the list that came as news
    list_news_s: float  # processor time to take them in
    tasks_open: int
    placed: int
    samples: dict[str, int]


class Traced(msgspec.Struct, frozen=True):
    """Bytes that are allocated now, by the part of the program whose line asked for them."""

    bytes_by_part: dict[str, int]


def memory_part(path: str) -> str:
    """The part of the program that a source file belongs to: one of `MEMORY_PARTS`, or "other"."""
    name = path.rpartition("/wingbarrow/")[2].removesuffix(".py")
    if name.startswith(("scheduler", "placement", "machine_state")):
        return "module"
    return _PART_BY_FILE.get(name) or _PART_BY_PACKAGE.get(name.partition("/")[0], "other")


def trace() -> Traced:
    """Where memory lies; empty unless allocations are traced."""
    if not tracemalloc.is_tracing():
        return Traced({})
    gc.collect()
    sums: Counter[str] = Counter()
    for each in tracemalloc.take_snapshot().statistics("filename"):
        sums[memory_part(each.traceback[0].filename)] += each.size
    return Traced(dict(sums))


class ByteCount:
    """Bytes that crossed this process's streams."""

    def __init__(self) -> None:
        self.received = self.sent = 0

    def start(self) -> None:
        """Count from now on, by wrapping the stream's methods."""
        total, receive, send, send_now = self, Stream.receive, Stream.send, Stream.send_now

        def counted_receive(self: Stream, max_bytes: int = 65536) -> bytes:
            data = receive(self, max_bytes)
            total.received += len(data)
            return data

        def counted_send(self: Stream, data: bytes | memoryview[int]) -> None:
            total.sent += len(data)
            send(self, data)

        def counted_send_now(self: Stream, data: bytes) -> int:
            count = send_now(self, data)
            total.sent += count
            return count

        Stream.receive = counted_receive  # type: ignore[method-assign]
        Stream.send = counted_send  # type: ignore[method-assign]
        Stream.send_now = counted_send_now  # type: ignore[method-assign]


class NewsCount:
    """News of the list that were taken in, and the processor time for it."""

    def __init__(self) -> None:
        self.entries = 0
        self.seconds = 0.0

    def start(self) -> None:
        """Count from now on, by wrapping the reflector's method, which does not wait for anything."""
        total, take_in = self, Reflector._on_batch

        def counted_batch(self: Reflector, batch: list[tuple[str, dict[str, Any]]]) -> None:
            begun_s = time.process_time()
            take_in(self, batch)
            total.seconds += time.process_time() - begun_s
            total.entries += sum(kind != "BOOKMARK" for kind, _ in batch)

        Reflector._on_batch = counted_batch  # type: ignore[method-assign]


class Reporter:
    """Answers what the measurement asks of a running service."""

    def __init__(
        self, hub: Hub, service: Service, count: ByteCount, news: NewsCount, sampler: Sampler
    ) -> None:
        self._hub, self._service, self._count, self._news, self._sampler = (
            hub,
            service,
            count,
            news,
            sampler,
        )
        self._list_processor_s = 0.0

    def note_list(self) -> None:
        """Note the processor time at which the list was in."""
        while not self._service.placer.ready:
            self._hub.sleep(LOOK_US)
        self._list_processor_s = time.process_time()

    def run(self, lines: InputLines) -> None:
        """Answer each line; the process ends with its input."""
        while True:
            self._hub.wait(0, READ)
            asked = lines.read()
            if asked is None:
                os._exit(0)
            for line in asked:
                self._answer(line)

    def _answer(self, line: str) -> None:
        command, _, number = line.partition(" ")
        if command == "trace":
            say(trace())
        elif command == "sample":
            (self._sampler.start if int(number) else self._sampler.stop)()
            say(int(number))
        else:
            say(self._figures(int(command)))

    def _figures(self, machines: int) -> Figures:
        placer = self._service.placer
        return Figures(
            time.monotonic(),
            time.process_time(),
            placer.host.module_ns / 1e9,
            self._list_processor_s,
            placer.ready and placer.has_complete_view(machines),
            self._count.received,
            self._count.sent,
            placer.fleet.reflector.version,
            self._news.entries,
            self._news.seconds,
            placer.job_store.admission.open_tasks,
            placer.context.counts["placed"],
            self._sampler.take(),
        )


def main() -> None:
    """Serve with the settings of the first line."""
    limit, lines = raise_descriptor_limit(), InputLines()
    settings = load_text(msgspec.json.decode(lines.first(), type=str))
    if "traced" in sys.argv[1:]:
        tracemalloc.start()
    hub, count, news, sampler = Hub(), ByteCount(), NewsCount(), Sampler()
    count.start()
    news.start()
    bare_mb, begun_s = resident_mb(os.getpid()), time.process_time()

    def serve() -> None:
        service = Service(hub, settings, silent)
        reporter = Reporter(hub, service, count, news, sampler)
        hub.spawn(reporter.note_list, "notes the list")
        hub.spawn(lambda: reporter.run(lines), "reports")
        say(Begun(service.rest.port, bare_mb, begun_s, limit))
        service.run()

    hub.run(serve)


if __name__ == "__main__":
    main()
