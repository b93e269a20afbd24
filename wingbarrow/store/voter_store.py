"""A voter's disk: term, vote, log and snapshot, in one LMDB environment; a write is on disk when it returns.

What is stored is what `decide.consensus.log.Disk` holds. It is made once, by an operator's word (`create`): a voter
that finds none where there was one has lost what it promised, and must not begin anew by itself.
"""

from __future__ import annotations

import fcntl
import json
from pathlib import Path
from typing import Any, TextIO

import lmdb

from wingbarrow.decide.consensus.log import LogEntry, PersistentState, sole_voter_update
from wingbarrow.decide.effects import Persist

MAP_SIZE_BYTES = 256 << 20
FORMAT = 1
_META, _SNAPSHOT, _ENTRY = b"meta", b"snapshot", b"entry/"


class StoreError(Exception):
    """The disk could not be read or written; the text says how."""


def _key(index: int) -> bytes:
    return _ENTRY + index.to_bytes(8, "big")


def _owned(folder: Path) -> TextIO:
    """Hold a store for this process as long as the file is open; StoreError where another does."""
    try:
        file = (folder / "owner").open("a", encoding="utf-8")
    except OSError as error:
        raise StoreError(f"{folder}: {error.strerror}") from None
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        file.close()
        raise StoreError(f"{folder}: another process has it open") from None
    return file


class VoterStore:
    """Opened on a folder that `create` has made."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._owner = _owned(folder)
        try:
            self._env = lmdb.open(
                str(folder),
                map_size=MAP_SIZE_BYTES,
                max_dbs=0,
                subdir=True,
                create=False,
                lock=True,
            )
        except lmdb.Error as error:
            self._owner.close()
            raise StoreError(f"{folder}: {error}") from None

    def load(self) -> PersistentState:
        """What is on disk; StoreError where it cannot be what was written."""
        try:
            with self._env.begin() as txn:
                meta: dict[str, Any] = json.loads(txn.get(_META) or b"{}")
                base, base_term, voters, state = json.loads(txn.get(_SNAPSHOT) or b"null")
                if meta.get("form") != FORMAT:
                    raise StoreError(
                        f"{self.folder}: form {meta.get('form')}; {FORMAT} is read here"
                    )
                disk = PersistentState(
                    tuple(voters.split()), meta["term"], meta["vote"], base, base_term, state
                )
                for key, value in txn.cursor():
                    if not bytes(key).startswith(_ENTRY):
                        continue
                    index = int.from_bytes(bytes(key)[len(_ENTRY) :], "big")
                    if index <= base:
                        continue
                    if index != disk.last_log_index + 1:
                        raise StoreError(
                            f"{self.folder}: entry {index} after {disk.last_log_index}"
                        )
                    disk.log.append(LogEntry(*json.loads(value)))
        except (lmdb.Error, ValueError, TypeError, KeyError) as error:
            raise StoreError(f"{self.folder}: {type(error).__name__}: {error}") from None
        return disk

    def persist(self, what: Persist) -> None:
        """Write in one transaction, and sync; StoreError where it is not on disk, and then nothing of it is."""
        try:
            with self._env.begin(write=True) as txn:
                txn.put(
                    _META,
                    json.dumps({"form": FORMAT, "term": what.term, "vote": what.vote}).encode(),
                )
                if what.snapshot is not None:
                    txn.put(_SNAPSHOT, json.dumps(what.snapshot).encode())
                    self._drop(txn, 0, what.snapshot[0] + 1)
                if what.first_index is not None:
                    self._drop(txn, what.first_index, None)
                    for offset, entry in enumerate(what.entries):
                        txn.put(
                            _key(what.first_index + offset),
                            json.dumps([entry.term, entry.kind, entry.body]).encode(),
                        )
        except lmdb.Error as error:
            raise StoreError(f"{self.folder}: {error}") from None

    def _drop(self, txn: Any, first: int, end: int | None) -> None:
        with txn.cursor() as cursor:
            found = cursor.set_range(_key(first))
            while (
                found
                and bytes(cursor.key()).startswith(_ENTRY)
                and (end is None or bytes(cursor.key()) < _key(end))
            ):
                found = cursor.delete()

    def close(self) -> None:
        """Let it go."""
        self._env.close()
        self._owner.close()


def create(folder: Path, voters: tuple[str, ...]) -> None:
    """Make the disk of a voter that has never voted; StoreError where there is one already."""
    if (folder / "data.mdb").exists():
        raise StoreError(f"{folder}: there is one already")
    try:
        folder.mkdir(parents=True, exist_ok=True)
        lmdb.open(str(folder), map_size=MAP_SIZE_BYTES, subdir=True).close()
        store = VoterStore(folder)
        store.persist(Persist(0, "", 1, (), (0, 0, " ".join(voters), "")))
        store.close()
    except (lmdb.Error, OSError) as error:
        raise StoreError(f"{folder}: {error}") from None


def become_sole_voter(folder: Path, me: str, kind: str, act: bool) -> PersistentState:
    """What a voter holds; with `act` it is the only voter from then on (`log.alone`). Its placer must not run."""
    store = VoterStore(folder)
    try:
        disk = store.load()
        if act:
            store.persist(sole_voter_update(me, disk, kind))
        return disk
    finally:
        store.close()


def open_existing(folder: Path) -> VoterStore | None:
    """The store of a folder; None where none was made."""
    return VoterStore(folder) if (folder / "data.mdb").exists() else None
