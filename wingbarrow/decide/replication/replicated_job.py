"""A Job in custody as its holder knows it, and the tokens that wait for keepers' words about it."""

from __future__ import annotations

import heapq
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from wingbarrow.decide.effects import Effect, Notify
from wingbarrow.decide.sessions.leased_job_record import KnownTask, LeasedJobRecord


@dataclass(slots=True)
class Token:
    """A change that waits for its keepers; `every`: for all that may have the record."""

    number: int
    version: int
    deadline_us: int
    every: bool


@dataclass(slots=True)
class ReplicatedJob:
    """One record of this holder's: `others` may have it, or an older one, and are to forget it."""

    record: LeasedJobRecord
    born_us: int
    since_us: dict[int, int]  # of each task's phase
    allowed: tuple[str, ...]
    size: int
    chosen: list[str]
    others: set[str] = field(default_factory=set)
    heed: set[str] = field(
        default_factory=set
    )  # have to hear of this holder before they may forget
    acked: dict[str, int] = field(default_factory=dict)
    alone: bool = False  # there is no keeper
    contested: set[str] = field(
        default_factory=set
    )  # keepers that have it from another at the same epoch
    moved: int = 0  # the version at which its keepers changed last
    tokens: list[Token] = field(default_factory=list)

    def changed(self, known: KnownTask, region: str) -> LeasedJobRecord:
        """Its record with another word of a task; one that runs or is to run does so in that region."""
        tasks = [each for each in self.record.tasks if each.index != known.index]
        tasks += [known] if known.phase != "none" else []
        where = region if known.phase in ("about", "placed") else self.record.region
        return replace(
            self.record, tasks=tuple(sorted(tasks, key=lambda each: each.index)), region=where
        )

    def said(self, now_us: int) -> LeasedJobRecord:
        """Its record with the ages of now."""
        tasks = tuple(
            replace(each, age_us=now_us - self.since_us[each.index]) for each in self.record.tasks
        )
        return replace(
            self.record,
            born_age_us=now_us - self.born_us,
            tasks=tasks,
            others=tuple(sorted(self.others)),
        )


def settled(number: int, why: str = "") -> Notify:
    """A token is good, or is not, and why."""
    return Notify("kept", {"token": number, "good": not why, "why": why})


class Tokens:
    """Numbers, and deadlines in order."""

    def __init__(self) -> None:
        self._number = 0
        self._deadlines: list[tuple[int, int, str]] = []  # heap of when, token, uid

    def next(self) -> int:
        """A number that was never given."""
        self._number += 1
        return self._number

    def wait(self, job: ReplicatedJob, number: int, deadline_us: int, every: bool) -> None:
        """A token for the Job's record as it is now."""
        job.tokens.append(Token(number, job.record.version, deadline_us, every))
        heapq.heappush(self._deadlines, (deadline_us, number, job.record.uid))

    def met(self, job: ReplicatedJob) -> list[Effect]:
        """Settle those for which enough have acknowledged."""
        out: list[Effect] = []
        for token in list(job.tokens):
            has = [job.acked.get(name, -1) >= token.version for name in (*job.chosen, *job.others)]
            if all(has) if token.every else any(has) or job.alone:
                job.tokens.remove(token)
                out.append(settled(token.number))
        return out

    def fail(self, job: ReplicatedJob, why: str) -> list[Effect]:
        """None of a Job's is good."""
        out: list[Effect] = [settled(each.number, why) for each in job.tokens]
        job.tokens.clear()
        return out

    def late(self, now_us: int, jobs: Mapping[str, ReplicatedJob]) -> list[Effect]:
        """Settle those whose deadline has passed."""
        out: list[Effect] = []
        while self._deadlines and self._deadlines[0][0] <= now_us:
            _, number, uid = heapq.heappop(self._deadlines)
            job = jobs.get(uid)
            for token in (
                [each for each in job.tokens if each.number == number] if job is not None else []
            ):
                assert job is not None
                job.tokens.remove(token)
                asked = (*job.chosen, *sorted(job.others))
                silent = [name for name in asked if job.acked.get(name, -1) < token.version]
                out.append(settled(number, f"no word in time from {', '.join(silent[:4])}"))
        return out

    def due(self) -> list[int]:
        """When the next may be late."""
        return [self._deadlines[0][0]] if self._deadlines else []

    def clear(self) -> None:
        """None is open any more."""
        self._deadlines.clear()
