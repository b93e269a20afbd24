"""Validation of a whole federation: all faults, each with its path and reason; no I/O.

The bounds that any proposed version must keep are in `encoding.bounds_violations`; what is checked for each Job is in
`faults.effect_conflict`.
"""

from __future__ import annotations

from wingbarrow.decide.federation.check_interactions import capacity_faults, failover_cycles
from wingbarrow.decide.federation.check_spec import SpecChecker
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
    """Return all faults of a federation.

    Interactions between specs, and then the encoded size, are checked only if nothing else is wrong.
    """
    out: list[Fault] = []
    for kind, limit, names in (
        ("federation", MAX_SPECS, [each.name for each in federation.specs]),
        ("dataset", MAX_DATASETS, [each.name for each in federation.datasets]),
        ("room", MAX_REGIONS, [each[0] for each in known.capacities]),
    ):
        if len(names) > limit:
            out.append(Fault((kind, limit), f"{kind}: more than {limit}"))
        first_index: dict[str, int] = {}
        for at, name in enumerate(names):
            if name in first_index:
                out.append(
                    Fault(
                        (kind, at), f"{kind} {name!r} was given before", (kind, first_index[name])
                    )
                )
            first_index.setdefault(name, at)
    if len(known.regions) > MAX_REGIONS:
        out.append(Fault((), f"agree: more than {MAX_REGIONS} regions"))
    for region in known.regions:
        if not NAME_PATTERN.fullmatch(region):
            out.append(Fault((), f"agree: region {region[:60]!r}: expected {NAME_RULE}"))
    for at, dataset in enumerate(federation.datasets):
        out += _dataset_faults(("dataset", at), dataset, known)
    for at, spec in enumerate(federation.specs):
        out += SpecChecker(("federation", at), spec, federation, known).faults()
    for at, (region, _, _) in enumerate(known.capacities):
        out += region_faults(("room", at), "room", (region,), known)
    out += _class_faults(federation, known)
    if not out:
        out = failover_cycles(federation) + capacity_faults(federation, known)
    if not out:
        size = len(encode(federation))
        if size > MAX_FEDERATION_CHARS:
            out.append(
                Fault(
                    (),
                    f"federation: specs and data sets are {size} characters in their encoded form; at most "
                    f"{MAX_FEDERATION_CHARS} are allowed: use shorter names or list fewer copies",
                )
            )
    return out


# -- data sets


def _dataset_faults(path: Path, dataset: DataSet, known: ValidationContext) -> list[Fault]:
    out = name_faults(path, "dataset", dataset.name)
    if not dataset.copies:
        out.append(Fault(path, f"dataset {dataset.name!r}: no copy is told of"))
    for at, (region, behind_us) in enumerate(dataset.copies):
        copy_path = (*path, "copy", at)
        out += region_faults(copy_path, "copy", (region,), known)
        if region in (each for each, _ in dataset.copies[:at]):
            out.append(Fault(copy_path, f"copy: region {region!r} is named twice"))
        if dataset.stays and region not in dataset.stays:
            out.append(
                Fault(
                    copy_path,
                    f"copy: {dataset.name!r} stays in {', '.join(dataset.stays)}, and a copy "
                    f"stands in {region!r}",
                    (*path, "stays"),
                )
            )
        if behind_us > MAX_DURATION_US:
            out.append(
                Fault(copy_path, f"copy: behind by more than {format_seconds(MAX_DURATION_US)}")
            )
    return out + region_faults((*path, "stays"), "stays", dataset.stays, known)


# -- specs of classes


def _class_faults(federation: Federation, known: ValidationContext) -> list[Fault]:
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
        conflict = effect_conflict(spec, known.effect_by_class.get(task_class, ""), known.lease_us)
        if conflict:
            out.append(
                Fault(
                    path,
                    f"class: {task_class!r} must not start twice, and federation {name!r} {conflict}",
                    (
                        "federation",
                        names.index(name),
                        "back" if "returns" in conflict else "failover",
                    ),
                )
            )
    return out
