"""The JSON form of the entry that moves allocations, and rejection of invalid entries."""

from __future__ import annotations

import json
from typing import Any

import pytest

from wingbarrow.decide.quotas.entries import (
    Allocation,
    LimitAllocations,
    MoveEntry,
    OutstandingAllocation,
    QuotaEntryError,
)

MOVE = MoveEntry(
    base=4,
    incarnations={"q": 7, "p": 8},
    allocations={
        "cold": LimitAllocations(
            {"q": Allocation(0, 0), "p": Allocation(2, 3)}, [OutstandingAllocation("p", 6, 4)]
        )
    },
    dropped=["class/web/rate"],
)
TEXT = (
    '{"base": 4, "lives": {"q": 7, "p": 8}, "set": {"cold": [{"q": [0, 0], "p": [2, 3]}, [["p", 6, 4]]]}, '
    '"drop": ["class/web/rate"], "fresh": false}'
)


def test_move_has_its_fixed_json_form() -> None:
    assert json.dumps(MOVE.to_entry()) == TEXT
    assert MoveEntry.from_entry(json.loads(TEXT)) == MOVE


def test_total_counts_reserved_and_outstanding_amounts() -> None:
    assert MOVE.allocations["cold"].total == 7
    assert MOVE.allocations["cold"].of("stranger") == Allocation(0, 0)


@pytest.mark.parametrize("allocation", [[3, 2], [-1, 0]])
def test_size_beyond_what_is_reserved_is_rejected(allocation: list[int]) -> None:
    value: dict[str, Any] = json.loads(TEXT)
    value["set"]["cold"][0]["p"] = allocation
    with pytest.raises(QuotaEntryError):
        MoveEntry.from_entry(value)


@pytest.mark.parametrize("name", ["lives", "set", "drop", "fresh"])
def test_every_field_is_required(name: str) -> None:
    value = json.loads(TEXT)
    del value[name]
    with pytest.raises(KeyError):
        MoveEntry.from_entry(value)
