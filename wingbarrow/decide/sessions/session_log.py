"""The voters' replicated state of sessions: open and ended sessions, and successors. Deterministic; no I/O.

A session is opened by a log entry before it is used, and is not opened again after it has ended: `latest` has the
latest session of each placer. Each change that is sent to placers has the next `epoch`. So a placer that knows all
changes up to an epoch can be sent exactly those that it has missed, and a later successor has a greater fencing token.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Any, ClassVar

from wingbarrow.decide.sessions.session import EndedSession, Session, parse_session

MAX_OPEN_SESSIONS = 1024
MAX_OPEN_SESSIONS_PER_PLACER = 8  # the current one, and earlier ones whose lease has not expired
MAX_LATEST_SESSIONS = 2048  # placers whose latest session is kept
MAX_ENDED_SESSIONS = 256  # the ends that changed least recently are dropped first
MAX_ENDED_CHARS = 96 * 1024  # of all successor names: a snapshot is sent in one message
MAX_SUCCESSORS_PER_BATCH = 64
MAX_BATCHES_PER_END = 32

# -- log entries; `kind` is the kind in the log


@dataclass(frozen=True, slots=True)
class SessionOpened:
    """A session is opened. `process` is the incarnation that requested it; that of the session may be later."""

    kind: ClassVar[str] = "opened"

    session: Session
    process: int
    region: str
    lease_us: int

    def value(self) -> dict[str, Any]:
        """Return the entry's JSON object."""
        return {
            "session": self.session.text(),
            "process": self.process,
            "region": self.region,
            "lease_us": self.lease_us,
        }

    @classmethod
    def parse(cls, session: Session, value: dict[str, Any]) -> SessionOpened:
        """Read the JSON object of `value`; for errors see `parse_entry`."""
        return cls(session, int(value["process"]), str(value["region"]), int(value["lease_us"]))


@dataclass(frozen=True, slots=True)
class SessionEnded:
    """A session has ended. `successors`: sessions of its first batch of successors."""

    kind: ClassVar[str] = "ended"

    session: Session
    successors: tuple[Session, ...]

    def value(self) -> dict[str, Any]:
        """Return the entry's JSON object."""
        return _successors_value(self.session, self.successors)

    @classmethod
    def parse(cls, session: Session, value: dict[str, Any]) -> SessionEnded:
        """Read the JSON object of `value`; for errors see `parse_entry`."""
        return cls(session, _parse_successors(value))


@dataclass(frozen=True, slots=True)
class SuccessorsJoined:
    """Replica holders that were not live, or not known, when a session ended join as its successors."""

    kind: ClassVar[str] = "succeed"

    session: Session
    successors: tuple[Session, ...]

    def value(self) -> dict[str, Any]:
        """Return the entry's JSON object."""
        return _successors_value(self.session, self.successors)

    @classmethod
    def parse(cls, session: Session, value: dict[str, Any]) -> SuccessorsJoined:
        """Read the JSON object of `value`; for errors see `parse_entry`."""
        return cls(session, _parse_successors(value))


SessionEntry = SessionOpened | SessionEnded | SuccessorsJoined
ENTRY_TYPES: dict[str, type[SessionEntry]] = {
    each.kind: each for each in (SessionOpened, SessionEnded, SuccessorsJoined)
}


def _successors_value(session: Session, successors: tuple[Session, ...]) -> dict[str, Any]:
    return {"session": session.text(), "successors": [each.text() for each in successors]}


def _parse_successors(value: dict[str, Any]) -> tuple[Session, ...]:
    return tuple(parse_session(str(each)) for each in value["successors"])


def limited_successors(successors: Iterable[Session]) -> tuple[Session, ...]:
    """Return the first MAX_SUCCESSORS_PER_BATCH successors, sorted."""
    return tuple(sorted(successors)[:MAX_SUCCESSORS_PER_BATCH])


def parse_entry(kind: str, value: dict[str, Any]) -> SessionEntry | None:
    """Read an entry; return None for an unknown kind. Raises ValueError, KeyError or TypeError if it is malformed."""
    session = parse_session(str(value["session"]))
    entry_type = ENTRY_TYPES.get(kind)
    return entry_type.parse(session, value) if entry_type is not None else None


# -- state


@dataclass(frozen=True, slots=True)
class OpenSession:
    """One open session. Its lease duration is fixed when it is opened, even if a later leader has other settings."""

    region: str
    lease_us: int


@dataclass(frozen=True, slots=True)
class LatestSession:
    """A placer's latest session, and the incarnation of the process that requested it."""

    process: int
    session: Session


