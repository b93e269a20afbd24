"""What voters have decided about sessions: which are open, which have ended, and who succeeds. Deterministic; no I/O.

A session is opened by an entry before it is used, and never again once it has ended: `latest` knows how far each
placer's sessions have come. Each change of what is told has its own number (`epoch`), so that a placer that has heard
up to one knows exactly what it has missed, and who takes over later acts under a higher one.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field, replace
from typing import Any

from wingbarrow.decide.sessions.session import EndedSession, Session, parse_session

MAX_OPEN_SESSIONS = 1024  # sessions at a time
MAX_OPEN_SESSIONS_PER_PLACER = (
    8  # of them of one placer, the present and those whose reckoning is not over
)
MAX_LATEST_SESSIONS = 2048  # placers of which it is known how far their sessions have come
MAX_ENDED_SESSIONS = 256  # ends; those whose last change is the oldest are forgotten first
MAX_ENDED_CHARS = (
    96 * 1024
)  # of all their successors' names and sessions: a snapshot goes with one mail
MAX_SUCCESSORS_PER_BATCH = 64  # in one batch
MAX_BATCHES_PER_END = 32  # of one end


@dataclass(frozen=True, slots=True)
class OpenSession:
    """One open session. Its lease stays as it was opened with, whatever a later leader's settings say."""

    region: str
    lease_us: int


@dataclass(frozen=True, slots=True)
class LatestSession:
    """How far a placer's sessions have come, and which process of it has the latest."""

    process: int
    session: Session


@dataclass(slots=True)
class SessionLog:
    """The replicated state. `by`: for each end, by which session each successor joined."""

    epoch: int = 0
    open: dict[Session, OpenSession] = field(default_factory=dict)
    latest: dict[str, LatestSession] = field(default_factory=dict)
    ended: dict[Session, EndedSession] = field(default_factory=dict)
    joined_by: dict[Session, dict[str, Session]] = field(default_factory=dict)

    def apply(self, kind: str, value: dict[str, Any]) -> None:
        """Take one entry; ValueError, KeyError or TypeError where it cannot be read: then nothing changed."""
        session = parse_session(str(value["session"]))
        if kind == "opened":
            self._opened(
                session,
                int(value["process"]),
                OpenSession(str(value["region"]), int(value["lease_us"])),
            )
        elif kind in ("ended", "succeed"):
            successors = [parse_session(str(each)) for each in value["successors"]]
            if kind == "ended":
                self._ended(session, successors)
            elif session in self.ended:
                self._join(session, successors)

    def can_open(self, placer: str) -> bool:
        """Whether there is room for another session of a placer."""
        return (
            len(self.open) < MAX_OPEN_SESSIONS
            and self.open_count(placer) < MAX_OPEN_SESSIONS_PER_PLACER
        )

    def open_count(self, placer: str) -> int:
        """How many sessions of a placer are open."""
        return sum(each.placer == placer for each in self.open)

    def _opened(self, session: Session, process: int, terms: OpenSession) -> None:
        held = self.latest.get(session.placer)
        # Danger: an end stands for good. What is not later than the latest is open already, or has ended.
        if (
            (held is not None and session <= held.session)
            or session in self.open
            or not self.can_open(session.placer)
        ):
            return
        if terms.lease_us <= 0:
            raise ValueError("a lease of no length")
        self.open[session] = terms
        self.latest.pop(session.placer, None)  # the last to come stands last
        self.latest[session.placer] = LatestSession(process, session)
        if len(self.latest) > MAX_LATEST_SESSIONS:
            # Whoever is forgotten begins after the serial that it states itself: nothing is opened twice.
            present = {each.placer for each in self.open}
            del self.latest[next(name for name in self.latest if name not in present)]

    def _ended(self, session: Session, successors: list[Session]) -> None:
        terms = self.open.pop(session, None)
        if terms is None:
            return
        self.epoch += 1
        self.ended[session] = EndedSession(self.epoch, session, terms.region, changed=self.epoch)
        self.joined_by[session] = {}
        for other, by in self.joined_by.items():
            if by.get(session.placer) == session:
                held = self.ended[other]
                self.epoch += 1
                self.ended[other] = replace(
                    held, gone=tuple(sorted({*held.gone, session.placer})), changed=self.epoch
                )
        if successors:
            self._join(session, successors)
        self._forget()

    def _join(self, session: Session, successors: list[Session]) -> None:
        held, by = self.ended[session], self.joined_by[session]
        new = {
            each.placer: each
            for each in sorted(successors)[:MAX_SUCCESSORS_PER_BATCH]
            if each in self.open
            and each.placer != session.placer
            and by.get(each.placer) != each
            and (each.placer not in by or each.placer in held.gone)
        }
        if not new or len(held.batches) >= MAX_BATCHES_PER_END:
            return
        # One that was gone stands in the new batch alone: what fell to others meanwhile stays theirs.
        batches = [tuple(name for name in batch if name not in new) for batch in held.batches]
        self.epoch += 1
        self.ended[session] = replace(
            held,
            batches=(*(each for each in batches if each), tuple(sorted(new))),
            gone=tuple(name for name in held.gone if name not in new),
            changed=self.epoch,
        )
        by.update(new)
        self._forget()

    def _forget(self) -> None:
        chars = {
            session: sum(2 * len(name) + 40 for name in by)
            for session, by in self.joined_by.items()
        }
        total = sum(chars.values())
        while len(self.ended) > MAX_ENDED_SESSIONS or (
            total > MAX_ENDED_CHARS and len(self.ended) > 1
        ):
            oldest = min(self.ended.values(), key=lambda each: each.changed).session
            total -= chars[oldest]
            del self.ended[oldest], self.joined_by[oldest]

    # -- snapshots

    def text(self) -> str:
        """All of it."""
        return json.dumps(
            {
                "epoch": self.epoch,
                "open": [
                    [session.text(), each.region, each.lease_us]
                    for session, each in self.open.items()
                ],
                "latest": [[each.process, each.session.text()] for each in self.latest.values()],
                "ended": [
                    [
                        each.epoch,
                        each.session.text(),
                        each.region,
                        each.batches,
                        each.gone,
                        each.changed,
                        [by.text() for by in self.joined_by[each.session].values()],
                    ]
                    for each in self.ended.values()
                ],
            },
            separators=(",", ":"),
        )


def parse_session_log(text: str) -> SessionLog:
    """What `text` gave; an empty one is the state at the beginning."""
    out = SessionLog()
    if not text:
        return out
    value = json.loads(text)
    out.epoch = value["epoch"]
    out.open = {
        parse_session(name): OpenSession(region, lease) for name, region, lease in value["open"]
    }
    for process, name in value["latest"]:
        session = parse_session(name)
        out.latest[session.placer] = LatestSession(process, session)
    for epoch, name, region, batches, gone, changed, by in value["ended"]:
        session = parse_session(name)
        out.ended[session] = EndedSession(
            epoch, session, region, tuple(tuple(each) for each in batches), tuple(gone), changed
        )
        joined = [parse_session(each) for each in by]
        out.joined_by[session] = {each.placer: each for each in joined}
    return out
