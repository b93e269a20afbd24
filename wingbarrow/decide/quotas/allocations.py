"""Allocations of the fleet's limits: replicated state, and the leader's account of who may hold what; no I/O.

Escrow (O'Neil 1986) with quota leases. An allocation has a *size*, which any leader lets its holder use, and a
*reserved* amount, which the holder may still hold or have in use (`entries`). An *outstanding* allocation is what a
former incarnation of a placer may have left in use. All of it is in the voters' log, so that a change of leader loses
nothing: a placer out of touch counts as what is reserved for it, and has its own again with the first response.

Guarantee: what is in use never exceeds a limit, whatever is lost, duplicated, late, stopped or killed. docs/quotas.md
gives the argument. The rules that it rests on, each marked below where it is kept:

1. A leader grants to an incarnation at most the size decided for that very incarnation, and only after a majority has
   confirmed it since the request came, with all earlier decisions applied. `escrow.QuotaAccount` takes only the
   response to its latest request, within that request's lease.
2. All that is reserved and outstanding is at most the limit. A move between holders takes two entries: the first lowers
   a size, the second, once that is proven, takes the reserved amount down and raises the other size.
3. A reserved amount is reclaimed by one of two proofs. By report: a request of the same incarnation that names this
   leader's term. It was sent after this leader was elected, so that no earlier leader can respond to it or to a later
   one, and earlier responses are void: what it reports and what it is granted is all that its sender holds. By time:
   the drifted lease after this leader's last response to it, or its election, no lease of it lasts, and after the
   limit's lag on top (`stranded`, or the window of a rate) nothing of it is in use.
4. A new incarnation proves that the one before has ended. What was reserved becomes outstanding, and is reclaimed once
   the new incarnation is as old as the lag, or this leader has known of the end for so long. An incarnation with a
   lower number, as after a wall clock was set back, counts only once nothing of the known one can be in use.
5. Each entry names the serial of the state that it was computed on, and changes nothing in another one.
6. Where voters were lost and one went on alone, moves may be lost: nobody is granted anything until every lease and lag
   is over; then all begins anew.

A limit that is lowered, or is new, below what is in use: the excess is taken off all sizes, so that nobody uses more
until enough has ended. A limit that the rule set lacks keeps its allocations until nothing of it can be in use.
Times in microseconds, by this voter's clock.
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
MOVE_INTERVAL_US = 100_000  # between entries: at most ten a second, each for all limits and holders
MAX_ALLOCATIONS = 8192  # in all, so that a snapshot fits into a message: about 50 bytes each
MAX_OUTSTANDING_PER_LIMIT = 1024  # beyond it a new incarnation waits until one is reclaimed
SERIALS_SKIPPED_AT_RECOVERY = 1_000_000  # more than any entries that may have been lost


@dataclass(slots=True)
class _Contact:
    """The latest request of a placer's current incarnation."""

    incarnation: int
    sequence: int
    up_us: int
    received_us: int
    expires_us: int  # when the latest lease granted to it has expired, at the latest
    is_of_this_term: bool  # it proves what its sender holds: rule 3


@dataclass(slots=True)
class _LeaderState:
    """What a leader has learned since its election; begun anew by each."""

    term: int = 0  # no other leader has it; 0 where this voter does not lead
    elected_us: int = 0
    moved_us: int = 0  # when the last entry was proposed
    contacts: dict[str, _Contact] = field(default_factory=dict)
    uses: dict[str, dict[str, HolderUse]] = field(default_factory=dict)  # by limit, by holder
    outstanding_since_us: dict[tuple[str, str, int], int] = field(default_factory=dict)
    ended_us: dict[tuple[str, int], int] = field(default_factory=dict)  # by holder, incarnation
    unlisted_since_us: dict[str, int] = field(default_factory=dict)  # limits the rule set lacks
    rejected_allocations: int = 0  # beyond MAX_ALLOCATIONS


