"""Get, list and watch of a store's collections over HTTP (Kubernetes API concepts); for fronts and simulations."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs

from wingbarrow.http.server import Answer, ChunkWriter
from wingbarrow.kube import selectors
from wingbarrow.kube.names import encode
from wingbarrow.kube.status import ApiError, Cause, invalid, not_found
from wingbarrow.kube.store import (
    Collection,
    Page,
    Store,
    Stored,
    event_line,
    matcher,
    parse_version,
    watch_lines,
)
from wingbarrow.transport import Hub, PeerGone, Signal

SECOND = 1_000_000
_MAX_BATCH = 256  # changes per write to a watcher
_IDLE_CHECK_US = 5 * SECOND  # how often an idle watch checks that its client is still connected
_TRUE = ("1", "true", "True", "")


class Query:
    """The query parameters of a request; raises ApiError 400 for invalid ones."""

    def __init__(self, text: str) -> None:
        try:
            self._values = parse_qs(text, keep_blank_values=True, max_num_fields=50)
        except ValueError as error:
            raise ApiError(400, f"the query cannot be read: {error}") from None

    def get(self, name: str) -> str | None:
        """The last value of a parameter; None if it is not given."""
        values = self._values.get(name)
        return values[-1] if values else None

    def flag(self, name: str) -> bool:
        """Whether a parameter is given and true."""
        value = self.get(name)
        return value is not None and value in _TRUE

    def integer(self, name: str, maximum: int) -> int | None:
        """An integer of 0 to `maximum`; larger ones become `maximum`; None if not given; raises ApiError 400."""
        value = self.get(name)
        if value is None or value == "":
            return None
        if not value.isascii() or not value.isdigit() or len(value) > 18:
            raise ApiError(400, f"{name}: not a whole number: {value[:40]!r}")
        return min(int(value), maximum)


class ListWatch:
    """Serves one collection as a resource; `kind` and `api_version` are those of its objects."""

    def __init__(
        self,
        hub: Hub,
        store: Store,
        collection: Collection,
        kind: str,
        api_version: str,
        max_watchers: int,
        seed: int = 0,
    ) -> None:
        self._hub = hub
        self._store = store
        self._collection = collection
        self._kind, self._api_version = kind, api_version
        self._changed = Signal(hub)
        collection.changed.append(self._changed.notify)
        self._max_watchers = max_watchers
        self._random = random.Random(seed)
        self.watchers = 0
        self.fell_behind = 0
        # Called after each write to a watcher, with its user agent: simulated sources record what they sent.
        self.on_write: Callable[[str, bytes], None] | None = None
        # Called before each write; simulated sources inject faults: it may write a part, wait, or raise PeerGone.
        self.before_write: Callable[[str, ChunkWriter, bytes], None] | None = None

    def get(self, key: str) -> Answer:
        """One object; raises ApiError 404 where there is none."""
        stored = self._collection.objects.get(key)
        if stored is None:
            raise not_found(self._kind, key.rpartition("/")[2])
        return Answer(200, stored.raw)

    def list_or_watch(self, query: Query, prefix: str, agent: str = "") -> Answer:
        """The list, or with `watch` the stream of changes; `prefix` is `namespace/` or empty. Raises ApiError."""
        match = matcher(
            selectors.labels(query.get("labelSelector") or ""),
            selectors.fields(query.get("fieldSelector") or "", self._fields()),
        )
        if query.get("watch") is not None and query.flag("watch"):
            return self._watch(query, prefix, match, agent)
        limit, token = query.integer("limit", 1 << 31) or 0, query.get("continue")
        exact = parse_version(query.get("resourceVersion"))
        match_rule = query.get("resourceVersionMatch")
        if match_rule not in (None, "", "Exact", "NotOlderThan"):
            raise ApiError(
                400, f"resourceVersionMatch: unknown: {match_rule[:40]!r}" if match_rule else ""
            )
        if match_rule and not exact and match_rule == "Exact":
            raise ApiError(400, "resourceVersionMatch Exact needs a resourceVersion above 0")
        if exact is not None and exact > self._store.version:
            raise _too_large(exact, self._store.version)
        page = self._collection.page(
            prefix, match, limit, token, exact if match_rule == "Exact" else None
        )
        return Answer(200, self._list(page))

    def _fields(self) -> frozenset[str]:
        return frozenset(
            (
                "metadata.name",
                "metadata.namespace",
                "spec.unschedulable",
                "status.successful",
                "involvedObject.name",
                "involvedObject.kind",
                "reason",
                "type",
            )
        )

    def _list(self, page: Page) -> bytes:
        meta: dict[str, Any] = {"resourceVersion": str(page.version)}
        if page.more:
            meta |= {"continue": page.more, "remainingItemCount": page.remaining}
        head = b'{"kind":"%bList","apiVersion":"%b","metadata":%b,"items":[' % (
            self._kind.encode(),
            self._api_version.encode(),
            encode(meta),
        )
        return head + b",".join(stored.raw for stored in page.items) + b"]}"

    def _watch(
        self, query: Query, prefix: str, match: Callable[[Stored], bool], agent: str
    ) -> Answer:
        if self.watchers >= self._max_watchers:
            raise ApiError(429, f"more than {self._max_watchers} watches", retry_after_s=1)
        version = parse_version(query.get("resourceVersion"))
        asked = query.get("sendInitialEvents")
        bookmarks = query.flag("allowWatchBookmarks")
        match_rule = query.get("resourceVersionMatch")
        if asked is not None and match_rule != "NotOlderThan":
            raise invalid(
                "ListOptions",
                "",
                [
                    Cause(
                        "resourceVersionMatch",
                        "FieldValueForbidden",
                        "sendInitialEvents needs NotOlderThan",
                    )
                ],
            )
        if asked is None and match_rule:
            raise invalid(
                "ListOptions",
                "",
                [
                    Cause(
                        "resourceVersionMatch",
                        "FieldValueForbidden",
                        "forbidden for watch without sendInitialEvents",
                    )
                ],
            )
        if asked is not None and query.flag("sendInitialEvents") and not bookmarks:
            raise invalid(
                "ListOptions",
                "",
                [
                    Cause(
                        "allowWatchBookmarks",
                        "FieldValueInvalid",
                        "sendInitialEvents needs bookmarks",
                    )
                ],
            )
        if version is not None and version > self._store.version:
            raise _too_large(version, self._store.version)
        initial = query.flag("sendInitialEvents") if asked is not None else not version
        seconds = query.integer("timeoutSeconds", 86_400) or self._random.randint(1800, 3600)
        position = (
            self._collection.end if initial or not version else self._collection.position(version)
        )
        first: list[bytes] = []
        if initial:
            page = self._collection.page(prefix, match, 0, None, None)
            first = [event_line(b"ADDED", stored.raw) for stored in page.items]
            if asked is not None:
                first.append(self._bookmark(self._store.version, True))
        until_us = self._hub.now_us() + seconds * SECOND

        def stream(writer: ChunkWriter) -> None:
            self.watchers += 1
            self._hub.current().urgent = True  # it is cheap, and delivers answers that are due
            try:
                if first:
                    self._write(writer, b"".join(first), agent)
                first.clear()
                self._follow(writer, prefix, match, position, until_us, bookmarks, agent)
            except ApiError as error:
                self.fell_behind += 1
                self._write(writer, event_line(b"ERROR", encode(error.status())), agent)
            finally:
                self._hub.current().urgent = False
                self.watchers -= 1

        return Answer(200, stream=stream)

    def _follow(
        self,
        writer: ChunkWriter,
        prefix: str,
        match: Callable[[Stored], bool],
        position: int,
        until_us: int,
        bookmarks: bool,
        agent: str,
    ) -> None:
        bookmark_version, bookmark_due_us = (
            self._store.version,
            self._hub.now_us() + 2 * _IDLE_CHECK_US,
        )
        while True:
            changes = self._collection.changes(position, _MAX_BATCH)
            if changes:
                position += len(changes)
                data = b"".join(watch_lines(changes, prefix, match))
                if data:
                    self._write(writer, data, agent)
                continue
            now = self._hub.now_us()
            if now >= until_us or writer.gone:
                return
            if bookmarks and now >= bookmark_due_us:
                bookmark_due_us = now + 2 * _IDLE_CHECK_US
                if self._store.version != bookmark_version:
                    bookmark_version = self._store.version
                    self._write(writer, self._bookmark(bookmark_version, False), agent)
                    continue
            with self._hub.limit(min(_IDLE_CHECK_US, until_us - now)):
                self._changed.wait()

    def _write(self, writer: ChunkWriter, data: bytes, agent: str) -> None:
        if self.before_write is not None:
            self.before_write(agent, writer, data)
        writer.write(data)
        if self.on_write is not None:
            self.on_write(agent, data)

    def _bookmark(self, version: int, initial_end: bool) -> bytes:
        meta: dict[str, Any] = {"resourceVersion": str(version), "creationTimestamp": None}
        if initial_end:
            meta["annotations"] = {"k8s.io/initial-events-end": "true"}
        return event_line(
            b"BOOKMARK",
            encode({"kind": self._kind, "apiVersion": self._api_version, "metadata": meta}),
        )


def _too_large(version: int, current: int) -> ApiError:
    return ApiError(
        504,
        f"Too large resource version: {version}, current: {current}",
        "Timeout",
        [Cause("", "ResourceVersionTooLarge", "Too large resource version")],
        retry_after_s=1,
    )


def error_answer(error: ApiError) -> Answer:
    """The HTTP answer for an ApiError: its Status, with Retry-After where it has one."""
    fields = [] if error.retry_after_s is None else [("Retry-After", str(error.retry_after_s))]
    return Answer(error.code, encode(error.status()), fields)


__all__ = ["ListWatch", "PeerGone", "Query", "error_answer"]
