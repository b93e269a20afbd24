"""A simulated list source: list and watch on v1 Nodes, with configurable lag and faults."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from wingbarrow.http.listwatch import ListWatch, Query, error_answer
from wingbarrow.http.message import Request
from wingbarrow.http.server import Answer, ChunkWriter, Server, ServerLimits
from wingbarrow.http.write import write_chunk
from wingbarrow.kube import names
from wingbarrow.kube.status import ApiError
from wingbarrow.kube.store import Store
from wingbarrow.lab.ports import PortReservation
from wingbarrow.lab.record import Recorder
from wingbarrow.transport import Domain, Hub, PeerGone, Signal

SECOND = 1_000_000


class ListSource:
    """Holds the Nodes; a change is visible after `lag_us`, and while `down` no connection is accepted."""

    def __init__(
        self, hub: Hub, seed: int, record: Recorder, log: Callable[[str], None], window: int = 4096
    ) -> None:
        self.hub = hub
        self._record, self._log = record, log
        self._random = random.Random(seed)
        self.lag_us = 500_000
        self.down = False
        self.cut_share = 0.0  # share of watch writes that are cut in the middle of a line
        self.domain = Domain(hub, "list-source")
        self._window = window
        self._store = Store(1000, window)
        self._nodes = self._store.collection("nodes")
        self._view = self._make_view(self._store)
        self._served_snapshot: ListWatch | None = None
        self.port_reservation = PortReservation()
        self.port = self.port_reservation.port
        self.cuts = 0

    def _make_view(self, store: Store) -> ListWatch:
        view = ListWatch(self.hub, store, store.collection("nodes"), "Node", "v1", 1024)
        view.on_write = self._record_lines
        view.before_write = self._maybe_cut
        return view

    def start(self) -> None:
        """Listen on the reserved port; also after its domain was killed."""
        ready = Signal(self.hub)

        def begin() -> None:
            server = Server(
                self.hub,
                "127.0.0.1",
                self.port,
                self._handle,
                self._log,
                ServerLimits(connections=1024),
            )
            self.port = server.port
            self.hub.spawn(server.serve, "list-source serves")
            ready.notify()

        self.domain = Domain(self.hub, "list-source")
        self.hub.spawn(begin, "list-source", self.domain)
        ready.wait()

    def show(self, name: str, value: dict[str, Any] | None) -> None:
        """Publish a machine's Node (None: it is removed) after the lag; changes stay in order."""

        def apply() -> None:
            if value is None:
                self._nodes.delete(name)
                return
            stored = self._nodes.objects.get(name)
            if stored is None or _without_version(stored.value) != _without_version(value):
                self._nodes.put(name, value)

        if self.lag_us:
            self.hub._at(self.hub.now_us() + self.lag_us, apply, None)
        else:
            apply()

    def set_down(self, down: bool) -> None:
        """Take the source down (connections are reset and refused) or bring it back."""
        if down and not self.down:
            self.down = True
            self.domain.kill()
        elif not down and self.down:
            self.down = False
            self.start()

    def take_snapshot(self) -> Callable[[bool], None]:
        """Take a snapshot of the list; the returned function makes the source serve it (True) or the present list."""
        objects = {key: stored.value for key, stored in self._nodes.objects.items()}
        store = Store(self._store.version - len(objects) - 1, self._window)
        collection = store.collection("nodes")
        for key, value in objects.items():
            collection.put(key, {**value, "metadata": dict(value["metadata"])})
        view = self._make_view(store)

        def serve_snapshot(old: bool) -> None:
            self._served_snapshot = view if old else None
            self.domain.kill()
            self.start()

        return serve_snapshot

    def _handle(self, request: Request) -> Answer:
        path, _, query = request.target.partition("?")
        try:
            if path == "/api/v1/nodes" and request.method == "GET":
                agent = (request.get("user-agent") or "").rpartition("/")[2]
                answer = (self._served_snapshot or self._view).list_or_watch(
                    Query(query), "", agent
                )
                if answer.stream is None:
                    self._record_list(agent, answer.body)
                return answer
            raise ApiError(404, "the server could not find the requested resource")
        except ApiError as error:
            return error_answer(error)

    def _maybe_cut(self, agent: str, writer: ChunkWriter, data: bytes) -> None:
        if self.cut_share and self._random.random() < self.cut_share:
            self.cuts += 1
            part = data[: max(1, len(data) // 2)]
            writer._connection.stream.send(write_chunk(part))
            writer._connection.stream.abort()
            raise PeerGone("cut")

    def _record_list(self, agent: str, body: bytes) -> None:
        for value in names.decode(body).get("items", []):
            self._record_notification(agent, "MODIFIED", value)

    def _record_lines(self, agent: str, data: bytes) -> None:
        for line in data.splitlines():
            event = names.decode(line)
            if event["type"] in ("ADDED", "MODIFIED", "DELETED"):
                self._record_notification(agent, event["type"], event["object"])

    def _record_notification(self, agent: str, kind: str, value: dict[str, Any]) -> None:
        """Record which phase of a machine the bytes just written report to which placer."""
        meta = value["metadata"]
        phase = (
            "gone"
            if kind == "DELETED"
            else "draining"
            if value.get("spec", {}).get("unschedulable")
            else "running"
        )
        self._record(
            "list-source",
            "told",
            placer=agent,
            machine=meta["name"],
            phase=phase,
            launched=meta.get("annotations", {}).get(names.LAUNCHED, ""),
        )


def _without_version(value: dict[str, Any]) -> dict[str, Any]:
    meta = {key: part for key, part in value["metadata"].items() if key != "resourceVersion"}
    return {**value, "metadata": meta}
