"""Mail on its way out: a bounded box for each address, emptied by at most two calls at a time; nothing waits for long.

What cannot be sent in its time is dropped and counted: the state machines send again what matters to them.
"""

from __future__ import annotations

from collections import Counter, OrderedDict, deque
from collections.abc import Callable

from wingbarrow.http.client import CallFailed, Pool, PoolLimits
from wingbarrow.http.message import Limits
from wingbarrow.peers.message import LETTERS_MOST, MAIL_MOST, BadMail
from wingbarrow.transport import Hub

PATH = "/apis/wingbarrow.io/v1/peers"
CALL_US = 1_000_000
OLD_US = 1_000_000  # a letter that has waited so long is of no use any more
LETTER_MOST = (
    MAIL_MOST - 4096
)  # one letter, or all of one mail, beside what is said of their sender
WAITING_MOST = 128  # letters for one address
CALLS_MOST = 2  # at a time to one address: one that hangs must not hold up the next
BOXES_MOST = 512


class _Box:
    """What waits for one address."""

    __slots__ = ("calls", "letters", "pool")

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.letters: deque[tuple[int, bytes]] = deque()
        self.calls = 0


class Post:
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
        self._boxes: OrderedDict[tuple[str, int], _Box] = OrderedDict()

    def send(self, host: str, port: int, letter: bytes) -> None:
        """Put a letter in the box of an address."""
        if len(letter) > LETTER_MOST:
            # Danger: no mail has room for it; left in its box, it would be tried without an end.
            self._counts["peers:letters dropped, too long"] += 1
            return
        key = host, port
        box = self._boxes.get(key)
        if box is None:
            box = self._boxes[key] = _Box(
                Pool(
                    self._hub,
                    host,
                    port,
                    PoolLimits(
                        connections=CALLS_MOST,
                        waiting=0,
                        connect_us=CALL_US,
                        message=Limits(body=MAIL_MOST),
                    ),
                    self._agent,
                )
            )
            self._bound()
        self._boxes.move_to_end(key)
        if len(box.letters) >= WAITING_MOST:
            box.letters.popleft()
            self._counts["peers:letters dropped, box full"] += 1
        box.letters.append((self._hub.now_us(), letter))
        if box.calls < CALLS_MOST:
            box.calls += 1
            self._spawn(lambda: self._empty(box), "mail")

    @property
    def busy(self) -> bool:
        """Whether a call is under way."""
        return any(box.calls for box in self._boxes.values())

    def _bound(self) -> None:
        for key, box in list(self._boxes.items()):
            if len(self._boxes) <= BOXES_MOST:
                return
            if not box.calls:
                box.pool.close()
                del self._boxes[key]

    def _empty(self, box: _Box) -> None:
        try:
            while box.letters:
                letters = self._next(box)
                if letters:
                    self._call(box, letters)
        finally:
            box.calls -= 1

    def _next(self, box: _Box) -> list[bytes]:
        now, size = self._hub.now_us(), 0
        out: list[bytes] = []
        while (
            box.letters and len(out) < LETTERS_MOST and size + len(box.letters[0][1]) <= LETTER_MOST
        ):
            at_us, letter = box.letters.popleft()
            if now - at_us > OLD_US:
                self._counts["peers:letters dropped, too old"] += 1
                continue
            out.append(letter)
            size += len(letter)
        return out

    def _call(self, box: _Box, letters: list[bytes]) -> None:
        self._counts["peers:calls"] += 1
        self._counts["peers:letters"] += len(letters)
        try:
            response = box.pool.request(
                "POST",
                PATH,
                self._pack(letters),
                [("Content-Type", "application/json")],
                self._hub.now_us() + CALL_US,
            )
            if response.status == 200:
                self._take(response.body)
            else:
                self._counts[f"peers:status {response.status}"] += 1
        except CallFailed as error:
            self._counts["peers:calls failed, " + error.why.name.lower()] += 1
        except BadMail:
            self._counts["peers:bad answers"] += 1

    def close(self) -> None:
        """Let all connections go."""
        for box in self._boxes.values():
            box.pool.close()
        self._boxes.clear()
