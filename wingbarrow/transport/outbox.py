"""Writing without waiting: bytes leave a stream in order, what does not fit at once follows, up to a bound."""

from __future__ import annotations

from wingbarrow.transport.hub import Hub
from wingbarrow.transport.net import PeerGone, Stream


class Outbox:
    """One stream's way out; `write` may be called from the hub's timers, as it never blocks.

    A peer that reads so slowly that more than `most` bytes wait is cut off.
    """

    __slots__ = ("_hub", "_max_bytes", "_stream", "_unsent", "overrun")

    def __init__(self, hub: Hub, stream: Stream, max_bytes: int) -> None:
        self._hub = hub
        self._stream = stream
        self._max_bytes = max_bytes
        self._unsent = bytearray()
        self.overrun = False  # whether it was cut off for reading too slowly

    @property
    def waiting(self) -> int:
        """Bytes that have not left yet."""
        return len(self._unsent)

    def write(self, data: bytes) -> int:
        """Take bytes to send; how many had left when the stream broke, or all of them where it did not."""
        if self._unsent:
            if len(self._unsent) + len(data) > self._max_bytes:
                self.overrun = True
                self._stream.abort()
                return 0
            self._unsent += data
            return len(data)
        try:
            sent = self._stream.send_now(data)
        except PeerGone as error:
            # Reading tells its owner of the end; what came in before it can still be read.
            return error.sent
        if sent < len(data):
            self._unsent += data[sent:]
            self._hub.spawn(self._drain, "outbox")
        return len(data)

    def _drain(self) -> None:
        try:
            while self._unsent:
                part = bytes(self._unsent[:65536])
                self._stream.send(part)
                del self._unsent[: len(part)]
        except PeerGone:
            self._unsent.clear()
