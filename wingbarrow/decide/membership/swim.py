"""Failure detection and membership by SWIM (Das 2002) with Lifeguard (Dadgar 2018), as a state machine without I/O.

In each protocol period one other member is pinged, in shuffled round-robin order. If it does not acknowledge in time,
other members are asked to ping it (ping-req). If no acknowledgement arrives by the end of the period, it is suspected,
and it is declared dead unless it refutes the suspicion in time. Member updates are piggybacked on these messages, so
that the cost at each placer does not grow with the number of members.

Extensions to SWIM: a placer whose own timers fire late raises its local health score, drops the probe in progress and
extends all suspicions; deaths reported by gossip are checked directly first; anti-entropy syncs also go to dead
members, so that both sides of a partition rejoin after it heals. `docs/peers.md` gives the reasons and the time bounds.

Membership is advisory: no guarantee of the scheduler depends on it.
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
MAX_INDIRECT_PINGS = 64  # in progress on behalf of other members
MAX_SEEDS_PER_SYNC = 4
# Updates of an earlier run under the local name that are accepted before they count as a name conflict.
MAX_STALE_INCARNATIONS = 8
LEAVE_RECEIVERS = 3  # members that are notified when this placer leaves

PERIOD_TIMER = "period"
PING_TIMER = "ping"
SYNC_TIMER = "sync"
SUSPICION_TIMER = "suspicion"
INDIRECT_TIMER_PREFIX = "ping-req "


@dataclass(frozen=True, slots=True)
class SwimSettings:
    """SWIM parameters; the defaults follow the SWIM and Lifeguard papers, with a protocol period of one second."""

    period_us: int = 1_000_000
    probe_timeout_us: int = 350_000  # timeout of a direct ping
    indirect_probes: int = 3  # members that are asked for an indirect ping of one target
    sync_interval_us: int = 5_000_000
    alpha: float = 3.0  # minimum suspicion timeout, in periods times log10(members)
    beta: float = 4.0  # maximum suspicion timeout, as a multiple of the minimum
    confirmations: int = 3  # that reduce a suspicion timeout to the minimum

    def new_suspicion(self, now_us: int, members: int) -> Suspicion:
        """Create a suspicion that starts now, in a group of `members`, this placer included."""
        shortest = min_suspicion_us(self.alpha, members, self.period_us)
        return Suspicion(
            start_us=now_us,
            min_us=shortest,
            max_us=int(self.beta * shortest),
            expected_confirmations=min(self.confirmations, max(0, members - 2)),
        )

    def detection_bound_us(self, members: int) -> int:
        """Time in microseconds within which all live members see a crashed member as dead, absent other failures.

        Some member pings it within ten periods: each other member does so once in `members - 1` periods on average, so
        that the probability that none does is e**-10, and it never takes more than two rounds of the probe order. To
        this are added the period of that ping, the maximum suspicion timeout, the direct checks, and dissemination to
        all members in `2 * log2` periods. Periods count twice, as a failed ping raises the local health multiplier.
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
        """Time in microseconds within which all live members see each other as alive after the last partition healed.

        Each sync also goes to one dead member; five syncs may fail while effects of the partition remain. Then an
        update is disseminated, the suspicion is refuted, and the refutation is disseminated.
        """
        return 6 * self.sync_interval_us + 8 * ceil(log2(members + 1)) * self.period_us


@dataclass(frozen=True, slots=True)
class LocalMember:
    """This placer, as announced to other members; `run_id` identifies this run of its process."""

    ident: str
    address: str
    region: str
    # `MemberUpdate.life`; also the initial incarnation, so it should grow with each start.
    run_id: int


@dataclass(frozen=True, slots=True)
class Seed:
    """A configured member to join through; `ident` is "" if only its address is known."""

    ident: str
    address: str


@dataclass(slots=True)
class _Probe:
    """The probe of the current period; `helpers` counts the members that were asked for an indirect ping."""

    number: int
    ident: str
    is_acked: bool = False
    helpers: int = 0
    helper_responses: int = 0  # Acks and Nacks received from helpers


@dataclass(frozen=True, slots=True)
class _IndirectPing:
    """A ping in progress on behalf of `sender`; `number` is that of its ping-req."""

    sender: str
    address: str
    number: int


