"""This placer's subset of its region's machines: which machines it holds, when it adds and when it releases them.

A machine that leaves the subset lingers: it is shown to the decision module as draining, so that no task is sent there,
while its entry and its tasks are watched as before. It is released once it holds no task of this placer and none can
arrive any more. Machines that enter the subset are read by one supplementary list, which each placer requests after a
random delay, because all placers learn of a membership change at about the same time.

While tasks wait long, the subset is widened (`decide.subset_widening`): the machines of one more rank are read by a
list of this placer alone, after a short delay, and leave the subset later like others.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from wingbarrow import interface as api
from wingbarrow.config.settings import SubsetSettings
from wingbarrow.core.attempts import Attempts
from wingbarrow.core.context import CoreContext
from wingbarrow.core.fleet import Fleet
from wingbarrow.core.machine_link import MachineLink
from wingbarrow.core.machines import Machines
from wingbarrow.core.nodes import NodeEntry
from wingbarrow.core.stops import Stops
from wingbarrow.core.supplementary_lists import SupplementaryLists
from wingbarrow.decide.membership_damping import DampedMembership
from wingbarrow.decide.subset_widening import SubsetWidening
from wingbarrow.decide.subsets import Subsets

CHECK_INTERVAL_US = 250_000
# Without any known member for this long, this placer counts as the only one.
NO_MEMBERS_TIMEOUT_US = 5_000_000
# Since the last offer to a machine: an abandoned offer may start its task this late.
LINGER_US = 10_000_000
# Until a machine that could not be released is checked again.
RELEASE_RETRY_US = 2_000_000
# A machine that was stalled may still accept offers shortly after it responds.
RELEASE_CONFIRM_US = 1_000_000
MAX_RELEASES = 16  # concurrent
# The placers' supplementary lists are spread over this time for each placer of the roster, up to the maximum.
LIST_SPREAD_PER_PLACER_US = 100_000
MAX_LIST_SPREAD_US = 10_000_000
# Of a list for widening: other placers may be short of capacity at the same time.
WIDENING_LIST_SPREAD_US = 200_000


class Subset:
    """Adds and releases machines according to the membership and to how long tasks wait.

    `members()` returns the names of the live placers and the number of members ever known; `waits_long(now_us)` whether
    a task has waited long for a machine.
    """

    def __init__(
        self,
        context: CoreContext,
        settings: SubsetSettings,
        fleet: Fleet,
        machines: Machines,
        attempts: Attempts,
        stops: Stops,
        members: Callable[[], tuple[frozenset[str], int]],
        waits_long: Callable[[int], bool],
    ) -> None:
        self._context = context
        self._fleet = fleet
        self._machines = machines
        self._attempts = attempts
        self._stops = stops
        self._members = members
        self._waits_long = waits_long
        self._name = context.settings.name
        self.subsets = Subsets(settings.rules)
        self._spread_us = min(
            MAX_LIST_SPREAD_US, LIST_SPREAD_PER_PLACER_US * len(settings.rules.roster)
        )
        self._membership = DampedMembership(
            self._name, settings.rules.roster, settings.leave_after_us, settings.settle_us
        )
        self._max_extra = settings.widen
        self._widening = SubsetWidening(settings.widen)
        # Ranks beyond the replicas whose machines this placer holds while its tasks wait long.
        self.extra_ranks = 0
        self._started_us = context.hub.now_us()
        self.live_members = self._membership.live_members(self._started_us)
        # Whether to watch every machine of the first list, as the machines of the earlier incarnation are not known.
        self._watches_all = False
        self._supplementary_lists = SupplementaryLists(context, fleet.reflector, self._spread_us)
        # Separate from the above, as a list for widening must not wait for the delay that spreads all placers' lists.
        self._widening_lists = SupplementaryLists(context, fleet.reflector, WIDENING_LIST_SPREAD_US)
        self._releasing = 0
        # When to check again lingering machines that could not be released.
        self._retry_at_us: dict[str, int] = {}
        fleet.reflector.is_wanted = self.is_watched
        fleet.guards.append(self._guard)
        fleet.closed_locally.append(lambda name: not self.holds(name))
        fleet.on_state_lost = self._on_state_lost

    def holds(self, name: str) -> bool:
        """Whether a machine belongs to this placer's subset."""
        return self.subsets.holds(self._name, name, self.live_members, self.extra_ranks)

    def is_watched(self, name: str) -> bool:
        """Whether a machine is watched: it belongs to the subset, or lingers."""
        return self._watches_all or name in self._machines.links or self.holds(name)

    @property
    def lingering(self) -> list[str]:
        """Machines that are still watched though they have left the subset."""
        return [name for name in self._machines.links if not self.holds(name)]

    def _guard(self, entry: NodeEntry, listed: api.ListedMachine) -> api.ListedMachine:
        """Set a machine outside the subset to draining, so that it gets no new task; drains by the list stay."""
        if listed.phase is not api.Phase.RUNNING or self.holds(entry.name):
            return listed
        return replace(listed, phase=api.Phase.DRAINING)

    def _on_state_lost(self) -> None:
        # Danger (rule 5): otherwise tasks of the earlier incarnation on machines outside the subset would not count.
        self._watches_all = True

    # -- membership

    def run(self) -> None:
        """Apply membership changes and release machines until cancelled."""
        self._started_us = self._context.hub.now_us()
        while True:
            now = self._context.hub.now_us()
            self._check_membership(now)
            if self._max_extra:
                self._check_waits(now)
            self._release_some(now)
            if self._fleet.reflector.relists:
                self._watches_all = False
            self._context.hub.sleep(CHECK_INTERVAL_US)

    def _check_membership(self, now_us: int) -> None:
        live, known = self._members()
        if known or now_us - self._started_us >= NO_MEMBERS_TIMEOUT_US:
            live |= {self._name}
        self._membership.on_members(now_us, live)
        live = self._membership.live_members(now_us)
        if live != self.live_members:
            self._on_membership_change(live)

    def _on_membership_change(self, live: frozenset[str]) -> None:
        before = self.live_members
        moved = self._apply(live, self.extra_ranks)
        self._context.counts["subset:changes"] += 1
        self._context.log(
            "subset",
            living=len(live),
            moved=moved,
            joined=sorted(live - before)[:20],
            left=sorted(before - live)[:20],
        )
        if before - live:
            self._supplementary_lists.request()

    def _check_waits(self, now_us: int) -> None:
        before = self.extra_ranks
        useful = len(self.live_members) - self.subsets.rules.replicas
        extra = self._widening.update(now_us, self._waits_long(now_us), useful)
        if extra == before:
            return
        moved = self._apply(self.live_members, extra)
        self._context.counts["subset:widened" if extra > before else "subset:narrowed"] += 1
        self._context.log("subset-width", extra=extra, moved=moved)
        if extra > before:
            self._widening_lists.request()

    def _apply(self, live: frozenset[str], extra: int) -> int:
        """Apply a new membership and width; returns how many held machines enter or leave the subset."""
        held = self._fleet.held
        before = [name for name in held if self.holds(name)]
        self.live_members = live
        self.extra_ranks = extra
        changed = set(before) ^ {name for name in held if self.holds(name)}
        if changed:
            self._fleet.reapply([held[name] for name in held if name in changed])
        return len(changed)

    # -- release

    def _release_some(self, now_us: int) -> None:
        lingering = self.lingering
        if self._retry_at_us:
            self._retry_at_us = {
                name: self._retry_at_us[name] for name in lingering if name in self._retry_at_us
            }
        for name in lingering:
            link = self._machines.links[name]
            if self._releasing >= MAX_RELEASES:
                return
            if name not in self._fleet.held and self._is_lost(link):
                self._fleet.release(name)
            elif self._retry_at_us.get(name, 0) <= now_us and self._may_release(link, now_us):
                self._retry_at_us[name] = now_us + RELEASE_RETRY_US
                self._releasing += 1
                self._context.spawn(lambda link=link: self._release(link), f"release {name}")  # type: ignore[misc]

    def _is_lost(self, link: MachineLink) -> bool:
        """Whether a machine known from the saved list is unlisted, unreachable, and has nothing pending."""
        return (
            self._fleet.reflector.relists > 0
            and not link.reachable
            and link.phase is not api.Phase.GONE
            and not self._attempts.on(link)
            and not self._stops.pending_on(link)
        )

    def _may_release(self, link: MachineLink, now_us: int) -> bool:
        """Whether no task of this placer is known on the machine, and none can still arrive."""
        return (
            link.phase is not api.Phase.GONE
            and link.reachable
            and not self._attempts.on(link)
            and not self._stops.pending_on(link)
            and (link.last_offer_us is None or now_us - link.last_offer_us >= LINGER_US)
        )

    def _release(self, link: MachineLink) -> None:
        try:
            # Danger: a task of an abandoned offer or an earlier incarnation would run on without a placer to stop it.
            has_tasks = link.has_tasks()
            if has_tasks is False:
                self._context.hub.sleep(RELEASE_CONFIRM_US)
        finally:
            self._releasing -= 1
        name = link.name
        if (
            has_tasks is False
            and not self.holds(name)
            and self._machines.links.get(name) is link
            and self._may_release(link, self._context.hub.now_us())
        ):
            self._context.counts["subset:released"] += 1
            self._fleet.release(name)
