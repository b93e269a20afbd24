"""Files that commit ff53260 wrote to disk are read as the same values, and a voter continues from them.

The files under `tests/data/stored` never change; see the README there.
"""

from __future__ import annotations

import hashlib
import shutil
from pathlib import Path

import pytest

from tests.stored import scenario, state
from tests.wire import samples
from wingbarrow.decide.consensus.persistent_state import PersistentState
from wingbarrow.store.voter_store import VoterStore

STORED = samples.DATA / "stored"


def test_no_file_of_the_corpus_has_changed_or_gone() -> None:
    lines = (samples.DATA / "golden.sha256").read_text().splitlines()
    listed = {name: digest for digest, name in (line.split("  ") for line in lines)}
    found = {
        str(each.relative_to(samples.DATA)): hashlib.sha256(each.read_bytes()).hexdigest()
        for folder in ("stored", "wire")
        for each in (samples.DATA / folder).rglob("*")
        if each.is_file() and each.suffix != ".md"
    }
    assert found == listed


def open_copy(folder: Path) -> VoterStore:
    """Copy the voter's store to the folder, as opening a store writes to it, and open the copy."""
    shutil.copytree(STORED / "votes", folder / "votes")
    return VoterStore(folder / "votes")


@pytest.fixture
def disk(tmp_path: Path) -> PersistentState:
    store = open_copy(tmp_path)
    try:
        return store.load()
    finally:
        store.close()


def test_a_voters_store_holds_what_the_voter_put_on_disk(disk: PersistentState) -> None:
    assert disk == scenario.disk_of(scenario.run_history()[0])
    assert (
        disk.snapshot_voters,
        disk.term,
        disk.vote,
        disk.snapshot_index,
        disk.snapshot_term,
    ) == (
        ("a",),
        1_000_002,
        "",
        15,
        1,
    )
    assert (disk.last_log_index, disk.term_at(disk.last_log_index), disk.latest_voters()) == (
        54,
        1_000_002,
        ("a",),
    )


def test_the_stored_log_has_each_kind_of_entry(disk: PersistentState) -> None:
    kinds = {each.kind for each in disk.log}
    assert {each.replace("/", ".") or "empty" for each in kinds} == {
        each.stem for each in (samples.DATA / "wire" / "entries").iterdir()
    }


def test_each_stored_entry_makes_the_same_state_of_the_one_before(disk: PersistentState) -> None:
    wanted = (STORED / "digests.txt").read_text().splitlines()
    found = [f"{kind or 'empty'} {each.digest}" for kind, each in scenario.replayed(disk)]
    assert found == wanted


def test_the_replayed_state_has_the_values_of_the_voters_life(disk: PersistentState) -> None:
    *_, (_, last_state) = scenario.replayed(disk)
    wanted = {each.stem: each.read_text() for each in (STORED / "texts").iterdir()}
    assert last_state.texts() == wanted
    assert scenario.values(last_state) == scenario.VALUES


@pytest.mark.parametrize("name", ["agreed", "blocks", "sessions", "turns", "regions"])
def test_a_subsystem_restored_from_its_snapshot_text_has_that_text(name: str) -> None:
    text = (STORED / "texts" / f"{name}.txt").read_text()
    assert scenario.restored_text(name, text) == text


def test_a_voter_goes_on_with_its_store(tmp_path: Path) -> None:
    store = open_copy(tmp_path)
    before = store.load()
    voter = scenario.Voter(store.load(), 100 * samples.S)
    voter.run(110 * samples.S)
    assert scenario.is_leader(voter)
    voter.propose_rules("after", scenario.RULES, 2)
    voter.run(112 * samples.S)
    assert scenario.latest_version_and_outcome(voter) == (3, "")
    for each in voter.persisted:
        store.persist(each)
    store.close()
    reopened = VoterStore(tmp_path / "votes")
    after = reopened.load()
    reopened.close()
    assert after.term > before.term
    assert after.vote == scenario.ME
    assert after.log[: len(before.log)] == before.log
    assert (after.snapshot_index, after.snapshot_state) == (
        before.snapshot_index,
        before.snapshot_state,
    )
    assert [each.kind for each in after.log[len(before.log) :]][:2] == ["", "propose"]


# -- files in a placer's state folder


def test_the_saved_list_is_read_as_its_entries() -> None:
    # A saved list has no free capacity, which is read as NaN. NaN does not equal itself, but its text does.
    assert list(map(repr, state.read_machines(STORED / "state"))) == list(map(repr, state.ENTRIES))


def test_the_saved_heartbeat_is_read_as_its_time() -> None:
    assert state.read_alive(STORED / "state") == state.HEARTBEAT_US


def test_saved_drains_are_read_as_they_stood() -> None:
    assert state.read_drains(STORED / "state") == state.SAVED_DRAINS


def test_a_placers_files_are_written_byte_for_byte(tmp_path: Path) -> None:
    for write in (state.write_machines, state.write_alive, state.write_drains):
        write(tmp_path)
    files = {each.name: each.read_bytes() for each in (STORED / "state").iterdir()}
    assert set(files) == {state.MACHINES_FILE, state.HEARTBEAT_FILE, state.DRAINS_FILE}
    assert {each.name: each.read_bytes() for each in tmp_path.iterdir()} == files
