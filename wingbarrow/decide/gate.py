"""The gate that every offer passes right before its first byte is sent.

The decision module chooses a machine for an offer, which may then wait for a connection. The rules are checked again
after that wait, as their conditions may have changed. The gate only holds offers back; it never chooses a machine.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class HoldReason(Enum):
    """Why an offer is not sent; names are counted in `/metrics` as `held:NAME`."""

    ENDED = "the request has its final answer"
    LATE = "the owner's patience has ended"
    NOT_OUT = "this is not the request's open attempt"
    REPEAT = "an earlier attempt may have run, and a repeat now could have its effect twice"
    DRAINING = "the machine is draining or gone"
    STALE_COLD = "the offer to a cold machine waited too long"
    RESTARTED = "the machine has restarted since it was chosen, and is cold"
    NO_GRANT = "this placer has no valid grant of any rules"
    OTHER_RULES = "it was decided under rules that are no longer in force here"
    FORBIDDEN = "the rules in force forbid it"
    NO_LEASE = "the lease of its Job has expired"
    COLD_SHARE = "this placer's share of the offers to a cold machine is used up"


@dataclass(frozen=True, slots=True)
class Offer:
    """What the gate checks; times in microseconds of one clock."""

    # When the module chose the machine.
    decided_us: int
    deadline_us: int
    # The request has no final answer yet.
    request_is_open: bool
    # This attempt is the request's open one.
    is_current_attempt: bool
    # By the machine list as received so far.
    machine_is_running: bool
    # The machine's latest start; 0: long ago.
    launched_us: int
    # Why the agreed rules forbid the offer now; None where they allow it.
    rules_hold: HoldReason | None = None
    # The Job needs no lease, or this placer's lease of it is valid by this placer's clock.
    lease_is_valid: bool = True
    # No earlier attempt can have run, or `decide.idempotency` allows a repeat.
    may_repeat: bool = True
    # The machine's latest start as known when it was chosen; None: the same as now.
    chosen_launched_us: int | None = None
    # By `decide.slow_start`, where placers hold subsets of the machines.
    cold_share_left: bool = True


class SendGate:
    """Checks offers in a fixed order of rules; `cold_us` and `fall_us` as in the module's settings."""

    def __init__(self, cold_us: int, fall_us: int) -> None:
        self._cold_us = cold_us
        # The module counts offers over a span a quarter longer than `fall_us`; a wait may use half of that margin.
        self._cold_wait_us = fall_us // 8

    def check(self, now_us: int, offer: Offer) -> HoldReason | None:
        """Why to hold the offer; None to send it."""
        # Rule 1. Danger: an offer sent after the final answer, or one whose answer could only come too late.
        if not offer.request_is_open:
            return HoldReason.ENDED
        if now_us >= offer.deadline_us:
            return HoldReason.LATE
        # Rule 2. Danger: two attempts in flight, where this one was given up while it waited for its connection.
        if not offer.is_current_attempt:
            return HoldReason.NOT_OUT
        # Rule 2. Danger: the window in which machines deduplicate a repeat has closed while this offer waited.
        if not offer.may_repeat:
            return HoldReason.REPEAT
        # Agreed rules. Danger: this placer was stalled or partitioned while the others moved to another rule set.
        if offer.rules_hold is not None:
            return offer.rules_hold
        # Leases. Danger: this placer was stalled or partitioned, and another may have started the Job after failover.
        # The floor of the agreed rules does not cover that: it never replaces a lease.
        if not offer.lease_is_valid:
            return HoldReason.NO_LEASE
        # Rule 3. Danger: the machine began to drain while the offer waited. It is held even in the grace period.
        if not offer.machine_is_running:
            return HoldReason.DRAINING
        # Rule 4. Danger: offers that waited are sent in one burst, more within a span than the module counted.
        cold = offer.launched_us > 0 and now_us < offer.launched_us + self._cold_us
        # Danger: chosen while its earlier process was warm, so that the module counted the offer in no cold share.
        if cold and offer.chosen_launched_us not in (None, offer.launched_us):
            return HoldReason.RESTARTED
        if cold and now_us - offer.decided_us > self._cold_wait_us:
            return HoldReason.STALE_COLD
        # Danger: placers that disagree on membership hold a machine in greater number than its share was divided by.
        if cold and not offer.cold_share_left:
            return HoldReason.COLD_SHARE
        return None
