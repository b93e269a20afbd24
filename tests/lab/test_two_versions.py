"""Placers that run the program of another checkout, in one run with placers of this one."""

from __future__ import annotations

import sys
from pathlib import Path

import pytest

from benchmarks import two_versions
from wingbarrow.core.logs import silent
from wingbarrow.lab.fleet.layout import Size
from wingbarrow.lab.fleet.places import Places
from wingbarrow.lab.fleet.process import SECOND, Process
from wingbarrow.transport import Hub

# Prints a start-up message as a placer does, then waits for a signal.
PROGRAM = """
import json, os, signal, sys

message = {"kind": "placer", "url": "http://127.0.0.1:9", "program": __file__}
print(json.dumps(message | {"arguments": sys.argv[1:], "path": os.environ["PYTHONPATH"]}), flush=True)
signal.pause()
"""


@pytest.fixture
def checkout(tmp_path: Path) -> Path:
    """A source tree whose program differs from this one."""
    tree = tmp_path / "checkout"
    (tree / "wingbarrow").mkdir(parents=True)
    (tree / "wingbarrow" / "__init__.py").write_text("")
    (tree / "wingbarrow" / "__main__.py").write_text(PROGRAM)
    return tree


def test_a_process_runs_the_program_of_its_checkout(checkout: Path) -> None:
    hub = Hub()

    def play() -> None:
        process = Process(hub, ["serve", "some.kdl"], None, checkout)
        try:
            message = process.wait_for_message("placer", 20 * SECOND)
        finally:
            process.terminate()
        assert Path(message["program"]) == checkout / "wingbarrow" / "__main__.py"
        assert message["arguments"] == ["serve", "some.kdl"]
        assert message["path"] == str(checkout)

    hub.run(play)


def test_the_first_placers_run_the_other_program(checkout: Path) -> None:
    size = Size(3, other_program=str(checkout), other_placers=2)
    assert [size.checkout(index) for index in range(3)] == [checkout, checkout, None]
    assert Size(3).checkout(0) is None


def test_a_place_starts_the_program_that_is_its_own(checkout: Path, tmp_path: Path) -> None:
    hub = Hub()
    places = Places(
        hub,
        Size(2, 3, other_program=str(checkout), other_placers=1),
        tmp_path / "run",
        silent,
    )

    def play() -> None:
        places.open([])
        try:
            places.start(places.slots[0])
            process = places.slots[0].process
        finally:
            places.close()
        assert process is not None
        assert process.exit_status is not None
        assert Path(process.messages[0]["program"]).is_relative_to(checkout)
        assert process.messages[0]["arguments"] == ["serve", str(places.folder / "placer-0.kdl")]

    hub.run(play)


@pytest.mark.parametrize("old_placers", ["0", "5"])
def test_a_play_needs_placers_of_both_versions(
    old_placers: str, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(
        sys, "argv", ["two_versions", "--old", "HEAD", "--old-placers", old_placers]
    )
    with pytest.raises(SystemExit):
        two_versions.main()
    assert "some of the placers, and not all" in capsys.readouterr().err