@dataclass(slots=True)
class SessionLog:
    """The replicated state. `joined_by`: for each ended session, by successor, the session under which it joined."""

    epoch: int = 0
    open: dict[Session, OpenSession] = field(default_factory=dict)
    latest: dict[str, LatestSession] = field(default_factory=dict)
    ended: dict[Session, EndedSession] = field(default_factory=dict)
    joined_by: dict[Session, dict[str, Session]] = field(default_factory=dict)

    def apply(self, kind: str, value: dict[str, Any]) -> None:
        """Apply one entry. Raises ValueError, KeyError or TypeError, without any change, if it is malformed."""
        match parse_entry(kind, value):
            case SessionOpened() as entry:
                self._open(entry)
            case SessionEnded(session, successors):
                self._end(session, successors)
            case SuccessorsJoined(session, successors) if session in self.ended:
                self._join(session, successors)

    def can_open(self, placer: str) -> bool:
        """Whether the limits allow another session of a placer."""
        return (
            len(self.open) < MAX_OPEN_SESSIONS
            and self.open_count(placer) < MAX_OPEN_SESSIONS_PER_PLACER
        )

    def open_count(self, placer: str) -> int:
        """Return how many sessions of a placer are open."""
        return sum(each.placer == placer for each in self.open)

    def can_join(self, session: Session, successor: Session) -> bool:
        """Whether a replica holder's session may join as successor: it is not one yet, or its earlier session ended."""
        joined = self.joined_by[session].get(successor.placer)
        if joined is None:
            return True
        return joined != successor and successor.placer in self.ended[session].gone

    def _open(self, entry: SessionOpened) -> None:
        session = entry.session
        latest = self.latest.get(session.placer)
        # Danger: an end is final. A session that is not later than the latest is already open, or has ended.
        if latest is not None and session <= latest.session:
            return
        if session in self.open or not self.can_open(session.placer):
            return
        if entry.lease_us <= 0:
            raise ValueError(f"lease_us of a session must be positive: {entry.lease_us}")
        self.open[session] = OpenSession(entry.region, entry.lease_us)
        self.latest.pop(session.placer, None)  # re-inserted, so that the newest is last in order
        self.latest[session.placer] = LatestSession(entry.process, session)
        if len(self.latest) > MAX_LATEST_SESSIONS:
            # A placer that is dropped here gets a serial after the one that it reports: no session is opened twice.
            present = {each.placer for each in self.open}
            del self.latest[next(name for name in self.latest if name not in present)]

    def _end(self, session: Session, successors: tuple[Session, ...]) -> None:
        opened = self.open.pop(session, None)
        if opened is None:
            return
        self.epoch += 1
        self.ended[session] = EndedSession(self.epoch, session, opened.region, changed=self.epoch)
        self.joined_by[session] = {}
        self._mark_gone(session)
        if successors:
            self._join(session, successors)
        self._prune_ended()

    def _mark_gone(self, session: Session) -> None:
        """Mark the placer of an ended session as gone where it joined as successor under that session."""
        for other, joined_by in self.joined_by.items():
            if joined_by.get(session.placer) == session:
                ended = self.ended[other]
                gone = tuple(sorted({*ended.gone, session.placer}))
                self.epoch += 1
                self.ended[other] = replace(ended, gone=gone, changed=self.epoch)

    def _join(self, session: Session, successors: tuple[Session, ...]) -> None:
        ended = self.ended[session]
        new = {
            each.placer: each
            for each in limited_successors(successors)
            if each in self.open and each.placer != session.placer and self.can_join(session, each)
        }
        if not new or len(ended.batches) >= MAX_BATCHES_PER_END:
            return
        # A successor that was gone moves to the new batch, so that Jobs that others have taken over since stay there.
        batches = [tuple(name for name in batch if name not in new) for batch in ended.batches]
        self.epoch += 1
        self.ended[session] = replace(
            ended,
            batches=(*(each for each in batches if each), tuple(sorted(new))),
            gone=tuple(name for name in ended.gone if name not in new),
            changed=self.epoch,
        )
        self.joined_by[session].update(new)
        self._prune_ended()

    def _prune_ended(self) -> None:
        chars = {
            session: sum(2 * len(name) + 40 for name in joined_by)
            for session, joined_by in self.joined_by.items()
        }
        total = sum(chars.values())
        while len(self.ended) > MAX_ENDED_SESSIONS or (
            total > MAX_ENDED_CHARS and len(self.ended) > 1
        ):
            oldest = min(self.ended.values(), key=lambda each: each.changed).session
            total -= chars[oldest]
            del self.ended[oldest]
            del self.joined_by[oldest]

    def text(self) -> str:
        """Return the whole state as JSON, for a snapshot."""
        state = {
            "epoch": self.epoch,
            "open": [
                [session.text(), each.region, each.lease_us] for session, each in self.open.items()
            ],
            "latest": [[each.process, each.session.text()] for each in self.latest.values()],
            "ended": [self._ended_row(each) for each in self.ended.values()],
        }
        return json.dumps(state, separators=(",", ":"))

    def _ended_row(self, ended: EndedSession) -> list[Any]:
        return [
            ended.epoch,
            ended.session.text(),
            ended.region,
            ended.batches,
            ended.gone,
            ended.changed,
            [each.text() for each in self.joined_by[ended.session].values()],
        ]


def parse_session_log(text: str) -> SessionLog:
    """Read the JSON of `SessionLog.text`; "" is the empty initial state."""
    log = SessionLog()
    if not text:
        return log
    state = json.loads(text)
    log.epoch = state["epoch"]
    for name, region, lease_us in state["open"]:
        log.open[parse_session(name)] = OpenSession(region, lease_us)
    for process, name in state["latest"]:
        session = parse_session(name)
        log.latest[session.placer] = LatestSession(process, session)
    for epoch, name, region, batches, gone, changed, joined in state["ended"]:
        session = parse_session(name)
        log.ended[session] = EndedSession(
            epoch, session, region, tuple(tuple(each) for each in batches), tuple(gone), changed
        )
        successors = [parse_session(each) for each in joined]
        log.joined_by[session] = {each.placer: each for each in successors}
    return log
