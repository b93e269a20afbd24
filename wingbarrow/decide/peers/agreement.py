"""Agreement on rules, one placer's part: it holds grants; where it votes it decides, and where it leads it gives them.

A leader answers for a grant only after a majority has followed it since it was asked, so that nobody is answered by one
that was deposed; it takes the next step only once all grants of earlier editions have lapsed by its reckoning, or their
holders have moved on; a new leader, which knows of no grants, waits for as long as one lasts.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from wingbarrow.decide.peers import log
from wingbarrow.decide.peers.agreed import Agreed, from_text
from wingbarrow.decide.peers.asking import Ask, Grant, Message, NotLeader, Times
from wingbarrow.decide.peers.effects import Effect, Send, SetTimer, Tell
from wingbarrow.decide.peers.grants import Acting, Holder, given_until_us
from wingbarrow.decide.peers.raft import Raft
from wingbarrow.decide.peers.rights import Asker, Bank, Purse, Right
from wingbarrow.decide.peers.rules import RuleSet, read
from wingbarrow.decide.peers.verdicts import Bench, Closures, Experience

__all__ = ["Agreement", "Ask", "Grant", "Message", "NotLeader", "Times"]

HOLDERS_MOST = 4096
JUDGE_US = 250_000  # between looks at all evidence
ASKS_MOST = 4096  # that wait for a round


@dataclass(slots=True)
class _Asked:
    ident: str
    address: str
    ask: Ask


class Agreement:
    """`disk`: what this placer has as a voter, None where it has none; `voter`: whether the settings name it as one."""

    def __init__(self, me: str, voters: tuple[str, ...], disk: log.Disk | None, seed: int,
                 times: Times = Times(), life: int = 0) -> None:  # noqa: B008 - frozen
        self.me, self.times, self.life, self._born_us = me, times, life, 0
        self.purse = Purse()
        self.region = ""
        self.experience, self.closures = Experience(), Closures()
        self.zones: Callable[[], Mapping[str, str]] = dict  # of each machine of this placer's list
        self._closed: frozenset[str] = frozenset()
        self.named = voters
        self.raft = Raft(me, disk, seed, times.election_us) if me in voters or disk is not None else None
        self.agreed = Agreed()
        self.holder = Holder()
        self.version = 0  # the latest that a grant told of
        self._random = random.Random(seed + 1)
        self._due: dict[str, int] = {}
        self._number = 0
        self._asked: dict[int, int] = {}  # own asks without an answer: when each was sent
        self._leader = ""
        self._tried = 0
        self._acting: Acting | None = None
        # a leader's
        self.bank: Bank | None = None
        self.bench, self._judged_us = Bench(), -JUDGE_US
        self._read: tuple[str, int, RuleSet | None, frozenset[str]] = ("", 0, None, frozenset())
        self._waiting: list[_Asked] = []
        self._rounds: dict[int, list[_Asked]] = {}
        self._round = 0
        self._holders: dict[str, tuple[int, int]] = {}  # edition, and until when it may act on it at the latest
        self._floors_out: dict[int, int] = {}  # floor: until when somebody may go on by it at the latest
        self._leaving: dict[str, int] = {}  # who was given a later edition, and until when it may act on its last one

    # -- driven by the host

    def start(self, now_us: int) -> list[Effect]:
        """Begin."""
        self._born_us = now_us
        out = self._of_raft(now_us, self.raft.start(now_us)) if self.raft is not None else []
        return [*out, self._timer("ask", now_us + 1)]

    def on_message(self, now_us: int, ident: str, address: str, message: Any) -> list[Effect]:
        """Mail of another placer."""
        if isinstance(message, Ask):
            return self._on_ask(now_us, ident, address, message)
        if isinstance(message, Grant):
            return self._on_grant(now_us, ident, message)
        if isinstance(message, NotLeader):
            return self._on_not_leader(now_us, message)
        if self.raft is None or ident not in (*self.raft.voters, *self.named):
            return []
        return self._of_raft(now_us, self.raft.on_message(now_us, ident, message))

    def on_timer(self, now_us: int, key: str) -> list[Effect]:
        """A timer that was set is due."""
        if key.startswith("raft "):
            assert self.raft is not None
            return self._of_raft(now_us, self.raft.on_timer(now_us, key.removeprefix("raft ")))
        if self._due.pop(key, None) is None:
            return []
        if key == "ask":
            return self._ask(now_us)
        if key == "lapse":
            return self._look_at_grant(now_us)
        if key == "batch":
            return self._begin_round(now_us)
        return self._look_at_steps(now_us)

    # -- the placer's questions

    def acting(self, now_us: int) -> Acting | None:
        """What this placer may act on right now: to be asked right before each first byte."""
        return self.holder.acting(now_us)

    @property
    def holders(self) -> dict[str, tuple[int, int]]:
        """At the leader: who holds a grant, for which edition, until when at the latest."""
        return self._holders

    @property
    def leads(self) -> bool:
        """Whether this placer decides."""
        return self.raft is not None and self.raft.leads

    @property
    def leader(self) -> str:
        """Who leads, as far as is known; "" where nobody is."""
        if self.raft is not None and self.raft.leader:
            return self.raft.leader
        return self._leader

    def propose(self, now_us: int, kind: str, value: dict[str, Any]) -> list[Effect]:
        """At the leader: have a proposal decided; its outcome is in `agreed.outcomes` by its `ident`."""
        if self.raft is None or not self.raft.leads:
            return []
        _, effects = self.raft.propose(now_us, kind, json.dumps(value))
        return self._of_raft(now_us, effects)

    def change_voters(self, now_us: int, voters: tuple[str, ...]) -> tuple[bool, list[Effect]]:
        """At the leader: take one voter in, or leave one out; whether that is possible now."""
        if self.raft is None:
            return False, []
        index, effects = self.raft.change_voters(now_us, voters)
        return index > 0, self._of_raft(now_us, effects)

    # -- holding

    def _ask(self, now_us: int) -> list[Effect]:
        out: list[Effect] = []
        unanswered = bool(self._asked)
        self._asked = {number: at for number, at in self._asked.items() if now_us - at < self.times.grant_us}
        self._number += 1
        self._asked[self._number] = now_us
        evidence, bad, tried = self.experience.evidence(now_us, self.closures.mine)
        if now_us >= self.holder.until_us and self.purse.shares:
            self.purse.lapse()
            out.append(Tell("rights", {"shares": {}}))
        ask = Ask(self._number, self.holder.edition, self.holder.floor, self.life, max(0, now_us - self._born_us),
                  self.purse.stated(now_us), self.region, evidence, bad, tried)
        if self.leads:
            out += self._on_ask(now_us, self.me, "", ask)
        else:
            if unanswered:
                self._leader = ""  # it did not answer: somebody else may know better
            receiver = self.leader if not unanswered else ""
            others = [name for name in self.named if name != self.me]
            if not receiver and others:
                self._tried += 1
                receiver = others[self._tried % len(others)]
            if receiver:
                out.append(Send(receiver, "", ask))
        wait = self.times.again_us + self._random.randrange(self.times.again_us // 2)
        return [*out, self._timer("ask", now_us + wait), *self._look_at_grant(now_us), *self._look_at_closed(now_us)]

    def _look_at_closed(self, now_us: int) -> list[Effect]:
        """Tell which machines verdicts close, where those are others than before; also as they end unrenewed."""
        closed = self.closures.now(now_us)
        if closed == self._closed:
            return []
        self._closed = closed
        return [Tell("verdicts", {"machines": sorted(closed)})]

    def _on_grant(self, now_us: int, ident: str, grant: Grant) -> list[Effect]:
        asked_us = self._asked.pop(grant.number, None)
        if asked_us is None:
            return []  # given up, or doubled: when it was asked for is not known
        self._asked.clear()
        self._leader, self._tried = ident, 0
        out: list[Effect] = []
        rules = grant.rules or self.holder.rules
        if grant.edition and (grant.rules or grant.edition == self.holder.edition):
            before, gap = self.holder.edition, now_us >= self.holder.until_us
            if self.holder.take(asked_us, grant.edition, rules, grant.lasts_us):
                out += self._take_rights(grant, before, gap)
        if grant.floor and (grant.floor_rules or grant.floor == self.holder.floor):
            self.holder.take_floor(asked_us, grant.floor, grant.floor_rules or self.holder.floor_rules, grant.floor_us)
        self.version = max(self.version, grant.version)
        self.closures.take(now_us, self.me, grant.closed)
        out += self._look_at_closed(now_us)
        # A third of the grant between asks: two may be lost before one lapses. Sooner where rights are short: what
        # others give back comes by the answers.
        wait = self.times.again_us if self.purse.limits and self.purse.short(now_us) else self.times.grant_us // 3
        return [self._timer("ask", now_us + wait), *self._look_at_grant(now_us), *out]

    def _take_rights(self, grant: Grant, before: int, gap: bool) -> list[Effect]:
        shares = dict(self.purse.shares)
        if self.holder.edition != before:
            self.purse.take_limits(read(self.holder.rules).limits)
        if gap:
            self.purse.lapse()
        elif grant.number == self._number:  # Danger: an earlier ask stated what may have been given back since
            self.purse.take(grant.rights)
        return [Tell("rights", {"shares": dict(self.purse.shares)})] if shares != self.purse.shares else []

    def _on_not_leader(self, now_us: int, message: NotLeader) -> list[Effect]:
        if self._asked.pop(message.number, None) is None:
            return []
        self._leader = message.leader
        if not message.leader:
            return []
        return [self._timer("ask", now_us + 1)]

    def _look_at_grant(self, now_us: int) -> list[Effect]:
        """Tell what is acted on, where that is another than before."""
        acting = self.holder.acting(now_us)
        out: list[Effect] = []
        if acting != self._acting:
            self._acting = acting
            told = acting or Acting("", 0, "")
            out.append(Tell("rules", {"label": told.label, "edition": told.edition, "rules": told.rules}))
        ends = [at for at in (self.holder.until_us, self.holder.floor_until_us) if at > now_us]
        if ends:
            out.append(self._timer("lapse", min(ends)))
        return out

    # -- leading

    def _on_ask(self, now_us: int, ident: str, address: str, ask: Ask) -> list[Effect]:
        if not self.leads:
            return [Send(ident, address, NotLeader(ask.number, self.leader))]
        if len(self._waiting) >= ASKS_MOST:
            return []
        self._waiting = [each for each in self._waiting if each.ident != ident]
        self._waiting.append(_Asked(ident, address, ask))
        return [] if "batch" in self._due else [self._timer("batch", now_us + self.times.batch_us)]

    def _begin_round(self, now_us: int) -> list[Effect]:
        if not self.leads or self.raft is None or not self._waiting:
            self._waiting = []
            return []
        self._round += 1
        self._rounds[self._round], self._waiting = self._waiting, []
        return self._of_raft(now_us, self.raft.confirm(now_us, self._round))

    def _confirmed(self, now_us: int, number: int) -> list[Effect]:
        out: list[Effect] = []
        if self.raft is None or self.raft.disk.term_at(self.raft.commit) != self.raft.disk.term:
            # Danger: what earlier leaders decided is known for sure only once an entry of this term is decided.
            self._rounds.pop(number, None)
            return out
        if now_us - self._judged_us >= JUDGE_US:
            self._judged_us = now_us
            self.bench.judge(now_us, self.zones())
        asks = self._rounds.pop(number, []) if self.agreed.edition else []
        for asked in asks:
            self.bench.hear(now_us, asked.ident, asked.ask.region, asked.ask.evidence, asked.ask.bad, asked.ask.tried)
        for asked, rights in zip(asks, self._rights(now_us, asks), strict=True):
            out += self._give(now_us, asked, rights)
        return [*out, *self._look_at_steps(now_us)]

    def _rights(self, now_us: int, asks: Sequence[_Asked]) -> list[tuple[Right, ...]]:
        """What those that asked together may use of the fleet's limits."""
        if self.bank is None or not asks:
            return [() for _ in asks]
        rules, holders = self._rules()
        return self.bank.answers(now_us, [(Asker(each.ident, each.ask.life, each.ask.up_us, each.ask.number),
                                           each.ask.stated) for each in asks], rules.limits, holders)

    def _give(self, now_us: int, asked: _Asked, rights: tuple[Right, ...]) -> list[Effect]:
        agreed, ask, lasts = self.agreed, asked.ask, self.times.grant_us
        floor = agreed.floors[-1] if agreed.floors else None
        if asked.ident not in self._holders and len(self._holders) >= HOLDERS_MOST:
            self._holders = {name: each for name, each in self._holders.items() if each[1] > now_us}
            if len(self._holders) >= HOLDERS_MOST:
                return []
        # Who asks with the edition in force has left those before for good. Who does not may never hear of it, and act
        # on its last one as long as that was given to it.
        held = self._holders.get(asked.ident)
        until = given_until_us(now_us, lasts)
        if ask.edition >= agreed.edition:
            self._leaving.pop(asked.ident, None)
        elif held is not None and held[0] < agreed.edition:
            self._leaving[asked.ident] = max(self._leaving.get(asked.ident, 0), held[1])
        self._holders[asked.ident] = agreed.edition, until
        if floor is not None:
            self._floors_out[floor.number] = given_until_us(now_us, floor.lasts_us)
        grant = Grant(ask.number, agreed.edition, "" if ask.edition == agreed.edition else agreed.rules, lasts,
                      agreed.version, floor.number if floor else 0,
                      floor.rules if floor and ask.floor != floor.number else "", floor.lasts_us if floor else 0,
                      rights, self.bench.told(now_us))
        if asked.ident == self.me:
            return self._on_grant(now_us, self.me, grant)
        return [Send(asked.ident, asked.address, grant)]

    def _rules(self) -> tuple[RuleSet, frozenset[str]]:
        """The rules in force, and who may hold rights under them or any version that is kept."""
        text, version, rules, holders = self._read
        if rules is None or (text, version) != (self.agreed.rules, self.agreed.version):
            rules = read(self.agreed.rules)
            kept = [rules, *(read(each.rules) for each in self.agreed.versions)]
            holders = frozenset(name for each in kept for limit in each.limits for name in limit.among)
            self._read = self.agreed.rules, self.agreed.version, rules, holders
        return rules, holders

    def _look_at_steps(self, now_us: int) -> list[Effect]:
        """At the leader: take the next step, or drop a floor, once what came before has lapsed."""
        if not self.leads or self.raft is None:
            return []
        if self.raft.disk.term_at(self.raft.commit) != self.raft.disk.term or self.raft.commit != self.raft.disk.last:
            return [self._timer("step", now_us + self.times.batch_us)]  # something is being decided
        out: list[Effect] = []
        agreed = self.agreed
        if agreed.steps:
            due = self._lapsed_at_us()
            if now_us >= due:
                return self.propose(now_us, "step", {"from": agreed.edition})
            out.append(self._timer("step", due))
        if len(agreed.floors) > 1:
            last = agreed.floors[-1].number
            ends = [self._floors_out.get(each.number, given_until_us(self.raft.began_us, each.lasts_us))
                    for each in agreed.floors[:-1]]
            ends += [given_until_us(self.raft.began_us, each.lasts_us) for each in agreed.floors[:-1]]
            if now_us >= max(ends):
                return [*out, *self.propose(now_us, "floor-lapsed", {"number": last})]
            if "step" not in self._due:
                out.append(self._timer("step", max(ends)))
        return out

    def _lapsed_at_us(self) -> int:
        """When no placer can act on an edition before the one in force any more, by this leader's reckoning."""
        assert self.raft is not None
        old = [until for edition, until in self._holders.values() if edition < self.agreed.edition]
        # Grants that an earlier leader gave are not known here: each was asked for before this one was elected.
        before = given_until_us(self.raft.began_us, self.times.grant_us)
        return max([before, *old, *self._leaving.values()])

    # -- the voters' log

    def _of_raft(self, now_us: int, effects: log.Effects) -> list[Effect]:
        """Effects for the host; what is decided goes into the replicated state on the way."""
        out: list[Effect] = []
        for effect in effects:
            if isinstance(effect, log.Restored):
                self.agreed = from_text(effect.state)
            elif isinstance(effect, log.Committed):
                out += self._decided(now_us, effect)
            elif isinstance(effect, log.Confirmed):
                out += self._confirmed(now_us, effect.number)
            elif isinstance(effect, log.Elected):
                self._waiting, self._rounds, self._holders = [], {}, {}
                self._floors_out, self._leaving = {}, {}
                self.bench = Bench()
                self.bank = Bank(self.times.grant_us, now_us, self._given_before()) if effect.on else None
                if effect.on:
                    out.append(self._timer("step", now_us + self.times.batch_us))
            else:
                out.append(effect)
        return out

    def _given_before(self) -> Callable[[str], bool]:
        """At an election: to which limits leaders before may have given rights."""
        assert self.raft is not None
        disk = self.raft.disk
        if any(entry.kind not in ("", log.VOTERS) for entry in disk.log[self.raft.commit - disk.base:]):
            return lambda key: True  # Danger: a version that is decided, and not known to be, may have had any limit
        texts = [self.agreed.rules, *(each.rules for each in self.agreed.versions)]
        keys = frozenset(limit.key for text in texts if text for limit in read(text).limits)
        return lambda key: key in keys

    def _decided(self, now_us: int, committed: log.Committed) -> list[Effect]:
        out: list[Effect] = []
        before = self.agreed.edition, self.agreed.version, len(self.agreed.floors)
        for entry in committed.entries:
            if entry.kind not in ("", log.VOTERS):
                self.agreed.apply(entry.kind, entry.body)
        if self.agreed.edition != before[0]:
            out.append(Tell("edition", {"edition": self.agreed.edition, "version": self.agreed.version}))
        if self.raft is not None and self.raft.wants_fold:
            out += self._of_raft(now_us, self.raft.fold(self.agreed.text()))
        if self.leads and before != (self.agreed.edition, self.agreed.version, len(self.agreed.floors)):
            out.append(self._timer("step", now_us + 1))
        return out

    def _timer(self, key: str, at_us: int) -> SetTimer:
        self._due[key] = at_us
        return SetTimer(key, at_us)
