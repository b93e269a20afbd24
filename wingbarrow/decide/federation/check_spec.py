"""One spec's faults by itself: its regions, the data that it reads, its failover, its return; no I/O."""

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


class SpecFaults:
    """One spec's faults by itself, beside the data sets and what is known."""

    def __init__(
        self, path: Path, spec: Spec, federation: Federation, known: ValidationContext
    ) -> None:
        self.path, self.spec, self.federation = path, spec, federation
        self.datasets_by_name, self.known = federation.datasets_by_name, known
        self.out: list[Fault] = []

    def bad(self, part: str, words: str, *more: int | str, other: Path = ()) -> None:
        """Keep one."""
        path = (*self.path, part, *more) if part else self.path
        self.out.append(Fault(path, f"{part or 'federation'}: {words}", other))

    def faults(self) -> list[Fault]:
        """All of them."""
        spec = self.spec
        self.out += name_faults(self.path, "federation", spec.name)
        if not self.known.regions:
            self.bad(
                "", f"{spec.name!r} chooses among regions, and `agree` names none that has machines"
            )
            return self.out
        self._places()
        if not spec.lower < spec.upper:
            self.bad("over", f"lower={spec.lower} is not below upper={spec.upper}")
        data = self._data()
        if spec.failover is not None:
            self._failover(spec.failover, data)
        self._back()
        return self.out

    def _places(self) -> None:
        spec = self.spec
        self._circle("prefer", spec.regions)
        self.out += region_faults(
            (*self.path, "prefer"), "prefer", tuple(dict.fromkeys(spec.regions)), self.known
        )
        self.out += region_faults((*self.path, "forbid"), "forbid", spec.forbidden, self.known)
        for region in spec.forbidden:
            if region in spec.regions:
                self.bad(
                    "forbid",
                    f"region {region!r} is both allowed and forbidden",
                    other=(*self.path, "prefer"),
                )
        if not set(spec.regions) - set(spec.forbidden):
            self.bad("forbid" if spec.forbidden else "", "no region is left")

    def _circle(self, part: str, names: tuple[str, ...], *more: str) -> None:
        """An order that names a region twice has it before itself."""
        for at, name in enumerate(names):
            if name in names[:at]:
                way = " before ".join(repr(each) for each in names[names.index(name) : at + 1])
                self.bad(part, f"an order in a circle: {way}", *more)
                return

    def _data(self) -> bool:
        """Whether what it reads is known, so that regions can be weighed by it."""
        spec, good = self.spec, True
        if len(spec.data) > MAX_DATASETS_PER_SPEC:
            self.bad("reads", f"more than {MAX_DATASETS_PER_SPEC} data sets", MAX_DATASETS_PER_SPEC)
        for at, need in enumerate(spec.data):
            dataset = self.datasets_by_name.get(need.dataset)
            if need.dataset in (each.dataset for each in spec.data[:at]):
                self.bad("reads", f"data set {need.dataset!r} is read twice", at)
            if need.mib > MAX_MIB or need.behind_us > MAX_DURATION_US:
                self.bad(
                    "reads",
                    f"at most {MAX_MIB >> 30} Pi, and {format_seconds(MAX_DURATION_US)} behind",
                    at,
                )
            if dataset is None:
                self.bad(
                    "reads",
                    f"no such data set: {need.dataset[:60]!r}{name_suggestion(need.dataset, self.datasets_by_name)}",
                    at,
                )
                good = False
                continue
            out = [each for each in spec.regions if dataset.stays and each not in dataset.stays]
            if out:
                self.bad(
                    "reads",
                    f"{need.dataset!r} stays in {', '.join(dataset.stays)}, and the spec allows "
                    f"{', '.join(out)}",
                    at,
                    other=(*self.path, "prefer"),
                )
            elif need.near == "required" and not any(
                self._lacks(need, region) == "" for region in spec.regions
            ):
                why = "; ".join(f"{region}: {self._lacks(need, region)}" for region in spec.regions)
                self.bad(
                    "reads",
                    f"required data {need.dataset!r} is nowhere where the spec allows ({why})",
                    at,
                )
        if good and not allowed_regions(spec, self.federation) and not self.out and spec.regions:
            self.bad("reads", "no region has all the data that is required", 0)
        return good

    def _lacks(self, need: Need, region: str) -> str:
        """Why a region does not do for required data; "" where it does."""
        behind_us = dict(self.datasets_by_name[need.dataset].copies).get(region)
        if behind_us is None:
            return "no copy"
        if behind_us > need.behind_us:
            return f"{format_seconds(behind_us)} behind, {format_seconds(need.behind_us)} at most"
        return ""

    def _failover(self, over: Failover, data: bool) -> None:
        spec, known = self.spec, self.known
        if over.after_us < known.lease_us:
            self.bad(
                "failover",
                f"after {format_seconds(over.after_us)} is shorter than the lease of "
                f"{format_seconds(known.lease_us)}: what is lost may still be running by right",
            )
        if max(over.after_us, over.refusing_us) > MAX_DURATION_US:
            self.bad("failover", f"{format_seconds(MAX_DURATION_US)} at most")
        if len(set(over.on)) < len(over.on):
            self.bad("failover", "one thing is named twice")
        if "refusing" in over.on and over.refusing_us < SECOND:
            self.bad("failover", 'on "refusing": for how long, refusing="1s" or more?')
        if over.refusing_us and "refusing" not in over.on:
            self.bad("failover", 'refusing= is said, and it does not follow on "refusing"')
        if over.cores > MAX_CORES or over.mib > MAX_MIB:
            self.bad("failover", f"at most {MAX_CORES} cores and {MAX_MIB >> 30} Pi")
        self._circle("failover", over.to, "to")
        for region in dict.fromkeys(over.to):
            self._target(region, over)
        if not data or self.out:
            return
        can = allowed_regions(spec, self.federation)
        for home in home_regions(spec, self.federation):
            if not set(spec.failover_targets(home)) & set(can):
                self.bad(
                    "failover",
                    f"from {home!r} there is nowhere to go: allowed are {', '.join(can)}",
                    "to",
                )
                return
        there = Counter(known.region_by_placer.values())
        for region in can:
            keepers = sum(there[each] for each in can if each != region)
            if keepers < over.copies:
                self.bad(
                    "failover",
                    f"copies={over.copies}, and outside {region!r} the regions that are allowed have "
                    f"{keepers} placer(s) that could keep one",
                )
                return

    def _target(self, region: str, over: Failover) -> None:
        spec = self.spec
        if region not in self.known.regions:
            self.out += region_faults(
                (*self.path, "failover", "to"), "failover", (region,), self.known
            )
            return
        for need in spec.data:
            dataset = self.datasets_by_name.get(need.dataset)
            if dataset is not None and dataset.stays and region not in dataset.stays:
                self.bad(
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
            self.bad("failover", f"to {region!r}, which is {how}", "to", other=(*self.path, part))
            return
        for need in spec.data:
            if (
                need.dataset in self.datasets_by_name
                and need.near == "required"
                and self._lacks(need, region)
            ):
                self.bad(
                    "failover",
                    f"to {region!r}, where required data {need.dataset!r} is not: "
                    f"{self._lacks(need, region)}",
                    "to",
                )

    def _back(self) -> None:
        spec, back = self.spec, self.spec.back
        if back.when == "never":
            if back.stable_us:
                self.bad("back", "after= is said, and it never returns")
            return
        if not spec.ranked or len(spec.regions) < 2:
            self.bad("back", "nothing to go back to: it prefers no region to another")
        if back.when == "stable" and back.stable_us < max(self.known.lease_us, 1):
            self.bad(
                "back",
                f'"stable" after {format_seconds(back.stable_us)} is shorter than the lease of '
                f"{format_seconds(self.known.lease_us)}: a region that flaps would have its work to and fro",
            )
        if back.stable_us > MAX_DURATION_US:
            self.bad("back", f"{format_seconds(MAX_DURATION_US)} at most")
        to = spec.failover.to if spec.failover is not None else ()
        rank = {region: at for at, region in enumerate(spec.regions)}
        for at, region in enumerate(to):
            later = [
                each
                for each in to[at + 1 :]
                if rank.get(each, at) < rank.get(region, at) and set(spec.regions) - {each, region}
            ]  # from a third region both are to be had
            if later:
                self.bad(
                    "failover",
                    f"orders in a circle: it goes over to {region!r} before {later[0]!r}, and back to "
                    f"{later[0]!r}, which it prefers",
                    "to",
                    other=(*self.path, "prefer"),
                )
                return
