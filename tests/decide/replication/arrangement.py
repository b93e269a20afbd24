"""A primary in one region, and replicas in others, for the tests of replication."""

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
WHERE = {"b": "south", "c": "west", "d": "south", "e": "west"}
ME = Session("a", 1, 0)


def record(
    uid: str, effect: str = "safe", version: int = 1, manifest: str = "{}", session: Session = ME
) -> LeasedJobRecord:
    return LeasedJobRecord(
        1,
        uid,
        f"shop/{uid}",
        session,
        0,
        version,
        "north",
        "spread",
        effect,
        "all",
        3 * S,
        5 * S,
        0,
        1.0,
        1.0,
        1,
        manifest,
        (),
        "",
        0,
    )


def holder(bounds: ReplicationLimits = ReplicationLimits(), names: str = "bcde") -> Primary:
    made = Primary(ME, "north", 1, bounds)
    made.on_membership(0, {"a": ("north", 1)} | {name: (WHERE[name], 1) for name in names})
    return made


def kept(effects: list[Effect]) -> dict[int, tuple[bool, str]]:
    return {
        each.fields["token"]: (each.fields["good"], each.fields["why"])
        for each in effects
        if isinstance(each, Notify) and each.event == "kept"
    }


def exchange(
    made: Primary, keepers: dict[str, Replica], now_us: int, deaf: str = ""
) -> list[Effect]:
    """All mail goes to and fro at once, but to and from the deaf."""
    told: list[Effect] = []
    todo = made.on_timer(now_us)
    for effect in todo:  # grows by the answers while it is read
        if isinstance(effect, Notify):
            told.append(effect)
        elif isinstance(effect, Send) and effect.ident in keepers and effect.ident not in deaf:
            for answer in keepers[effect.ident].on_request(now_us, "a", effect.message):
                if isinstance(answer, Send):
                    todo += made.on_message(now_us, effect.ident, answer.message)
    return told
