"""Processes of a measurement: started as modules of this package, asked over pipes, ended by their ids.

Each child reads lines on its standard input and answers each with one line of JSON on its standard output. It ends when
its standard input ends, so none is left where the measurement itself is killed.
"""

from __future__ import annotations

import os
import resource
import select
import subprocess
import sys
import time
from pathlib import Path
from typing import TypeVar

import msgspec

ROOT = Path(__file__).resolve().parents[2]
END_S = 5.0  # a child that has not ended by itself after so long is killed
_READ_BYTES = 65536
T = TypeVar("T")


class MeasureFailed(Exception):
    """A measurement could not be taken; the text says why."""


class Child:
    """One process that runs `python -m MODULE ARGUMENTS`."""

    def __init__(self, module: str, *arguments: str) -> None:
        self.name = " ".join([module.rpartition(".")[2], *arguments])
        paths = [str(ROOT), *filter(None, [os.environ.get("PYTHONPATH")])]
        self._process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            env={**os.environ, "PYTHONPATH": os.pathsep.join(paths)},
        )
        self._unread = b""

    @property
    def pid(self) -> int:
        """The process's id."""
        return self._process.pid

    @property
    def running(self) -> bool:
        """Whether it has not ended."""
        return self._process.poll() is None

    def ask(self, line: str, kind: type[T], within_s: float = 30.0) -> T:
        """Send a line and read the answer to it; MeasureFailed where none has come in time."""
        assert self._process.stdin is not None
        try:
            self._process.stdin.write(line.encode() + b"\n")
            self._process.stdin.flush()
        except OSError as error:
            raise MeasureFailed(f"{self.name}: cannot be asked {line!r}: {error}") from None
        return self.read(kind, within_s)

    def read(self, kind: type[T], within_s: float) -> T:
        """The next line that the child says; MeasureFailed where none has come in time."""
        assert self._process.stdout is not None
        pipe, until = self._process.stdout.fileno(), time.monotonic() + within_s
        while b"\n" not in self._unread:
            left_s = until - time.monotonic()
            if left_s <= 0 or not select.select([pipe], [], [], left_s)[0]:
                raise MeasureFailed(f"{self.name}: no answer within {within_s:g} s")
            part = os.read(pipe, _READ_BYTES)
            if not part:
                raise MeasureFailed(
                    f"{self.name}: ended without an answer, status {self._process.wait()}"
                )
            self._unread += part
        line, _, self._unread = self._unread.partition(b"\n")
        try:
            return msgspec.json.decode(line, type=kind)
        except msgspec.MsgspecError as error:
            raise MeasureFailed(f"{self.name}: an unreadable answer: {error}") from None

    def end(self) -> None:
        """End the process, whatever state it is in."""
        assert self._process.stdin is not None
        assert self._process.stdout is not None
        try:
            self._process.stdin.close()
        except OSError:
            pass
        try:
            self._process.wait(END_S)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()
        self._process.stdout.close()

    def __enter__(self) -> Child:
        return self

    def __exit__(self, *_: object) -> None:
        self.end()


class InputLines:
    """A child's side of the pipe: whole lines of standard input, as they come."""

    def __init__(self) -> None:
        self._unread = b""

    def read(self) -> list[str] | None:
        """The lines that are there, after a wait for input; None at the end of the input."""
        part = os.read(0, _READ_BYTES)
        if not part:
            return None
        *lines, self._unread = (self._unread + part).split(b"\n")
        return [line.decode() for line in lines]

    def first(self) -> str:
        """The first line; the process ends where there is none. To be called before any `read`."""
        lines: list[str] | None = []
        while not lines:
            lines = self.read()
            if lines is None:
                os._exit(0)
        return lines[0]


def say(value: object) -> None:
    """A child's answer: one line of JSON on standard output."""
    sys.stdout.buffer.write(msgspec.json.encode(value) + b"\n")
    sys.stdout.buffer.flush()


def raise_descriptor_limit() -> int:
    """Raise this process's soft limit of open descriptors to the hard one; the limit."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    return hard


def resident_mb(pid: int) -> float:
    """VmRSS of a process, in MB of 10^6 bytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024 / 1e6
    raise MeasureFailed(f"process {pid}: no VmRSS")


def descriptors(pid: int) -> int:
    """How many descriptors a process has open."""
    return len(os.listdir(f"/proc/{pid}/fd"))
