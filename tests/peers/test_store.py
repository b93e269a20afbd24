"""A voter's store: what was persisted is loaded, failed writes leave no trace, and only an operator creates one."""

from __future__ import annotations

import random
from pathlib import Path

import lmdb
import pytest

from wingbarrow.decide.consensus.entries import LogEntry, Snapshot
from wingbarrow.decide.consensus.persistent_state import PersistentState
from wingbarrow.decide.effects import Persist
from wingbarrow.store.voter_store import StoreError, VoterStore, create, open_existing

VOTERS = ("a", "b", "c")


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    """The folder of a created store that is not open."""
    create(tmp_path / "rules", VOTERS)
    return tmp_path / "rules"


def test_generated_updates_are_loaded_as_persisted_also_after_reopening(folder: Path) -> None:
    rng = random.Random(3)
    expected = PersistentState(VOTERS)
    store = VoterStore(folder)
    assert store.load() == expected
    for _ in range(200):
        store.persist(generated_update(rng, expected))
        if rng.random() < 0.1:
            store.close()
            store = VoterStore(folder)
        assert store.load() == expected
    store.close()


def generated_update(rng: random.Random, expected: PersistentState) -> Persist:
    """Generate entries, a term or a snapshot; also applied to `expected`, without `PersistentState.persist`."""
    choice = rng.random()
    term, vote = expected.term, expected.vote
    if choice < 0.5:
        first = rng.randrange(expected.snapshot_index + 1, expected.last_log_index + 2)
        bodies = [str(rng.random()) for _ in range(rng.randrange(4))]
        entries = tuple(LogEntry(term, "x", body) for body in bodies)
        expected.log = expected.log[: first - expected.snapshot_index - 1] + list(entries)
        return Persist(term, vote, first, entries, None)
    if choice < 0.8 or not expected.log:
        expected.term = term + 1
        expected.vote = rng.choice("abc")
        return Persist(expected.term, expected.vote, None, (), None)
    cut = rng.randrange(len(expected.log)) + 1
    expected.snapshot_index += cut
    expected.snapshot_term = expected.log[cut - 1].term
    expected.snapshot_state = str(rng.random())
    expected.log = expected.log[cut:]
    snapshot = Snapshot(
        expected.snapshot_index, expected.snapshot_term, VOTERS, expected.snapshot_state
    )
    return Persist(term, vote, expected.snapshot_index + 1, tuple(expected.log), snapshot)


def test_a_store_is_created_once_and_never_by_opening_it(tmp_path: Path) -> None:
    folder = tmp_path / "rules"
    assert open_existing(folder) is None
    create(folder, VOTERS)
    with pytest.raises(StoreError, match="already"):
        create(folder, ("a",))
    store = open_existing(folder)
    assert store is not None
    store.close()


def test_an_unknown_format_or_a_corrupt_file_is_refused(folder: Path) -> None:
    with lmdb.open(str(folder)) as env, env.begin(write=True) as txn:
        txn.put(b"meta", b"{}")
    with VoterStore(folder) as store, pytest.raises(StoreError, match="form"):
        store.load()
    (folder / "data.mdb").write_bytes(b"rubbish" * 10_000)
    with pytest.raises(StoreError):
        VoterStore(folder)


def test_a_gap_between_entries_is_refused(folder: Path) -> None:
    entries = tuple(LogEntry(1, "x", body) for body in "123")
    with VoterStore(folder) as store:
        store.persist(Persist(1, "a", 1, entries, None))
    with lmdb.open(str(folder)) as env, env.begin(write=True) as txn:
        txn.delete(b"entry/" + (2).to_bytes(8, "big"))
    with VoterStore(folder) as store, pytest.raises(StoreError, match="after 1"):
        store.load()


def test_a_failed_write_changes_nothing(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("wingbarrow.store.voter_store.MAP_SIZE_BYTES", 1 << 17)
    create(tmp_path / "rules", VOTERS)
    too_long = LogEntry(7, "x", "y" * (1 << 20))
    with VoterStore(tmp_path / "rules") as store:
        before = store.load()
        with pytest.raises(StoreError) as caught:
            store.persist(Persist(7, "b", 1, (too_long,), None))
        assert caught.value.operation == "persist"
        assert isinstance(caught.value.__cause__, lmdb.Error)
        assert store.load() == before


def test_opening_an_open_store_fails_with_the_operation_in_the_error(folder: Path) -> None:
    with VoterStore(folder), pytest.raises(StoreError, match="another process") as caught:
        VoterStore(folder)
    assert (caught.value.folder, caught.value.operation) == (folder, "open")
