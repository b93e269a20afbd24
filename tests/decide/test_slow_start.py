"""The account of offers to cold machines: what a share allows, when an offer stops counting, and the joint limit."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wingbarrow.decide.gate import HoldReason, Offer, SendGate
from wingbarrow.decide.slow_start import Arrival, SlowStartShare
from wingbarrow.decide.subsets import SubsetRules, Subsets

S = 1_000_000
FALL = 2 * S
SPAN = FALL * 5 // 4


def test_an_offer_counts_until_a_span_after_its_arrival() -> None:
    account = SlowStartShare(SPAN)
    assert account.remaining(0, "m", 1, 2) == 2
    account.on_sent("m", 1, 18 * S, "a")
    account.on_sent("m", 1, 18 * S, "b")
    assert account.remaining(10 * S, "m", 1, 2) == 0, "neither is known to have arrived"
    account.on_ended(10 * S, "m", "a", Arrival.CONTACT)
    assert account.remaining(10 * S + SPAN - 1, "m", 1, 2) == 0
    assert account.remaining(10 * S + SPAN, "m", 1, 2) == 1
    account.on_ended(11 * S, "m", "b", Arrival.NEVER)
    assert account.remaining(13 * S, "m", 1, 2) == 2


def test_a_given_up_offer_counts_until_the_machine_answers_or_restarts() -> None:
    account = SlowStartShare(SPAN)
    for offer in ("a", "b", "c"):
        account.on_sent("m", 1, 18 * S, offer)
        account.on_ended(S, "m", offer, Arrival.UNKNOWN)
    assert account.remaining(9 * S, "m", 1, 3) == 0
    account.on_ended(9 * S, "m", "d", Arrival.ARRIVED)
    assert account.remaining(9 * S + SPAN, "m", 1, 3) == 0, (
        "a broken connection shows nothing of other offers"
    )
    account.on_ended(9 * S, "m", "", Arrival.CONTACT)
    assert account.remaining(9 * S + SPAN - 1, "m", 1, 3) == 0
    assert account.remaining(9 * S + SPAN, "m", 1, 3) == 3
    account.on_sent("m", 1, 18 * S, "e")
    account.on_ended(12 * S, "m", "e", Arrival.UNKNOWN)
    assert account.remaining(13 * S, "m", 2, 3) == 2, (
        "sent to the earlier process: it counts as arriving now"
    )
    assert account.remaining(13 * S + SPAN, "m", 2, 3) == 3


def test_a_smaller_share_applies_at_once_and_a_share_of_none_allows_none() -> None:
    account = SlowStartShare(SPAN)
    account.on_sent("m", 1, 18 * S, "a")
    account.on_ended(0, "m", "a", Arrival.CONTACT)
    assert account.remaining(0, "m", 1, 1) == 0
    assert account.remaining(0, "m", 1, 0) == 0
    assert account.remaining(0, "n", 1, 0) == 0


def test_a_full_table_allows_no_offer_until_a_machine_is_no_longer_cold() -> None:
    account = SlowStartShare(SPAN, max_machines=2)
    account.on_sent("m", 1, 18 * S, "a")
    account.on_sent("n", 1, 5 * S, "b")
    assert account.remaining(S, "o", 1, 3) == 0
    assert len(account) == 2
    assert account.remaining(5 * S, "o", 1, 3) == 3
    assert len(account) == 1


def test_settings_out_of_range_raise() -> None:
    for span, most in ((0, 1), (1, 0)):
        with pytest.raises(ValueError, match="above 0"):
            SlowStartShare(span, most)


def test_the_gate_holds_an_offer_to_a_cold_machine_beyond_the_share() -> None:
    gate = SendGate(18 * S, FALL)

    def held(cold_share_left: bool, launched_us: int) -> HoldReason | None:
        return gate.check(
            20 * S,
            Offer(20 * S, 30 * S, True, True, True, launched_us, cold_share_left=cold_share_left),
        )

    assert held(False, 10 * S) is HoldReason.COLD_SHARE
    assert held(True, 10 * S) is None
    assert held(False, 1 * S) is None, "the machine is no longer cold"
    assert held(False, 0) is None


_EVENTS = st.lists(
    st.tuples(st.integers(0, 6), st.integers(0, 700_000), st.booleans()), max_size=150
)


@settings(max_examples=150, deadline=None)
@given(events=_EVENTS, replicas=st.integers(1, 7), offers=st.integers(0, 30))
def test_all_placers_together_stay_within_the_offers_whoever_holds_the_machine(
    events: list[tuple[int, int, bool]], replicas: int, offers: int
) -> None:
    """Every placer of the roster sends as much as its own account allows, as in a partition that isolates each.

    Offers may stay unread at the machine until a later event, at which all of them are read at once.
    """
    names = tuple(f"p{index}" for index in range(7))
    subsets = Subsets(SubsetRules(names, replicas))
    accounts = {name: SlowStartShare(SPAN) for name in names}
    now, count = 0, 0
    unread: list[tuple[str, str]] = []
    arrived: list[int] = []
    for which, wait_us, reads in events:
        now += wait_us
        name = names[which]
        for _ in range(3):
            if (
                accounts[name].remaining(now, "m", 1, subsets.max_cold_offers(name, "m", offers))
                > 0
            ):
                count += 1
                accounts[name].on_sent("m", 1, 1 << 60, f"o{count}")
                unread.append((name, f"o{count}"))
                if count % 5 == 0:
                    accounts[name].on_ended(now, "m", f"o{count}", Arrival.UNKNOWN)
        if reads:
            arrived += [now] * len(unread)
            for sender, offer in unread:
                accounts[sender].on_ended(now, "m", offer, Arrival.CONTACT)
            unread = []
            within = [at for at in arrived if at > now - FALL]
            assert len(within) <= offers
