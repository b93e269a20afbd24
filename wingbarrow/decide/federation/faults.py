"""Faults of a federation and where they are, the settings they are checked against, and shared checks; no I/O.

A fault's path is such as ("federation", 2, "reads", 0): the kind of node, its index in the file, the part of it. The
settings parser maps paths to lines; a part without a line of its own gets that of the longest prefix of its path.
"""

from __future__ import annotations

import difflib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from wingbarrow.decide.federation.encoding import NAME_PATTERN, NAME_RULE
from wingbarrow.decide.federation.spec import CLASS_SPEC_PREFIX, Spec

Path = tuple[str | int, ...]
SECOND = 1_000_000
MAX_HUB_TURN_US = SECOND  # allowance for the longest turn of the event loop
# Between two clocks: each may be off by 500 ppm, so that they differ by a little more than 1,000 ppm.
MAX_RELATIVE_DRIFT = 0.002


def lease_expiry_us(lease_us: int) -> int:
    """Return how long after its last renewal a lease has expired by every clock: with drift and one turn of the hub."""
    return int(lease_us * (1 + MAX_RELATIVE_DRIFT)) + 1 + MAX_HUB_TURN_US


@dataclass(frozen=True, slots=True)
class ValidationContext:
    """The settings that specs are checked against.

    regions: those that have machines.
    capacities: (region, cores, MiB), the capacity that a region is stated to have.
    regions_without_machines: known, but not usable in a spec.
    """

    regions: tuple[str, ...] = ()
    region_by_placer: Mapping[str, str] = field(default_factory=dict)
    lease_us: int = 0
    effect_by_class: Mapping[str, str] = field(default_factory=dict)
    capacities: tuple[tuple[str, float, int], ...] = ()
    regions_without_machines: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Fault:
    """Path of a faulty node and what is wrong; `related_path` is that of the node it conflicts with, () for none."""

    path: Path
    message: str
    related_path: Path = ()


def effect_conflict(spec: Spec, effect: str, lease_us: int) -> str:
    """Return why tasks of a class with this effect cannot use a spec; "" where they can."""
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
    """Format a duration in seconds."""
    return f"{time_us / SECOND:g} s"


def name_suggestion(name: str, known: Iterable[str]) -> str:
    """Return a "did you mean" hint with the closest known name; "" where none is close."""
    found = difflib.get_close_matches(name, list(known), 1)
    return f"; did you mean {found[0]!r}?" if found else ""


def name_faults(path: Path, what: str, name: str) -> list[Fault]:
    """Return a fault if a name cannot be encoded. Colons are reserved for specs with CLASS_SPEC_PREFIX."""
    good = NAME_PATTERN.fullmatch(name) and (
        ":" not in name
        or (
            what == "federation"
            and name.startswith(CLASS_SPEC_PREFIX)
            and ":" not in name[len(CLASS_SPEC_PREFIX) :]
        )
    )
    return [] if good else [Fault(path, f"{what} {name[:60]!r}: expected {NAME_RULE}")]


def region_faults(
    path: Path, what: str, names: tuple[str, ...], known: ValidationContext
) -> list[Fault]:
    """Return a fault for each region that is unknown, has no machines or is named twice."""
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
