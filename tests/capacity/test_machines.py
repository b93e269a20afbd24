"""The measurements by machines and by tasks at tiny sizes: their points, their processes' ends, what they refuse."""

from __future__ import annotations

import subprocess
from collections.abc import Iterator
from typing import Any

import pytest

from benchmarks.capacity import machines, tasks
from benchmarks.capacity.placer import memory_part
from benchmarks.capacity.processes import Child, MeasureFailed
from benchmarks.capacity.results import Point
from benchmarks.capacity.rig import running
from wingbarrow.config import SettingsError

TINY = machines.Extent(
    idle_s=0.2, changes=4, change_every_ms=20, renewal_s=0.2, warm_s=0.1, load_s=0.4
)
TINY_TASKS = tasks.Extent(machines=4, parallelism=8, idle_s=0.2, ended_most=5)
SHARES = tuple(f"processor share under load: {part}" for part in ("module", "core", "http", "hub"))
MAY_BE_ZERO = {
    *SHARES,  # samples: one part may have none
    # A placer that idles sends nothing, and may get no bookmark in so short a time.
    "bytes received idle with bookmarks",
    "bytes sent idle with bookmarks",
    # Pages of so few machines or tasks may have been there before.
    "module's memory for the list",
    "module's memory for running tasks",
    "resident memory by task",
}
OF_PLACERS = {
    "resident memory before the list": "MB",
    "resident memory": "MB",
    "descriptors": "descriptors",
    "processor to take in the list": "s",
    "processor until all machines are seen": "s",
    "time until all machines are seen": "s",
    "processor share idle": "share",
    "processor share idle with bookmarks": "share",
    "bytes received idle with bookmarks": "B/s",
    "bytes sent idle with bookmarks": "B/s",
    "time to place p50": "ms",
    "time to place p99": "ms",
    "placements a second, 32 outstanding": "per s",
    "processor share under load": "share",
    "processor for one placement": "ms",
    "processor share under load: module": "share",
    "processor share under load: core": "share",
    "processor share under load: http": "share",
    "processor share under load: hub": "share",
    "bytes received under load": "B/s",
    "bytes sent under load": "B/s",
    "resident memory after load": "MB",
    "descriptors after load": "descriptors",
}
OF_LIST_CLIENTS = {
    "processor for one changed entry": "ms",
    "time in the module for one changed entry": "ms",
    "bytes received for one changed entry": "B",
    "module's time for one changed entry": "us",
    "module's time for one arrival": "us",
    "module's time for one arrival after a changed entry": "us",
    "module's time for the first arrival of a service": "us",
    "module's memory for the list": "MB",
}
OF_TASKS = {
    "resident memory": "MB",
    "resident memory by task": "B",
    "processor for one task placed": "ms",
    "processor share idle": "share",
    "processor for one task's end": "us",
    "module's memory for running tasks": "MB",
    "module's time for one arrival": "us",
}
TRACED = {
    f"traced memory by task: {part}": "B"
    for part in ("attempts", "book", "module", "core", "connections", "objects shown")
}


@pytest.fixture
def started(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[subprocess.Popen[bytes]]]:
    """The processes that a test starts; all have to have ended with it."""
    begun: list[subprocess.Popen[bytes]] = []
    real = subprocess.Popen

    def recorded(*arguments: Any, **named: Any) -> subprocess.Popen[bytes]:
        begun.append(real(*arguments, **named))
        return begun[-1]

    monkeypatch.setattr(subprocess, "Popen", recorded)
    yield begun
    assert begun
    assert all(each.poll() is not None for each in begun)


def units(points: list[Point], role: str, size: int) -> dict[str, str]:
    return {each.measure: each.unit for each in points if each.role == role and each.size == size}


def assert_values(points: list[Point]) -> None:
    for each in points:
        assert each.value > 0 or (
            each.measure.partition(" (")[0] in MAY_BE_ZERO and each.value == 0
        ), each


def test_machines_give_all_points(started: list[subprocess.Popen[bytes]]) -> None:
    points = list(machines.measure([3, 6], extent=TINY))
    assert_values(points)
    for size in (3, 6):
        assert units(points, "placer", size) == OF_PLACERS
        assert units(points, "list client", size) == OF_LIST_CLIENTS
        assert units(points, "machine link", size) == {"processor for one watch renewed": "ms"}
        values = {
            each.measure: each.value
            for each in points
            if each.role == "placer" and each.size == size
        }
        shares = sum(values[name] for name in SHARES)
        assert 0.5 < shares / values["processor share under load"] < 1.001
    assert {each.varies for each in points} == {"machines"}
    assert len(started) == 2 * 5  # list source, machines, placer, owners, and the module alone


def test_tasks_give_all_points_under_their_label(started: list[subprocess.Popen[bytes]]) -> None:
    points = list(
        tasks.measure(
            [20], label="drain 1s", settings_extra='peer "127.0.0.1" port=1', extent=TINY_TASKS
        )
    )
    assert_values(points)
    assert units(points, "placer", 20) == {
        f"{name} (drain 1s)": unit for name, unit in (OF_TASKS | TRACED).items()
    }
    assert {each.varies for each in points} == {"tasks"}


@pytest.mark.parametrize("measure", [machines.measure, tasks.measure])
def test_sizes_of_nothing_are_refused(measure: Any) -> None:
    for sizes in ([0], [3, 0], [-1], []):
        with pytest.raises(ValueError, match="at least 1"):
            next(iter(measure(sizes)))


def test_settings_that_cannot_be_used_are_refused_before_anything_starts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(subprocess, "Popen", lambda *_, **__: pytest.fail("a process was started"))
    with pytest.raises(SettingsError, match="no-such-node"):
        next(iter(machines.measure([3], settings_extra="no-such-node 1")))


def test_more_machines_than_descriptors_are_refused() -> None:
    with pytest.raises(MeasureFailed, match="descriptors"):
        next(iter(machines.measure([50_000_000])))


def test_processes_end_with_a_failure(started: list[subprocess.Popen[bytes]]) -> None:
    with pytest.raises(RuntimeError, match="planted"), running(2, "load") as rig:
        assert rig.placer.running
        raise RuntimeError("planted")


def test_a_child_that_says_nothing_is_a_clear_failure(
    started: list[subprocess.Popen[bytes]],
) -> None:
    module = "benchmarks.capacity.hollow"
    with (
        pytest.raises(MeasureFailed, match="no answer within 0.05 s"),
        Child(module, "0", "1") as silent,
    ):
        silent.read(int, 0.05)
    with (
        pytest.raises(MeasureFailed, match="ended without an answer"),
        Child(module, "no number", "1") as broken,
    ):
        broken.read(int, 20.0)


def test_memory_is_booked_by_file() -> None:
    part_by_file = {
        "placement": "module",
        "core/attempt_table": "attempts",
        "core/job_store": "book",
        "core/host": "core",
        "http/client": "connections",
        "kube/store": "objects shown",
        "config/load": "other",
    }
    assert {name: memory_part(f"/x/wingbarrow/{name}.py") for name in part_by_file} == part_by_file
