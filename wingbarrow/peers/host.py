"""The host of the state machines between placers: it delivers messages and timers to them, and applies their effects.

A state machine is called with the time and a message or a timer's key, and returns effects, which are applied in order.
Messages to the sender of the envelope that is being handled are returned in the response to its request.
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
from wingbarrow.peers.message import (
    Envelope,
    MessageError,
    decode_envelope,
    encode_envelope,
    encode_message,
)
from wingbarrow.peers.message_bounds import SESSION_MESSAGES
from wingbarrow.peers.outbox import Outbox
from wingbarrow.peers.ruleset_settings import requested_rule_set
from wingbarrow.store.voter_store import StoreError, VoterStore
from wingbarrow.transport import Hub, Nursery, Timer

LEAVE_TIMEOUT_US = 300_000  # for sending the messages of a leaving placer
# Idempotency key of the first rule set: the first leader proposes it, and it is accepted once.
INITIAL_PROPOSAL_IDENT = "founding"
EVENT_LOG_LEVELS = {  # of membership events; "info" for others
    "twin": "error",
    "dead": "warning",
    "suspected": "info",
}


class StateMachine(Protocol):
    """A state machine that exchanges messages with other placers."""

    def on_message(self, now_us: int, ident: str, address: str, message: Any) -> list[Effect]:
        """Handle a message from the placer `ident` at `address`; return the effects to apply."""

    def on_timer(self, now_us: int, key: str) -> list[Effect]:
        """Handle a timer that the state machine set; return the effects to apply."""


class Peering:
    """One placer's communication with the others; disabled if the settings name neither peers nor voters."""

    def __init__(
        self,
        hub: Hub,
        settings: PlacerSettings,
        incarnation: int,
        log: Callable[..., None],
        swim_settings: SwimSettings = SwimSettings(),
    ) -> None:
        self._hub, self._settings, self._log = hub, settings, log
        self.counts: Counter[str] = Counter()
        self.address = ""  # of this instance's front, set once it listens
        self.history = History(settings.history, hub.now_us, log)
        self._routes = {peer.name: str(peer) for peer in settings.peers if peer.name}
        self._incarnation, self._swim_settings = incarnation, swim_settings
        self.is_enabled = (
            bool(settings.peers) or settings.peers_allowed.size > 0 or settings.agree is not None
        )
        self.membership = self._member()
        self.agreement: Coordinator | None = None
        self.lease = SessionLease(settings.name, settings.region)
        self.lease.counts = self.counts
        self.regions = RegionMember(lambda now_us: None)
        self.maintenance_scheduler, self.maintenance_member = maintenance_for(
            settings, lambda now: now + hub.clock.wall_us() - hub.now_us()
        )
        self.on_slots_changed: Callable[[], None] = lambda: None
        self.on_session: Callable[[Session, bool, int], None] = lambda session, may, epoch: None
        self.on_session_ended: Callable[[EndedSession], None] = lambda ended: None
        self.on_rules: Callable[[str, str], None] = lambda label, text: None
        self.on_quotas_changed: Callable[[], None] = lambda: None
        # By the key of a limit: current use, and demand beyond that use.
        self.quotas_in_use: Callable[[str], int] = lambda key: 0
        self.quota_demand: Callable[[str], int] = lambda key: 0
        self.machine_zones: Callable[[], Mapping[str, str]] = dict  # by name of the listed machines
        self.on_ejections_changed: Callable[[frozenset[str]], None] = lambda machines: None
        self._store: VoterStore | None = None
        self._hosted: dict[str, StateMachine] = {}  # by name, without membership and agreement
        self._kinds: dict[type[Any], str] = {}  # name of the state machine by message type
        self._timers: dict[tuple[str, str], Timer] = {}
        self._nursery: Nursery | None = None
        self._outbox = Outbox(
            hub,
            f"wingbarrow/{settings.name}",
            self._encode,
            self._on_response,
            self._spawn,
            self.counts,
        )
        # The sender of the request that is being handled, and the encoded messages of its response.
        self._response: tuple[str, list[bytes]] | None = None

    def _member(self) -> Membership:
        settings = self._settings
        me = LocalMember(settings.name, self.address or "?", settings.region, self._incarnation)
        return Membership(
            me,
            tuple(Seed(each.name, str(each)) for each in settings.peers if each.seed),
            settings.seed * 7919 + self._incarnation,
            self._swim_settings,
        )

    # -- calls of the placer

    def register(
        self, name: str, state_machine: StateMachine, message_types: Iterable[type[Any]]
    ) -> None:
        """Add a state machine that handles messages of these types; call before `run`.

        Effects that arise outside `on_message` and `on_timer` are passed to `perform` under the same name. Raises
        ValueError if the name is taken.
        """
        if name in ("members", "rules") or name in self._hosted:
            raise ValueError(f"a state machine named {name} is registered already")
        self._hosted[name] = state_machine
        self._kinds |= {message_type: name for message_type in message_types}

    def run(self) -> None:
        """Run membership and agreement until cancelled; on cancellation, connections, store and history are closed."""
        if not self.is_enabled:
            return
        settings = self._settings
        self.membership = self._member()  # with the address, which is known now
        self.history("start", name=settings.name, life=self._incarnation, address=self.address)
        if settings.agree is not None:
            self._store, persistent = open_voter_store(settings, self._log)
            self.agreement = coordinator_for(
                settings,
                persistent,
                LocalPlacer(settings.name, self._incarnation, settings.region, self.machine_zones),
                Subsystems(
                    replicated_subsystems(settings, self.maintenance_scheduler, self.counts),
                    (self.lease, self.regions, self.maintenance_member),
                ),
            )
            self.agreement.quotas.in_use, self.agreement.quotas.demand = (
                self.quotas_in_use,
                self.quota_demand,
            )
        try:
            with Nursery(self._hub) as nursery:
                self._nursery = nursery
                self.perform("members", self.membership.start(self._hub.now_us()))
                if self.agreement is not None:
                    self.perform("rules", self.agreement.start(self._hub.now_us()))
                while True:
                    self._hub.sleep(3_600_000_000)
        finally:
            self._nursery = None
            for timer in self._timers.values():
                timer.cancel()
            self._outbox.close()
            if self._store is not None:
                self._store.close()
            self.history("end")
            self.history.close()

    def leave(self) -> None:
        """Announce to a few other placers that this one leaves; waits `LEAVE_TIMEOUT_US` at most."""
        if self._nursery is not None:
            self.perform("members", self.membership.leave(self._hub.now_us()))
            with self._hub.limit(LEAVE_TIMEOUT_US):
                while self._outbox.busy:
                    self._hub.sleep(5_000)

    @property
    def members(self) -> dict[str, Member]:
        """All other known placers by name."""
        return self.membership.table.members

    def request_quotas_soon(self) -> None:
        """Request quota allocations soon, as tasks wait for them."""
        if self.agreement is not None:
            self.perform("rules", self.agreement.request_soon(self._hub.now_us()))

    def targets(self, names: Iterable[str]) -> list[ForwardTarget]:
        """The live placers among `names`, each with its known incarnation."""
        incarnations = {
            each.update.ident: each.update.life for each in self.membership.table.live_members()
        }
        return [ForwardTarget(name, incarnations[name]) for name in names if name in incarnations]

    # -- messages

    def receive(self, raw: bytes) -> bytes:
        """Handle an envelope and return the encoded response; raises MessageError if the envelope is invalid."""
        if self._nursery is None:
            raise MessageError("this placer takes part in nothing yet")
        envelope = decode_envelope(raw, self._settings.cluster)
        outer_response = self._response
        messages: list[bytes] = []
        self._response = envelope.sender, messages
        try:
            self._dispatch(envelope)
        finally:
            self._response = outer_response
        return self._encode(messages)

    def _on_response(self, raw: bytes) -> None:
        envelope = decode_envelope(raw, self._settings.cluster)
        self._dispatch(envelope)

    def _dispatch(self, envelope: Envelope) -> None:
        if envelope.unknown_kinds:
            self.counts["peers:letters of unknown kinds"] += envelope.unknown_kinds
        for message in envelope.messages:
            now = self._hub.now_us()
            name = self._kinds.get(type(message), "")
            if name:
                state_machine = self._hosted[name]
                self.perform(
                    name, state_machine.on_message(now, envelope.sender, envelope.address, message)
                )
            elif isinstance(message, SESSION_MESSAGES):
                self.counts["peers:letters about custody, which is not kept here"] += 1
            elif isinstance(message, membership_messages.SwimMessage):
                self.perform(
                    "members",
                    self.membership.on_message(now, envelope.sender, envelope.address, message),
                )
            elif self.agreement is not None:
                self.perform(
                    "rules",
                    self.agreement.on_message(now, envelope.sender, envelope.address, message),
                )
                self.perform("rules", self.lease.check_expiry(now))
            else:
                self.counts["peers:letters about rules, which are not agreed on here"] += 1

    def _encode(self, messages: list[bytes]) -> bytes:
        return encode_envelope(self._settings.cluster, self._settings.name, self.address, messages)

    # -- effects

    def perform(self, name: str, effects: Iterable[Effect]) -> None:
        """Apply the effects of the state machine `name` in order; call only from a task of this placer."""
        for effect in effects:
            if isinstance(effect, Send):
                self._send(effect)
            elif isinstance(effect, SetTimer):
                self._set_timer(name, effect)
            elif isinstance(effect, Notify):
                self._handle_notify(name, effect)
            elif not self._persist(effect):
                return  # Danger: later effects would announce state that is not on disk

    def _send(self, send: Send) -> None:
        message = encode_message(send.message)
        if self._response is not None and send.ident == self._response[0]:
            self._response[1].append(message)
            return
        address = self._routes.get(send.ident) or send.address or self.address_of(send.ident)
        host, _, port = address.rpartition(":")
        if not port.isdecimal() or not 0 < int(port) < 65536 or not self._is_allowed(host, address):
            self.counts["peers:addresses refused"] += 1
            return
        self._outbox.send(host, int(port), message)

    def _is_allowed(self, host: str, address: str) -> bool:
        """Danger: an address from gossip could direct this placer to any host; it must be allowed by the settings."""
        if any(str(peer) == address for peer in self._settings.peers):
            return True
        try:
            return IPAddress(host) in self._settings.peers_allowed
        except (AddrFormatError, ValueError):
            return False

    def _set_timer(self, name: str, timer: SetTimer) -> None:
        key = name, timer.key
        previous = self._timers.pop(key, None)
        if previous is not None:
            previous.cancel()

        def on_due() -> None:
            self._timers.pop(key, None)
            self._spawn(lambda: self._on_timer(name, timer.key), "peers' timer")

        self._timers[key] = self._hub.call_at(timer.at_us, on_due)

    def _on_timer(self, name: str, key: str) -> None:
        now = self._hub.now_us()
        if name == "members":
            self.perform(name, self.membership.on_timer(now, key))
        elif name in self._hosted:
            self.perform(name, self._hosted[name].on_timer(now, key))
        elif self.agreement is not None:
            self.perform(name, self.agreement.on_timer(now, key))
            self.perform(name, self.lease.check_expiry(now))

    def _handle_notify(self, name: str, notify: Notify) -> None:
        if name == "members":
            self.counts["peers:" + notify.event] += 1
            self.history("member-" + notify.event, **notify.fields)
            self._log(
                "member-" + notify.event,
                level=EVENT_LOG_LEVELS.get(notify.event, "info"),
                **notify.fields,
            )
            return
        self.history(notify.event, **notify.fields)
        if name in self._hosted:
            return
        if notify.event == "rules":
            self.on_rules(str(notify.fields["label"]), str(notify.fields["rules"]))
        elif notify.event == "session":
            self.on_session(
                parse_session(notify.fields["session"]),
                bool(notify.fields["open"]),
                int(notify.fields["epoch"]),
            )
        elif notify.event == "session-ended":
            self.on_session_ended(self.lease.ended[parse_session(notify.fields["session"])])
        elif notify.event == "rights":
            self.on_quotas_changed()
        elif notify.event == "verdicts":
            self.on_ejections_changed(frozenset(notify.fields["machines"]))
        elif notify.event == "turn":
            self.on_slots_changed()
            self._log("turn", **notify.fields)
        else:
            self._log("rules-" + notify.event, **notify.fields)
        if notify.event == "leads":
            self._spawn(self._propose_initial_rules, "founds")

    # -- rules

    def _persist(self, update: Persist) -> bool:
        if self._store is None:
            return False
        try:
            self._store.persist(update)
            return True
        except StoreError as error:
            self.counts["rules:store failed"] += 1
            self._log("voter-store-failed", level="error", why=str(error))
            if self.agreement is not None and self.agreement.raft is not None:
                self.agreement.raft.on_storage_failure()  # this placer's own leases continue
            self._store.close()
            self._store = None
            return False

    def _propose_initial_rules(self) -> None:
        """As the first leader, propose the rule set of the own settings, if none has been accepted yet."""
        agreement = self.agreement
        if agreement is not None and agreement.is_leader and not agreement.rule_set_state.version:
            try:
                text = requested_rule_set(self._settings).text()
            except SettingsError as error:
                self._log("initial-rules-invalid", level="error", why=str(error)[:500])
                return
            self.propose(
                "propose",
                ProposalEntry(
                    ident=INITIAL_PROPOSAL_IDENT,
                    base=0,
                    rules=text,
                    by=self._settings.name,
                    why="the settings of the first leader",
                ).to_entry(),
            )

    def propose(self, kind: str, value: dict[str, Any]) -> None:
        """At the leader: propose an entry of the replicated log; without voters in the settings, do nothing."""
        if self.agreement is not None:
            self.perform("rules", self.agreement.propose(self._hub.now_us(), kind, value))

    def change_voters(self, names: tuple[str, ...]) -> bool:
        """At the leader: add or remove one voter; False if the change is not possible now."""
        if self.agreement is None:
            return False
        is_possible, effects = self.agreement.change_voters(self._hub.now_us(), names)
        self.perform("rules", effects)
        return is_possible

    def address_of(self, ident: str) -> str:
        """The address that another placer announced; "" if the placer is unknown."""
        member = self.members.get(ident)
        return member.update.address if member is not None else ""

    def _spawn(self, call: Callable[[], None], name: str) -> None:
        if self._nursery is not None and not self._nursery.scope.cancelled:
            self._nursery.spawn(call, name)
