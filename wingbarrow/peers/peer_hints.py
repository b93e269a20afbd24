"""Peer hints: the knowledge of machines that instances exchange. Requests and tasks are never exchanged."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Protocol

from wingbarrow import interface as api
from wingbarrow.config import PlacerSettings
from wingbarrow.decide import learning
from wingbarrow.decide.learning import MachineObservation
from wingbarrow.peers.knowledge_pages import Page, UsageRatios
from wingbarrow.transport import Hub

MAX_GONE_MACHINES = 1024  # machines removed from the list that peers are still informed of


class Entry(Protocol):
    """A machine of the list."""

    @property
    def name(self) -> str:
        """Its name."""

    @property
    def version(self) -> int:
        """The list's version of it."""

    @property
    def listed(self) -> api.ListedMachine:
        """The listed machine in the form of the decision module's interface."""


class Reflector(Protocol):
    """The part of the machine list that peer hints use."""

    last_contact_us: int | None
    on_new_source: Callable[[], None]

    @property
    def held(self) -> Mapping[str, Any]:
        """Entries by name."""

    @property
    def version(self) -> int:
        """The list's version."""


class Fleet(Protocol):
    """The placer's machines; `guards` restrict what the decision module is told, the `on_` attributes are callbacks."""

    guards: list[Any]
    on_gone: Callable[[str], None]
    on_machine_listed: Callable[[str], None]
    on_delivery_applied: Callable[[], None]
    reflector: Any

    @property
    def held(self) -> Mapping[str, Any]:
        """Entries by name."""

    @property
    def reopening(self) -> bool:
        """Whether closed machines are being reopened now."""

    def is_closed_locally(self, entry: Any) -> bool:
        """Whether a machine is closed for a reason of this placer alone, such as the placer's start."""

    def size_of(self, entry: Any) -> tuple[float, float]:
        """Cores and memory of a machine."""

    def reapply(self, entries: Iterable[Any]) -> None:
        """Pass entries through the guards again."""


class Links(Protocol):
    """The connected machines."""

    @property
    def links(self) -> Mapping[str, Any]:
        """Links by machine name; each has `launched_us` and `phase`."""


class Module(Protocol):
    """The host of the decision module."""

    def feed(self, event: api.Event) -> None:
        """Pass it an event."""

    def knowledge(self) -> api.Knowledge:
        """What it knows of machines."""


class UseObserver(Protocol):
    """The time of the last report on a task's resource use; None without any."""

    last_usage_us: int | None


class PlacerContext(Protocol):
    """The placer's shared context."""

    hub: Hub
    settings: PlacerSettings
    counts: Counter[str]
    started_us: int


