"""Quotas in escrow: fair shares, and limits that hold under lost, duplicated and late messages, stops and restarts."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings, stateful
from hypothesis import strategies as st

from tests.decide.quotas.escrow_fleet import (
    NAMES,
    STANDING,
    STRANDED,
    Fleet,
    Scenario,
    holds_all,
    then_b_uses_its_share,
    uses_all,
)
from wingbarrow.decide.coordination.lease_client import LeaseClient
from wingbarrow.decide.quotas.allocations import AllocationLedger
from wingbarrow.decide.quotas.entries import Allocation, LimitAllocations
from wingbarrow.decide.quotas.escrow import max_min_fair


@given(
    st.integers(0, 50), st.dictionaries(st.sampled_from("abcdef"), st.integers(0, 60), min_size=1)
)
def test_shares_are_max_min_fair_and_use_up_the_total(total: int, wants: dict[str, int]) -> None:
    parts = max_min_fair(total, wants)
    assert sum(parts.values()) <= total
    assert min(parts.values()) >= 0
    assert sum(parts.values()) >= min(total, sum(wants.values()))
    for name, part in parts.items():
        if part < wants[name]:
            assert all(
                other <= part + 1 or other <= wants[holder] for holder, other in parts.items()
            )


def test_unbounded_demand_leaves_to_others_their_fair_share() -> None:
    assert max_min_fair(100, {"liar": 10**6, "x": 20, "y": 30}) == {"liar": 50, "x": 20, "y": 30}
    assert max_min_fair(100, {"liar": 10**6, "x": 80, "y": 90}) == {"liar": 34, "x": 33, "y": 33}


run: Callable[..., None] = stateful.run_state_machine_as_test
SETTINGS = settings(
    max_examples=150,
    stateful_step_count=50,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


def test_limits_hold_under_any_schedule() -> None:
    Fleet.event_counts = Counter()
    run(Fleet, settings=SETTINGS)
    assert (
        min(
            Fleet.event_counts[each]
            for each in ("given", "standing", "starts", "deaths", "leaders", "moves")
        )
        >= 20
    ), Fleet.event_counts


# -- planted errors, each with the scenario that exposes it


class NoLag(AllocationLedger):
    """Planted: an expired allocation is reclaimed before its lag has passed."""

    def _lease_end_us(self, name: str) -> int:
        return super()._lease_end_us(name) - STRANDED


class NoOutstanding(AllocationLedger):
    """Planted: the allocation of a former incarnation is reclaimed at once."""

    def _is_reclaimed(self, *_: Any) -> bool:
        return True


class OneIncarnation(AllocationLedger):
    """Planted: a new incarnation is mistaken for the one before."""

    def grants_for(self, now_us: int, requests: Any, limits: Any) -> Any:
        return super().grants_for(
            now_us,
            [
                (
                    replace(
                        requester,
                        incarnation=1,
                        sequence=requester.incarnation * 10**6 + requester.sequence,
                    ),
                    reports,
                )
                for requester, reports in requests
            ],
            limits,
        )


class AnyTerm(AllocationLedger):
    """Planted: a request that was sent to an earlier leader counts as proof of what its sender holds."""

    def grants_for(self, now_us: int, requests: Any, limits: Any) -> Any:
        return super().grants_for(
            now_us,
            [(replace(requester, term=self.term), reports) for requester, reports in requests],
            limits,
        )


class AtOnce(AllocationLedger):
    """Planted: the reserved amount is lowered together with the size, without proof."""

    def _plan(self, *args: Any) -> Any:
        for each in self._leader.contacts.values():
            each.is_of_this_term = False
        planned = super()._plan(*args)
        return LimitAllocations(
            {name: Allocation(size, size) for name, (size, _) in planned.by_holder.items()},
            planned.outstanding,
        )


class Forgetful(AllocationLedger):
    """Planted: a new leader starts without the decided allocations."""

    def on_leadership_change(self, now_us: int, is_leader: bool, term: int = 0) -> None:
        super().on_leadership_change(now_us, is_leader, term)
        if is_leader:
            self.allocations = {key: LimitAllocations() for key in self.allocations}


class AnyAnswer(LeaseClient):
    """Planted: an account accepts responses to requests before its latest."""

    def on_grant(self, now_us: int, ident: str, grant: Any) -> Any:
        self._last_request_number, number = grant.number, self._last_request_number
        try:
            return super().on_grant(now_us, ident, grant)
        finally:
            self._last_request_number = number


class Stale(LeaseClient):
    """Planted: shares outlive the lease."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.quotas.expire = lambda: None  # type: ignore[method-assign]


