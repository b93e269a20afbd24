"""Server and connection pool together: order, limits, slow peers, and the error for each failure."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from wingbarrow.http.client import FailureReason, MaybeDone, NotSent, Pool, PoolLimits
from wingbarrow.http.message import Limits, Request
from wingbarrow.http.server import Answer, ChunkWriter, Server, ServerLimits
from wingbarrow.transport import Hub, Nursery, PeerGone, Stream, VirtualClock, connect, listen

S = 1_000_000


def run(script: Callable[[Hub], Any]) -> Any:
    hub = Hub(VirtualClock())
    return hub.run(lambda: script(hub))


def echo(request: Request) -> Answer:
    return Answer(
        200, request.method.encode() + b" " + request.target.encode() + b" " + request.body
    )


def start_server(hub: Hub, handler: Callable[[Request], Answer] = echo, **limits: Any) -> Server:
    server = Server(hub, "127.0.0.1", 0, handler, lambda _: None, ServerLimits(**limits))
    hub.spawn(server.serve)
    return server


def read_all(stream: Stream) -> bytes:
    data = b""
    while part := stream.receive():
        data += part
    return data


def test_pipelined_requests_are_answered_in_order() -> None:
    def script(hub: Hub) -> bytes:
        stream = connect(hub, "127.0.0.1", start_server(hub).port)
        stream.send(
            b"".join(
                b"GET /%d HTTP/1.1\r\nHost: a\r\n%b\r\n" % (i, b"Connection: close\r\n" * (i == 9))
                for i in range(10)
            )
        )
        return read_all(stream)

    answers = run(script)
    assert [answers.index(b"GET /%d " % i) for i in range(10)] == sorted(
        answers.index(b"GET /%d " % i) for i in range(10)
    )


def test_100_continue_is_sent_only_to_clients_that_wait_for_it() -> None:
    def script(hub: Hub) -> bytes:
        stream = connect(hub, "127.0.0.1", start_server(hub).port)
        stream.send(
            b"PUT /a HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
        )
        first = stream.receive()
        assert first == b"HTTP/1.1 100 Continue\r\n\r\n"
        stream.send(b"ok")
        assert stream.receive().endswith(b"PUT /a ok")
        stream.send(
            b"PUT /a HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n"
            b"Connection: close\r\n\r\nok"
        )
        return read_all(stream)

    assert b"100 Continue" not in run(script)


def test_head_returns_the_content_length_without_a_body() -> None:
    def script(hub: Hub) -> None:
        pool = Pool(hub, "127.0.0.1", start_server(hub).port)
        for _ in range(3):
            response = pool.request("HEAD", "/abc")
            assert response.body == b""
            assert response.get("content-length") == "10"
        assert pool.request("GET", "/abc").body == b"GET /abc "

    run(script)


def test_a_bad_request_is_answered_and_the_connection_closed() -> None:
    def script(hub: Hub) -> bytes:
        stream = connect(hub, "127.0.0.1", start_server(hub).port)
        stream.send(b"GET / HTTP/1.1\r\nHost: a\r\nX : b\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n")
        return read_all(stream)

    answer = run(script)
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert answer.count(b"HTTP/1.1") == 1


def test_a_slow_client_times_out_while_others_are_served() -> None:
    def script(hub: Hub) -> None:
        server = start_server(hub)

        def slow() -> None:
            stream = connect(hub, "127.0.0.1", server.port)
            try:
                for byte in b"GET / HTTP/1.1\r\nHost: a\r\n\r\n":
                    stream.send(bytes([byte]))
                    hub.sleep(S)
                answers.append(stream.receive())
            except PeerGone:
                answers.append(b"gone")

        answers: list[bytes] = []
        pool = Pool(hub, "127.0.0.1", server.port)
        with Nursery(hub) as nursery:
            nursery.spawn(slow)
            for _ in range(20):
                assert pool.request("GET", "/").status == 200
                hub.sleep(S)
        assert answers[0].startswith(b"HTTP/1.1 408 ") or answers[0] == b"gone"

    run(script)


def test_a_client_that_does_not_read_is_disconnected_after_write_us() -> None:
    def script(hub: Hub) -> None:
        def flood(writer: ChunkWriter) -> None:
            while True:
                writer.write(b"x" * 65536)

        server = start_server(hub, lambda _: Answer(200, stream=flood), write_us=2 * S)
        stream = connect(hub, "127.0.0.1", server.port)
        stream.send(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        hub.sleep(5 * S)
        assert server.slow_readers == 1
        assert server.connections == 0
        stream.close()

    run(script)


def test_excess_connections_get_503_with_retry_after() -> None:
    def script(hub: Hub) -> None:
        server = start_server(hub, connections=2)
        held = [connect(hub, "127.0.0.1", server.port) for _ in range(2)]
        hub.sleep(1)
        third = connect(hub, "127.0.0.1", server.port)
        answer = read_all(third)
        assert answer.startswith(b"HTTP/1.1 503 ")
        assert b"Retry-After: 1" in answer
        held[0].send(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        assert held[0].receive().startswith(b"HTTP/1.1 200 ")

    run(script)


def test_a_failing_handler_answers_500_and_is_logged_once() -> None:
    logged: list[str] = []

    def broken(request: Request) -> Answer:
        raise RuntimeError("within")

    def script(hub: Hub) -> None:
        server = Server(hub, "127.0.0.1", 0, broken, logged.append)
        hub.spawn(server.serve)
        pool = Pool(hub, "127.0.0.1", server.port)
        assert [pool.request("GET", "/").status for _ in range(3)] == [500] * 3

    run(script)
    assert len(logged) == 1
    assert "RuntimeError" in logged[0]


def failing(
    behave: Callable[[Hub, Stream], None], limits: PoolLimits = PoolLimits()
) -> tuple[type, FailureReason]:
    def script(hub: Hub) -> tuple[type, FailureReason]:
        listener = listen(hub, "127.0.0.1", 0, print)
        hub.spawn(lambda: listener.serve(lambda stream: behave(hub, stream)))
        with pytest.raises((NotSent, MaybeDone)) as caught:
            Pool(hub, "127.0.0.1", listener.port, limits).request(
                "POST", "/", b"x", until_us=hub.now_us() + 5 * S
            )
        return caught.type, caught.value.reason

    found: tuple[type, FailureReason] = run(script)
    return found


def reset_at_once(hub: Hub, stream: Stream) -> None:
    stream.receive()
    stream.abort()


def end_at_once(hub: Hub, stream: Stream) -> None:
    stream.receive()


def half(hub: Hub, stream: Stream) -> None:
    stream.receive()
    stream.send(b"HTTP/1.1 201 Created\r\nContent-Le")
    stream.abort()


def half_body(hub: Hub, stream: Stream) -> None:
    stream.receive()
    stream.send(b"HTTP/1.1 201 Created\r\nContent-Length: 50\r\n\r\nabc")


def silent(hub: Hub, stream: Stream) -> None:
    hub.sleep(100 * S)


def silent_body(hub: Hub, stream: Stream) -> None:
    stream.receive()
    stream.send(b"HTTP/1.1 201 Created\r\nContent-Length: 50\r\n\r\nabc")
    hub.sleep(100 * S)


def garbage(hub: Hub, stream: Stream) -> None:
    stream.receive()
    stream.send(b"\x00\x01 nonsense\r\n\r\n")


@pytest.mark.parametrize(
    ("behave", "why"),
    [
        (reset_at_once, FailureReason.RESET_BEFORE),
        (end_at_once, FailureReason.RESET_BEFORE),
        (half, FailureReason.RESET_AFTER),
        (half_body, FailureReason.RESET_AFTER),
        (silent, FailureReason.SILENT),
        (silent_body, FailureReason.SILENT),
        (garbage, FailureReason.GARBAGE),
    ],
)
def test_requests_that_may_have_run_raise_maybe_done(
    behave: Callable[[Hub, Stream], None], why: FailureReason
) -> None:
    assert failing(behave) == (MaybeDone, why)


def test_requests_that_were_not_sent_raise_not_sent() -> None:
    def script(hub: Hub) -> None:
        listener = listen(hub, "127.0.0.1", 0, print)
        port = listener.port
        listener.close()
        with pytest.raises(NotSent) as caught:
            Pool(hub, "127.0.0.1", port).request("POST", "/", b"x")
        assert caught.value.reason is FailureReason.REFUSED
        served: list[bytes] = []
        server = start_server(hub, lambda request: served.append(request.body) or Answer(200))
        pool = Pool(hub, "127.0.0.1", server.port)
        with pytest.raises(NotSent) as caught:
            pool.request("POST", "/", b"x", may_send=lambda: False)
        assert caught.value.reason is FailureReason.WITHDRAWN
        hub.sleep(S)
        assert not served

    run(script)


def test_the_pool_is_bounded_and_waiters_that_time_out_were_never_sent() -> None:
    def script(hub: Hub) -> None:
        seen: list[str] = []

        def slow(request: Request) -> Answer:
            seen.append(request.target)
            hub.sleep(2 * S)
            return Answer(200)

        pool = Pool(
            hub, "127.0.0.1", start_server(hub, slow).port, PoolLimits(connections=2, waiting=1)
        )
        failed: list[FailureReason] = []

        def ask(target: str) -> None:
            try:
                pool.request("GET", target, until_us=hub.now_us() + S * 3 // 2)
            except (NotSent, MaybeDone) as error:
                failed.append(error.reason)

        with Nursery(hub) as nursery:
            for name in "abcd":
                nursery.spawn(lambda name=name: ask("/" + name))
        assert len(seen) == 2
        assert sorted(why.name for why in failed) == [
            "NO_TURN",
            "NO_TURN",
            "SILENT",
            "SILENT",
        ]

    run(script)


def test_a_connection_that_closed_while_idle_is_not_used_again() -> None:
    def script(hub: Hub) -> None:
        server = start_server(hub, idle_us=S)
        pool = Pool(hub, "127.0.0.1", server.port)
        for _ in range(3):
            assert pool.request("POST", "/", b"x").status == 200
            hub.sleep(3 * S)

    run(script)


def test_bodies_over_the_limit_are_refused_before_they_are_read() -> None:
    def script(hub: Hub) -> None:
        server = start_server(hub, message=Limits(body=1000))
        pool = Pool(hub, "127.0.0.1", server.port)
        assert pool.request("POST", "/", b"x" * 1000).status == 200
        assert pool.request("POST", "/", b"x" * 1001).status == 413

    run(script)
