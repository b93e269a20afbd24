"""JSON forms of the log entries that change the agreed rule sets."""

from __future__ import annotations

import json
from typing import Any

import pytest

from wingbarrow.decide.rulesets.entries import (
    FloorEntry,
    FloorsExpiredEntry,
    ProposalEntry,
    StepEntry,
)


@pytest.mark.parametrize(
    ("entry", "text"),
    [
        (
            ProposalEntry(ident="i", base=3, rules="{}", by="p", why="w"),
            '{"ident": "i", "base": 3, "rules": "{}", "by": "p", "why": "w"}',
        ),
        (
            FloorEntry(ident="i", rules="{}", by="p", why="w", lasts_us=9),
            '{"ident": "i", "rules": "{}", "by": "p", "why": "w", "lasts_us": 9}',
        ),
        (StepEntry(from_revision=7), '{"from": 7}'),
        (FloorsExpiredEntry(number=2), '{"number": 2}'),
    ],
)
def test_entry_has_its_fixed_json_form(entry: Any, text: str) -> None:
    assert json.dumps(entry.to_entry()) == text
    assert type(entry).from_entry(json.loads(text)) == entry


def test_floor_without_author_and_reason_is_read() -> None:
    floor = FloorEntry.from_entry({"ident": "i", "rules": "{}", "lasts_us": 9})
    assert floor == FloorEntry(ident="i", rules="{}", by="", why="", lasts_us=9)


@pytest.mark.parametrize("kind", [ProposalEntry, FloorEntry, StepEntry, FloorsExpiredEntry])
@pytest.mark.parametrize("value", [{}, []])
def test_unreadable_entry_raises(kind: Any, value: Any) -> None:
    with pytest.raises((KeyError, TypeError)):
        kind.from_entry(value)
