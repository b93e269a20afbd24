"""A stand-in machine for random plays, by the protocol, with faults that are drawn for each set-up.

It keeps the life of every attempt: out from when its set-up was read until its end is written, or it is given up.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

from tests.relay.stage import MACHINE_DESCRIPTION, MS, Machine, ReceivedMessage
from wingbarrow.relay.message import Cause, Code, Framer, Kind, Message, encode, with_cause
from wingbarrow.transport import Hub, PeerGone, Stream

ADMISSION_MS = 20


class Fault(Enum):
    """What goes wrong with one set-up."""

    NONE = "none"
    FULL = "refused"
    ERROR = "error"
    RESET_BEFORE = "its connection is reset before it starts"
    RESET_AFTER = "its connection is reset as it stands, without an answer"
    SPOILT = "its answer is noise"
    LOST = "its answer is never sent"
    DOUBLED = "its answer is sent twice"


ENDS_WITHOUT_ANSWER = (Fault.RESET_AFTER, Fault.SPOILT, Fault.LOST)


@dataclass(eq=False)
class PlayedAttempt:
    """One set-up at one machine."""

    task: int
    machine: str
    stream: Stream | None  # None for one through an earlier placer
    came_us: int
    over_us: int | None = None
    why: str = ""
    fault: Fault = Fault.NONE

    def end(self, now_us: int, why: str) -> None:
        """Its end was written, or it was given up."""
        if self.over_us is None:
            self.over_us, self.why = now_us, why


@dataclass(eq=False)
class Run:
    """A task that is started, or stands."""

    attempt: PlayedAttempt
    stands: bool = False


@dataclass
class Ended:
    """When a task that stood was released, why, and whether its answer was sent whole."""

    at_us: int
    cause: int
    was_answered: bool


class PlayMachine(Machine):
    """Admits, starts, answers and releases tasks; releases are repeated on the next connection that opens."""

    def __init__(self, hub: Hub, name: str, random: Random, fault_share: float) -> None:
        super().__init__(hub, name)
        self.random, self.fault_share = random, fault_share
        self.lives_ms = random.choice(((100, 300), (100, 300, 1500, 5000)))
        self.attempts: list[PlayedAttempt] = []
        self.runs: dict[int, Run] = {}
        self.stood: dict[int, int] = {}  # how often each task came to stand
        self.ended: dict[int, Ended] = {}
        self._open: list[Stream] = []
        self._repeats: list[bytes] = []

    def _serve(self, stream: Stream) -> None:
        self._open.append(stream)
        repeats, self._repeats = self._repeats, []
        framer = Framer()
        try:
            for data in repeats:
                stream.send(data)
            while data := stream.receive():
                framer.feed(data)
                while (message := framer.next()) is not None:
                    self._on_message(stream, message)
        except PeerGone:
            pass
        finally:
            self._open.remove(stream)
            stream.close()
            for attempt in self.attempts:
                if attempt.stream is stream:
                    self._give_up(attempt.task, "closed")

    def _on_message(self, stream: Stream, message: Message) -> None:
        self.received.append(ReceivedMessage(self.hub.now_us(), message))
        if message.kind == Kind.SET_UP:
            attempt = PlayedAttempt(message.task, self.name, stream, self.hub.now_us())
            attempt.fault = self._draw_fault()
            self.attempts.append(attempt)
            self.hub.spawn(lambda: self._process(attempt), f"{self.name} processes")
        elif message.kind == Kind.RELEASE:
            run = self.runs.get(message.task)
            self._give_up(message.task, "given up")
            if run is not None and run.stands:
                self.release(message.task, Cause.CANCELLED)

    def _draw_fault(self) -> Fault:
        if self.random.random() >= self.fault_share:
            return Fault.NONE
        return self.random.choice(list(Fault))

    def _give_up(self, task: int, why: str) -> None:
        """Drop what is not standing yet."""
        for attempt in self.attempts:
            if attempt.task == task:
                attempt.end(self.hub.now_us(), why)
        run = self.runs.get(task)
        if run is not None and not run.stands:
            del self.runs[task]

    def _process(self, attempt: PlayedAttempt) -> None:
        self.hub.sleep(ADMISSION_MS * MS)
        if attempt.over_us is not None:
            return
        if attempt.task in self.runs:
            self._refuse(attempt, Cause.FULL, b"nh")
        elif attempt.fault is Fault.FULL:
            self._refuse(attempt, Cause.FULL, b"nc")
        elif attempt.fault is Fault.ERROR:
            self._refuse(attempt, Cause.ERROR, b"")
        elif attempt.fault is Fault.RESET_BEFORE:
            attempt.end(self.hub.now_us(), "reset")
            self._reset(attempt)
        else:
            self._start(attempt)

    def _refuse(self, attempt: PlayedAttempt, cause: Cause, remark: bytes) -> None:
        attempt.end(self.hub.now_us(), "refused")
        values = {int(Code.REMARK): remark} if remark else None
        self._send(attempt.stream, with_cause(Kind.RELEASE, attempt.task, cause, values))

    def _start(self, attempt: PlayedAttempt) -> None:
        run = self.runs[attempt.task] = Run(attempt)
        self.hub.sleep(self.random.choice((50, 150, 400, 1500)) * MS)
        if self.runs.get(attempt.task) is not run:
            return
        run.stands = True
        self.stood[attempt.task] = self.stood.get(attempt.task, 0) + 1
        attempt.end(self.hub.now_us(), "answered")
        self._answer(attempt)
        self.hub.sleep(self.random.choice(self.lives_ms) * MS)
        if self.runs.get(attempt.task) is run:
            self.release(attempt.task, Cause.OVER)

    def _answer(self, attempt: PlayedAttempt) -> None:
        answer = encode(Kind.ANSWER, attempt.task, {Code.DESCRIPTION: MACHINE_DESCRIPTION})
        if attempt.fault is Fault.RESET_AFTER:
            self._reset(attempt)
        elif attempt.fault is Fault.SPOILT:
            self._send(attempt.stream, b"\0\5noise")
        elif attempt.fault is not Fault.LOST:
            self._send(attempt.stream, answer * (2 if attempt.fault is Fault.DOUBLED else 1))

    def hold(self, task: int, life_ms: int) -> None:
        """A task that stood before the placer's start."""
        attempt = PlayedAttempt(task, self.name, None, 0, 0)
        self.runs[task] = Run(attempt, stands=True)
        self.stood[task] = 1
        self.hub.spawn(lambda: self._end_held(task, life_ms), "held")

    def _end_held(self, task: int, life_ms: int) -> None:
        self.hub.sleep(life_ms * MS)
        if task in self.runs:
            self.release(task, Cause.OVER)

    def release(self, task: int, cause: Cause) -> None:
        """A task that stood is over."""
        run = self.runs.pop(task)
        was_answered = run.attempt.fault not in ENDS_WITHOUT_ANSWER
        self.ended[task] = Ended(self.hub.now_us(), cause, was_answered)
        data = with_cause(Kind.RELEASE, task, cause)
        stream = run.attempt.stream
        self._send(stream if stream in self._open else next(iter(self._open), None), data)
        self._repeats.append(data)

    def _reset(self, attempt: PlayedAttempt) -> None:
        if attempt.stream is not None:
            attempt.stream.abort()

    def _send(self, stream: Stream | None, data: bytes) -> None:
        if stream is None:
            return
        try:
            stream.send(data)
        except PeerGone:
            pass


__all__ = ["ENDS_WITHOUT_ANSWER", "Ended", "Fault", "PlayMachine", "PlayedAttempt", "Run"]
