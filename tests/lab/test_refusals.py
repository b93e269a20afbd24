"""Needless refusals: planted ones are found, and none where there was a reason."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.lab.made import Made
from wingbarrow.decide.coordination.messages import Timing
from wingbarrow.lab.fleet.judge import judge

LIMIT = "429 limit namespace/default/standing of the whole fleet: 40 at once"
RATE = "429 limit class/web/rate of the whole fleet: 20 in 5 s"
NONE = "503 this placer is out of touch with the others and may act on no rules now"
STATED_S = Timing().reacquire_us() / 1e6


@pytest.fixture
def made(tmp_path: Path) -> Made:
    return Made(tmp_path)


def turned(made: Made, why: str, at_s: float = 50.0, placer: str = "placer-1") -> int:
    """So many needless refusals are found with this one planted, and no other."""
    made.records = [each for each in made.records if each["what"] != "turned-away"]
    made.record(at_s, "owner", "turned-away", placer=placer, job="x", code=int(why[:3]), why=why)
    verdict = judge(made.written())
    assert ("needless_refusals" in verdict.broken) == bool(verdict.needless_refusals)
    return verdict.needless_refusals


def test_the_stated_time_is_at_most_five_seconds_by_default() -> None:
    assert 4 < STATED_S <= 5


@pytest.mark.parametrize("why", [LIMIT, RATE, NONE])
def test_one_without_need_is_found(made: Made, why: str) -> None:
    assert turned(made, why) == 1


@pytest.mark.parametrize(
    "why", ["422 no such class", "429 more than 20000 open tasks", "503 too late to be placed"]
)
def test_other_refusals_are_none(made: Made, why: str) -> None:
    assert turned(made, why) == 0


def test_a_limit_that_was_nearly_used_up_is_a_reason(made: Made) -> None:
    for number in range(23):
        made.record(40, "node-1", "start", pod=f"p{number}", task="t", task_class="web", warm=True)
    assert turned(made, LIMIT) == 1, "23 of 40 ran"
    made.record(
        41,
        "owner",
        "accepted",
        placer="placer-0",
        job="j",
        uid="u",
        task="t",
        task_class="web",
        patience_us=20_000_000,
        sent_us=41_000_000,
    )
    assert turned(made, LIMIT) == 0, "one more waited"
    made.record(
        45,
        "owner",
        "answer",
        placer="placer-0",
        job="j",
        uid="u",
        answer="refused",
        failed="Refused",
    )
    assert turned(made, LIMIT) == 1, "it was answered"


def test_a_rate_counts_what_was_accepted_within_its_window(made: Made) -> None:
    for number in range(12):
        made.record(
            47 + number / 10,
            "owner",
            "accepted",
            placer="placer-0",
            job=f"j{number}",
            uid=f"u{number}",
            task="t",
            task_class="web",
            patience_us=5_000_000,
            sent_us=47_000_000,
        )
        made.record(
            49,
            "owner",
            "answer",
            placer="placer-0",
            job="j",
            uid=f"u{number}",
            answer="refused",
            failed="R",
        )
    assert turned(made, RATE) == 0
    assert turned(made, RATE, 56) == 1


@pytest.mark.parametrize(
    ("kind", "who", "other", "both"),
    [
        ("isolate", "placer-1", "", True),
        ("deafen", "placer-1", "", True),
        ("cut", "placer-0", "placer-2", False),
        ("late", "placer-0", "placer-2", True),
        ("lossy", "placer-0", "placer-2", True),
    ],
)
def test_a_placer_that_was_out_of_touch_had_a_reason(
    made: Made, kind: str, who: str, other: str, both: bool
) -> None:
    """Of three voters all must hear each other, or two of them and one that asks these two."""
    made.fault(40, 50 - STATED_S / 2, kind, who, other, both)
    if kind not in ("isolate", "deafen"):
        made.fault(40, 45.5, "cut", "placer-1", "placer-2")
        made.fault(40, 45.5, "cut", "placer-1", "placer-0")
    assert turned(made, NONE) == 0
    assert turned(made, NONE, 53) == 1, "it had been in touch again for longer than stated"


def test_voters_that_were_away_are_a_reason_for_all(made: Made) -> None:
    made.event(30, "stopped", who="placer-0")
    assert turned(made, LIMIT) == 1, "one of three is away: the others go on"
    made.event(31, "killed", who="placer-2", life=1)
    assert turned(made, LIMIT) == 0, "two are: there was no majority"
    made.event(51, "started", who="placer-2", life=2)
    made.event(51, "continued", who="placer-0")
    assert turned(made, LIMIT, 54) == 0
    assert turned(made, LIMIT, 58) == 1


def test_a_machine_that_gave_a_process_no_processor_is_a_reason(made: Made) -> None:
    made.event(46, "starved", who="placer-1", for_us=500_000)
    assert turned(made, NONE) == 0
    assert turned(made, NONE, placer="placer-0") == 1, "the two others are a majority"


def test_a_link_that_delivers_twice_is_no_reason(made: Made) -> None:
    for other in ("placer-0", "placer-2"):
        made.fault(40, 60, "twice", "placer-1", other)
    assert turned(made, NONE) == 1
