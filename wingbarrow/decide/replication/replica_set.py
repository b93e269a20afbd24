"""A primary's replicas: available placers, placers that are excluded as silent or full, and queued reassignments."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Mapping
from itertools import islice

from wingbarrow.decide.replication.records import (
    ReplicationLimits,
    ReplicationTerms,
    choose_replicas,
)
from wingbarrow.decide.replication.replica_link import ReplicaLink

SEARCH_INTERVAL_US = 1_000_000  # between searches for a replica where none was available


class ReplicaSet:
    """The links to placers, by name, and the queues of reassignments.

    A reassignment is a pair of a Job's uid and the name of the replica to be replaced ("" if the Job has none yet).
    """

    def __init__(self, placer_name: str, region: str, seed: int, limits: ReplicationLimits) -> None:
        self.placer_name = placer_name
        self.region = region
        self.limits = limits
        self.links: dict[str, ReplicaLink] = {}
        self.regions: dict[str, str] = {}  # by name, of the placers that are alive
        self.reassign_us: int | None = None  # when the next batch is due
        self._placers_by_region: dict[str, tuple[str, ...]] = {}
        self._random = random.Random(seed)
        self._last_number = 0
        self._urgent: dict[tuple[str, str], None] = {}  # acknowledgements are pending
        self._scheduled: dict[tuple[str, str], None] = {}
        self._deferred: dict[tuple[str, str], None] = {}  # no other replica was available

    def _next_number(self) -> int:
        """Return a request number that no link has used.

        Danger: a link that is created again must not number its requests from the start, or the replica takes them for
        old ones.
        """
        self._last_number += 1
        return self._last_number

    def link(self, name: str) -> ReplicaLink:
        """Return the link to a placer; it is created if there is none."""
        if name not in self.links:
            self.links[name] = self._new_link(name, 0)
        return self.links[name]

    def _new_link(self, name: str, incarnation: int) -> ReplicaLink:
        return ReplicaLink(name, incarnation, self._random, self.limits, self._next_number)

    def on_membership(self, alive: Mapping[str, tuple[str, int]]) -> list[ReplicaLink]:
        """Update the placers that are alive (region and incarnation, by name); return the links to all others."""
        names_by_region: dict[str, list[str]] = {}
        for name in sorted(alive.keys() - {self.placer_name}):
            names_by_region.setdefault(alive[name][0], []).append(name)
        self._placers_by_region = {
            region: tuple(names) for region, names in names_by_region.items()
        }
        self.regions = {name: region for name, (region, _) in alive.items()}
        for name, link in list(self.links.items()):
            if name not in alive and not (
                link.record_sizes or link.pending_updates or link.pending_removals or link.pending
            ):
                del self.links[name]
        for name in sorted(alive.keys() - self.links.keys() - {self.placer_name}):
            self.links[name] = self._new_link(name, alive[name][1])
        return [link for name, link in self.links.items() if name not in alive]

    def choose(
        self,
        now_us: int,
        uid: str,
        terms: ReplicationTerms,
        size_bytes: int,
        excluded: Collection[str] = (),
    ) -> tuple[str, ...]:
        """Return replicas for a Job that have capacity for `size_bytes` more; empty if there is none.

        An excluded placer that has answered since is chosen only if there is no other.
        """
        full = {name for name, link in self.links.items() if not link.has_capacity(size_bytes)}
        slow = {name for name, link in self.links.items() if link.excluded_until_us > now_us}
        silent = {name for name in slow if self.links[name].pending is not None}
        return choose_replicas(
            uid, self.region, terms, self._placers_by_region, {*full, *slow, *excluded}
        ) or choose_replicas(
            uid, self.region, terms, self._placers_by_region, {*full, *silent, *excluded}
        )

    # -- reassignment

    def exclude(self, now_us: int, link: ReplicaLink, is_urgent: Callable[[str], bool]) -> None:
        """Assign no new Job to a replica for `exclusion_us`, and schedule to reassign its Jobs, urgent ones first."""
        link.excluded_until_us = now_us + self.limits.exclusion_us
        for uid in link.record_sizes:
            self.schedule_reassignment(now_us, uid, link.name, urgent=is_urgent(uid))

    def schedule_reassignment(
        self, now_us: int, uid: str, name: str, *, urgent: bool = False
    ) -> None:
        """Replace one replica of a Job in the next batch; `urgent` reassignments come first."""
        (self._urgent if urgent else self._scheduled)[uid, name] = None
        if self.reassign_us is None:
            self.reassign_us = now_us

    def defer_reassignment(self, now_us: int, uid: str, name: str) -> None:
        """Retry a reassignment after `SEARCH_INTERVAL_US`, as no replacement is available now."""
        self._deferred[uid, name] = None
        if self.reassign_us is None:
            self.reassign_us = now_us + SEARCH_INTERVAL_US

    def due_reassignments(self, now_us: int) -> list[tuple[str, str]]:
        """Take the batch of reassignments that is due, urgent ones first; empty before it is due."""
        if self.reassign_us is None or self.reassign_us > now_us:
            return []
        if not self._urgent and not self._scheduled:
            self._scheduled = self._deferred
            self._deferred = {}
        size = self.limits.max_reassignments_per_batch
        batch = [*islice(self._urgent, size), *islice(self._scheduled, size)][:size]
        for each in batch:
            self._urgent.pop(each, None)
            self._scheduled.pop(each, None)
        if self._urgent or self._scheduled:
            self.reassign_us = now_us + self.limits.reassignment_interval_us
        elif self._deferred:
            self.reassign_us = now_us + SEARCH_INTERVAL_US
        else:
            self.reassign_us = None
        return batch

    def is_usable(self, now_us: int, name: str, allowed_regions: Collection[str]) -> bool:
        """Return whether a placer may be a replica: alive, in an allowed region, and not excluded."""
        link = self.links.get(name)
        if link is None or link.excluded_until_us > now_us:
            return False
        return self.regions.get(name) in allowed_regions

    def clear(self) -> None:
        """Discard all assignments, queued changes and reassignments."""
        self.reassign_us = None
        for queue in (self._urgent, self._scheduled, self._deferred):
            queue.clear()
        for link in self.links.values():
            link.clear()