class AllocationLedger:
    """The replicated subsystem `blocks`: allocations of all limits, and the leader's account of them."""

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
        """The term in which this voter leads; 0 where it does not."""
        return self._leader.term

    @property
    def rejected_allocations(self) -> int:
        """How often, in this term, a new holder got nothing because of `MAX_ALLOCATIONS`."""
        return self._leader.rejected_allocations

    # -- replicated

    def apply(self, kind: str, value: dict[str, Any]) -> None:
        """Apply a decided entry.

        Raises ValueError (QuotaEntryError), KeyError, TypeError or AttributeError for one that cannot be read, and
        changes nothing then.
        """
        if kind != MOVE:
            raise QuotaEntryError(f"no such entry: {kind}")
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
        """One voter went on alone: entries may be lost."""
        self.serial += SERIALS_SKIPPED_AT_RECOVERY
        self.may_have_lost_moves = True

    def snapshot(self) -> str:
        """All of the replicated state, in the words of its JSON form."""
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
        """Take the state of a snapshot; an empty text is the state at the beginning."""
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

    # -- the leader's

    def on_leadership_change(self, now_us: int, is_leader: bool, term: int = 0) -> None:
        """Forget what an earlier leadership learned; `term` is this leader's, which no other has."""
        self._leader = _LeaderState(
            term=term if is_leader else 0,
            elected_us=now_us,
            moved_us=now_us - MOVE_INTERVAL_US,
        )

    def on_report(self, now_us: int, requester: Requester, report: Any) -> None:
        """Nothing: `grants_for` takes the reports of all that ask together."""

    def response_for(self, now_us: int, requester: Requester) -> Any:
        """Nothing: quota grants have their own field in a lease grant."""

    def grants_for(
        self,
        now_us: int,
        requests: Sequence[tuple[Requester, Iterable[QuotaReport]]],
        limits: Iterable[FleetLimit],
    ) -> list[tuple[QuotaGrant, ...]]:
        """What each requester may use from now on, in the order of `requests`.

        A majority has confirmed this leader since the requests came (rule 1).
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
        """Take note of a request; whether its reports count: it is neither late nor duplicate."""
        contacts = self._leader.contacts
        name, incarnation = requester.placer, requester.incarnation
        expires_us = lease_expiry_us(now_us, self._lease_us)
        last = contacts.get(name)
        known = max(
            self.incarnations.get(name, incarnation),
            last.incarnation if last is not None else incarnation,
        )
        if incarnation < known and now_us < self._lease_end_us(name) + lag_us:
            return (
                False  # rule 4: a former one, or one after a wall clock was set back, which waits
            )
        if last is not None and last.incarnation == incarnation:
            last.expires_us = expires_us  # Danger: the response to a duplicate brings a lease too
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
            up_us=requester.uptime_us,
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
        """Shares of one limit to grant, each with the index of its request."""
        uses = self._leader.uses[limit.key]
        unreserved_use = sum(
            max(0, use.in_use - decided.of(name).reserved) for name, use in uses.items()
        )
        # In use beyond the limit, which was lowered or is new: all are held to the plan at once.
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
                size = 0  # Danger: the size is a former incarnation's, or moves were lost
            use.granted = min(size, limit.most if planned is None else planned.of(name).size)
            yield index, use.granted

    # -- moves

    def next_proposals(self, now_us: int, rules: RuleSet) -> tuple[list[Proposal], int | None]:
        """One entry for all that is to move, and when to ask again; see `ReplicatedSubsystem`."""
        next_move_us = self._leader.moved_us + MOVE_INTERVAL_US
        if now_us < next_move_us:
            return [], next_move_us
        if self.may_have_lost_moves:
            return self._reset(now_us, rules)
        holders = self._holders(rules)
        restarted = {name: each for name, each in self._restarted().items() if name in holders}
        changed = self._changed(now_us, rules, restarted)
        dropped = self._on_unlisted(now_us, rules, restarted, changed)
        incarnations = {name: each for name, each in self.incarnations.items() if name in holders}
        incarnations |= restarted
        if not changed and not dropped and incarnations == self.incarnations:
            return [], None
        return self._proposed(now_us, MoveEntry(self.serial, incarnations, changed, dropped))

    def _proposed(self, now_us: int, move: MoveEntry) -> tuple[list[Proposal], int]:
        self._leader.moved_us = now_us
        return [Proposal(MOVE, move.to_entry())], now_us + MOVE_INTERVAL_US

    def _reset(self, now_us: int, rules: RuleSet) -> tuple[list[Proposal], int]:
        """Begin anew once all that was granted before a recovery is over (rule 6)."""
        lags_us = [each.lag_us for each in rules.limits] or [drifted_us(HOUR_US)]
        over_us = self._lease_end_us("") + max(lags_us)
        if now_us < over_us:
            return [], over_us
        return self._proposed(now_us, MoveEntry(self.serial, {}, {}, [], is_reset=True))

    def _holders(self, rules: RuleSet) -> set[str]:
        """Names that a limit or an allocation speaks of."""
        holders = {name for limit in rules.limits for name in limit.among}
        for each in self.allocations.values():
            holders.update(each.by_holder)
            holders.update(outstanding.holder for outstanding in each.outstanding)
        return holders

    def _changed(
        self, now_us: int, rules: RuleSet, restarted: dict[str, int]
    ) -> dict[str, LimitAllocations]:
        """New allocations of the limits in which something changes, within MAX_ALLOCATIONS."""
        changed: dict[str, LimitAllocations] = {}
        left = MAX_ALLOCATIONS - sum(len(each.by_holder) for each in self.allocations.values())
        for limit in rules.limits:
            decided = self.allocations.get(limit.key, LimitAllocations())
            planned = self._plan(now_us, limit, decided, restarted)
            new = [name for name in planned.by_holder if name not in decided.by_holder]
            for name in new[max(0, left) :]:
                del planned.by_holder[name]
                self._leader.rejected_allocations += 1
            left -= min(max(0, left), len(new))
            if planned != decided:
                changed[limit.key] = planned
        return changed

    def _restarted(self) -> dict[str, int]:
        """Incarnations in touch that are not the decided ones, by name."""
        return {
            name: each.incarnation
            for name, each in self._leader.contacts.items()
            if each.incarnation != self.incarnations.get(name)
        }

    def _on_unlisted(
        self,
        now_us: int,
        rules: RuleSet,
        restarted: dict[str, int],
        changed: dict[str, LimitAllocations],
    ) -> list[str]:
        """Limits that the rule set lacks: those to drop, as nothing of them can be in use, whatever their lag was.

        Adds to `changed` those others of which a restarted placer held a part.
        """
        listed = {each.key for each in rules.limits}
        since_us = self._leader.unlisted_since_us
        since_us = self._leader.unlisted_since_us = {
            key: since_us.get(key, now_us) for key in self.allocations if key not in listed
        }
        dropped = [
            key
            for key, each_us in since_us.items()
            if now_us >= lease_expiry_us(each_us, self._lease_us) + drifted_us(HOUR_US)
        ]
        for key in since_us.keys() - set(dropped):
            decided = self.allocations[key]
            ended = [name for name in restarted if name in decided.by_holder]
            if ended:
                outstanding = [
                    *decided.outstanding,
                    *(self._ended(decided, each) for each in ended),
                ]
                changed[key] = LimitAllocations(
                    {name: each for name, each in decided.by_holder.items() if name not in ended},
                    outstanding[-MAX_OUTSTANDING_PER_LIMIT:],
                )
        return dropped

    def _ended(self, decided: LimitAllocations, name: str) -> OutstandingAllocation:
        """What the decided incarnation of a restarted placer may have left in use."""
        return OutstandingAllocation(
            name, self.incarnations.get(name, 0), decided.by_holder[name].reserved
        )

    def _lease_end_us(self, name: str) -> int:
        """When no lease that this or an earlier leader granted to the decided incarnation can last."""
        last = self._leader.contacts.get(name)
        if last is not None and last.incarnation == self.incarnations.get(name):
            return last.expires_us
        return lease_expiry_us(self._leader.elected_us, self._lease_us)

    def _plan(
        self, now_us: int, limit: FleetLimit, decided: LimitAllocations, restarted: dict[str, int]
    ) -> LimitAllocations:
        """The allocations of one limit as they are to be next."""
        return next_allocations(self._view(now_us, limit, decided, restarted), decided)

    def _view(
        self, now_us: int, limit: FleetLimit, decided: LimitAllocations, restarted: dict[str, int]
    ) -> LimitView:
        """Allocations as far as they are proven (rules 3 and 4), and reports of holders in touch."""
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
                outstanding.append(self._ended(decided, name))
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
        """Whether nothing of what a former incarnation held can be in use any more (rule 4)."""
        name, incarnation, _ = outstanding
        since_us = self._leader.outstanding_since_us.setdefault(
            (limit.key, name, incarnation), self._leader.ended_us.get((name, incarnation), now_us)
        )
        last = self._leader.contacts.get(name)
        if last is not None and last.incarnation > incarnation:
            age_us = last.up_us + now_us - last.received_us
            if age_us >= limit.lag_us:
                return True  # that incarnation has lasted for so long, and the other ended before
        return now_us >= since_us + limit.lag_us

    # -- reports for operators

    def accounts(self, now_us: int, limits: Iterable[FleetLimit]) -> list[dict[str, object]]:
        """Each limit with who holds what and the age of that news, as the API and the command line show it."""
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
    """A report within its bounds; one that lacks the limit reports no use."""
    if report is None:
        return HolderUse(0, 0, 0)
    return HolderUse(
        reported=max(0, report.share, report.uses),
        in_use=max(0, report.uses),
        demand=min(max(0, report.wants), limit.most),
    )
