"""What machines tell of this placer's tasks: lists when a watch begins, then news, each to the room it concerns."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from wingbarrow import interface as api
from wingbarrow.core.attempts import Attempt, Attempts, Stage
from wingbarrow.core.base import Base
from wingbarrow.core.host import Host
from wingbarrow.core.link import MachineLink
from wingbarrow.core.offers import Offers
from wingbarrow.core.orphans import Orphans
from wingbarrow.core.pods import Phase, PodStatus, read_pod
from wingbarrow.core.runs import Runs
from wingbarrow.decide import retries as again

_USES = {
    "cores": api.NoteKind.CORES_USED,
    "memory": api.NoteKind.MEMORY_USED,
    "served": api.NoteKind.SERVED,
    "machine": api.NoteKind.MACHINE_MEMORY,
}


class Observations:
    """`told` is called with a machine's name once it has listed what it runs."""

    def __init__(
        self,
        base: Base,
        host: Host,
        attempts: Attempts,
        offers: Offers,
        runs: Runs,
        strays: Orphans,
    ) -> None:
        self._base, self._host, self._attempts = base, host, attempts
        self._offers, self._runs, self._orphans = offers, runs, strays
        self.on_listed: Callable[[str], None] = lambda name: None
        self.last_usage_us: int | None = None  # when a task last told of its use

    def follow(self, link: MachineLink) -> None:
        """List and watch one machine for as long as it is reached."""

        def listed(pods: list[dict[str, Any]], asked_us: int) -> None:
            seen = set()
            for value in pods:
                sight = self._read_pod(link, value)
                if sight is not None:
                    seen.add(sight.name)
                    self._on_pod_status(link, sight)
            for attempt in self._attempts.on(link):
                if (
                    attempt.stage is Stage.PLACED
                    and attempt.key not in seen
                    and attempt.placed_us < asked_us
                ):
                    self._runs.on_lost(attempt, "the machine no longer holds it")
            self.on_listed(link.name)

        def event(kind: str, value: dict[str, Any]) -> None:
            sight = self._read_pod(link, value)
            if sight is None:
                return
            if kind == "DELETED":
                attempt = self._attempts.by_key.get(sight.name)
                if attempt is not None and attempt.stage is Stage.PLACED:
                    self._runs.on_lost(attempt, f"deleted on {link.name}")
            else:
                self._on_pod_status(link, sight)

        self._base.spawn(lambda: link.follow(listed, event, self._base.log), f"follow {link.name}")

    def _read_pod(self, link: MachineLink, value: dict[str, Any]) -> PodStatus | None:
        try:
            return read_pod(value)
        except ValueError as error:
            self._base.counts["bad_pods"] += 1
            self._base.log("bad-pod", level="warning", machine=link.name, field=str(error))
            return None

    def _on_pod_status(self, link: MachineLink, sight: PodStatus) -> None:
        attempt = self._attempts.by_key.get(sight.name)
        if attempt is None:
            self._orphans.on_pod(link, sight)
            return
        if sight.phase is Phase.PENDING and attempt.stage is Stage.SENT:
            self._host.feed(
                api.TaskNote(attempt.request, attempt.number, link.ident, api.NoteKind.ARRIVED, 0.0)
            )
        if sight.phase in (Phase.RUNNING, Phase.SUCCEEDED) and attempt.stage is Stage.SENT:
            self._base.counts["placed_by_news"] += 1
            self._offers.on_running(attempt)
            if attempt.scope is not None:
                attempt.scope.cancel()
        if attempt.stage is not Stage.PLACED:
            return
        if sight.phase is Phase.SUCCEEDED:
            self._runs.on_ended(attempt, again.RunEnd.DONE, api.Reason.UNTOLD, "ended well")
        elif sight.phase is Phase.FAILED:
            reason = sight.gave_up
            # A machine that stopped it for want of renewal says nothing against another start, by whoever may then.
            end = attempt.stopping or (
                again.RunEnd.MOVED if sight.reason == "LeaseLapsed" else again.run_end_for(reason)
            )
            self._runs.on_ended(attempt, end, reason, f"{link.name}: {sight.reason or 'failed'}")
        elif sight.use:
            self._on_usage(attempt, link, sight)

    def _on_usage(self, attempt: Attempt, link: MachineLink, sight: PodStatus) -> None:
        use = tuple(sight.use.get(key, -1.0) for key in _USES)
        if use == attempt.use:
            return
        attempt.use = use
        for kind, level in zip(_USES.values(), use, strict=True):
            if level >= 0:
                self._host.feed(
                    api.TaskNote(attempt.request, attempt.number, link.ident, kind, level)
                )
        self.last_usage_us = self._base.hub.now_us()
