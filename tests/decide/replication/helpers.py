"""Builders of a primary and its replicas in other regions, and a message exchange between them without delay."""

from __future__ import annotations

from wingbarrow.decide.effects import Effect, Notify, Send
from wingbarrow.decide.replication.primary import Primary
from wingbarrow.decide.replication.records import (
    ReplicationLimits,
    ReplicationTerms,
)
from wingbarrow.decide.replication.replica import Replica
from wingbarrow.decide.sessions.leased_job_record import LeasedJobRecord
from wingbarrow.decide.sessions.session import Session

S = 1_000_000
ALLOWED = ("north", "south", "west")
TERMS = ReplicationTerms(ALLOWED, 1)
REGIONS = {"b": "south", "c": "west", "d": "south", "e": "west"}
SESSION = Session("a", 1, 0)


def new_record(
    uid: str,
    effect: str = "safe",
    version: int = 1,
    manifest: str = "{}",
    session: Session = SESSION,
) -> LeasedJobRecord:
    return LeasedJobRecord(
        form=1,
        uid=uid,
        key=f"shop/{uid}",
        session=session,
        epoch=0,
        version=version,
        region="north",
        spec="spread",
        effect=effect,
        group="all",
        window_us=3 * S,
        after_us=5 * S,
        priority=0,
        cores=1.0,
        memory=1.0,
        count=1,
        manifest=manifest,
        keepers=(),
        answered="",
        born_age_us=0,
    )


def new_primary(limits: ReplicationLimits = ReplicationLimits(), names: str = "bcde") -> Primary:
    primary = Primary(SESSION, "north", 1, limits)
    primary.on_membership(0, {"a": ("north", 1)} | {name: (REGIONS[name], 1) for name in names})
    return primary


def new_replicas() -> dict[str, Replica]:
    return {name: Replica(Session(name, 1, 0)) for name in REGIONS}


def settled(effects: list[Effect]) -> dict[int, tuple[bool, str]]:
    return {
        each.fields["token"]: (each.fields["good"], each.fields["why"])
        for each in effects
        if isinstance(each, Notify) and each.event == "kept"
    }


def exchange(
    primary: Primary, replicas: dict[str, Replica], now_us: int, silent: str = ""
) -> list[Effect]:
    """Call the primary's timer and deliver all messages without delay; return the primary's events.

    `silent` has the one-letter names of the replicas whose messages are dropped.
    """
    events: list[Effect] = []
    queue = primary.on_timer(now_us)
    for effect in queue:  # the primary's reactions are appended during the loop
        if isinstance(effect, Notify):
            events.append(effect)
        elif isinstance(effect, Send) and effect.ident in replicas and effect.ident not in silent:
            for response in replicas[effect.ident].on_request(now_us, "a", effect.message):
                if isinstance(response, Send):
                    queue += primary.on_message(now_us, effect.ident, response.message)
    return events
