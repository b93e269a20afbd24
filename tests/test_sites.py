"""The customers of our own in deploy/sites: what they name differs from site to site; lay.py without the kit."""

from __future__ import annotations

import shutil
import subprocess
import sys
import tomllib
from itertools import combinations
from pathlib import Path
from typing import Any

import pytest

SITES = Path(__file__).parent.parent / "deploy" / "sites"
FILES = sorted(SITES.glob("*.toml"))


def site(path: Path) -> dict[str, Any]:
    return tomllib.loads(path.read_text())


def names(path: Path) -> set[str]:
    """Of the site, its classes, kinds, zones, tiers and tenants."""
    held = site(path)
    kinds = [kind["name"] for tier in held["tier"] for kind in tier["kind"]]
    told = [held["name"], *held["net"]["zones"], *kinds]
    return set(
        told
        + [each["name"] for table in ("class", "tier", "tenant") for each in held.get(table, [])]
    )


def test_there_are_two_and_each_says_what_it_is_called() -> None:
    assert len(FILES) == 2
    assert all(site(path)["name"] == path.stem for path in FILES)


@pytest.mark.parametrize(("one", "other"), combinations(FILES, 2), ids=lambda path: path.stem)
def test_no_name_of_one_is_in_another(one: Path, other: Path) -> None:
    assert not names(one) & names(other)


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_each_class_has_its_tasks_and_time_for_them(path: Path) -> None:
    held = site(path)
    assert len(held["fam"]["class"]) == len(held["class"])
    assert all(0 < each["aim_ms"] < each["deadline_ms"] for each in held["class"])


def test_the_two_differ_in_what_the_settings_hold() -> None:
    by_name = {path.stem: site(path) for path in FILES}
    quay, press = by_name["aveiro-quay"], by_name["galway-press"]
    assert len(quay["class"]) == 6
    assert len(quay["net"]["zones"]) == 3
    assert min(each["deadline_ms"] for each in quay["class"]) < 300
    keyed = [each for each in quay["class"] if each["effect"] == "keyed"]
    assert {each["group"] for each in keyed} == {"zone", "cell", "all"}
    assert all(300 <= each["window_ms"] <= 1500 for each in keyed)
    assert len(press["class"]) == 2
    assert len(press["tenant"]) > 1
    assert all(20_000 <= each["deadline_ms"] <= 60_000 for each in press["class"])
    assert [each["worth"] for each in press["class"] if each["effect"] == "unsafe"] == [12]


def test_lay_says_one_line_without_the_kit(tmp_path: Path) -> None:
    place = tmp_path / "checkout" / "deploy" / "sites"
    place.mkdir(parents=True)
    shutil.copy(SITES / "lay.py", place)
    done = subprocess.run(
        [sys.executable, str(place / "lay.py")], capture_output=True, text=True, timeout=60
    )
    assert done.returncode == 2
    assert not done.stdout
    assert done.stderr.count("\n") == 1
    assert "the kit has to lie beside the repository" in done.stderr
    assert [path.name for path in place.iterdir()] == ["lay.py"]


def test_lay_copies_what_is_missing_and_nothing_a_second_time(tmp_path: Path) -> None:
    place = tmp_path / "checkout" / "deploy" / "sites"
    place.mkdir(parents=True)
    shutil.copy(SITES / "lay.py", place)
    kit = tmp_path / "given" / "kit" / "more"
    for source in (
        "node/sites/wire.json",
        "node/sites/real.json",
        "node/sites/design.json",
        "mass/other/unlock.txt",
    ):
        (kit / source).parent.mkdir(parents=True, exist_ok=True)
        (kit / source).write_text(source)
    said = []
    for _ in range(2):
        done = subprocess.run(
            [sys.executable, str(place / "lay.py")], capture_output=True, text=True, timeout=60
        )
        assert done.returncode == 0
        said.append(done.stdout.split("\n")[:-1])
    assert said == [
        ["wire.json", "real.json", "design.json", "unlock.txt"],
        ["all files lie there already"],
    ]
    assert (place / "unlock.txt").read_text() == "mass/other/unlock.txt"
    ignored = (SITES.parent.parent / ".gitignore").read_text().split("\n")
    assert all(f"deploy/sites/{name}" in ignored for name in said[0])
