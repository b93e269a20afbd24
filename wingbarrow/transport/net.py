"""Non-blocking TCP on the hub: streams, and a listener that survives bursts and descriptor exhaustion."""

from __future__ import annotations

import errno
import os
import socket
import struct
from collections.abc import Callable

from wingbarrow.transport.hub import READ, WRITE, Hub
from wingbarrow.transport.scopes import Cancelled
from wingbarrow.transport.turns import MAX_READS_PER_TURN

_WOULD_BLOCK = (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR)
_DESCRIPTOR_TABLE_FULL = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
_MAX_ACCEPT_BURST = 64  # connections accepted before other tasks run
_ACCEPT_RETRY_US = 100_000


class PeerGone(Exception):
    """The connection is broken; `sent` is how many bytes of the failing write were accepted by the system."""

    def __init__(self, reason: str, sent: int = 0) -> None:
        super().__init__(reason)
        self.sent = sent


class _Endpoint:
    """A socket that belongs to the domain of the task that created it, and is reset when the domain is killed."""

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
        """Close the socket; a task that waits for it raises PeerGone."""
        if self.open:
            self.open = False
            self.hub.socket_activity = True
            self.hub.forget(self._fd)
            self._socket.close()
            if self._domain is not None:
                self._domain.endpoints.pop(self, None)


class Stream(_Endpoint):
    """A connected TCP socket."""

    __slots__ = ("_reads_since_wait", "bytes_in", "bytes_out", "last_empty_us")

    def __init__(self, hub: Hub, sock: socket.socket, last_empty_us: int | None = None) -> None:
        super().__init__(hub, sock)
        self.bytes_in = self.bytes_out = 0
        self._reads_since_wait = 0
        # The latest time at which the bytes read next had certainly not arrived; see docs/promptness.md.
        self.last_empty_us = hub.now_us() if last_empty_us is None else last_empty_us
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def receive(self, max_bytes: int = 65536) -> bytes:
        """Read up to `max_bytes`, blocking until some arrive; b"" at end of stream; raises PeerGone when reset.

        Lets other tasks run where the peer's bytes keep coming.
        """
        if self._reads_since_wait >= MAX_READS_PER_TURN:
            # Danger: a peer that sends without end would hold up all others.
            self._reads_since_wait = 0
            self.hub.yield_turn()
        while self.open:
            tried_us = self.hub.now_us()
            try:
                data = self._socket.recv(max_bytes)
            except OSError as error:
                if error.errno not in _WOULD_BLOCK:
                    raise PeerGone(errno.errorcode.get(error.errno or 0, "?")) from None
                self.last_empty_us = tried_us
                self._reads_since_wait = 0
                self.last_empty_us = max(tried_us, self.hub.wait(self._fd, READ))
            else:
                self.hub.socket_activity = True
                self._reads_since_wait += 1
                self.bytes_in += len(data)
                return data
        raise PeerGone("closed here")

    def send(self, data: bytes | memoryview[int]) -> None:
        """Write all of `data`, blocking as needed; raises PeerGone with the count of bytes sent."""
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
        """Write what fits without blocking and return its byte count; raises PeerGone when the connection is broken."""
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
        """The peer's address; empty once the connection is broken."""
        try:
            return str(self._socket.getpeername()[0])
        except OSError:
            return ""

    def wait_input(self) -> None:
        """Block until bytes, an end of stream or a reset can be read; reads nothing."""
        if self.open:
            self.hub.wait(self._fd, READ)

    def is_quiet(self) -> bool:
        """Whether the connection is open and has nothing to read: no bytes, no end of stream, no reset."""
        if not self.open:
            return False
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except OSError as error:
            return error.errno in _WOULD_BLOCK
        return False

    def has_unread(self, now_us: int, max_age_us: int) -> bool:
        """Whether bytes, an end of stream or a reset may have been unread for more than `max_age_us`.

        Makes a system call only if neither the reader nor a poll found the socket empty within `max_age_us`.
        """
        last_poll_us = self.hub.last_poll_us(self._fd)
        return (
            now_us - (self.last_empty_us if last_poll_us is None else last_poll_us) > max_age_us
            and not self.is_quiet()
        )

    def end_writing(self) -> None:
        """Shut down the sending side; the peer reads an end of stream."""
        if self.open:
            self.hub.socket_activity = True
            try:
                self._socket.shutdown(socket.SHUT_WR)
            except OSError:
                self.abort()

    def abort(self) -> None:
        """Reset the connection; unsent bytes are discarded."""
        if self.open:
            try:
                self._socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
            except OSError:
                pass
            self.close()


class Listener(_Endpoint):
    """A listening socket; `serve` runs a task for each connection."""

    def __init__(self, hub: Hub, sock: socket.socket, log: Callable[[str], None]) -> None:
        super().__init__(hub, sock)
        self._log = log
        self._logged_full = False
        self.host, self.port = sock.getsockname()[:2]
        self.descriptor_exhaustions = 0
        self._last_empty_us = hub.now_us()

    def accept(self) -> Stream:
        """Accept the next connection; when descriptors run out, retry every 100 ms and log it once."""
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
                            f"cannot accept connections: {os.strerror(error.errno or 0)}; still serving open ones"
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
        """Accept until cancelled or closed; a failure of one connection does not affect the others.

        `max_burst`: how many connections are accepted in a row before the tasks of the accepted ones run.
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
            self._log(f"the handler of a connection failed: {type(error).__name__}: {error}")
        finally:
            stream.close()

    def abort(self) -> None:
        """Close the listener; the system resets connections in its backlog."""
        self.close()


def listen(
    hub: Hub, host: str, port: int, log: Callable[[str], None], backlog: int = 1024
) -> Listener:
    """Bind and listen; port 0 lets the system choose one. Raises OSError."""
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
    """Connect to an IP address, without name resolution; raises PeerGone when that fails."""
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
                # Danger: after a stall, the deadline can expire before a poll has seen that the connection was
                # established. Such a connection is used; if the whole task was cancelled, its next wait raises again.
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
