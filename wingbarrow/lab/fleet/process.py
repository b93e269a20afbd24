"""Child processes that run this program: started, signalled and awaited on the hub, each with a log file."""

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
    """A process exited, or did not print the expected message in time, before it was ready."""


class Process:
    """One child process that runs the program; `messages` holds the JSON objects read from its standard output.

    Each object is one line of output. With `checkout`, the process and its own children run the program of that
    other source tree. Standard error is appended to the file `log`, or discarded without one.
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
        self._partial_line = b""
        self.messages: list[dict[str, Any]] = []

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    @property
    def exit_status(self) -> int | None:
        """The exit status, negative for a signal; None while the process runs."""
        return self._process.poll()

    def wait_for_message(self, kind: str, within_us: int) -> dict[str, Any]:
        """Return the first message of a kind; raises NotStarted if the process exits or the time runs out first."""
        with self._hub.limit(within_us):
            while True:
                found = next((each for each in self.messages if each.get("kind") == kind), None)
                if found is not None:
                    return found
                self._read()
        raise NotStarted(f"process printed no {kind!r} message within {within_us / SECOND:g} s")

    def _read(self) -> None:
        try:
            data = os.read(self._fd, 65536)
        except BlockingIOError:
            self._hub.wait(self._fd, READ)
            return
        if not data:
            raise NotStarted(
                f"process exited with status {self._process.wait()} before it was ready"
            )
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        self.messages += [json.loads(line) for line in lines if line.startswith(b"{")]

    def send_signal(self, number: int) -> None:
        """Send a signal to the process; does nothing once it has exited."""
        if self._process.poll() is None:
            self._process.send_signal(number)

    def terminate(self, number: int = signal.SIGTERM, within_us: int = 20 * SECOND) -> int:
        """Send a signal, wait for the exit and return the exit status; kills the process after `within_us`.

        The process is continued first, as a stopped one would not act on the signal.
        """
        self.send_signal(signal.SIGCONT)
        self.send_signal(number)
        deadline_us = self._hub.now_us() + within_us
        while self._process.poll() is None:
            if self._hub.now_us() >= deadline_us:
                self._process.kill()
            self._hub.sleep(10_000)
        self._hub.forget(self._fd)
        if self._process.stdout is not None:
            self._process.stdout.close()
        return self._process.returncode

    def cpu_seconds(self) -> float:
        """CPU time used so far, user and system, in seconds; 0 once the process has exited."""
        try:
            fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        except OSError:
            return 0.0
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def run_queue_wait_us(self) -> int:
        """Time so far in which the process was runnable without a CPU; 0 where the system does not report it."""
        try:
            return int(Path(f"/proc/{self.pid}/schedstat").read_text().split()[1]) // 1000
        except (OSError, ValueError, IndexError):
            return 0
