"""`run` as a process of its own: a full descriptor table, a flood of set-ups, and a discovery outage."""

from __future__ import annotations

import json
import os
import resource
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest

from tests.relay.stage import MS, SETTINGS, Client, Journal, Machine, S
from wingbarrow.relay.message import Cause, Code, Kind, encode, with_cause
from wingbarrow.transport import Hub, PeerGone

ROOT = Path(__file__).parents[2]
SOCKETS = 128
CONDITION_TIMEOUT_S = 30.0  # generous, as the machine may be busy


@contextmanager
def reserved() -> Iterator[int]:
    """A port chosen by the system, which refuses connections until someone listens there.

    It stays bound, as a freed port may become the local port of any outgoing connection.
    """
    with socket.socket() as held:
        # Others that set SO_REUSEADDR can bind the port too, and listen.
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        held.bind(("127.0.0.1", 0))
        yield int(held.getsockname()[1])


class Site:
    """Stand-ins on a hub of this process, and one placer as a process of its own."""

    def __init__(self, hub: Hub, folder: Path, machines: int = 2, absent: int = 0) -> None:
        self.hub, self.folder = hub, folder
        self.journal = Journal(hub)
        self.machines = [Machine(hub, f"s-{i:08x}") for i in range(machines)]
        entries = [machine.entry() for machine in self.machines]
        # Listed but unreachable machines: nothing listens at port 1.
        entries += [
            {
                **entries[0],
                "instanceId": f"far-{i}",
                "hostPort": f"127.0.1.{i % 250 + 1}:1",
                "room": [0.0, 0.0],
            }
            for i in range(absent)
        ]
        self.journal.add(*entries, reset=True)
        self.port = 0

    def write(self, journal_port: int) -> Path:
        """Write the configuration, replacing the file atomically."""
        path = self.folder / "config.json"
        path.with_suffix(".new").write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": f"127.0.0.1:{self.port}",
                    "seed": "8c1f",
                    "known": self.journal.known(),
                    "limits": {"cores": 0.2, "memory_mb": 96, "sockets": SOCKETS},
                    "journal": f"127.0.0.1:{journal_port}",
                    "settings": SETTINGS,
                }
            )
        )
        path.with_suffix(".new").rename(path)
        return path

    @contextmanager
    def run(self, journal_port: int | None = None) -> Iterator[subprocess.Popen[bytes]]:
        """Run the process, limited to the number of descriptors in its configuration."""
        with reserved() as self.port, (self.folder / "log").open("wb") as log:
            path = self.write(journal_port or self.journal.server.port)
            process = subprocess.Popen(
                [sys.executable, "-m", "wingbarrow.relay"],
                cwd=ROOT,
                stderr=log,
                env={
                    **os.environ,
                    "RELAY_NAME": "n0",
                    "RELAY_LISTEN": f"127.0.0.1:{self.port}",
                    "RELAY_CONFIG": str(path),
                },
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS)),
            )
            try:
                yield process
            finally:
                process.kill()
                process.wait(10)

    def until(self, holds: Callable[[], Any], what: str) -> None:
        """Wait for a condition, in real time."""
        end = time.monotonic() + CONDITION_TIMEOUT_S
        while not holds():
            assert time.monotonic() < end, (
                f"{what}; log: {(self.folder / 'log').read_text()[-3000:]}"
            )
            self.hub.sleep(5 * MS)

    def client(self) -> Client:
        """Connect as an owner, as soon as the placer listens."""
        found: list[Client] = []

        def try_connect() -> bool:
            try:
                found.append(Client(self.hub, self.port))
            except PeerGone:
                return False
            return True

        self.until(try_connect, "the placer does not listen")
        return found[0]


def play(call: Callable[[Hub], None]) -> None:
    hub = Hub()
    hub.run(lambda: call(hub))


