"""Outgoing messages: a bounded queue for each address, sent in batches by at most two concurrent calls.

Messages that cannot be sent in time are dropped and counted: the state machines retransmit what they need.
"""

from __future__ import annotations

from collections import Counter, OrderedDict, deque
from collections.abc import Callable

from wingbarrow.http.client import CallFailed, Pool, PoolLimits
from wingbarrow.http.message import Limits
from wingbarrow.peers.message import MAX_ENVELOPE_BYTES, MAX_MESSAGES_PER_ENVELOPE, MessageError
from wingbarrow.transport import Hub

PATH = "/apis/wingbarrow.io/v1/peers"
CALL_TIMEOUT_US = 1_000_000
MAX_WAIT_US = 1_000_000  # an older message is out of date
# Of one message, and of all messages of an envelope; the rest is left for the sender's fields.
MAX_MESSAGE_BYTES = MAX_ENVELOPE_BYTES - 4096
MAX_QUEUED_MESSAGES = 128  # per address
MAX_CALLS_PER_ADDRESS = 2  # concurrent: a call that hangs must not delay the next
MAX_ADDRESSES = 512


class _Queue:
    """The messages that wait for one address, each with the time of its arrival in microseconds."""

    __slots__ = ("calls", "messages", "pool")

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.messages: deque[tuple[int, bytes]] = deque()
        self.calls = 0


class Outbox:
    """Sends messages to placers.

    `encode` makes an envelope of encoded messages, `on_response` receives the body of each response and may raise
    MessageError, `spawn` starts a task of the host.
    """

    def __init__(
        self,
        hub: Hub,
        agent: str,
        encode: Callable[[list[bytes]], bytes],
        on_response: Callable[[bytes], None],
        spawn: Callable[[Callable[[], None], str], None],
        counts: Counter[str],
    ) -> None:
        self._hub, self._agent, self._encode, self._on_response = hub, agent, encode, on_response
        self._spawn, self._counts = spawn, counts
        self._queues: OrderedDict[tuple[str, int], _Queue] = OrderedDict()

    def send(self, host: str, port: int, message: bytes) -> None:
        """Queue an encoded message for an address; if the queue is full, the oldest one is dropped."""
        if len(message) > MAX_MESSAGE_BYTES:
            # Danger: it fits into no envelope; in the queue, it would block all later messages forever.
            self._counts["peers:letters dropped, too long"] += 1
            return
        key = host, port
        queue = self._queues.get(key)
        if queue is None:
            queue = self._queues[key] = _Queue(
                Pool(
                    self._hub,
                    host,
                    port,
                    PoolLimits(
                        connections=MAX_CALLS_PER_ADDRESS,
                        waiting=0,
                        connect_us=CALL_TIMEOUT_US,
                        message=Limits(body=MAX_ENVELOPE_BYTES),
                    ),
                    self._agent,
                )
            )
            self._evict_idle_queues()
        self._queues.move_to_end(key)
        if len(queue.messages) >= MAX_QUEUED_MESSAGES:
            queue.messages.popleft()
            self._counts["peers:letters dropped, box full"] += 1
        queue.messages.append((self._hub.now_us(), message))
        if queue.calls < MAX_CALLS_PER_ADDRESS:
            queue.calls += 1
            self._spawn(lambda: self._drain_queue(queue), "mail")

    @property
    def busy(self) -> bool:
        """Whether a call is in progress."""
        return any(queue.calls for queue in self._queues.values())

    def _evict_idle_queues(self) -> None:
        for key, queue in list(self._queues.items()):
            if len(self._queues) <= MAX_ADDRESSES:
                return
            if not queue.calls:
                queue.pool.close()
                del self._queues[key]

    def _drain_queue(self, queue: _Queue) -> None:
        try:
            while queue.messages:
                messages = self._next_batch(queue)
                if messages:
                    self._send_batch(queue, messages)
        finally:
            queue.calls -= 1

    def _next_batch(self, queue: _Queue) -> list[bytes]:
        now, size = self._hub.now_us(), 0
        batch: list[bytes] = []
        while (
            queue.messages
            and len(batch) < MAX_MESSAGES_PER_ENVELOPE
            and size + len(queue.messages[0][1]) <= MAX_MESSAGE_BYTES
        ):
            queued_us, message = queue.messages.popleft()
            if now - queued_us > MAX_WAIT_US:
                self._counts["peers:letters dropped, too old"] += 1
                continue
            batch.append(message)
            size += len(message)
        return batch

    def _send_batch(self, queue: _Queue, messages: list[bytes]) -> None:
        self._counts["peers:calls"] += 1
        self._counts["peers:letters"] += len(messages)
        try:
            response = queue.pool.request(
                "POST",
                PATH,
                self._encode(messages),
                [("Content-Type", "application/json")],
                self._hub.now_us() + CALL_TIMEOUT_US,
            )
            if response.status == 200:
                self._on_response(response.body)
            else:
                self._counts[f"peers:status {response.status}"] += 1
        except CallFailed as error:
            self._counts["peers:calls failed, " + error.reason.name.lower()] += 1
        except MessageError:
            self._counts["peers:bad answers"] += 1

    def close(self) -> None:
        """Close all connections and drop all queued messages."""
        for queue in self._queues.values():
            queue.pool.close()
        self._queues.clear()
