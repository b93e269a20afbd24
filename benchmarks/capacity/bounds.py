"""Bounds of the program that a fleet of the target's size meets, read from the program itself.

Each names the module that holds it, so that a bound that is changed there changes the page.
"""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from functools import cache

from benchmarks.capacity.target import figures
from wingbarrow.config.agreement import VOTER_COUNTS
from wingbarrow.config.settings import Limits
from wingbarrow.core.machine_link import STOP_CONNECTIONS
from wingbarrow.decide.coordination.messages import Timing
from wingbarrow.decide.maintenance.slots import MAX_ACTIVE_SLOTS
from wingbarrow.decide.membership.member_table import MAX_MEMBERS
from wingbarrow.decide.membership.swim import SwimSettings
from wingbarrow.decide.quotas.allocations import MAX_ALLOCATIONS
from wingbarrow.decide.quotas.limits import DEFAULT_STRANDED_US, MAX_LIMITS, FleetLimit
from wingbarrow.decide.replication.records import (
    MIN_BYTES_PER_TASK,
    RECORD_BASE_BYTES,
    ReplicationLimits,
)
from wingbarrow.decide.rulesets.parsing import MAX_TEXT_CHARS
from wingbarrow.decide.rulesets.versions import MAX_SNAPSHOT_CHARS, MAX_SUBSYSTEMS_CHARS
from wingbarrow.decide.sessions.leased_job_record import MAX_RECORD_BYTES
from wingbarrow.peers.message import MAX_ENVELOPE_BYTES
from wingbarrow.peers.outbox import MAX_ADDRESSES

SECOND = 1_000_000
TURN_US = 10_000  # the hub's longest turn, as in docs/rules-agreed.md
BLOCK_BYTES = 50  # as in docs/quotas.md

MEMBERSHIP, MAIL, AGREEMENT, LIMITS = "Membership", "Mail", "Agreement", "Limits"
RECORDS, TURNS, DEFAULTS = "Records", "Turns", "Settings, by default"


@dataclass(frozen=True, slots=True)
class Bound:
    """One figure that the program holds; `path` is its module."""

    ident: str
    what: str
    value: float
    unit: str
    path: str
    topic: str


def _limit_text(placers: int) -> int:
    """Characters of one limit in the text of a rule set, where so many placers share it."""
    names = tuple(f"placer-{index}" for index in range(placers))
    limit = FleetLimit("namespace", "team-000", "standing", 1_000, 0, DEFAULT_STRANDED_US, names)
    return len(json.dumps(asdict(limit), separators=(",", ":")))


