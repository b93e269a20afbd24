"""Sockets on the hub: resets, half-closed connections, slow readers, descriptor exhaustion."""

from __future__ import annotations

import os
import resource

import pytest

from wingbarrow.transport import Hub, Nursery, PeerGone, VirtualClock, connect, listen

S = 1_000_000


@pytest.fixture
def hub() -> Hub:
    return Hub(VirtualClock())


def test_a_half_closed_peer_still_gets_its_answer(hub: Hub) -> None:
    def main() -> bytes:
        def answer(stream):  # type: ignore[no-untyped-def]
            data = b""
            while part := stream.receive():
                data += part
            stream.send(data.upper())

        listener = listen(hub, "127.0.0.1", 0, print)
        hub.spawn(lambda: listener.serve(answer))
        stream = connect(hub, "127.0.0.1", listener.port)
        stream.send(b"half")
        stream.end_writing()
        return stream.receive()

    assert hub.run(main) == b"HALF"


def test_refused_and_reset_connections_differ_from_an_end_of_stream(hub: Hub) -> None:
    def main() -> None:
        listener = listen(hub, "127.0.0.1", 0, print)
        hub.spawn(lambda: listener.serve(lambda stream: stream.abort()))
        stream = connect(hub, "127.0.0.1", listener.port)
        with pytest.raises(PeerGone, match="ECONNRESET"):
            stream.receive()
        port = listener.port
        listener.close()
        with pytest.raises(PeerGone, match="ECONNREFUSED"):
            connect(hub, "127.0.0.1", port)

    hub.run(main)


def test_a_stalled_reader_blocks_only_its_writer(hub: Hub) -> None:
    def main() -> None:
        def flood(stream):  # type: ignore[no-untyped-def]
            with hub.limit(S) as scope:
                stream.send(b"x" * (64 << 20))
            ended.append(scope.caught)

        ended: list[bool] = []
        listener = listen(hub, "127.0.0.1", 0, print)
        hub.spawn(lambda: listener.serve(flood))
        stream = connect(hub, "127.0.0.1", listener.port)
        ticks = 0
        while not ended:
            hub.sleep(S // 10)
            ticks += 1
        assert ended == [True]
        assert ticks >= 9
        stream.close()

    hub.run(main)


def test_a_full_descriptor_table_stops_accepting_and_is_logged_once(hub: Hub) -> None:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    logged: list[str] = []

    def main() -> None:
        listener = listen(hub, "127.0.0.1", 0, logged.append)
        hub.spawn(lambda: listener.serve(lambda stream: stream.send(stream.receive())))
        first = connect(hub, "127.0.0.1", listener.port)
        second = connect(hub, "127.0.0.1", listener.port)
        hub.sleep(1)
        resource.setrlimit(
            resource.RLIMIT_NOFILE, (max(map(int, os.listdir("/proc/self/fd"))) + 3, hard)
        )
        filler = []
        try:
            while True:
                filler.append(os.dup(0))
        except OSError:
            pass
        os.close(filler.pop())
        # The client takes the last descriptor, so none is left to accept its connection.
        third = connect(hub, "127.0.0.1", listener.port)
        hub.sleep(S)
        assert listener.descriptor_exhaustions >= 5
        assert len(logged) == 1
        assert "Too many open files" in logged[0]
        second.send(b"still served")
        assert second.receive() == b"still served"
        third.send(b"waited")
        for fd in filler:
            os.close(fd)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        assert third.receive() == b"waited"
        assert logged[-1] == "accepting again"
        assert len(logged) == 2
        first.close()

    try:
        hub.run(main)
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def test_a_burst_of_connections_is_accepted_whole(hub: Hub) -> None:
    def main() -> None:
        listener = listen(hub, "127.0.0.1", 0, print)
        hub.spawn(lambda: listener.serve(lambda stream: stream.send(stream.receive())))
        answered = []

        def client() -> None:
            stream = connect(hub, "127.0.0.1", listener.port)
            stream.send(b"hi")
            answered.append(stream.receive())
            stream.close()

        with Nursery(hub) as nursery:
            for _ in range(300):
                nursery.spawn(client)
        assert answered == [b"hi"] * 300

    hub.run(main)


# Beside review/7: a reader whose scope was cancelled did not give way to others while its peer's bytes kept coming.
def test_a_cancelled_reader_lets_others_run_while_bytes_keep_coming() -> None:
    reads = 200

    def script(hub: Hub) -> None:
        listener = listen(hub, "127.0.0.1", 0, print)
        sender = connect(hub, "127.0.0.1", listener.port)
        stream = listener.accept()
        sender.send(b"x" * 1024 * reads)
        ticks = [0]

        def tick() -> None:
            while ticks[0] < 10 * reads:
                ticks[0] += 1
                hub.checkpoint()

        hub.spawn(tick, "others")
        with hub.limit(3600_000_000) as scope:
            scope.cancel()
            for _ in range(reads):
                assert stream.receive(1024)
        assert ticks[0] >= reads // 2 - 1

    hub = Hub(VirtualClock())
    hub.run(lambda: script(hub))
