"""Federation specs in settings files: each fault is reported with its line and reason, no other; valid files load."""

from __future__ import annotations

import re
from pathlib import Path

import pytest
from click.testing import CliRunner

from wingbarrow.cli.main import main
from wingbarrow.config import SettingsError, load_file
from wingbarrow.decide.rulesets.parsing import parse_rule_set
from wingbarrow.peers.ruleset_settings import requested_rule_set

FILES = Path(__file__).parent.parent / "data" / "federation"
BAD, GOOD = (sorted((FILES / kind).glob("*.kdl")) for kind in ("bad", "good"))


@pytest.mark.parametrize("path", BAD, ids=lambda path: path.stem)
def test_each_fault_has_its_line_and_reason(path: Path) -> None:
    """Each file begins with its expected errors, as `// LINE: text`."""
    wanted = re.findall(r"^// (\d+): (.+)$", path.read_text(), re.M)
    with pytest.raises(SettingsError) as caught:
        load_file(path)
    assert [line for line, _ in caught.value.problems] == [int(line) for line, _ in wanted], (
        caught.value
    )
    for (_, reported), (_, expected) in zip(caught.value.problems, wanted, strict=True):
        assert expected in reported


@pytest.mark.parametrize("path", GOOD, ids=lambda path: path.stem)
def test_good_files_load_and_read_back_as_rules(path: Path) -> None:
    rules = requested_rule_set(load_file(path))
    assert parse_rule_set(rules.text()) == rules


def test_the_command_reports_file_line_and_error() -> None:
    path = FILES / "bad" / "residency-against-failover.kdl"
    result = CliRunner().invoke(main, ["check", str(path)])
    assert result.exit_code == 2
    assert f"{path}:16: failover: to 'east', and 'patients'" in result.output
    assert CliRunner().invoke(main, ["check", str(GOOD[0])]).exit_code == 0


def test_there_are_enough_bad_and_good_files() -> None:
    assert len(BAD) >= 40
    assert len(GOOD) >= 20
