"""What a `Coordinator` is made from: the placer it belongs to, the settings that all placers share, its subsystems."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from wingbarrow.decide.coordination.messages import Timing
from wingbarrow.decide.coordination.subsystem import AnyMemberSubsystem, AnyReplicatedSubsystem


@dataclass(frozen=True, slots=True)
class LocalPlacer:
    """This placer: `incarnation` grows with each start; `zones` gives the zone of each machine of its list."""

    name: str
    incarnation: int = 0
    region: str = ""
    zones: Callable[[], Mapping[str, str]] = dict


@dataclass(frozen=True, slots=True)
class CoordinationSettings:
    """The same at all placers: the voters that the settings name, and times."""

    voters: tuple[str, ...]
    timing: Timing = Timing()


@dataclass(frozen=True, slots=True)
class Subsystems:
    """What is coordinated beside the rule set and quotas: a voter's part (`replicated`) and every placer's."""

    replicated: tuple[AnyReplicatedSubsystem, ...] = ()
    members: tuple[AnyMemberSubsystem, ...] = ()
