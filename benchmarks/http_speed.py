"""HTTP figures in one run: the server beside gevent.pywsgi, the parser beside h11, memory of an idle watcher.

    python -m benchmarks.http_speed

Both servers run in processes of their own and answer the same bytes to the same client, in turns; the ratio of
each pair is what counts, absolute figures drift with the machine.
"""

from __future__ import annotations

import json
import multiprocessing
import os
import platform
import socket
import statistics
import sys
import time
from collections.abc import Callable
from multiprocessing.connection import Connection
from multiprocessing.process import BaseProcess

BODY = b'{"kind":"Status","apiVersion":"v1","status":"Success"}'
REQUEST = (
    b"POST /apis/batch/v1/namespaces/default/jobs HTTP/1.1\r\nHost: 127.0.0.1:8080\r\nAccept: */*\r\n"
    b"User-Agent: benchmark\r\nContent-Type: application/json\r\nContent-Length: 64\r\n\r\n"
    + b"x"
    * 64
)
ROUNDS, CONNECTIONS, SECONDS = 7, 32, 1.5


def ours(pipe: Connection) -> None:
    from wingbarrow.http.server import Answer, Server
    from wingbarrow.transport import Hub

    hub = Hub()

    def main() -> None:
        server = Server(hub, "127.0.0.1", 0, lambda request: Answer(200, BODY), print)
        pipe.send(server.port)
        server.serve()

    hub.run(main)


def pywsgi(pipe: Connection) -> None:
    from gevent.pywsgi import WSGIServer

    def app(environ: dict, start_response: object) -> list[bytes]:  # type: ignore[type-arg]
        environ["wsgi.input"].read()
        start_response(
            "200 OK",
            [
                ("Content-Type", "application/json"),  # type: ignore[operator]
                ("Content-Length", str(len(BODY))),
            ],
        )
        return [BODY]

    server = WSGIServer(("127.0.0.1", 0), app, log=None, error_log=None)
    server.init_socket()
    # Accepted sockets inherit it; without it each answer waits 40 ms for a delayed acknowledgement.
    server.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    server.start()
    pipe.send(server.server_port)
    server.serve_forever()


def drive(port: int, seconds: float, connections: int) -> float:
    """Requests a second over kept connections, one outstanding on each."""
    import select

    socks = [socket.create_connection(("127.0.0.1", port)) for _ in range(connections)]
    poller, by_fd, done = select.poll(), {}, 0
    for sock in socks:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        poller.register(sock, select.POLLIN)
        by_fd[sock.fileno()] = sock
        sock.sendall(REQUEST)
    begun = time.perf_counter()
    while time.perf_counter() - begun < seconds:
        for fd, _ in poller.poll(1000):
            if by_fd[fd].recv(65536).endswith(BODY):
                done += 1
                by_fd[fd].sendall(REQUEST)
    took = time.perf_counter() - begun
    for sock in socks:
        sock.close()
    return done / took


def started(target: Callable[[Connection], None]) -> tuple[BaseProcess, int]:
    here, there = multiprocessing.Pipe()
    process = multiprocessing.get_context("fork").Process(target=target, args=(there,), daemon=True)
    process.start()
    port: int = here.recv()
    return process, port


def servers() -> dict[str, object]:
    pairs = []
    first, our_port = started(ours)
    second, their_port = started(pywsgi)
    for port in (our_port, their_port):
        drive(port, 0.5, CONNECTIONS)
    for _ in range(ROUNDS):
        pairs.append(
            (drive(our_port, SECONDS, CONNECTIONS), drive(their_port, SECONDS, CONNECTIONS))
        )
    first.kill()
    second.kill()
    ratios = sorted(a / b for a, b in pairs)
    return {
        "ours_per_s": round(statistics.median(a for a, _ in pairs)),
        "gevent_pywsgi_per_s": round(statistics.median(b for _, b in pairs)),
        "ratio_median": round(statistics.median(ratios), 2),
        "ratio_min": round(ratios[0], 2),
        "ratio_max": round(ratios[-1], 2),
    }


def parsers() -> dict[str, object]:
    import h11

    from wingbarrow.http.message import END
    from wingbarrow.http.parse import Parser

    def with_h11(count: int) -> float:
        begun = time.perf_counter()
        answer = [
            h11.Response(status_code=200, headers=[("content-length", "0")]),
            h11.EndOfMessage(),
        ]
        connection = h11.Connection(h11.SERVER)
        spent = 0.0
        for _ in range(count):
            connection.receive_data(REQUEST)
            while type(connection.next_event()) is not h11.EndOfMessage:
                pass
            mark = time.perf_counter()  # h11 must answer before it goes on: that is not counted
            for event in answer:
                connection.send(event)
            connection.start_next_cycle()
            spent += time.perf_counter() - mark
        return count / (time.perf_counter() - begun - spent)

    def with_ours(count: int) -> float:
        begun = time.perf_counter()
        parser = Parser(True)
        for _ in range(count):
            parser.feed(REQUEST)
            while parser.next() is not END:
                pass
        return count / (time.perf_counter() - begun)

    pairs = [(with_ours(20_000), with_h11(5_000)) for _ in range(ROUNDS)]
    ratios = sorted(a / b for a, b in pairs)
    return {
        "ours_per_s": round(statistics.median(a for a, _ in pairs)),
        "h11_per_s": round(statistics.median(b for _, b in pairs)),
        "ratio_median": round(statistics.median(ratios), 2),
        "ratio_min": round(ratios[0], 2),
        "ratio_max": round(ratios[-1], 2),
    }


def watcher_memory(count: int = 1000) -> dict[str, object]:
    """Growth of the process by so many idle watchers, of which each has a connection at both ends in it."""
    import resource

    from wingbarrow.http.listwatch import ListWatch, Query
    from wingbarrow.http.server import Server
    from wingbarrow.kube.store import Store
    from wingbarrow.transport import Hub, connect

    resource.setrlimit(resource.RLIMIT_NOFILE, (8192, 8192))

    def resident() -> int:
        with open("/proc/self/statm") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")

    hub = Hub()

    def main() -> float:
        store = Store(1, 1000)
        view = ListWatch(hub, store, store.collection("things"), "Thing", "v1", 4096)
        server = Server(
            hub,
            "127.0.0.1",
            0,
            lambda r: view.list_or_watch(Query(r.target.partition("?")[2]), ""),
            print,
        )
        hub.spawn(server.serve)
        streams = []

        def add(many: int) -> None:
            for _ in range(many):
                stream = connect(hub, "127.0.0.1", server.port)
                stream.send(b"GET /?watch=true HTTP/1.1\r\nHost: a\r\n\r\n")
                stream.receive()
                streams.append(stream)

        add(200)
        before = resident()
        add(count)
        grown = (resident() - before) / count
        assert view.watchers == count + 200
        return grown

    return {"bytes_per_idle_watcher": round(hub.run(main)), "watchers": count}


def main() -> None:
    figures = {
        "machine": f"{os.cpu_count()} cores, {platform.machine()}, Python {platform.python_version()}",
        "server": servers(),
        "parser": parsers(),
        "watchers": watcher_memory(),
    }
    json.dump(figures, sys.stdout, indent=1)
    print()


if __name__ == "__main__":
    main()
