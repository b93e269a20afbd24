"""One that comes back, whose session was ended: what became of its Jobs, asked of their successors before all else.

It has lost its say over all of them. Each is settled by the table of healing (`reissue.settle`): its own copy is
stopped where a successor's stands, except what must not start twice. What no successor knows of after `NOBODY_US` was
lost with its keepers, or never had any: told with `by` empty, and taken over by this placer itself, in doubt, as a
keeper that nobody has heard yet may have it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from wingbarrow.decide.effects import Effect, Notify, Send, SetTimer
from wingbarrow.decide.replication.replica import UNKNOWN_HERE
from wingbarrow.decide.sessions.leased_job_record import LeasedJobRecord
from wingbarrow.decide.sessions.messages import MAX_RESOLVE_UIDS, ResolveRequest, ResolveResponse
from wingbarrow.decide.sessions.reissue import ReissueDecision, RunCopy, resolve_copies
from wingbarrow.decide.sessions.session import EndedSession, Session

RESOLVE_RETRY_US = 1_000_000  # between asks of a successor that has not answered
SUCCESSOR_SEARCH_US = 10_000_000  # for how long successors are looked for


@dataclass(frozen=True, slots=True)
class OwnJob:
    """A Job as the one that came back has it."""

    record: LeasedJobRecord
    is_running: bool


class SessionRecovery:
    """Of one ended session of this placer; done once each successor has answered, or has gone."""

    def __init__(self, me: str, session: Session, jobs: Mapping[str, OwnJob]) -> None:
        self.me, self.session = me, session
        self.timer = f"recovery/{session.text()}"
        self.jobs = dict(jobs)
        self._asked: dict[str, set[str]] = {}  # by successor: uids that it has not told of
        self._numbers: dict[int, str] = {}
        self._number = 0
        self._epoch = 0
        self._nobody_us: int | None = None

    @property
    def is_done(self) -> bool:
        """Whether nothing is left to be told."""
        return not self.jobs

    def on_session_ended(self, now_us: int, ended: EndedSession) -> list[Effect]:
        """Its end, and who succeeds; again where there are more."""
        # One whose session ended since may be there, and know who has what it had.
        names = {name for batch in ended.batches for name in batch} - {self.me}
        self._epoch = ended.epoch
        self._nobody_us = self._nobody_us or now_us + SUCCESSOR_SEARCH_US
        for name in sorted(names - self._asked.keys()):
            self._asked[name] = set(self.jobs)
        return self.on_timer(now_us)

    def on_timer(self, now_us: int) -> list[Effect]:
        """Ask those that have not told."""
        out: list[Effect] = []
        for name, uids in sorted(self._asked.items()):
            if uids:
                self._number += 1
                self._numbers[self._number] = name
                out.append(
                    Send(
                        name,
                        "",
                        ResolveRequest(
                            self._number, self.session, tuple(sorted(uids))[:MAX_RESOLVE_UIDS]
                        ),
                    )
                )
        while len(self._numbers) > 1024:
            del self._numbers[next(iter(self._numbers))]
        if self._nobody_us is not None and now_us >= self._nobody_us:
            out += self._nobody()
        return [*out, SetTimer(self.timer, now_us + RESOLVE_RETRY_US)] if self.jobs else out

    def on_resolve_response(
        self, now_us: int, ident: str, message: ResolveResponse
    ) -> list[Effect]:
        """A successor told."""
        if self._numbers.pop(message.number, "") != ident or message.session != self.session:
            return []
        out: list[Effect] = []
        for uid, epoch, fate in message.fates:
            self._asked.get(ident, set()).discard(uid)
            own = self.jobs.get(uid)
            if own is None:
                continue
            if fate == UNKNOWN_HERE or epoch <= own.record.epoch:
                continue  # who has it at an earlier epoch, or at this, is no successor of it
            here, there = (
                RunCopy(own.record.epoch, self.me, own.is_running),
                RunCopy(epoch, ident, fate == "run"),
            )
            mine, theirs, why = resolve_copies(own.record.effect, here, there)
            out.append(
                Notify(
                    "settled",
                    {
                        "uid": uid,
                        "mine": mine.value,
                        "theirs": theirs.value,
                        "epoch": epoch,
                        "by": ident,
                        "fate": fate,
                        "why": why,
                    },
                )
            )
            self._close(uid)
        return out

    def _close(self, uid: str) -> None:
        self.jobs.pop(uid, None)
        for uids in self._asked.values():
            uids.discard(uid)

    def _nobody(self) -> list[Effect]:
        """Jobs of which no successor knows."""
        out: list[Effect] = []
        for uid, own in list(self.jobs.items()):
            mine = ReissueDecision.RUN if own.record.effect == "safe" else ReissueDecision.UNKNOWN
            out.append(
                Notify(
                    "settled",
                    {
                        "uid": uid,
                        "mine": mine.value,
                        "theirs": ReissueDecision.NOTHING.value,
                        "by": "",
                        "epoch": self._epoch,
                        "fate": UNKNOWN_HERE,
                        "why": "no successor knows of it",
                        "own": own,
                    },
                )
            )
            self._close(uid)
        return out
