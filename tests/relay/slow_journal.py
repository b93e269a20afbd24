"""A fake journal service that is slow, dead, crowded or refuses, and a placer's knowledge of its events."""

from __future__ import annotations

import json

from tests.relay.stage import MS, Journal, S
from tests.slow_service import Order
from wingbarrow.http.message import Request
from wingbarrow.http.server import Answer
from wingbarrow.transport import Hub, PeerGone

LOOK_US = 5 * MS  # the service looks for news once in so long
HELD_LOOK_US = MS // 10


class HeldCall:
    """A call that is answered when the test says so."""

    def __init__(self, hub: Hub) -> None:
        self._hub = hub
        self._body: bytes | None = None

    def answer(self, value: object) -> None:
        """Let the service answer with a JSON value."""
        self._body = json.dumps(value).encode()

    def wait(self) -> Answer:
        """The answer, once it is there."""
        while self._body is None:
            self._hub.sleep(HELD_LOOK_US)
        return Answer(200, self._body)


class SlowJournal(Journal):
    """Answers each call `late_us` late; while `is_dead`, a call that begins is never answered.

    Of the calls that begin, the next `holds` are held until the test answers them.
    """

    def __init__(
        self, hub: Hub, late_us: int = 0, order: Order = Order.WAIT_THEN_LATE, port: int = 0
    ) -> None:
        super().__init__(hub, port)
        self.late_us, self.order = late_us, order
        self.is_dead = False
        self.refuses = False  # calls are answered with an error at once
        self.holds = 0
        self.held: list[HeldCall] = []
        self.answered: list[int] = []  # times of answers
        self.bytes_out = 0

    def _answer(self, request: Request) -> Answer:
        began = self.hub.now_us()
        self.calls.append((began, request.target))
        if self.is_dead:
            self.hub.sleep(3600 * S)
            raise PeerGone("dead")
        if self.refuses:
            return Answer(503, b"")
        if self.holds:
            self.holds -= 1
            self.held.append(HeldCall(self.hub))
            return self.held[-1].wait()
        if self.troubles:
            self.troubles.pop(0)(request)
        late_us = self.late_us
        query = dict(pair.split("=") for pair in request.target.partition("?")[2].split("&"))
        if self.order is not Order.WAIT_THEN_LATE:
            self.hub.sleep(late_us)
        waits_from_us = self.hub.now_us() if self.order is Order.QUEUE_THEN_WAIT else began
        until_us = waits_from_us + int(query["max_wait"]) * MS
        while len(self.events) <= int(query["tail"]) and self.hub.now_us() < until_us:
            self.hub.sleep(min(LOOK_US, until_us - self.hub.now_us()))
        body = json.dumps(self.known(int(query["tail"]))).encode()
        if self.order is Order.WAIT_THEN_LATE:
            self.hub.sleep(late_us)
        self.answered.append(self.hub.now_us())
        self.bytes_out += len(body)
        return Answer(200, body)


__all__ = ["LOOK_US", "HeldCall", "SlowJournal"]
