"""Objects with resourceVersions, and one bounded window of changes that all watchers share; no I/O.

See Kubernetes API concepts, "Efficient detection of changes". Each object is encoded once, when it changes. A
watcher is only a position in the window; the store keeps no state for it.
"""

from __future__ import annotations

import base64
import binascii
from collections import deque
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

from wingbarrow.kube.selectors import Predicate
from wingbarrow.kube.status import ApiError, expired

_encode = msgspec.json.Encoder().encode
_CONTINUE: msgspec.json.Decoder[tuple[int, str]] = msgspec.json.Decoder(tuple[int, str])


@dataclass(frozen=True, slots=True, eq=False)
class Stored:
    """An object as of one version."""

    key: str  # "namespace/name", or the name alone
    version: int
    value: dict[str, Any]
    raw: bytes
    labels: Mapping[str, str]
    fields: Mapping[str, str]


@dataclass(frozen=True, slots=True, eq=False)
class Change:
    """An entry of the window; `now` is None for a deletion, `before` for an addition."""

    version: int
    key: str
    now: Stored | None
    before: Stored | None
    last: Stored  # the object in a DELETED event


@dataclass(frozen=True, slots=True)
class Page:
    """Part of a list as of one version; `more` is the continue token, None on the last page."""

    version: int
    items: list[Stored]
    more: str | None
    remaining: int


class Collection:
    """The objects of one resource and the window of their changes; `select` extracts the selectable fields."""

    def __init__(self, store: Store, select: Callable[[dict[str, Any]], Mapping[str, str]]) -> None:
        self._store = store
        self._select = select
        self.objects: dict[str, Stored] = {}
        self.window: deque[Change] = deque()
        self.first = 0  # position of the window's first change
        self.floor = store.version  # the window has all changes after this version
        self.changed: list[Callable[[], None]] = []

    @property
    def end(self) -> int:
        """The position after the window's last change."""
        return self.first + len(self.window)

    def put(self, key: str, value: dict[str, Any]) -> Stored:
        """Add or replace an object; sets the resourceVersion in `value`."""
        version = self._store.advance()
        value["metadata"]["resourceVersion"] = str(version)
        labels = value["metadata"].get("labels") or {}
        stored = Stored(key, version, value, _encode(value), dict(labels), self._select(value))
        before = self.objects.get(key)
        self.objects[key] = stored
        self._append(Change(version, key, stored, before, stored))
        return stored

    def delete(self, key: str) -> Stored | None:
        """Remove an object and return it with the version of its removal; None if there is none."""
        before = self.objects.pop(key, None)
        if before is None:
            return None
        version = self._store.advance()
        value = {
            **before.value,
            "metadata": {**before.value["metadata"], "resourceVersion": str(version)},
        }
        last = Stored(key, version, value, _encode(value), before.labels, before.fields)
        self._append(Change(version, key, None, before, last))
        return last

    def _append(self, change: Change) -> None:
        self.window.append(change)
        if len(self.window) > self._store.max_window:
            self.floor = self.window.popleft().version
            self.first += 1
        for call in self.changed:
            call()

    def position(self, version: int) -> int:
        """The position of the first change after a version; raises ApiError 410 if that left the window."""
        if version < self.floor:
            raise expired(f"too old resource version: {version} ({self.floor})")
        index = len(self.window)
        while index and self.window[index - 1].version > version:
            index -= 1
        return self.first + index

    def changes(self, position: int, limit: int) -> list[Change]:
        """Up to `limit` changes from a position on; raises ApiError 410 if they have left the window."""
        if position < self.first:
            raise expired("this watch fell behind the kept window of changes; list again")
        window, index = self.window, position - self.first
        return [window[i] for i in range(index, min(len(window), index + limit))]

    def page(
        self,
        prefix: str,
        match: Callable[[Stored], bool],
        limit: int,
        token: str | None,
        exact: int | None,
    ) -> Page:
        """Objects whose key starts with `prefix`, sorted by key; all pages of a list show one version.

        Raises ApiError 400 for an invalid token, 410 for a version past the window, 504 for one not reached yet.
        """
        version, after = self._store.version, ""
        if token:
            try:
                version, after = _CONTINUE.decode(base64.urlsafe_b64decode(token.encode()))
            except (msgspec.MsgspecError, binascii.Error, ValueError):
                raise ApiError(400, "continue key is not valid", "BadRequest") from None
        elif exact is not None:
            version = exact
        if version > self._store.version:
            raise ApiError(
                504,
                f"Too large resource version: {version}, current: {self._store.version}",
                "Timeout",
            )
        objects = self._as_of(version)
        keys = sorted(key for key in objects if key.startswith(prefix) and key > after)
        found = [objects[key] for key in keys if match(objects[key])]
        part = found[:limit] if limit else found
        more = None
        if len(part) < len(found):
            more = base64.urlsafe_b64encode(_encode((version, part[-1].key))).decode()
        return Page(version, part, more, len(found) - len(part))

    def _as_of(self, version: int) -> dict[str, Stored]:
        if version >= self._store.version or not self.window or version >= self.window[-1].version:
            return self.objects
        if version < self.floor:
            raise expired(
                f"The provided continue parameter is too old to list from: {version} ({self.floor})"
            )
        objects = dict(self.objects)
        for change in reversed(self.window):
            if change.version <= version:
                break
            if change.before is None:
                objects.pop(change.key, None)
            else:
                objects[change.key] = change.before
        return objects


