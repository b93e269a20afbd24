"""What the linter is told to pass over: a list by file and rule that may only shrink.

The bounds are lowered as files are cleaned up, never raised.
"""

from __future__ import annotations

import tokenize
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
TREES = ("wingbarrow", "tests", "benchmarks")
MAX_FILE_IGNORES = 286  # a rule for a file each
MAX_NOQA = 1
MAX_TYPE_IGNORES = 121
WHOLE_TREES = {
    "tests/*": {"D1", "PLR2004"},
    "benchmarks/*": {"D1", "PLR2004"},
    "wingbarrow/placement.py": {"D102"},
    "wingbarrow/machine_state.py": {"D102"},
}


def linter() -> dict[str, dict[str, list[str]]]:
    settings = tomllib.loads((ROOT / "pyproject.toml").read_text())
    found: dict[str, dict[str, list[str]]] = settings["tool"]["ruff"]["lint"]
    return found


def comments(word: str) -> int:
    """How many comments hold the word: by tokens, since strings may hold it too."""
    found = 0
    for tree in TREES:
        for source in (ROOT / tree).rglob("*.py"):
            with source.open("rb") as file:
                for token in tokenize.tokenize(file.readline):
                    found += token.type == tokenize.COMMENT and word in token.string
    return found


def test_the_ignores_of_single_files_only_become_fewer() -> None:
    ignores = linter()["per-file-ignores"]
    files = {name: rules for name, rules in ignores.items() if name not in WHOLE_TREES}
    assert sum(map(len, files.values())) <= MAX_FILE_IGNORES
    for name in files:
        assert (ROOT / name).is_file(), f"{name} is gone: take its ignores out"


def test_whole_trees_are_passed_over_for_no_further_rule() -> None:
    ignores = linter()["per-file-ignores"]
    assert {name: set(ignores[name]) for name in WHOLE_TREES} == WHOLE_TREES


def test_the_rule_families_stay_on() -> None:
    families = {
        "E",
        "F",
        "B",
        "UP",
        "D1",
        "SIM",
        "I",
        "N",
        "C901",
        "PT",
        "RET",
        "TRY",
        "BLE",
        "PERF",
        "RUF",
    }
    counted = {"PLR0911", "PLR0912", "PLR0913", "PLR0915", "PLR2004"}
    assert families | counted <= set(linter()["select"])


def test_comments_that_silence_a_check_only_become_fewer() -> None:
    assert comments("noqa") <= MAX_NOQA
    assert comments("type: ignore") <= MAX_TYPE_IGNORES
