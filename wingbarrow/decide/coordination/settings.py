"""Parameters of a `Coordinator`: its placer, the settings shared by all placers, and its subsystems."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from wingbarrow.decide.coordination.messages import Timing
from wingbarrow.decide.coordination.subsystem import AnyMemberSubsystem, AnyReplicatedSubsystem


@dataclass(frozen=True, slots=True)
class LocalPlacer:
    """This placer; `incarnation` grows with each start, `zones` returns the zone of each known machine by name."""

    name: str
    incarnation: int = 0
    region: str = ""
    zones: Callable[[], Mapping[str, str]] = dict


@dataclass(frozen=True, slots=True)
class CoordinationSettings:
    """Settings that must be the same at all placers: the names of the initial voters, and timing parameters."""

    voters: tuple[str, ...]
    timing: Timing = Timing()


@dataclass(frozen=True, slots=True)
class Subsystems:
    """Subsystems besides the rule set and quotas: `replicated` for voters, `members` for every placer."""

    replicated: tuple[AnyReplicatedSubsystem, ...] = ()
    members: tuple[AnyMemberSubsystem, ...] = ()