def silent(fleet: Fleet) -> None:
    uses_all(fleet)
    fleet.pass_time(1500)
    fleet.pass_time(1500)


def restarted(fleet: Fleet) -> None:
    uses_all(fleet)
    fleet.kill("a")
    fleet.renew_lease("a", 0)


def restarted_and_works(fleet: Fleet) -> None:
    uses_all(fleet)
    fleet.kill("a")
    for _ in range(3):
        fleet.renew_lease("a", 6)
    fleet.start("a", 6)


def late_report(fleet: Fleet) -> None:
    """Two reports of little use by `a` reach a re-elected leader late, after another leader has granted `a` more."""
    for name in NAMES * 3:
        fleet.renew_lease(name, 1)
    fleet.ask("a", 0)
    fleet.ask("a", 0)
    late = fleet.messages[-2:]
    fleet.messages.clear()
    fleet.elect(1, True)
    for name, wants in (("a", 6), ("b", 0), ("c", 0)) * 8:
        fleet.renew_lease(name, wants)
    fleet.elect(0, True)
    fleet.start("a", 6)
    fleet.renew_lease("b", 6)
    for message in late:
        fleet.deliver_request(message)
        fleet.renew_lease("b", 6)


def demanded_elsewhere(fleet: Fleet) -> None:
    """`a` holds the whole limit, and uses it only after `b` has demanded a share."""
    holds_all(fleet)
    for _ in range(3):
        fleet.renew_lease("b", 6)
    fleet.start("b", 3)
    fleet.start("a", 6)


def deposed(fleet: Fleet) -> None:
    uses_all(fleet)
    fleet.elect(1, True)


def late_answer(fleet: Fleet) -> None:
    """`a` requests again before a large grant arrives; the later request releases the share, then the grant arrives."""
    for name, wants in (("b", 6), ("a", 0), ("c", 0)) * 8:
        fleet.renew_lease(name, wants)
    for _ in range(4):
        fleet.renew_lease("b", 0)
        fleet.renew_lease("b", 0)
        fleet.renew_lease("a", 6, to_placer=False)
    late = fleet.messages[-1]
    for _ in range(3):
        fleet.renew_lease("b", 6)
        fleet.renew_lease("a", 0, to_placer=False)
    fleet.renew_lease("b", 6)
    fleet.start("b", fleet.placers["b"].lease_client.quotas.shares[STANDING.key])
    fleet.deliver_grant(late)
    fleet.start("a", 4)


def expired(fleet: Fleet) -> None:
    uses_all(fleet)
    fleet.end("a", 6)
    for _ in range(6):
        fleet.pass_time(1500)
    for _ in range(4):
        fleet.renew_lease("b", 6)
    fleet.start("b", 4)
    fleet.ask("a", 6)
    fleet.deliver_request(fleet.messages.pop())
    early = fleet.messages.pop()
    fleet.ask("a", 6)
    fleet.deliver_grant(early)
    fleet.start("a", 6)


@pytest.mark.parametrize(
    ("planted", "scenario"),
    [
        (NoLag, silent),
        (NoOutstanding, restarted),
        (OneIncarnation, restarted_and_works),
        (AnyTerm, late_report),
        (AtOnce, demanded_elsewhere),
        (Forgetful, deposed),
        (AnyAnswer, late_answer),
        (Stale, expired),
    ],
)
def test_planted_error_exceeds_a_limit(planted: Any, scenario: Scenario) -> None:
    def play(fleet: Fleet) -> None:
        scenario(fleet)
        then_b_uses_its_share(fleet)

    play(Fleet())
    where = "ledgers" if issubclass(planted, AllocationLedger) else "clients"
    with pytest.raises(AssertionError, match="exceed the standing limit"):
        play(type(planted.__name__, (Fleet,), {where: planted})())
