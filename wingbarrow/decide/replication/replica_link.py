"""The link from a primary to one replica: queued changes, and one pending request, retried until the response."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from wingbarrow.decide.backoff import Backoff
from wingbarrow.decide.replication.records import (
    ReplicationLimits,
    record_size_bytes,
    with_ages_advanced,
)
from wingbarrow.decide.sessions.leased_job_record import LeasedJobRecord
from wingbarrow.decide.sessions.messages import ReplicateRequest
from wingbarrow.decide.sessions.session import Session

ReadRecord = Callable[[int, str], LeasedJobRecord]  # by time and uid


@dataclass(slots=True)
class PendingRequest:
    """A request without a response yet; the ages in its records are as of `sent_us`."""

    request: ReplicateRequest
    sent_us: int
    retry_us: int


class ReplicaLink:
    """What is queued for, pending at and assigned to one replica.

    `pending_updates` and `pending_removals` are queues of uids, in the order of sending: records to store and records
    to remove. `record_sizes` has the size in bytes, by uid, of each record that is assigned to this replica.
    `incarnation` and `serial` are those of the replica's session as last received. Retries follow an exponential
    backoff.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        random_source: random.Random,
        limits: ReplicationLimits,
        next_number: Callable[[], int],
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.serial = 0
        self.pending_updates: dict[str, None] = {}
        self.pending_removals: dict[str, None] = {}
        self.record_sizes: dict[str, int] = {}
        self.total_bytes = 0
        self.pending: PendingRequest | None = None
        self.next_request_us: int | None = None
        self.excluded_until_us = -1
        self._next_number = next_number
        self._limits = limits
        self._backoff = Backoff(random_source, limits.min_retry_us, limits.max_retry_us)

    def enqueue_update(self, now_us: int, uid: str) -> None:
        """Send a Job's record with the next request; the record is read when that request is sent."""
        self.pending_updates.pop(uid, None)
        self.pending_removals.pop(uid, None)
        self.pending_updates[uid] = None
        self._schedule_request(now_us)

    def enqueue_removal(self, now_us: int, uid: str) -> None:
        """Have the replica remove a Job's record with the next request."""
        self.pending_updates.pop(uid, None)
        self.pending_removals.pop(uid, None)
        self.pending_removals[uid] = None
        self._schedule_request(now_us)

    def _schedule_request(self, now_us: int) -> None:
        if self.next_request_us is None:
            self.next_request_us = now_us + self._limits.batch_window_us

    def assign(self, uid: str, size_bytes: int) -> None:
        """Count a Job's record against this replica's capacity."""
        self.total_bytes += size_bytes - self.record_sizes.get(uid, 0)
        self.record_sizes[uid] = size_bytes

    def unassign(self, uid: str) -> None:
        """Undo `assign`; a Job that is not assigned is ignored."""
        self.total_bytes -= self.record_sizes.pop(uid, 0)

    def has_capacity(self, size_bytes: int) -> bool:
        """Return whether one more record of this size may be assigned."""
        return (
            len(self.record_sizes) < self._limits.max_records_per_peer
            and self.total_bytes + size_bytes <= self._limits.max_bytes_per_peer
        )

    def cancel_pending(self) -> None:
        """Discard the pending request; a later response to it is ignored."""
        self.pending = None
        self._backoff.reset()

    def due_request(
        self, now_us: int, session: Session, read_record: ReadRecord
    ) -> ReplicateRequest | None:
        """Return the retry of the pending request, or the next request, if it is due; else None."""
        pending = self.pending
        if pending is not None:
            return self._retry(now_us, pending) if pending.retry_us <= now_us else None
        if self.next_request_us is None or self.next_request_us > now_us:
            return None
        self.next_request_us = None
        if not self.pending_updates and not self.pending_removals:
            return None
        return self._next_request(now_us, session, self._collect_updates(now_us, read_record))

    def _next_request(
        self, now_us: int, session: Session, records: list[LeasedJobRecord]
    ) -> ReplicateRequest:
        """Return a new pending request of these records, and of up to `max_request_records` removals."""
        removals = tuple(self.pending_removals)[: self._limits.max_request_records]
        for uid in removals:
            del self.pending_removals[uid]
        request = ReplicateRequest(
            self._next_number(), session, tuple(records), removals, self.incarnation, self.serial
        )
        self._backoff.reset()
        self.pending = PendingRequest(request, now_us, now_us + self._backoff.next_delay_us())
        return request

    def _retry(self, now_us: int, pending: PendingRequest) -> ReplicateRequest:
        """Return the pending request with its ages as of now."""
        elapsed_us = now_us - pending.sent_us
        pending.retry_us = now_us + self._backoff.next_delay_us()
        request = pending.request
        records = tuple(with_ages_advanced(each, elapsed_us) for each in request.records)
        return replace(request, records=records)

    def _collect_updates(self, now_us: int, read_record: ReadRecord) -> list[LeasedJobRecord]:
        """Take records off `pending_updates` for the next request: one, and as many more as the limits allow."""
        records: list[LeasedJobRecord] = []
        size_bytes = 0
        for uid in self.pending_updates:
            record = read_record(now_us, uid)
            size_bytes += record_size_bytes(record)
            if records and (
                len(records) >= self._limits.max_request_records
                or size_bytes > self._limits.max_request_bytes
            ):
                break
            records.append(record)
        for record in records:
            del self.pending_updates[record.uid]
        return records

    def clear(self) -> None:
        """Discard all assignments, queues and the pending request."""
        self.cancel_pending()
        self.pending_updates.clear()
        self.pending_removals.clear()
        self.record_sizes.clear()
        self.total_bytes = 0
        self.next_request_us = None

    def deadlines(self, now_us: int, response_timeout_us: int) -> list[int]:
        """Return when a retry, the response timeout or the next request of this link is due; empty if none is."""
        if self.pending is not None:
            timeout_us = self.pending.sent_us + response_timeout_us
            if self.excluded_until_us <= now_us < timeout_us:
                return [self.pending.retry_us, timeout_us]
            return [self.pending.retry_us]
        if self.next_request_us is not None and (self.pending_updates or self.pending_removals):
            return [self.next_request_us]
        return []
