"""One machine as the placer reaches it: its connections, offers, stops, probes, and the news of its tasks."""

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
PROBE_US = 2 * SECOND
CALL_US = 3 * SECOND
WATCH_S = 600
SILENCE_US = 30 * SECOND
STOP_CONNECTIONS = 2


class DeleteOutcome(Enum):
    """What a machine says of a task that is to be stopped."""

    STOPPED = "stopped"
    WAS_NOT_THERE = "was not there"


@dataclass(frozen=True, slots=True)
class FenceReply:
    """What a machine told when a Job was fenced: its tasks that it holds or held since its start, for how long it has
    been up by its clock, and whether it remembers all of that time."""

    holds: list[str]
    sure: bool
    up_us: int


class MachineLink:
    """Connections to one machine; `phase` and `launched_us` follow the list."""

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
        self.retired = False  # it left the list and no task of ours is left on it
        self._placer = placer
        limits = PoolLimits(connections=connections, waiting=1024, first_byte_us=3600 * SECOND)
        self._pool = Pool(hub, host, port, limits, f"wingbarrow/{placer}")
        # Stops have a way of their own: they never take a connection that an offer waits for.
        self._stop_pool = Pool(
            hub, host, port, PoolLimits(connections=STOP_CONNECTIONS), f"wingbarrow/{placer}"
        )
        self._lease_pool = Pool(hub, host, port, PoolLimits(connections=1), f"wingbarrow/{placer}")
        self._pause = Backoff(seed, 200_000, 5 * SECOND)
        self._following: CancelScope | None = None
        self.reachable = False  # the watch on its tasks runs
        self.offered_us: int | None = None  # when the first byte of an offer last went out

    def offer(
        self, namespace: str, body: Callable[[], bytes], until_us: int, may_send: Callable[[], bool]
    ) -> OfferFailure | None:
        """Offer a task; None where it runs. Every way to fail says whether the task can have started."""
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
        return read_offer_response(response)

    def delete(self, namespace: str, pod: str) -> DeleteOutcome | None:
        """Ask once that a task be stopped; None without an answer that says it is gone."""
        try:
            call(
                self._stop_pool,
                "DELETE",
                f"/api/v1/namespaces/{quote(namespace)}/pods/{quote(pod)}",
                until_us=self.hub.now_us() + CALL_US,
            )
            return DeleteOutcome.STOPPED
        except ApiError as error:
            return DeleteOutcome.WAS_NOT_THERE if error.code == 404 else None
        except CallFailed:
            return None

    def probe(self, size: tuple[float, float]) -> Report | None:
        """The machine's own figures (kubelet's /stats/summary); None without a readable answer."""
        try:
            value = call(self._pool, "GET", "/stats/summary", until_us=self.hub.now_us() + PROBE_US)
            node = value["node"]
            return Report(
                size[0] - float(node["cpu"]["usageNanoCores"]) / 1e9,
                float(node["memory"]["availableBytes"]) / 2**30,
            )
        except (CallFailed, ApiError, KeyError, TypeError, ValueError):
            return None

    # -- leases: a connection of their own, so that a renewal waits for no offer

    def clock(self) -> str:
        """The machine's clock, "BOOT:MICROSECONDS"; "" without an answer."""
        return self._lease("GET", "/leases") or ""

    def renew(self, session: str, until: str) -> str | None:
        """Have its tasks of a session run until then, by its own clock; its clock, "" without an answer.

        None where it goes by another clock by now.
        """
        return self._lease("POST", "/leases", {"session": session, "until": until})

    def _lease(self, method: str, path: str, said: dict[str, Any] | None = None) -> str | None:
        try:
            value = call(
                self._lease_pool,
                method,
                path,
                names.encode(said) if said is not None else None,
                self.hub.now_us() + CALL_US,
            )
            return str(value.get("clock", ""))
        except ApiError as error:
            return None if error.code == 409 else ""
        except CallFailed:
            return ""

    def fence(self, uid: str, epoch: int) -> FenceReply | None:
        """Have it refuse a Job's tasks of epochs before this one, from now on; None without a readable answer."""
        try:
            value = call(
                self._lease_pool,
                "POST",
                "/fence",
                names.encode({"uid": uid, "epoch": epoch}),
                self.hub.now_us() + CALL_US,
            )
            boot, _, up_us = str(value["clock"]).rpartition(":")
            return FenceReply(
                [str(each) for each in value["holds"]], bool(value.get("sure", False)), int(up_us)
            )
        except (CallFailed, ApiError, KeyError, TypeError, ValueError):
            return None

    def turn(self, number: int, shut: bool) -> str:
        """Have it refuse new work, or take it again, under a turn's number: shut, empty (and shut), or open.

        "" without a readable answer, and where it goes by a later number.
        """
        try:
            value = call(
                self._lease_pool,
                "POST",
                "/turn",
                names.encode({"number": number, "shut": shut}),
                self.hub.now_us() + CALL_US,
            )
            if value["number"] != number:
                return ""
            return (
                "open" if value["shut"] is False else "empty" if value["empty"] is True else "shut"
            )
        except (CallFailed, ApiError, KeyError, TypeError, ValueError):
            return ""

    def follow(
        self,
        listed: Callable[[list[dict[str, Any]], int], None],
        event: Callable[[str, dict[str, Any]], None],
        log: Callable[..., None],
    ) -> None:
        """List this placer's tasks on the machine, then watch them; again and again until retired.

        `listed` gets the pods and the time at which the list was asked for.
        """
        with CancelScope(self.hub) as scope:
            self._following = scope
            self._follow(listed, event, log)

    def release(self) -> None:
        """Reach the machine no more, though it is there: every connection is closed, that of the watch too."""
        self.retired, self.reachable = True, False
        if self._following is not None:
            self._following.cancel()
        self.close()

    def holds_any(self) -> bool | None:
        """Whether tasks of this placer wait or run there; None without a readable answer."""
        try:
            pods, _ = list_all(
                self._pool, "/api/v1/pods", self._selector(), 500, self.hub.now_us() + CALL_US
            )
            return any(pod["status"]["phase"] in ("Pending", "Running") for pod in pods)
        except (CallFailed, ApiError, KeyError, TypeError, ValueError):
            return None

    def _selector(self) -> str:
        return f"labelSelector={quote(f'{names.PLACER}={self._placer}')}"

    def _follow(
        self,
        listed: Callable[[list[dict[str, Any]], int], None],
        event: Callable[[str, dict[str, Any]], None],
        log: Callable[..., None],
    ) -> None:
        version = ""
        while not self.retired:
            try:
                if not version:
                    asked_us = self.hub.now_us()
                    pods, version = list_all(
                        self._pool, "/api/v1/pods", self._selector(), 500, asked_us + CALL_US
                    )
                    listed(pods, asked_us)
                    self.reachable = True
                for kind, value in self._events(version):
                    version = str(value.get("metadata", {}).get("resourceVersion") or version)
                    self.reachable = True
                    self._pause.reset()
                    if kind != "BOOKMARK":
                        event(kind, value)
            except (CallFailed, ApiError, ValueError) as error:
                self.reachable = False
                # Whatever broke it, a list of what runs is cheap and misses nothing.
                version = ""
                log("machine-watch-broke", machine=self.name, why=str(error)[:200])
                self.hub.sleep(self._pause.next_delay_us())

    def _events(self, version: str) -> Iterator[tuple[str, dict[str, Any]]]:
        target = (
            f"/api/v1/pods?watch=true&{self._selector()}&resourceVersion={version}"
            f"&allowWatchBookmarks=true&timeoutSeconds={WATCH_S}"
        )
        return watch(self._pool, target, self.hub.now_us() + CALL_US, SILENCE_US)

    def close(self) -> None:
        """Let go of the idle connections."""
        self._pool.close()
        self._stop_pool.close()
        self._lease_pool.close()
