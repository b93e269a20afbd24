"""Recovery of a holder that returns after its session was ended: the outcome of its Jobs, by their successors' answers.

It holds none of them any more. Each Job is resolved by the table of recovery (`reissue.resolve_copies`): the own copy
is stopped where the successor has started its own, except of what must not start twice. A Job that no successor knows
within `SUCCESSOR_SEARCH_US` was lost with its replica holders, or never had any: it is notified with `by` empty, and
reissued by this placer itself, in doubt, as a replica holder that has not answered yet may have it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from wingbarrow.decide.effects import Effect, Notify, Send, SetTimer
from wingbarrow.decide.replication.replica import UNKNOWN_HERE
from wingbarrow.decide.sessions.leased_job_record import LeasedJobRecord
from wingbarrow.decide.sessions.messages import MAX_RESOLVE_UIDS, ResolveRequest, ResolveResponse
from wingbarrow.decide.sessions.reissue import (
    ReissueDecision,
    RunCopy,
    resolve_copies,
)
from wingbarrow.decide.sessions.session import EndedSession, Session

RESOLVE_RETRY_US = 1_000_000  # between requests to a successor that has not answered
SUCCESSOR_SEARCH_US = 10_000_000
MAX_REMEMBERED_NUMBERS = 1024  # of requests


@dataclass(frozen=True, slots=True)
class OwnJob:
    """A Job as the returning holder has it."""

    record: LeasedJobRecord
    is_running: bool


class SessionRecovery:
    """Recovery from the end of one session of this placer. `jobs`: by uid, those that are not resolved yet."""

    def __init__(self, me: str, session: Session, jobs: Mapping[str, OwnJob]) -> None:
        self.me = me
        self.session = session
        self.timer = f"recovery/{session.text()}"
        self.jobs = dict(jobs)
        self._unanswered: dict[str, set[str]] = {}  # by successor, uids
        self._numbers: dict[int, str] = {}  # by request, its successor
        self._number = 0
        self._epoch = 0
        self._search_until_us: int | None = None

    @property
    def is_done(self) -> bool:
        """Whether all Jobs are resolved."""
        return not self.jobs

    def on_session_ended(self, now_us: int, ended: EndedSession) -> list[Effect]:
        """The session has ended, or has more successors."""
        # A successor whose session has ended since may be live, and know who has what it had.
        names = {name for batch in ended.batches for name in batch} - {self.me}
        self._epoch = ended.epoch
        self._search_until_us = self._search_until_us or now_us + SUCCESSOR_SEARCH_US
        for name in sorted(names - self._unanswered.keys()):
            self._unanswered[name] = set(self.jobs)
        return self.on_timer(now_us)

    def on_timer(self, now_us: int) -> list[Effect]:
        """Send requests for what is not answered; end the search for successors when its time is over."""
        effects: list[Effect] = [
            self._request(name, uids) for name, uids in sorted(self._unanswered.items()) if uids
        ]
        while len(self._numbers) > MAX_REMEMBERED_NUMBERS:
            del self._numbers[next(iter(self._numbers))]
        if self._search_until_us is not None and now_us >= self._search_until_us:
            effects += self._end_search()
        if self.jobs:
            effects.append(SetTimer(self.timer, now_us + RESOLVE_RETRY_US))
        return effects

    def _request(self, successor: str, uids: set[str]) -> Send:
        self._number += 1
        self._numbers[self._number] = successor
        requested = tuple(sorted(uids))[:MAX_RESOLVE_UIDS]
        return Send(successor, "", ResolveRequest(self._number, self.session, requested))

    def on_resolve_response(
        self, now_us: int, ident: str, message: ResolveResponse
    ) -> list[Effect]:
        """A successor answered."""
        if self._numbers.pop(message.number, "") != ident or message.session != self.session:
            return []
        effects: list[Effect] = []
        for uid, epoch, outcome in message.fates:
            self._unanswered.get(ident, set()).discard(uid)
            own = self.jobs.get(uid)
            # Whoever has it at an earlier epoch, or at this one, is no successor of it.
            if own is None or outcome == UNKNOWN_HERE or epoch <= own.record.epoch:
                continue
            resolution = resolve_copies(
                own.record.effect,
                RunCopy(own.record.epoch, self.me, own.is_running),
                RunCopy(epoch, ident, outcome == ReissueDecision.RUN.value),
            )
            fields = {
                "uid": uid,
                "mine": resolution.mine.value,
                "theirs": resolution.theirs.value,
                "epoch": epoch,
                "by": ident,
                "fate": outcome,
                "why": resolution.why,
            }
            effects.append(Notify("settled", fields))
            self._close(uid)
        return effects

    def _close(self, uid: str) -> None:
        self.jobs.pop(uid, None)
        for uids in self._unanswered.values():
            uids.discard(uid)

    def _end_search(self) -> list[Effect]:
        """Resolve the Jobs that no successor knows."""
        effects: list[Effect] = []
        for uid, own in list(self.jobs.items()):
            mine = ReissueDecision.RUN if own.record.effect == "safe" else ReissueDecision.UNKNOWN
            fields = {
                "uid": uid,
                "mine": mine.value,
                "theirs": ReissueDecision.NOTHING.value,
                "by": "",
                "epoch": self._epoch,
                "fate": UNKNOWN_HERE,
                "why": "no successor knows of it",
                "own": own,
            }
            effects.append(Notify("settled", fields))
            self._close(uid)
        return effects
