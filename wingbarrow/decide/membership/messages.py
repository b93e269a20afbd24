"""Member updates and SWIM messages; `peers.message` defines the size limits on the wire.

Field names and the values of `MemberStatus` are wire names.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum


class MemberStatus(Enum):
    """The status of a member, in ascending order of precedence (see `supersedes`)."""

    ALIVE = "alive"
    SUSPECT = "suspected"
    DEAD = "dead"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """The status of a member, as disseminated by gossip.

    `incarnation` orders updates about one member; only the member itself raises it. `life` identifies one run of the
    member's process. `standing` is the member's status, `by` the placer that suspects it or declared it dead.
    """

    ident: str
    incarnation: int
    standing: MemberStatus
    address: str
    region: str
    life: int
    by: str = ""

    def with_status(self, status: MemberStatus, by: str = "") -> MemberUpdate:
        """The same update with another status."""
        return replace(self, standing=status, by=by)


_PRECEDENCE = {
    MemberStatus.ALIVE: 0,
    MemberStatus.SUSPECT: 1,
    MemberStatus.DEAD: 2,
    MemberStatus.LEFT: 3,
}


def supersedes(update: MemberUpdate, current: MemberUpdate) -> bool:
    """Whether `update` replaces `current`, the latest update about the same member (SWIM, section 4.2).

    Unlike in SWIM, a higher incarnation also overrides a death, so that a restarted member can rejoin under its name.
    """
    if update.incarnation != current.incarnation:
        return update.incarnation > current.incarnation
    return _PRECEDENCE[update.standing] > _PRECEDENCE[current.standing]


@dataclass(frozen=True, slots=True)
class Ping:
    """A direct ping, answered by an `Ack` with the same number."""

    number: int
    news: tuple[MemberUpdate, ...] = ()  # piggybacked updates, as in all messages


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Asks the receiver to ping `ident` (SWIM's ping-req); answered by an `Ack`, or by a `Nack` after a timeout."""

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
    """Reports that an indirect ping timed out; it also shows that its sender itself responds (Lifeguard)."""

    number: int
    news: tuple[MemberUpdate, ...] = ()


@dataclass(frozen=True, slots=True)
class Sync:
    """Anti-entropy: updates about a sample of all members; with `ask` the receiver responds with its own sample."""

    ask: bool
    news: tuple[MemberUpdate, ...] = ()


SwimMessage = Ping | PingRequest | Ack | Nack | Sync
