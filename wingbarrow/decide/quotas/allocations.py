"""Replicated allocations of fleet-wide limits, and the leader's account of what each holder may have in use; no I/O.

Escrow (O'Neil 1986) with quota leases. An allocation has a *size*, the amount that any leader lets its holder use, and
a *reserved* amount, the most that its holder may still hold or have in use (`entries`). An *outstanding* allocation is
the amount that a former incarnation of a placer may have left in use. All of this state is in the voters' log, so that
a change of leader loses nothing: a placer that is out of contact counts with its reserved amount, and the first
response that it receives afterwards grants its allocation again.

Guarantee: the amount in use never exceeds a limit, whatever messages are lost, duplicated or late, and whichever
processes stop or are killed. docs/quotas.md gives the argument. It rests on these rules, which the code below cites by
number:

1. A leader grants to an incarnation at most the size decided for that very incarnation, and only after a majority has
   confirmed the leader since the request arrived, with all earlier entries applied. `escrow.QuotaAccount` accepts only
   the response to its latest request, within the lease of that request.
2. The sum of all reserved and outstanding amounts is at most the limit. Moving an amount between holders takes two
   entries: the first lowers one size; the second, once that is proven, lowers the reserved amount and raises the other
   size.
3. A reserved amount is reclaimed on either of two proofs. By report: a request of the same incarnation that names this
   leader's term. It was sent after this leader was elected, so no earlier leader can respond to it or to a later one,
   and earlier responses are void: what it reports and what it is granted is all that its sender holds. By time: when
   a lease, lengthened for clock drift, has passed since this leader's last response to the placer, or since its
   election, no lease of the placer is valid; when the limit's lag (`stranded`, or the window of a rate) has passed as
   well, nothing of the allocation is in use.
4. A new incarnation proves that the one before has ended. The reserved amount becomes outstanding, and is reclaimed
   when the new incarnation is as old as the lag, or when this leader has known of the end for that long. An incarnation
   with a lower number, as after a wall clock was set back, is accepted only when nothing of the known one can be in
   use.
5. Each entry names the serial of the state that it was computed on, and has no effect on any other state.
6. After voters were lost and one of them recovered alone, decided moves may be lost: nothing is granted until every
   lease and lag has passed; then all allocations begin at zero.

Where a limit is lowered or added below the amount in use, the excess is taken off all sizes, so that nobody uses more
until enough has been released. A limit that the rule set lacks keeps its allocations until nothing of it can be in use.
Times are in microseconds, by this voter's clock.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import Any

from wingbarrow.decide.coordination.leases import lease_expiry_us
from wingbarrow.decide.coordination.subsystem import Proposal
from wingbarrow.decide.quotas.entries import (
    NO_ALLOCATION,
    Allocation,
    LimitAllocations,
    MoveEntry,
    OutstandingAllocation,
    QuotaEntryError,
)
from wingbarrow.decide.quotas.escrow import QuotaGrant, QuotaReport, Requester
from wingbarrow.decide.quotas.limits import HOUR_US, FleetLimit, drifted_us
from wingbarrow.decide.quotas.planning import HolderUse, LimitView, next_allocations
from wingbarrow.decide.rulesets.ruleset import RuleSet

MOVE = "move"  # the only kind of entry
MOVE_INTERVAL_US = 100_000  # at most ten entries a second, each for all limits and holders
MAX_ALLOCATIONS = 8192  # of all limits: about 50 bytes each, so that a snapshot fits into a message
MAX_OUTSTANDING_PER_LIMIT = 1024  # at this number a new incarnation waits until one is reclaimed
SERIALS_SKIPPED_AT_RECOVERY = 1_000_000  # more than the entries that a recovery may lose


@dataclass(slots=True)
class _Contact:
    """The latest request of a placer's current incarnation."""

    incarnation: int
    sequence: int
    uptime_us: int
    received_us: int
    expires_us: int  # by then the latest lease granted to it has expired
    is_of_this_term: bool  # if so, it proves what its sender holds (rule 3)


