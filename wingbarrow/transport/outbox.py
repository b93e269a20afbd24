"""A bounded send buffer for one stream: writes never block, and bytes leave in order."""

from __future__ import annotations

from wingbarrow.transport.hub import Hub
from wingbarrow.transport.net import PeerGone, Stream


class Outbox:
    """Sends at once what the socket takes and buffers the rest; `write` never blocks, so timers may call it.

    A connection whose peer reads so slowly that more than `max_bytes` would be buffered is reset.
    """

    __slots__ = ("_hub", "_max_bytes", "_stream", "_unsent", "overrun")

    def __init__(self, hub: Hub, stream: Stream, max_bytes: int) -> None:
        self._hub = hub
        self._stream = stream
        self._max_bytes = max_bytes
        self._unsent = bytearray()
        self.overrun = False  # whether the connection was reset because its peer reads too slowly

    @property
    def waiting(self) -> int:
        """Bytes in the buffer."""
        return len(self._unsent)

    def write(self, data: bytes) -> int:
        """Send or buffer `data`; returns its length, or the bytes sent before the stream broke (0 on overrun)."""
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
            # The reading task sees the break itself, after it has read what arrived before.
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
