"""A federation spec's types: where work may run, near which data, where it goes when a region is lost, when it returns.

Part of what placers agree on (`decide.peers.rules`): names in order, times in microseconds, shares in parts of 100.
"""

from __future__ import annotations

from dataclasses import dataclass

SPECS_MOST, DATASETS_MOST, REGIONS_MOST = 256, 1024, 64
ON = ("lost", "refusing", "closed")  # what a failover may follow
RETURNS = ("never", "idle", "stable")
CUTS = ("stop", "carry-on")
NEAR = ("wanted", "required")


@dataclass(frozen=True, slots=True, order=True)
class Need:
    """Data that the work reads."""

    dataset: str
    near: str = "wanted"
    mib: int = 0  # how much of it a run reads
    behind_us: int = 0  # how far behind a copy may be; 0: not at all


@dataclass(frozen=True, slots=True, order=True)
class Failover:
    """When, after how long, to where."""

    on: tuple[str, ...]
    after_us: int
    to: tuple[str, ...] = ()  # in this order; empty: as the spec prefers
    room: int = 100  # of what the target has free, at most
    refusing_us: int = 0  # how long a region must have refused
    copies: int = 1  # keepers


@dataclass(frozen=True, slots=True, order=True)
class Back:
    """When work goes back to a region that it prefers."""

    when: str = "never"
    stable_us: int = 0
    pace: int = 1  # moved at a time


@dataclass(frozen=True, slots=True, order=True)
class Spec:
    """One spec. Regions by preference; a region that is neither preferred nor forbidden is not allowed."""

    name: str
    regions: tuple[str, ...]
    forbidden: tuple[str, ...] = ()
    data: tuple[Need, ...] = ()
    failover: Failover | None = None
    back: Back = Back()
    on_cut: str = "carry-on"
    lower: int = 60  # of a region's load: below it work stays, above `upper` it goes over where it can
    upper: int = 90


@dataclass(frozen=True, slots=True, order=True)
class DataSet:
    """Where copies stand, and how far behind each is; `stays`: the regions that it never leaves (empty: any)."""

    name: str
    copies: tuple[tuple[str, int], ...]
    stays: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Federation:
    """All of it."""

    specs: tuple[Spec, ...] = ()
    datasets: tuple[DataSet, ...] = ()
