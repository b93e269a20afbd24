"""What other instances know of machines: told to them, and taken in from them; never requests, never tasks."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Protocol

from wingbarrow import interface as api
from wingbarrow.config import PlacerSettings
from wingbarrow.decide import learning
from wingbarrow.decide.learning import MachineObservation
from wingbarrow.peers.knowledge_pages import Page, Shares
from wingbarrow.transport import Hub

GONE_KEPT = 1024


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
        """As the module has it."""


class Reflector(Protocol):
    """The list, as far as hearsay goes."""

    last_contact_us: int | None
    on_new_source: Callable[[], None]

    @property
    def held(self) -> Mapping[str, Any]:
        """Entries by name."""

    @property
    def version(self) -> int:
        """Of the list."""


class Fleet(Protocol):
    """The placer's machines; `guards` narrow what the module is told, the calls hear of what comes and goes."""

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
        """Whether closed machines are being opened right now."""

    def is_closed_locally(self, entry: Any) -> bool:
        """Whether a machine is closed to this placer for reasons of its own, such as its start."""

    def size_of(self, entry: Any) -> tuple[float, float]:
        """Cores and memory."""

    def reapply(self, entries: Iterable[Any]) -> None:
        """Have entries pass the guards anew."""


class Links(Protocol):
    """The machines that are reached, by name."""

    @property
    def links(self) -> Mapping[str, Any]:
        """Each has `launched_us` and `phase`."""


class Module(Protocol):
    """The host of the decision module."""

    def feed(self, event: api.Event) -> None:
        """Tell it of an event."""

    def knowledge(self) -> api.Knowledge:
        """What it knows of machines."""


class UseObserver(Protocol):
    """When a task last told of its use."""

    last_usage_us: int | None


class PlacerContext(Protocol):
    """The placer's life."""

    hub: Hub
    settings: PlacerSettings
    counts: Counter[str]
    started_us: int


