"""Simulated machines that hold leases, and simulated voters that end sessions, for simulations of replication.

All times are true time of the virtual clock, in microseconds, without drift. A machine stops tasks whose lease was not
renewed, refuses starts that are fenced or whose lease has expired, and remembers which Jobs it ran since its last
start. The voters are modelled as one list: a placer that reaches a majority learns all decisions with its next grant.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from wingbarrow.decide.sessions.messages import HeldRecords
from wingbarrow.decide.sessions.session import EndedSession, Session


@dataclass(frozen=True, slots=True)
class TaskStart:
    """One start of a task at a machine."""

    at_us: int
    uid: str
    index: int
    epoch: int
    session: Session
    region: str
    machine: str


@dataclass(slots=True)
class RunningTask:
    """A task that runs at a machine, and the time until which its lease is valid there."""

    start: TaskStart
    lease_until_us: int


@dataclass(slots=True)
class SimulatedMachine:
    """A machine that enforces leases and fencing epochs."""

    name: str
    region: str
    boot_us: int = 0
    up: bool = True
    runs: dict[tuple[str, int], RunningTask] = field(default_factory=dict)
    started_uids: set[str] = field(default_factory=set)
    min_epochs: dict[str, int] = field(default_factory=dict)
    next_expiry_us: int = 0  # no lease expires before

    def stop_expired(self, now_us: int) -> None:
        """Remove the tasks whose lease has expired."""
        if now_us < self.next_expiry_us:
            return
        for key in [key for key, run in self.runs.items() if run.lease_until_us <= now_us]:
            del self.runs[key]
        self.next_expiry_us = min(
            (run.lease_until_us for run in self.runs.values()), default=now_us
        )

    def start_task(self, now_us: int, start: TaskStart, lease_until_us: int) -> str:
        """Start a task; return "" or the reason of the refusal, `Fenced` or `LeaseLapsed`."""
        self.stop_expired(now_us)
        if start.epoch < self.min_epochs.get(start.uid, 0):
            return "Fenced"
        if lease_until_us <= now_us:
            return "LeaseLapsed"
        if (start.uid, start.index) not in self.runs:
            self.runs[start.uid, start.index] = RunningTask(start, lease_until_us)
            self.next_expiry_us = min(self.next_expiry_us, lease_until_us)
            self.started_uids.add(start.uid)
        return ""

    def renew(self, now_us: int, session: Session, lease_until_us: int) -> None:
        """Extend the leases of all tasks of a session."""
        self.stop_expired(now_us)
        for run in self.runs.values():
            if run.start.session == session:
                run.lease_until_us = max(run.lease_until_us, lease_until_us)

    def fence(self, now_us: int, uid: str, epoch: int) -> bool:
        """Refuse a Job's earlier epochs from now on; return whether the machine ran any of it since its last start."""
        self.stop_expired(now_us)
        self.min_epochs[uid] = max(epoch, self.min_epochs.get(uid, 0))
        return uid in self.started_uids

    def restart(self, now_us: int) -> None:
        """Restart: tasks, fencing epochs and the memory of what ran are lost."""
        self.boot_us, self.up = now_us, True
        self.runs.clear()
        self.started_uids.clear()
        self.min_epochs.clear()


@dataclass(slots=True)
class OpenSession:
    """An open session as the voters know it."""

    renewed_us: int
    leased: int = 0
    held_records: tuple[HeldRecords, ...] = ()


class SessionVoters:
    """Open sessions, ended sessions in their order, and the successors of each."""

    def __init__(self, voter_lease_us: int, reissue_after_us: int) -> None:
        self.voter_lease_us, self.reissue_after_us = voter_lease_us, reissue_after_us
        self.open: dict[Session, OpenSession] = {}
        self.ended: dict[Session, EndedSession] = {}
        self.changes: list[Session] = []  # the session of each change to an ended session, in order
        self.unclaimed: dict[Session, int] = {}
        # By ended session and successor: the successor's session when it was named.
        self._successor_sessions: dict[tuple[Session, str], Session] = {}

    def renew_session(
        self,
        now_us: int,
        session: Session,
        leased: int,
        held_records: tuple[HeldRecords, ...],
        seen_changes: int,
    ) -> tuple[Session, list[EndedSession], int]:
        """Renew a session, or open a new one if it has ended.

        Returns the open session, the ended sessions that changed after the first `seen_changes` changes, by epoch, and
        the number of changes so far.
        """
        if session in self.ended:
            # Danger: the placer sent its held records before it knew of the end. It may be named as a successor only
            # after it asks under its new session.
            session, held_records = replace(session, serial=session.serial + 1), ()
        self.open[session] = OpenSession(now_us, leased, held_records)
        self.decide(now_us)
        changed = list(dict.fromkeys(self.changes[seen_changes:]))
        return (
            session,
            sorted((self.ended[each] for each in changed), key=lambda each: each.epoch),
            len(self.changes),
        )

    def decide(self, now_us: int) -> None:
        """End sessions that were not renewed in time, and name the holders of their records as successors."""
        for session, held in list(self.open.items()):
            end_us = held.renewed_us + max(self.voter_lease_us, self.reissue_after_us)
            if now_us > end_us:
                del self.open[session]
                self.ended[session] = EndedSession(len(self.ended) + 1, session, "")
                self.changes.append(session)
                self.unclaimed[session] = held.leased
                for other, end in list(self.ended.items()):
                    if (
                        self._successor_sessions.get((other, session.placer), session)
                        <= session
                        != other
                        and (other, session.placer) in self._successor_sessions
                        and session.placer not in end.gone
                    ):
                        self.ended[other] = replace(end, gone=(*end.gone, session.placer))
                        self.changes.append(other)
        for session, end in self.ended.items():
            batched = {name for batch in end.batches for name in batch}
            candidates = {
                each.placer: each
                for each, held in self.open.items()
                if each.placer not in batched
                and any(records.session == session for records in held.held_records)
            }
            if candidates:
                self.ended[session] = replace(
                    end, batches=(*end.batches, tuple(sorted(candidates)))
                )
                self._successor_sessions |= {
                    (session, name): successor for name, successor in candidates.items()
                }
                self.changes.append(session)
