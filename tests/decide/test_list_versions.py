"""Acceptance of lists and entries by version."""

from __future__ import annotations

from wingbarrow.decide.list_versions import NEW_SOURCE_US, ListDecision, ListVersionCheck

S = 1_000_000


def test_an_older_list_is_rejected_until_the_source_has_no_other() -> None:
    judge = ListVersionCheck()
    assert judge.check_list(100, 0) is ListDecision.ACCEPT
    assert judge.accept_entry("a", 90)
    assert not judge.accept_entry("a", 80)
    assert judge.accept_entry("a", 120)
    assert judge.check_list(110, S) is ListDecision.REJECT_STALE  # an entry of 120 was seen
    assert judge.check_list(110, S + NEW_SOURCE_US - 1) is ListDecision.REJECT_STALE
    assert judge.check_list(5, S + NEW_SOURCE_US) is ListDecision.ACCEPT_NEW_SOURCE
    assert judge.accept_entry("a", 5)
    assert judge.check_list(6, 2 * NEW_SOURCE_US) is ListDecision.ACCEPT


def test_a_newer_list_restarts_the_wait_for_a_new_source() -> None:
    judge = ListVersionCheck()
    judge.check_list(100, 0)
    assert judge.check_list(50, S) is ListDecision.REJECT_STALE
    assert judge.check_list(101, 2 * S) is ListDecision.ACCEPT
    assert judge.check_list(50, S + NEW_SOURCE_US) is ListDecision.REJECT_STALE


def test_memory_of_entries_is_bounded() -> None:
    judge = ListVersionCheck()
    for number in range(10_000):
        judge.accept_entry(f"m{number}", number)
        judge.prune({f"m{number}"})
    assert len(judge._entries) <= 66
