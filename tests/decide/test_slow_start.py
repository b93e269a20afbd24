"""The account of offers to cold machines: what a share allows, when it is given back, and that nothing gets past it."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wingbarrow.decide.gate import Held, Offer, SendGate
from wingbarrow.decide.slow_start import Came, ColdShare
from wingbarrow.decide.subsets import SubsetRules, Subsets

S = 1_000_000
FALL = 2 * S
SPAN = FALL * 5 // 4


def test_an_offer_counts_until_a_span_after_it_came() -> None:
    account = ColdShare(SPAN)
    assert account.left(0, "m", 1, 2) == 2
    account.sent("m", 1, 18 * S, "a")
    account.sent("m", 1, 18 * S, "b")
    assert account.left(10 * S, "m", 1, 2) == 0, "nobody knows yet whether they came"
    account.ended(10 * S, "m", "a", Came.SPOKE)
    assert account.left(10 * S + SPAN - 1, "m", 1, 2) == 0
    assert account.left(10 * S + SPAN, "m", 1, 2) == 1
    account.ended(11 * S, "m", "b", Came.NEVER)
    assert account.left(13 * S, "m", 1, 2) == 2


def test_a_given_up_offer_counts_until_the_machine_speaks_or_starts_anew() -> None:
    account = ColdShare(SPAN)
    for offer in ("a", "b", "c"):
        account.sent("m", 1, 18 * S, offer)
        account.ended(S, "m", offer, Came.UNKNOWN)
    assert account.left(9 * S, "m", 1, 3) == 0
    account.ended(9 * S, "m", "d", Came.ALONE)
    assert account.left(9 * S + SPAN, "m", 1, 3) == 0, "a broken connection says nothing of others"
    account.ended(9 * S, "m", "", Came.SPOKE)
    assert account.left(9 * S + SPAN - 1, "m", 1, 3) == 0
    assert account.left(9 * S + SPAN, "m", 1, 3) == 3
    account.sent("m", 1, 18 * S, "e")
    account.ended(12 * S, "m", "e", Came.UNKNOWN)
    assert account.left(13 * S, "m", 2, 3) == 2, (
        "to its former process: it counts as come at the new start"
    )
    assert account.left(13 * S + SPAN, "m", 2, 3) == 3


def test_a_smaller_share_is_kept_at_once_and_none_stays_none() -> None:
    account = ColdShare(SPAN)
    account.sent("m", 1, 18 * S, "a")
    account.ended(0, "m", "a", Came.SPOKE)
    assert account.left(0, "m", 1, 1) == 0
    assert account.left(0, "m", 1, 0) == 0
    assert account.left(0, "n", 1, 0) == 0


def test_a_full_table_lets_nothing_out_until_a_machine_is_no_longer_cold() -> None:
    account = ColdShare(SPAN, machines_most=2)
    account.sent("m", 1, 18 * S, "a")
    account.sent("n", 1, 5 * S, "b")
    assert account.left(S, "o", 1, 3) == 0
    assert len(account) == 2
    assert account.left(5 * S, "o", 1, 3) == 3
    assert len(account) == 1


def test_figures_out_of_range_are_refused() -> None:
    for span, most in ((0, 1), (1, 0)):
        with pytest.raises(ValueError, match="above 0"):
            ColdShare(span, most)


def test_the_gate_holds_an_offer_to_a_cold_machine_beyond_the_share() -> None:
    gate = SendGate(18 * S, FALL)

    def held(cold_share_left: bool, launched_us: int) -> Held | None:
        return gate.check(
            20 * S,
            Offer(20 * S, 30 * S, True, True, True, launched_us, cold_share_left=cold_share_left),
        )

    assert held(False, 10 * S) is Held.COLD_SHARE
    assert held(True, 10 * S) is None
    assert held(False, 1 * S) is None, "it is not cold any more"
    assert held(False, 0) is None


_EVENTS = st.lists(
    st.tuples(st.integers(0, 6), st.integers(0, 700_000), st.booleans()), max_size=150
)


@settings(max_examples=150, deadline=None)
@given(events=_EVENTS, replicas=st.integers(1, 7), offers=st.integers(0, 30))
def test_all_placers_together_stay_within_the_offers_whoever_holds_the_machine(
    events: list[tuple[int, int, bool]], replicas: int, offers: int
) -> None:
    """Every placer of the roster sends as much as its own account lets it, as in a cut where each is alone.

    What the machine reads may lie unread until a later event; then all that was sent is read at that moment.
    """
    names = tuple(f"p{index}" for index in range(7))
    subsets = Subsets(SubsetRules(names, replicas))
    accounts = {name: ColdShare(SPAN) for name in names}
    now, count = 0, 0
    unread: list[tuple[str, str]] = []
    arrived: list[int] = []
    for which, wait_us, reads in events:
        now += wait_us
        name = names[which]
        for _ in range(3):
            if accounts[name].left(now, "m", 1, subsets.cold_most(name, "m", offers)) > 0:
                count += 1
                accounts[name].sent("m", 1, 1 << 60, f"o{count}")
                unread.append((name, f"o{count}"))
                if count % 5 == 0:
                    accounts[name].ended(now, "m", f"o{count}", Came.UNKNOWN)
        if reads:
            arrived += [now] * len(unread)
            for sender, offer in unread:
                accounts[sender].ended(now, "m", offer, Came.SPOKE)
            unread = []
            within = [at for at in arrived if at > now - FALL]
            assert len(within) <= offers
