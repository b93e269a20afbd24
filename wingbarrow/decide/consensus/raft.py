"""One order of decisions among a few named voters: Raft (Ongaro 2014) with pre-vote and check-quorum.

A state machine without I/O. What must be on disk is asked for by a `Persist` before the sends that rest on it, in the
same list. Voters change one at a time. `confirm` tells when a majority still followed this leader after a moment:
nothing is answered by one that was deposed and does not know it. A voter without its disk is none: see `Raft.empty`.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from enum import Enum

from wingbarrow.decide.consensus.log import (
    VOTERS,
    AppendRequest,
    AppendResponse,
    Effects,
    EntriesCommitted,
    InstallSnapshot,
    LeadershipChanged,
    LeadershipConfirmed,
    LogEntry,
    Message,
    PersistentState,
    SnapshotRestored,
    VoteRequest,
    VoteResponse,
)
from wingbarrow.decide.effects import Notify, Persist, Send, SetTimer

MAX_APPEND_ENTRIES = 32  # in one Append
MAX_LOG_ENTRIES = 512  # entries kept before they are folded into a snapshot


class Role(Enum):
    """What a voter is now."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True)
class _Peer:
    """What a leader knows of another voter."""

    next: int
    match: int = 0
    round: int = 0  # the latest of this leader's rounds that it has answered
    heard_us: int = 0


