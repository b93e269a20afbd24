"""A voter's persistent state in one LMDB environment; an update is on disk when `persist` returns.

Layout, version `FORMAT`: all values are JSON.

    meta                      {"form", "term", "vote"}
    snapshot                  [index, term, voters with spaces between, state]
    entry/ + index, 8 bytes   [term, kind, body]

An operator creates a store once (`create`). A voter whose store is missing must not create a new one by itself: it has
lost the votes that it cast (Raft, 3.8).
"""

from __future__ import annotations

import fcntl
import json
from pathlib import Path
from types import TracebackType
from typing import Any, Self, TextIO

import lmdb

from wingbarrow.decide.consensus.entries import LogEntry, Snapshot
from wingbarrow.decide.consensus.persistent_state import PersistentState, sole_voter_update
from wingbarrow.decide.effects import Persist

MAP_SIZE_BYTES = 256 << 20
FORMAT = 1
DATA_FILE = "data.mdb"  # name set by LMDB
OWNER_FILE = "owner"  # locked by the process that has the store open

_META_KEY = b"meta"
_SNAPSHOT_KEY = b"snapshot"
_ENTRY_PREFIX = b"entry/"
_INDEX_BYTES = 8


class StoreError(Exception):
    """An operation on the store in `folder` failed: "open", "load", "persist" or "create"; `reason` says why."""

    def __init__(self, folder: Path, *, operation: str, reason: str) -> None:
        super().__init__(f"{folder}: {reason}")
        self.folder = folder
        self.operation = operation
        self.reason = reason


def _entry_key(index: int) -> bytes:
    return _ENTRY_PREFIX + index.to_bytes(_INDEX_BYTES, "big")


def _entry_index(key: bytes) -> int | None:
    """The log index in an entry's key; None for other keys."""
    if not key.startswith(_ENTRY_PREFIX):
        return None
    return int.from_bytes(key[len(_ENTRY_PREFIX) :], "big")


def _lock(folder: Path) -> TextIO:
    """Lock a store until the returned file is closed; LMDB itself permits several processes to write."""
    try:
        file = (folder / OWNER_FILE).open("a", encoding="utf-8")
    except OSError as error:
        raise StoreError(folder, operation="open", reason=str(error.strerror)) from error
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        file.close()
        raise StoreError(folder, operation="open", reason="another process has it open") from error
    return file


class VoterStore:
    """An open store that `create` made; close it by `close` or a `with` block. Only one process can open it at a time.

    The constructor raises StoreError if the store cannot be opened.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._owner = _lock(folder)
        try:
            self._environment = lmdb.open(
                str(folder),
                map_size=MAP_SIZE_BYTES,
                max_dbs=0,
                subdir=True,
                create=False,
                lock=True,
            )
        except lmdb.Error as error:
            self._owner.close()
            raise StoreError(folder, operation="open", reason=str(error)) from error

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    def close(self) -> None:
        """Close the environment and release the lock."""
        self._environment.close()
        self._owner.close()

    def load(self) -> PersistentState:
        """Load the state. Raises StoreError if it is unreadable, or inconsistent with what `persist` writes."""
        try:
            with self._environment.begin() as transaction:
                return self._load(transaction)
        except (lmdb.Error, ValueError, TypeError, KeyError) as error:
            reason = f"{type(error).__name__}: {error}"
            raise StoreError(self.folder, operation="load", reason=reason) from error

    def _load(self, transaction: Any) -> PersistentState:
        meta: dict[str, Any] = json.loads(transaction.get(_META_KEY) or b"{}")
        index, term, voters, state = json.loads(transaction.get(_SNAPSHOT_KEY) or b"null")
        if meta.get("form") != FORMAT:
            reason = f"unsupported format version {meta.get('form')}, expected {FORMAT}"
            raise StoreError(self.folder, operation="load", reason=reason)
        persistent = PersistentState(
            tuple(voters.split()), meta["term"], meta["vote"], index, term, state
        )
        for key, value in transaction.cursor():
            entry_index = _entry_index(bytes(key))
            if entry_index is None or entry_index <= persistent.snapshot_index:
                continue
            if entry_index != persistent.last_log_index + 1:
                reason = f"gap in the log: entry {entry_index} after {persistent.last_log_index}"
                raise StoreError(self.folder, operation="load", reason=reason)
            persistent.log.append(LogEntry(*json.loads(value)))
        return persistent

    def persist(self, update: Persist) -> None:
        """Write an update in one transaction and sync it. Raises StoreError if that fails; then nothing was written."""
        try:
            with self._environment.begin(write=True) as transaction:
                self._write_meta(transaction, update)
                if update.snapshot is not None:
                    self._write_snapshot(transaction, update.snapshot)
                if update.first_index is not None:
                    self._replace_entries(transaction, update.first_index, update.entries)
        except lmdb.Error as error:
            raise StoreError(self.folder, operation="persist", reason=str(error)) from error

    def _write_meta(self, transaction: Any, update: Persist) -> None:
        meta = {"form": FORMAT, "term": update.term, "vote": update.vote}
        transaction.put(_META_KEY, json.dumps(meta).encode())

    def _write_snapshot(self, transaction: Any, snapshot: Snapshot) -> None:
        voters = " ".join(snapshot.voters)
        value = [snapshot.index, snapshot.term, voters, snapshot.state]
        transaction.put(_SNAPSHOT_KEY, json.dumps(value).encode())
        self._delete_entries(transaction, 0, snapshot.index + 1)

    def _replace_entries(
        self, transaction: Any, first_index: int, entries: tuple[LogEntry, ...]
    ) -> None:
        self._delete_entries(transaction, first_index, None)
        for index, entry in enumerate(entries, first_index):
            value = [entry.term, entry.kind, entry.body]
            transaction.put(_entry_key(index), json.dumps(value).encode())

    def _delete_entries(self, transaction: Any, first_index: int, end_index: int | None) -> None:
        """Delete entries from `first_index` up to `end_index` (exclusive; None: to the end)."""
        with transaction.cursor() as cursor:
            found = cursor.set_range(_entry_key(first_index))
            while found:
                index = _entry_index(bytes(cursor.key()))
                if index is None or (end_index is not None and index >= end_index):
                    return
                found = cursor.delete()


def create(folder: Path, voters: tuple[str, ...]) -> None:
    """Create the store of a voter that has never voted. Raises StoreError if it exists or cannot be created."""
    if (folder / DATA_FILE).exists():
        raise StoreError(folder, operation="create", reason="there is one already")
    try:
        folder.mkdir(parents=True, exist_ok=True)
        lmdb.open(str(folder), map_size=MAP_SIZE_BYTES, subdir=True).close()
        with VoterStore(folder) as store:
            store.persist(Persist(0, "", 1, (), Snapshot(0, 0, voters, "")))
    except (lmdb.Error, OSError) as error:
        raise StoreError(folder, operation="create", reason=str(error)) from error


def load(folder: Path) -> PersistentState:
    """Load the state of a store whose placer is stopped. Raises StoreError."""
    with VoterStore(folder) as store:
        return store.load()


def become_sole_voter(folder: Path, name: str, recovery_kind: str) -> PersistentState:
    """Make a voter the only one (`sole_voter_update`) while its placer is stopped; returns the previous state."""
    with VoterStore(folder) as store:
        persistent = store.load()
        store.persist(sole_voter_update(name, persistent, recovery_kind))
        return persistent


def open_existing(folder: Path) -> VoterStore | None:
    """Open the store in a folder; None if there is none."""
    return VoterStore(folder) if (folder / DATA_FILE).exists() else None
