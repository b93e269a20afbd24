"""Assignment of a primary's Jobs to replicas, replacement of replicas, and removal of records at former ones."""

from __future__ import annotations

from dataclasses import replace

from wingbarrow.decide.replication.replica_link import ReplicaLink
from wingbarrow.decide.replication.replica_set import ReplicaSet
from wingbarrow.decide.replication.replicated_job import ReplicatedJob
from wingbarrow.decide.sessions.messages import ReplicateRequest


class ReplicaAssignments:
    """The Jobs of one session, by uid; queues the changes of their records at the links of `replicas`."""

    def __init__(self, replicas: ReplicaSet) -> None:
        self.replicas = replicas
        self.jobs: dict[str, ReplicatedJob] = {}

    def clear(self) -> dict[str, ReplicatedJob]:
        """Discard all Jobs and all queued changes; return the Jobs."""
        jobs = self.jobs
        self.jobs = {}
        self.replicas.clear()
        return jobs

    def begin(self, now_us: int, job: ReplicatedJob) -> None:
        """Queue a new Job's record for its replicas, and for the placers that may have an older one."""
        uid = job.record.uid
        self.jobs[uid] = job
        for name in (*job.replicas, *sorted(job.former_replicas)):
            self.replicas.link(name).enqueue_update(now_us, uid)
        for name in job.replicas:
            self.replicas.links[name].assign(uid, job.size_bytes)
        if not job.replicas:
            self.replicas.defer_reassignment(now_us, uid, "")

    def enqueue_update(self, now_us: int, job: ReplicatedJob) -> None:
        """Queue a changed record for the Job's replicas."""
        for name in job.replicas:
            self.replicas.links[name].enqueue_update(now_us, job.record.uid)

    def remove(self, now_us: int, job: ReplicatedJob) -> None:
        """Queue the removal of a Job's record for all placers that may have it."""
        uid = job.record.uid
        for name in (*job.replicas, *sorted(job.former_replicas)):
            link = self.replicas.link(name)
            link.unassign(uid)
            link.enqueue_removal(now_us, uid)

    def needs_record(self, uid: str, name: str) -> bool:
        """Return whether a placer has to receive a Job's record: as its replica, or to acknowledge it once."""
        job = self.jobs.get(uid)
        return job is not None and (name in job.replicas or name in job.must_acknowledge)

    def requeue(self, now_us: int, link: ReplicaLink, request: ReplicateRequest) -> None:
        """Queue the content of a request again, as it was not stored."""
        for record in request.records:
            if self.needs_record(record.uid, link.name):
                link.enqueue_update(now_us, record.uid)
        for uid in request.gone:
            if uid not in link.pending_updates:
                link.enqueue_removal(now_us, uid)

    def release_former_replicas(self, now_us: int, job: ReplicatedJob) -> None:
        """Have former replicas remove the record, once a present one has stored the version that replaced them."""
        if any(job.has_acknowledged(name, job.reassigned_version) for name in job.replicas):
            for name in sorted(job.former_replicas):
                if name not in job.must_acknowledge:
                    self.replicas.link(name).enqueue_removal(now_us, job.record.uid)

    def exclude(self, now_us: int, link: ReplicaLink) -> None:
        """Exclude a replica, and schedule the reassignment of its Jobs: first those with pending acknowledgements."""
        self.replicas.exclude(now_us, link, lambda uid: bool(self.jobs[uid].pending))

    def reassign(self, now_us: int, uid: str, name: str) -> None:
        """Replace a replica of a Job if it is no longer usable; with "" as name, find one for a Job that has none.

        A replica that disputes the Job is sent the record again instead. If no replacement is available, the present
        replica stays the one that has to acknowledge, and the search is repeated later.
        """
        job = self.jobs.get(uid)
        if job is None:
            return
        if name in job.disputed_by:
            job.disputed_by.discard(name)
            if self.needs_record(uid, name):
                self.replicas.link(name).enqueue_update(now_us, uid)
            return
        link = self.replicas.links.get(name)
        is_current = job.has_no_replica if link is None else name in job.replicas
        if not is_current or self.replicas.is_usable(now_us, name, job.terms.allowed_regions):
            return
        terms = replace(job.terms, copies=1)
        excluded = {*job.replicas, *job.former_replicas}
        chosen = self.replicas.choose(now_us, uid, terms, job.size_bytes, excluded)
        if not chosen:
            self.replicas.defer_reassignment(now_us, uid, name)
            return
        (replacement,) = chosen
        if link is None:
            job.replicas = [replacement]
            job.has_no_replica = False
        else:
            job.replicas[job.replicas.index(name)] = replacement
            job.former_replicas.add(name)
            link.unassign(uid)
            if name not in job.must_acknowledge:
                link.pending_updates.pop(uid, None)
        self.replicas.links[replacement].assign(uid, job.size_bytes)
        self._on_reassigned(now_us, job)

    def _on_reassigned(self, now_us: int, job: ReplicatedJob) -> None:
        """Send the record, which names the new replicas, to all placers that need it."""
        uid = job.record.uid
        job.record = replace(
            job.record,
            keepers=tuple(job.replicas),
            version=job.record.version + 1,
            moves=job.record.moves + 1,
        )
        job.reassigned_version = job.record.version
        waiting = [name for name in sorted(job.former_replicas) if self.needs_record(uid, name)]
        for name in (*job.replicas, *waiting):
            self.replicas.link(name).enqueue_update(now_us, uid)

    def on_replica_session(
        self, now_us: int, link: ReplicaLink, incarnation: int, serial: int
    ) -> None:
        """Handle a replica's new session, under which it has lost this primary's records, or has them in doubt."""
        link.incarnation = incarnation
        link.serial = serial
        link.cancel_pending()
        for uid, job in self.jobs.items():
            job.acknowledged.pop(link.name, None)
            if self.needs_record(uid, link.name):
                link.enqueue_update(now_us, uid)
            elif link.name in job.former_replicas:
                job.former_replicas.discard(link.name)
                link.enqueue_removal(now_us, uid)
