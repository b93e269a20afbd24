"""The table of instances: incarnations, silences, bounds."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from wingbarrow.decide.membership import DEAD_US, FORGET_US, MEMBERS_MOST, SUSPECT_US, Hearing, Members, Standing

S = 1_000_000


def test_a_restarted_peer_is_not_taken_for_its_former_self() -> None:
    table = Members("me", 1)
    assert table.hear("a", 10, "north", "h:1", 0) is Hearing.NEW
    assert table.hear("a", 12, "north", "", S) is Hearing.RESTARTED
    assert table.hear("a", 10, "north", "h:1", 2 * S) is Hearing.OLD
    member = table.members["a"]
    assert (member.incarnation, member.heard_us, member.restarts, member.address) == (12, S, 1, "h:1")


def test_silence_makes_suspected_then_dead_then_forgotten_and_a_word_makes_alive() -> None:
    table = Members("me", 1)
    table.hear("a", 1, "", "", 0)
    assert table.sweep(SUSPECT_US - 1) == []
    assert [member.standing for member in table.sweep(SUSPECT_US)] == [Standing.SUSPECTED]
    assert table.sweep(SUSPECT_US + 1) == []
    assert [member.standing for member in table.sweep(DEAD_US)] == [Standing.DEAD]
    assert table.hear("a", 1, "", "", DEAD_US + S) is Hearing.AGAIN
    assert table.members["a"].standing is Standing.ALIVE
    table.sweep(DEAD_US + S + FORGET_US)
    assert not table.members


def test_own_word_and_a_twin_of_the_same_name_are_told_apart() -> None:
    table = Members("me", 7)
    assert table.hear("me", 7, "", "", 0) is Hearing.SELF
    assert table.hear("me", 8, "", "", 0) is Hearing.TWIN
    assert not table.members


def test_the_table_is_bounded_and_only_the_dead_make_room() -> None:
    table = Members("me", 1)
    for number in range(MEMBERS_MOST):
        table.hear(f"m{number}", 1, "", "", number)
    assert table.hear("more", 1, "", "", 0) is Hearing.FULL
    table.sweep(DEAD_US + 5)
    assert table.hear("more", 1, "", "", DEAD_US + 5) is Hearing.NEW
    assert len(table.members) == MEMBERS_MOST and "m0" not in table.members


@given(st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 5), st.integers(0, 60 * S)), max_size=40))
def test_incarnations_never_go_back_whatever_is_heard(words: list[tuple[str, int, int]]) -> None:
    table = Members("me", 1)
    last: dict[str, int] = {}
    for ident, incarnation, now in words:
        table.hear(ident, incarnation, "", "", now)
        table.sweep(now)
        if ident in table.members:
            assert table.members[ident].incarnation >= last.get(ident, 0)
            last[ident] = table.members[ident].incarnation