@dataclass(slots=True)
class _LeaderState:
    """What a leader has learned since its election; each leader starts with an empty one."""

    term: int = 0  # unique to this leader; 0 while this voter does not lead
    elected_us: int = 0
    last_proposed_us: int = 0
    contacts: dict[str, _Contact] = field(default_factory=dict)
    uses: dict[str, dict[str, HolderUse]] = field(default_factory=dict)  # by limit key, by holder
    # When this leader first knew of an outstanding allocation: by limit key, holder, incarnation.
    outstanding_since_us: dict[tuple[str, str, int], int] = field(default_factory=dict)
    # When an incarnation had ended at the latest: by holder, incarnation.
    ended_us: dict[tuple[str, int], int] = field(default_factory=dict)
    # Limits with allocations that the rule set lacks: by limit key.
    absent_limits_since_us: dict[str, int] = field(default_factory=dict)
    rejected_allocations: int = 0  # because of MAX_ALLOCATIONS


class AllocationLedger:
    """The replicated subsystem `blocks`: the allocations of all limits, and the leader's account of their use."""

    name = "blocks"

    def __init__(self, lease_us: int) -> None:
        self._lease_us = lease_us
        self.serial = 0
        self.may_have_lost_moves = False  # rule 6
        self.incarnations: dict[str, int] = {}
        self.allocations: dict[str, LimitAllocations] = {}  # by the limit's key
        self._leader = _LeaderState()

    @property
    def term(self) -> int:
        """The term in which this voter leads; 0 while it does not."""
        return self._leader.term

    @property
    def rejected_allocations(self) -> int:
        """How often in this term `MAX_ALLOCATIONS` kept a new holder from an allocation."""
        return self._leader.rejected_allocations

    # -- replicated

    def apply(self, kind: str, value: dict[str, Any]) -> None:
        """Apply a decided entry.

        Raises ValueError (QuotaEntryError), KeyError, TypeError or AttributeError for an entry that cannot be decoded,
        which then changes nothing.
        """
        if kind != MOVE:
            raise QuotaEntryError(f"unknown kind of quota entry: expected {MOVE!r}, got {kind!r}")
        if value["base"] == self.serial:  # rule 5
            self._apply_move(MoveEntry.from_entry(value))

    def _apply_move(self, move: MoveEntry) -> None:
        self.serial += 1
        self.incarnations = dict(move.incarnations)
        self.may_have_lost_moves = self.may_have_lost_moves and not move.is_reset
        kept = {} if move.is_reset else self.allocations
        self.allocations = {
            key: each
            for key, each in {**kept, **move.allocations}.items()
            if key not in move.dropped
        }

    def recovered(self) -> None:
        """Record that one voter recovered alone, so that decided entries may be lost."""
        self.serial += SERIALS_SKIPPED_AT_RECOVERY
        self.may_have_lost_moves = True

    def snapshot(self) -> str:
        """The replicated state as JSON text."""
        return json.dumps(
            {
                "serial": self.serial,
                "doubt": self.may_have_lost_moves,
                "lives": self.incarnations,
                "blocks": {key: each.to_json() for key, each in self.allocations.items()},
            },
            sort_keys=True,
            separators=(",", ":"),
        )

    def restore(self, text: str) -> None:
        """Replace the state by that of a snapshot; an empty text stands for the initial state."""
        if not text:
            self.serial = 0
            self.may_have_lost_moves = False
            self.incarnations = {}
            self.allocations = {}
            return
        value = json.loads(text)
        self.serial = int(value["serial"])
        self.may_have_lost_moves = bool(value["doubt"])
        self.incarnations = dict(value["lives"])
        self.allocations = {
            key: LimitAllocations.from_json(each) for key, each in value["blocks"].items()
        }

    # -- the leader's account

    def on_leadership_change(self, now_us: int, is_leader: bool, term: int = 0) -> None:
        """Discard what was learned in an earlier term; `term` is that of this leader and unique to it."""
        self._leader = _LeaderState(
            term=term if is_leader else 0,
            elected_us=now_us,
            last_proposed_us=now_us - MOVE_INTERVAL_US,
        )

    def on_report(self, now_us: int, requester: Requester, report: Any) -> None:
        """Do nothing: `grants_for` processes the reports of all requesters together."""

    def response_for(self, now_us: int, requester: Requester) -> Any:
        """Return None: quota grants have a field of their own in a lease grant."""

    def grants_for(
        self,
        now_us: int,
        requests: Sequence[tuple[Requester, Iterable[QuotaReport]]],
        limits: Iterable[FleetLimit],
    ) -> list[tuple[QuotaGrant, ...]]:
        """The quota grants of each requester, in the order of `requests`.

        The caller ensures that a majority has confirmed this leader since the requests arrived (rule 1).
        """
        limits = tuple(limits)
        grants = [list[QuotaGrant]() for _ in requests]
        longest_lag_us = max((each.lag_us for each in limits), default=0)
        uses_by_limit = self._leader.uses
        for key in uses_by_limit.keys() - {each.key for each in limits}:
            del uses_by_limit[key]
        is_current = [
            self._on_contact(now_us, requester, longest_lag_us) for requester, _ in requests
        ]
        reports = [{each.key: each for each in reported} for _, reported in requests]
        for limit in limits:
            uses = uses_by_limit.setdefault(limit.key, {})
            decided = self.allocations.get(limit.key, LimitAllocations())
            for index, (requester, _) in enumerate(requests):
                name = requester.placer
                if is_current[index] and (name in limit.among or name in decided.by_holder):
                    uses[name] = _use_of(limit, reports[index].get(limit.key))
            for index, share in self._shares(now_us, requests, is_current, limit, decided):
                grants[index].append(QuotaGrant(limit.key, share))
        return [tuple(each) for each in grants]

    def _on_contact(self, now_us: int, requester: Requester, lag_us: int) -> bool:
        """Record a request; return False for a late or duplicate one, whose reports do not count."""
        contacts = self._leader.contacts
        name, incarnation = requester.placer, requester.incarnation
        expires_us = lease_expiry_us(now_us, self._lease_us)
        last = contacts.get(name)
        known = max(
            self.incarnations.get(name, incarnation),
            last.incarnation if last is not None else incarnation,
        )
        if incarnation < known and now_us < self._lease_end_us(name) + lag_us:
            # Rule 4: a former incarnation, or one after a wall clock was set back, which has to wait.
            return False
        if last is not None and last.incarnation == incarnation:
            last.expires_us = expires_us  # Danger: the response to a duplicate grants a lease too
            if requester.sequence <= last.sequence:
                return False
        else:
            if last is not None:
                self._leader.ended_us[name, last.incarnation] = min(now_us, last.expires_us)
            for uses in self._leader.uses.values():
                uses.pop(name, None)
        contacts[name] = _Contact(
            incarnation=incarnation,
            sequence=requester.sequence,
            uptime_us=requester.uptime_us,
            received_us=now_us,
            expires_us=expires_us,
            is_of_this_term=requester.term == self._leader.term,
        )
        return True

    def _shares(
        self,
        now_us: int,
        requests: Sequence[tuple[Requester, Any]],
        is_current: Sequence[bool],
        limit: FleetLimit,
        decided: LimitAllocations,
    ) -> Iterator[tuple[int, int]]:
        """Yield the share of one limit to grant to each current request, with the index of that request."""
        uses = self._leader.uses[limit.key]
        unreserved_use = sum(
            max(0, use.in_use - decided.of(name).reserved) for name, use in uses.items()
        )
        # The limit was lowered or is new, and more is in use: no grant exceeds the plan, though it is not decided yet.
        planned = (
            self._plan(now_us, limit, decided, self._restarted())
            if decided.total + unreserved_use > limit.most
            else None
        )
        for index, (requester, _) in enumerate(requests):
            name = requester.placer
            use = uses.get(name)
            if not is_current[index] or use is None:
                continue
            size = decided.of(name).size
            if self.incarnations.get(name) != requester.incarnation or self.may_have_lost_moves:
                size = 0  # Danger: the size is that of a former incarnation, or moves were lost
            use.granted = min(size, limit.most if planned is None else planned.of(name).size)
            yield index, use.granted

    # -- moves

    def next_proposals(self, now_us: int, rules: RuleSet) -> tuple[list[Proposal], int | None]:
        """One entry with all moves, or none, and when to call again; see `ReplicatedSubsystem`."""
        next_move_us = self._leader.last_proposed_us + MOVE_INTERVAL_US
        if now_us < next_move_us:
            return [], next_move_us
        if self.may_have_lost_moves:
            return self._reset(now_us, rules)
        holders = self._holders(rules)
        restarted = {name: each for name, each in self._restarted().items() if name in holders}
        changed = self._changed(now_us, rules, restarted)
        dropped = self._unlisted_changes(now_us, rules, restarted, changed)
        incarnations = {name: each for name, each in self.incarnations.items() if name in holders}
        incarnations |= restarted
        if not changed and not dropped and incarnations == self.incarnations:
            return [], None
        return self._proposed(now_us, MoveEntry(self.serial, incarnations, changed, dropped))

    def _proposed(self, now_us: int, move: MoveEntry) -> tuple[list[Proposal], int]:
        self._leader.last_proposed_us = now_us
        return [Proposal(MOVE, move.to_entry())], now_us + MOVE_INTERVAL_US

    def _reset(self, now_us: int, rules: RuleSet) -> tuple[list[Proposal], int]:
        """Propose empty allocations once every lease and lag from before a recovery has passed (rule 6)."""
        lags_us = [each.lag_us for each in rules.limits] or [drifted_us(HOUR_US)]
        over_us = self._lease_end_us("") + max(lags_us)
        if now_us < over_us:
            return [], over_us
        return self._proposed(now_us, MoveEntry(self.serial, {}, {}, [], is_reset=True))

    def _holders(self, rules: RuleSet) -> set[str]:
        """Names of all placers that a limit or an allocation names."""
        holders = {name for limit in rules.limits for name in limit.among}
        for each in self.allocations.values():
            holders.update(each.by_holder)
            holders.update(outstanding.holder for outstanding in each.outstanding)
        return holders

    def _changed(
        self, now_us: int, rules: RuleSet, restarted: dict[str, int]
    ) -> dict[str, LimitAllocations]:
        """New allocations, within MAX_ALLOCATIONS, of the limits whose allocations change."""
        changed: dict[str, LimitAllocations] = {}
        remaining = MAX_ALLOCATIONS - sum(len(each.by_holder) for each in self.allocations.values())
        for limit in rules.limits:
            decided = self.allocations.get(limit.key, LimitAllocations())
            planned = self._plan(now_us, limit, decided, restarted)
            new = [name for name in planned.by_holder if name not in decided.by_holder]
            for name in new[max(0, remaining) :]:
                del planned.by_holder[name]
                self._leader.rejected_allocations += 1
            remaining -= min(max(0, remaining), len(new))
            if planned != decided:
                changed[limit.key] = planned
        return changed

    def _restarted(self) -> dict[str, int]:
        """Incarnations of placers in contact that differ from the decided ones, by name."""
        return {
            name: each.incarnation
            for name, each in self._leader.contacts.items()
            if each.incarnation != self.incarnations.get(name)
        }

    def _unlisted_changes(
        self,
        now_us: int,
        rules: RuleSet,
        restarted: dict[str, int],
        changed: dict[str, LimitAllocations],
    ) -> list[str]:
        """Keys of limits to drop: the rule set lacks them, and nothing of them can be in use, whatever their lag was.

        Adds to `changed` the other limits that the rule set lacks and of which a restarted placer held an allocation.
        """
        listed = {each.key for each in rules.limits}
        since_us = self._leader.absent_limits_since_us
        since_us = self._leader.absent_limits_since_us = {
            key: since_us.get(key, now_us) for key in self.allocations if key not in listed
        }
        dropped = [
            key
            for key, absent_since_us in since_us.items()
            if now_us >= lease_expiry_us(absent_since_us, self._lease_us) + drifted_us(HOUR_US)
        ]
        for key in since_us.keys() - set(dropped):
            decided = self.allocations[key]
            ended = [name for name in restarted if name in decided.by_holder]
            if ended:
                outstanding = [
                    *decided.outstanding,
                    *(self._outstanding_of(decided, each) for each in ended),
                ]
                changed[key] = LimitAllocations(
                    {name: each for name, each in decided.by_holder.items() if name not in ended},
                    outstanding[-MAX_OUTSTANDING_PER_LIMIT:],
                )
        return dropped

    def _outstanding_of(self, decided: LimitAllocations, name: str) -> OutstandingAllocation:
        """The amount that the decided incarnation of a restarted placer may have left in use."""
        return OutstandingAllocation(
            name, self.incarnations.get(name, 0), decided.by_holder[name].reserved
        )

    def _lease_end_us(self, name: str) -> int:
        """When every lease that this or an earlier leader granted to the decided incarnation has expired."""
        last = self._leader.contacts.get(name)
        if last is not None and last.incarnation == self.incarnations.get(name):
            return last.expires_us
        return lease_expiry_us(self._leader.elected_us, self._lease_us)

    def _plan(
        self, now_us: int, limit: FleetLimit, decided: LimitAllocations, restarted: dict[str, int]
    ) -> LimitAllocations:
        """The allocations of one limit to propose next."""
        return next_allocations(self._view(now_us, limit, decided, restarted), decided)

    def _view(
        self, now_us: int, limit: FleetLimit, decided: LimitAllocations, restarted: dict[str, int]
    ) -> LimitView:
        """Allocations as far as they are proven (rules 3 and 4), and reports of holders in contact."""
        outstanding = [
            each for each in decided.outstanding if not self._is_reclaimed(now_us, limit, each)
        ]
        all_uses = self._leader.uses.get(limit.key, {})
        proven: dict[str, Allocation] = {}
        in_touch: dict[str, HolderUse] = {}
        members = frozenset(limit.among)
        for name in sorted(members.union(decided.by_holder)):
            current = decided.by_holder.get(name, NO_ALLOCATION)
            size, reserved = current
            if name in restarted and name in decided.by_holder:
                if len(outstanding) >= MAX_OUTSTANDING_PER_LIMIT:
                    continue
                outstanding.append(self._outstanding_of(decided, name))
                size = reserved = 0
            use = all_uses.get(name)
            last = self._leader.contacts.get(name)
            if use is not None and last is not None:
                if last.is_of_this_term:
                    reserved = max(size, use.held)
                if now_us < last.expires_us:
                    in_touch[name] = use
                    reserved = max(reserved, use.in_use)
            if (
                name not in in_touch
                and name not in restarted
                and now_us >= self._lease_end_us(name) + limit.lag_us
            ):
                size = reserved = 0
            proven[name] = current.changed(size, reserved)
        return LimitView(limit, proven, in_touch, outstanding, members)

    def _is_reclaimed(
        self, now_us: int, limit: FleetLimit, outstanding: OutstandingAllocation
    ) -> bool:
        """Whether nothing that a former incarnation held can still be in use (rule 4)."""
        name, incarnation, _ = outstanding
        since_us = self._leader.outstanding_since_us.setdefault(
            (limit.key, name, incarnation), self._leader.ended_us.get((name, incarnation), now_us)
        )
        last = self._leader.contacts.get(name)
        if last is not None and last.incarnation > incarnation:
            age_us = last.uptime_us + now_us - last.received_us
            if age_us >= limit.lag_us:
                return True  # the former incarnation ended before this one started, a lag ago
        return now_us >= since_us + limit.lag_us

    # -- reports for operators

    def accounts(self, now_us: int, limits: Iterable[FleetLimit]) -> list[dict[str, object]]:
        """Each limit with its holders, their use and the age of their reports, as the API and the CLI show it."""
        accounts: list[dict[str, object]] = []
        for limit in limits:
            decided = self.allocations.get(limit.key, LimitAllocations())
            uses = self._leader.uses.get(limit.key, {})
            accounts.append(
                {
                    "limit": limit.key,
                    "most": limit.most,
                    "free": limit.most - decided.total,
                    "owed": decided.total_outstanding,
                    "held": [
                        self._account(now_us, name, allocation, uses.get(name))
                        for name, allocation in sorted(decided.by_holder.items())
                    ],
                }
            )
        return accounts

    def _account(
        self, now_us: int, name: str, allocation: Allocation, use: HolderUse | None
    ) -> dict[str, object]:
        last = self._leader.contacts.get(name)
        return {
            "placer": name,
            "share": allocation.size,
            "counts": allocation.reserved,
            "uses": use.in_use if use else 0,
            "wants": use.demand if use else 0,
            "ageUs": now_us - (last.received_us if last else self._leader.elected_us),
            "lapsed": last is None or now_us >= last.expires_us,
        }


def _use_of(limit: FleetLimit, report: QuotaReport | None) -> HolderUse:
    """A holder's use from its report, clamped to valid values; a missing report means no use."""
    if report is None:
        return HolderUse(0, 0, 0)
    return HolderUse(
        reported=max(0, report.share, report.uses),
        in_use=max(0, report.uses),
        demand=min(max(0, report.wants), limit.most),
    )
