"""Member updates and the messages of SWIM; `peers.message` holds the bounds of the wire.

Fields, and the values of `MemberStatus`, are wire names.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum


class MemberStatus(Enum):
    """Status of a member; ordered as `supersedes` compares them."""

    ALIVE = "alive"
    SUSPECT = "suspected"
    DEAD = "dead"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """The status of a member, as a placer disseminates it.

    `incarnation` orders updates about one member; only the member itself raises it. `life` tells one run of a program
    from the next. `standing` is its status, `by` the placer that suspects it or declared it dead.
    """

    ident: str
    incarnation: int
    standing: MemberStatus
    address: str
    region: str
    life: int
    by: str = ""

    def with_status(self, standing: MemberStatus, by: str = "") -> MemberUpdate:
        """The same update with another status."""
        return replace(self, standing=standing, by=by)


_PRECEDENCE = {
    MemberStatus.ALIVE: 0,
    MemberStatus.SUSPECT: 1,
    MemberStatus.DEAD: 2,
    MemberStatus.LEFT: 3,
}


def supersedes(update: MemberUpdate, current: MemberUpdate) -> bool:
    """Whether `update` replaces `current`, the last one of the same member (SWIM, section 4.2).

    Unlike in SWIM, a death does not outlast a higher incarnation: a restarted member has one.
    """
    if update.incarnation != current.incarnation:
        return update.incarnation > current.incarnation
    return _PRECEDENCE[update.standing] > _PRECEDENCE[current.standing]


@dataclass(frozen=True, slots=True)
class Ping:
    """A ping; answered by an `Ack` of the same number."""

    number: int
    news: tuple[MemberUpdate, ...] = ()


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Asks the receiver to ping `ident` (SWIM's ping-req): answered by an `Ack`, or a `Nack` after a time-out."""

    number: int
    ident: str
    address: str
    news: tuple[MemberUpdate, ...] = ()


@dataclass(frozen=True, slots=True)
class Ack:
    """Acknowledges a ping, or the indirect ping that a `PingRequest` asked for."""

    number: int
    ident: str  # the member that answered the ping
    news: tuple[MemberUpdate, ...] = ()


@dataclass(frozen=True, slots=True)
class Nack:
    """The indirect ping was not acknowledged in time; its sender works (Lifeguard)."""

    number: int
    news: tuple[MemberUpdate, ...] = ()


@dataclass(frozen=True, slots=True)
class Sync:
    """Anti-entropy: updates about a sample of all members; `ask` requests the same in return."""

    ask: bool
    news: tuple[MemberUpdate, ...] = ()


SwimMessage = Ping | PingRequest | Ack | Nack | Sync
