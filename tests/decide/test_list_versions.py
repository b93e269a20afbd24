"""Acceptance of machine lists and entries by their version."""

from __future__ import annotations

from wingbarrow.decide.list_versions import NEW_SOURCE_US, ListDecision, ListVersionCheck

S = 1_000_000


def test_an_older_list_is_rejected_until_the_source_has_no_other() -> None:
    versions = ListVersionCheck()
    assert versions.check_list(100, 0) is ListDecision.ACCEPT
    assert versions.accept_entry("a", 90)
    assert not versions.accept_entry("a", 80)
    assert versions.accept_entry("a", 120)
    # An entry of version 120 was accepted before.
    assert versions.check_list(110, S) is ListDecision.REJECT_STALE
    assert versions.check_list(110, S + NEW_SOURCE_US - 1) is ListDecision.REJECT_STALE
    assert versions.check_list(5, S + NEW_SOURCE_US) is ListDecision.ACCEPT_NEW_SOURCE
    assert versions.accept_entry("a", 5)
    assert versions.check_list(6, 2 * NEW_SOURCE_US) is ListDecision.ACCEPT


def test_a_newer_list_restarts_the_wait_for_a_new_source() -> None:
    versions = ListVersionCheck()
    versions.check_list(100, 0)
    assert versions.check_list(50, S) is ListDecision.REJECT_STALE
    assert versions.check_list(101, 2 * S) is ListDecision.ACCEPT
    assert versions.check_list(50, S + NEW_SOURCE_US) is ListDecision.REJECT_STALE


def test_memory_of_entries_is_bounded() -> None:
    versions = ListVersionCheck()
    for number in range(10_000):
        versions.accept_entry(f"m{number}", number)
        versions.prune({f"m{number}"})
    assert len(versions._entries) <= 66
