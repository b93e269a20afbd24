"""What many clients may hold together: unfinished requests, and answers that they do not take."""

from __future__ import annotations

from typing import Any

from tests.http.test_exchange import S, echo, read_all, run
from wingbarrow.decide.buffer_budget import BufferBudget
from wingbarrow.http.message import Request
from wingbarrow.http.server import Answer, Connection, Server, ServerLimits
from wingbarrow.transport import Hub, Stream, connect

KIB = 1024
BUDGET_BYTES = 256 * KIB
GET = b"GET /%s HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"


def start(hub: Hub, handler: Any = echo) -> tuple[Server, BufferBudget[Connection]]:
    budget = BufferBudget[Connection](BUDGET_BYTES)
    server = Server(hub, "127.0.0.1", 0, handler, lambda _: None, ServerLimits(), buffers=budget)
    hub.spawn(server.serve)
    return server, budget


def stop_half_way(hub: Hub, server: Server, body_bytes: int) -> Stream:
    """A client that sends half of what it has announced."""
    stream = connect(hub, "127.0.0.1", server.port)
    head = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % (2 * body_bytes)
    stream.send(head + b"x" * body_bytes)
    hub.sleep(S // 100)
    return stream


# Picture (a) of issue 71: each of 400 bodies of 500 KB that stopped half way was kept for 10 s.
def test_requests_that_stop_half_way_hold_no_more_than_the_budget_together() -> None:
    def script(hub: Hub) -> None:
        server, budget = start(hub)
        most = 0
        clients = []
        for number in range(40):
            clients.append(stop_half_way(hub, server, (16 + number) * KIB))
            most = max(most, budget.held_bytes)
        assert BUDGET_BYTES // 2 < most <= BUDGET_BYTES
        assert server.over_budget > 20
        usual = connect(hub, "127.0.0.1", server.port)
        usual.send(GET % b"usual")
        assert b" 200 " in read_all(usual)
        refused = [client for client in clients if not client.is_quiet()]
        assert len(refused) == server.over_budget
        assert refused[0].receive().startswith(b"HTTP/1.1 429 ")

    run(script)


def test_the_largest_is_refused_and_a_smaller_one_goes_on() -> None:
    def script(hub: Hub) -> None:
        server, _ = start(hub)
        small = stop_half_way(hub, server, 4 * KIB)
        large = [stop_half_way(hub, server, 100 * KIB) for _ in range(3)]
        assert [client.is_quiet() for client in large].count(False) == 1
        small.send(b"x" * 4 * KIB)
        assert small.receive().startswith(b"HTTP/1.1 200 ")

    run(script)


def test_a_body_of_many_small_chunks_costs_what_it_holds() -> None:
    def script(hub: Hub) -> None:
        server, budget = start(hub)
        stream = connect(hub, "127.0.0.1", server.port)
        stream.send(b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
        stream.send(b"1\r\nx\r\n" * 50_000)
        hub.sleep(S // 10)
        assert 50_000 <= budget.held_bytes <= 50_000 + 64 * KIB
        stream.send(b"0\r\n\r\n")
        assert b" 200 " in stream.receive()
        assert budget.held_bytes == 0

    run(script)


def test_a_client_that_does_not_take_its_answer_gives_way_to_the_next_and_nobody_waits() -> None:
    large = b"x" * (40 << 20)  # more than the sockets of one connection can hold

    def answer(request: Request) -> Answer:
        return Answer(200, b"ok" if request.target == "/usual" else large)

    def ask(hub: Hub, server: Server, target: bytes) -> Stream:
        stream = connect(hub, "127.0.0.1", server.port)
        stream.send(GET % target)
        hub.sleep(S // 100)
        return stream

    def script(hub: Hub) -> None:
        server, budget = start(hub, answer)
        slow = []
        for number in range(3):
            slow.append(ask(hub, server, b"slow"))
            assert budget.held_bytes <= len(large) + 1024
            assert server.over_budget == number
            assert b" 200 " in read_all(ask(hub, server, b"usual"))
        reader = ask(hub, server, b"large")
        while reader.receive():
            pass
        assert reader.bytes_in > len(large)
        assert budget.held_bytes == 0

    run(script)
