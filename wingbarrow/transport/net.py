"""Non-blocking TCP on the hub: streams, a listener that survives bursts and a full descriptor table."""

from __future__ import annotations

import errno
import os
import socket
import struct
from collections.abc import Callable

from wingbarrow.transport.hub import READ, WRITE, Hub
from wingbarrow.transport.scopes import Cancelled

_WOULD_BLOCK = (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR)
_DESCRIPTOR_TABLE_FULL = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
_MAX_ACCEPT_BURST = 64  # accepted before others get a turn
_ACCEPT_RETRY_US = 100_000


class PeerGone(Exception):
    """The connection is broken; `sent` tells how many bytes of the failing write had gone out."""

    def __init__(self, reason: str, sent: int = 0) -> None:
        super().__init__(reason)
        self.sent = sent


class _Endpoint:
    """A socket that belongs to the domain it was made in, and ends with it."""

    __slots__ = ("_domain", "_fd", "_socket", "hub", "open")

    def __init__(self, hub: Hub, sock: socket.socket) -> None:
        self.hub = hub
        self._socket = sock
        self._fd = sock.fileno()
        self.open = True
        self._domain = hub.current().domain
        if self._domain is not None:
            self._domain.endpoints[self] = None

    def close(self) -> None:
        """Close; whoever waits on it hears PeerGone."""
        if self.open:
            self.open = False
            self.hub.socket_activity = True
            self.hub.forget(self._fd)
            self._socket.close()
            if self._domain is not None:
                self._domain.endpoints.pop(self, None)


class Stream(_Endpoint):
    """A connected TCP socket."""

    __slots__ = ("bytes_in", "bytes_out", "last_empty_us")

    def __init__(self, hub: Hub, sock: socket.socket, last_empty_us: int | None = None) -> None:
        super().__init__(hub, sock)
        self.bytes_in = self.bytes_out = 0
        # The latest moment at which it is certain that what is read next had not come; see docs/promptness.md.
        self.last_empty_us = hub.now_us() if last_empty_us is None else last_empty_us
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def receive(self, max_bytes: int = 65536) -> bytes:
        """Some bytes, b"" at the peer's end of stream; raises PeerGone when reset."""
        while self.open:
            tried_us = self.hub.now_us()
            try:
                data = self._socket.recv(max_bytes)
            except OSError as error:
                if error.errno not in _WOULD_BLOCK:
                    raise PeerGone(errno.errorcode.get(error.errno or 0, "?")) from None
                self.last_empty_us = tried_us
                self.last_empty_us = max(tried_us, self.hub.wait(self._fd, READ))
            else:
                self.hub.socket_activity = True
                self.bytes_in += len(data)
                return data
        raise PeerGone("closed here")

    def send(self, data: bytes) -> None:
        """Write all; raises PeerGone with the count that had gone out."""
        view, sent = memoryview(data), 0
        while sent < len(view):
            if not self.open:
                raise PeerGone("closed here", sent)
            try:
                count = self._socket.send(view[sent:])
            except OSError as error:
                if error.errno not in _WOULD_BLOCK:
                    raise PeerGone(errno.errorcode.get(error.errno or 0, "?"), sent) from None
                self.hub.wait(self._fd, WRITE)
            else:
                self.hub.socket_activity = True
                sent += count
                self.bytes_out += count

    def send_now(self, data: bytes) -> int:
        """Write what fits without waiting; how many bytes that was. Raises PeerGone where none can go any more."""
        if not self.open:
            raise PeerGone("closed here")
        try:
            count = self._socket.send(data)
        except OSError as error:
            if error.errno in _WOULD_BLOCK:
                return 0
            raise PeerGone(errno.errorcode.get(error.errno or 0, "?")) from None
        self.hub.socket_activity = True
        self.bytes_out += count
        return count

    @property
    def peer(self) -> str:
        """The peer's address, empty once it is gone."""
        try:
            return str(self._socket.getpeername()[0])
        except OSError:
            return ""

    def wait_input(self) -> None:
        """Block until there is something to read: bytes, an end of stream or a reset. Nothing is taken."""
        if self.open:
            self.hub.wait(self._fd, READ)

    def is_quiet(self) -> bool:
        """Whether an idle connection is still whole: no byte and no end of stream has come."""
        if not self.open:
            return False
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except OSError as error:
            return error.errno in _WOULD_BLOCK
        return False

    def has_unread(self, now_us: int, max_age_us: int) -> bool:
        """Whether something may lie unread that came more than `most_us` ago, an end or a reset among it.

        The system is asked only where neither the reader nor a poll has looked so lately.
        """
        last_poll_us = self.hub.last_poll_us(self._fd)
        return (
            now_us - (self.last_empty_us if last_poll_us is None else last_poll_us) > max_age_us
            and not self.is_quiet()
        )

    def end_writing(self) -> None:
        """Half-close: the peer reads an end of stream."""
        if self.open:
            self.hub.socket_activity = True
            try:
                self._socket.shutdown(socket.SHUT_WR)
            except OSError:
                self.abort()

    def abort(self) -> None:
        """Reset the connection: what was not sent is dropped."""
        if self.open:
            try:
                self._socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
            except OSError:
                pass
            self.close()


