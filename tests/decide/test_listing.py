"""Acceptance of lists and entries by version."""

from __future__ import annotations

from wingbarrow.decide.listing import NEW_SOURCE_US, ListJudge, Take

S = 1_000_000


def test_an_older_list_is_rejected_until_the_source_has_no_other() -> None:
    judge = ListJudge()
    assert judge.judge_list(100, 0) is Take.TAKE
    assert judge.judge_entry("a", 90)
    assert not judge.judge_entry("a", 80)
    assert judge.judge_entry("a", 120)
    assert judge.judge_list(110, S) is Take.TOO_OLD  # an entry of 120 was seen
    assert judge.judge_list(110, S + NEW_SOURCE_US - 1) is Take.TOO_OLD
    assert judge.judge_list(5, S + NEW_SOURCE_US) is Take.NEW_SOURCE
    assert judge.judge_entry("a", 5)
    assert judge.judge_list(6, 2 * NEW_SOURCE_US) is Take.TAKE


def test_a_newer_list_restarts_the_wait_for_a_new_source() -> None:
    judge = ListJudge()
    judge.judge_list(100, 0)
    assert judge.judge_list(50, S) is Take.TOO_OLD
    assert judge.judge_list(101, 2 * S) is Take.TAKE
    assert judge.judge_list(50, S + NEW_SOURCE_US) is Take.TOO_OLD


def test_memory_of_entries_is_bounded() -> None:
    judge = ListJudge()
    for number in range(10_000):
        judge.judge_entry(f"m{number}", number)
        judge.forget({f"m{number}"})
    assert len(judge._entries) <= 66
