"""The gate that every offer passes right before its first byte is sent.

The module decides on an offer; between that and its first byte the offer may wait for a connection. Time passes
meanwhile, so the rules are checked once more. The gate only holds offers back; it never chooses a machine.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class HoldReason(Enum):
    """Why an offer is not sent; names are counted in `/metrics` as `held:NAME`."""

    ENDED = "the request has ended"
    LATE = "the owner's patience has ended"
    NOT_OUT = "another attempt is out"
    REPEAT = "an earlier attempt may have run, and a repeat now could have its effect twice"
    DRAINING = "the machine drains or is gone"
    STALE_COLD = "the offer to a cold machine waited too long"
    RESTARTED = "the machine has started anew since it was chosen, and is cold"
    NO_GRANT = "this placer may act on no rules now"
    OTHER_RULES = "it was decided under rules that are not acted on any more"
    FORBIDDEN = "the rules in force allow no such offer"
    NO_LEASE = "the lease by which its Job runs has lapsed"
    COLD_SHARE = "this placer's share of the offers to a cold machine is used up"


@dataclass(frozen=True, slots=True)
class Offer:
    """What the gate checks; times in microseconds of one clock."""

    decided_us: int  # when the module chose the machine
    deadline_us: int
    request_is_open: bool  # its final answer has not been given
    is_current_attempt: bool  # this attempt, and no other, is the request's open one
    machine_is_running: bool  # by the list as received so far
    launched_us: int  # the machine's last start, 0 for long ago
    rules_hold: HoldReason | None = (
        None  # why the agreed rules forbid it now, None where they allow it
    )
    leased: bool = True  # its Job needs no lease, or this placer's is valid by its own clock
    may_repeat: bool = (
        True  # no earlier attempt can have run, or `decide.idempotency` allows a repeat
    )
    # The machine's last start as known when it was chosen; None: as now.
    chosen_launched_us: int | None = None
    cold_share_left: bool = (
        True  # by `decide.slow_start`, where placers hold subsets of the machines
    )


class SendGate:
    """The checks in order; `cold_us` and `fall_us` as in the module's settings."""

    def __init__(self, cold_us: int, fall_us: int) -> None:
        self._cold_us = cold_us
        # The module counts offers over a span a quarter longer than `fall_us`; half of that margin may pass here.
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
        # Rule 2. Danger: the window in which machines discard a repeat has closed while this one waited.
        if not offer.may_repeat:
            return HoldReason.REPEAT
        # Agreed rules. Danger: this placer was stalled or partitioned while the others moved to another rule set.
        if offer.rules_hold is not None:
            return offer.rules_hold
        # Leases. Danger: this placer was stalled or partitioned, and another may start the Job after failover by now.
        # A floor says nothing about that: it never replaces a lease.
        if not offer.leased:
            return HoldReason.NO_LEASE
        # Rule 3. Danger: the machine began to drain while the offer waited; held at once, not after the grace period.
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
