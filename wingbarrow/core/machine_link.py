"""A placer's connections to one machine: offers, stops, probes, leases, and the watch on its tasks."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any
from urllib.parse import quote

from wingbarrow.core.pods import OfferFailure, read_call_failure, read_offer_response
from wingbarrow.decide.backoff import Backoff
from wingbarrow.http.client import CallFailed, MaybeDone, NotSent, Pool, PoolLimits
from wingbarrow.http.watching import call, list_all, watch
from wingbarrow.interface import Phase, Report
from wingbarrow.kube import names
from wingbarrow.kube.status import ApiError
from wingbarrow.transport import CancelScope, Hub

SECOND = 1_000_000
PROBE_TIMEOUT_US = 2 * SECOND
CALL_TIMEOUT_US = 3 * SECOND  # of each call but offers and probes
WATCH_DURATION_S = 600  # requested of the machine, which ends the watch then
WATCH_SILENCE_TIMEOUT_US = 30 * SECOND  # a watch without a byte for so long has failed
STOP_CONNECTIONS = 2


class DeleteOutcome(Enum):
    """A machine's answer to the request to stop a task."""

    STOPPED = "stopped"
    NOT_FOUND = "was not there"


@dataclass(frozen=True, slots=True)
class FenceReply:
    """A machine's answer to the fencing of a Job: the pods of it that it holds or held since its start, whether it
    remembers all of the time since, and that time by its clock."""

    pods: list[str]
    is_complete: bool
    uptime_us: int


