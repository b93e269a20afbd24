"""A voter's disk: what is written is there, torn writes are not, and it is made by an operator's word alone."""

from __future__ import annotations

import random
from pathlib import Path

import lmdb
import pytest

from wingbarrow.decide.consensus.entries import LogEntry
from wingbarrow.decide.consensus.log import PersistentState
from wingbarrow.decide.effects import Persist
from wingbarrow.store.voter_store import StoreError, VoterStore, create, open_existing


def made(path: Path) -> VoterStore:
    create(path / "rules", ("a", "b", "c"))
    return VoterStore(path / "rules")


def test_what_is_written_is_there_when_it_is_opened_again(tmp_path: Path) -> None:
    rng, store, disk = random.Random(3), made(tmp_path), PersistentState(("a", "b", "c"))
    assert store.load() == disk
    for _ in range(200):
        what = rng.random()
        if what < 0.5:
            first = rng.randrange(disk.snapshot_index + 1, disk.last_log_index + 2)
            entries = tuple(
                LogEntry(disk.term, "x", str(rng.random())) for _ in range(rng.randrange(4))
            )
            disk.log = disk.log[: first - disk.snapshot_index - 1] + list(entries)
            store.persist(Persist(disk.term, disk.vote, first, entries, None))
        elif what < 0.8:
            disk.term, disk.vote = disk.term + 1, rng.choice("abc")
            store.persist(Persist(disk.term, disk.vote, None, (), None))
        elif disk.log:
            cut = rng.randrange(len(disk.log)) + 1
            disk.snapshot_index, disk.snapshot_term, disk.log = (
                disk.snapshot_index + cut,
                disk.log[cut - 1].term,
                disk.log[cut:],
            )
            disk.snapshot_state = str(rng.random())
            store.persist(
                Persist(
                    disk.term,
                    disk.vote,
                    disk.snapshot_index + 1,
                    tuple(disk.log),
                    disk.snapshot,
                )
            )
        if rng.random() < 0.1:
            store.close()
            store = VoterStore(tmp_path / "rules")
        assert store.load() == disk
    store.close()


def test_it_is_made_once_and_never_by_itself(tmp_path: Path) -> None:
    assert open_existing(tmp_path / "rules") is None
    made(tmp_path).close()
    with pytest.raises(StoreError, match="already"):
        create(tmp_path / "rules", ("a",))
    again = open_existing(tmp_path / "rules")
    assert again is not None
    again.close()


def test_what_was_not_written_by_this_program_is_refused_in_words(tmp_path: Path) -> None:
    made(tmp_path).close()
    with lmdb.open(str(tmp_path / "rules")) as env, env.begin(write=True) as txn:
        txn.put(b"meta", b"{}")
    store = VoterStore(tmp_path / "rules")
    with pytest.raises(StoreError, match="form"):
        store.load()
    store.close()
    (tmp_path / "rules" / "data.mdb").write_bytes(b"rubbish" * 10_000)
    with pytest.raises(StoreError):
        VoterStore(tmp_path / "rules")


def test_a_gap_in_the_log_is_refused(tmp_path: Path) -> None:
    store = made(tmp_path)
    store.persist(
        Persist(
            1, "a", 1, (LogEntry(1, "x", "1"), LogEntry(1, "x", "2"), LogEntry(1, "x", "3")), None
        )
    )
    store.close()
    with lmdb.open(str(tmp_path / "rules")) as env, env.begin(write=True) as txn:
        txn.delete(b"entry/" + (2).to_bytes(8, "big"))
    store = VoterStore(tmp_path / "rules")
    with pytest.raises(StoreError, match="after 1"):
        store.load()
    store.close()


def test_a_write_that_fails_changes_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("wingbarrow.store.voter_store.MAP_SIZE_BYTES", 1 << 17)
    store = made(tmp_path)
    before = store.load()
    with pytest.raises(StoreError):
        store.persist(Persist(7, "b", 1, (LogEntry(7, "x", "y" * (1 << 20)),), None))
    assert store.load() == before
    store.close()
