"""The API between instances: announcement, knowledge of machines in pages and as a watch, messages, members.

Requests are answered only for client addresses that the settings allow. Transferred knowledge is read-only.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

from wingbarrow.config import PlacerSettings
from wingbarrow.decide.learning import MachineObservation
from wingbarrow.http.listwatch import Query
from wingbarrow.http.message import Request
from wingbarrow.http.server import Answer, ChunkWriter
from wingbarrow.kube import names
from wingbarrow.kube.status import ApiError
from wingbarrow.peers.host import Peering
from wingbarrow.peers.knowledge_pages import Snapshots, encode_changes, encode_instance
from wingbarrow.peers.message import MessageError
from wingbarrow.peers.peer_hints import PeerHints
from wingbarrow.transport import Hub

SECOND = 1_000_000
MAX_TRANSFERS = 4  # concurrent pages and watches; further clients get 429 and ask another instance
WATCH_DURATION_US = 60 * SECOND
MAX_LOGGED_ADDRESSES = 256  # refused addresses that are remembered, to log each once


class InstancesApi:
    """Routes below /apis/wingbarrow.io/v1."""

    def __init__(
        self,
        hub: Hub,
        settings: Callable[[], PlacerSettings],
        peer_hints: PeerHints,
        peering: Peering,
        incarnation: int,
        log: Callable[..., None],
    ) -> None:
        self._hub, self._settings = hub, settings
        self._peer_hints, self._peering = peer_hints, peering
        self._log = log
        self._snapshots = Snapshots(incarnation)
        self._refused: OrderedDict[str, None] = OrderedDict()
        self.active_transfers = 0
        self.rejected_transfers = 0

    def handle(self, request: Request, parts: list[str], query: Query) -> Answer:
        """Answer one request to the path `parts` below the API's root; raises ApiError if it is refused."""
        self._check_peer(request)
        route = (request.method, *parts)
        if route == ("GET", "instance"):
            return Answer(200, encode_instance(self._peer_hints.announce(), self._peering.address))
        if route == ("POST", "peers"):
            try:
                return Answer(200, self._peering.receive(request.body))
            except MessageError as error:
                self._peering.counts["peers:bad mail"] += 1
                self._log(
                    "peer-message-rejected",
                    level="warning",
                    address=request.connection.stream.peer,
                    why=str(error),
                )
                raise ApiError(422, str(error)) from None
        if route == ("GET", "members"):
            return Answer(200, self._members())
        if route == ("GET", "knowledge"):
            return self._knowledge(query)
        raise ApiError(404, "the server could not find the requested resource", "NotFound")

    def _check_peer(self, request: Request) -> None:
        peer = request.connection.stream.peer
        if peer and peer in self._settings().peers_allowed:
            return
        if peer not in self._refused:
            self._refused[peer] = None
            if len(self._refused) > MAX_LOGGED_ADDRESSES:
                self._refused.popitem(last=False)
            self._log("peer-refused", level="warning", address=peer)
        raise ApiError(
            403, f"{peer} may not ask this instance; `allow-peer` in its settings says who may"
        )

    def _members(self) -> bytes:
        now = self._hub.now_us()
        return names.encode(
            {
                "kind": "MemberList",
                "apiVersion": "wingbarrow.io/v1",
                "items": [
                    {
                        "ident": each.update.ident,
                        "incarnation": each.update.incarnation,
                        "region": each.update.region,
                        "address": each.update.address,
                        "standing": each.status.value,
                        "sinceUs": now - each.status_since_us,
                        "restarts": each.restarts,
                        "suspectedBy": sorted(each.suspicion.confirmed_by)
                        if each.suspicion
                        else [],
                    }
                    for each in self._peering.members.values()
                ],
            }
        )

    def _knowledge(self, query: Query) -> Answer:
        if self.active_transfers >= MAX_TRANSFERS:
            self.rejected_transfers += 1
            raise ApiError(429, f"{MAX_TRANSFERS} hand-overs at once are the most", retry_after_s=1)
        if query.get("watch") is not None and query.flag("watch"):
            return Answer(200, stream=self._watch)
        self.active_transfers += 1
        try:
            page = self._snapshots.page(
                query.get("continue") or "",
                self._hub.now_us(),
                self._peer_hints.knowledge,
                self._hub.checkpoint,
            )
        except KeyError:
            raise ApiError(410, "that snapshot is past its time; begin again", "Expired") from None
        finally:
            self.active_transfers -= 1
        return Answer(200, page)

    def _watch(self, writer: ChunkWriter) -> None:
        """Write the machines that changed, once a second for `WATCH_DURATION_US`."""
        self.active_transfers += 1
        try:
            end = self._hub.now_us() + WATCH_DURATION_US
            sent_keys: dict[str, object] = {}
            first = True
            while self._hub.now_us() < end and not writer.gone:
                observations, usage = self._peer_hints.knowledge()
                now = self._hub.now_us()
                keys = {each.machine: _change_key(each, now) for each in observations}
                changed = [
                    each
                    for each in observations
                    if first or keys[each.machine] != sent_keys.get(each.machine)
                ]
                # The client has just read the pages: the first line is empty and only sets the base of later changes.
                writer.write(encode_changes([] if first else changed, usage, now))
                sent_keys, first = keys, False
                self._hub.sleep(SECOND)
        finally:
            self.active_transfers -= 1


def _change_key(observation: MachineObservation, now: int) -> object:
    """A key that changes with the version, phase, requested resources, measurement time, warm programs or rest periods.

    Ages and remaining times are left out: they differ from second to second without any change.
    """
    return (
        observation.version,
        observation.phase,
        observation.asked,
        None if observation.measured_age_us is None else now - observation.measured_age_us,
        frozenset(observation.warm_us),
        frozenset(observation.rests_us),
    )
