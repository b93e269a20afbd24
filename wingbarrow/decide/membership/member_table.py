"""The table of members of one placer: which word of each counts, suspicions under way, what is to be told on."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from wingbarrow.decide.membership.gossip import Gossip
from wingbarrow.decide.membership.messages import MemberStatus, MemberUpdate, overrides
from wingbarrow.decide.membership.suspicion import Suspicion

MEMBERS_MOST = 256
ASKS = 3  # of a suspected member itself, before it counts as dead
FORGET_US = 600_000_000  # after a member was dead for so long

GONE = (MemberStatus.DEAD, MemberStatus.LEFT)


@dataclass(slots=True)
class Member:
    """One other placer as it is thought of; times in microseconds of the owner's clock."""

    word: MemberUpdate
    since_us: int  # of its standing
    suspicion: Suspicion | None = None
    restarts: int = 0

    @property
    def standing(self) -> MemberStatus:
        """What is thought of it."""
        return self.word.standing


class Change:
    """How the standing of a member changed: for logs, histories and components that act on it."""

    __slots__ = ("before", "what", "word")

    def __init__(self, what: str, word: MemberUpdate, before: MemberStatus | None) -> None:
        self.what, self.word, self.before = what, word, before


class MemberTable:
    """All other members; `suspect` makes the suspicion of a member that somebody accuses."""

    def __init__(self, ident: str, suspect: Callable[[int], Suspicion]) -> None:
        self.ident = ident
        self._suspect = suspect
        self.members: dict[str, Member] = {}
        self.gossip: Gossip[MemberUpdate] = Gossip(lambda: len(self.members))
        self.full = 0  # words about new members that found no room

    def living(self) -> list[Member]:
        """Those that are not gone: alive or suspected."""
        return [each for each in self.members.values() if each.standing not in GONE]

    def dead(self) -> list[Member]:
        """Those that count as dead and did not say that they leave."""
        return [each for each in self.members.values() if each.standing is MemberStatus.DEAD]

    def hear(self, word: MemberUpdate, now_us: int) -> Change | None:
        """Take a word about another member; the change that it made."""
        held = self.members.get(word.ident)
        if held is None:
            if word.standing in GONE:
                return None  # nothing is owed to who was never known
            if len(self.members) >= MEMBERS_MOST and not self._make_room():
                self.full += 1
                return None
            held = self.members[word.ident] = Member(word, now_us)
            if word.standing is MemberStatus.SUSPECTED:
                self._begin(held, word, now_us)
            self.gossip.add(word)
            return Change("joined", word, None)
        if not overrides(word, held.word):
            if (
                word.standing is MemberStatus.SUSPECTED is held.standing
                and word.incarnation == held.word.incarnation
                and held.suspicion is not None
                and word.by
                and held.suspicion.confirm(word.by)
            ):
                self.gossip.add(
                    word
                )  # an independent confirmation makes others' suspicions shorter too
            return None
        before, another = held.standing, word.life != held.word.life
        held.word, held.suspicion = word, None
        if word.standing is not before:
            held.since_us = now_us
        if word.standing is MemberStatus.SUSPECTED:
            self._begin(held, word, now_us)
        self.gossip.add(word)
        if another and before is not None:
            held.restarts += 1
            return Change("restarted", word, before)
        return Change(word.standing.value, word, before) if word.standing is not before else None

    def _begin(self, member: Member, word: MemberUpdate, now_us: int) -> None:
        member.suspicion = self._suspect(now_us)
        member.suspicion.confirm(word.by or "?")

    def accuse(self, ident: str, now_us: int) -> Change | None:
        """This placer itself could not reach a member."""
        held = self.members.get(ident)
        if held is None or held.standing in GONE:
            return None
        return self.hear(held.word.as_standing(MemberStatus.SUSPECTED, self.ident), now_us)

    def bury(self, now_us: int, wait_us: int) -> tuple[list[Change], list[MemberUpdate]]:
        """Suspicions that are due end in death, the long dead are forgotten; and whom to ask first.

        Danger: where many messages are lost, a word against a suspicion may not have come yet when it is due, and at
        170 placers with a fifth lost seven in ten were buried alive. So nobody is buried before it was asked itself.
        """
        out: list[Change] = []
        ask: list[MemberUpdate] = []
        for ident, member in list(self.members.items()):
            suspicion = member.suspicion
            if suspicion is not None and now_us >= max(suspicion.due_us, suspicion.again_us):
                if suspicion.asked < ASKS:
                    suspicion.asked, suspicion.again_us = suspicion.asked + 1, now_us + wait_us
                    ask.append(member.word)
                    continue
                change = self.hear(member.word.as_standing(MemberStatus.DEAD, self.ident), now_us)
                if change is not None:
                    out.append(change)
            elif member.standing in GONE and now_us - member.since_us >= FORGET_US:
                del self.members[ident]
                out.append(Change("forgotten", member.word, member.standing))
        return out, ask

    def next_due_us(self) -> int | None:
        """When the next suspicion ends, or its member is to be asked."""
        return min(
            (
                max(each.suspicion.due_us, each.suspicion.again_us)
                for each in self.members.values()
                if each.suspicion is not None
            ),
            default=None,
        )

    def grant_time(self, for_us: int) -> None:
        """This placer stood still for so long: what it would have heard meanwhile may still come."""
        for member in self.members.values():
            if member.suspicion is not None:
                member.suspicion.since_us += for_us

    def _make_room(self) -> bool:
        gone = [each for each in self.members.values() if each.standing in GONE]
        if not gone:
            return False
        del self.members[min(gone, key=lambda each: each.since_us).word.ident]
        return True
