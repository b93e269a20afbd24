"""The simulator adapter: the lines it reads and writes, and its handling of invalid input."""

from __future__ import annotations

import io
import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from wingbarrow.settings_parser import parse_settings_text
from wingbarrow.simhost import serve

SETUP: dict[str, Any] = {
    "balancers": 2,
    "me": 0,
    "bounds": {"probes": True, "send_cap": 3},
    "costs": {"probe": 0.003},
    "discovery": "push",
    "family_info": {
        "admit_memory": 1.0,
        "class_kind": [-1],
        "class_most": [3],
        "cores_by_kind": [20],
        "cpu_booking": 1.5,
        "easy_until": [0.8],
        "free_in_list": True,
        "fresh_offers": 20.0,
        "lost_after": [0.2],
        "memory_by_kind": [40.0],
        "report_counts": "used",
        "spread_by": ["cell"],
    },
    "kinds": ["std"],
    "quantum_us": 2000,
    "report": {"how": "on_probe", "names": ["x0", "x1"]},
    "lanes": [{"name": "web", "effect": "retryable", "importance": 1.0}],
    "rules": {"ask_every_us": 10000000, "cold_us": 18000000, "fall_us": 2000000},
}
START = [
    f"CREATE placer-0 7 {json.dumps(SETUP)}",
    "POOL 0 1",
    "ITEM 40 0 Running std - 20 51 1 hall",
    "REGISTRY placer-0 SAVED 0 1",
]
ASK = "ASK placer-0 9 svc 1 12000000 - 1.5 8000000 task web 2"


def serve_batches(*batches: list[str]) -> tuple[int, str, str]:
    text = "".join(
        "\n".join([f"TURN {1000000 + i}", *lines, "END", ""]) for i, lines in enumerate(batches)
    )
    sink, errors = io.StringIO(), io.StringIO()
    return serve(io.StringIO(text), sink, errors), sink.getvalue(), errors.getvalue()


def test_a_task_is_placed_and_its_answer_ends_with_done() -> None:
    status, out, errors = serve_batches([], START, [ASK])
    assert status == 0
    assert errors == ""
    assert "SEND placer-0 9 51 8000000" in out
    assert out.count("DONE\n") == 3


def test_an_unknown_event_is_passed_over() -> None:
    status, out, errors = serve_batches(START, ["WHATEVER placer-0 1"])
    assert status == 0
    assert "BAIL_OUT" not in out
    assert errors.count("\n") == 1


@pytest.mark.parametrize(
    "line",
    [
        "ASK placer-0 nine svc 1 - - 1 1 t web 1",
        "ASK placer-0",
        "CREATE placer-1 1 {}",
        "REGISTRY placer-0 FULL 7 1",
        "NOTICE placer-0 1 0 51 99 0.5",
    ],
)
def test_unreadable_values_give_up_the_instance_alone(line: str) -> None:
    status, out, errors = serve_batches(START, [line])
    assert status == 0
    assert out.count("BAIL_OUT placer-") == 1
    assert errors.count("\n") == 1


@pytest.mark.parametrize(
    "text", ["HELLO\n", "TURN x\n", "TURN 5\nWAKE placer-0 a\n", "TURN 5\nPOOL 0 2\nEND\n"]
)
def test_a_broken_frame_ends_the_adapter(text: str) -> None:
    sink, errors = io.StringIO(), io.StringIO()
    assert serve(io.StringIO(text), sink, errors) != 0
    assert sink.getvalue() == ""
    assert "broken input" in errors.getvalue()


@pytest.mark.parametrize("key", ["balancers", "me", "discovery", "kinds", "lanes", "quantum_us"])
def test_a_missing_setting_is_named(key: str) -> None:
    with pytest.raises(ValueError, match=key):
        parse_settings_text(json.dumps({k: v for k, v in SETUP.items() if k != key}))


def test_unknown_settings_are_ignored() -> None:
    assert parse_settings_text(json.dumps({**SETUP, "novel": 1})).placers == 2


def test_same_actions_whatever_the_hash_seed() -> None:
    lines = [
        line
        for i in range(30)
        for line in (f"TURN {1000000 + i}", ASK.replace(" 9 ", f" {i} "), "END")
    ]
    text = "\n".join(["TURN 1", *START, "END", *lines, ""])
    outs = {
        subprocess.run(
            [sys.executable, "-m", "wingbarrow.simhost"],
            input=text,
            capture_output=True,
            text=True,
            cwd=Path(__file__).parent.parent,
            check=True,
            env={**os.environ, "PYTHONHASHSEED": seed},
        ).stdout
        for seed in ("0", "1", "77")
    }
    assert len(outs) == 1
    assert "SEND" in outs.pop()