@cache
def bounds() -> tuple[Bound, ...]:
    """All of them, in the order of the page."""
    times, rules, defaults, keeper = Timing(), SwimSettings(), Limits(), ReplicationLimits()
    placers = round(figures()["placers"])
    return (
        Bound(
            "members_most",
            "members that a placer knows",
            MAX_MEMBERS,
            "placers",
            "wingbarrow/decide/membership/member_table.py",
            MEMBERSHIP,
        ),
        Bound(
            "detect_s",
            "a death is known to all within, at the target's placers",
            rules.detection_bound_us(placers) / SECOND,
            "s",
            "wingbarrow/decide/membership/swim.py",
            MEMBERSHIP,
        ),
        Bound(
            "heal_s",
            "all are alive to all after a cut has healed, at the target's placers",
            rules.healing_bound_us(placers) / SECOND,
            "s",
            "wingbarrow/decide/membership/swim.py",
            MEMBERSHIP,
        ),
        Bound(
            "addresses_most",
            "addresses that it sends mail to",
            MAX_ADDRESSES,
            "addresses",
            "wingbarrow/peers/outbox.py",
            MAIL,
        ),
        Bound(
            "mail_most",
            "one mail",
            MAX_ENVELOPE_BYTES,
            "bytes",
            "wingbarrow/peers/message.py",
            MAIL,
        ),
        Bound(
            "voters_most",
            "voters",
            max(VOTER_COUNTS),
            "voters",
            "wingbarrow/config/agreement.py",
            AGREEMENT,
        ),
        Bound(
            "grant_s",
            "a grant of rules lasts",
            times.grant_us / SECOND,
            "s",
            "wingbarrow/decide/coordination/messages.py",
            AGREEMENT,
        ),
        Bound(
            "stated_s",
            "longest that two editions which contradict each other are in use",
            times.overlap_us(TURN_US) / SECOND,
            "s",
            "wingbarrow/decide/coordination/messages.py",
            AGREEMENT,
        ),
        Bound(
            "needless_s",
            "until a placer in touch with a majority has a grant again",
            times.reacquire_us() / SECOND,
            "s",
            "wingbarrow/decide/coordination/messages.py",
            AGREEMENT,
        ),
        Bound(
            "rules_text",
            "text of a rule set without federation specs",
            MAX_TEXT_CHARS,
            "bytes",
            "wingbarrow/decide/rulesets/parsing.py",
            AGREEMENT,
        ),
        Bound(
            "snapshot_most",
            "what is kept of rules, for one mail",
            MAX_SNAPSHOT_CHARS,
            "bytes",
            "wingbarrow/decide/rulesets/versions.py",
            AGREEMENT,
        ),
        Bound(
            "chapters_most",
            "all else that is agreed on, in the same mail",
            MAX_SUBSYSTEMS_CHARS,
            "bytes",
            "wingbarrow/decide/rulesets/versions.py",
            AGREEMENT,
        ),
        Bound(
            "limits_most",
            "limits of the whole fleet",
            MAX_LIMITS,
            "limits",
            "wingbarrow/decide/quotas/limits.py",
            LIMITS,
        ),
        Bound(
            "blocks_most",
            "blocks: limits times placers that hold some",
            MAX_ALLOCATIONS,
            "blocks",
            "wingbarrow/decide/quotas/allocations.py",
            LIMITS,
        ),
        Bound(
            "stranded_s",
            "what a dead placer held counts as in use for",
            DEFAULT_STRANDED_US / SECOND,
            "s",
            "wingbarrow/decide/quotas/limits.py",
            LIMITS,
        ),
        Bound(
            "limit_text",
            "of it, a limit that names the target's placers as those who share it",
            _limit_text(placers),
            "bytes",
            "wingbarrow/decide/quotas/limits.py",
            LIMITS,
        ),
        Bound(
            "block_bytes",
            "a block in a snapshot",
            BLOCK_BYTES,
            "bytes",
            "wingbarrow/decide/quotas/allocations.py",
            LIMITS,
        ),
        Bound(
            "record_most",
            "record of a leased Job",
            MAX_RECORD_BYTES,
            "bytes",
            "wingbarrow/decide/sessions/messages.py",
            RECORDS,
        ),
        Bound(
            "record_head",
            "of it kept free beside its tasks",
            RECORD_BASE_BYTES,
            "bytes",
            "wingbarrow/decide/replication/records.py",
            RECORDS,
        ),
        Bound(
            "record_task",
            "of it kept free for each task",
            MIN_BYTES_PER_TASK,
            "bytes",
            "wingbarrow/decide/replication/records.py",
            RECORDS,
        ),
        Bound(
            "keeper_records",
            "records of one holder at one keeper",
            keeper.max_records_per_peer,
            "records",
            "wingbarrow/decide/replication/records.py",
            RECORDS,
        ),
        Bound(
            "turns_active",
            "turns that are active",
            MAX_ACTIVE_SLOTS,
            "turns",
            "wingbarrow/decide/maintenance/slots.py",
            TURNS,
        ),
        Bound(
            "machines_default",
            "machines that a placer lists, by default",
            defaults.machines,
            "machines",
            "wingbarrow/config/settings.py",
            DEFAULTS,
        ),
        Bound(
            "machine_connections",
            "connections of a placer to one machine, by default",
            defaults.per_machine,
            "connections",
            "wingbarrow/config/settings.py",
            DEFAULTS,
        ),
        Bound(
            "stop_connections",
            "and for stops",
            STOP_CONNECTIONS,
            "connections",
            "wingbarrow/core/machine_link.py",
            DEFAULTS,
        ),
    )
