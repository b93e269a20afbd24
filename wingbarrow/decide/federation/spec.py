"""Types of federation specs: allowed regions, data locality, failover to other regions, and return to preferred ones.

A federation is a part of the rule set that placers agree on (`decide.rulesets.ruleset`). Names are kept in order, times
are in microseconds, shares in percent.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from functools import cached_property

MAX_SPECS = 256
MAX_DATASETS = 1024
MAX_REGIONS = 64
MAX_DATASETS_PER_SPEC = 16  # data sets that one spec reads
MAX_REPLICAS = 3  # of the record of a leased Job
FAILOVER_CAUSES = ("lost", "refusing", "closed")  # states of a region that may trigger a failover
RETURN_MODES = ("never", "idle", "stable")  # ordered from the one that moves the least
PARTITION_ACTIONS = ("stop", "carry-on")  # of a placer that is cut off; the stricter one first
LOCALITIES = ("wanted", "required")  # of data: preferred, or a condition
CLASS_SPEC_PREFIX = "class:"  # of the implicit spec of a class that only sets `failover`
# Of the spec that a class has while two versions with different specs for it are in force; no Job may name one.
INTERSECTION_PREFIX = "both:"


@dataclass(frozen=True, slots=True, order=True)
class Need:
    """A data set that the tasks read."""

    dataset: str
    near: str = "wanted"  # one of LOCALITIES
    mib: int = 0  # amount that one task reads
    behind_us: int = 0  # maximum replication lag of a usable copy; 0: fully up to date


@dataclass(frozen=True, slots=True, order=True)
class Failover:
    """Causes, delay and target regions of a failover.

    Jobs of a spec with a failover are leased. With an empty `on` they are leased but never fail over.
    """

    on: tuple[str, ...]  # of FAILOVER_CAUSES
    after_us: int  # delay from the cause to the failover
    to: tuple[str, ...] = ()  # targets in order; empty: the spec's order of preference
    room: int = 100  # maximum share of a target's free capacity, in percent
    refusing_us: int = 0  # how long a region must have rejected tasks
    copies: int = 1  # replicas of each Job's record
    cores: int = 0  # minimum capacity to reserve for the spec's tasks in other regions
    mib: int = 0  # the same of memory


@dataclass(frozen=True, slots=True, order=True)
class Back:
    """When tasks return to a region that their spec prefers."""

    when: str = "never"  # one of RETURN_MODES
    stable_us: int = 0  # how long the region must have been stable
    pace: int = 1  # maximum number of tasks that are being moved at once


@dataclass(frozen=True, slots=True, order=True)
class Spec:
    """A placement policy over regions. `regions` lists the allowed ones by preference; no other region is allowed."""

    name: str
    regions: tuple[str, ...]
    forbidden: tuple[str, ...] = ()
    data: tuple[Need, ...] = ()
    failover: Failover | None = None
    back: Back = Back()
    on_cut: str = "carry-on"  # one of PARTITION_ACTIONS
    # Load of a region in percent: below `lower` tasks stay, above `upper` they go to another region with capacity.
    lower: int = 60
    upper: int = 90
    ranked: bool = True  # False: all regions are equal, and the region of the request comes first

    def preference_order(self, here: str) -> tuple[str, ...]:
        """Return the regions in order of preference, for a request made in region `here`."""
        if self.ranked or here not in self.regions:
            return self.regions
        return (here, *(each for each in self.regions if each != here))

    def failover_targets(self, here: str) -> tuple[str, ...]:
        """Return the failover targets of tasks in region `here`, in order; empty without a failover."""
        if self.failover is None or not self.failover.on:
            return ()
        if not self.failover.to:
            return tuple(each for each in self.preference_order(here) if each != here)
        return tuple(each for each in self.failover.to if each in self.regions and each != here)


@dataclass(frozen=True, slots=True, order=True)
class DataSet:
    """A data set: the regions that hold copies of it, and its residency."""

    name: str
    copies: tuple[tuple[str, int], ...]  # (region, replication lag in us)
    stays: tuple[str, ...] = ()  # data residency: the only regions that may hold it; empty: any


@dataclass(frozen=True)
class Federation:
    """All specs and data sets, and which class uses which spec. Hashable; the hash is cached."""

    specs: tuple[Spec, ...] = ()
    datasets: tuple[DataSet, ...] = ()
    uses: tuple[tuple[str, str], ...] = ()  # (class, name of its spec)

    @cached_property
    def _hash(self) -> int:
        return hash((self.specs, self.datasets, self.uses))

    def __hash__(self) -> int:
        return self._hash

    @cached_property
    def specs_by_name(self) -> Mapping[str, Spec]:
        """Specs by name; of several with one name the first."""
        return {each.name: each for each in reversed(self.specs)}

    @cached_property
    def datasets_by_name(self) -> Mapping[str, DataSet]:
        """Data sets by name; of several with one name the first."""
        return {each.name: each for each in reversed(self.datasets)}

    @cached_property
    def spec_names_by_class(self) -> Mapping[str, str]:
        """Names of specs by class; classes without a spec are absent."""
        return dict(self.uses)

    def find_spec(self, name: str) -> Spec | None:
        """Return a spec by name, None if it is unknown.

        A name with INTERSECTION_PREFIX that is gone resolves to the spec that its class has now.
        """
        found = self.specs_by_name.get(name)
        return (
            self.spec_for(name[len(INTERSECTION_PREFIX) :])
            if found is None and name.startswith(INTERSECTION_PREFIX)
            else found
        )

    def spec_for(self, task_class: str, named: str = "") -> Spec | None:
        """Return the spec of a Job: the one that it names, else that of its class; None where neither names one.

        A name that is unknown, or that begins with INTERSECTION_PREFIX, gives a spec that allows no region.
        """
        name = named or self.spec_names_by_class.get(task_class, "")
        if not name:
            return None
        found = None if named.startswith(INTERSECTION_PREFIX) else self.specs_by_name.get(name)
        return found or Spec(name, ())


def allowed_regions(spec: Spec, federation: Federation) -> tuple[str, ...]:
    """Return the regions where a spec's tasks may run, by the spec's own order.

    These are the spec's regions that are not forbidden, that hold to the residency of all data that it reads, and that
    have a recent enough copy of the required data. With an unknown data set the result is empty, since its residency
    is not known either.
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
