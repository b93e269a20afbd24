"""Serializes HTTP/1.1 requests, responses and chunks to bytes (RFC 9112); no I/O."""

from __future__ import annotations

PHRASES = {
    100: "Continue",
    200: "OK",
    201: "Created",
    202: "Accepted",
    204: "No Content",
    400: "Bad Request",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    406: "Not Acceptable",
    408: "Request Timeout",
    409: "Conflict",
    410: "Gone",
    411: "Length Required",
    413: "Content Too Large",
    414: "URI Too Long",
    415: "Unsupported Media Type",
    417: "Expectation Failed",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    503: "Service Unavailable",
    504: "Gateway Timeout",
    505: "HTTP Version Not Supported",
}


def write_request(
    method: str, target: str, host: str, fields: list[tuple[str, str]], body: bytes | None
) -> bytes:
    """A whole request; Content-Length is added when `body` is not None."""
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {host}",
        *(f"{name}: {value}" for name, value in fields),
    ]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + (body or b"")


def write_response(
    status: int,
    fields: list[tuple[str, str]],
    body: bytes | None,
    keep_alive: bool,
    head_only: bool = False,
) -> bytes:
    """A whole response, or with `body` None the head of a chunked one; `head_only` omits the body."""
    lines = [
        f"HTTP/1.1 {status} {PHRASES.get(status, '')}",
        *(f"{name}: {value}" for name, value in fields),
    ]
    if body is None:
        lines.append("Transfer-Encoding: chunked")
    elif status >= 200 and status != 204:
        lines.append(f"Content-Length: {len(body)}")
    if not keep_alive:
        lines.append("Connection: close")
    head = "\r\n".join([*lines, "", ""]).encode("latin-1")
    return head if head_only or not body else head + body


def write_chunk(data: bytes) -> bytes:
    """One chunk (RFC 9112, 7.1); b"" for empty data, since an empty chunk would end the body."""
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""


LAST_CHUNK = b"0\r\n\r\n"