class PeerHints:
    """Owns what was heard and is not applied yet, and which machines are distrusted for it."""

    def __init__(
        self,
        context: PlacerContext,
        host: Module,
        fleet: Fleet,
        machines: Links,
        sightings: UseObserver,
    ) -> None:
        self._context, self._host, self._fleet, self._machines = context, host, fleet, machines
        self._sightings = sightings
        self._begun_us = context.hub.now_us()
        self._distrust = learning.Distrust(context.settings.limits.machines)
        self._gone_versions: dict[
            str, int
        ] = {}  # machines that left the list, for peers to hear of
        self._heard: dict[
            str, tuple[MachineObservation, int, bool]
        ] = {}  # not applied yet: sight, when it was true, clock good
        self._average = (0.5, 0.5)  # asked over size, as peers last told it
        self._shares_taken = False
        fleet.guards.append(self._guard)
        fleet.on_gone, fleet.on_machine_listed, fleet.on_delivery_applied = (
            self._note_gone,
            self._note_listed,
            self._apply,
        )
        fleet.reflector.on_new_source = self._distrust.on_new_source

    # -- told to others

    def announce(self) -> learning.Announcement:
        """What this instance says of itself to others."""
        reflector, now = self._fleet.reflector, self._context.hub.now_us()
        heard, settings = reflector.last_contact_us, self._context.settings
        return learning.Announcement(
            "",
            settings.name,
            self._context.started_us,
            settings.region,
            settings.cluster,
            now - self._begun_us,
            None if heard is None else now - heard,
            len(reflector.held),
            0,
        )

    def know(self) -> tuple[list[MachineObservation], Shares]:
        """What this instance knows of machines, for a hand-over."""
        now, known = self._context.hub.now_us(), self._host.knowledge()
        by_ident = {each.machine: each for each in known.machines}
        sights: list[MachineObservation] = []
        for name, entry in self._fleet.held.items():
            link, each = self._machines.links.get(name), by_ident.get(entry.listed.machine)
            if link is None or each is None:
                continue
            launched = now - link.launched_us if link.launched_us > 0 else None
            # What is closed for this placer's own reasons is no drain that others should hear of.
            phase = entry.listed.phase if self._fleet.is_closed_locally(entry) else link.phase
            if self._context.settings.agree is not None:
                # What placers agree on reaches each of them by its rules; here it would outlive its being taken back.
                phase = self._guard(entry, entry.listed).phase
            sights.append(
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
            sights.append(
                MachineObservation(
                    name, version, api.Phase.GONE, None, None, None, None, None, {}, {}
                )
            )
        use_us = self._sightings.last_usage_us
        return sights, Shares(known.ratio, known.notes, None if use_us is None else now - use_us)

    def _note_gone(self, name: str) -> None:
        self._gone_versions[name] = self._fleet.reflector.version
        if len(self._gone_versions) > GONE_KEPT:
            del self._gone_versions[next(iter(self._gone_versions))]

    def _note_listed(self, name: str) -> None:
        self._gone_versions.pop(name, None)

    # -- taken in

    def take_sights(
        self, sights: list[MachineObservation], more_age_us: int, clock_good: bool
    ) -> bool:
        """Take in a page of a peer's sights; False, and none is kept, where they are of another cluster."""
        held = self._fleet.held
        # What is left out here, where placers hold subsets, says nothing of whose cluster it is.
        sights = [sight for sight in sights if self._fleet.reflector.is_wanted(sight.machine)]
        if learning.is_other_cluster(
            sights, {name: entry.listed.machine for name, entry in held.items()}
        ):
            return False
        now, changed = self._context.hub.now_us(), []
        for sight in sights:
            entry = held.get(sight.machine)
            # A sight of a drain counts whatever the peer's clock does: versions order it, not ages.
            if (
                self._distrust.on_observation(sight, entry.version if entry else None, now)
                and entry is not None
            ):
                changed.append(entry)
            if (
                len(self._heard) < self._context.settings.limits.machines
                or sight.machine in self._heard
            ):
                self._heard[sight.machine] = sight, now - more_age_us, clock_good
        if changed:
            self._fleet.reapply(changed)
        else:
            self._apply()
        return True

    def take_shares(self, page: Page, more_age_us: int, clock_good: bool) -> None:
        """Take in a peer's learned shares of use, once: later pages of the same peer repeat them."""
        if self._shares_taken:
            return
        shares = page.shares
        age = None if shares.age_us is None else shares.age_us + more_age_us
        weighed = [
            learning.learned_ratio(ratio, notes, age, clock_good)
            for ratio, notes in zip(shares.ratio, shares.notes, strict=True)
        ]
        if any(notes > 0 for _, notes in weighed):
            self._shares_taken = True
            self._host.feed(
                api.Learned((), (weighed[0][0], weighed[1][0]), (weighed[0][1], weighed[1][1]))
            )

    def _guard(self, entry: Entry, listed: api.ListedMachine) -> api.ListedMachine:
        """A machine that a peer saw draining is not trusted before a newer list says that it runs (rule 3)."""
        return self._distrust.narrow(entry.name, entry.version, listed)

    def _apply(self) -> None:
        """Give the module what was heard of machines that our list has by now, and that it may send to."""
        if not self._heard or self._fleet.reopening:
            return
        now, held = self._context.hub.now_us(), self._fleet.held
        groups: dict[tuple[int, bool], list[MachineObservation]] = {}
        for name in [
            name
            for name in self._heard
            if name in held
            and name in self._machines.links
            and not self._fleet.is_closed_locally(held[name])
        ]:
            sight, at_us, good = self._heard.pop(name)
            groups.setdefault((at_us, good), []).append(sight)
        for (at_us, good), sights in groups.items():
            here = [sight.machine for sight in sights]
            sizes = {name: self._fleet.size_of(held[name]) for name in here}
            self._average = learning.fleet_average(sights, sizes, self._average)
            weighed = learning.learned_machines(
                sights,
                now - at_us,
                sizes,
                {name: held[name].version for name in here},
                {name: held[name].listed.machine for name in here},
                good,
                self._average,
            )
            self._context.counts["machines_learned"] += len(weighed)
            if weighed:
                self._host.feed(api.Learned(tuple(weighed), (0.0, 0.0), (0.0, 0.0)))
        for name in [
            name
            for name, (_, at_us, _) in self._heard.items()
            if now - at_us > learning.MAX_USEFUL_AGE_US
        ]:
            del self._heard[name]
