"""Delivery of releases and moves to owners: on any of their connections, until they are acknowledged or too old."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable, Iterable

from wingbarrow.core.placer_runtime import PlacerRuntime
from wingbarrow.relay.message import Kind, encode, with_cause
from wingbarrow.relay.tasks import OwnerConnection
from wingbarrow.relay.trace import Trace

# A message is resent if its connection ends within this time after sending without an acknowledgement.
ACK_TIMEOUT_US = 2_000_000
RELEASE_TTL_US = 8_500_000  # a message that waits for a connection is dropped after this time
MAX_PENDING_RELEASES = 8192  # waiting for a connection; unacknowledged ones are bounded alike


def _task_of(data: bytes) -> int:
    return int.from_bytes(data[3:11], "big")


class ReleaseDelivery:
    """Tells owners that tasks are over; `connections` returns all of theirs, the most recently active first."""

    def __init__(
        self,
        runtime: PlacerRuntime,
        connections: Callable[[], Iterable[OwnerConnection]],
        trace: Trace,
    ) -> None:
        self._runtime, self._connections, self._trace = runtime, connections, trace
        # Messages that wait for a connection: (expiry time, message).
        self._pending: deque[tuple[int, bytes]] = deque()
        # Messages sent and not yet acknowledged, by task id: (expiry time, connection, message).
        self._unacknowledged: OrderedDict[int, tuple[int, OwnerConnection, bytes]] = OrderedDict()

    def release(self, ident: int, cause: int) -> None:
        """Send a RELEASE for a task that ran, on any owner's connection, now or when one is available."""
        self._send_or_defer(with_cause(Kind.RELEASE, ident, cause))

    def move(self, ident: int) -> None:
        """Send a MOVE: the task was stopped and its owner is to submit it again."""
        self._send_or_defer(encode(Kind.MOVE, ident, {}))

    def on_acknowledged(self, connection: OwnerConnection, ident: int) -> None:
        """An owner has received the release of a task."""
        self._unacknowledged.pop(ident, None)
        self._trace(ident, "release heard", owner=connection.number)

    def on_disconnected(self, closed: OwnerConnection) -> None:
        """Resend what `closed` did not acknowledge on another connection; owners ignore duplicates."""
        now = self._runtime.hub.now_us()
        while self._unacknowledged and next(iter(self._unacknowledged.values()))[0] <= now:
            self._unacknowledged.popitem(last=False)
        if closed.activity.proven:
            for ident in [
                ident for ident, (_, owner, _) in self._unacknowledged.items() if owner is closed
            ]:
                until_us, _, data = self._unacknowledged.pop(ident)
                self._runtime.counts["releases_again"] += 1
                self._trace(ident, "release again", gone=closed.number)
                if not self._send(data, until_us):
                    self._defer(data)

    def send_pending(self) -> None:
        """Send what waits for a connection, and drop what has waited for too long."""
        now = self._runtime.hub.now_us()
        for _ in range(len(self._pending)):
            until_us, data = self._pending.popleft()
            if now >= until_us:
                self._trace(_task_of(data), "release expired")
            elif not self._send(data):
                self._pending.append((until_us, data))

    def _send_or_defer(self, data: bytes) -> None:
        if not self._send(data):
            self._defer(data)

    def _defer(self, data: bytes) -> None:
        if len(self._pending) >= MAX_PENDING_RELEASES:
            _, lost = self._pending.popleft()
            self._trace(_task_of(lost), "release dropped")
            self._runtime.counts["releases_dropped"] += 1
        self._pending.append((self._runtime.hub.now_us() + RELEASE_TTL_US, data))
        self._runtime.counts["releases_waited"] += 1
        self._trace(_task_of(data), "release pending")

    def _send(self, data: bytes, until_us: int | None = None) -> bool:
        """Send a message on any proven owner's connection; False if there is none.

        It is resent if that connection ends before an acknowledgement, until `until_us` or for ACK_TIMEOUT_US.
        """
        # Connections with open set-ups first, as their owners keep them open; then the most recently active.
        candidates = [each for each in self._connections() if each.activity.proven]
        candidates.sort(key=lambda each: not each.tasks)
        owner = next((each for each in candidates if each.write(data)), None)
        if owner is None:
            return False
        ident = _task_of(data)
        self._trace(ident, "release told", owner=owner.number)
        self._unacknowledged[ident] = (
            until_us or self._runtime.hub.now_us() + ACK_TIMEOUT_US,
            owner,
            data,
        )
        if len(self._unacknowledged) > MAX_PENDING_RELEASES:
            self._unacknowledged.popitem(last=False)
        return True
