"""The line from a holder to one keeper: what is to be said, one mail at a time, said again until it is answered."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from wingbarrow.decide.backoff import Backoff
from wingbarrow.decide.replication.records import ReplicationLimits, aged, size_of
from wingbarrow.decide.sessions.leased_job_record import LeasedJobRecord
from wingbarrow.decide.sessions.messages import ReplicateRequest
from wingbarrow.decide.sessions.session import Session


@dataclass(slots=True)
class PendingRequest:
    """The mail that is not answered yet; ages in it are those of `said_us`."""

    keep: ReplicateRequest
    said_us: int
    again_us: int


class ReplicaLink:
    """`dirty`: uids whose record is to go there; `gone`: those that it need not keep; `jobs`: whose keeper it is."""

    def __init__(
        self,
        name: str,
        life: int,
        seed: random.Random,
        bounds: ReplicationLimits,
        number: Callable[[], int],
    ) -> None:
        self.name, self.life, self.serial = name, life, 0
        self.dirty: dict[str, None] = {}
        self.gone: dict[str, None] = {}
        self.jobs: dict[str, int] = {}  # bytes by uid
        self.size = 0
        self.out: PendingRequest | None = None
        self.due_us: int | None = None  # when the next mail may go
        self.rest_us = -1  # not chosen before
        self._number = number
        self._bounds = bounds
        self._backoff = Backoff(seed, bounds.first_us, bounds.most_us)

    def want(self, now_us: int, uid: str, gone: bool = False) -> None:
        """Something is to be said of a Job."""
        self.dirty.pop(uid, None)
        self.gone.pop(uid, None)
        (self.gone if gone else self.dirty)[uid] = None
        if self.due_us is None:
            self.due_us = now_us + self._bounds.wait_us

    def charge(self, uid: str, size: int) -> None:
        """It keeps a Job."""
        self.size += size - self.jobs.get(uid, 0)
        self.jobs[uid] = size

    def free(self, uid: str) -> None:
        """It no longer does."""
        self.size -= self.jobs.pop(uid, 0)

    def room(self, size: int) -> bool:
        """Whether one more may be kept there."""
        return len(self.jobs) < self._bounds.records and self.size + size <= self._bounds.bytes

    def reset(self) -> None:
        """Forget what is not answered; its answer counts no more."""
        self.out = None
        self._backoff.clear()

    def mail(
        self, now_us: int, session: Session, records: list[LeasedJobRecord]
    ) -> ReplicateRequest:
        """The next mail: these records, and as many of `gone` as fit."""
        gone = tuple(self.gone)[: self._bounds.mail_records]
        for uid in gone:
            del self.gone[uid]
        keep = ReplicateRequest(
            self._number(), session, tuple(records), gone, self.life, self.serial
        )
        self._backoff.clear()
        self.out = PendingRequest(keep, now_us, now_us + self._backoff.next_us())
        return keep

    def again(self, now_us: int) -> ReplicateRequest:
        """The same mail, with the ages of now."""
        assert self.out is not None
        later = now_us - self.out.said_us
        self.out.again_us = now_us + self._backoff.next_us()
        keep = self.out.keep
        return replace(keep, records=tuple(aged(each, later) for each in keep.records))

    def take(self, make: Callable[[str], LeasedJobRecord]) -> list[LeasedJobRecord]:
        """Records of `dirty` that go with the next mail."""
        out: list[LeasedJobRecord] = []
        size = 0
        for uid in self.dirty:
            record = make(uid)
            size += size_of(record)
            if out and (len(out) >= self._bounds.mail_records or size > self._bounds.mail_bytes):
                break
            out.append(record)
        for record in out:
            del self.dirty[record.uid]
        return out

    def clear(self) -> None:
        """Nothing is kept there any more, and nothing to be said."""
        self.reset()
        self.dirty.clear()
        self.gone.clear()
        self.jobs.clear()
        self.size, self.due_us = 0, None

    def next_us(self, now_us: int, slow_us: int) -> list[int]:
        """When it wants to be called."""
        if self.out is not None:
            slow = self.out.said_us + slow_us
            return (
                [self.out.again_us, slow] if self.rest_us <= now_us < slow else [self.out.again_us]
            )
        return [self.due_us] if self.due_us is not None and (self.dirty or self.gone) else []
