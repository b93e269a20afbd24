"""Which voter a placer sends its next lease request to: the leader, one that knows it, or one that can reach it.

Where the leader does not answer, other voters are tried in turn and asked to forward the request: the link to the
leader alone may be down, in one direction or both. Once one has brought an answer it stays the relay for a while.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_REDIRECTS = 2  # followed at once, one after the other; a further one waits for the next request
MAX_RELAYED_GRANTS = 8  # by one relay in a row, before the leader itself is tried again


@dataclass(frozen=True, slots=True)
class Receiver:
    """Whom to send a request to ("" for nobody), and whether it is to forward that to the leader."""

    name: str
    forward: bool


class VoterSelector:
    """One placer's choice; `choose` is called for each request, the `on_...` methods for each answer."""

    def __init__(self, name: str, voters: tuple[str, ...]) -> None:
        self.relay = ""  # the voter that forwards requests; "" while the leader itself is asked
        self._name = name
        self._voters = voters
        self._unresponsive_leader = ""
        self._last_direct_receiver = ""  # of a request that was not to be forwarded
        self._relayed_grants = 0
        self._attempts = 0  # voters tried in turn, since a leader last answered itself
        self._redirect_target = ""  # whom the last one asked named as leader
        self._redirects = 0

    def choose(self, leader: str, *, is_unanswered: bool) -> Receiver:
        """The next receiver: `leader` as far as is known; `is_unanswered`: an earlier request still has no answer."""
        if not self._redirect_target:
            self._redirects = 0
        receiver = self._select(leader, is_unanswered=is_unanswered)
        self._last_direct_receiver = "" if receiver.forward else receiver.name
        self._redirect_target = ""
        return receiver

    def _select(self, leader: str, *, is_unanswered: bool) -> Receiver:
        if leader == self._name:
            return Receiver(leader, forward=False)
        if is_unanswered:
            # Another voter may know a later leader, or may reach this one.
            self._unresponsive_leader = self._unresponsive_leader or self._last_direct_receiver
            self.relay = ""
        elif self._redirect_target:
            return Receiver(self._redirect_target, forward=False)
        elif self.relay:
            return Receiver(self.relay, forward=True)
        if leader and leader != self._unresponsive_leader:
            return Receiver(leader, forward=False)
        return self._next_voter(leader)

    def _next_voter(self, leader: str) -> Receiver:
        """The voters in turn, but for one that did not answer; once all were tried, that one again."""
        unresponsive = self._unresponsive_leader
        others = [name for name in self._voters if name not in (self._name, unresponsive)]
        if not others:
            self._unresponsive_leader = ""
            return Receiver(leader, forward=False)
        self._attempts += 1
        position = self._attempts % len(others)
        if position == 0:
            # Danger: it may be the only one that can be reached.
            self._unresponsive_leader = ""
        return Receiver(others[position], forward=bool(unresponsive))

    def on_grant(self, sender: str, leader: str, *, was_forwarded: bool) -> None:
        """A request was answered, by `leader`, through `sender`."""
        if was_forwarded and self._relayed_grants < MAX_RELAYED_GRANTS:
            self.relay = sender
            self._relayed_grants += 1
            self._unresponsive_leader = leader
            return
        self.relay = ""
        self._relayed_grants = 0
        self._unresponsive_leader = ""
        self._attempts = 0

    def on_redirect(self, leader: str) -> bool:
        """A request came to one that does not lead and names `leader`: whether to ask that one at once."""
        self.relay = ""  # it no longer knows the leader
        # Danger: two that name each other, each behind in its way, would be asked in turn without a pause.
        is_known = leader in ("", self._name, self._redirect_target, self._unresponsive_leader)
        if is_known or self._redirects >= MAX_REDIRECTS:
            return False
        self._redirect_target = leader
        self._redirects += 1
        return True