class Store:
    """Collections under one counter of versions.

    `first_version` must exceed every version of an earlier incarnation (the wall clock at the start does), so that
    clients which outlive a restart get 410 and list again. `max_window` is the window's length in changes.
    """

    def __init__(self, first_version: int, max_window: int) -> None:
        self.version = first_version
        self.max_window = max_window
        self.collections: dict[str, Collection] = {}

    def advance(self) -> int:
        """Increment the version and return it."""
        self.version += 1
        return self.version

    def collection(
        self, name: str, select: Callable[[dict[str, Any]], Mapping[str, str]] | None = None
    ) -> Collection:
        """The collection of a name, created at the first call."""
        if name not in self.collections:
            self.collections[name] = Collection(self, select or _metadata)
        return self.collections[name]


def _metadata(value: dict[str, Any]) -> dict[str, str]:
    metadata = value["metadata"]
    out = {"metadata.name": str(metadata.get("name", ""))}
    if "namespace" in metadata:
        out["metadata.namespace"] = str(metadata["namespace"])
    return out


def parse_version(text: str | None) -> int | None:
    """Parse a resourceVersion; None if unset; raises ApiError 400 if it is not a decimal of at most 19 digits."""
    if text is None or text == "":
        return None
    if not text.isascii() or not text.isdigit() or len(text) > 19:
        raise ApiError(400, f"invalid resource version: {text[:40]!r}", "BadRequest")
    return int(text)


def matcher(label: Predicate | None, field: Predicate | None) -> Callable[[Stored], bool]:
    """One predicate on stored objects from both kinds of selector; None matches everything."""
    return lambda stored: (label is None or label(stored.labels)) and (
        field is None or field(stored.fields)
    )


def watch_lines(
    changes: list[Change], prefix: str, match: Callable[[Stored], bool]
) -> Iterator[bytes]:
    """The watch events of some changes for a client with this prefix and predicate, one line each.

    An object that stops matching is reported as DELETED, one that starts matching as ADDED.
    """
    for change in changes:
        if not change.key.startswith(prefix):
            continue
        was = change.before is not None and match(change.before)
        if change.now is not None and match(change.now):
            yield event_line(b"MODIFIED" if was else b"ADDED", change.now.raw)
        elif was:
            yield event_line(b"DELETED", change.last.raw if change.now is None else change.now.raw)


def event_line(kind: bytes, raw: bytes) -> bytes:
    """One watch event as a line of JSON; `raw` is the encoded object."""
    return b'{"type":"%b","object":%b}\n' % (kind, raw)
