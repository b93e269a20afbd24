"""What the command line prints of a placer's answers, in JSON and for people.

A stand-in answers with the bodies recorded for the REST front, so that no clock and no chance is in what is printed.
"""

from __future__ import annotations

import threading
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest
from click.testing import CliRunner

from tests.wire.golden import FOLDER, assert_golden
from wingbarrow.cli.main import main

API = "/apis/wingbarrow.io/v1"
JOBS = "/apis/batch/v1/namespaces/default/jobs"
# For each path the file and the request, as its transcript names it, whose answer the stand-in gives.
ANSWERS = {
    f"{API}/rules": ("agreed", f"{API}/rules (changed)"),
    f"{API}/limits": ("agreed", f"{API}/limits (leader)"),
    f"{API}/verdicts": ("verdicts", f"{API}/verdicts (leader)"),
    f"{API}/turns": ("turns", f"{API}/turns (out)"),
    f"{API}/drains": ("drains", f"{API}/drains"),
    "/apis/batch/v1/jobs": ("objects", f"{JOBS} (all)"),
    f"{JOBS}/done": ("objects", f"{JOBS}/done (after 4 s)"),
    "/api/v1/nodes": ("objects", "/api/v1/nodes"),
    "/api/v1/nodes/node-0": ("objects", "/api/v1/nodes/node-0"),
    "/api/v1/events": ("objects", "/api/v1/events"),
}


def recorded(name: str, request: str) -> bytes:
    """The body of a recorded answer; each port in it is 1."""
    transcript = (FOLDER / "rest" / f"{name}.txt").read_bytes()
    exchange = transcript.partition(b"=== GET %b\n---\n" % request.encode())[2]
    body = exchange.partition(b"\r\n\r\n")[2].partition(b"\n=== ")[0]
    assert body, f"{request} is not in {name}.txt"
    return body.rstrip(b"\n").replace(b":PORT", b":1")


class StandIn(BaseHTTPRequestHandler):
    """Answers GETs from `bodies`, whatever their query."""

    protocol_version = "HTTP/1.1"
    bodies: dict[str, bytes]

    def do_GET(self) -> None:
        body = self.bodies.get(self.path.partition("?")[0], b"{}")
        self.send_response(200)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format: str, *args: object) -> None:
        pass


@pytest.fixture
def url() -> Iterator[str]:
    bodies = {path: recorded(*answer) for path, answer in ANSWERS.items()}
    handler = type("Recorded", (StandIn,), {"bodies": bodies})
    server = ThreadingHTTPServer(("127.0.0.1", 0), handler)
    thread = threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.01})
    thread.start()
    yield f"http://127.0.0.1:{server.server_address[1]}"
    server.shutdown()
    thread.join()
    server.server_close()


COMMANDS = {
    "rules": (
        ("rules", "status", "--json"),
        ("rules", "status"),
        ("rules", "history"),
        ("rules", "diff", "1", "2"),
        ("rules", "diff", "2", "1"),
        ("rules", "diff", "1", "9"),
    ),
    "get": (
        ("get", "jobs", "--json"),
        ("get", "jobs", "done", "--json"),
        ("get", "jobs"),
        ("get", "nodes", "--json"),
        ("get", "nodes", "node-0", "--json"),
        ("get", "nodes"),
        ("get", "events", "--json"),
        ("get", "events"),
    ),
    "fleet": (
        ("fleet", "limits", "--json"),
        ("fleet", "limits"),
        ("fleet", "verdicts", "--json"),
        ("fleet", "verdicts"),
        ("fleet", "verdicts", "--why", "node-3"),
    ),
    "turns": (("turns", "list"),),
    "drains": (("drains", "status"),),
}


@pytest.mark.parametrize("group", COMMANDS)
def test_what_a_command_prints(group: str, url: str) -> None:
    printed = []
    for words in COMMANDS[group]:
        done = CliRunner().invoke(main, [*words, "--url", url])
        printed.append(f"$ {' '.join(words)}\n{done.output}exit {done.exit_code}\n")
    assert_golden(f"cli/{group}.txt", "".join(printed).encode())
