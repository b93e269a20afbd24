"""A fake machine whose process can hang and go on: its system accepts connections, and it reads and sends nothing."""

from __future__ import annotations

from contextlib import suppress
from typing import Any

from tests.relay.stage import MS, Machine, ReceivedMessage, release_message
from wingbarrow.relay.message import Cause, Framer, Kind, Message
from wingbarrow.transport import PeerGone, Signal, Stream

# What a process does first when it goes on depends on how it is written.
RESUME_ORDERS = ["report read accept", "read report accept", "read accept report"]


class HangingMachine(Machine):
    """Reports ends of tasks as the protocol says, and can hang and go on.

    A release is sent on the connection of its set-up, else on any open one, and on the next one that opens. Nothing is
    sent on a connection whose end was read. After a hang it reports tasks that have ended, reads its connections, and
    accepts new ones, in the order that `resume_order` gives.
    """

    def __init__(self, *args: Any, resume_order: str = RESUME_ORDERS[0]) -> None:
        super().__init__(*args)
        self.hung = False
        self.running: dict[int, Stream] = {}  # the connection of its set-up, by task
        self.released: dict[
            int, int
        ] = {}  # when the release of each task that came to its end was sent
        self._resume_order = resume_order
        self._may_read, self._may_accept = Signal(self.hub), Signal(self.hub)
        self._open: list[Stream] = []
        self._ended_in_hang: list[int] = []
        self._repeats: list[bytes] = []

    def _serve(self, stream: Stream) -> None:
        self.streams.append(stream)
        if self.hung:
            self._may_accept.wait()
        self._open.append(stream)
        repeats, self._repeats = self._repeats, []
        try:
            for data in repeats:
                stream.send_now(data)
            self._read(stream, Framer())
        except PeerGone:
            pass
        finally:
            self._open.remove(stream)

    def _read(self, stream: Stream, framer: Framer) -> None:
        while True:
            data = stream.receive()
            if self.hung:
                self._may_read.wait()
            if not data:
                return
            framer.feed(data)
            while (message := framer.next()) is not None:
                self._on_message(stream, message)

    def _on_message(self, stream: Stream, message: Message) -> None:
        self.received.append(ReceivedMessage(self.hub.now_us(), message))
        if message.kind == Kind.SET_UP:
            self.running[message.task] = stream
            self.on_set_up(stream, message)
        elif message.kind == Kind.RELEASE and message.task in self.running:
            self._release(message.task, Cause.CANCELLED)

    def end(self, task: int) -> None:
        """End a task; while the machine hangs, its release waits until it goes on."""
        if self.hung:
            self._ended_in_hang.append(task)
        elif task in self.running:
            self.released[task] = self.hub.now_us()
            self._release(task, Cause.OVER)

    def _release(self, task: int, cause: int) -> None:
        stream = self.running.pop(task)
        if stream not in self._open and self._open:
            stream = self._open[0]
        if stream in self._open:
            with suppress(PeerGone):
                stream.send_now(release_message(task, cause))
        self._repeats.append(release_message(task, cause))

    def go_on(self) -> None:
        """End the hang."""
        self.hung = False
        for step in self._resume_order.split():
            if step == "report":
                ended, self._ended_in_hang = self._ended_in_hang, []
                for task in ended:
                    self.end(task)
            else:
                (self._may_read if step == "read" else self._may_accept).notify()
                self.hub.sleep(MS)
