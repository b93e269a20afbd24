"""Stand-ins for a play of custody: machines that hold leases, and voters that end sessions; on a virtual clock.

Times are true ones. A machine stops by itself what was not renewed, refuses what is fenced or comes too late, and
remembers what ever ran there since its start. The voters are one list here: what they decide, all hear with their next
grant, as soon as they reach a majority.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from wingbarrow.decide.sessions.messages import HeldRecords
from wingbarrow.decide.sessions.session import EndedSession, Session


@dataclass(frozen=True, slots=True)
class Begin:
    """One start at a machine, as a recording has it."""

    at_us: int
    uid: str
    index: int
    epoch: int
    session: Session
    region: str
    machine: str


@dataclass(slots=True)
class Run:
    """What runs at a machine: until when its lease holds there."""

    begin: Begin
    until_us: int


@dataclass(slots=True)
class Standin:
    """One machine."""

    name: str
    region: str
    boot_us: int = 0
    up: bool = True
    runs: dict[tuple[str, int], Run] = field(default_factory=dict)
    ran: set[str] = field(default_factory=set)
    fences: dict[str, int] = field(default_factory=dict)
    first_us: int = 0  # nothing ends before

    def tidy(self, now_us: int) -> None:
        """End what was not renewed."""
        if now_us < self.first_us:
            return
        for key in [key for key, run in self.runs.items() if run.until_us <= now_us]:
            del self.runs[key]
        self.first_us = min((run.until_us for run in self.runs.values()), default=now_us)

    def take(self, now_us: int, begin: Begin, until_us: int) -> str:
        """Start a task, or say why not."""
        self.tidy(now_us)
        if begin.epoch < self.fences.get(begin.uid, 0):
            return "Fenced"
        if until_us <= now_us:
            return "LeaseLapsed"
        if (begin.uid, begin.index) not in self.runs:
            self.runs[begin.uid, begin.index] = Run(begin, until_us)
            self.first_us = min(self.first_us, until_us)
            self.ran.add(begin.uid)
        return ""

    def renew(self, now_us: int, session: Session, until_us: int) -> None:
        """All of a session's."""
        self.tidy(now_us)
        for run in self.runs.values():
            if run.begin.session == session:
                run.until_us = max(run.until_us, until_us)

    def fence(self, now_us: int, uid: str, epoch: int) -> bool:
        """Refuse a Job's earlier epochs from now on; whether any of it runs here, or ever did since the start."""
        self.tidy(now_us)
        self.fences[uid] = max(epoch, self.fences.get(uid, 0))
        return uid in self.ran

    def restart(self, now_us: int) -> None:
        """It knows nothing of before."""
        self.boot_us, self.up = now_us, True
        self.runs.clear()
        self.ran.clear()
        self.fences.clear()


@dataclass(slots=True)
class Open:
    """A session as the voters reckon with it."""

    renewed_us: int
    leased: int = 0
    kept: tuple[HeldRecords, ...] = ()


class Voters:
    """Sessions, their ends in order, who succeeds."""

    def __init__(self, reckoned_us: int, after_us: int) -> None:
        self.reckoned_us, self.after_us = reckoned_us, after_us
        self.open: dict[Session, Open] = {}
        self.ended: dict[Session, EndedSession] = {}
        self.changes: list[Session] = []  # each change of an end, in order
        self.unclaimed: dict[Session, int] = {}
        self._named: dict[
            tuple[Session, str], Session
        ] = {}  # under which session a successor was named

    def ask(
        self,
        now_us: int,
        session: Session,
        leased: int,
        kept: tuple[HeldRecords, ...],
        heard: int,
    ) -> tuple[Session, list[EndedSession], int]:
        """A grant: the session that is open from now on, the ends that were changed since, up to where."""
        if session in self.ended:
            # Danger: what it said was of before it knew; it is named as a successor only once it asks by its new one.
            session, kept = replace(session, serial=session.serial + 1), ()
        self.open[session] = Open(now_us, leased, kept)
        self.decide(now_us)
        news = list(dict.fromkeys(self.changes[heard:]))
        return (
            session,
            sorted((self.ended[each] for each in news), key=lambda each: each.epoch),
            len(self.changes),
        )

    def decide(self, now_us: int) -> None:
        """End what was not renewed for long enough, and name who succeeds."""
        for session, held in list(self.open.items()):
            lapsed = held.renewed_us + max(self.reckoned_us, self.after_us)
            if now_us > lapsed:
                del self.open[session]
                self.ended[session] = EndedSession(len(self.ended) + 1, session, "")
                self.changes.append(session)
                self.unclaimed[session] = held.leased
                for other, end in list(self.ended.items()):
                    if (
                        self._named.get((other, session.placer), session) <= session != other
                        and (other, session.placer) in self._named
                        and session.placer not in end.gone
                    ):
                        self.ended[other] = replace(end, gone=(*end.gone, session.placer))
                        self.changes.append(other)
        for session, end in self.ended.items():
            named = {name for batch in end.batches for name in batch}
            heard = {
                each.placer: each
                for each, held in self.open.items()
                if each.placer not in named and any(kept.session == session for kept in held.kept)
            }
            if heard:
                self.ended[session] = replace(end, batches=(*end.batches, tuple(sorted(heard))))
                self._named |= {(session, name): under for name, under in heard.items()}
                self.changes.append(session)
