"""Mail on its way out: a bounded box for each address, emptied by at most two calls at a time; nothing waits for long.

What cannot be sent in its time is dropped and counted: the state machines send again what matters to them.
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
MAX_WAIT_US = 1_000_000  # a letter that has waited so long is of no use any more
MAX_MESSAGE_BYTES = (
    MAX_ENVELOPE_BYTES - 4096
)  # one letter, or all of one mail, beside what is said of their sender
MAX_QUEUED_MESSAGES = 128  # letters for one address
MAX_CALLS_PER_ADDRESS = 2  # at a time to one address: one that hangs must not hold up the next
MAX_ADDRESSES = 512


class _Queue:
    """What waits for one address."""

    __slots__ = ("calls", "letters", "pool")

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.letters: deque[tuple[int, bytes]] = deque()
        self.calls = 0


class Outbox:
    """`pack` makes a mail of letters, `take` gets each answer's bytes, `spawn` starts a task of the host's."""

    def __init__(
        self,
        hub: Hub,
        agent: str,
        pack: Callable[[list[bytes]], bytes],
        take: Callable[[bytes], None],
        spawn: Callable[[Callable[[], None], str], None],
        counts: Counter[str],
    ) -> None:
        self._hub, self._agent, self._pack, self._take = hub, agent, pack, take
        self._spawn, self._counts = spawn, counts
        self._queues: OrderedDict[tuple[str, int], _Queue] = OrderedDict()

    def send(self, host: str, port: int, letter: bytes) -> None:
        """Put a letter in the box of an address."""
        if len(letter) > MAX_MESSAGE_BYTES:
            # Danger: no mail has room for it; left in its box, it would be tried without an end.
            self._counts["peers:letters dropped, too long"] += 1
            return
        key = host, port
        box = self._queues.get(key)
        if box is None:
            box = self._queues[key] = _Queue(
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
        if len(box.letters) >= MAX_QUEUED_MESSAGES:
            box.letters.popleft()
            self._counts["peers:letters dropped, box full"] += 1
        box.letters.append((self._hub.now_us(), letter))
        if box.calls < MAX_CALLS_PER_ADDRESS:
            box.calls += 1
            self._spawn(lambda: self._drain_queue(box), "mail")

    @property
    def busy(self) -> bool:
        """Whether a call is under way."""
        return any(box.calls for box in self._queues.values())

    def _evict_idle_queues(self) -> None:
        for key, box in list(self._queues.items()):
            if len(self._queues) <= MAX_ADDRESSES:
                return
            if not box.calls:
                box.pool.close()
                del self._queues[key]

    def _drain_queue(self, box: _Queue) -> None:
        try:
            while box.letters:
                letters = self._next_batch(box)
                if letters:
                    self._send_batch(box, letters)
        finally:
            box.calls -= 1

    def _next_batch(self, box: _Queue) -> list[bytes]:
        now, size = self._hub.now_us(), 0
        out: list[bytes] = []
        while (
            box.letters
            and len(out) < MAX_MESSAGES_PER_ENVELOPE
            and size + len(box.letters[0][1]) <= MAX_MESSAGE_BYTES
        ):
            at_us, letter = box.letters.popleft()
            if now - at_us > MAX_WAIT_US:
                self._counts["peers:letters dropped, too old"] += 1
                continue
            out.append(letter)
            size += len(letter)
        return out

    def _send_batch(self, box: _Queue, letters: list[bytes]) -> None:
        self._counts["peers:calls"] += 1
        self._counts["peers:letters"] += len(letters)
        try:
            response = box.pool.request(
                "POST",
                PATH,
                self._pack(letters),
                [("Content-Type", "application/json")],
                self._hub.now_us() + CALL_TIMEOUT_US,
            )
            if response.status == 200:
                self._take(response.body)
            else:
                self._counts[f"peers:status {response.status}"] += 1
        except CallFailed as error:
            self._counts["peers:calls failed, " + error.why.name.lower()] += 1
        except MessageError:
            self._counts["peers:bad answers"] += 1

    def close(self) -> None:
        """Let all connections go."""
        for box in self._queues.values():
            box.pool.close()
        self._queues.clear()
