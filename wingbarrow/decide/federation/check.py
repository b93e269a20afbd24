"""A whole federation's faults, each with its place and its reason; no I/O.

The bounds that any proposed version must keep are in `encoding.bounds_violations`; what is checked for each Job is in
`faults.effect_conflict`.
"""

from __future__ import annotations

from wingbarrow.decide.federation.check_interactions import capacity_faults, failover_cycles
from wingbarrow.decide.federation.check_spec import SpecFaults
from wingbarrow.decide.federation.encoding import (
    MAX_CLASSES_WITH_SPEC,
    MAX_DURATION_US,
    MAX_FEDERATION_CHARS,
    NAME_PATTERN,
    NAME_RULE,
    encode,
)
from wingbarrow.decide.federation.faults import (
    Fault,
    Path,
    ValidationContext,
    effect_conflict,
    format_seconds,
    name_faults,
    name_suggestion,
    region_faults,
)
from wingbarrow.decide.federation.spec import (
    MAX_DATASETS,
    MAX_REGIONS,
    MAX_SPECS,
    DataSet,
    Federation,
)

__all__ = ["Fault", "Path", "ValidationContext", "check", "effect_conflict"]


def check(federation: Federation, known: ValidationContext) -> list[Fault]:
    """Everything that is wrong with a whole federation."""
    out: list[Fault] = []
    for kind, most, names in (
        ("federation", MAX_SPECS, [each.name for each in federation.specs]),
        ("dataset", MAX_DATASETS, [each.name for each in federation.datasets]),
        ("room", MAX_REGIONS, [each[0] for each in known.capacities]),
    ):
        if len(names) > most:
            out.append(Fault((kind, most), f"{kind}: more than {most}"))
        first: dict[str, int] = {}
        for at, name in enumerate(names):
            if name in first:
                out.append(
                    Fault((kind, at), f"{kind} {name!r} was given before", (kind, first[name]))
                )
            first.setdefault(name, at)
    if len(known.regions) > MAX_REGIONS:
        out.append(Fault((), f"agree: more than {MAX_REGIONS} regions"))
    for region in known.regions:
        if not NAME_PATTERN.fullmatch(region):
            out.append(Fault((), f"agree: region {region[:60]!r}: {NAME_RULE} are wanted"))
    for at, dataset in enumerate(federation.datasets):
        out += _dataset(("dataset", at), dataset, known)
    for at, spec in enumerate(federation.specs):
        out += SpecFaults(("federation", at), spec, federation, known).faults()
    for at, (region, _, _) in enumerate(known.capacities):
        out += region_faults(("room", at), "room", (region,), known)
    out += _uses(federation, known)
    if not out:
        out = failover_cycles(federation) + capacity_faults(federation, known)
    if not out:
        size = len(encode(federation))
        if size > MAX_FEDERATION_CHARS:
            out.append(
                Fault(
                    (),
                    f"federation: specs and data sets are {size} characters as placers agree on them; "
                    f"{MAX_FEDERATION_CHARS} are the most: shorter names, fewer copies told",
                )
            )
    return out


# -- data sets


def _dataset(path: Path, dataset: DataSet, known: ValidationContext) -> list[Fault]:
    out = name_faults(path, "dataset", dataset.name)
    if not dataset.copies:
        out.append(Fault(path, f"dataset {dataset.name!r}: no copy is told of"))
    for at, (region, behind_us) in enumerate(dataset.copies):
        place = (*path, "copy", at)
        out += region_faults(place, "copy", (region,), known)
        if region in (each for each, _ in dataset.copies[:at]):
            out.append(Fault(place, f"copy: region {region!r} is named twice"))
        if dataset.stays and region not in dataset.stays:
            out.append(
                Fault(
                    place,
                    f"copy: {dataset.name!r} stays in {', '.join(dataset.stays)}, and a copy "
                    f"stands in {region!r}",
                    (*path, "stays"),
                )
            )
        if behind_us > MAX_DURATION_US:
            out.append(Fault(place, f"copy: behind by more than {format_seconds(MAX_DURATION_US)}"))
    return out + region_faults((*path, "stays"), "stays", dataset.stays, known)


# -- all of them together


def _uses(federation: Federation, known: ValidationContext) -> list[Fault]:
    out: list[Fault] = []
    names = [each.name for each in federation.specs]
    if len(federation.uses) > MAX_CLASSES_WITH_SPEC:
        out.append(Fault((), f"class: more than {MAX_CLASSES_WITH_SPEC} with a spec"))
    for task_class, name in federation.uses:
        path: Path = ("class", task_class)
        out += name_faults(path, "class", task_class)
        spec = federation.specs_by_name.get(name)
        if spec is None:
            out.append(
                Fault(
                    path, f"class: no such federation: {name[:60]!r}{name_suggestion(name, names)}"
                )
            )
            continue
        why_not = effect_conflict(spec, known.effect_by_class.get(task_class, ""), known.lease_us)
        if why_not:
            out.append(
                Fault(
                    path,
                    f"class: {task_class!r} must not start twice, and federation {name!r} {why_not}",
                    (
                        "federation",
                        names.index(name),
                        "back" if "returns" in why_not else "failover",
                    ),
                )
            )
    return out
