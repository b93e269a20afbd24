"""Processes of the program, started, stopped, killed and awaited by the hub; each with its log in a file."""

from __future__ import annotations

import fcntl
import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

from wingbarrow.transport import Hub
from wingbarrow.transport.hub import READ

SECOND = 1_000_000
PROGRAM = (sys.executable, "-m", "wingbarrow")


class NotStarted(Exception):
    """A process ended, or said nothing, before it was ready."""


class Process:
    """One run of the program; `told` holds what it said on standard output, a JSON object a line.

    `checkout` is another tree whose program runs in place of this one's, with all that it starts itself.
    """

    def __init__(
        self, hub: Hub, arguments: list[str], log: Path | None, checkout: Path | None = None
    ) -> None:
        self._hub = hub
        error: Any = log.open("ab") if log is not None else subprocess.DEVNULL
        try:
            self._process = subprocess.Popen(
                [*PROGRAM, *arguments],
                stdout=subprocess.PIPE,
                stderr=error,
                stdin=subprocess.DEVNULL,
                cwd=checkout,
                env=os.environ | ({"PYTHONPATH": str(checkout)} if checkout is not None else {}),
            )
        finally:
            if log is not None:
                error.close()
        assert self._process.stdout is not None
        self._fd = self._process.stdout.fileno()
        fcntl.fcntl(self._fd, fcntl.F_SETFL, fcntl.fcntl(self._fd, fcntl.F_GETFL) | os.O_NONBLOCK)
        self._rest = b""
        self.told: list[dict[str, Any]] = []

    @property
    def pid(self) -> int:
        """Its id."""
        return self._process.pid

    @property
    def ended(self) -> int | None:
        """Its exit status, negative for a signal; None while it runs."""
        return self._process.poll()

    def line(self, kind: str, within_us: int) -> dict[str, Any]:
        """Wait for a line of a kind; NotStarted where none comes."""
        with self._hub.limit(within_us):
            while True:
                found = next((each for each in self.told if each.get("kind") == kind), None)
                if found is not None:
                    return found
                self._read()
        raise NotStarted(f"{kind}: not heard of within {within_us / SECOND:g} s")

    def _read(self) -> None:
        try:
            data = os.read(self._fd, 65536)
        except BlockingIOError:
            self._hub.wait(self._fd, READ)
            return
        if not data:
            raise NotStarted(f"ended with status {self._process.wait()}")
        *lines, self._rest = (self._rest + data).split(b"\n")
        self.told += [json.loads(line) for line in lines if line.startswith(b"{")]

    def send(self, number: int) -> None:
        """Send it a signal, unless it has ended."""
        if self._process.poll() is None:
            self._process.send_signal(number)

    def end(self, number: int = signal.SIGTERM, within_us: int = 20 * SECOND) -> int:
        """End it and wait; killed where it does not end in its time. Its exit status."""
        self.send(signal.SIGCONT)
        self.send(number)
        end = self._hub.now_us() + within_us
        while self._process.poll() is None:
            if self._hub.now_us() >= end:
                self._process.kill()
            self._hub.sleep(10_000)
        self._hub.forget(self._fd)
        if self._process.stdout is not None:
            self._process.stdout.close()
        return self._process.returncode

    def use_s(self) -> float:
        """Processor seconds so far; 0 once it has ended."""
        try:
            fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        except OSError:
            return 0.0
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def waited_us(self) -> int:
        """For how long it was ready to run and got no processor, so far; 0 where the system does not tell."""
        try:
            return int(Path(f"/proc/{self.pid}/schedstat").read_text().split()[1]) // 1000
        except (OSError, ValueError, IndexError):
            return 0
