"""Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014) without I/O; sections are cited by number.

Implements leader election and log replication (chapter 3), single-server membership changes (4.1), log compaction (5),
linearizable reads (ReadIndex, 6.4), pre-vote (9.6) and check-quorum (6.2). The safety properties of figure 3.2 hold if
the host fulfils its duties, which are listed at `Raft`.
"""

from __future__ import annotations

import random
from enum import Enum

from wingbarrow.decide.consensus.effects import (
    Effects,
    LeadershipChanged,
    LeadershipConfirmed,
    SnapshotRestored,
)
from wingbarrow.decide.consensus.entries import NO_OP, VOTERS
from wingbarrow.decide.consensus.messages import (
    AppendRequest,
    AppendResponse,
    InstallSnapshot,
    Message,
    VoteRequest,
    VoteResponse,
)
from wingbarrow.decide.consensus.persistent_state import PersistentState
from wingbarrow.decide.consensus.progress import LeaderState, PendingRead, Progress
from wingbarrow.decide.consensus.replicated_log import ReplicatedLog
from wingbarrow.decide.effects import Notify, Send, SetTimer

MAX_APPEND_ENTRIES = 32  # in one AppendRequest
HEARTBEATS_PER_ELECTION_TIMEOUT = 5

TIMER_PREFIX = "raft "  # of timer keys in the effects for the host
ELECTION_TIMER = "election"
HEARTBEAT_TIMER = "beat"
VOTE_RETRY_TIMER = "again"