class MachineLink:
    """Connections to one machine. `phase` and `launched_us` are taken from the machine list."""

    def __init__(
        self,
        hub: Hub,
        name: str,
        host: str,
        port: int,
        placer: str,
        connections: int,
        seed: random.Random,
    ) -> None:
        self.hub = hub
        self.name = name
        self.ident = names.ident(name)
        self.host, self.port = host, port
        self.phase = Phase.RUNNING
        self.launched_us = 0
        self.retired = False  # it left the list, and runs no task of this placer
        self._placer = placer
        limits = PoolLimits(connections=connections, waiting=1024, first_byte_us=3600 * SECOND)
        self._pool = Pool(hub, host, port, limits, f"wingbarrow/{placer}")
        # Stops have connections of their own, so that they never take one that an offer waits for.
        self._stop_pool = Pool(
            hub, host, port, PoolLimits(connections=STOP_CONNECTIONS), f"wingbarrow/{placer}"
        )
        self._lease_pool = Pool(hub, host, port, PoolLimits(connections=1), f"wingbarrow/{placer}")
        self._watch_backoff = Backoff(seed, 200_000, 5 * SECOND)
        self._watch_scope: CancelScope | None = None
        self.reachable = False  # the watch on its tasks is open
        self.last_offer_us: int | None = None  # when the first byte of the latest offer was sent

    def offer(
        self, namespace: str, body: Callable[[], bytes], until_us: int, may_send: Callable[[], bool]
    ) -> OfferFailure | None:
        """Offer a task; None where it runs. Each failure says whether the task can have started."""
        try:
            response = self._pool.request(
                "POST",
                f"/api/v1/namespaces/{quote(namespace)}/pods",
                body,
                [("Content-Type", "application/json"), ("Accept", "application/json")],
                until_us,
                may_send,
            )
        except (NotSent, MaybeDone) as error:
            return read_call_failure(error)
        return read_offer_response(response, self.name)

    def delete(self, namespace: str, pod: str) -> DeleteOutcome | None:
        """Request once that a task be stopped; None without an answer that confirms that it is gone."""
        try:
            call(
                self._stop_pool,
                "DELETE",
                f"/api/v1/namespaces/{quote(namespace)}/pods/{quote(pod)}",
                until_us=self.hub.now_us() + CALL_TIMEOUT_US,
            )
            return DeleteOutcome.STOPPED
        except ApiError as error:
            return DeleteOutcome.NOT_FOUND if error.code == 404 else None
        except CallFailed:
            return None

    def probe(self, size: tuple[float, float]) -> Report | None:
        """The machine's free cores and GiB by its own statistics (kubelet's /stats/summary).

        `size` is all of its cores and GiB. None without a readable answer.
        """
        try:
            value = call(
                self._pool, "GET", "/stats/summary", until_us=self.hub.now_us() + PROBE_TIMEOUT_US
            )
            node = value["node"]
            return Report(
                size[0] - float(node["cpu"]["usageNanoCores"]) / 1e9,
                float(node["memory"]["availableBytes"]) / 2**30,
            )
        except (CallFailed, ApiError, KeyError, TypeError, ValueError):
            return None

    # -- leases: on a connection of their own, so that no renewal waits for an offer

    def read_clock(self) -> str:
        """The machine's clock, "BOOT:MICROSECONDS"; "" without an answer."""
        return self._lease("GET", "/leases") or ""

    def renew_lease(self, session: str, until: str) -> str | None:
        """Renew the lease of a session's tasks until a time of the machine's clock.

        Returns the machine's clock, "" without an answer, and None where the machine rejects the time, since it has
        restarted and has another clock.
        """
        return self._lease("POST", "/leases", {"session": session, "until": until})

    def _lease(self, method: str, path: str, body: dict[str, Any] | None = None) -> str | None:
        try:
            value = call(
                self._lease_pool,
                method,
                path,
                names.encode(body) if body is not None else None,
                self.hub.now_us() + CALL_TIMEOUT_US,
            )
            return str(value.get("clock", ""))
        except ApiError as error:
            return None if error.code == 409 else ""
        except CallFailed:
            return ""

    def fence(self, uid: str, epoch: int) -> FenceReply | None:
        """Make it refuse a Job's tasks of epochs before this one, from now on; None without a readable answer."""
        try:
            value = call(
                self._lease_pool,
                "POST",
                "/fence",
                names.encode({"uid": uid, "epoch": epoch}),
                self.hub.now_us() + CALL_TIMEOUT_US,
            )
            boot, _, uptime_us = str(value["clock"]).rpartition(":")
            return FenceReply(
                [str(each) for each in value["holds"]],
                bool(value.get("sure", False)),
                int(uptime_us),
            )
        except (CallFailed, ApiError, KeyError, TypeError, ValueError):
            return None

    def set_closed(self, number: int, closed: bool) -> str:
        """Close or open the machine for new tasks under a maintenance slot's number.

        Returns "open", "shut", or "empty" (shut, and without tasks); "" without a readable answer, and where the
        machine already has a later number.
        """
        try:
            value = call(
                self._lease_pool,
                "POST",
                "/turn",
                names.encode({"number": number, "shut": closed}),
                self.hub.now_us() + CALL_TIMEOUT_US,
            )
            if value["number"] != number:
                return ""
            return (
                "open" if value["shut"] is False else "empty" if value["empty"] is True else "shut"
            )
        except (CallFailed, ApiError, KeyError, TypeError, ValueError):
            return ""

    def watch_tasks(
        self,
        on_list: Callable[[list[dict[str, Any]], int], None],
        on_event: Callable[[str, dict[str, Any]], None],
        log: Callable[..., None],
    ) -> None:
        """List this placer's tasks on the machine, then watch them; repeat both until the link is retired.

        `on_list` is called with the pods and the time at which the list was requested, `on_event` with the type and the
        object of each watch event.
        """
        with CancelScope(self.hub) as scope:
            self._watch_scope = scope
            self._list_and_watch(on_list, on_event, log)

    def disconnect(self) -> None:
        """Retire the link to a machine that still runs: close all connections, and end the watch."""
        self.retired, self.reachable = True, False
        if self._watch_scope is not None:
            self._watch_scope.cancel()
        self.close()

    def has_tasks(self) -> bool | None:
        """Whether tasks of this placer are pending or running there; None without a readable answer."""
        try:
            pods, _ = list_all(
                self._pool,
                "/api/v1/pods",
                self._selector(),
                500,
                self.hub.now_us() + CALL_TIMEOUT_US,
            )
            return any(pod["status"]["phase"] in ("Pending", "Running") for pod in pods)
        except (CallFailed, ApiError, KeyError, TypeError, ValueError):
            return None

    def _selector(self) -> str:
        return f"labelSelector={quote(f'{names.PLACER}={self._placer}')}"

    def _list_and_watch(
        self,
        on_list: Callable[[list[dict[str, Any]], int], None],
        on_event: Callable[[str, dict[str, Any]], None],
        log: Callable[..., None],
    ) -> None:
        version = ""
        while not self.retired:
            try:
                if not version:
                    requested_us = self.hub.now_us()
                    pods, version = list_all(
                        self._pool,
                        "/api/v1/pods",
                        self._selector(),
                        500,
                        requested_us + CALL_TIMEOUT_US,
                    )
                    on_list(pods, requested_us)
                    self.reachable = True
                for kind, value in self._events(version):
                    version = str(value.get("metadata", {}).get("resourceVersion") or version)
                    self.reachable = True
                    self._watch_backoff.reset()
                    if kind != "BOOKMARK":
                        on_event(kind, value)
            except (CallFailed, ApiError, ValueError) as error:
                self.reachable = False
                # After any failure, list again: a list is cheap and misses nothing.
                version = ""
                log("machine-watch-failed", machine=self.name, why=str(error)[:200])
                self.hub.sleep(self._watch_backoff.next_delay_us())

    def _events(self, version: str) -> Iterator[tuple[str, dict[str, Any]]]:
        target = (
            f"/api/v1/pods?watch=true&{self._selector()}&resourceVersion={version}"
            f"&allowWatchBookmarks=true&timeoutSeconds={WATCH_DURATION_S}"
        )
        return watch(
            self._pool, target, self.hub.now_us() + CALL_TIMEOUT_US, WATCH_SILENCE_TIMEOUT_US
        )

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()
        self._stop_pool.close()
        self._lease_pool.close()
