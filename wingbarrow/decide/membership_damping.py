"""From news of who lives to the set by which machines are held: few changes, and none for a member that flaps.

Each change of the set moves connections to machines, about 1/n of them for one of n placers. So a member that is
declared dead stays in the set for `leave_after_us`, one that comes back is let in without such a wait, and all changes
of a span of `settle_us` are made as one.

Bounds, with r replicas (`subsets.SubsetRules.replicas`), where "detection" is how long membership takes to tell:

- A placer that lives holds every machine of which it is among the first r ranks of the roster, whatever it believes,
  as its own name is always in its set.
- While k of a machine's r holders are dead, and not yet out of the set, it has r - k; with k = r it has none. It has r
  again, or as many as live, within detection + `leave_after_us` + `settle_us` at every placer.
- A member that comes back is in again within detection + `settle_us`; the set's holders in its place let go then.
- The set changes at most once in `settle_us`.
- State: the names of the roster, and one time for each of them.

Nothing that may harm rests on the set: it says whom to connect to. No I/O, no clock: times are microseconds of one
clock that never goes back.
"""

from __future__ import annotations

LEAVE_AFTER_US = 10_000_000  # a restart of a placer takes less
SETTLE_US = 2_000_000  # news of several deaths with one cause come within it, or little later


class DampedMembership:
    """One placer's set, driven by what membership tells it.

    `me` must be in `roster`; times below zero, or another name, raise ValueError. At the start everybody is in, as
    nobody has been missed for long enough.
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
            raise ValueError("leave-after and settle: from 0")
        self._me = me
        self._roster = frozenset(roster)
        self._leave_after_us = leave_after_us
        self._settle_us = settle_us
        self._live = self._roster
        self._dead_since_us: dict[
            str, int
        ] = {}  # since when membership has told of a member as dead
        self._changed_us: int | None = None  # the latest change of the set

    def on_members(self, now_us: int, live: frozenset[str]) -> None:
        """Membership's present view: all that it holds for living, this placer or not.

        Names outside the roster are passed over. Where nobody of the roster is named, nothing is known yet, and
        everybody counts as living; a placer that knows that it is alone names itself.
        """
        reported = live & self._roster
        present = reported | {self._me} if reported else self._roster
        # Nothing is applied here first: a placer that stood still hears the news before it acts on what became due.
        for name in self._roster:
            if name in present:
                self._dead_since_us.pop(name, None)
            else:
                self._dead_since_us.setdefault(name, now_us)

    def live_members(self, now_us: int) -> frozenset[str]:
        """The set by which machines are held now; makes the change that is due."""
        wanted = self._wanted(now_us)
        if wanted != self._live and self._may_change(now_us):
            self._live = wanted
            self._changed_us = now_us
        return self._live

    def next_change_us(self) -> int | None:
        """When the set is to be asked for again, without further news; None: no change is coming up."""
        due_us = [
            since_us + self._leave_after_us
            for name, since_us in self._dead_since_us.items()
            if name in self._live
        ]
        if any(name not in self._dead_since_us for name in self._roster - self._live):
            due_us.append(0)  # somebody is back: as soon as a change is allowed
        if not due_us:
            return None
        settled_us = 0 if self._changed_us is None else self._changed_us + self._settle_us
        return max(min(due_us), settled_us)

    def _wanted(self, now_us: int) -> frozenset[str]:
        """Who is told of as living, and who was in the set and has been missed for a short time only."""
        return frozenset(name for name in self._roster if self._belongs(name, now_us))

    def _belongs(self, name: str, now_us: int) -> bool:
        since_us = self._dead_since_us.get(name)
        if since_us is None:
            return True
        return name in self._live and now_us - since_us < self._leave_after_us

    def _may_change(self, now_us: int) -> bool:
        return self._changed_us is None or now_us - self._changed_us >= self._settle_us
