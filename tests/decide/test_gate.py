"""The send gate: each rule, and the limit of offers to a cold machine within any window."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from wingbarrow.decide.gate import HoldReason, Offer, SendGate

S = 1_000_000


OFFER = Offer(
    decided_us=10 * S,
    deadline_us=20 * S,
    request_is_open=True,
    is_current_attempt=True,
    machine_is_running=True,
    launched_us=0,
)


GATE = SendGate(cold_us=18 * S, fall_us=2 * S)


@pytest.mark.parametrize(
    ("change", "now", "held"),
    [
        ({}, 11 * S, None),
        ({"request_is_open": False}, 11 * S, HoldReason.ENDED),
        ({}, 20 * S, HoldReason.LATE),
        ({}, 20 * S - 1, None),
        ({"is_current_attempt": False}, 11 * S, HoldReason.NOT_OUT),
        ({"machine_is_running": False}, 10 * S, HoldReason.DRAINING),
        ({"lease_is_valid": False}, 11 * S, HoldReason.NO_LEASE),
        ({"launched_us": 5 * S}, 10 * S + S // 4, None),
        ({"launched_us": 5 * S}, 10 * S + S // 4 + 1, HoldReason.STALE_COLD),
        ({"launched_us": 5 * S, "deadline_us": 90 * S}, 23 * S, None),
        ({"may_repeat": False}, 11 * S, HoldReason.REPEAT),
        ({"launched_us": 5 * S, "chosen_launched_us": 5 * S}, 10 * S, None),
        ({"launched_us": 5 * S, "chosen_launched_us": 0}, 10 * S, HoldReason.RESTARTED),
        ({"launched_us": 5 * S, "chosen_launched_us": 0, "deadline_us": 90 * S}, 23 * S, None),
    ],
)
def test_gate_holds_an_offer_that_a_rule_forbids(
    change: dict[str, object], now: int, held: HoldReason | None
) -> None:
    assert GATE.check(now, replace(OFFER, **change)) is held  # type: ignore[arg-type]


def test_delayed_offers_to_a_cold_machine_stay_within_the_budget_of_any_window() -> None:
    """Offers that the module counts over 2.5 s and that wait up to 0.25 s stay within the budget of any 2 s."""
    rng, budget = random.Random(4), 5
    decided: list[int] = []
    sent: list[int] = []
    for now in range(0, 60 * S, 20_000):
        if len([at for at in decided if at > now - 2_500_000]) < budget:
            decided.append(now)
            at = now + rng.randrange(0, S)
            if GATE.check(at, Offer(now, 1 << 50, True, True, True, 1)) is None or at > 18 * S:
                sent.append(at)
    cold = sorted(at for at in sent if at < 18 * S)
    assert cold
    assert all(len([b for b in cold if a <= b < a + 2 * S]) <= budget for a in cold)
