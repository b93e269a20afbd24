"""The commands that compare behaviour with an earlier commit: equal trees agree, a planted difference is found."""

from __future__ import annotations

import shutil
from pathlib import Path

import pytest

from benchmarks.exported import ROOT
from benchmarks.same_decisions import compare
from benchmarks.same_histories import DRIVER, Side, compare_histories, first_difference

SITE = ROOT / "deploy" / "sites" / "galway-press.toml"
DAY = [str(SITE), "1", "400"]
PLANTED_DECISION = '''

class Planted(Scheduler):
    """Leaves out what it would do at the two-hundredth event."""

    handled = 0

    def handle(self, now_us, event):
        self.handled += 1
        actions = super().handle(now_us, event)
        return [] if self.handled == 200 else actions


Scheduler = Planted
'''

# Every hash that the program takes is another.
PLANTED_HASH = """
import hashlib

_blake2b = hashlib.blake2b
hashlib.blake2b = lambda data=b"", **terms: _blake2b(data + b"planted", **terms)
"""


@pytest.fixture
def changed_tree(tmp_path: Path) -> Path:
    """A copy of the program, to be changed."""
    shutil.copytree(ROOT / "wingbarrow", tmp_path / "wingbarrow")
    return tmp_path


def test_a_tree_decides_like_its_copy(changed_tree: Path) -> None:
    compared = compare(ROOT, changed_tree, DAY)
    assert compared.difference == ""
    assert compared.events.total() == 400
    assert compared.actions["Bind"] > 0


def test_the_first_different_decision_is_told(changed_tree: Path) -> None:
    with (changed_tree / "wingbarrow" / "__init__.py").open("a") as module:
        module.write(PLANTED_DECISION)
    compared = compare(ROOT, changed_tree, DAY)
    assert compared.difference.startswith("event 199:\n  old ")
    assert compared.events.total() == 199


def test_a_play_that_fails_is_no_agreement(changed_tree: Path) -> None:
    (changed_tree / "wingbarrow" / "__init__.py").write_text("raise ImportError('planted')\n")
    with pytest.raises(SystemExit, match="a play failed"):
        compare(changed_tree, changed_tree, DAY)


def test_a_tree_has_the_histories_of_its_copy(
    changed_tree: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    old, new = Side(ROOT, DRIVER), Side(changed_tree, DRIVER)
    assert compare_histories(old, new, ["subsets", "outliers"], [1, 2], jobs=2) == []
    lines = capsys.readouterr().out.splitlines()
    assert [line.split()[:2] for line in lines] == [
        ["subsets", "1"],
        ["subsets", "2"],
        ["outliers", "1"],
        ["outliers", "2"],
    ]
    assert len({line.split()[2] for line in lines}) == 4
    assert all(line.endswith(" same") for line in lines)


def test_a_different_history_and_its_first_step_are_told(
    changed_tree: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    with (changed_tree / "wingbarrow" / "__init__.py").open("a") as module:
        module.write(PLANTED_HASH)
    old, new = Side(ROOT, DRIVER), Side(changed_tree, DRIVER)
    assert compare_histories(old, new, ["subsets"], [1], jobs=1) == [("subsets", 1)]
    assert "DIFFERENT" in capsys.readouterr().out
    assert first_difference(old, new, "subsets", 1).startswith("step 0:\n  old ")


def test_a_history_that_cannot_be_played_is_no_agreement(changed_tree: Path) -> None:
    (changed_tree / "wingbarrow" / "__init__.py").write_text("raise ImportError('planted')\n")
    side = Side(changed_tree, DRIVER)
    with pytest.raises(SystemExit, match="failed in"):
        compare_histories(side, side, ["subsets"], [1], jobs=1)
