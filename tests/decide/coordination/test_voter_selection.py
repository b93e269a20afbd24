"""The receivers of a placer's lease requests during leader changes and link failures."""

from __future__ import annotations

import pytest

from wingbarrow.decide.coordination.voter_selection import (
    MAX_REDIRECTS,
    MAX_RELAYED_GRANTS,
    Receiver,
    VoterSelector,
)


@pytest.fixture
def selector() -> VoterSelector:
    return VoterSelector("me", ("a", "b", "c"))


def test_a_known_leader_is_asked_itself(selector: VoterSelector) -> None:
    assert selector.choose("a", is_unanswered=False) == Receiver("a", forward=False)


def test_a_leader_asks_itself_also_while_a_request_is_unanswered(selector: VoterSelector) -> None:
    assert selector.choose("me", is_unanswered=True) == Receiver("me", forward=False)


def test_without_a_known_leader_the_voters_are_asked_in_turn(selector: VoterSelector) -> None:
    asked = [selector.choose("", is_unanswered=False).name for _ in range(3)]
    assert sorted(asked) == ["a", "b", "c"]


def test_voters_forward_requests_to_a_leader_that_does_not_answer(selector: VoterSelector) -> None:
    selector.choose("a", is_unanswered=False)
    receiver = selector.choose("a", is_unanswered=True)
    assert receiver.name in ("b", "c")
    assert receiver.forward


def test_a_leader_that_does_not_answer_is_asked_again_once_all_others_were(
    selector: VoterSelector,
) -> None:
    selector.choose("a", is_unanswered=False)
    asked = [selector.choose("a", is_unanswered=True).name for _ in range(3)]
    assert asked[2] == "a"


def test_a_relay_stays_for_a_bounded_number_of_grants(selector: VoterSelector) -> None:
    for _ in range(MAX_RELAYED_GRANTS):
        selector.on_grant("b", "a", was_forwarded=True)
        assert selector.choose("a", is_unanswered=False) == Receiver("b", forward=True)
    selector.on_grant("b", "a", was_forwarded=True)
    assert selector.choose("a", is_unanswered=False) == Receiver("a", forward=False)


def test_redirects_are_followed_at_once_and_only_so_many_in_a_row(selector: VoterSelector) -> None:
    for leader in ("b", "c")[:MAX_REDIRECTS]:
        assert selector.on_redirect(leader)
        assert selector.choose("a", is_unanswered=False) == Receiver(leader, forward=False)
    assert not selector.on_redirect("a")


@pytest.mark.parametrize("leader", ["", "me"])
def test_a_redirect_to_nobody_or_to_oneself_is_not_followed(
    selector: VoterSelector, leader: str
) -> None:
    assert not selector.on_redirect(leader)
