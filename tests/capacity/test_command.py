"""The command: what it prints and writes, what it refuses, and what a run that fails keeps."""

from __future__ import annotations

import json
import sys
import types
from collections.abc import Iterator, Sequence
from pathlib import Path

import msgspec
import pytest

from benchmarks.capacity.__main__ import main, points_of, roles_of
from benchmarks.capacity.results import Point, Results


def fake(name: str, monkeypatch: pytest.MonkeyPatch, fails_at: int = 0) -> None:
    """A measurement module that costs nothing; its figure is twice the size."""

    def measure(sizes: Sequence[int]) -> Iterator[Point]:
        for size in sizes:
            if size == fails_at:
                raise RuntimeError("planted")
            yield Point("placer", name, size, "resident memory", "MB", 2.0 * size)

    module = types.ModuleType(name)
    module.__dict__.update(DEFAULT_SIZES=(10, 20, 40), measure=measure)
    monkeypatch.setitem(sys.modules, f"benchmarks.capacity.{name}", module)


def read(path: Path) -> Results:
    found: Results = msgspec.json.decode(path.read_bytes(), type=Results)
    return found


def test_the_last_line_and_the_file_hold_points_and_slopes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    fake("machines", monkeypatch)
    fake("tasks", monkeypatch)
    out = tmp_path / "capacity.json"
    assert main(["--roles", "machines,tasks", "--points", "tasks=5,10", "--out", str(out)]) == 0
    last = capsys.readouterr().out.strip().split("\n")[-1]
    assert json.loads(last) == json.loads(out.read_bytes())
    written = read(out)
    assert [(each.varies, each.size) for each in written.points] == [
        ("machines", 10),
        ("machines", 20),
        ("machines", 40),
        ("tasks", 5),
        ("tasks", 10),
    ]
    assert [(each.varies, each.model, round(each.slope, 6)) for each in written.slopes] == [
        ("machines", "linear", 2.0)
    ], "two sizes make no slope"


def test_a_module_that_fails_loses_nothing_that_was_measured(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    fake("machines", monkeypatch, fails_at=40)
    fake("tasks", monkeypatch)
    out = tmp_path / "capacity.json"
    assert main(["--roles", "machines", "tasks", "--out", str(out)]) == 1
    written = read(out)
    assert [(each.varies, each.size) for each in written.points] == [
        ("machines", 10),
        ("machines", 20),
        ("tasks", 10),
        ("tasks", 20),
        ("tasks", 40),
    ]
    assert "planted" in capsys.readouterr().err


@pytest.mark.parametrize(
    "arguments",
    [
        ["--roles", "machines,clouds"],
        ["--points", "clouds=1,2"],
        ["--points", "placers=many"],
        ["--points", "placers=0"],
    ],
)
def test_bad_arguments_are_refused_with_what_is_known(
    arguments: list[str], tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    out = tmp_path / "capacity.json"
    assert main([*arguments, "--out", str(out)]) == 2
    told = capsys.readouterr().err
    assert not out.exists()
    assert told.startswith("capacity: ")
    if "clouds" in "".join(arguments):
        assert "machines, subsets, tasks, placers, teams, changes, gangs" in told


def test_arguments_are_read() -> None:
    assert roles_of(["teams,placers", "machines"]) == ["machines", "placers", "teams"]
    assert points_of("placers=5,16;teams=10;gang=1") == {
        "placers": [5, 16],
        "teams": [10],
        "gangs": [1],
    }
    assert points_of("") == {}


def test_a_gang_of_one_is_measured_on_the_whole_path(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert (
        main(["--roles", "gangs", "--points", "gangs=1", "--out", str(tmp_path / "capacity.json")])
        == 0
    )
    points = json.loads(capsys.readouterr().out)["points"]
    placed = next(each for each in points if each["measure"] == "tasks placed")
    assert (placed["role"], placed["varies"], placed["size"], placed["value"], placed["runs"]) == (
        "placer",
        "gang",
        1,
        1.0,
        3,
    )
