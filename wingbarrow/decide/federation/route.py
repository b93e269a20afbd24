"""The choice of a region: a spec and what is known of regions -> a region, or a refusal with its reason."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from wingbarrow.decide.federation.spec import Federation, Spec


@dataclass(frozen=True, slots=True)
class RegionNews:
    """What is known of a region, and how old that is. Room is what nobody has asked for."""

    region: str
    age_us: int
    load: float  # asked for, of all there is: 0 to 1 and above
    cores: float
    memory: float
    lost: bool = False
    closed: bool = False  # for work
    refusing_us: int = 0  # for how long it has turned work away
    stable_us: int = 0  # for how long it has been well
    placers: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Wanted:
    """What is to run: `why` is new, failover or back; `here` where it is now."""

    cores: float
    memory: float
    effect: str
    here: str
    why: str = "new"


@dataclass(frozen=True, slots=True)
class Choice:
    """A region, or "" and why none."""

    region: str
    reason: str = ""


def choose(spec: Spec, federation: Federation, wanted: Wanted, news: Mapping[str, RegionNews], draw: float) -> Choice:
    """Where it goes; `draw` is from 0 to 1, the caller's chance."""
    raise NotImplementedError


def held_back(federation: Federation, rooms: Mapping[str, tuple[float, float]],
              leased: Mapping[tuple[str, str], tuple[float, float]]) -> dict[str, tuple[float, float]]:
    """What each region holds back for the others' loss, in cores and memory; `leased` by (spec, region)."""
    raise NotImplementedError
