"""Requests as bytes on a connection of their own, and all that comes back until the server closes it."""

from __future__ import annotations

import json
from typing import Any

from tests.wire.golden import without_ports
from wingbarrow.transport import Hub, connect

S = 1_000_000


def exchange(hub: Hub, port: int, method: str, target: str, body: bytes | None = None) -> bytes:
    """The whole response, its head among it."""
    fields = [f"{method} {target} HTTP/1.1", "Host: placer", "Connection: close"]
    if body is not None:
        fields += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
    stream = connect(hub, "127.0.0.1", port)
    stream.send("\r\n".join([*fields, "", ""]).encode() + (body or b""))
    received = b""
    while data := stream.receive():
        received += data
    stream.close()
    return received


class Transcript:
    """Exchanges with placers one after another; `data` is what a golden file holds of them."""

    def __init__(self, hub: Hub) -> None:
        self._hub = hub
        self._parts: list[bytes] = []

    def ask(
        self,
        port: int,
        target: str,
        method: str = "GET",
        value: Any = None,
        *,
        note: str = "",
    ) -> bytes:
        """Send a request and write it down with its response; bytes as a value go as they are."""
        body = value if value is None or isinstance(value, bytes) else json.dumps(value).encode()
        response = exchange(self._hub, port, method, target, body)
        head = f"=== {method} {target}{f' ({note})' if note else ''}\n".encode()
        sent = b"" if body is None else body + b"\n"
        self._parts.append(head + sent + b"---\n" + without_ports(response) + b"\n")
        return response

    @property
    def data(self) -> bytes:
        return b"".join(self._parts)


def json_of(response: bytes) -> Any:
    """The body of a response that is not chunked."""
    return json.loads(response.partition(b"\r\n\r\n")[2])
