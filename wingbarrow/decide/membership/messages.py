"""What is said of members, and the messages of the membership; bounds are the wire's (`peers.message`)."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum


class MemberStatus(Enum):
    """What is thought of a member."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    DEAD = "dead"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """What somebody says of a member.

    `incarnation` orders words about one member; only the member itself raises it. `life` tells one run of a program
    from the next. `by`: who suspects it.
    """

    ident: str
    incarnation: int
    standing: MemberStatus
    address: str
    region: str
    life: int
    by: str = ""

    def as_standing(self, standing: MemberStatus, by: str = "") -> MemberUpdate:
        """The same with another standing."""
        return replace(self, standing=standing, by=by)


def overrides(word: MemberUpdate, held: MemberUpdate) -> bool:
    """Whether a word replaces the one held of the same member (SWIM, section 4.2)."""
    if word.incarnation != held.incarnation:
        # A death of long ago does not end a later life, and only a later word of its own ends a death.
        return word.incarnation > held.incarnation
    order = {
        MemberStatus.ALIVE: 0,
        MemberStatus.SUSPECTED: 1,
        MemberStatus.DEAD: 2,
        MemberStatus.LEFT: 3,
    }
    return order[word.standing] > order[held.standing]


@dataclass(frozen=True, slots=True)
class Ping:
    """Are you there? Answered by an `Ack` of that number."""

    number: int
    news: tuple[MemberUpdate, ...] = ()


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Probe another for me: `Ack` where it answers, `Nack` where it has not in time."""

    number: int
    ident: str
    address: str
    news: tuple[MemberUpdate, ...] = ()


@dataclass(frozen=True, slots=True)
class Ack:
    """I am here, or the one you had me probe is."""

    number: int
    ident: str  # who is there
    news: tuple[MemberUpdate, ...] = ()


@dataclass(frozen=True, slots=True)
class Nack:
    """I am here, but the one you had me probe did not answer me."""

    number: int
    news: tuple[MemberUpdate, ...] = ()


@dataclass(frozen=True, slots=True)
class Sync:
    """Some of what I hold of all members; `ask`: say the same to me."""

    ask: bool
    news: tuple[MemberUpdate, ...] = ()


Message = Ping | PingRequest | Ack | Nack | Sync
