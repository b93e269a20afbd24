"""The measurement of a placer that holds a subset: what it sets up. Its run is that of `machines`, tested there."""

from __future__ import annotations

from pathlib import Path

import pytest

from benchmarks.capacity import subsets
from benchmarks.capacity.rig import placer_settings
from wingbarrow.config import load_text


@pytest.mark.parametrize(
    ("size", "placers", "held"), [(10, 4, 8), (1_000, 4, 750), (3_000, 11, 818), (13_000, 48, 812)]
)
def test_the_roster_grows_with_the_machines_and_the_subset_does_not(
    size: int, placers: int, held: int
) -> None:
    assert len(subsets.roster(size)) == placers
    assert subsets.held(size) == held


@pytest.mark.parametrize("size", [10, 13_000])
def test_its_settings_are_those_of_a_placer_with_subsets(size: int, tmp_path: Path) -> None:
    settings = load_text(placer_settings(1, size, extra=subsets.settings_node(size, str(tmp_path))))
    assert settings.subset is not None
    assert settings.name == subsets.ME
    assert settings.subset.rules.roster == subsets.roster(size)
    assert settings.subset.rules.replicas == subsets.REPLICAS
    assert settings.subset.leave_after_us == 600_000_000, "nobody is dropped during a run"
