"""Selects the voter for a placer's next lease request: the leader, a voter that knows it, or a relay to it.

If the leader does not respond, other voters are tried in round-robin order and asked to forward the request, as only
the link to the leader may be down, in one direction or both. A voter that forwarded a request successfully remains the
relay for at most `MAX_RELAYED_GRANTS` grants in a row.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_REDIRECTS = 2  # followed without delay in a row; a further one waits for the next request
MAX_RELAYED_GRANTS = 8  # in a row through a relay, before the leader is tried directly again


@dataclass(frozen=True, slots=True)
class Receiver:
    """The receiver of a request ("" for none), and whether it is to forward the request to the leader."""

    name: str
    forward: bool


class VoterSelector:
    """One placer's selection of voters; call `choose` for each request, the `on_...` methods for each response."""

    def __init__(self, name: str, voters: tuple[str, ...]) -> None:
        # The voter that forwards requests; "" while they are sent to the leader directly.
        self.relay = ""
        self._name = name
        self._voters = voters
        self._unresponsive_leader = ""
        # Receiver of the last request, if it was not to be forwarded.
        self._last_direct_receiver = ""
        self._relayed_grants = 0
        self._attempts = 0  # voters tried since a leader last responded directly
        # Leader named by the last redirect, for the next request; "" for none.
        self._redirect_target = ""
        self._redirects = 0

    def choose(self, leader: str, *, is_unanswered: bool) -> Receiver:
        """Select the next receiver; `leader`: the known one or ""; `is_unanswered`: a request has no response yet."""
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
            # Another voter may know a newer leader, or may be able to reach this one.
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
        """The next voter in round-robin order; an unresponsive leader is skipped until all others were tried."""
        unresponsive = self._unresponsive_leader
        others = [name for name in self._voters if name not in (self._name, unresponsive)]
        if not others:
            self._unresponsive_leader = ""
            return Receiver(leader, forward=False)
        self._attempts += 1
        position = self._attempts % len(others)
        if position == 0:
            # Danger: the unresponsive leader may be the only voter that can be reached again.
            self._unresponsive_leader = ""
        return Receiver(others[position], forward=bool(unresponsive))

    def on_grant(self, sender: str, leader: str, *, was_forwarded: bool) -> None:
        """Handle a grant by `leader` that was received from `sender`."""
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
        """Handle a redirect to `leader`; return whether to send the next request there at once."""
        self.relay = ""  # the relay is no longer in contact with the leader
        # Danger: two voters with stale views that name each other would be asked alternately without a delay.
        is_known = leader in ("", self._name, self._redirect_target, self._unresponsive_leader)
        if is_known or self._redirects >= MAX_REDIRECTS:
            return False
        self._redirect_target = leader
        self._redirects += 1
        return True
