"""Who is there, and who is suspected: SWIM's probes with Lifeguard's doubt of oneself, as a state machine.

Each period one other member is probed, in a shuffled round; where it does not answer in time, others are asked to probe
it; where none of them reaches it, it is suspected, and dead once nobody, and not itself, has spoken against that in
time. News rides on these messages, so that a placer's cost does not grow with their number. A placer that was late
itself blames itself first: it stretches its periods, drops the probe that it could not wait for, and gives suspicions
the time back. Nothing here is a rule's ground: it informs.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from math import ceil, log2

from wingbarrow.decide.effects import Effect, Notify, Send, SetTimer
from wingbarrow.decide.membership.member_table import ASKS, GONE, Change, Member, MemberTable
from wingbarrow.decide.membership.messages import (
    Ack,
    MemberStatus,
    MemberUpdate,
    Message,
    Nack,
    Ping,
    PingRequest,
    Sync,
)
from wingbarrow.decide.membership.suspicion import Health, Suspicion, shortest_us

SYNC_MOST = 32  # words of one Sync
NEWS_MOST = 24  # words that ride on another message
RELAYS_MOST = 64  # probes done for others at a time
SEEDS_MOST = 4  # asked in one go
FORMER_MOST = 8  # words of other lives under one's own name that may be memories of a former one


@dataclass(frozen=True, slots=True)
class SwimSettings:
    """Times in microseconds; the figures are those of the SWIM and Lifeguard papers, at a period of a second."""

    period_us: int = 1_000_000
    timeout_us: int = 350_000  # for the answer to a direct probe
    helpers: int = 3  # asked to probe for us
    sync_us: int = 5_000_000
    alpha: float = 3.0  # shortest suspicion, in periods times log10(members)
    beta: float = 4.0  # longest, as a multiple of that
    confirmations: int = 3

    def suspicion(self, now_us: int, members: int) -> Suspicion:
        """One that begins now."""
        least = shortest_us(self.alpha, members, self.period_us)
        return Suspicion(
            now_us, least, int(self.beta * least), min(self.confirmations, max(0, members - 2))
        )

    def detect_us(self, members: int) -> int:
        """Within which a member that ended is dead to all that live, where nothing else is wrong.

        Somebody probes it within ten periods (each other member does so once in `members - 1` periods on average: the
        chance that none does is e**-10; never longer than a round and a round); that probe's own period; the longest
        suspicion; the last questions; gossip to all, twice log2. Periods count twice, as a placer that just failed a
        probe doubts itself.
        """
        others = max(1, members - 1)
        periods = min(2 * others - 1, 10) + 1 + 2 * ceil(log2(members + 1))
        asks = ASKS * 2 * self.timeout_us
        return (
            2 * periods * self.period_us
            + int(self.beta * shortest_us(self.alpha, members, self.period_us))
            + asks
        )

    def heal_us(self, members: int) -> int:
        """Within which all that live are alive to each other after the last cut has healed.

        Somebody recalls a dead one at each Sync; five may fail on the remains of the cut; then gossip, a suspicion that
        is spoken against, and gossip again.
        """
        return 6 * self.sync_us + 8 * ceil(log2(members + 1)) * self.period_us


@dataclass(frozen=True, slots=True)
class LocalMember:
    """This placer, as others are to know it."""

    ident: str
    address: str
    region: str
    life: int


@dataclass(frozen=True, slots=True)
class Seed:
    """A member named in the settings; without `ident` only where it can be reached is known."""

    ident: str
    address: str


@dataclass(slots=True)
class _Probe:
    number: int
    ident: str
    acked: bool = False
    helpers: int = 0
    heard: int = 0  # of the helpers, by Ack or Nack


@dataclass(frozen=True, slots=True)
class _Relay:
    sender: str
    address: str
    number: int
    due_us: int


class Membership:
    """One placer's; the host calls `start`, `on_message`, `on_timer`, `leave` and carries out what they return."""

    def __init__(
        self,
        me: LocalMember,
        seeds: tuple[Seed, ...],
        seed: int,
        rules: SwimSettings = SwimSettings(),
    ) -> None:
        self.me, self.rules = me, rules
        self.incarnation = me.life
        self.health = Health()
        self.table = MemberTable(
            me.ident, lambda now: rules.suspicion(now, len(self.table.living()) + 1)
        )
        self.twins = 0  # words of another living placer under this one's name
        self._others_lives = 0
        self._seeds = seeds
        self._random = random.Random(seed)
        self._round: list[str] = []
        self._probe: _Probe | None = None
        self._relays: dict[int, _Relay] = {}
        self._number = 0
        self._due: dict[str, int] = {}  # timers by key
        self._left = False

    # -- driven by the host

    def start(self, now_us: int) -> list[Effect]:
        """Begin: ask the seeds who is there, probe from the first period on."""
        return [
            *self._ask_seeds(),
            self._timer("period", now_us + self._random.randrange(self.rules.period_us)),
            self._timer("sync", now_us + self.rules.sync_us // 5),
        ]

    def leave(self, now_us: int) -> list[Effect]:
        """Say that this placer ends by itself."""
        self._left = True
        word = self.own_word().as_standing(MemberStatus.LEFT, self.me.ident)
        return [
            self._send(each, Sync(False, (word,))) for each in self._some(self.table.living(), 3)
        ]

    def on_message(self, now_us: int, ident: str, address: str, message: Message) -> list[Effect]:
        """A message of another placer; `address` is where it says that it can be reached."""
        if ident == self.me.ident:
            return []
        out: list[Effect] = []
        for word in message.news:
            out += self._hear(word, now_us)
        if isinstance(message, Ping):
            out.append(Send(ident, address, Ack(message.number, self.me.ident, self._news(ident))))
        elif isinstance(message, PingRequest):
            out += self._probe_for(now_us, ident, address, message)
        elif isinstance(message, Ack):
            out += self._acked(ident, message)
        elif isinstance(message, Nack):
            if self._probe is not None and self._probe.number == message.number:
                self._probe.heard += 1
        elif message.ask:
            out.append(Send(ident, address, Sync(False, self._sample(ident))))
        return out

    def on_timer(self, now_us: int, key: str) -> list[Effect]:
        """A timer that was set is due."""
        due = self._due.pop(key, None)
        if due is None or self._left:
            return []
        late_us = now_us - due
        if late_us > self.rules.timeout_us:
            self._stood_still(late_us)
        if key == "period":
            return self._next_period(now_us)
        if key == "probe":
            return self._ask_helpers()
        if key == "sync":
            return self._sync(now_us)
        if key == "bury":
            return self._bury(now_us)
        return self._end_relay(int(key.removeprefix("relay ")))

    def own_word(self) -> MemberUpdate:
        """What this placer says of itself."""
        return MemberUpdate(
            self.me.ident,
            self.incarnation,
            MemberStatus.ALIVE,
            self.me.address,
            self.me.region,
            self.me.life,
        )

    # -- words

    def _hear(self, word: MemberUpdate, now_us: int) -> list[Effect]:
        if word.ident == self.me.ident:
            return self._hear_of_self(word)
        asked: list[Effect] = []
        if word.standing is MemberStatus.DEAD and not self._long_suspected(word, now_us):
            # Danger: who was cut off holds all others for dead, and would bury them here too once the cut has healed.
            # Who is truly dead has been suspected here for some time by then; who is not is asked, and speaks up.
            word = word.as_standing(MemberStatus.SUSPECTED, self.me.ident)
            held = self.table.members.get(word.ident)
            if held is not None and held.standing is MemberStatus.ALIVE:
                asked = [Send(word.ident, held.word.address, Sync(True, (self.own_word(), word)))]
        change = self.table.hear(word, now_us)
        out: list[Effect] = [] if change is None else [_told(change)]
        return [*out, *asked, *self._bury_timer()]

    def _long_suspected(self, word: MemberUpdate, now_us: int) -> bool:
        """Whether a member is gone here, unknown, or has been suspected for as long as a suspicion must last."""
        held = self.table.members.get(word.ident)
        if held is None or held.standing in GONE:
            return True
        suspicion = held.suspicion
        return suspicion is not None and now_us - suspicion.since_us >= suspicion.least_us

    def _hear_of_self(self, word: MemberUpdate) -> list[Effect]:
        mine = word.life == self.me.life
        if word.incarnation < self.incarnation or (mine and word.standing is MemberStatus.ALIVE):
            return []
        # Danger: an incarnation at or above one's own would silence every later word of this life, as where the wall
        # clock was set back between two lives.
        self.incarnation = word.incarnation + 1
        self.table.gossip.add(self.own_word())
        if not mine:
            self._others_lives += 1
            if self._others_lives <= FORMER_MOST:
                return [Notify("former-life", {"incarnation": self.incarnation})]
            self.twins += 1  # it answers back: it is no memory of a former life
            return [Notify("twin", {"address": word.address})]
        self.health.blame()
        return [
            Notify(
                "refuted",
                {"standing": word.standing.value, "by": word.by, "incarnation": self.incarnation},
            )
        ]

    def _news(self, receiver: str) -> tuple[MemberUpdate, ...]:
        """What rides on a message; a member that is thought ill of hears it first, so that it can speak up."""
        held = self.table.members.get(receiver)
        news = self.table.gossip.take(NEWS_MOST - 2, first=receiver)
        if held is not None and held.standing is not MemberStatus.ALIVE and held.word not in news:
            news = (held.word, *news)
        return (self.own_word(), *news)

    def _sample(self, receiver: str) -> tuple[MemberUpdate, ...]:
        held = self.table.members.get(receiver)
        others = [each.word for each in self.table.members.values() if each.word.ident != receiver]
        some = self._random.sample(others, min(SYNC_MOST - 2, len(others)))
        return (self.own_word(), *([held.word] if held is not None else []), *some)

    # -- probing

    def _next_period(self, now_us: int) -> list[Effect]:
        out: list[Effect] = []
        probe, self._probe = self._probe, None
        if probe is not None and not probe.acked:
            # Lifeguard: a failed probe, and helpers of which nothing came, speak against this placer too.
            self.health.blame(1 + max(0, probe.helpers - probe.heard))
            change = self.table.accuse(probe.ident, now_us)
            out += [] if change is None else [_told(change)]
            out += self._bury_timer()
        target = self._next_target()
        if target is not None:
            self._number += 1
            self._probe = _Probe(self._number, target.word.ident)
            out.append(self._send(target, Ping(self._number, self._news(target.word.ident))))
            out.append(self._timer("probe", now_us + self.rules.timeout_us * self.health.factor))
        out.append(self._timer("period", now_us + self.rules.period_us * self.health.factor))
        return out

    def _next_target(self) -> Member | None:
        while self._round:
            member = self.table.members.get(self._round.pop())
            if member is not None and member.standing in (
                MemberStatus.ALIVE,
                MemberStatus.SUSPECTED,
            ):
                return member
        self._round = [each.word.ident for each in self.table.living()]
        self._random.shuffle(self._round)
        return self.table.members[self._round.pop()] if self._round else None

    def _ask_helpers(self) -> list[Effect]:
        probe = self._probe
        if probe is None or probe.acked:
            return []
        target = self.table.members.get(probe.ident)
        if target is None:
            return []
        helpers = self._some(
            [
                each
                for each in self.table.living()
                if each is not target and each.standing is MemberStatus.ALIVE
            ],
            self.rules.helpers,
        )
        probe.helpers = len(helpers)
        return [
            self._send(
                each,
                PingRequest(
                    probe.number, probe.ident, target.word.address, self._news(each.word.ident)
                ),
            )
            for each in helpers
        ]

    def _acked(self, ident: str, ack: Ack) -> list[Effect]:
        probe = self._probe
        if probe is not None and ack.number == probe.number:
            probe.heard += ident != probe.ident
            if ack.ident == probe.ident and not probe.acked:
                probe.acked = True
                self.health.praise()
            return []
        relay = self._relays.pop(ack.number, None)
        if relay is None:
            return []
        self._due.pop(f"relay {ack.number}", None)
        return [
            Send(
                relay.sender, relay.address, Ack(relay.number, ack.ident, self._news(relay.sender))
            )
        ]

    def _probe_for(self, now_us: int, ident: str, address: str, asked: PingRequest) -> list[Effect]:
        if len(self._relays) >= RELAYS_MOST:
            return []
        self._number += 1
        due = now_us + self.rules.timeout_us * 4 // 5
        self._relays[self._number] = _Relay(ident, address, asked.number, due)
        return [
            Send(asked.ident, asked.address, Ping(self._number, self._news(asked.ident))),
            self._timer(f"relay {self._number}", due),
        ]

    def _end_relay(self, number: int) -> list[Effect]:
        relay = self._relays.pop(number, None)
        if relay is None:
            return []
        return [Send(relay.sender, relay.address, Nack(relay.number, self._news(relay.sender)))]

    def _stood_still(self, late_us: int) -> None:
        """Its own timer ran late: what it waited for may lie unread in its own sockets."""
        self.health.blame(1 + min(3, late_us // self.rules.period_us))
        self._probe = None
        self.table.grant_time(late_us)

    # -- now and then

    def _sync(self, now_us: int) -> list[Effect]:
        out: list[Effect] = [
            self._send(each, Sync(True, self._sample(each.word.ident)))
            for each in self._some(self.table.living(), 1)
        ]
        # Both sides of a cut hold each other for dead and probe no more: without this none would hear that it healed.
        out += [
            self._send(each, Sync(True, self._sample(each.word.ident)))
            for each in self._some(self.table.dead(), 1)
        ]
        out += self._bury(now_us)
        return [*out, *self._ask_seeds(), self._timer("sync", now_us + self.rules.sync_us)]

    def _ask_seeds(self) -> list[Effect]:
        living = self.table.living()
        known = {each.word.address for each in living} | {each.word.ident for each in living}
        known |= {self.me.address, self.me.ident}
        missing = [each for each in self._seeds if (each.ident or each.address) not in known]
        chosen = self._random.sample(missing, min(SEEDS_MOST, len(missing)))
        return [Send(each.ident, each.address, Sync(True, (self.own_word(),))) for each in chosen]

    def _bury(self, now_us: int) -> list[Effect]:
        changes, ask = self.table.bury(now_us, self.rules.timeout_us * self.health.factor)
        asks = [Send(word.ident, word.address, Sync(True, (self.own_word(), word))) for word in ask]
        return [*(_told(each) for each in changes), *asks, *self._bury_timer()]

    def _bury_timer(self) -> list[Effect]:
        due = self.table.next_due_us()
        if due is None or due >= self._due.get("bury", due + 1):
            return []
        return [self._timer("bury", due)]

    # -- small things

    def _timer(self, key: str, at_us: int) -> SetTimer:
        self._due[key] = at_us
        return SetTimer(key, at_us)

    def _send(self, member: Member, message: Message) -> Send:
        return Send(member.word.ident, member.word.address, message)

    def _some(self, members: list[Member], most: int) -> list[Member]:
        return self._random.sample(members, min(most, len(members)))


def _told(change: Change) -> Notify:
    word = change.word
    return Notify(
        change.what,
        {
            "member": word.ident,
            "incarnation": word.incarnation,
            "life": word.life,
            "address": word.address,
            "by": word.by,
        },
    )
