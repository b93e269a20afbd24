"""A federation spec's types: where work may run, near which data, where it goes when a region is lost, when it returns.

Part of what placers agree on (`decide.rulesets.ruleset`): names in order, times in microseconds, shares in parts of
100.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from functools import cached_property

MAX_SPECS, MAX_DATASETS, MAX_REGIONS = 256, 1024, 64
MAX_DATASETS_PER_SPEC, MAX_REPLICAS = 16, 3  # data sets that a spec reads; keepers
FAILOVER_CAUSES = ("lost", "refusing", "closed")  # what a failover may follow
RETURN_MODES = ("never", "idle", "stable")  # from what moves least
PARTITION_ACTIONS = ("stop", "carry-on")
LOCALITIES = ("wanted", "required")
CLASS_SPEC_PREFIX = "class:"  # begins the name of the spec that a class has by `failover` alone
# Begins the name of a spec that stands for a class between two versions; no Job may name one.
INTERSECTION_PREFIX = "both:"


@dataclass(frozen=True, slots=True, order=True)
class Need:
    """Data that the work reads."""

    dataset: str
    near: str = "wanted"
    mib: int = 0  # how much of it a run reads
    behind_us: int = 0  # how far behind a copy may be; 0: not at all


@dataclass(frozen=True, slots=True, order=True)
class Failover:
    """When, after how long, to where. A spec that has one is *leased*; with an empty `on` no more than that."""

    on: tuple[str, ...]
    after_us: int
    to: tuple[str, ...] = ()  # in this order; empty: as the spec prefers
    room: int = 100  # of what the target has free, at most
    refusing_us: int = 0  # how long a region must have refused
    copies: int = 1  # keepers
    cores: int = 0  # of its work that must find room elsewhere, at least
    mib: int = 0


@dataclass(frozen=True, slots=True, order=True)
class Back:
    """When work goes back to a region that it prefers."""

    when: str = "never"
    stable_us: int = 0
    pace: int = 1  # moved at a time


@dataclass(frozen=True, slots=True, order=True)
class Spec:
    """One spec. Regions by preference; a region that is not among them is not allowed."""

    name: str
    regions: tuple[str, ...]
    forbidden: tuple[str, ...] = ()
    data: tuple[Need, ...] = ()
    failover: Failover | None = None
    back: Back = Back()
    on_cut: str = "carry-on"
    lower: int = (
        60  # of a region's load: below it work stays, above `upper` it goes over where it can
    )
    upper: int = 90
    ranked: bool = True  # otherwise all regions are equal, and where it is asked for comes first

    def preference_order(self, here: str) -> tuple[str, ...]:
        """Its regions for work that is asked for in one, the preferred first."""
        if self.ranked or here not in self.regions:
            return self.regions
        return (here, *(each for each in self.regions if each != here))

    def failover_targets(self, here: str) -> tuple[str, ...]:
        """Where its work goes from a region that is lost, in order; empty where nothing follows."""
        if self.failover is None or not self.failover.on:
            return ()
        if not self.failover.to:
            return tuple(each for each in self.preference_order(here) if each != here)
        return tuple(each for each in self.failover.to if each in self.regions and each != here)


@dataclass(frozen=True, slots=True, order=True)
class DataSet:
    """Where copies stand, and how far behind each is; `stays`: the regions that it never leaves (empty: any)."""

    name: str
    copies: tuple[tuple[str, int], ...]
    stays: tuple[str, ...] = ()


@dataclass(frozen=True)
class Federation:
    """All of it. `uses`: the spec of each class that names one, (class, spec)."""

    specs: tuple[Spec, ...] = ()
    datasets: tuple[DataSet, ...] = ()
    uses: tuple[tuple[str, str], ...] = ()

    @cached_property
    def _hash(self) -> int:
        return hash((self.specs, self.datasets, self.uses))

    def __hash__(self) -> int:
        return self._hash

    @cached_property
    def specs_by_name(self) -> Mapping[str, Spec]:
        """Specs by name."""
        return {each.name: each for each in reversed(self.specs)}

    @cached_property
    def datasets_by_name(self) -> Mapping[str, DataSet]:
        """Data sets by name."""
        return {each.name: each for each in reversed(self.datasets)}

    @cached_property
    def spec_names_by_class(self) -> Mapping[str, str]:
        """Names of specs by class."""
        return dict(self.uses)

    def find_spec(self, name: str) -> Spec | None:
        """One by its name; a name that stood for a class between two versions is what the class has now."""
        found = self.specs_by_name.get(name)
        return (
            self.spec_for(name[len(INTERSECTION_PREFIX) :])
            if found is None and name.startswith(INTERSECTION_PREFIX)
            else found
        )

    def spec_for(self, task_class: str, named: str = "") -> Spec | None:
        """What a Job goes by: the spec that it names, else that of its class; None where neither names one.

        One that is named and not there allows nothing.
        """
        name = named or self.spec_names_by_class.get(task_class, "")
        if not name:
            return None
        found = None if named.startswith(INTERSECTION_PREFIX) else self.specs_by_name.get(name)
        return found or Spec(name, ())


def allowed_regions(spec: Spec, federation: Federation) -> tuple[str, ...]:
    """The regions where a spec's work may ever run: what it names, within the residency of the data that it reads.

    A data set that is not there is one of which nobody knows where it may go: nowhere.
    """
    out = tuple(each for each in spec.regions if each not in spec.forbidden)
    for need in spec.data:
        dataset = federation.datasets_by_name.get(need.dataset)
        if dataset is None:
            return ()
        if dataset.stays:
            out = tuple(each for each in out if each in dataset.stays)
        if need.near == "required":
            fresh = {region for region, behind_us in dataset.copies if behind_us <= need.behind_us}
            out = tuple(each for each in out if each in fresh)
    return out
