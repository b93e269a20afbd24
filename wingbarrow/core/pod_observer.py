"""Reads pod lists and watch events of machines, and passes them to the component that owns the task."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from wingbarrow import interface as api
from wingbarrow.core.attempts import Attempt, Attempts, Stage
from wingbarrow.core.context import CoreContext
from wingbarrow.core.host import Host
from wingbarrow.core.machine_link import MachineLink
from wingbarrow.core.offers import Offers
from wingbarrow.core.orphans import Orphans
from wingbarrow.core.pods import PodPhase, PodStatus, node_name, read_pod
from wingbarrow.core.runs import Runs
from wingbarrow.decide import retries

_USAGE_KINDS = {
    "cores": api.NoteKind.CORES_USED,
    "memory": api.NoteKind.MEMORY_USED,
    "served": api.NoteKind.SERVED,
    "machine": api.NoteKind.MACHINE_MEMORY,
}


class PodObserver:
    """Watches the pods on machines. `on_listed` is called with a machine's name after each of its pod lists."""

    def __init__(
        self,
        context: CoreContext,
        host: Host,
        attempts: Attempts,
        offers: Offers,
        runs: Runs,
        orphans: Orphans,
    ) -> None:
        self._context = context
        self._host = host
        self._attempts = attempts
        self._offers = offers
        self._runs = runs
        self._orphans = orphans
        self.on_listed: Callable[[str], None] = lambda name: None
        self.last_usage_us: int | None = None  # when a task's resource usage was last reported

    def watch(self, link: MachineLink) -> None:
        """List and watch one machine's pods in a background task, until its link is retired."""

        def on_list(pods: list[dict[str, Any]], requested_us: int) -> None:
            seen = set()
            for value in pods:
                pod_status = self._read_pod(link, value)
                if pod_status is not None:
                    seen.add(pod_status.name)
                    self._on_pod_status(link, pod_status)
            for attempt in self._attempts.on(link):
                if (
                    attempt.stage is Stage.PLACED
                    and attempt.key not in seen
                    and attempt.placed_us < requested_us
                ):
                    self._runs.on_lost(attempt, "the machine no longer holds it")
            self.on_listed(link.name)

        def on_event(kind: str, value: dict[str, Any]) -> None:
            pod_status = self._read_pod(link, value)
            if pod_status is None:
                return
            if kind == "DELETED":
                attempt = self._attempts.by_key.get(pod_status.name)
                if attempt is not None and attempt.stage is Stage.PLACED:
                    self._runs.on_lost(attempt, f"deleted on {link.name}")
            else:
                self._on_pod_status(link, pod_status)

        self._context.spawn(
            lambda: link.watch_tasks(on_list, on_event, self._context.log), f"watch {link.name}"
        )

    def _read_pod(self, link: MachineLink, value: dict[str, Any]) -> PodStatus | None:
        """The pod as this machine reports it; None if it cannot be read, or runs on another machine."""
        actual = node_name(value)
        if actual not in ("", link.name):
            # Danger: another machine has taken this one's address, and its tasks would count as run here.
            self._context.counts["pods_of_other_machines"] += 1
            self._context.log(
                "pod-of-another-machine", level="warning", machine=link.name, actual=actual[:80]
            )
            return None
        try:
            return read_pod(value)
        except ValueError as error:
            self._context.counts["bad_pods"] += 1
            self._context.log(
                "unreadable-pod", level="warning", machine=link.name, field=str(error)
            )
            return None

    def _on_pod_status(self, link: MachineLink, pod_status: PodStatus) -> None:
        attempt = self._attempts.by_key.get(pod_status.name)
        if attempt is None:
            self._orphans.on_pod(link, pod_status)
            return
        if pod_status.phase is PodPhase.PENDING and attempt.stage is Stage.SENT:
            self._host.feed(
                api.TaskNote(attempt.request, attempt.number, link.ident, api.NoteKind.ARRIVED, 0.0)
            )
        if (
            pod_status.phase in (PodPhase.RUNNING, PodPhase.SUCCEEDED)
            and attempt.stage is Stage.SENT
        ):
            self._context.counts["placed_by_news"] += 1
            self._offers.on_running(attempt)
            if attempt.scope is not None:
                attempt.scope.cancel()
        if attempt.stage is not Stage.PLACED:
            return
        if pod_status.phase is PodPhase.SUCCEEDED:
            self._runs.on_ended(attempt, retries.RunEnd.DONE, api.Reason.UNTOLD, "ended well")
        elif pod_status.phase is PodPhase.FAILED:
            reason = pod_status.eviction_reason
            # A lapsed lease is no failure of the task: the next lease holder may start it again.
            end = attempt.stopping or (
                retries.RunEnd.MOVED
                if pod_status.reason == "LeaseLapsed"
                else retries.run_end_for(reason)
            )
            self._runs.on_ended(
                attempt, end, reason, f"{link.name}: {pod_status.reason or 'failed'}"
            )
        elif pod_status.usage:
            self._on_usage(attempt, link, pod_status)

    def _on_usage(self, attempt: Attempt, link: MachineLink, pod_status: PodStatus) -> None:
        usage = tuple(pod_status.usage.get(key, -1.0) for key in _USAGE_KINDS)
        if usage == attempt.usage:
            return
        attempt.usage = usage
        for kind, level in zip(_USAGE_KINDS.values(), usage, strict=True):
            if level >= 0:
                self._host.feed(
                    api.TaskNote(attempt.request, attempt.number, link.ident, kind, level)
                )
        self.last_usage_us = self._context.hub.now_us()
