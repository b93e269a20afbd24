"""The simulator's line protocol: a recorded exchange, and a line for each action, byte by byte."""

from __future__ import annotations

import io
import json
from collections.abc import Mapping
from enum import Enum
from typing import Any

from tests.wire.golden import FOLDER, assert_golden
from wingbarrow import interface as api
from wingbarrow.simhost import FORMS, NOTES, OUTCOMES, PARSERS, PHASES, REASONS, serve, write_action


def test_a_recorded_exchange() -> None:
    sink, complaints = io.StringIO(), io.StringIO()
    source = io.StringIO((FOLDER / "simhost" / "input.txt").read_text())
    assert serve(source, sink, complaints) == 0
    assert_golden("simhost/output.txt", sink.getvalue().encode())
    assert_golden("simhost/complaints.txt", complaints.getvalue().encode())


def test_a_line_for_each_action() -> None:
    actions: list[api.Action] = [
        api.Bind(1, 51, 8_000_000),
        api.Refuse(2),
        api.Fail(3),
        api.Move(4),
        api.SetTimer(9_000_000, "a name"),
        api.Probe(52),
        api.WatchList(),
        api.Log("some words"),
    ]
    lines = [write_action("placer-0", action) for action in actions]
    assert_golden("simhost/actions.txt", "\n".join([*lines, ""]).encode())


def test_the_meaning_of_numbers_and_words() -> None:
    tables: list[Mapping[Any, Enum]] = [PHASES, FORMS, OUTCOMES, REASONS, NOTES]
    lines = [json.dumps({key: each.value for key, each in table.items()}) for table in tables]
    assert_golden("simhost/tables.jsonl", "\n".join([*lines, " ".join(PARSERS), ""]).encode())