class Listener(_Endpoint):
    """A listening socket; `serve` hands each connection to a task of its own."""

    def __init__(self, hub: Hub, sock: socket.socket, log: Callable[[str], None]) -> None:
        super().__init__(hub, sock)
        self._log = log
        self._logged_full = False
        self.host, self.port = sock.getsockname()[:2]
        self.descriptor_exhaustions = 0
        self._last_empty_us = hub.now_us()

    def accept(self) -> Stream:
        """The next connection; a full descriptor table is waited out and told once."""
        while self.open:
            tried_us = self.hub.now_us()
            try:
                sock, _ = self._socket.accept()
            except OSError as error:
                if error.errno in _DESCRIPTOR_TABLE_FULL:
                    self.descriptor_exhaustions += 1
                    if not self._logged_full:
                        self._logged_full = True
                        self._log(
                            f"cannot accept: {os.strerror(error.errno or 0)}; serving those connected"
                        )
                    self.hub.sleep(_ACCEPT_RETRY_US)
                elif error.errno in _WOULD_BLOCK:
                    self._last_empty_us = max(tried_us, self.hub.wait(self._fd, READ))
                elif error.errno not in (errno.ECONNABORTED, errno.EPROTO):
                    raise
            else:
                if self._logged_full:
                    self._logged_full = False
                    self._log("accepting again")
                self.hub.socket_activity = True
                return Stream(self.hub, sock, self._last_empty_us)
        raise PeerGone("closed here")

    def serve(self, handle: Callable[[Stream], None], max_burst: int = _MAX_ACCEPT_BURST) -> None:
        """Accept until cancelled or closed; a connection's own failure never reaches the others.

        `most`: connections accepted in one go, before those that came first have their turn.
        """
        burst = 0
        while self.open:
            try:
                stream = self.accept()
            except PeerGone:
                return
            self.hub.spawn(lambda stream=stream: self._handle(handle, stream), name="connection")  # type: ignore[misc]
            burst += 1
            if burst % max_burst == 0:
                self.hub.checkpoint()

    def _handle(self, handle: Callable[[Stream], None], stream: Stream) -> None:
        try:
            handle(stream)
        except PeerGone:
            pass
        except Cancelled:
            raise
        except Exception as error:
            self._log(f"a connection failed: {type(error).__name__}: {error}")
        finally:
            stream.close()

    def abort(self) -> None:
        """The same as close: what waits in the backlog is reset."""
        self.close()


def listen(
    hub: Hub, host: str, port: int, log: Callable[[str], None], backlog: int = 1024
) -> Listener:
    """A listener; port 0 lets the system choose."""
    sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setblocking(False)
    try:
        sock.bind((host, port))
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return Listener(hub, sock, log)


def connect(hub: Hub, host: str, port: int) -> Stream:
    """Connect to an address (no names are looked up); raises PeerGone when refused."""
    try:
        sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:
        raise PeerGone(errno.errorcode.get(error.errno or 0, "?")) from None
    sock.setblocking(False)
    hub.socket_activity = True
    try:
        code = sock.connect_ex((host, port))
        if code == errno.EINPROGRESS:
            try:
                hub.wait(sock.fileno(), WRITE)
            except Cancelled:
                # Danger: after a stall, time runs out before a poll has seen that it came up. Where the whole task
                # was cancelled, its next wait tells it again.
                if not hub.is_ready(sock.fileno(), WRITE):
                    raise
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    except BaseException:
        sock.close()
        raise
    if code:
        sock.close()
        raise PeerGone(errno.errorcode.get(code, "?"))
    return Stream(hub, sock)
