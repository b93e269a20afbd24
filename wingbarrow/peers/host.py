"""The host of what is decided among placers: mail in, effects out, timers, the log and the history told.

A state machine that it hosts is called with the time and a message or a timer's key, and returns what is to happen, in
order. What a message makes it send to the very sender goes back in the answer to that mail.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Protocol

from netaddr import AddrFormatError, IPAddress

from wingbarrow.config import SettingsError
from wingbarrow.config.settings import PlacerSettings
from wingbarrow.decide.coordination.coordinator import Coordinator
from wingbarrow.decide.coordination.settings import LocalPlacer, Subsystems
from wingbarrow.decide.effects import Effect, Notify, Persist, Send, SetTimer
from wingbarrow.decide.membership import messages as membership_messages
from wingbarrow.decide.membership.member_table import Member
from wingbarrow.decide.membership.swim import LocalMember, Membership, Seed, SwimSettings
from wingbarrow.decide.regions.forwarding import ForwardTarget
from wingbarrow.decide.regions.reports import RegionMember
from wingbarrow.decide.rulesets.entries import ProposalEntry
from wingbarrow.decide.sessions.session import EndedSession, Session, parse_session
from wingbarrow.decide.sessions.session_lease import SessionLease
from wingbarrow.peers.coordinator_setup import (
    coordinator_for,
    maintenance_for,
    open_voter_store,
    replicated_subsystems,
)
from wingbarrow.peers.history import History
from wingbarrow.peers.mailbox import Outbox
from wingbarrow.peers.message import (
    Envelope,
    MessageError,
    decode_envelope,
    encode_envelope,
    encode_message,
)
from wingbarrow.peers.message_bounds import SESSION_MESSAGES
from wingbarrow.peers.ruleset_settings import rules_of
from wingbarrow.store.voter_store import StoreError, VoterStore
from wingbarrow.transport import Hub, Nursery, Timer

LEAVE_US = 300_000
FOUNDING = (
    "founding"  # the first proposal's name: whoever leads first makes it, and it is taken once
)
LOUD = {"twin": "error", "dead": "warning", "suspected": "info"}


class StateMachine(Protocol):
    """A state machine among placers."""

    def on_message(self, now_us: int, ident: str, address: str, message: Any) -> list[Effect]:
        """Mail came."""

    def on_timer(self, now_us: int, key: str) -> list[Effect]:
        """A timer that it set is due."""


class Peering:
    """One placer's side of what placers say to each other; does nothing where the settings name no other placer."""

    def __init__(
        self,
        hub: Hub,
        settings: PlacerSettings,
        life: int,
        log: Callable[..., None],
        rules: SwimSettings = SwimSettings(),
    ) -> None:
        self._hub, self._settings, self._log = hub, settings, log
        self.counts: Counter[str] = Counter()
        self.address = ""  # this instance's front, once it listens
        self.history = History(settings.history, hub.now_us, log)
        self._routes = {peer.name: str(peer) for peer in settings.peers if peer.name}
        self._life, self._rules = life, rules
        self.on = (
            bool(settings.peers) or settings.peers_allowed.size > 0 or settings.agree is not None
        )
        self.membership = self._member()
        self.agreement: Coordinator | None = None
        self.lease = SessionLease(settings.name, settings.region)
        self.lease.counts = self.counts
        self.regions = RegionMember(lambda now_us: None)
        self.turns, self.turn_side = maintenance_for(
            settings, lambda now: now + hub.clock.wall_us() - hub.now_us()
        )
        self.on_turns: Callable[[], None] = lambda: None
        self.on_session: Callable[[Session, bool, int], None] = lambda session, may, epoch: None
        self.on_ended: Callable[[EndedSession], None] = lambda ended: None
        self.on_rules: Callable[[str, str], None] = lambda label, text: None
        self.on_rights: Callable[[], None] = lambda: None
        self.uses: Callable[[str], int] = lambda key: 0  # of a standing limit, by its key
        self.zones: Callable[[], Mapping[str, str]] = dict  # of each machine of the list
        self.on_verdicts: Callable[[frozenset[str]], None] = lambda machines: None
        self.demand: Callable[[str], int] = lambda key: 0  # what would be used beyond that
        self._store: VoterStore | None = None
        self._hosted: dict[str, StateMachine] = {}  # by name, beside membership and agreement
        self._kinds: dict[type[Any], str] = {}  # which of them takes messages of a kind
        self._timers: dict[tuple[str, str], Timer] = {}
        self._nursery: Nursery | None = None
        self._post = Outbox(
            hub, f"wingbarrow/{settings.name}", self._pack, self._take, self._spawn, self.counts
        )
        self._reply: tuple[str, list[bytes]] | None = (
            None  # to whom mail is being answered, and with what so far
        )

    def _member(self) -> Membership:
        settings = self._settings
        me = LocalMember(settings.name, self.address or "?", settings.region, self._life)
        return Membership(
            me,
            tuple(Seed(each.name, str(each)) for each in settings.peers if each.seed),
            settings.seed * 7919 + self._life,
            self._rules,
        )

    # -- the placer's side

    def host(self, name: str, machine: StateMachine, kinds: Iterable[type[Any]]) -> None:
        """Have a further state machine take part, to which messages of these kinds go; before `run`.

        What it is to begin with, or does in answer to a request, it gives to `act` under the same name.
        """
        if name in ("members", "rules") or name in self._hosted:
            raise ValueError(f"there is a machine named {name}")
        self._hosted[name] = machine
        self._kinds |= {kind: name for kind in kinds}

    def run(self) -> None:
        """Take part until cancelled; others hear of an end by cancellation as far as one mail goes."""
        if not self.on:
            return
        settings = self._settings
        self.membership = self._member()  # the address is known by now
        self.history("start", name=settings.name, life=self._life, address=self.address)
        if settings.agree is not None:
            self._store, disk = open_voter_store(settings, self._log)
            self.agreement = coordinator_for(
                settings,
                disk,
                LocalPlacer(settings.name, self._life, settings.region, self.zones),
                Subsystems(
                    replicated_subsystems(settings, self.turns, self.counts),
                    (self.lease, self.regions, self.turn_side),
                ),
            )
            self.agreement.quotas.in_use, self.agreement.quotas.demand = self.uses, self.demand
        try:
            with Nursery(self._hub) as nursery:
                self._nursery = nursery
                self.act("members", self.membership.start(self._hub.now_us()))
                if self.agreement is not None:
                    self.act("rules", self.agreement.start(self._hub.now_us()))
                while True:
                    self._hub.sleep(3_600_000_000)
        finally:
            self._nursery = None
            for timer in self._timers.values():
                timer.cancel()
            self._post.close()
            if self._store is not None:
                self._store.close()
            self.history("end")
            self.history.close()

    def leave(self) -> None:
        """Say to a few others that this placer ends by itself; returns soon, whether they heard it or not."""
        if self._nursery is not None:
            self.act("members", self.membership.leave(self._hub.now_us()))
            with self._hub.limit(LEAVE_US):
                while self._post.busy:
                    self._hub.sleep(5_000)

    @property
    def members(self) -> dict[str, Member]:
        """All other placers that are known, by name."""
        return self.membership.table.members

    def hurry(self) -> None:
        """Somebody waits for rights: have them asked for soon."""
        if self.agreement is not None:
            self.act("rules", self.agreement.request_soon(self._hub.now_us()))

    def targets(self, names: Iterable[str]) -> list[ForwardTarget]:
        """Those of some other placers that live, in the life in which they are known."""
        living = {
            each.update.ident: each.update.life for each in self.membership.table.live_members()
        }
        return [ForwardTarget(name, living[name]) for name in names if name in living]

    # -- mail

    def mail(self, raw: bytes) -> bytes:
        """Take mail in and answer it; MessageError where it cannot be used."""
        if self._nursery is None:
            raise MessageError("this placer takes part in nothing yet")
        mail = decode_envelope(raw, self._settings.cluster)
        before = self._reply
        letters: list[bytes] = []
        self._reply = mail.sender, letters
        try:
            self._deliver(mail)
        finally:
            self._reply = before
        return self._pack(letters)

    def _take(self, raw: bytes) -> None:
        mail = decode_envelope(raw, self._settings.cluster)
        self._deliver(mail)

    def _deliver(self, mail: Envelope) -> None:
        if mail.unknown_kinds:
            self.counts["peers:letters of unknown kinds"] += mail.unknown_kinds
        for message in mail.messages:
            now = self._hub.now_us()
            hosted = self._kinds.get(type(message), "")
            if hosted:
                machine = self._hosted[hosted]
                self.act(hosted, machine.on_message(now, mail.sender, mail.address, message))
            elif isinstance(message, SESSION_MESSAGES):
                self.counts["peers:letters about custody, which is not kept here"] += 1
            elif isinstance(message, membership_messages.SwimMessage):
                self.act(
                    "members", self.membership.on_message(now, mail.sender, mail.address, message)
                )
            elif self.agreement is not None:
                self.act(
                    "rules", self.agreement.on_message(now, mail.sender, mail.address, message)
                )
                self.act("rules", self.lease.check_expiry(now))
            else:
                self.counts["peers:letters about rules, which are not agreed on here"] += 1

    def _pack(self, letters: list[bytes]) -> bytes:
        return encode_envelope(self._settings.cluster, self._settings.name, self.address, letters)

    # -- effects

    def act(self, machine: str, effects: Iterable[Effect]) -> None:
        """Carry out what a machine asked for; only from a task of this placer's own."""
        for effect in effects:
            if isinstance(effect, Send):
                self._send(effect)
            elif isinstance(effect, SetTimer):
                self._set_timer(machine, effect)
            elif isinstance(effect, Notify):
                self._tell(machine, effect)
            elif not self._persist(effect):
                return  # Danger: what follows would be said though it is not on disk

    def _send(self, send: Send) -> None:
        letter = encode_message(send.message)
        if self._reply is not None and send.ident == self._reply[0]:
            self._reply[1].append(letter)
            return
        address = self._routes.get(send.ident) or send.address or self.address_of(send.ident)
        host, _, port = address.rpartition(":")
        if not port.isdecimal() or not 0 < int(port) < 65536 or not self._may_ask(host, address):
            self.counts["peers:addresses refused"] += 1
            return
        self._post.send(host, int(port), letter)

    def _may_ask(self, host: str, address: str) -> bool:
        """Danger: an address that gossip brought could have this placer call anything; the settings bound it."""
        if any(str(peer) == address for peer in self._settings.peers):
            return True
        try:
            return IPAddress(host) in self._settings.peers_allowed
        except (AddrFormatError, ValueError):
            return False

    def _set_timer(self, machine: str, wanted: SetTimer) -> None:
        key = machine, wanted.key
        held = self._timers.pop(key, None)
        if held is not None:
            held.cancel()

        def due() -> None:
            self._timers.pop(key, None)
            self._spawn(lambda: self._on_timer(machine, wanted.key), "peers' timer")

        self._timers[key] = self._hub.call_at(wanted.at_us, due)

    def _on_timer(self, machine: str, key: str) -> None:
        now = self._hub.now_us()
        if machine == "members":
            self.act(machine, self.membership.on_timer(now, key))
        elif machine in self._hosted:
            self.act(machine, self._hosted[machine].on_timer(now, key))
        elif self.agreement is not None:
            self.act(machine, self.agreement.on_timer(now, key))
            self.act(machine, self.lease.check_expiry(now))

    def _tell(self, machine: str, tell: Notify) -> None:
        if machine == "members":
            self.counts["peers:" + tell.event] += 1
            self.history("member-" + tell.event, **tell.fields)
            self._log("member-" + tell.event, level=LOUD.get(tell.event, "info"), **tell.fields)
            return
        self.history(tell.event, **tell.fields)
        if machine in self._hosted:
            return
        if tell.event == "rules":
            self.on_rules(str(tell.fields["label"]), str(tell.fields["rules"]))
        elif tell.event == "session":
            self.on_session(
                parse_session(tell.fields["session"]),
                bool(tell.fields["open"]),
                int(tell.fields["epoch"]),
            )
        elif tell.event == "session-ended":
            self.on_ended(self.lease.ended[parse_session(tell.fields["session"])])
        elif tell.event == "rights":
            self.on_rights()
        elif tell.event == "verdicts":
            self.on_verdicts(frozenset(tell.fields["machines"]))
        elif tell.event == "turn":
            self.on_turns()
            self._log("turn", **tell.fields)
        else:
            self._log("rules-" + tell.event, **tell.fields)
        if tell.event == "leads":
            self._spawn(self._found, "founds")

    # -- rules

    def _persist(self, what: Persist) -> bool:
        if self._store is None:
            return False
        try:
            self._store.persist(what)
            return True
        except StoreError as error:
            self.counts["rules:store failed"] += 1
            self._log("rules-store-failed", level="error", why=str(error))
            if self.agreement is not None and self.agreement.raft is not None:
                self.agreement.raft.on_storage_failure()  # its leases go on
            self._store.close()
            self._store = None
            return False

    def _found(self) -> None:
        """The first leader proposes what its own settings say, once."""
        agreement = self.agreement
        if agreement is not None and agreement.is_leader and not agreement.rule_set_state.version:
            try:
                text = rules_of(self._settings).text()
            except SettingsError as error:
                self._log("rules-not-founded", level="error", why=str(error)[:500])
                return
            self.propose(
                "propose",
                ProposalEntry(
                    ident=FOUNDING,
                    base=0,
                    rules=text,
                    by=self._settings.name,
                    why="the settings of the first leader",
                ).to_entry(),
            )

    def propose(self, kind: str, value: dict[str, Any]) -> None:
        """At the leader: have something decided."""
        if self.agreement is not None:
            self.act("rules", self.agreement.propose(self._hub.now_us(), kind, value))

    def change_voters(self, names: tuple[str, ...]) -> bool:
        """At the leader: take one voter in, or leave one out."""
        if self.agreement is None:
            return False
        possible, effects = self.agreement.change_voters(self._hub.now_us(), names)
        self.act("rules", effects)
        return possible

    def address_of(self, ident: str) -> str:
        """Where another placer says that it can be reached; "" where it is not known."""
        held = self.members.get(ident)
        return held.update.address if held is not None else ""

    def _spawn(self, call: Callable[[], None], name: str) -> None:
        if self._nursery is not None and not self._nursery.scope.cancelled:
            self._nursery.spawn(call, name)
