"""Flap damping of membership: from the members reported as live to the set by which placers hold machines.

Each change of the set moves connections to machines, about 1/n of them for one of n placers. A member that is declared
dead therefore stays in the set for `leave_after_us`, one that returns is admitted without such a delay, and all changes
within `settle_us` are applied as one.

Bounds, with r replicas (`subsets.SubsetRules.replicas`), where "detection" is the time in which membership reports a
change:

- A live placer holds every machine for which it is among the first r ranks of the roster, whatever its view of others,
  as its own name is always in its set.
- While k of a machine's r holders are dead and still in the set, it has r - k holders; with k = r it has none. It has
  r again, or as many as are live, within detection + `leave_after_us` + `settle_us` at every placer.
- A member that returns is in the set again within detection + `settle_us`; its substitutes release its machines then.
- The set changes at most once in `settle_us`.
- State: the names of the roster, and one time for each of them.

No safety rule depends on the set: it only determines which machines to connect to. No I/O, no clock: times are
microseconds of one monotonic clock.
"""

from __future__ import annotations

LEAVE_AFTER_US = 10_000_000  # longer than a restart of a placer takes
SETTLE_US = 2_000_000  # deaths with one cause are reported within about this time


class DampedMembership:
    """The damped set of one placer, driven by the membership's reports.

    Every member of `roster` is in the set at first. Raises ValueError where `me` is not in `roster` or a time is
    negative.
    """

    def __init__(
        self,
        me: str,
        roster: tuple[str, ...],
        leave_after_us: int = LEAVE_AFTER_US,
        settle_us: int = SETTLE_US,
    ) -> None:
        if me not in roster:
            raise ValueError(f"roster: does not name this placer, {me!r}")
        if leave_after_us < 0 or settle_us < 0:
            raise ValueError(
                f"leave-after and settle: at least 0 us, not {leave_after_us} and {settle_us}"
            )
        self._me = me
        self._roster = frozenset(roster)
        self._leave_after_us = leave_after_us
        self._settle_us = settle_us
        self._live = self._roster
        # Since when membership has reported a member as dead.
        self._dead_since_us: dict[str, int] = {}
        self._changed_us: int | None = None  # the latest change of the set

    def on_members(self, now_us: int, live: frozenset[str]) -> None:
        """Record the membership's present view: all members that it considers live, with or without this placer.

        Names outside the roster are ignored. A view that names nobody of the roster means that nothing is known yet:
        every member then counts as live. A placer that knows that it is alone names itself.
        """
        reported = live & self._roster
        present = reported | {self._me} if reported else self._roster
        # The set is not updated here: a placer resumed after a stall reads new reports before it applies due changes.
        for name in self._roster:
            if name in present:
                self._dead_since_us.pop(name, None)
            else:
                self._dead_since_us.setdefault(name, now_us)

    def live_members(self, now_us: int) -> frozenset[str]:
        """The set by which machines are held now, after applying changes that are due."""
        wanted = self._wanted(now_us)
        if wanted != self._live and self._may_change(now_us):
            self._live = wanted
            self._changed_us = now_us
        return self._live

    def next_change_us(self) -> int | None:
        """When the set changes next without further reports; None: no change is pending."""
        due_us = [
            since_us + self._leave_after_us
            for name, since_us in self._dead_since_us.items()
            if name in self._live
        ]
        if any(name not in self._dead_since_us for name in self._roster - self._live):
            due_us.append(0)  # a member has returned: due as soon as a change is allowed
        if not due_us:
            return None
        settled_us = 0 if self._changed_us is None else self._changed_us + self._settle_us
        return max(min(due_us), settled_us)

    def _wanted(self, now_us: int) -> frozenset[str]:
        """Members reported as live, and members of the set that have been dead for less than `leave_after_us`."""
        return frozenset(name for name in self._roster if self._belongs(name, now_us))

    def _belongs(self, name: str, now_us: int) -> bool:
        since_us = self._dead_since_us.get(name)
        if since_us is None:
            return True
        return name in self._live and now_us - since_us < self._leave_after_us

    def _may_change(self, now_us: int) -> bool:
        return self._changed_us is None or now_us - self._changed_us >= self._settle_us
