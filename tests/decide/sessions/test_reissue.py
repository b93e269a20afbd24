"""Reissue and recovery: both tables compared with independent implementations."""

from __future__ import annotations

import itertools
from dataclasses import replace
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from wingbarrow.decide.sessions import reissue
from wingbarrow.decide.sessions.leased_job_record import (
    EFFECTS,
    TASK_PHASES,
)
from wingbarrow.decide.sessions.messages import MachineReport
from wingbarrow.decide.sessions.reissue import (
    REISSUE_TABLE,
    KeyWindow,
    MachineAnswer,
    ReissueDecision,
    ReissueRow,
    RunCopy,
    decide,
    machine_answer,
    resolve_copies,
)

ALL = list(itertools.product(EFFECTS, TASK_PHASES, MachineAnswer, KeyWindow))


def expected_decision(effect: str, phase: str, answer: str, window: str) -> str:
    """An independent implementation of the reissue table."""
    if phase == "over":
        return "nothing"
    if effect == "safe" or answer == "operator":
        return "run"
    if effect == "keyed":
        return {"running": "waiting", "past": "run", "unknown": "unknown"}[window]
    return expected_for_unsafe(phase, answer)


def expected_for_unsafe(phase: str, answer: str) -> str:
    if answer == "holds" or phase in ("doubt", "placed"):
        return "unknown"
    if phase == "none" or answer == "clear":
        return "run"
    return "asked" if answer == "unasked" else "unknown"


def deviations(table: tuple[ReissueRow, ...]) -> list[tuple[str, ...]]:
    return [each for each in ALL if decide(*each, table).decision.value != expected_decision(*each)]


def test_the_table_matches_an_independent_statement_and_the_page_and_has_no_unused_row() -> None:
    assert not deviations(REISSUE_TABLE)
    assert {id(decide(*each)) for each in ALL} == {id(row) for row in REISSUE_TABLE}
    docs = (Path(__file__).parents[3] / "docs" / "reissue.md").read_text()
    assert all(row.why for row in REISSUE_TABLE)
    assert all(table in docs for table in reissue.markdown().strip().split("\n\n"))


def test_each_row_is_needed_and_each_wrong_decision_is_found() -> None:
    for index, row in enumerate(REISSUE_TABLE):
        for decision in ReissueDecision:
            if decision is not row.decision:
                assert deviations(
                    (
                        *REISSUE_TABLE[:index],
                        replace(row, decision=decision),
                        *REISSUE_TABLE[index + 1 :],
                    )
                )


@given(st.integers(0, 10**9), st.integers(0, 10**9), st.integers(0, 10**8), st.booleans())
def test_only_a_machine_that_was_up_all_of_the_time_clears_an_attempt(
    boot_at_us: int, sent_us: int, delay_us: int, holds: bool
) -> None:
    reported_us = max(boot_at_us, sent_us)
    report = MachineReport(1, "m", "u", True, holds, reported_us - boot_at_us)
    answer = machine_answer(report, reported_us + delay_us - sent_us)
    if answer == "clear":
        assert boot_at_us < sent_us
        assert not holds
    assert (answer == "holds") is holds
    assert machine_answer(replace(report, reached=False), 0) == "unreachable"
    assert machine_answer(None, 0) == "unasked"


@given(
    st.sampled_from(EFFECTS),
    st.tuples(st.integers(0, 2), st.sampled_from("abc"), st.booleans()),
    st.tuples(st.integers(0, 2), st.sampled_from("abc"), st.booleans()),
)
def test_recovery_is_the_same_from_both_sides_and_never_stops_an_unsafe_run(
    effect: str, one: tuple[int, str, bool], other: tuple[int, str, bool]
) -> None:
    a, b = RunCopy(*one), RunCopy(*other)
    resolution = resolve_copies(effect, a, b)
    mine, theirs = resolution.mine, resolution.theirs
    if (a.epoch, a.holder) != (b.epoch, b.holder):
        assert resolve_copies(effect, b, a) == replace(resolution, mine=theirs, theirs=mine)
        assert (mine, theirs).count(ReissueDecision.RUN) <= 1 + (
            effect == "unsafe" and a.is_running and b.is_running
        )
    if effect == "unsafe":
        assert ReissueDecision.STOP not in (mine, theirs)
        assert not (a.is_running and mine is not ReissueDecision.RUN)
        assert not (b.is_running and not a.is_running and theirs is ReissueDecision.WAIT)
