"""Log entries about maintenance slots: their stored JSON text, and values that cannot be read."""

from __future__ import annotations

import json
from typing import Any

import pytest

from wingbarrow.decide.maintenance.entries import (
    ENTRY_TYPES,
    CountedSlot,
    Entry,
    MachineOut,
    MaintenanceEntryError,
    SlotClosing,
    SlotDone,
    SlotRequested,
    SlotsQueued,
    decode_entry,
)

OPERATOR_REQUEST = (
    '{"ident": "op-1", "machine": "node-4", "region": "", "zone": "", "cell": "", '
    '"why": "operator", "urgency": 5, "latest_us": 0, "lasts_us": 60, "worker": "w", "at_us": 7}'
)
CALENDAR_REQUEST = (
    '{"ident": "w@1/node-1", "machine": "node-1", "region": "north", "zone": "a", "cell": "b", '
    '"why": "calendar", "urgency": 4, "latest_us": 9, "lasts_us": 60, "unsafe": "shorten", '
    '"ends_us": 8, "from_us": 3, "worker": "", "at_us": 7}'
)
STORED = [
    ("ask", OPERATOR_REQUEST),
    ("ask", CALENDAR_REQUEST),
    ("queue", '{"turns": [[1, 2], [3, 0, "north", "a", "b"]], "at_us": 7}'),
    ("close", '{"number": 1, "at_us": 7}'),
    ("empty", '{"number": 1, "at_us": 7, "note": "", "again": ""}'),
    ("out", '{"number": 1, "at_us": 7, "note": "", "again": ""}'),
    ("back", '{"number": 1, "at_us": 7, "note": "done"}'),
    ("done", '{"number": 1, "at_us": 7, "note": "", "again": ""}'),
    ("give-back", '{"number": 1, "at_us": 7, "note": "why", "again": "w@1/node-1"}'),
    ("recovered", "{}"),
]


@pytest.mark.parametrize(("kind", "text"), STORED)
def test_an_entry_is_encoded_as_the_text_it_was_decoded_from(kind: str, text: str) -> None:
    entry = decode_entry(kind, json.loads(text))
    assert type(entry) is ENTRY_TYPES[kind]
    assert entry.kind == kind
    assert json.dumps(entry.to_json()) == text


def test_every_kind_has_a_stored_sample() -> None:
    assert {kind for kind, _ in STORED} == set(ENTRY_TYPES)


def test_numbers_and_texts_are_read_leniently() -> None:
    closing = decode_entry("close", {"number": "4", "at_us": 1})
    assert closing == SlotClosing(number=4, at_us=1)
    queued = decode_entry("queue", {"turns": [["4", -1, "r" * 64, "z", "c"]], "at_us": 1})
    counted = CountedSlot(4, 0, ("r" * 63, "z", "c"))
    assert queued == SlotsQueued(slots=(counted,), at_us=1)


def test_transitions_of_different_kinds_are_not_equal() -> None:
    entries: set[Entry] = {MachineOut(number=1, at_us=1), SlotDone(number=1, at_us=1)}
    assert len(entries) == 2


@pytest.mark.parametrize(
    ("kind", "value"),
    [
        ("close", {"number": "x", "at_us": 1}),
        ("close", {"number": 1}),
        ("close", {"number": 1, "at_us": True}),
        ("close", {"number": 1, "at_us": 1 << 53}),
        ("close", [1, 2]),
        ("ask", None),
        ("ask", {"ident": "i", "at_us": 1}),
        ("queue", {"turns": [1], "at_us": 1}),
        ("nothing", {"at_us": 1}),
    ],
)
def test_an_unreadable_entry_raises_an_error_with_its_kind(kind: str, value: Any) -> None:
    with pytest.raises(MaintenanceEntryError) as raised:
        decode_entry(kind, value)
    assert raised.value.kind == kind


def test_an_invalid_request_is_read_with_its_problem_and_cannot_be_encoded() -> None:
    value = json.loads(OPERATOR_REQUEST) | {"urgency": 10}
    request = decode_entry("ask", value)
    assert isinstance(request, SlotRequested)
    assert request.terms is None
    assert request.problem == "urgency: 0 to 9 is wanted"
    with pytest.raises(MaintenanceEntryError):
        request.to_json()
