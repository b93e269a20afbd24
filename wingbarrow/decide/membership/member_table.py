"""One placer's view of the other members: the latest update of each, suspicions, updates to disseminate."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from wingbarrow.decide.membership.gossip import GossipBuffer
from wingbarrow.decide.membership.messages import MemberStatus, MemberUpdate, supersedes
from wingbarrow.decide.membership.suspicion import Suspicion

MAX_MEMBERS = 256
MAX_DIRECT_CHECKS = 3  # of a suspect, between its suspicion's deadline and its death
DEPARTED_RETENTION_US = 600_000_000

DEPARTED = (MemberStatus.DEAD, MemberStatus.LEFT)


@dataclass(slots=True)
class Member:
    """Another placer; times are in microseconds of the local monotonic clock."""

    update: MemberUpdate
    status_since_us: int
    suspicion: Suspicion | None = None
    restarts: int = 0

    @property
    def status(self) -> MemberStatus:
        """The status in the latest update."""
        return self.update.standing

    @property
    def has_departed(self) -> bool:
        """Whether the member was declared dead or left."""
        return self.update.standing in DEPARTED


@dataclass(frozen=True, slots=True)
class MemberChange:
    """A change of a member's status.

    `event` is the name of the change in logs and the history: a value of `MemberStatus`, "joined", "restarted" or
    "forgotten".
    """

    event: str
    update: MemberUpdate
    previous: MemberStatus | None


class MemberTable:
    """All other members; `new_suspicion` creates the suspicion that starts at a given time in microseconds."""

    def __init__(self, ident: str, new_suspicion: Callable[[int], Suspicion]) -> None:
        self.ident = ident
        self._new_suspicion = new_suspicion
        self.members: dict[str, Member] = {}
        self.gossip: GossipBuffer[MemberUpdate] = GossipBuffer(lambda: len(self.members))
        self.rejected_joins = 0  # updates of unknown members, dropped because the table was full

    def live_members(self) -> list[Member]:
        """Members that are alive or suspected."""
        return [each for each in self.members.values() if not each.has_departed]

    def dead_members(self) -> list[Member]:
        """Members that were declared dead, without those that left."""
        return [each for each in self.members.values() if each.status is MemberStatus.DEAD]

    def apply(self, update: MemberUpdate, now_us: int) -> MemberChange | None:
        """Apply an update about another member; return the change of its status, if any."""
        member = self.members.get(update.ident)
        if member is None:
            return self._join(update, now_us)
        if not supersedes(update, member.update):
            self._confirm_suspicion(member, update)
            return None
        previous = member.status
        has_restarted = update.life != member.update.life
        member.update = update
        member.suspicion = None
        if update.standing is not previous:
            member.status_since_us = now_us
        if update.standing is MemberStatus.SUSPECT:
            self._start_suspicion(member, now_us)
        self.gossip.add(update)
        if has_restarted:
            member.restarts += 1
            return MemberChange("restarted", update, previous)
        if update.standing is previous:
            return None
        return MemberChange(update.standing.value, update, previous)

    def _join(self, update: MemberUpdate, now_us: int) -> MemberChange | None:
        if update.standing in DEPARTED:
            return None
        if len(self.members) >= MAX_MEMBERS and not self._evict_departed():
            self.rejected_joins += 1
            return None
        member = self.members[update.ident] = Member(update, now_us)
        if update.standing is MemberStatus.SUSPECT:
            self._start_suspicion(member, now_us)
        self.gossip.add(update)
        return MemberChange("joined", update, None)

    def _confirm_suspicion(self, member: Member, update: MemberUpdate) -> None:
        if (
            update.standing is MemberStatus.SUSPECT is member.status
            and update.incarnation == member.update.incarnation
            and member.suspicion is not None
            and update.by
            and member.suspicion.confirm(update.by)
        ):
            # Disseminate an independent confirmation, as it shortens the suspicion at other placers too.
            self.gossip.add(update)

    def _start_suspicion(self, member: Member, now_us: int) -> None:
        member.suspicion = self._new_suspicion(now_us)
        member.suspicion.confirm(member.update.by or "?")

    def suspect(self, ident: str, now_us: int) -> MemberChange | None:
        """Mark a live member as suspected, as it did not acknowledge this placer's pings."""
        member = self.members.get(ident)
        if member is None or member.has_departed:
            return None
        return self.apply(member.update.with_status(MemberStatus.SUSPECT, self.ident), now_us)

    def expire(
        self, now_us: int, check_interval_us: int
    ) -> tuple[list[MemberChange], list[MemberUpdate]]:
        """Declare suspects dead after their deadline, and remove members `DEPARTED_RETENTION_US` after they departed.

        Returns the changes, and the updates of suspects that are to be checked directly first. Danger: under heavy
        message loss a refutation may not have arrived by the deadline: with 170 placers and 20 % of messages lost,
        seven in ten were wrongly declared dead. So a suspect is checked directly `MAX_DIRECT_CHECKS` times,
        `check_interval_us` apart, before it is declared dead.
        """
        changes: list[MemberChange] = []
        to_check: list[MemberUpdate] = []
        for ident, member in list(self.members.items()):
            suspicion = member.suspicion
            if suspicion is not None and now_us >= max(
                suspicion.deadline_us, suspicion.next_check_us
            ):
                if suspicion.direct_checks < MAX_DIRECT_CHECKS:
                    suspicion.direct_checks += 1
                    suspicion.next_check_us = now_us + check_interval_us
                    to_check.append(member.update)
                    continue
                dead = member.update.with_status(MemberStatus.DEAD, self.ident)
                change = self.apply(dead, now_us)
                if change is not None:
                    changes.append(change)
            elif member.has_departed and now_us - member.status_since_us >= DEPARTED_RETENTION_US:
                del self.members[ident]
                changes.append(MemberChange("forgotten", member.update, member.status))
        return changes, to_check

    def next_deadline_us(self) -> int | None:
        """The earliest time at which a suspicion ends or a suspect is to be checked directly; None without suspects."""
        return min(
            (
                max(each.suspicion.deadline_us, each.suspicion.next_check_us)
                for each in self.members.values()
                if each.suspicion is not None
            ),
            default=None,
        )

    def extend_suspicions(self, by_us: int) -> None:
        """Extend all suspicions by the length of a local stall, as refutations may be unread in socket buffers."""
        for member in self.members.values():
            if member.suspicion is not None:
                member.suspicion.start_us += by_us

    def _evict_departed(self) -> bool:
        """Remove the member that departed first; return False if no member has departed."""
        departed = [each for each in self.members.values() if each.has_departed]
        if not departed:
            return False
        oldest = min(departed, key=lambda each: each.status_since_us)
        del self.members[oldest.update.ident]
        return True
