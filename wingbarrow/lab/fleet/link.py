"""TCP links with faults: a proxy between two programs, each of its directions cut, late, slow, lossy or doubled.

A direction that is cut holds its bytes, as a network that drops packets does: nobody hears of it, connections stay
open, and new ones come up (the proxy's own system accepts them) and say nothing.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from wingbarrow.transport import Hub, Listener, Nursery, PeerGone, Signal, Stream, connect, listen

TRICKLE = 64  # bytes in one go on a slow direction
MAX_DOUBLES = 16  # second copies on their way at a time


@dataclass(slots=True)
class Way:
    """The faults of one direction; shares are drawn for each piece of bytes that passes."""

    cut: bool = False
    delay_us: int = 0
    bytes_per_s: int = 0  # 0: as fast as it goes
    reset_share: float = 0.0
    twice_share: float = (
        0.0  # of what clients send: sent again on a connection of its own, the answer thrown away
    )

    @property
    def whole(self) -> bool:
        """Whether nothing is wrong with it."""
        return not (
            self.cut or self.delay_us or self.bytes_per_s or self.reset_share or self.twice_share
        )


class Proxy:
    """Listens on a port of its own and passes bytes to one address.

    `forth` is the direction of those who connect, `back` that of the answers; `cut_after` resets a connection once so
    many bytes have come back through it; `severed` refuses everything.
    """

    def __init__(
        self, hub: Hub, port: int, say: Callable[[str], None] = lambda _: None, seed: int = 1
    ) -> None:
        self.hub = hub
        self.to = port
        self._listener: Listener = listen(hub, "127.0.0.1", 0, say)
        self.port: int = self._listener.port
        self.forth, self.back = Way(), Way()
        self.cut_after: int | None = None
        self.cuts = self.connections = self.resets = self.doubles = 0
        self.severed = False
        self.far_us = 0  # that bytes are on their way in either direction, without any fault
        self._random = random.Random(seed)
        self._changed = Signal(hub)
        self._open: dict[Stream, None] = {}
        self._doubling = 0
        hub.spawn(lambda: self._listener.serve(self._pass), "proxy")

    @property
    def stalled(self) -> bool:
        """Whether nothing passes either way."""
        return self.forth.cut and self.back.cut

    @stalled.setter
    def stalled(self, on: bool) -> None:
        self.forth.cut = self.back.cut = on
        self._changed.notify()

    def change(self) -> None:
        """What waits looks at its direction again; to be called after a fault was taken back."""
        self._changed.notify()

    def sever(self) -> None:
        """Reset all that is open; refuse what comes until `heal`."""
        self.severed = True
        self.reset()

    def reset(self) -> None:
        """Reset all that is open."""
        for stream in list(self._open):
            stream.abort()

    def heal(self) -> None:
        """Pass connections, and bytes that were held, again."""
        self.severed = False
        self.forth, self.back = Way(), Way()
        self._changed.notify()

    def close(self) -> None:
        """End all."""
        self._listener.close()
        self.reset()

    def _pass(self, client: Stream) -> None:
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

    def _copy(self, source: Stream, sink: Stream, back: bool) -> None:
        try:
            while True:
                data = source.receive()
                way = self.back if back else self.forth
                if way.delay_us or self.far_us:
                    self.hub.sleep(way.delay_us + self.far_us)
                while (self.back if back else self.forth).cut:
                    self._changed.wait()
                if way.reset_share and self._random.random() < way.reset_share:
                    self.resets += 1
                    raise PeerGone("reset here")
                if back and self.cut_after is not None:
                    if len(data) >= self.cut_after:
                        sink.send(data[: self.cut_after])
                        self.cut_after = None
                        self.cuts += 1
                        raise PeerGone("cut here")
                    self.cut_after -= len(data)
                if not data:
                    sink.end_writing()
                    return
                if not back and way.twice_share and self._random.random() < way.twice_share:
                    self._double(data)
                self._send(sink, data, way)
        except PeerGone:
            source.abort()
            sink.abort()

    def _send(self, sink: Stream, data: bytes, way: Way) -> None:
        if not way.bytes_per_s:
            sink.send(data)
            return
        for start in range(0, len(data), TRICKLE):
            piece = data[start : start + TRICKLE]
            sink.send(piece)
            if way.whole:
                continue  # it was healed meanwhile
            self.hub.sleep(len(piece) * 1_000_000 // max(1, way.bytes_per_s))

    def _double(self, data: bytes) -> None:
        """The same bytes again, as a network that delivers twice; whole requests only make sense to the receiver."""
        if self._doubling >= MAX_DOUBLES:
            return
        self._doubling += 1
        self.doubles += 1

        def again() -> None:
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
                self._doubling -= 1

        self.hub.spawn(again, "second copy")


class Network:
    """A link from each of some programs to each other; a fault between two is set in one direction or both.

    `ports` are where they listen; a program that comes back on another port is told by `moved`.
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

    def moved(self, name: str, port: int) -> None:
        """A program listens there from now on."""
        for (_, to), link in self.links.items():
            if to == name:
                link.to = port

    def ways(self, sender: str, receiver: str) -> tuple[Way, Way]:
        """All that carries bytes from one to the other: its requests, and its answers to the other's requests."""
        return self.links[sender, receiver].forth, self.links[receiver, sender].back

    def set(self, sender: str, receiver: str, **faults: object) -> None:
        """Faults of one direction, by the names of `Way`."""
        for way in self.ways(sender, receiver):
            for name, value in faults.items():
                setattr(way, name, value)
        for key in ((sender, receiver), (receiver, sender)):
            self.links[key].change()

    def reset(self, one: str, other: str) -> None:
        """Reset every connection between two."""
        for key in ((one, other), (other, one)):
            self.links[key].reset()

    def close(self) -> None:
        """End all."""
        for link in self.links.values():
            link.close()
