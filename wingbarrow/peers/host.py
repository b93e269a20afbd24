"""The host of what is decided among placers: mail in, effects out, timers, the log and the history told.

A state machine that it hosts is called with the time and a message or a timer's key, and returns what is to happen, in
order. What a message makes it send to the very sender goes back in the answer to that mail.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from netaddr import AddrFormatError, IPAddress

from wingbarrow.config.settings import PlacerSettings
from wingbarrow.decide.peers.effects import Effect, Send, SetTimer, Tell
from wingbarrow.decide.peers.membership import Me, Membership, Rules, Seed
from wingbarrow.decide.peers.table import Member
from wingbarrow.peers.history import History
from wingbarrow.peers.message import BadMail, read_mail, write_letter, write_mail
from wingbarrow.peers.post import Post
from wingbarrow.transport import Hub, Nursery, Timer

LEAVE_US = 300_000
LOUD = {"twin": "error", "dead": "warning", "suspected": "info"}


class Machine(Protocol):
    """A state machine among placers."""

    def on_message(self, now_us: int, ident: str, address: str, message: Any) -> list[Effect]:
        """Mail came."""

    def on_timer(self, now_us: int, key: str) -> list[Effect]:
        """A timer that it set is due."""


class Peering:
    """One placer's side of what placers say to each other; does nothing where the settings name no other placer."""

    def __init__(self, hub: Hub, settings: PlacerSettings, life: int, log: Callable[..., None],
                 rules: Rules = Rules()) -> None:  # noqa: B008 - frozen
        self._hub, self._settings, self._log = hub, settings, log
        self.counts: Counter[str] = Counter()
        self.address = ""  # this instance's front, once it listens
        self.history = History(settings.history, hub.now_us, log)
        self._routes = {peer.name: str(peer) for peer in settings.peers if peer.name}
        self._life, self._rules = life, rules
        self.on = bool(settings.peers) or settings.peers_allowed.size > 0
        self.membership = self._member()
        self._timers: dict[str, Timer] = {}
        self._nursery: Nursery | None = None
        self._post = Post(hub, f"wingbarrow/{settings.name}", self._pack, self._take, self._spawn, self.counts)
        self._reply: tuple[str, list[bytes]] | None = None  # to whom mail is being answered, and with what so far

    def _member(self) -> Membership:
        settings = self._settings
        me = Me(settings.name, self.address or "?", settings.region, self._life)
        return Membership(me, tuple(Seed(each.name, str(each)) for each in settings.peers if each.seed),
                          settings.seed * 7919 + self._life, self._rules)

    # -- the placer's side

    def run(self) -> None:
        """Take part until cancelled; others hear of an end by cancellation as far as one mail goes."""
        if not self.on:
            return
        self.membership = self._member()  # the address is known by now
        self.history("start", name=self._settings.name, life=self._life, address=self.address)
        try:
            with Nursery(self._hub) as nursery:
                self._nursery = nursery
                self._act(self.membership.start(self._hub.now_us()))
                while True:
                    self._hub.sleep(3_600_000_000)
        finally:
            self._nursery = None
            for timer in self._timers.values():
                timer.cancel()
            self._post.close()
            self.history("end")
            self.history.close()

    def leave(self) -> None:
        """Say to a few others that this placer ends by itself; returns soon, whether they heard it or not."""
        if self._nursery is not None:
            self._act(self.membership.leave(self._hub.now_us()))
            with self._hub.limit(LEAVE_US):
                while self._post.busy:
                    self._hub.sleep(5_000)

    @property
    def members(self) -> dict[str, Member]:
        """All other placers that are known, by name."""
        return self.membership.table.members

    # -- mail

    def mail(self, raw: bytes) -> bytes:
        """Take mail in and answer it; BadMail where it cannot be used."""
        if self._nursery is None:
            raise BadMail("this placer takes part in nothing yet")
        mail = read_mail(raw, self._settings.cluster)
        self._count_strange(mail.strange)
        before = self._reply
        letters: list[bytes] = []
        self._reply = mail.sender, letters
        try:
            for message in mail.messages:
                self._act(self.membership.on_message(self._hub.now_us(), mail.sender, mail.address, message))
        finally:
            self._reply = before
        return self._pack(letters)

    def _take(self, raw: bytes) -> None:
        mail = read_mail(raw, self._settings.cluster)
        self._count_strange(mail.strange)
        for message in mail.messages:
            self._act(self.membership.on_message(self._hub.now_us(), mail.sender, mail.address, message))

    def _count_strange(self, count: int) -> None:
        if count:
            self.counts["peers:letters of unknown kinds"] += count

    def _pack(self, letters: list[bytes]) -> bytes:
        return write_mail(self._settings.cluster, self._settings.name, self.address, letters)

    # -- effects

    def _act(self, effects: Iterable[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self._send(effect)
            elif isinstance(effect, SetTimer):
                self._set_timer(effect)
            elif isinstance(effect, Tell):
                self._tell(effect)

    def _send(self, send: Send) -> None:
        letter = write_letter(send.message)
        if self._reply is not None and send.ident == self._reply[0]:
            self._reply[1].append(letter)
            return
        address = self._routes.get(send.ident, send.address)
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

    def _set_timer(self, wanted: SetTimer) -> None:
        held = self._timers.pop(wanted.key, None)
        if held is not None:
            held.cancel()

        def due() -> None:
            self._timers.pop(wanted.key, None)
            self._spawn(lambda: self._act(self.membership.on_timer(self._hub.now_us(), wanted.key)), "peers' timer")
        self._timers[wanted.key] = self._hub.call_at(wanted.at_us, due)

    def _tell(self, tell: Tell) -> None:
        self.counts["peers:" + tell.what] += 1
        self.history("member-" + tell.what, **tell.fields)
        self._log("member-" + tell.what, level=LOUD.get(tell.what, "info"), **tell.fields)

    def _spawn(self, call: Callable[[], None], name: str) -> None:
        if self._nursery is not None and not self._nursery.scope.cancelled:
            self._nursery.spawn(call, name)
