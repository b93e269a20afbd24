"""A stand-in for the source of the machine list: list and watch on v1 Nodes, late or broken as told."""

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
from wingbarrow.lab.ports import PortHold
from wingbarrow.lab.record import Recorder
from wingbarrow.transport import Domain, Hub, PeerGone, Signal

SECOND = 1_000_000


class ListSource:
    """Holds Nodes; `lag_us` passes before a change shows, `down` turns every call away."""

    def __init__(
        self, hub: Hub, seed: int, record: Recorder, say: Callable[[str], None], window: int = 4096
    ) -> None:
        self.hub = hub
        self._record, self._say = record, say
        self._random = random.Random(seed)
        self.lag_us = 500_000
        self.down = False
        self.cut_share = 0.0  # of watch writes that are cut in the middle of a line
        self.domain = Domain(hub, "list-source")
        self._window = window
        self._store = Store(1000, window)
        self._nodes = self._store.collection("nodes")
        self._view = self._make_view(self._store)
        self._old: ListWatch | None = None
        self.hold = PortHold()
        self.port = self.hold.port
        self.cuts = 0

    def _make_view(self, store: Store) -> ListWatch:
        view = ListWatch(self.hub, store, store.collection("nodes"), "Node", "v1", 1024)
        view.on_write = self._told
        view.before_write = self._maybe_cut
        return view

    def start(self) -> None:
        """Listen; again on the same port after a kill."""
        ready = Signal(self.hub)

        def begin() -> None:
            server = Server(
                self.hub,
                "127.0.0.1",
                self.port,
                self._handle,
                self._say,
                ServerLimits(connections=1024),
            )
            self.port = server.port
            self.hub.spawn(server.serve, "list-source serves")
            ready.notify()

        self.domain = Domain(self.hub, "list-source")
        self.hub.spawn(begin, "list-source", self.domain)
        ready.wait()

    def show(self, name: str, value: dict[str, Any] | None) -> None:
        """A machine changed (None: it is gone); shown after the lag, in order."""

        def apply() -> None:
            if value is None:
                self._nodes.delete(name)
                return
            held = self._nodes.objects.get(name)
            if held is None or _plain(held.value) != _plain(value):
                self._nodes.put(name, value)

        if self.lag_us:
            self.hub._at(self.hub.now_us() + self.lag_us, apply, None)
        else:
            apply()

    def set_down(self, down: bool) -> None:
        """Out of reach: every connection is reset and none is taken."""
        if down and not self.down:
            self.down = True
            self.domain.kill()
        elif not down and self.down:
            self.down = False
            self.start()

    def keep_old(self) -> Callable[[bool], None]:
        """Take a picture of the list; the call given back serves it (True) in place of the present one."""
        objects = {key: stored.value for key, stored in self._nodes.objects.items()}
        store = Store(self._store.version - len(objects) - 1, self._window)
        collection = store.collection("nodes")
        for key, value in objects.items():
            collection.put(key, {**value, "metadata": dict(value["metadata"])})
        view = self._make_view(store)

        def use(old: bool) -> None:
            self._old = view if old else None
            self.domain.kill()
            self.start()

        return use

    def _handle(self, request: Request) -> Answer:
        path, _, query = request.target.partition("?")
        try:
            if path == "/api/v1/nodes" and request.method == "GET":
                agent = (request.get("user-agent") or "").rpartition("/")[2]
                answer = (self._old or self._view).list_or_watch(Query(query), "", agent)
                if answer.stream is None:
                    self._told_list(agent, answer.body)
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

    def _told_list(self, agent: str, body: bytes) -> None:
        for value in names.decode(body).get("items", []):
            self._tell(agent, "MODIFIED", value)

    def _told(self, agent: str, data: bytes) -> None:
        for line in data.splitlines():
            event = names.decode(line)
            if event["type"] in ("ADDED", "MODIFIED", "DELETED"):
                self._tell(agent, event["type"], event["object"])

    def _tell(self, agent: str, kind: str, value: dict[str, Any]) -> None:
        """Record what the bytes just written told whom of a machine."""
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


def _plain(value: dict[str, Any]) -> dict[str, Any]:
    meta = {key: part for key, part in value["metadata"].items() if key != "resourceVersion"}
    return {**value, "metadata": meta}
