"""Bounds of the program that a fleet of the target's size meets, read from the program itself.

Each names the module that holds it, so that a bound that is changed there changes the page.
"""

from __future__ import annotations

from dataclasses import dataclass

from benchmarks.capacity.target import figures
from wingbarrow.config.agreeing import _VOTERS
from wingbarrow.config.settings import Limits
from wingbarrow.core.link import STOP_CONNECTIONS
from wingbarrow.decide.peers.agreed import SNAPSHOT_MOST
from wingbarrow.decide.peers.asking import Times
from wingbarrow.decide.peers.blocks import MOVE_US, PARTS_MOST
from wingbarrow.decide.peers.leasing import KEEPERS_MOST, RECORD_MOST
from wingbarrow.decide.peers.limits import LIMITS_MOST, STRANDED_US
from wingbarrow.decide.peers.membership import Rules
from wingbarrow.decide.peers.records import RECORD_BYTES, TASK_BYTES, Bounds
from wingbarrow.decide.peers.rules import TEXT_MOST
from wingbarrow.decide.peers.table import MEMBERS_MOST
from wingbarrow.decide.peers.turns import ACTIVE_MOST, TURNS_MOST

from wingbarrow.peers.message import LETTERS_MOST, MAIL_MOST
from wingbarrow.peers.post import BOXES_MOST, WAITING_MOST

SECOND = 1_000_000
TURN_US = 10_000  # the hub's longest turn, as in docs/rules-agreed.md


@dataclass(frozen=True, slots=True)
class Bound:
    """One figure that the program holds; `path` is its module."""

    ident: str
    what: str
    value: float
    unit: str
    path: str


def bounds() -> tuple[Bound, ...]:
    """All of them, in the order of the page."""
    times, rules, defaults, keeper = Times(), Rules(), Limits(), Bounds()
    placers = round(figures()["placers"])
    return (
        Bound("members_most", "members that a placer knows", MEMBERS_MOST, "placers", "wingbarrow/decide/peers/table.py"),
        Bound("addresses_most", "addresses that it sends mail to", BOXES_MOST, "addresses", "wingbarrow/peers/post.py"),
        Bound("mail_most", "one mail", MAIL_MOST, "bytes", "wingbarrow/peers/message.py"),
        Bound("letters_most", "letters in one mail", LETTERS_MOST, "letters", "wingbarrow/peers/message.py"),
        Bound("waiting_most", "letters that wait for one address", WAITING_MOST, "letters", "wingbarrow/peers/post.py"),
        Bound("detect_s", "a death is known to all within, at the target's placers",
              rules.detect_us(placers) / SECOND, "s", "wingbarrow/decide/peers/membership.py"),
        Bound("heal_s", "all are alive to all after a cut has healed, at the target's placers",
              rules.heal_us(placers) / SECOND, "s", "wingbarrow/decide/peers/membership.py"),
        Bound("voters_most", "voters", max(_VOTERS), "voters", "wingbarrow/config/agreeing.py"),
        Bound("grant_s", "a grant of rules lasts", times.grant_us / SECOND, "s", "wingbarrow/decide/peers/asking.py"),
        Bound("stated_s", "longest that two editions which contradict each other are in use", times.stated_us(TURN_US) / SECOND,
              "s", "wingbarrow/decide/peers/asking.py"),
        Bound("needless_s", "until a placer in touch with a majority has a grant again", times.needless_us() / SECOND, "s",
              "wingbarrow/decide/peers/asking.py"),
        Bound("limits_most", "limits of the whole fleet", LIMITS_MOST, "limits", "wingbarrow/decide/peers/limits.py"),
        Bound("blocks_most", "blocks: limits times placers that hold some", PARTS_MOST, "blocks", "wingbarrow/decide/peers/blocks.py"),
        Bound("moves_s", "entries a second that move blocks", SECOND / MOVE_US, "entries/s", "wingbarrow/decide/peers/blocks.py"),
        Bound("stranded_s", "what a dead placer held counts as in use for", STRANDED_US / SECOND, "s",
              "wingbarrow/decide/peers/limits.py"),
        Bound("rules_text", "text of a rule set without federation specs", TEXT_MOST, "bytes", "wingbarrow/decide/peers/rules.py"),
        Bound("snapshot_most", "what is kept of rules, for one mail", SNAPSHOT_MOST, "bytes", "wingbarrow/decide/peers/agreed.py"),
        Bound("record_most", "record of a leased Job", RECORD_MOST, "bytes", "wingbarrow/decide/peers/leasing.py"),
        Bound("record_head", "of it kept free beside its tasks", RECORD_BYTES, "bytes", "wingbarrow/decide/peers/records.py"),
        Bound("record_task", "of it kept free for each task", TASK_BYTES, "bytes", "wingbarrow/decide/peers/records.py"),
        Bound("keepers_most", "keepers of a Job at most", KEEPERS_MOST, "keepers", "wingbarrow/decide/peers/leasing.py"),
        Bound("keeper_records", "records of one holder at one keeper", keeper.records, "records", "wingbarrow/decide/peers/records.py"),
        Bound("turns_most", "turns in the queue", TURNS_MOST, "turns", "wingbarrow/decide/peers/turns.py"),
        Bound("turns_active", "turns that are active", ACTIVE_MOST, "turns", "wingbarrow/decide/peers/turns.py"),
        Bound("machines_default", "machines that a placer lists, by default", defaults.machines, "machines",
              "wingbarrow/config/settings.py"),
        Bound("tasks_default", "open tasks of a placer, by default", defaults.tasks_open, "tasks", "wingbarrow/config/settings.py"),
        Bound("job_tasks", "tasks of a Job, by default", defaults.tasks_per_job, "tasks", "wingbarrow/config/settings.py"),
        Bound("connections_default", "connections that a placer's front takes, by default", defaults.connections, "connections",
              "wingbarrow/config/settings.py"),
        Bound("machine_connections", "connections of a placer to one machine, by default", defaults.per_machine, "connections",
              "wingbarrow/config/settings.py"),
        Bound("stop_connections", "and for stops", STOP_CONNECTIONS, "connections", "wingbarrow/core/link.py"),
    )