class Role(Enum):
    """The state of a voter (figure 3.3); a pre-candidate is a candidate too."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Raft:
    """One voter. Methods return effects, which the host carries out before its next call.

    The host's duties, in order:

    1. Call `start` once, then `on_message` for each message of another voter and `on_timer` for each timer that is due
       (with its key without `TIMER_PREFIX`). `now_us` is a monotonic clock in microseconds.
    2. Carry out the effects of each call in order. A `Persist` is durable on disk before any later effect is started;
       if it fails, call `on_storage_failure` and drop the remaining effects.
    3. Apply `EntriesCommitted` and `SnapshotRestored` to the state machine.
    4. Serve a read at the leader only after the `LeadershipConfirmed` of a `confirm_leadership` call that was made
       after the read arrived, and only if `log.has_committed_in_term` (6.4).
    5. Once `log.should_compact` is true, call `log.compact` with a snapshot of the state machine, which includes all
       committed entries that were delivered, and carry out its effects likewise.

    `persistent` is the state read from the host's store; this voter owns it from then on. It is None if the store was
    lost: the voter then does not participate, as it may have cast a vote or acknowledged entries that it has lost.
    """

    def __init__(
        self,
        name: str,
        persistent: PersistentState | None,
        seed: int,
        election_timeout_us: int = 1_000_000,
    ) -> None:
        self.name = name
        self.has_lost_state = persistent is None
        self.log = ReplicatedLog(persistent or PersistentState(()))
        self.persistent = self.log.persistent
        self.role = Role.FOLLOWER
        self.leader = ""  # the known leader; "" for none
        self.elected_at_us = 0  # when this voter last became leader
        self._election_timeout_us = election_timeout_us
        self._heartbeat_us = election_timeout_us // HEARTBEATS_PER_ELECTION_TIMEOUT
        self._random = random.Random(seed)
        self._last_leader_contact_us = -election_timeout_us
        self._votes: set[str] = set()
        self._is_pre_vote = False
        self._has_yielded = False  # to another pre-candidate, since this voter's last campaign
        self._leader_state = LeaderState()
        self._round = 0  # number of the latest broadcast; never reset
        self._timers: set[str] = set()  # keys of timers that are set and not yet due
        self._now_us = 0

    @property
    def voters(self) -> tuple[str, ...]:
        """The configuration in effect."""
        return self.persistent.latest_voters()

    @property
    def is_leader(self) -> bool:
        """Whether this voter considers itself the leader; it may be deposed already (see `confirm_leadership`)."""
        return self.role is Role.LEADER

    def start(self, now_us: int) -> Effects:
        """Start as a follower, from the persistent state."""
        restored = SnapshotRestored(self.persistent.snapshot_index, self.persistent.snapshot_state)
        return [restored, self._set_election_timer(now_us)]

    # -- Host requests

    def propose(self, now_us: int, kind: str, body: str) -> tuple[int, Effects]:
        """Append an entry and return its index; -1 if this voter is not the leader.

        The entry is committed once `EntriesCommitted` delivers it. After a leader change another entry may replace it.
        """
        self._now_us = now_us
        if not self.is_leader:
            return -1, []
        effects: Effects = [self.log.append(kind, body)]
        index = self.persistent.last_log_index
        if kind == VOTERS:
            self._track_followers(now_us)
        effects += self._broadcast()
        effects += self._advance_commit_index()
        return index, effects

    def change_voters(self, now_us: int, voters: tuple[str, ...]) -> tuple[int, Effects]:
        """Add or remove one voter (4.1) and return the entry's index; -1 if the change is rejected.

        A change is rejected if it adds and removes no voter or several, while another change is uncommitted, or before
        an entry of the current term is committed; the last two are needed for safety.
        """
        is_one_change = len(set(self.voters) ^ set(voters)) == 1
        if not is_one_change or not voters or not self.log.has_committed_in_term:
            return -1, []
        if self.log.has_uncommitted_configuration:
            return -1, []
        return self.propose(now_us, VOTERS, " ".join(voters))

    def confirm_leadership(self, now_us: int, read_id: int) -> Effects:
        """Emit `LeadershipConfirmed(read_id)` once a majority has responded to a broadcast sent now or later (6.4).

        Emits nothing if this voter is not the leader, or steps down before.
        """
        if not self.is_leader:
            return []
        self._leader_state.pending_reads.append(PendingRead(read_id, self._round + 1))
        return [*self._broadcast(), *self._confirm_reads()]

    def on_storage_failure(self) -> None:
        """Handle a failed `Persist`: this voter no longer participates."""
        self.has_lost_state = True

    # -- Events

    def on_timer(self, now_us: int, key: str) -> Effects:
        """Handle a timer that is due; one that is not set is ignored."""
        if key not in self._timers:
            return []
        self._timers.remove(key)
        if key == HEARTBEAT_TIMER:
            return self._on_heartbeat_timer(now_us)
        if key == VOTE_RETRY_TIMER:
            return self._request_votes(now_us) if self.role is Role.CANDIDATE else []
        if self.is_leader or self.has_lost_state or self.name not in self.voters:
            return [self._set_election_timer(now_us)]
        return self._campaign(now_us, pre_vote=True)

    def on_message(self, now_us: int, sender: str, message: Message) -> Effects:
        """Handle a message of another voter."""
        self._now_us = now_us
        if self.has_lost_state:
            # Danger: a second vote in one term, or a log without acknowledged entries, could lose a committed entry.
            return []
        if isinstance(message, VoteRequest):
            return self._on_vote_request(now_us, sender, message)
        effects: Effects = []
        # A granted pre-vote carries the term that the candidate would start, in which no election was held yet.
        is_pre_vote = isinstance(message, VoteResponse) and message.pre
        if message.term > self.persistent.term and not is_pre_vote:
            effects += self._step_down(now_us, message.term)
        if isinstance(message, VoteResponse):
            effects += self._on_vote_response(now_us, sender, message)
        elif isinstance(message, AppendResponse):
            effects += self._on_append_response(now_us, sender, message)
        elif message.term < self.persistent.term:
            effects.append(self._append_response(sender, message.round, ok=False))
        else:
            effects += self._on_leader_message(now_us, sender, message)
        return effects

    # -- Leader election (3.4)

    def _set_election_timer(self, now_us: int) -> SetTimer:
        timeout_us = self._election_timeout_us + self._random.randrange(self._election_timeout_us)
        return self._set_timer(ELECTION_TIMER, now_us + timeout_us)

    def _campaign(self, now_us: int, *, pre_vote: bool) -> Effects:
        """Request votes; pre-votes first, so that a partitioned voter does not increment its term (9.6)."""
        effects: Effects = []
        self.role = Role.CANDIDATE
        self.leader = ""
        self._is_pre_vote = pre_vote
        self._votes = {self.name}
        self._has_yielded = False
        if not pre_vote:
            effects.append(self.log.begin_term(self.persistent.term + 1, vote=self.name))
        effects += self._request_votes(now_us)
        effects.append(self._set_election_timer(now_us))
        effects += self._count_votes(now_us)
        return effects

    def _campaign_term(self) -> int:
        """The term for which this candidate requests votes; for pre-votes it is the next term."""
        return self.persistent.term + 1 if self._is_pre_vote else self.persistent.term

    def _request_votes(self, now_us: int) -> Effects:
        """Send requests to voters that have not granted their vote; retried, as a request or response may be lost."""
        request = VoteRequest(
            self._campaign_term(),
            self.persistent.last_log_index,
            self.persistent.last_log_term,
            self._is_pre_vote,
        )
        return [
            *(Send(voter, "", request) for voter in self.voters if voter not in self._votes),
            self._set_timer(VOTE_RETRY_TIMER, now_us + self._heartbeat_us),
        ]

    def _on_vote_request(self, now_us: int, candidate: str, request: VoteRequest) -> Effects:
        # A voter in contact with a leader neither votes nor adopts the term, so that a voter that was partitioned or
        # removed cannot depose the leader when it returns (4.2.3).
        contact_us = now_us - self._last_leader_contact_us
        has_leader = self.is_leader or contact_us < self._election_timeout_us
        log_is_up_to_date = (request.last_term, request.last_index) >= (
            self.persistent.last_log_term,
            self.persistent.last_log_index,
        )  # 3.6.1
        is_eligible = log_is_up_to_date and not has_leader and candidate in self.voters
        if request.pre:
            return self._on_pre_vote_request(now_us, candidate, request, is_eligible=is_eligible)
        effects: Effects = []
        if request.term > self.persistent.term and not has_leader:
            effects += self._step_down(now_us, request.term)
        persistent = self.persistent
        can_vote = persistent.vote in ("", candidate)
        granted = is_eligible and request.term == persistent.term and can_vote
        if granted and not persistent.vote:
            effects.append(self.log.vote_for(candidate))
        if granted:
            effects.append(self._set_election_timer(now_us))
        effects.append(Send(candidate, "", VoteResponse(persistent.term, granted, False)))
        return effects

    def _on_pre_vote_request(
        self, now_us: int, candidate: str, request: VoteRequest, *, is_eligible: bool
    ) -> Effects:
        effects: Effects = []
        granted = is_eligible and request.term > self.persistent.term
        if granted and self._yields_to(candidate):
            # One of two concurrent pre-candidates yields, as otherwise the votes may be split. It yields only once per
            # campaign, as the other may be unable to receive responses.
            self._has_yielded = True
            self.role = Role.FOLLOWER
            wait_us = 2 * self._heartbeat_us + self._random.randrange(2 * self._heartbeat_us)
            effects.append(self._set_timer(ELECTION_TIMER, now_us + wait_us))
        term = request.term if granted else self.persistent.term
        effects.append(Send(candidate, "", VoteResponse(term, granted, True)))
        return effects

    def _yields_to(self, candidate: str) -> bool:
        """Whether to yield to a pre-candidate: a follower does, and so does a pre-candidate with a larger name."""
        if self._has_yielded:
            return False
        return self.role is Role.FOLLOWER or (self._is_pre_vote and candidate < self.name)

    def _on_vote_response(self, now_us: int, voter: str, response: VoteResponse) -> Effects:
        is_for_campaign = self.role is Role.CANDIDATE and response.pre is self._is_pre_vote
        if not is_for_campaign or voter not in self.voters:
            return []
        if response.granted and response.term == self._campaign_term():
            self._votes.add(voter)
            return self._count_votes(now_us)
        if response.term > self.persistent.term:
            return self._step_down(now_us, response.term)
        return []

    def _count_votes(self, now_us: int) -> Effects:
        if not self._is_majority(len(self._votes & set(self.voters))):
            return []
        if self._is_pre_vote:
            return self._campaign(now_us, pre_vote=False)
        return self._become_leader(now_us)

    def _become_leader(self, now_us: int) -> Effects:
        self.role = Role.LEADER
        self.leader = self.name
        self.elected_at_us = now_us
        self._leader_state = LeaderState()
        self._track_followers(now_us)
        # Entries of earlier terms are committed only through an entry of the current term (3.6.2).
        effects: Effects = [
            self.log.append(NO_OP, ""),
            LeadershipChanged(True),
            Notify("leads", {"term": self.persistent.term}),
        ]
        effects += self._broadcast()
        effects += self._advance_commit_index()
        effects.append(self._set_timer(HEARTBEAT_TIMER, now_us + self._heartbeat_us))
        return effects

    def _step_down(self, now_us: int, term: int) -> Effects:
        """Become a follower, in `term` if that is later; without a known leader if it is, or after leading."""
        was_leader = self.is_leader
        effects: Effects = []
        self.role = Role.FOLLOWER
        if term > self.persistent.term:
            self.leader = ""
            effects.append(self.log.begin_term(term, vote=""))
        if was_leader:
            self.leader = ""
            effects.append(LeadershipChanged(False))
            effects.append(Notify("leads-no-longer", {"term": self.persistent.term}))
        self._leader_state.pending_reads.clear()
        effects.append(self._set_election_timer(now_us))
        return effects

    def _follow(self, leader: str) -> Effects:
        """Become a follower of the leader of the current term."""
        was_leader = self.is_leader
        effects: Effects = [LeadershipChanged(False)] if was_leader else []
        self.role = Role.FOLLOWER
        self.leader = leader
        self._leader_state.pending_reads.clear()
        effects.append(Notify("follows", {"leader": leader, "term": self.persistent.term}))
        return effects

    # -- Log replication at the leader (3.5)

    def _on_heartbeat_timer(self, now_us: int) -> Effects:
        if not self.is_leader:
            return []
        since_us = now_us - 2 * self._election_timeout_us
        active = self._own_vote_count() + self._leader_state.count_responded_since(since_us)
        if not self._is_majority(active):
            # Check-quorum (6.2). Danger: a leader without contact to a majority would continue to respond as leader.
            return self._step_down(now_us, self.persistent.term)
        return [
            *self._broadcast(),
            self._set_timer(HEARTBEAT_TIMER, now_us + self._heartbeat_us),
        ]

    def _track_followers(self, now_us: int) -> None:
        followers = [name for name in self.voters if name != self.name]
        self._leader_state.track(followers, self.persistent.last_log_index + 1, now_us)

    def _broadcast(self) -> list[Send]:
        """Send each follower the entries that it lacks, or a heartbeat."""
        self._round += 1
        return [
            self._replication_message(name, each)
            for name, each in self._leader_state.progress.items()
        ]

    def _replication_message(self, follower: str, progress: Progress) -> Send:
        """The message with the entries from `next_index` on; the snapshot if those were compacted away."""
        persistent = self.persistent
        prev_index = progress.next_index - 1
        prev_term = persistent.term_at(prev_index)
        if prev_term is None:
            snapshot = InstallSnapshot(
                persistent.term,
                persistent.snapshot_index,
                persistent.snapshot_term,
                " ".join(persistent.snapshot_voters),
                persistent.snapshot_state,
                self._round,
            )
            return Send(follower, "", snapshot)
        request = AppendRequest(
            persistent.term,
            prev_index,
            prev_term,
            persistent.next_entries(prev_index, MAX_APPEND_ENTRIES),
            self.log.commit_index,
            self._round,
        )
        return Send(follower, "", request)

    def _on_append_response(self, now_us: int, follower: str, response: AppendResponse) -> Effects:
        progress = self._leader_state.progress.get(follower)
        if not self.is_leader or progress is None or response.term != self.persistent.term:
            return []
        progress.last_response_us = now_us
        progress.acked_round = max(progress.acked_round, response.round)
        effects = self._confirm_reads()
        if not response.ok:
            # Decrease next_index until the logs match (3.5); the response contains the next index to try.
            progress.next_index = max(1, min(progress.next_index - 1, response.match + 1))
            effects.append(self._replication_message(follower, progress))
            return effects
        old_match_index = progress.match_index
        progress.match_index = max(old_match_index, response.match)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        effects += self._advance_commit_index()
        if old_match_index < progress.match_index < self.persistent.last_log_index:
            effects.append(self._replication_message(follower, progress))
        return effects

    def _advance_commit_index(self) -> Effects:
        """Commit up to the highest index stored by a majority, if its entry is of the current term (3.6.2)."""
        match_indexes = sorted(
            (
                self.persistent.last_log_index
                if name == self.name
                else self._leader_state.progress[name].match_index
                for name in self.voters
            ),
            reverse=True,
        )
        index = match_indexes[len(match_indexes) // 2]
        if index <= self.log.commit_index or self.persistent.term_at(index) != self.persistent.term:
            return []
        effects = self.log.commit(index)
        if self.name not in self.voters and not self.log.has_uncommitted_configuration:
            effects += self._step_down(self._now_us, self.persistent.term)  # 4.2.2
        return effects

    def _confirm_reads(self) -> Effects:
        """Confirm the pending reads, oldest first, whose broadcast a majority has responded to (6.4)."""
        effects: Effects = []
        reads = self._leader_state.pending_reads
        while reads:
            acked = self._own_vote_count() + self._leader_state.count_acked(reads[0].round)
            if not self._is_majority(acked):
                break
            effects.append(LeadershipConfirmed(reads.popleft().read_id))
        return effects

    # -- Log replication (3.5) and snapshots (5) at a follower

    def _on_leader_message(
        self, now_us: int, leader: str, message: AppendRequest | InstallSnapshot
    ) -> Effects:
        """Handle a message of the leader of the current term."""
        effects: Effects = []
        if self.role is not Role.FOLLOWER or self.leader != leader:
            effects += self._follow(leader)
        self._last_leader_contact_us = now_us
        effects.append(self._set_election_timer(now_us))
        if isinstance(message, AppendRequest):
            result = self.log.append_from_leader(message)
            effects += result.effects
            effects.append(
                self._append_response(leader, message.round, ok=result.ok, match=result.match)
            )
        else:
            effects += self.log.install_snapshot(message)
            match = max(message.index, 0)
            effects.append(self._append_response(leader, message.round, ok=True, match=match))
        return effects

    def _append_response(
        self, leader: str, broadcast: int, *, ok: bool, match: int | None = None
    ) -> Send:
        """The response to a leader; `match` is the last log index unless given."""
        if match is None:
            match = self.persistent.last_log_index
        return Send(leader, "", AppendResponse(self.persistent.term, ok, match, broadcast))

    # -- Majorities and timers

    def _is_majority(self, count: int) -> bool:
        return 2 * count > len(self.voters)

    def _own_vote_count(self) -> int:
        """1 if this voter is in the configuration, else 0: a removed leader does not count itself (4.2.2)."""
        return 1 if self.name in self.voters else 0

    def _set_timer(self, key: str, at_us: int) -> SetTimer:
        self._timers.add(key)
        return SetTimer(TIMER_PREFIX + key, at_us)
