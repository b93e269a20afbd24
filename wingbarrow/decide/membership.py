"""Which other instances are there: a table kept by heartbeats. It informs; no rule rests on it.

Incarnations grow with each start of an instance, so a restarted peer is never taken for its former self: news of
an older incarnation is dropped. States follow silence alone, in the manner of failure detectors by time-out.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

SUSPECT_US = 3_500_000  # three heartbeats missed
DEAD_US = 15_000_000
FORGET_US = 600_000_000
MEMBERS_MOST = 256


class Standing(Enum):
    """What is thought of an instance."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class Member:
    """An instance as last heard of; times in microseconds of the table's owner."""

    ident: str
    incarnation: int
    region: str
    address: str  # host:port of its front, empty where it told none
    heard_us: int
    standing: Standing = Standing.ALIVE
    restarts: int = 0


class Hearing(Enum):
    """What a heartbeat was worth."""

    NEW = "new"
    AGAIN = "again"
    RESTARTED = "restarted"
    OLD = "old incarnation"
    SELF = "this very instance"
    TWIN = "another instance under this one's name"
    FULL = "table full"


class Members:
    """The table of one instance; `hear` and `sweep` are told the time."""

    def __init__(self, ident: str, incarnation: int) -> None:
        self.ident, self.incarnation = ident, incarnation
        self.members: dict[str, Member] = {}

    def hear(self, ident: str, incarnation: int, region: str, address: str, now_us: int) -> Hearing:
        """A heartbeat, or the answer to one."""
        if ident == self.ident:
            return Hearing.SELF if incarnation == self.incarnation else Hearing.TWIN
        held = self.members.get(ident)
        if held is None:
            if len(self.members) >= MEMBERS_MOST and not self._make_room():
                return Hearing.FULL
            self.members[ident] = Member(ident, incarnation, region, address, now_us)
            return Hearing.NEW
        if incarnation < held.incarnation:
            # Danger: a delayed word of a former life would make a dead instance look alive.
            return Hearing.OLD
        fresh = incarnation > held.incarnation
        self.members[ident] = Member(ident, incarnation, region, address or held.address, max(now_us, held.heard_us),
                                     Standing.ALIVE, held.restarts + fresh)
        return Hearing.RESTARTED if fresh else Hearing.AGAIN

    def _make_room(self) -> bool:
        dead = [member for member in self.members.values() if member.standing is Standing.DEAD]
        if not dead:
            return False
        del self.members[min(dead, key=lambda member: member.heard_us).ident]
        return True

    def sweep(self, now_us: int) -> list[Member]:
        """Judge silences; the members whose standing changed, or that are forgotten now."""
        changed: list[Member] = []
        for ident, member in list(self.members.items()):
            silent = now_us - member.heard_us
            if silent >= FORGET_US:
                del self.members[ident]
                changed.append(replace(member, standing=Standing.DEAD))
                continue
            standing = (Standing.DEAD if silent >= DEAD_US else
                        Standing.SUSPECTED if silent >= SUSPECT_US else Standing.ALIVE)
            if standing is not member.standing:
                self.members[ident] = replace(member, standing=standing)
                changed.append(self.members[ident])
        return changed