class Raft:
    """One voter. `disk` is None for one that has none: it takes no part until it is taken in anew (`empty`)."""

    def __init__(
        self, me: str, disk: PersistentState | None, seed: int, election_us: int = 1_000_000
    ) -> None:
        self.name = me
        self.has_lost_state = disk is None
        self.persistent = disk or PersistentState(())
        self.role = Role.FOLLOWER
        self.leader = ""
        self.commit_index = self.persistent.snapshot_index
        self.elected_at_us = 0  # when this voter was elected last
        self._election_us, self._beat_us = election_us, election_us // 5
        self._random = random.Random(seed)
        self._applied = self.persistent.snapshot_index
        self._heard_us = -election_us  # of a leader
        self._granted: set[str] = set()
        self._pre = False
        self._yielded = False  # since it stood last: to another that stands
        self._peers: dict[str, _Peer] = {}
        self._round = 0
        self._confirms: list[tuple[int, int]] = []  # number, the round that must be answered
        self._due: dict[str, int] = {}
        self._now_us = 0

    @property
    def voters(self) -> tuple[str, ...]:
        """Who votes now."""
        return self.persistent.latest_voters()

    @property
    def is_leader(self) -> bool:
        """Whether this voter is the leader."""
        return self.role is Role.LEADER

    def start(self, now_us: int) -> Effects:
        """Begin, from what is on disk."""
        out: Effects = [
            SnapshotRestored(self.persistent.snapshot_index, self.persistent.snapshot_state)
        ]
        return [*out, *self._wait_for_leader(now_us)]

    # -- asked by the placer

    def propose(self, now_us: int, kind: str, body: str) -> tuple[int, Effects]:
        """Append a decision: its index, which is committed or lost in the end; -1 where this is not the leader."""
        self._now_us = now_us
        if not self.is_leader:
            return -1, []
        self.persistent.log.append(LogEntry(self.persistent.term, kind, body))
        if kind == VOTERS:
            self._know_peers(now_us)
        return self.persistent.last_log_index, [
            self._persist(self.persistent.last_log_index),
            *self._send_all(now_us),
            *self._advance(),
        ]

    def change_voters(self, now_us: int, voters: tuple[str, ...]) -> tuple[int, Effects]:
        """Take one in or leave one out; -1 where that is not one step, or the last one is not committed yet."""
        held = self.voters
        pending = any(
            entry.kind == VOTERS
            for entry in self.persistent.log[self.commit_index - self.persistent.snapshot_index :]
        )
        own_term = self.persistent.term_at(self.commit_index) == self.persistent.term
        if pending or not own_term or len(set(held) ^ set(voters)) != 1 or not voters:
            return -1, []
        return self.propose(now_us, VOTERS, " ".join(voters))

    def confirm_leadership(self, now_us: int, number: int) -> Effects:
        """Tell `Confirmed(number)` once a majority has answered something sent from now on."""
        if not self.is_leader:
            return []
        self._confirms.append((number, self._round + 1))
        return [*self._send_all(now_us), *self._check_confirms()]

    def compact(self, state: str) -> Effects:
        """The replicated state as of what was committed and applied: entries up to there are kept no longer."""
        disk = self.persistent
        if self._applied <= disk.snapshot_index:
            return []
        voters, term = disk.snapshot_voters, disk.term_at(self._applied)
        for entry in disk.log[: self._applied - disk.snapshot_index]:
            if entry.kind == VOTERS:
                voters = tuple(entry.body.split())
        disk.log = disk.log[self._applied - disk.snapshot_index :]
        disk.snapshot_index, disk.snapshot_term, disk.snapshot_state, disk.snapshot_voters = (
            self._applied,
            term or 0,
            state,
            voters,
        )
        return [self._persist(disk.snapshot_index)]

    @property
    def should_compact(self) -> bool:
        """Whether the log is long enough."""
        return self._applied - self.persistent.snapshot_index > MAX_LOG_ENTRIES

    # -- driven by the host

    def on_timer(self, now_us: int, key: str) -> Effects:
        """A timer is due: `election` or `beat`."""
        if self._due.pop(key, None) is None:
            return []
        if key == "beat":
            return self._beat(now_us)
        if key == "again":
            return self._ask_votes(now_us) if self.role is Role.CANDIDATE else []
        if self.is_leader or self.has_lost_state or self.name not in self.voters:
            return self._wait_for_leader(now_us)
        return self._stand(now_us, True)

    def on_message(self, now_us: int, ident: str, message: Message) -> Effects:
        """A message of another voter."""
        self._now_us = now_us
        if self.has_lost_state:
            return []  # Danger: what it once promised is lost with its disk; a second word could undo a decision
        if isinstance(message, VoteRequest):
            return self._on_vote_ask(now_us, ident, message)
        if message.term > self.persistent.term and not (
            isinstance(message, VoteResponse) and message.pre
        ):
            out = self._step_down(now_us, message.term)
        else:
            out = []
        if isinstance(message, VoteResponse):
            return [*out, *self._on_vote(now_us, ident, message)]
        if isinstance(message, AppendResponse):
            return [*out, *self._on_answer(now_us, ident, message)]
        if message.term < self.persistent.term:
            return [
                *out,
                Send(
                    ident,
                    "",
                    AppendResponse(
                        self.persistent.term, False, self.persistent.last_log_index, message.round
                    ),
                ),
            ]
        if self.role is not Role.FOLLOWER or self.leader != ident:
            out += self._follow(ident)
        self._heard_us = now_us
        out += self._wait_for_leader(now_us)
        return [
            *out,
            *(
                self._on_append(ident, message)
                if isinstance(message, AppendRequest)
                else self._on_install(ident, message)
            ),
        ]

    # -- elections

    def _wait_for_leader(self, now_us: int) -> Effects:
        wait = self._election_us + self._random.randrange(self._election_us)
        return [self._timer("election", now_us + wait)]

    def _stand(self, now_us: int, pre: bool) -> Effects:
        """Ask to be elected; first only whether one would be, so that who was cut off raises no term in vain."""
        out: Effects = []
        self._pre, self._granted, self.leader, self._yielded = pre, {self.name}, "", False
        self.role = Role.CANDIDATE
        if not pre:
            self.persistent.term, self.persistent.vote = self.persistent.term + 1, self.name
            out.append(self._persist(None))
        return [
            *out,
            *self._ask_votes(now_us),
            *self._wait_for_leader(now_us),
            *self._count_votes(now_us),
        ]

    def _ask_votes(self, now_us: int) -> Effects:
        """Of all that have not granted theirs, again and again: an ask or its answer may be lost."""
        term = self.persistent.term + 1 if self._pre else self.persistent.term
        last_term = self.persistent.term_at(self.persistent.last_log_index) or 0
        return [
            *(
                Send(
                    each,
                    "",
                    VoteRequest(term, self.persistent.last_log_index, last_term, self._pre),
                )
                for each in self.voters
                if each not in self._granted
            ),
            self._timer("again", now_us + self._beat_us),
        ]

    def _on_vote_ask(self, now_us: int, ident: str, asked: VoteRequest) -> Effects:
        disk = self.persistent
        out: Effects = []
        # Who hears a leader elects no other: one that was cut off or let go of must not depose it by coming back.
        stays = self.is_leader or now_us - self._heard_us < self._election_us
        if asked.term > disk.term and not asked.pre and not stays:
            out += self._step_down(now_us, asked.term)
        mine = (disk.term_at(disk.last_log_index) or 0, disk.last_log_index)
        good = (asked.last_term, asked.last_index) >= mine and not stays and ident in self.voters
        if asked.pre:
            granted = good and asked.term > disk.term
            if (
                granted
                and not self._yielded
                and (self.role is Role.FOLLOWER or (self._pre and ident < self.name))
            ):
                # Of two that stand at once one gives way, or both get half of the votes. Once: who stands may be deaf.
                self._yielded, self.role = True, Role.FOLLOWER
                wait = 2 * self._beat_us + self._random.randrange(2 * self._beat_us)
                out.append(self._timer("election", now_us + wait))
            return [
                *out,
                Send(ident, "", VoteResponse(asked.term if granted else disk.term, granted, True)),
            ]
        granted = good and asked.term == disk.term and disk.vote in ("", ident)
        if granted and not disk.vote:
            disk.vote = ident
            out.append(self._persist(None))
        if granted:
            out += self._wait_for_leader(now_us)
        return [*out, Send(ident, "", VoteResponse(disk.term, granted, False))]

    def _on_vote(self, now_us: int, ident: str, answer: VoteResponse) -> Effects:
        if (
            self.role is not Role.CANDIDATE
            or answer.pre is not self._pre
            or ident not in self.voters
        ):
            return []
        if answer.granted and answer.term == (
            self.persistent.term + 1 if self._pre else self.persistent.term
        ):
            self._granted.add(ident)
            return self._count_votes(now_us)
        if answer.term > self.persistent.term:
            return self._step_down(now_us, answer.term)
        return []

    def _count_votes(self, now_us: int) -> Effects:
        if 2 * len(self._granted & set(self.voters)) <= len(self.voters):
            return []
        return self._stand(now_us, False) if self._pre else self._lead(now_us)

    def _lead(self, now_us: int) -> Effects:
        self.role, self.leader, self.elected_at_us = Role.LEADER, self.name, now_us
        self._peers, self._confirms = {}, []
        self._know_peers(now_us)
        self.persistent.log.append(
            LogEntry(self.persistent.term, "", "")
        )  # of its own term: earlier ones are committed with it
        return [
            self._persist(self.persistent.last_log_index),
            LeadershipChanged(True),
            Notify("leads", {"term": self.persistent.term}),
            *self._send_all(now_us),
            *self._advance(),
            self._timer("beat", now_us + self._beat_us),
        ]

    def _know_peers(self, now_us: int) -> None:
        for name in self.voters:
            if name != self.name and name not in self._peers:
                self._peers[name] = _Peer(self.persistent.last_log_index + 1, heard_us=now_us)
        for name in [name for name in self._peers if name not in self.voters]:
            del self._peers[name]

    def _step_down(self, now_us: int, term: int) -> Effects:
        led, self.role = self.is_leader, Role.FOLLOWER
        out: Effects = []
        if term > self.persistent.term:
            self.persistent.term, self.persistent.vote, self.leader = term, "", ""
            out.append(self._persist(None))
        if led:
            self.leader = ""
            out += [
                LeadershipChanged(False),
                Notify("leads-no-longer", {"term": self.persistent.term}),
            ]
        self._confirms = []
        return [*out, *self._wait_for_leader(now_us)]

    def _follow(self, ident: str) -> Effects:
        led, self.role = self.is_leader, Role.FOLLOWER
        self.leader = ident
        self._confirms = []
        return [
            *([LeadershipChanged(False)] if led else []),
            Notify("follows", {"leader": ident, "term": self.persistent.term}),
        ]

    # -- leading

    def _beat(self, now_us: int) -> Effects:
        if not self.is_leader:
            return []
        heard = 1 + sum(
            now_us - each.heard_us < 2 * self._election_us for name, each in self._peers.items()
        )
        counted = heard if self.name in self.voters else heard - 1
        if 2 * counted <= len(self.voters):
            # Check-quorum. Danger: a leader that a majority does not hear any more would go on answering as one.
            return self._step_down(now_us, self.persistent.term)
        return [*self._send_all(now_us), self._timer("beat", now_us + self._beat_us)]

    def _send_all(self, now_us: int) -> Effects:
        self._round += 1
        return [self._send_to(name, each) for name, each in self._peers.items()]

    def _send_to(self, name: str, peer: _Peer) -> Send:
        disk, prev = self.persistent, peer.next - 1
        prev_term = disk.term_at(prev)
        if prev_term is None:
            return Send(
                name,
                "",
                InstallSnapshot(
                    disk.term,
                    disk.snapshot_index,
                    disk.snapshot_term,
                    " ".join(disk.snapshot_voters),
                    disk.snapshot_state,
                    self._round,
                ),
            )
        return Send(
            name,
            "",
            AppendRequest(
                disk.term,
                prev,
                prev_term,
                disk.entries_after(prev, MAX_APPEND_ENTRIES),
                self.commit_index,
                self._round,
            ),
        )

    def _on_answer(self, now_us: int, ident: str, answer: AppendResponse) -> Effects:
        peer = self._peers.get(ident)
        if not self.is_leader or peer is None or answer.term != self.persistent.term:
            return []
        peer.heard_us, peer.round = now_us, max(peer.round, answer.round)
        out = self._check_confirms()
        if not answer.ok:
            peer.next = max(1, min(peer.next - 1, answer.match + 1))
            return [*out, self._send_to(ident, peer)]
        before = peer.match
        peer.match = max(peer.match, answer.match)
        peer.next = max(peer.next, peer.match + 1)
        out += self._advance()
        if peer.match < self.persistent.last_log_index and peer.match > before:
            out.append(self._send_to(ident, peer))
        return out

    def _advance(self) -> Effects:
        """Commit what a majority holds of this term."""
        voters = self.voters
        held = sorted(
            (
                self.persistent.last_log_index if name == self.name else self._peers[name].match
                for name in voters
            ),
            reverse=True,
        )
        index = held[len(voters) // 2]
        if index <= self.commit_index or self.persistent.term_at(index) != self.persistent.term:
            return []
        self.commit_index = index
        out = self._apply()
        if self.name not in self.voters and not any(
            entry.kind == VOTERS
            for entry in self.persistent.log[self.commit_index - self.persistent.snapshot_index :]
        ):
            out += self._step_down(
                self._now_us, self.persistent.term
            )  # it was left out, and that is decided
        return out

    def _check_confirms(self) -> Effects:
        done: Effects = []
        while self._confirms:
            number, wanted = self._confirms[0]
            count = sum(peer.round >= wanted for peer in self._peers.values()) + (
                self.name in self.voters
            )
            if 2 * count <= len(self.voters):
                break
            self._confirms.pop(0)
            done.append(LeadershipConfirmed(number))
        return done

    # -- following

    def _on_append(self, ident: str, message: AppendRequest) -> Effects:
        disk = self.persistent
        held = disk.term_at(message.prev_index)
        if message.prev_index < disk.snapshot_index:
            held, skip = disk.snapshot_term, disk.snapshot_index - message.prev_index
            message = replace(
                message, prev_index=disk.snapshot_index, entries=message.entries[skip:]
            )
        elif held is None or held != message.prev_term:
            near = min(disk.last_log_index, message.prev_index - 1)
            return [Send(ident, "", AppendResponse(disk.term, False, near, message.round))]
        out: Effects = []
        index = message.prev_index
        for offset, entry in enumerate(message.entries):
            index = message.prev_index + offset + 1
            known = disk.term_at(index)
            if known == entry.term:
                continue
            if known is not None:
                disk.log = disk.log[
                    : index - disk.snapshot_index - 1
                ]  # an entry that was never committed gives way
            disk.log += message.entries[offset:]
            out.append(self._persist(index))
            index = message.prev_index + len(message.entries)
            break
        if message.commit > self.commit_index:
            self.commit_index = max(self.commit_index, min(message.commit, index))
            out += self._apply()
        return [*out, Send(ident, "", AppendResponse(disk.term, True, index, message.round))]

    def _on_install(self, ident: str, message: InstallSnapshot) -> Effects:
        disk = self.persistent
        out: Effects = []
        if message.index > self.commit_index:
            kept = (
                disk.log[message.index - disk.snapshot_index :]
                if disk.term_at(message.index) == message.last_term
                else []
            )
            disk.snapshot_index, disk.snapshot_term, disk.snapshot_state = (
                message.index,
                message.last_term,
                message.state,
            )
            disk.snapshot_voters, disk.log = tuple(message.voters.split()), kept
            self.commit_index = self._applied = message.index
            out += [
                self._persist(disk.snapshot_index),
                SnapshotRestored(message.index, message.state),
            ]
        return [
            *out,
            Send(ident, "", AppendResponse(disk.term, True, max(message.index, 0), message.round)),
        ]

    def _apply(self) -> Effects:
        """Hand over what was decided, once and in order."""
        if self.commit_index <= self._applied:
            return []
        first, self_base = self._applied + 1, self.persistent.snapshot_index
        entries = tuple(
            self.persistent.log[self._applied - self_base : self.commit_index - self_base]
        )
        self._applied = self.commit_index
        return [EntriesCommitted(first, entries)]

    # -- small things

    def _persist(self, first: int | None) -> Persist:
        """Term and vote; and the log from an index on (all of it, and the snapshot, from `base`)."""
        disk = self.persistent
        whole = first is not None and first <= disk.snapshot_index
        entries = (
            ()
            if first is None
            else tuple(disk.log if whole else disk.log[first - disk.snapshot_index - 1 :])
        )
        return Persist(
            disk.term,
            disk.vote,
            disk.snapshot_index + 1 if whole else first,
            entries,
            (
                disk.snapshot_index,
                disk.snapshot_term,
                " ".join(disk.snapshot_voters),
                disk.snapshot_state,
            )
            if whole
            else None,
        )

    def _timer(self, key: str, at_us: int) -> SetTimer:
        self._due[key] = at_us
        return SetTimer("raft " + key, at_us)
