"""One client's requests at full speed do not hold up the others."""

from __future__ import annotations

from tests.http.test_exchange import S, read_all, run
from wingbarrow.http.message import Request
from wingbarrow.http.server import Answer, Server, ServerLimits
from wingbarrow.transport import Hub, connect

REQUESTS = 1000
REQUEST = b"GET /%s HTTP/1.1\r\nHost: a\r\n\r\n"
LAST = b"GET /%s HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"


class Recorder:
    """A server that records whose request it answers."""

    def __init__(self, hub: Hub) -> None:
        self.answered: list[str] = []
        self.server = Server(hub, "127.0.0.1", 0, self._answer, print, ServerLimits())
        hub.spawn(self.server.serve)

    def _answer(self, request: Request) -> Answer:
        self.answered.append(request.target)
        return Answer(200, b"ok")


# Picture (b) of issue 71: others were not answered while one client sent small requests without a pause.
def test_a_request_beside_a_client_that_sends_without_a_pause_is_answered_within_a_few() -> None:
    def script(hub: Hub) -> list[str]:
        recorder = Recorder(hub)
        fast = connect(hub, "127.0.0.1", recorder.server.port)
        usual = connect(hub, "127.0.0.1", recorder.server.port)
        hub.sleep(S // 10)
        fast.send(REQUEST % b"fast" * REQUESTS + LAST % b"fast")
        usual.send(LAST % b"usual")
        hub.spawn(lambda: read_all(fast), "reader")
        read_all(usual)
        hub.sleep(S)
        return recorder.answered

    answered = run(script)
    assert len(answered) == REQUESTS + 2
    assert answered.index("/usual") < 5


def test_requests_that_come_unasked_are_still_answered_in_order() -> None:
    def script(hub: Hub) -> list[str]:
        recorder = Recorder(hub)
        fast = connect(hub, "127.0.0.1", recorder.server.port)
        fast.send(b"".join(REQUEST % str(i).encode() for i in range(REQUESTS)) + LAST % b"last")
        read_all(fast)
        return recorder.answered

    assert run(script) == [f"/{i}" for i in range(REQUESTS)] + ["/last"]
