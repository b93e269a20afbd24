"""The judge finds needless refusals, and counts none that had a reason."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.lab.made import Made
from wingbarrow.decide.coordination.messages import Timing
from wingbarrow.lab.fleet.judge import judge

AT_LIMIT = "429 limit namespace/default/standing of the whole fleet: 40 at once"
AT_RATE = "429 limit class/web/rate of the whole fleet: 20 in 5 s"
NO_RULES = "503 this placer is out of touch with the others and may act on no rules now"
STATED_S = Timing().reacquire_us() / 1e6


@pytest.fixture
def made(tmp_path: Path) -> Made:
    return Made(tmp_path)


def needless_refusals(made: Made, why: str, at_s: float = 50.0, placer: str = "placer-1") -> int:
    """The count of needless refusals if this refusal is the only one in the records."""
    made.records = [each for each in made.records if each["what"] != "turned-away"]
    made.record(at_s, "owner", "turned-away", placer=placer, job="x", code=int(why[:3]), why=why)
    verdict = judge(made.written())
    assert ("needless_refusals" in verdict.broken) == bool(verdict.needless_refusals)
    return verdict.needless_refusals


def test_the_stated_time_is_at_most_five_seconds_by_default() -> None:
    assert 4 < STATED_S <= 5


@pytest.mark.parametrize("why", [AT_LIMIT, AT_RATE, NO_RULES])
def test_one_without_need_is_found(made: Made, why: str) -> None:
    assert needless_refusals(made, why) == 1


@pytest.mark.parametrize(
    "why", ["422 no such class", "429 more than 20000 open tasks", "503 too late to be placed"]
)
def test_other_refusals_are_none(made: Made, why: str) -> None:
    assert needless_refusals(made, why) == 0


def test_a_limit_that_was_nearly_used_up_is_a_reason(made: Made) -> None:
    for number in range(23):
        made.record(40, "node-1", "start", pod=f"p{number}", task="t", task_class="web", warm=True)
    assert needless_refusals(made, AT_LIMIT) == 1, "23 of 40 ran"
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
    assert needless_refusals(made, AT_LIMIT) == 0, "one more Job waited for its answer"
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
    assert needless_refusals(made, AT_LIMIT) == 1, "that Job was answered"


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
    assert needless_refusals(made, AT_RATE) == 0
    assert needless_refusals(made, AT_RATE, 56) == 1


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
    """Contact needs a majority whose links to each other and to the placer have no fault.

    With three voters that is the placer and one other, or the two others.
    """
    made.fault(40, 50 - STATED_S / 2, kind, who, other, both)
    if kind not in ("isolate", "deafen"):
        made.fault(40, 45.5, "cut", "placer-1", "placer-2")
        made.fault(40, 45.5, "cut", "placer-1", "placer-0")
    assert needless_refusals(made, NO_RULES) == 0
    assert needless_refusals(made, NO_RULES, 53) == 1, (
        "it had been in contact again for longer than the stated time"
    )


def test_voters_that_were_away_are_a_reason_for_all(made: Made) -> None:
    made.event(30, "stopped", who="placer-0")
    assert needless_refusals(made, AT_LIMIT) == 1, (
        "one of three voters is stopped: the others are a majority"
    )
    made.event(31, "killed", who="placer-2", life=1)
    assert needless_refusals(made, AT_LIMIT) == 0, (
        "two of three voters are down: there was no majority"
    )
    made.event(51, "started", who="placer-2", life=2)
    made.event(51, "continued", who="placer-0")
    assert needless_refusals(made, AT_LIMIT, 54) == 0
    assert needless_refusals(made, AT_LIMIT, 58) == 1


def test_a_machine_that_gave_a_process_no_processor_is_a_reason(made: Made) -> None:
    made.event(46, "starved", who="placer-1", for_us=500_000)
    assert needless_refusals(made, NO_RULES) == 0
    assert needless_refusals(made, NO_RULES, placer="placer-0") == 1, (
        "the two others are a majority"
    )


def test_a_link_that_delivers_twice_is_no_reason(made: Made) -> None:
    for other in ("placer-0", "placer-2"):
        made.fault(40, 60, "twice", "placer-1", other)
    assert needless_refusals(made, NO_RULES) == 1
