"""A TCP proxy between two stand-ins or programs: it cuts, stalls or severs what passes, at chosen bytes."""

from __future__ import annotations

from collections.abc import Callable

from wingbarrow.transport import Hub, Listener, Nursery, PeerGone, Signal, Stream, connect, listen


class Proxy:
    """Listens on a port of its own and passes bytes to one address.

    `cut_after` resets a connection once so many bytes have come back through it; `severed` refuses everything.
    """

    def __init__(self, hub: Hub, port: int, say: Callable[[str], None] = lambda _: None) -> None:
        self.hub = hub
        self._to = port
        self._listener: Listener = listen(hub, "127.0.0.1", 0, say)
        self.port: int = self._listener.port
        self.cut_after: int | None = None
        self.cuts = self.connections = 0
        self.severed = False
        self.stalled = False
        self._changed = Signal(hub)
        self._open: set[Stream] = set()
        hub.spawn(lambda: self._listener.serve(self._pass), "proxy")

    def sever(self) -> None:
        """Reset all that is open; refuse what comes until `heal`."""
        self.severed = True
        for stream in list(self._open):
            stream.abort()

    def heal(self) -> None:
        """Pass connections, and stalled bytes, again."""
        self.severed = self.stalled = False
        self._changed.notify()

    def _pass(self, client: Stream) -> None:
        self.connections += 1
        if self.severed:
            client.abort()
            return
        try:
            server = connect(self.hub, "127.0.0.1", self._to)
        except PeerGone:
            client.abort()
            return
        self._open |= {client, server}
        try:
            with Nursery(self.hub) as nursery:
                nursery.spawn(lambda: self._copy(client, server, False))
                nursery.spawn(lambda: self._copy(server, client, True))
        finally:
            self._open -= {client, server}
            client.close()
            server.close()

    def _copy(self, source: Stream, sink: Stream, back: bool) -> None:
        try:
            while True:
                data = source.receive()
                while self.stalled:
                    self._changed.wait()
                if back and self.cut_after is not None:
                    if len(data) >= self.cut_after:
                        sink.send(data[:self.cut_after])
                        self.cut_after = None
                        self.cuts += 1
                        raise PeerGone("cut here")
                    self.cut_after -= len(data)
                if not data:
                    sink.end_writing()
                    return
                sink.send(data)
        except PeerGone:
            source.abort()
            sink.abort()
