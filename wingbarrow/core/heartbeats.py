"""Heartbeats between instances: a POST to each configured peer, the table of members kept by what comes back."""

from __future__ import annotations

from collections.abc import Callable

from wingbarrow.config.settings import PeerAddress, PlacerSettings
from wingbarrow.core.handover import BadPage, read_instance, write_instance
from wingbarrow.decide.learning import Announcement
from wingbarrow.decide.membership import Hearing, Members
from wingbarrow.http.client import CallFailed, Pool, PoolLimits
from wingbarrow.http.message import Limits
from wingbarrow.transport import Hub, Nursery

EVERY_US = 1_000_000
CALL_US = 800_000
PATH = "/apis/wingbarrow.io/v1/heartbeats"


class Heartbeats:
    """Sends and takes heartbeats; the table informs, no rule rests on it."""

    def __init__(self, hub: Hub, settings: PlacerSettings, incarnation: int, announce: Callable[[], Announcement],
                 log: Callable[..., None]) -> None:
        self._hub = hub
        self._settings = settings
        self._announce = announce
        self._log = log
        self.address = ""  # this instance's front, once it listens
        self.members = Members(settings.name, incarnation)
        self._pools = {peer: Pool(hub, peer.host, peer.port, PoolLimits(
            connections=1, connect_us=CALL_US, message=Limits(body=65_536)), f"wingbarrow/{settings.name}")
            for peer in settings.peers}

    def run(self) -> None:
        """Beat for ever."""
        if not self._settings.peers:
            return
        while True:
            with self._hub.limit(CALL_US), Nursery(self._hub) as nursery:
                for peer, pool in self._pools.items():
                    nursery.spawn(lambda peer=peer, pool=pool: self._beat(peer, pool), "heartbeat")  # type: ignore[misc]
            for member in self.members.sweep(self._hub.now_us()):
                self._log("member-" + member.standing.value, member=member.ident, incarnation=member.incarnation)
            self._hub.sleep(EVERY_US)

    def _beat(self, peer: PeerAddress, pool: Pool) -> None:
        begun = self._hub.now_us()
        try:
            response = pool.request("POST", PATH, self.message(), [("Content-Type", "application/json")],
                                    begun + CALL_US)
            if response.status == 200:
                self.hear(response.body, str(peer))
        except (CallFailed, BadPage):
            return  # silence is what the table is for

    def message(self) -> bytes:
        """What this instance says of itself."""
        return write_instance(self._announce(), self.address)

    def hear(self, raw: bytes, sender: str) -> Hearing:
        """Take in a heartbeat or the answer to one; BadPage where it cannot be read."""
        told, address = read_instance(raw, sender, 0)
        if told.cluster != self._settings.cluster:
            raise BadPage(f"another cluster: {told.cluster[:80]}")
        heard = self.members.hear(told.ident, told.incarnation, told.region, address, self._hub.now_us())
        if heard in (Hearing.NEW, Hearing.RESTARTED, Hearing.TWIN, Hearing.FULL):
            level = "info" if heard in (Hearing.NEW, Hearing.RESTARTED) else "error"
            self._log("member-" + heard.name.lower(), level=level, member=told.ident, incarnation=told.incarnation)
        return heard