def cpu_s(pid: int) -> float:
    """CPU seconds used by a process so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class Fill:
    """Set-ups of an owner, each for a service of its own; one rejected as busy is retried after its retry delay.

    They are sent in one burst, part of which a placer sheds when its event loop lags on a busy machine.
    """

    def __init__(self, owner: Client, count: int) -> None:
        self.owner = owner
        self._next = 2_000
        self._retries: dict[int, int] = {}  # retry time of each rejected set-up
        self._read = 0
        for _ in range(count):
            self._send()

    def _send(self) -> None:
        task, self._next = self._next, self._next + 1
        self.owner.ask(
            task,
            name=f"{task:016x}",
            figures=f"cores:10;memory:20;service:s{task}",
            patience_ms=20_000,
        )

    def retry_rejected(self) -> None:
        """Resend the rejected set-ups whose retry delay is over."""
        for each in self.owner.received[self._read :]:
            message = each.message
            if message.kind == Kind.RELEASE and message.cause == Cause.BUSY:
                stay_away_us = int(message.values.get(Code.STAY_AWAY, b"0")) * MS
                self._retries[message.task] = each.at_us + stay_away_us
        self._read = len(self.owner.received)
        due = [task for task, at_us in self._retries.items() if at_us <= self.owner.hub.now_us()]
        for task in due:
            del self._retries[task]
            self._send()


def test_the_first_poll_after_a_discovery_outage_succeeds_with_a_nearly_full_descriptor_table(
    tmp_path: Path,
) -> None:
    def call(hub: Hub) -> None:
        site = Site(hub, tmp_path, machines=SOCKETS)
        with reserved() as away, site.run(away) as process:
            owner = site.client()
            idle = [
                site.client() for _ in range(SOCKETS // 3)
            ]  # fills the owners' share of descriptors
            for each in idle:
                each.stream.send(with_cause(Kind.TEST, 1 << 40, 0))
            owner.ask(1000, name=f"{1000:016x}")
            site.until(
                lambda: owner.kinds(1000) == [Kind.ANSWER],
                "the first task is not placed, so its owner is not proven",
            )
            fill = Fill(owner, 2 * SOCKETS - 1)  # each machine gets one, and a connection with it

            def are_most_machines_reached() -> bool:
                fill.retry_rejected()
                return sum(bool(each.set_ups()) for each in site.machines) >= SOCKETS * 3 // 4

            site.until(
                are_most_machines_reached, "fewer than three quarters of the machines got a task"
            )
            held = len(list(Path(f"/proc/{process.pid}/fd").iterdir()))
            assert held >= SOCKETS * 5 // 8, f"{held} descriptors: the table is not nearly full"
            drained = site.machines[0]
            site.journal.add(drained.entry("Terminating"))
            # The service returns, at the address that was polled all along.
            again = Journal(hub, away)
            again.events = site.journal.events
            began = hub.now_us()
            site.until(lambda: again.calls, "the list was not polled")
            assert hub.now_us() - began < 2 * S
            site.until(lambda: len(again.calls) > 1, "no second poll followed the first answer")
            assert f"tail={len(again.events)}" in again.calls[-1][1]
            assert process.poll() is None
            assert b"EMFILE" not in (tmp_path / "log").read_bytes()

    play(call)


@pytest.mark.parametrize("flood", [False, True])
def test_a_start_uses_less_than_one_cpu_second_until_ready(flood: bool, tmp_path: Path) -> None:
    """Nine in ten restarted placers must be ready within 10 s, which at a tenth of a core is 1 s of CPU time.

    Here 400 machines are listed, discovery is down, and in one case set-ups flood the placer.
    """

    def call(hub: Hub) -> None:
        site = Site(hub, tmp_path, machines=2, absent=398)
        with reserved() as away, site.run(away) as process:
            ready: list[bool] = []

            def send_flood() -> None:
                client = site.client()
                try:
                    for task in range(1, 2000):
                        client.stream.send(encode(Kind.SET_UP, task, {}))
                        if task % 50 == 0:
                            hub.sleep(MS)
                except PeerGone:
                    pass

            for _ in range(8 if flood else 0):
                hub.spawn(send_flood, "flood")
            tester = site.client()

            def passed() -> bool:
                ready.append(tester.test() == 1)
                return ready[-1]

            site.until(passed, "no test passes")
            used = cpu_s(process.pid)
            print(f"{used:.2f} s of CPU time until ready")
            assert used < 1.0

    play(call)


def test_sigterm_ends_the_process_once_and_sighup_never_does(tmp_path: Path) -> None:
    def call(hub: Hub) -> None:
        site = Site(hub, tmp_path)
        with site.run() as process:
            owner = site.client()
            site.until(lambda: owner.test() == 1, "the placer is not ready")
            owner.ask(1, name="1" * 16)
            for number in (
                signal.SIGHUP,
                signal.SIGHUP,
                signal.SIGTERM,
                signal.SIGHUP,
                signal.SIGTERM,
            ):
                process.send_signal(number)
            owner.ask(2, name="2" * 16)
            site.until(
                lambda: owner.kinds(1) and owner.kinds(2), "the first two set-ups are not answered"
            )
            assert owner.kinds(1) == owner.kinds(2) == [Kind.ANSWER]
            late = site.client()
            late.ask(3, name="3" * 16)
            site.until(lambda: late.kinds(3), "the late set-up is not answered")
            assert late.kinds(3) == [Kind.ANSWER]
            site.until(lambda: process.poll() is not None, "the process does not end")
            assert process.returncode == 0

    play(call)
