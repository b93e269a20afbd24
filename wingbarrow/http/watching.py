"""The client side of list and watch: lists read page by page, watch events line by line."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from wingbarrow.http.client import FailureReason, MaybeDone, Pool
from wingbarrow.http.message import Response
from wingbarrow.kube.names import decode
from wingbarrow.kube.status import ApiError

_MAX_LINE_BYTES = 8 << 20
_MAX_PAGES = 1000


def read_answer(response: Response) -> dict[str, Any]:
    """The JSON object of a successful answer; raises ApiError for an error Status or an invalid body."""
    try:
        value = decode(response.body)
    except ValueError as error:
        raise ApiError(
            response.status if response.status >= 400 else 502,
            f"the answer is no JSON object: {error}",
        ) from None
    if response.status >= 400:
        raise as_error(value, response.status)
    return value


def as_error(status: dict[str, Any], code: int = 500) -> ApiError:
    """An ApiError from a Status object."""
    code_in_body = status.get("code")
    return ApiError(
        code_in_body if isinstance(code_in_body, int) else code,
        str(status.get("message", ""))[:500],
        str(status.get("reason", ""))[:100],
    )


def call(
    pool: Pool, method: str, target: str, body: bytes | None = None, until_us: int | None = None
) -> dict[str, Any]:
    """Exchange JSON objects in one request; raises CallFailed or ApiError."""
    fields = [("Accept", "application/json")]
    if body is not None:
        fields.append(("Content-Type", "application/json"))
    return read_answer(pool.request(method, target, body, fields, until_us))


def list_all(
    pool: Pool, path: str, query: str, limit: int, until_us: int
) -> tuple[list[dict[str, Any]], str]:
    """All items, page by page, and the list's resourceVersion; raises ApiError, CallFailed or ValueError."""
    items: list[dict[str, Any]] = []
    token = ""
    for _ in range(_MAX_PAGES):
        parts = [
            part for part in (query, f"limit={limit}", f"continue={token}" if token else "") if part
        ]
        value = call(pool, "GET", f"{path}?{'&'.join(parts)}", until_us=until_us)
        meta, page = value.get("metadata"), value.get("items")
        if not isinstance(meta, dict) or not isinstance(page, list):
            raise ValueError(f"the list at {path[:100]} has no metadata object or no items array")
        items += [item for item in page if isinstance(item, dict)]
        token = str(meta.get("continue") or "")
        if not token:
            return items, str(meta.get("resourceVersion") or "")
    raise ValueError(f"the list at {path[:100]} has more than {_MAX_PAGES} pages")


def watch(
    pool: Pool, target: str, until_us: int | None = None, silence_us: int | None = None
) -> Iterator[tuple[str, dict[str, Any]]]:
    """The events of one watch as (type, object), singly; see `watch_batches`."""
    batches = watch_batches(pool, target, until_us, silence_us)
    try:
        for batch in batches:
            yield from batch
    finally:
        batches.close()  # type: ignore[attr-defined]


def watch_batches(
    pool: Pool, target: str, until_us: int | None = None, silence_us: int | None = None
) -> Iterator[list[tuple[str, dict[str, Any]]]]:
    """The events of one watch as lists of (type, object), one list per part of the body received.

    Raises ApiError for an ERROR event or a refused watch, MaybeDone when the stream breaks, ValueError for an
    invalid event. `until_us` bounds the wait for the head of the answer, `silence_us` each wait for input.
    """
    response, parts = pool.stream(
        "GET", target, [("Accept", "application/json")], until_us, silence_us
    )
    if response.status != 200:
        body = b""
        for part in parts:
            body += part
            if len(body) > _MAX_LINE_BYTES:
                break
        response.body = body
        read_answer(response)
        raise ApiError(response.status, "an unexpected answer to a watch")
    rest = b""
    try:
        for part in parts:
            lines = (rest + part).split(b"\n")
            rest = lines.pop()
            if len(rest) > _MAX_LINE_BYTES:
                raise ValueError(f"a watch event is longer than {_MAX_LINE_BYTES} bytes")
            batch: list[tuple[str, dict[str, Any]]] = []
            for line in lines:
                value = decode(line)
                kind, item = value.get("type"), value.get("object")
                if not isinstance(kind, str) or not isinstance(item, dict):
                    raise ValueError("a watch event needs a string `type` and an object `object`")
                if kind == "ERROR":
                    if batch:
                        yield batch
                    raise as_error(item)
                batch.append((kind, item))
            if batch:
                yield batch
    finally:
        parts.close()  # type: ignore[attr-defined]
    if rest:
        raise MaybeDone(FailureReason.RESET_AFTER, "the watch ended inside an event")