class Membership:
    """One placer's view of the group. The host calls `start`, `on_message`, `on_timer` and `leave`.

    Each of them returns effects, which the host carries out in order.
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
        self.incarnation = local.run_id
        self.local_health = LocalHealth()
        self.table = MemberTable(local.ident, self._new_suspicion)
        self.name_conflicts = 0  # updates of another live placer with this placer's name
        self._foreign_updates = 0  # updates of another process run with this placer's name
        self._seeds = seeds
        self._random = random.Random(seed)
        self._probe_order: list[str] = []
        self._probe: _Probe | None = None
        self._indirect_pings: dict[int, _IndirectPing] = {}
        self._last_number = 0
        self._deadlines_us: dict[str, int] = {}  # by timer key
        self._has_left = False

    # -- Called by the host

    def start(self, now_us: int) -> list[Effect]:
        """Sync with the seeds, and start the protocol period and the anti-entropy timer."""
        return [
            *self._sync_with_seeds(),
            self._set_timer(PERIOD_TIMER, now_us + self._random.randrange(self.settings.period_us)),
            self._set_timer(SYNC_TIMER, now_us + self.settings.sync_interval_us // 5),
        ]

    def leave(self, now_us: int) -> list[Effect]:
        """Leave the group: notify `LEAVE_RECEIVERS` members; timers have no effect afterwards."""
        self._has_left = True
        update = self.own_update().with_status(MemberStatus.LEFT, self.local.ident)
        return [
            _send_to(each, Sync(ask=False, news=(update,)))
            for each in self._sample(self.table.live_members(), LEAVE_RECEIVERS)
        ]

    def on_message(
        self, now_us: int, ident: str, address: str, message: SwimMessage
    ) -> list[Effect]:
        """Handle a message of the member `ident`, whose own address is `address`."""
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
        """Handle a timer that fired: a cancelled one is ignored, and a late one counts as a local stall."""
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
        """The update that announces this placer as alive."""
        return MemberUpdate(
            self.local.ident,
            self.incarnation,
            MemberStatus.ALIVE,
            self.local.address,
            self.local.region,
            self.local.run_id,
        )

    # -- Member updates

    def _on_update(self, update: MemberUpdate, now_us: int) -> list[Effect]:
        if update.ident == self.local.ident:
            return self._on_own_update(update)
        checks: list[Effect] = []
        if update.standing is MemberStatus.DEAD and not self._confirms_death(update, now_us):
            # Danger: a member that was partitioned off considers all others dead, and after the partition heals its
            # updates would declare them dead here too. A member that is really dead has been a suspect here for the
            # minimum timeout; any other is checked directly and can refute the suspicion.
            update = update.with_status(MemberStatus.SUSPECT, self.local.ident)
            member = self.table.members.get(update.ident)
            if member is not None and member.status is MemberStatus.ALIVE:
                checks = [_send_to(member, Sync(ask=True, news=(self.own_update(), update)))]
        change = self.table.apply(update, now_us)
        effects: list[Effect] = [] if change is None else [_notification(change)]
        return [*effects, *checks, *self._update_suspicion_timer()]

    def _confirms_death(self, update: MemberUpdate, now_us: int) -> bool:
        """Whether the member is unknown, has departed, or was suspected here for the minimum suspicion timeout."""
        member = self.table.members.get(update.ident)
        if member is None or member.has_departed:
            return True
        suspicion = member.suspicion
        return suspicion is not None and now_us - suspicion.start_us >= suspicion.min_us

    def _on_own_update(self, update: MemberUpdate) -> list[Effect]:
        is_same_run = update.life == self.local.run_id
        if update.incarnation < self.incarnation:
            return []
        if is_same_run and update.standing is MemberStatus.ALIVE:
            return []
        # Danger: an incarnation at or above the local one would override all later updates of this run. That happens
        # where the wall clock was set back between two runs.
        self.incarnation = update.incarnation + 1
        self.table.gossip.add(self.own_update())
        if not is_same_run:
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
        """Handle an update under the local name from an earlier run of this placer, or from another live placer.

        Another live placer raises its incarnation in response, so that such updates continue: more than
        `MAX_STALE_INCARNATIONS` of them are a name conflict.
        """
        self._foreign_updates += 1
        if self._foreign_updates <= MAX_STALE_INCARNATIONS:
            return Notify("former-life", {"incarnation": self.incarnation})
        self.name_conflicts += 1
        return Notify("twin", {"address": update.address})

    def _piggybacked(self, receiver: str) -> tuple[MemberUpdate, ...]:
        """Updates to piggyback on a message; a receiver that is not alive here gets its own status, to refute it."""
        member = self.table.members.get(receiver)
        updates = self.table.gossip.next_updates(
            MAX_PIGGYBACKED_UPDATES - 2, priority_ident=receiver
        )
        if (
            member is not None
            and member.status is not MemberStatus.ALIVE
            and member.update not in updates
        ):
            updates = (member.update, *updates)
        return (self.own_update(), *updates)

    def _sync_updates(self, receiver: str) -> tuple[MemberUpdate, ...]:
        """Updates for an anti-entropy sync: about both ends, and about a random sample of the other members."""
        member = self.table.members.get(receiver)
        others = [
            each.update for each in self.table.members.values() if each.update.ident != receiver
        ]
        sample = self._random.sample(others, min(MAX_SYNC_UPDATES - 2, len(others)))
        return (self.own_update(), *([member.update] if member is not None else []), *sample)

    # -- Probes

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
        """End the probe of the last period; suspect its target if it was not acknowledged."""
        probe = self._probe
        self._probe = None
        if probe is None or probe.is_acked:
            return []
        # Lifeguard: a failed probe, and each helper that did not respond, raise the local health score.
        missing = max(0, probe.helpers - probe.helper_responses)
        self.local_health.record_failure(1 + missing)
        change = self.table.suspect(probe.ident, now_us)
        effects: list[Effect] = [] if change is None else [_notification(change)]
        return [*effects, *self._update_suspicion_timer()]

    def _next_target(self) -> Member | None:
        """The next live member in the shuffled probe order, which is reshuffled when it is exhausted."""
        while self._probe_order:
            member = self.table.members.get(self._probe_order.pop())
            if member is not None and not member.has_departed:
                return member
        self._probe_order = [each.update.ident for each in self.table.live_members()]
        self._random.shuffle(self._probe_order)
        return self.table.members[self._probe_order.pop()] if self._probe_order else None

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
        helpers = self._sample(candidates, self.settings.indirect_probes)
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
        # Lifeguard: the nack has to arrive before the probe of the requester times out.
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
        """Handle a late timer: acknowledgements and refutations may be unread in this placer's socket buffers."""
        self.local_health.record_failure(1 + min(3, late_us // self.settings.period_us))
        self._probe = None
        self.table.extend_suspicions(late_us)

    # -- Anti-entropy and suspicions

    def _start_sync(self, now_us: int) -> list[Effect]:
        effects: list[Effect] = [
            _send_to(each, Sync(ask=True, news=self._sync_updates(each.update.ident)))
            for each in self._sample(self.table.live_members(), 1)
        ]
        # Members on both sides of a partition see each other as dead and do not ping each other: without a sync to a
        # dead member, neither side would detect that the partition has healed.
        effects += [
            _send_to(each, Sync(ask=True, news=self._sync_updates(each.update.ident)))
            for each in self._sample(self.table.dead_members(), 1)
        ]
        effects += self._expire_suspicions(now_us)
        effects += self._sync_with_seeds()
        effects.append(self._set_timer(SYNC_TIMER, now_us + self.settings.sync_interval_us))
        return effects

    def _sync_with_seeds(self) -> list[Effect]:
        """Send a sync to at most `MAX_SEEDS_PER_SYNC` seeds that are not known as live members."""
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
        """Set the suspicion timer if it is not set, or if the next deadline is before its current time."""
        deadline_us = self.table.next_deadline_us()
        if deadline_us is None:
            return []
        current_us = self._deadlines_us.get(SUSPICION_TIMER)
        if current_us is not None and deadline_us >= current_us:
            return []
        return [self._set_timer(SUSPICION_TIMER, deadline_us)]

    # -- Helpers

    def _new_suspicion(self, now_us: int) -> Suspicion:
        return self.settings.new_suspicion(now_us, len(self.table.live_members()) + 1)

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number

    def _set_timer(self, key: str, at_us: int) -> SetTimer:
        self._deadlines_us[key] = at_us
        return SetTimer(key, at_us)

    def _sample(self, members: list[Member], limit: int) -> list[Member]:
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
