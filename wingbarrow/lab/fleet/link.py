"""TCP links with injected faults: a proxy between two programs whose directions can be cut, delayed, slowed, reset or
duplicated.

A direction that is cut holds its bytes, like a network that drops packets: neither end is notified and connections stay
open. New connections are accepted by the operating system of the proxy and carry no bytes.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from wingbarrow.transport import Hub, Listener, Nursery, PeerGone, Signal, Stream, connect, listen

SLOW_CHUNK_BYTES = 64  # written at a time on a slowed direction
MAX_PENDING_DUPLICATES = 16


@dataclass(slots=True)
class LinkDirection:
    """Faults of one direction of a link. Shares (0 to 1) are probabilities for each chunk that passes."""

    cut: bool = False
    delay_us: int = 0
    bytes_per_s: int = 0  # 0: not limited
    reset_share: float = 0.0
    # Share of the clients' chunks that are sent again on a new connection, whose answer is discarded.
    duplicate_share: float = 0.0

    @property
    def is_healthy(self) -> bool:
        """Whether no fault is set."""
        return not (
            self.cut
            or self.delay_us
            or self.bytes_per_s
            or self.reset_share
            or self.duplicate_share
        )


class Proxy:
    """TCP proxy that listens on its own port and forwards to one port on 127.0.0.1.

    `forward` is the direction from clients to the server, `backward` that of the answers. `reset_after_bytes` resets a
    connection once that many bytes came back. While `severed` is set, all connections are refused.
    """

    def __init__(
        self, hub: Hub, port: int, say: Callable[[str], None] = lambda _: None, seed: int = 1
    ) -> None:
        self.hub = hub
        self.to = port
        self._listener: Listener = listen(hub, "127.0.0.1", 0, say)
        self.port: int = self._listener.port
        self.forward, self.backward = LinkDirection(), LinkDirection()
        self.reset_after_bytes: int | None = None
        self.byte_limit_resets = self.connections = self.resets = self.duplicates = 0
        self.severed = False
        self.base_delay_us = 0  # delay of each direction without faults
        self._random = random.Random(seed)
        self._changed = Signal(hub)
        self._open: dict[Stream, None] = {}
        self._pending_duplicates = 0
        hub.spawn(lambda: self._listener.serve(self._forward), "proxy")

    @property
    def stalled(self) -> bool:
        """Whether both directions are cut."""
        return self.forward.cut and self.backward.cut

    @stalled.setter
    def stalled(self, on: bool) -> None:
        self.forward.cut = self.backward.cut = on
        self._changed.notify()

    def notify_changed(self) -> None:
        """Wakes connections that wait on a cut direction. To be called after a fault was removed."""
        self._changed.notify()

    def sever(self) -> None:
        """Resets all open connections and refuses new ones until `heal`."""
        self.severed = True
        self.reset()

    def reset(self) -> None:
        """Resets all open connections."""
        for stream in list(self._open):
            stream.abort()

    def heal(self) -> None:
        """Removes all faults: accepts connections and passes held bytes again."""
        self.severed = False
        self.forward, self.backward = LinkDirection(), LinkDirection()
        self._changed.notify()

    def close(self) -> None:
        """Closes the listener and resets all open connections."""
        self._listener.close()
        self.reset()

    def _forward(self, client: Stream) -> None:
        self.connections += 1
        if self.severed:
            client.abort()
            return
        try:
            server = connect(self.hub, "127.0.0.1", self.to)
        except PeerGone:
            client.abort()
            return
        self._open |= {client: None, server: None}
        try:
            with Nursery(self.hub) as nursery:
                nursery.spawn(lambda: self._copy(client, server, False))
                nursery.spawn(lambda: self._copy(server, client, True))
        finally:
            for stream in (client, server):
                self._open.pop(stream, None)
                stream.close()

    def _copy(self, source: Stream, sink: Stream, is_backward: bool) -> None:
        try:
            while True:
                data = source.receive()
                direction = self.backward if is_backward else self.forward
                if direction.delay_us or self.base_delay_us:
                    self.hub.sleep(direction.delay_us + self.base_delay_us)
                while (self.backward if is_backward else self.forward).cut:
                    self._changed.wait()
                if direction.reset_share and self._random.random() < direction.reset_share:
                    self.resets += 1
                    raise PeerGone("connection reset by an injected fault")
                if is_backward and self.reset_after_bytes is not None:
                    if len(data) >= self.reset_after_bytes:
                        sink.send(data[: self.reset_after_bytes])
                        self.reset_after_bytes = None
                        self.byte_limit_resets += 1
                        raise PeerGone("connection reset after a set number of bytes")
                    self.reset_after_bytes -= len(data)
                if not data:
                    sink.end_writing()
                    return
                if (
                    not is_backward
                    and direction.duplicate_share
                    and self._random.random() < direction.duplicate_share
                ):
                    self._send_duplicate(data)
                self._send(sink, data, direction)
        except PeerGone:
            source.abort()
            sink.abort()

    def _send(self, sink: Stream, data: bytes, direction: LinkDirection) -> None:
        if not direction.bytes_per_s:
            sink.send(data)
            return
        for start in range(0, len(data), SLOW_CHUNK_BYTES):
            piece = data[start : start + SLOW_CHUNK_BYTES]
            sink.send(piece)
            if direction.is_healthy:
                continue  # the fault was removed in the meantime
            self.hub.sleep(len(piece) * 1_000_000 // max(1, direction.bytes_per_s))

    def _send_duplicate(self, data: bytes) -> None:
        """Sends the same bytes again on a new connection, like a network that delivers twice.

        The receiver can use the copy only if it is a whole request.
        """
        if self._pending_duplicates >= MAX_PENDING_DUPLICATES:
            return
        self._pending_duplicates += 1
        self.duplicates += 1

        def send_copy() -> None:
            try:
                stream = connect(self.hub, "127.0.0.1", self.to)
                try:
                    stream.send(data)
                    with self.hub.limit(2_000_000):
                        stream.receive()
                finally:
                    stream.close()
            except PeerGone:
                pass
            finally:
                self._pending_duplicates -= 1

        self.hub.spawn(send_copy, "second copy")


class Network:
    """One link between each ordered pair of programs.

    Links forward to port 1 until `set_port` is called; it is called again after a restart on another port.
    """

    def __init__(
        self, hub: Hub, names: list[str], seed: int, say: Callable[[str], None] = lambda _: None
    ) -> None:
        self.names = names
        self.links = {
            (a, b): Proxy(hub, 1, say, seed * 10_007 + i * 101 + j)
            for i, a in enumerate(names)
            for j, b in enumerate(names)
            if a != b
        }

    def set_port(self, name: str, port: int) -> None:
        """Sets the port on which a program listens from now on."""
        for (_, to), link in self.links.items():
            if to == name:
                link.to = port

    def directions(self, sender: str, receiver: str) -> tuple[LinkDirection, LinkDirection]:
        """Both directions from sender to receiver: its requests, and its answers to the receiver's requests."""
        return self.links[sender, receiver].forward, self.links[receiver, sender].backward

    def set(self, sender: str, receiver: str, **faults: object) -> None:
        """Sets faults of the direction from sender to receiver, by the field names of `LinkDirection`."""
        for direction in self.directions(sender, receiver):
            for name, value in faults.items():
                setattr(direction, name, value)
        for key in ((sender, receiver), (receiver, sender)):
            self.links[key].notify_changed()

    def reset(self, one: str, other: str) -> None:
        """Resets all connections between two programs."""
        for key in ((one, other), (other, one)):
            self.links[key].reset()

    def close(self) -> None:
        """Closes all links."""
        for link in self.links.values():
            link.close()