class PeerHints:
    """Holds observations of peers until they can be applied, and the machines that are distrusted due to them."""

    def __init__(
        self,
        context: PlacerContext,
        host: Module,
        fleet: Fleet,
        machines: Links,
        use_observer: UseObserver,
    ) -> None:
        self._context, self._host, self._fleet, self._machines = context, host, fleet, machines
        self._use_observer = use_observer
        self._begun_us = context.hub.now_us()
        self._distrust = learning.Distrust(context.settings.limits.machines)
        # List version at the removal of machines from the list, which is reported to peers.
        self._gone_versions: dict[str, int] = {}
        # Not applied yet, by machine: observation, time to which its ages refer, whether its clock is good.
        self._pending: dict[str, tuple[MachineObservation, int, bool]] = {}
        # Requested share of cores and of memory, averaged over the observations of peers.
        self._average = (0.5, 0.5)
        self._has_usage_ratios = False
        fleet.guards.append(self._guard)
        fleet.on_gone, fleet.on_machine_listed, fleet.on_delivery_applied = (
            self._note_gone,
            self._note_listed,
            self._apply,
        )
        fleet.reflector.on_new_source = self._distrust.on_new_source

    # -- knowledge for peers

    def announce(self) -> learning.Announcement:
        """This instance's announcement."""
        reflector, now = self._fleet.reflector, self._context.hub.now_us()
        last_contact_us, settings = reflector.last_contact_us, self._context.settings
        return learning.Announcement(
            "",
            settings.name,
            self._context.started_us,
            settings.region,
            settings.cluster,
            now - self._begun_us,
            None if last_contact_us is None else now - last_contact_us,
            len(reflector.held),
            0,
        )

    def knowledge(self) -> tuple[list[MachineObservation], UsageRatios]:
        """This instance's observations of machines and its usage ratios, for a transfer to peers."""
        now, known = self._context.hub.now_us(), self._host.knowledge()
        by_ident = {each.machine: each for each in known.machines}
        observations: list[MachineObservation] = []
        for name, entry in self._fleet.held.items():
            link, each = self._machines.links.get(name), by_ident.get(entry.listed.machine)
            if link is None or each is None:
                continue
            launched = now - link.launched_us if link.launched_us > 0 else None
            # A machine that is closed only for this placer's own reasons does not drain: peers get its listed phase.
            phase = entry.listed.phase if self._fleet.is_closed_locally(entry) else link.phase
            if self._context.settings.agree is not None:
                # Agreed drains reach each placer by the rules; an observed drain would outlive its cancellation.
                phase = self._guard(entry, entry.listed).phase
            observations.append(
                MachineObservation(
                    name,
                    max(entry.version, self._distrust.version(name)),
                    phase,
                    launched,
                    each.asked,
                    each.asked_age_us,
                    each.beyond,
                    each.measured_age_us,
                    each.warm_us,
                    each.rests_us,
                )
            )
        for name, version in self._gone_versions.items():
            observations.append(
                MachineObservation(
                    name, version, api.Phase.GONE, None, None, None, None, None, {}, {}
                )
            )
        use_us = self._use_observer.last_usage_us
        return observations, UsageRatios(
            known.ratio, known.notes, None if use_us is None else now - use_us
        )

    def _note_gone(self, name: str) -> None:
        self._gone_versions[name] = self._fleet.reflector.version
        if len(self._gone_versions) > MAX_GONE_MACHINES:
            del self._gone_versions[next(iter(self._gone_versions))]

    def _note_listed(self, name: str) -> None:
        self._gone_versions.pop(name, None)

    # -- knowledge from peers

    def on_observations(
        self, observations: list[MachineObservation], more_age_us: int, clock_good: bool
    ) -> bool:
        """Handle the observations of a page; False if they belong to another cluster, and then none is kept.

        `more_age_us` is added to all ages; without `clock_good`, ages are not trusted.
        """
        held = self._fleet.held
        # With subsets, machines outside this placer's subset must not count as unknown in the check of the cluster.
        observations = [
            observation
            for observation in observations
            if self._fleet.reflector.is_wanted(observation.machine)
        ]
        if learning.is_other_cluster(
            observations, {name: entry.listed.machine for name, entry in held.items()}
        ):
            return False
        now, changed = self._context.hub.now_us(), []
        for observation in observations:
            entry = held.get(observation.machine)
            # An observed drain counts even if the peer's clock is broken: it is ordered by versions, not by ages.
            if (
                self._distrust.on_observation(observation, entry.version if entry else None, now)
                and entry is not None
            ):
                changed.append(entry)
            if (
                len(self._pending) < self._context.settings.limits.machines
                or observation.machine in self._pending
            ):
                self._pending[observation.machine] = observation, now - more_age_us, clock_good
        if changed:
            self._fleet.reapply(changed)
        else:
            self._apply()
        return True

    def on_usage_ratios(self, page: Page, more_age_us: int, clock_good: bool) -> None:
        """Handle a peer's usage ratios, once: later pages of the same peer repeat them."""
        if self._has_usage_ratios:
            return
        usage = page.usage
        age_us = None if usage.age_us is None else usage.age_us + more_age_us
        learned = [
            learning.learned_ratio(ratio, notes, age_us, clock_good)
            for ratio, notes in zip(usage.ratio, usage.notes, strict=True)
        ]
        if any(notes > 0 for _, notes in learned):
            self._has_usage_ratios = True
            self._host.feed(
                api.Learned((), (learned[0][0], learned[1][0]), (learned[0][1], learned[1][1]))
            )

    def _guard(self, entry: Entry, listed: api.ListedMachine) -> api.ListedMachine:
        """Do not trust a machine that a peer saw draining until a newer list version shows it running (rule 3)."""
        return self._distrust.narrow(entry.name, entry.version, listed)

    def _apply(self) -> None:
        """Feed the module with pending observations of machines that are listed, connected and not closed locally."""
        if not self._pending or self._fleet.reopening:
            return
        now, held = self._context.hub.now_us(), self._fleet.held
        groups: dict[tuple[int, bool], list[MachineObservation]] = {}
        for name in [
            name
            for name in self._pending
            if name in held
            and name in self._machines.links
            and not self._fleet.is_closed_locally(held[name])
        ]:
            observation, at_us, good = self._pending.pop(name)
            groups.setdefault((at_us, good), []).append(observation)
        for (at_us, good), observations in groups.items():
            names = [observation.machine for observation in observations]
            sizes = {name: self._fleet.size_of(held[name]) for name in names}
            self._average = learning.fleet_average(observations, sizes, self._average)
            learned = learning.learned_machines(
                observations,
                now - at_us,
                sizes,
                {name: held[name].version for name in names},
                {name: held[name].listed.machine for name in names},
                good,
                self._average,
            )
            self._context.counts["machines_learned"] += len(learned)
            if learned:
                self._host.feed(api.Learned(tuple(learned), (0.0, 0.0), (0.0, 0.0)))
        for name in [
            name
            for name, (_, at_us, _) in self._pending.items()
            if now - at_us > learning.MAX_USEFUL_AGE_US
        ]:
            del self._pending[name]
