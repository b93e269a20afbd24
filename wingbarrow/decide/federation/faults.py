"""Faults of a federation: their places, what is known beside the specs, and what several checks ask; no I/O.

A place is a path such as ("federation", 2, "reads", 0): the node's kind, its number in the file, the part. What reads
files maps paths to lines; where a part has no line of its own, the path's beginning has.
"""

from __future__ import annotations

import difflib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from wingbarrow.decide.federation.encoding import NAME_PATTERN, NAME_RULE
from wingbarrow.decide.federation.spec import CLASS_SPEC_PREFIX, Spec

Path = tuple[str | int, ...]
SECOND = 1_000_000
MAX_HUB_TURN_US = SECOND  # the longest turn of a hub that is reckoned with
MAX_RELATIVE_DRIFT = 0.002  # two clocks, each 500 ppm off, differ by a little more than 1,000 ppm


def lease_expiry_us(lease_us: int) -> int:
    """How long after its last renewal nothing rests on a lease any more, by any clock: drift and a turn later."""
    return int(lease_us * (1 + MAX_RELATIVE_DRIFT)) + 1 + MAX_HUB_TURN_US


@dataclass(frozen=True, slots=True)
class ValidationContext:
    """What is known beside the specs: regions that have machines, each placer's, the lease, classes' effects.

    `rooms`: (region, cores, MiB) that each surely has, where that is said. `bare`: regions without machines.
    """

    regions: tuple[str, ...] = ()
    region_by_placer: Mapping[str, str] = field(default_factory=dict)
    lease_us: int = 0
    effect_by_class: Mapping[str, str] = field(default_factory=dict)
    capacities: tuple[tuple[str, float, int], ...] = ()
    regions_without_machines: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Fault:
    """Where, and what is wrong; `other` is the place of what it does not go with."""

    path: Path
    message: str
    related_path: Path = ()


def effect_conflict(spec: Spec, effect: str, lease_us: int) -> str:
    """Why work of an effect cannot go by a spec; "" where it can."""
    over = spec.failover
    if effect != "unsafe":
        return ""
    if over is not None and "refusing" in over.on:
        return (
            'fails over on "refusing", a suspicion: what must not start twice moves on proof alone'
        )
    if over is not None and over.on and over.after_us < lease_expiry_us(lease_us):
        return (
            f"fails over after {format_seconds(over.after_us)}, before it is proved that the lease is over: "
            f"{format_seconds(lease_expiry_us(lease_us))} at the least"
        )
    if spec.back.when == "stable":
        return "returns by moving what runs, and what must not start twice is never moved"
    return ""


def format_seconds(time_us: int) -> str:
    """A time in words."""
    return f"{time_us / SECOND:g} s"


def name_suggestion(name: str, known: Iterable[str]) -> str:
    """A hint at the nearest of some names; "" where none is near."""
    found = difflib.get_close_matches(name, list(known), 1)
    return f"; did you mean {found[0]!r}?" if found else ""


def name_faults(path: Path, what: str, name: str) -> list[Fault]:
    """Whether a name can be written as placers agree on it; those with a colon are made here."""
    good = NAME_PATTERN.fullmatch(name) and (
        ":" not in name
        or (
            what == "federation"
            and name.startswith(CLASS_SPEC_PREFIX)
            and ":" not in name[len(CLASS_SPEC_PREFIX) :]
        )
    )
    return [] if good else [Fault(path, f"{what} {name[:60]!r}: {NAME_RULE} are wanted")]


def region_faults(
    path: Path, what: str, names: tuple[str, ...], known: ValidationContext
) -> list[Fault]:
    """Regions that nobody knows, or that are named twice."""
    out = []
    for at, name in enumerate(names):
        if name in known.regions_without_machines:
            out.append(Fault(path, f"{what}: region {name!r} has no machines"))
        elif name not in known.regions:
            out.append(
                Fault(
                    path,
                    f"{what}: no such region in `agree`: {name[:60]!r}{name_suggestion(name, known.regions)}",
                )
            )
        if name in names[:at]:
            out.append(Fault(path, f"{what}: region {name!r} is named twice"))
    return out
