"""A whole federation's faults, each with its place and its reason; no I/O.

What must hold for any version by itself, whoever proposes it, is told by `form.bounds`, and at a Job by `faults.unfit`.
"""

from __future__ import annotations

from wingbarrow.decide.federation.check_interactions import circles, rooms
from wingbarrow.decide.federation.check_spec import SpecFaults
from wingbarrow.decide.federation.encoding import (
    MAX_AFTER_US,
    MAX_FEDERATION,
    MAX_USES,
    NAME,
    NAME_WORDS,
    write,
)
from wingbarrow.decide.federation.faults import (
    Fault,
    Known,
    Path,
    name_faults,
    near,
    region_faults,
    seconds,
    unfit,
)
from wingbarrow.decide.federation.spec import (
    MAX_DATASETS,
    MAX_REGIONS,
    MAX_SPECS,
    DataSet,
    Federation,
)

__all__ = ["Fault", "Known", "Path", "check", "unfit"]


def check(federation: Federation, known: Known) -> list[Fault]:
    """Everything that is wrong with a whole federation."""
    out: list[Fault] = []
    for kind, most, names in (
        ("federation", MAX_SPECS, [each.name for each in federation.specs]),
        ("dataset", MAX_DATASETS, [each.name for each in federation.datasets]),
        ("room", MAX_REGIONS, [each[0] for each in known.rooms]),
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
        if not NAME.fullmatch(region):
            out.append(Fault((), f"agree: region {region[:60]!r}: {NAME_WORDS} are wanted"))
    for at, dataset in enumerate(federation.datasets):
        out += _dataset(("dataset", at), dataset, known)
    for at, spec in enumerate(federation.specs):
        out += SpecFaults(("federation", at), spec, federation, known).faults()
    for at, (region, _, _) in enumerate(known.rooms):
        out += region_faults(("room", at), "room", (region,), known)
    out += _uses(federation, known)
    if not out:
        out = circles(federation) + rooms(federation, known)
    if not out:
        size = len(write(federation))
        if size > MAX_FEDERATION:
            out.append(
                Fault(
                    (),
                    f"federation: specs and data sets are {size} characters as placers agree on them; "
                    f"{MAX_FEDERATION} are the most: shorter names, fewer copies told",
                )
            )
    return out


# -- data sets


def _dataset(path: Path, dataset: DataSet, known: Known) -> list[Fault]:
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
        if behind_us > MAX_AFTER_US:
            out.append(Fault(place, f"copy: behind by more than {seconds(MAX_AFTER_US)}"))
    return out + region_faults((*path, "stays"), "stays", dataset.stays, known)


# -- all of them together


def _uses(federation: Federation, known: Known) -> list[Fault]:
    out: list[Fault] = []
    names = [each.name for each in federation.specs]
    if len(federation.uses) > MAX_USES:
        out.append(Fault((), f"class: more than {MAX_USES} with a spec"))
    for task_class, name in federation.uses:
        path: Path = ("class", task_class)
        out += name_faults(path, "class", task_class)
        spec = federation.specs_by_name.get(name)
        if spec is None:
            out.append(Fault(path, f"class: no such federation: {name[:60]!r}{near(name, names)}"))
            continue
        why_not = unfit(spec, known.effects.get(task_class, ""), known.lease_us)
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
