"""Validation of a single spec: its regions, the data that it reads, its failover, its return; no I/O."""

from __future__ import annotations

from collections import Counter

from wingbarrow.decide.federation.encoding import MAX_CORES, MAX_DURATION_US, MAX_MIB
from wingbarrow.decide.federation.failover_capacity import home_regions
from wingbarrow.decide.federation.faults import (
    Fault,
    Path,
    ValidationContext,
    format_seconds,
    name_faults,
    name_suggestion,
    region_faults,
)
from wingbarrow.decide.federation.spec import (
    MAX_DATASETS_PER_SPEC,
    Failover,
    Federation,
    Need,
    Spec,
    allowed_regions,
)

SECOND = 1_000_000


class SpecChecker:
    """Collects the faults of one spec, given the data sets and the settings."""

    def __init__(
        self, path: Path, spec: Spec, federation: Federation, known: ValidationContext
    ) -> None:
        self.path, self.spec, self.federation = path, spec, federation
        self.datasets_by_name, self.known = federation.datasets_by_name, known
        self.found: list[Fault] = []

    def add(self, part: str, message: str, *more: int | str, related_path: Path = ()) -> None:
        """Add a fault of a part of the spec ("": of the whole); `more` continues the path within the part."""
        path = (*self.path, part, *more) if part else self.path
        self.found.append(Fault(path, f"{part or 'federation'}: {message}", related_path))

    def faults(self) -> list[Fault]:
        """Return all faults of the spec."""
        spec = self.spec
        self.found += name_faults(self.path, "federation", spec.name)
        if not self.known.regions:
            self.add(
                "", f"{spec.name!r} chooses among regions, and `agree` names none that has machines"
            )
            return self.found
        self._check_regions()
        if not spec.lower < spec.upper:
            self.add("over", f"lower={spec.lower} is not below upper={spec.upper}")
        is_data_known = self._check_data()
        if spec.failover is not None:
            self._check_failover(spec.failover, is_data_known)
        self._check_return()
        return self.found

    def _check_regions(self) -> None:
        spec = self.spec
        self._check_order("prefer", spec.regions)
        self.found += region_faults(
            (*self.path, "prefer"), "prefer", tuple(dict.fromkeys(spec.regions)), self.known
        )
        self.found += region_faults((*self.path, "forbid"), "forbid", spec.forbidden, self.known)
        for region in spec.forbidden:
            if region in spec.regions:
                self.add(
                    "forbid",
                    f"region {region!r} is both allowed and forbidden",
                    related_path=(*self.path, "prefer"),
                )
        if not set(spec.regions) - set(spec.forbidden):
            self.add("forbid" if spec.forbidden else "", "no region is left")

    def _check_order(self, part: str, names: tuple[str, ...], *more: str) -> None:
        """Add a fault where an order names a region twice, and so puts it before itself."""
        for at, name in enumerate(names):
            if name in names[:at]:
                cycle = " before ".join(repr(each) for each in names[names.index(name) : at + 1])
                self.add(part, f"an order in a circle: {cycle}", *more)
                return

    def _check_data(self) -> bool:
        """Check the data that the spec reads; return whether all data sets are known, which later checks need."""
        spec, is_known = self.spec, True
        if len(spec.data) > MAX_DATASETS_PER_SPEC:
            self.add("reads", f"more than {MAX_DATASETS_PER_SPEC} data sets", MAX_DATASETS_PER_SPEC)
        for at, need in enumerate(spec.data):
            dataset = self.datasets_by_name.get(need.dataset)
            if need.dataset in (each.dataset for each in spec.data[:at]):
                self.add("reads", f"data set {need.dataset!r} is read twice", at)
            if need.mib > MAX_MIB or need.behind_us > MAX_DURATION_US:
                self.add(
                    "reads",
                    f"at most {MAX_MIB >> 30} Pi, and {format_seconds(MAX_DURATION_US)} behind",
                    at,
                )
            if dataset is None:
                self.add(
                    "reads",
                    f"no such data set: {need.dataset[:60]!r}{name_suggestion(need.dataset, self.datasets_by_name)}",
                    at,
                )
                is_known = False
                continue
            outside = [each for each in spec.regions if dataset.stays and each not in dataset.stays]
            if outside:
                self.add(
                    "reads",
                    f"{need.dataset!r} stays in {', '.join(dataset.stays)}, and the spec allows "
                    f"{', '.join(outside)}",
                    at,
                    related_path=(*self.path, "prefer"),
                )
            elif need.near == "required" and not any(
                self._why_missing(need, region) == "" for region in spec.regions
            ):
                why = "; ".join(
                    f"{region}: {self._why_missing(need, region)}" for region in spec.regions
                )
                self.add(
                    "reads",
                    f"required data {need.dataset!r} is nowhere where the spec allows ({why})",
                    at,
                )
        if (
            is_known
            and not allowed_regions(spec, self.federation)
            and not self.found
            and spec.regions
        ):
            self.add("reads", "no region has all the data that is required", 0)
        return is_known

    def _why_missing(self, need: Need, region: str) -> str:
        """Return why a region does not have the required data; "" where it does."""
        behind_us = dict(self.datasets_by_name[need.dataset].copies).get(region)
        if behind_us is None:
            return "no copy"
        if behind_us > need.behind_us:
            return f"{format_seconds(behind_us)} behind, {format_seconds(need.behind_us)} at most"
        return ""

    def _check_failover(self, over: Failover, is_data_known: bool) -> None:
        spec, known = self.spec, self.known
        if over.after_us < known.lease_us:
            self.add(
                "failover",
                f"after {format_seconds(over.after_us)} is shorter than the lease of "
                f"{format_seconds(known.lease_us)}: tasks of the lost region may still run under a valid lease",
            )
        if max(over.after_us, over.refusing_us) > MAX_DURATION_US:
            self.add("failover", f"{format_seconds(MAX_DURATION_US)} at most")
        if len(set(over.on)) < len(over.on):
            self.add("failover", "one thing is named twice")
        if "refusing" in over.on and over.refusing_us < SECOND:
            self.add("failover", 'on "refusing": for how long? refusing= of 1s or more is required')
        if over.refusing_us and "refusing" not in over.on:
            self.add("failover", 'refusing= is said, and it does not follow on "refusing"')
        if over.cores > MAX_CORES or over.mib > MAX_MIB:
            self.add("failover", f"at most {MAX_CORES} cores and {MAX_MIB >> 30} Pi of memory")
        self._check_order("failover", over.to, "to")
        for region in dict.fromkeys(over.to):
            self._check_target(region, over)
        if not is_data_known or self.found:
            return
        allowed = allowed_regions(spec, self.federation)
        for home in home_regions(spec, self.federation):
            if not set(spec.failover_targets(home)) & set(allowed):
                self.add(
                    "failover",
                    f"from {home!r} there is nowhere to go: allowed are {', '.join(allowed)}",
                    "to",
                )
                return
        placers = Counter(known.region_by_placer.values())
        for region in allowed:
            replicas = sum(placers[each] for each in allowed if each != region)
            if replicas < over.copies:
                self.add(
                    "failover",
                    f"copies={over.copies}, and outside {region!r} the regions that are allowed have "
                    f"{replicas} placer(s) that could hold a replica",
                )
                return

    def _check_target(self, region: str, over: Failover) -> None:
        spec = self.spec
        if region not in self.known.regions:
            self.found += region_faults(
                (*self.path, "failover", "to"), "failover", (region,), self.known
            )
            return
        for need in spec.data:
            dataset = self.datasets_by_name.get(need.dataset)
            if dataset is not None and dataset.stays and region not in dataset.stays:
                self.add(
                    "failover",
                    f"to {region!r}, and {need.dataset!r}, which it reads, stays in "
                    f"{', '.join(dataset.stays)}",
                    "to",
                )
                return
        if region in spec.forbidden or region not in spec.regions:
            how, part = (
                ("forbidden", "forbid") if region in spec.forbidden else ("not allowed", "prefer")
            )
            self.add(
                "failover", f"to {region!r}, which is {how}", "to", related_path=(*self.path, part)
            )
            return
        for need in spec.data:
            if (
                need.dataset in self.datasets_by_name
                and need.near == "required"
                and self._why_missing(need, region)
            ):
                self.add(
                    "failover",
                    f"to {region!r}, where required data {need.dataset!r} is not: "
                    f"{self._why_missing(need, region)}",
                    "to",
                )

    def _check_return(self) -> None:
        spec, back = self.spec, self.spec.back
        if back.when == "never":
            if back.stable_us:
                self.add("back", "after= is said, and it never returns")
            return
        if not spec.ranked or len(spec.regions) < 2:
            self.add("back", "nothing to go back to: it prefers no region to another")
        if back.when == "stable" and back.stable_us < max(self.known.lease_us, 1):
            self.add(
                "back",
                f'"stable" after {format_seconds(back.stable_us)} is shorter than the lease of '
                f"{format_seconds(self.known.lease_us)}: tasks would move back and forth with a flapping region",
            )
        if back.stable_us > MAX_DURATION_US:
            self.add("back", f"{format_seconds(MAX_DURATION_US)} at most")
        to = spec.failover.to if spec.failover is not None else ()
        rank = {region: at for at, region in enumerate(spec.regions)}
        for at, region in enumerate(to):
            # A conflict needs a third region, from which both of these can be targets.
            later = [
                each
                for each in to[at + 1 :]
                if rank.get(each, at) < rank.get(region, at) and set(spec.regions) - {each, region}
            ]
            if later:
                self.add(
                    "failover",
                    f"orders in a circle: it goes over to {region!r} before {later[0]!r}, and back to "
                    f"{later[0]!r}, which it prefers",
                    "to",
                    related_path=(*self.path, "prefer"),
                )
                return
