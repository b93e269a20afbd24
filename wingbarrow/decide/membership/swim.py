"""Failure detection and membership by SWIM (Das 2002) with Lifeguard (Dadgar 2018), as a state machine without I/O.

Each protocol period one other member is pinged, in a shuffled round. Where it does not acknowledge in time, other
members are asked to ping it (ping-req). Where no acknowledgement comes by the end of the period, it is suspected; it is
declared dead unless it refutes the suspicion in time. Member updates ride on these messages, so that a placer's cost
does not grow with the number of members.

Beyond SWIM: a placer whose own timers run late lowers its local health, drops the ping in progress and extends all
suspicions; deaths that gossip reports are checked directly first; an anti-entropy sync also reaches dead members, so
that both sides of a partition find each other again. `docs/peers.md` gives the reasons and the time bounds.

Membership is advisory: no guarantee of the scheduler rests on it.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from math import ceil, log2

from wingbarrow.decide.effects import Effect, Notify, Send, SetTimer
from wingbarrow.decide.membership.member_table import (
    MAX_DIRECT_CHECKS,
    Member,
    MemberChange,
    MemberTable,
)
from wingbarrow.decide.membership.messages import (
    Ack,
    MemberStatus,
    MemberUpdate,
    Nack,
    Ping,
    PingRequest,
    SwimMessage,
    Sync,
)
from wingbarrow.decide.membership.suspicion import LocalHealth, Suspicion, min_suspicion_us

MAX_SYNC_UPDATES = 32
MAX_PIGGYBACKED_UPDATES = 24
MAX_INDIRECT_PINGS = 64  # in progress for other members
MAX_SEEDS_PER_SYNC = 4
MAX_STALE_INCARNATIONS = (
    8  # of an earlier run under the own name, before it counts as a name conflict
)
LEAVE_RECEIVERS = 3

PERIOD_TIMER = "period"
PING_TIMER = "ping"
SYNC_TIMER = "sync"
SUSPICION_TIMER = "suspicion"
INDIRECT_TIMER_PREFIX = "ping-req "


@dataclass(frozen=True, slots=True)
class SwimSettings:
    """Times in microseconds; defaults are those of the SWIM and Lifeguard papers, at a period of a second."""

    period_us: int = 1_000_000
    probe_timeout_us: int = 350_000  # for the acknowledgement of a direct ping
    indirect_probes: int = 3  # members that are asked for an indirect ping
    sync_interval_us: int = 5_000_000
    alpha: float = 3.0  # shortest suspicion, in periods times log10(members)
    beta: float = 4.0  # longest suspicion, as a multiple of the shortest
    confirmations: int = 3  # that make a suspicion the shortest

    def new_suspicion(self, now_us: int, members: int) -> Suspicion:
        """A suspicion that starts now, among so many members."""
        shortest = min_suspicion_us(self.alpha, members, self.period_us)
        return Suspicion(
            start_us=now_us,
            min_us=shortest,
            max_us=int(self.beta * shortest),
            expected_confirmations=min(self.confirmations, max(0, members - 2)),
        )

    def detection_bound_us(self, members: int) -> int:
        """Time within which a member that ended is dead to all live ones, where nothing else fails.

        Some member pings it within ten periods: each other one does so once in `members - 1` periods on average, so
        that the chance that none does is e**-10, and it never takes longer than two rounds. Added to that: the period
        of that ping, the longest suspicion, the direct checks, and dissemination to all, twice log2. Periods count
        twice, as a failed ping raises the local health multiplier.
        """
        others = max(1, members - 1)
        periods = min(2 * others - 1, 10) + 1 + 2 * ceil(log2(members + 1))
        checks_us = MAX_DIRECT_CHECKS * 2 * self.probe_timeout_us
        return (
            2 * periods * self.period_us
            + int(self.beta * min_suspicion_us(self.alpha, members, self.period_us))
            + checks_us
        )

    def healing_bound_us(self, members: int) -> int:
        """Time within which all live members are alive to each other after the last partition has healed.

        Each sync also reaches a dead member; five syncs may fail on the remains of the partition. Then an update is
        disseminated, the suspicion refuted, and the refutation disseminated.
        """
        return 6 * self.sync_interval_us + 8 * ceil(log2(members + 1)) * self.period_us


@dataclass(frozen=True, slots=True)
class LocalMember:
    """This placer, as other members know it."""

    ident: str
    address: str
    region: str
    life: int


@dataclass(frozen=True, slots=True)
class Seed:
    """A member of the settings; `ident` is "" where only its address is known."""

    ident: str
    address: str


@dataclass(slots=True)
class _Probe:
    """The ping of the current period; helpers are the members that were asked for an indirect ping."""

    number: int
    ident: str
    is_acked: bool = False
    helpers: int = 0
    helper_responses: int = 0  # by Ack or Nack


@dataclass(frozen=True, slots=True)
class _IndirectPing:
    """A ping that `sender` asked for with its number."""

    sender: str
    address: str
    number: int


class Membership:
    """One placer's membership; the host calls `start`, `on_message`, `on_timer` and `leave`.

    Each returns effects that the host carries out in order.
    """

    def __init__(
        self,
        local: LocalMember,
        seeds: tuple[Seed, ...],
        seed: int,
        settings: SwimSettings = SwimSettings(),
    ) -> None:
        self.local = local
        self.settings = settings
        self.incarnation = local.life
        self.local_health = LocalHealth()
        self.table = MemberTable(local.ident, self._new_suspicion)
        self.name_conflicts = 0  # updates of another live placer under this one's name
        self._foreign_updates = 0  # of another life under this one's name
        self._seeds = seeds
        self._random = random.Random(seed)
        self._round: list[str] = []
        self._probe: _Probe | None = None
        self._indirect_pings: dict[int, _IndirectPing] = {}
        self._last_number = 0
        self._deadlines_us: dict[str, int] = {}  # by timer key
        self._has_left = False

    # -- called by the host

    def start(self, now_us: int) -> list[Effect]:
        """Sync with the seeds, and start the protocol period and the anti-entropy timer."""
        return [
            *self._sync_with_seeds(),
            self._set_timer(PERIOD_TIMER, now_us + self._random.randrange(self.settings.period_us)),
            self._set_timer(SYNC_TIMER, now_us + self.settings.sync_interval_us // 5),
        ]

    def leave(self, now_us: int) -> list[Effect]:
        """Leave: a few members are notified, and timers have no effect any more."""
        self._has_left = True
        update = self.own_update().with_status(MemberStatus.LEFT, self.local.ident)
        return [
            _send_to(each, Sync(ask=False, news=(update,)))
            for each in self._pick(self.table.live_members(), LEAVE_RECEIVERS)
        ]

    def on_message(
        self, now_us: int, ident: str, address: str, message: SwimMessage
    ) -> list[Effect]:
        """Handle a message of the member `ident`, which states that it is reached at `address`."""
        if ident == self.local.ident:
            return []
        effects: list[Effect] = []
        for update in message.news:
            effects += self._on_update(update, now_us)
        if isinstance(message, Ping):
            ack = Ack(message.number, self.local.ident, self._piggybacked(ident))
            effects.append(Send(ident, address, ack))
        elif isinstance(message, PingRequest):
            effects += self._on_ping_request(now_us, ident, address, message)
        elif isinstance(message, Ack):
            effects += self._on_ack(ident, message)
        elif isinstance(message, Nack):
            self._on_nack(message)
        elif message.ask:
            effects.append(Send(ident, address, Sync(ask=False, news=self._sync_updates(ident))))
        return effects

    def on_timer(self, now_us: int, key: str) -> list[Effect]:
        """Handle a timer that is due; one that was cancelled or that a stall delayed may come late."""
        deadline_us = self._deadlines_us.pop(key, None)
        if deadline_us is None or self._has_left:
            return []
        late_us = now_us - deadline_us
        if late_us > self.settings.probe_timeout_us:
            self._on_stall(late_us)
        if key == PERIOD_TIMER:
            return self._start_period(now_us)
        if key == PING_TIMER:
            return self._request_indirect_pings()
        if key == SYNC_TIMER:
            return self._start_sync(now_us)
        if key == SUSPICION_TIMER:
            return self._expire_suspicions(now_us)
        return self._on_indirect_timeout(int(key.removeprefix(INDIRECT_TIMER_PREFIX)))

    def own_update(self) -> MemberUpdate:
        """The update that states that this placer is alive."""
        return MemberUpdate(
            self.local.ident,
            self.incarnation,
            MemberStatus.ALIVE,
            self.local.address,
            self.local.region,
            self.local.life,
        )

    # -- member updates

    def _on_update(self, update: MemberUpdate, now_us: int) -> list[Effect]:
        if update.ident == self.local.ident:
            return self._on_own_update(update)
        checks: list[Effect] = []
        if update.standing is MemberStatus.DEAD and not self._confirms_death(update, now_us):
            # Danger: a member that was partitioned off holds all others for dead, and after healing its updates would
            # declare them dead here too. A member that is truly dead has been a suspect here for some time by then;
            # any other is checked directly, and refutes.
            update = update.with_status(MemberStatus.SUSPECT, self.local.ident)
            member = self.table.members.get(update.ident)
            if member is not None and member.status is MemberStatus.ALIVE:
                checks = [_send_to(member, Sync(ask=True, news=(self.own_update(), update)))]
        change = self.table.apply(update, now_us)
        effects: list[Effect] = [] if change is None else [_notification(change)]
        return [*effects, *checks, *self._update_suspicion_timer()]

    def _confirms_death(self, update: MemberUpdate, now_us: int) -> bool:
        """Whether the member departed here, is unknown, or was a suspect for the shortest suspicion time-out."""
        member = self.table.members.get(update.ident)
        if member is None or member.has_departed:
            return True
        suspicion = member.suspicion
        return suspicion is not None and now_us - suspicion.start_us >= suspicion.min_us

    def _on_own_update(self, update: MemberUpdate) -> list[Effect]:
        is_this_life = update.life == self.local.life
        if update.incarnation < self.incarnation:
            return []
        if is_this_life and update.standing is MemberStatus.ALIVE:
            return []
        # Danger: an incarnation at or above the own one would override every later update of this life, as where the
        # wall clock was set back between two lives.
        self.incarnation = update.incarnation + 1
        self.table.gossip.add(self.own_update())
        if not is_this_life:
            return [self._on_foreign_update(update)]
        self.local_health.record_failure()
        return [
            Notify(
                "refuted",
                {
                    "standing": update.standing.value,
                    "by": update.by,
                    "incarnation": self.incarnation,
                },
            )
        ]

    def _on_foreign_update(self, update: MemberUpdate) -> Notify:
        """An update of another life under the own name: of an earlier run, or of another live placer.

        Another live placer raises its incarnation in return, so that such updates do not end.
        """
        self._foreign_updates += 1
        if self._foreign_updates <= MAX_STALE_INCARNATIONS:
            return Notify("former-life", {"incarnation": self.incarnation})
        self.name_conflicts += 1
        return Notify("twin", {"address": update.address})

    def _piggybacked(self, receiver: str) -> tuple[MemberUpdate, ...]:
        """Updates that ride on a message; a receiver that is not alive here learns that first and can refute it."""
        member = self.table.members.get(receiver)
        updates = self.table.gossip.next_updates(MAX_PIGGYBACKED_UPDATES - 2, first=receiver)
        if (
            member is not None
            and member.status is not MemberStatus.ALIVE
            and member.update not in updates
        ):
            updates = (member.update, *updates)
        return (self.own_update(), *updates)

    def _sync_updates(self, receiver: str) -> tuple[MemberUpdate, ...]:
        """Updates for an anti-entropy sync: of both ends, and of a random sample of the other members."""
        member = self.table.members.get(receiver)
        others = [
            each.update for each in self.table.members.values() if each.update.ident != receiver
        ]
        sample = self._random.sample(others, min(MAX_SYNC_UPDATES - 2, len(others)))
        return (self.own_update(), *([member.update] if member is not None else []), *sample)

    # -- pings

    def _start_period(self, now_us: int) -> list[Effect]:
        effects = self._end_probe(now_us)
        multiplier = self.local_health.multiplier
        target = self._next_target()
        if target is not None:
            ident = target.update.ident
            number = self._next_number()
            self._probe = _Probe(number, ident)
            effects.append(_send_to(target, Ping(number, self._piggybacked(ident))))
            timeout_us = self.settings.probe_timeout_us * multiplier
            effects.append(self._set_timer(PING_TIMER, now_us + timeout_us))
        period_us = self.settings.period_us * multiplier
        effects.append(self._set_timer(PERIOD_TIMER, now_us + period_us))
        return effects

    def _end_probe(self, now_us: int) -> list[Effect]:
        """Suspect the member whose ping of the last period was not acknowledged."""
        probe = self._probe
        self._probe = None
        if probe is None or probe.is_acked:
            return []
        # Lifeguard: a failed ping, and each helper that did not respond, count against this placer's own health.
        missing = max(0, probe.helpers - probe.helper_responses)
        self.local_health.record_failure(1 + missing)
        change = self.table.suspect(probe.ident, now_us)
        effects: list[Effect] = [] if change is None else [_notification(change)]
        return [*effects, *self._update_suspicion_timer()]

    def _next_target(self) -> Member | None:
        """The next live member of the shuffled round; a new round starts where it is used up."""
        while self._round:
            member = self.table.members.get(self._round.pop())
            if member is not None and not member.has_departed:
                return member
        self._round = [each.update.ident for each in self.table.live_members()]
        self._random.shuffle(self._round)
        return self.table.members[self._round.pop()] if self._round else None

    def _request_indirect_pings(self) -> list[Effect]:
        probe = self._probe
        if probe is None or probe.is_acked:
            return []
        target = self.table.members.get(probe.ident)
        if target is None:
            return []
        candidates = [
            each
            for each in self.table.live_members()
            if each is not target and each.status is MemberStatus.ALIVE
        ]
        helpers = self._pick(candidates, self.settings.indirect_probes)
        probe.helpers = len(helpers)
        return [
            _send_to(
                each,
                PingRequest(
                    probe.number,
                    probe.ident,
                    target.update.address,
                    self._piggybacked(each.update.ident),
                ),
            )
            for each in helpers
        ]

    def _on_ack(self, ident: str, ack: Ack) -> list[Effect]:
        probe = self._probe
        if probe is not None and ack.number == probe.number:
            if ident != probe.ident:
                probe.helper_responses += 1
            if ack.ident == probe.ident and not probe.is_acked:
                probe.is_acked = True
                self.local_health.record_success()
            return []
        indirect = self._indirect_pings.pop(ack.number, None)
        if indirect is None:
            return []
        self._deadlines_us.pop(f"{INDIRECT_TIMER_PREFIX}{ack.number}", None)
        forwarded = Ack(indirect.number, ack.ident, self._piggybacked(indirect.sender))
        return [Send(indirect.sender, indirect.address, forwarded)]

    def _on_nack(self, nack: Nack) -> None:
        if self._probe is not None and self._probe.number == nack.number:
            self._probe.helper_responses += 1

    def _on_ping_request(
        self, now_us: int, ident: str, address: str, request: PingRequest
    ) -> list[Effect]:
        if len(self._indirect_pings) >= MAX_INDIRECT_PINGS:
            return []
        number = self._next_number()
        self._indirect_pings[number] = _IndirectPing(ident, address, request.number)
        # Lifeguard: the nack has to arrive before the requester's own time-out.
        deadline_us = now_us + self.settings.probe_timeout_us * 4 // 5
        ping = Ping(number, self._piggybacked(request.ident))
        return [
            Send(request.ident, request.address, ping),
            self._set_timer(f"{INDIRECT_TIMER_PREFIX}{number}", deadline_us),
        ]

    def _on_indirect_timeout(self, number: int) -> list[Effect]:
        indirect = self._indirect_pings.pop(number, None)
        if indirect is None:
            return []
        nack = Nack(indirect.number, self._piggybacked(indirect.sender))
        return [Send(indirect.sender, indirect.address, nack)]

    def _on_stall(self, late_us: int) -> None:
        """A timer ran late: acknowledgements and refutations may lie unread in this placer's sockets."""
        self.local_health.record_failure(1 + min(3, late_us // self.settings.period_us))
        self._probe = None
        self.table.extend_suspicions(late_us)

    # -- anti-entropy and suspicions

    def _start_sync(self, now_us: int) -> list[Effect]:
        effects: list[Effect] = [
            _send_to(each, Sync(ask=True, news=self._sync_updates(each.update.ident)))
            for each in self._pick(self.table.live_members(), 1)
        ]
        # Both sides of a partition hold each other for dead and do not ping: without this, none learns that it healed.
        effects += [
            _send_to(each, Sync(ask=True, news=self._sync_updates(each.update.ident)))
            for each in self._pick(self.table.dead_members(), 1)
        ]
        effects += self._expire_suspicions(now_us)
        effects += self._sync_with_seeds()
        effects.append(self._set_timer(SYNC_TIMER, now_us + self.settings.sync_interval_us))
        return effects

    def _sync_with_seeds(self) -> list[Effect]:
        """Sync with seeds that are not known as live members."""
        live = self.table.live_members()
        known = {each.update.address for each in live}
        known |= {each.update.ident for each in live}
        known |= {self.local.address, self.local.ident}
        missing = [each for each in self._seeds if (each.ident or each.address) not in known]
        chosen = self._random.sample(missing, min(MAX_SEEDS_PER_SYNC, len(missing)))
        return [
            Send(each.ident, each.address, Sync(ask=True, news=(self.own_update(),)))
            for each in chosen
        ]

    def _expire_suspicions(self, now_us: int) -> list[Effect]:
        check_interval_us = self.settings.probe_timeout_us * self.local_health.multiplier
        changes, to_check = self.table.expire(now_us, check_interval_us)
        checks = [
            Send(each.ident, each.address, Sync(ask=True, news=(self.own_update(), each)))
            for each in to_check
        ]
        return [*map(_notification, changes), *checks, *self._update_suspicion_timer()]

    def _update_suspicion_timer(self) -> list[Effect]:
        """Set the timer where the next suspicion ends before it is due, or where it is not set."""
        deadline_us = self.table.next_deadline_us()
        if deadline_us is None:
            return []
        current_us = self._deadlines_us.get(SUSPICION_TIMER)
        if current_us is not None and deadline_us >= current_us:
            return []
        return [self._set_timer(SUSPICION_TIMER, deadline_us)]

    # -- helpers

    def _new_suspicion(self, now_us: int) -> Suspicion:
        return self.settings.new_suspicion(now_us, len(self.table.live_members()) + 1)

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number

    def _set_timer(self, key: str, at_us: int) -> SetTimer:
        self._deadlines_us[key] = at_us
        return SetTimer(key, at_us)

    def _pick(self, members: list[Member], limit: int) -> list[Member]:
        return self._random.sample(members, min(limit, len(members)))


def _send_to(member: Member, message: SwimMessage) -> Send:
    return Send(member.update.ident, member.update.address, message)


def _notification(change: MemberChange) -> Notify:
    update = change.update
    return Notify(
        change.event,
        {
            "member": update.ident,
            "incarnation": update.incarnation,
            "life": update.life,
            "address": update.address,
            "by": update.by,
        },
    )
