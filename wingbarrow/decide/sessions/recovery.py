"""Recovery of a holder that returns after its session was ended: its successors report the outcome of its Jobs.

The returning holder no longer holds any of these Jobs. Each Job is resolved by the recovery table
(`reissue.resolve_copies`): its own copy is stopped if the successor has started one, except for a Job that must not
start twice. A Job that no successor knows within `SUCCESSOR_SEARCH_US` was lost with its replica holders, or never had
any. It is notified with `by` empty, and this placer reissues it in phase `doubt`, because a replica holder that has not
responded yet may have it.
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

RESOLVE_RETRY_US = 1_000_000  # interval of requests to a successor that has not responded
SUCCESSOR_SEARCH_US = 10_000_000  # time to find a successor that knows a Job
MAX_REMEMBERED_NUMBERS = 1024  # outstanding requests whose responses are still accepted


@dataclass(frozen=True, slots=True)
class OwnJob:
    """A Job as the returning holder has it, and whether its own copy runs."""

    record: LeasedJobRecord
    is_running: bool


class SessionRecovery:
    """Recovery from the end of one session of this placer. `jobs`: by uid, the Jobs that are not resolved yet."""

    def __init__(self, me: str, session: Session, jobs: Mapping[str, OwnJob]) -> None:
        self.me = me
        self.session = session
        self.timer = f"recovery/{session.text()}"
        self.jobs = dict(jobs)
        self._pending_uids: dict[str, set[str]] = {}  # uids by successor
        self._successor_by_number: dict[int, str] = {}  # by request number, the successor
        self._last_number = 0
        self._epoch = 0
        self._search_until_us: int | None = None

    @property
    def is_done(self) -> bool:
        """Whether all Jobs are resolved."""
        return not self.jobs

    def on_session_ended(self, now_us: int, ended: EndedSession) -> list[Effect]:
        """Handle the end of the session, or a change of its successors."""
        # Successors whose own session has ended are included: they may be live, and know who holds their Jobs now.
        names = {name for batch in ended.batches for name in batch} - {self.me}
        self._epoch = ended.epoch
        self._search_until_us = self._search_until_us or now_us + SUCCESSOR_SEARCH_US
        for name in sorted(names - self._pending_uids.keys()):
            self._pending_uids[name] = set(self.jobs)
        return self.on_timer(now_us)

    def on_timer(self, now_us: int) -> list[Effect]:
        """Request unresolved Jobs again; end the search for successors after `SUCCESSOR_SEARCH_US`."""
        effects: list[Effect] = [
            self._request(name, uids) for name, uids in sorted(self._pending_uids.items()) if uids
        ]
        while len(self._successor_by_number) > MAX_REMEMBERED_NUMBERS:
            del self._successor_by_number[next(iter(self._successor_by_number))]
        if self._search_until_us is not None and now_us >= self._search_until_us:
            effects += self._end_search()
        if self.jobs:
            effects.append(SetTimer(self.timer, now_us + RESOLVE_RETRY_US))
        return effects

    def _request(self, successor: str, uids: set[str]) -> Send:
        self._last_number += 1
        self._successor_by_number[self._last_number] = successor
        requested = tuple(sorted(uids))[:MAX_RESOLVE_UIDS]
        return Send(successor, "", ResolveRequest(self._last_number, self.session, requested))

    def on_resolve_response(
        self, now_us: int, ident: str, message: ResolveResponse
    ) -> list[Effect]:
        """Handle a successor's response."""
        if (
            self._successor_by_number.pop(message.number, "") != ident
            or message.session != self.session
        ):
            return []
        effects: list[Effect] = []
        for uid, epoch, outcome in message.fates:
            self._pending_uids.get(ident, set()).discard(uid)
            own = self.jobs.get(uid)
            # A placer that has the Job at the same or an earlier epoch is not its successor.
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
            self._mark_resolved(uid)
        return effects

    def _mark_resolved(self, uid: str) -> None:
        self.jobs.pop(uid, None)
        for uids in self._pending_uids.values():
            uids.discard(uid)

    def _end_search(self) -> list[Effect]:
        """Resolve the Jobs that no successor knows: RUN for safe ones, UNKNOWN for the others."""
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
            self._mark_resolved(uid)
        return effects
