"""The choice of a region for a task, from its spec and the status of the regions; a refusal has a reason.

Among the allowed regions the nearest one is chosen: the one with the wanted data, then the preferred one. Tasks spill
over before it is full, with a probability that rises linearly from 0 at the spec's `lower` load of the nearest region
to 1 at its `upper`, and only to a region that is itself below `lower`, so that two busy regions never exchange tasks.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from wingbarrow.decide.federation.spec import Federation, Spec, allowed_regions

MAX_STATUS_AGE_US = 15_000_000  # an older status counts as unknown
MAX_REASON_CHARS = 400


@dataclass(frozen=True, slots=True)
class RegionStatus:
    """What is known of a region, and how old that is. Free capacity is what no task uses or has been requested for."""

    region: str
    age_us: int
    load: float  # requested share of the total capacity; may exceed 1
    free_cores: float
    free_memory: float  # GiB
    lost: bool = False
    closed: bool = False  # admits no new tasks
    refusing_us: int = 0  # for how long it has been rejecting tasks; 0: it is not
    stable_us: int = 0  # for how long its placers have reported without a gap
    placers: tuple[str, ...] = ()
    reserved_cores: float = 0.0  # of the free cores, for the loss of other regions
    reserved_memory: float = 0.0
    # Present lag of the region's copies, (data set, lag), where reported.
    data_lag_us: tuple[tuple[str, int], ...] = ()


@dataclass(frozen=True, slots=True)
class RegionRequest:
    """A task that needs a region.

    purpose: new, failover or back (return to a preferred region).
    origin: the region of the request, the lost region, or the present region, by purpose.
    failover_usage: what failovers of this spec use in regions already, (region, cores, GiB); its share covers that too.
    """

    cores: float
    memory: float
    effect: str
    origin: str
    purpose: str = "new"
    failover_usage: tuple[tuple[str, float, float], ...] = ()


@dataclass(frozen=True, slots=True)
class RegionChoice:
    """The chosen region, or "" and the reason why there is none."""

    region: str
    reason: str = ""


def failover_due(spec: Spec, on: str, lasted_us: int) -> bool:
    """Whether a spec's failover is due on a cause that has lasted this long."""
    over = spec.failover
    if over is None or on not in over.on:
        return False
    return lasted_us >= over.after_us + (over.refusing_us if on == "refusing" else 0)


def choose_region(
    spec: Spec,
    federation: Federation,
    request: RegionRequest,
    statuses: Mapping[str, RegionStatus],
    draw: float,
) -> RegionChoice:
    """Choose a region; `draw` is a random number from 0 to 1, which decides on spilling over.

    A region without a recent status is chosen only if it is the origin. A task that may return stays in its origin
    unless a preferred region is stable and has capacity; the reason then says why it stays.
    """
    return _RegionChooser(spec, federation, request, statuses).choice(draw)


class _RegionChooser:
    """Chooses a region for one request; `_why_not` collects why regions were not chosen."""

    def __init__(
        self,
        spec: Spec,
        federation: Federation,
        request: RegionRequest,
        statuses: Mapping[str, RegionStatus],
    ) -> None:
        self._spec, self._federation, self._request = spec, federation, request
        self._statuses = {
            region: each
            for region, each in statuses.items()
            if each.age_us <= MAX_STATUS_AGE_US or each.lost
        }
        self._why_not: dict[str, str] = {}

    def choice(self, draw: float) -> RegionChoice:
        """Return the choice."""
        purpose = self._request.purpose
        candidates = [
            region
            for region in allowed_regions(self._spec, self._federation)
            if self._is_usable(region)
        ]
        if purpose == "failover":
            return self._failover(candidates)
        candidates.sort(key=self._distance)
        return self._return(candidates) if purpose == "back" else self._initial(candidates, draw)

    # -- properties of one region

    def _is_usable(self, region: str) -> bool:
        """Whether the task may run there now; otherwise the reason is recorded."""
        status, is_origin = self._statuses.get(region), region == self._request.origin
        if status is None:
            if not is_origin or self._request.purpose == "failover":
                self._why_not[region] = "nothing is known of it"
                return False
        elif status.lost and not (is_origin and self._request.purpose == "new"):
            self._why_not[region] = "lost"
            return False
        elif status.closed:
            self._why_not[region] = "closed for work"
            return False
        for need in self._spec.data:
            behind_us = self._behind_us(region, need.dataset)
            if need.near == "required" and (behind_us is None or behind_us > need.behind_us):
                self._why_not[region] = (
                    f"its copy of {need.dataset!r} is {(behind_us or 0) / 1e6:g} s behind"
                )
                return False
        return True

    def _behind_us(self, region: str, dataset: str) -> int | None:
        """Return the lag of a copy: the larger of the stated and the reported one; None where there is no copy."""
        known = self._federation.datasets_by_name.get(dataset)
        stated = dict(known.copies).get(region) if known is not None else None
        if stated is None:
            return None
        status = self._statuses.get(region)
        return (
            max(stated, dict(status.data_lag_us).get(dataset, 0)) if status is not None else stated
        )

    def _distance(self, region: str) -> tuple[int, int]:
        """Return a region's distance: MiB of wanted data that are not there, then its rank in the preference order."""
        missing = 0
        for need in self._spec.data:
            behind_us = self._behind_us(region, need.dataset)
            if need.near == "wanted" and (behind_us is None or behind_us > need.behind_us):
                missing += max(1, need.mib)
        return missing, self._spec.preference_order(self._request.origin).index(region)

    def _load(self, region: str) -> float:
        """Return a region's load in percent; at least 100 if the task does not fit into its unreserved capacity."""
        status = self._statuses.get(region)
        if status is None:
            return 0.0  # only the origin, where admission checks the capacity itself
        if (
            self._request.cores > status.free_cores - status.reserved_cores
            or self._request.memory > status.free_memory - status.reserved_memory
        ):
            self._why_not[region] = "no room"
            return max(100.0, status.load * 100)
        return status.load * 100

    def _rejects(self, region: str) -> bool:
        status = self._statuses.get(region)
        if status is not None and status.refusing_us > 0:
            self._why_not[region] = f"it has turned work away for {status.refusing_us / 1e6:g} s"
            return True
        return False

    # -- the three purposes

    def _initial(self, candidates: list[str], draw: float) -> RegionChoice:
        spec, origin = self._spec, self._request.origin
        accepting = [region for region in candidates if not self._rejects(region)]
        loads = {region: self._load(region) for region in accepting}
        if accepting:
            nearest = accepting[0]
            spill_probability = (loads[nearest] - spec.lower) / (spec.upper - spec.lower)
            if draw >= spill_probability:
                return RegionChoice(nearest)
            others = [region for region in accepting[1:] if loads[region] < spec.lower]
            if others:
                return RegionChoice(others[0], f"{nearest} is at {loads[nearest]:.0f} of 100")
            # No region is below its lower threshold: take the nearest one with enough capacity.
            fitting = [region for region in accepting if loads[region] < 100]
            if fitting:
                return RegionChoice(fitting[0])
        if origin in candidates:
            return RegionChoice(origin)  # its admission and the owner's patience decide
        return RegionChoice("", self._reason())

    def _failover(self, candidates: list[str]) -> RegionChoice:
        spec, over = self._spec, self._spec.failover
        if over is None or not over.on:
            return RegionChoice("", f"spec {spec.name!r} has no failover")
        usage = {region: (cores, memory) for region, cores, memory in self._request.failover_usage}
        for region in spec.failover_targets(self._request.origin):
            if region not in candidates or self._rejects(region):
                continue
            status, (cores, memory) = self._statuses[region], usage.get(region, (0.0, 0.0))
            # The share applies to the free capacity plus what this spec's failovers use there already.
            if (
                self._request.cores <= status.free_cores
                and self._request.memory <= status.free_memory
                and (cores + self._request.cores) * 100 <= (status.free_cores + cores) * over.room
                and (memory + self._request.memory) * 100
                <= (status.free_memory + memory) * over.room
            ):
                return RegionChoice(region)
            self._why_not[region] = f"no room within {over.room}% of what it has free"
        return RegionChoice("", self._reason())

    def _return(self, candidates: list[str]) -> RegionChoice:
        spec, origin = self._spec, self._request.origin
        if spec.back.when == "never" or origin not in spec.regions:
            return RegionChoice(
                origin,
                "it never returns" if spec.back.when == "never" else "the spec does not know of it",
            )
        if spec.back.when == "stable" and self._request.effect == "unsafe":
            return RegionChoice(origin, "what must not start twice is not moved")
        distance = self._distance(origin)
        for region in candidates:
            status = self._statuses.get(region)
            if (
                region == origin
                or status is None
                or self._distance(region) >= distance
                or self._rejects(region)
            ):
                continue
            if status.stable_us < spec.back.stable_us:
                self._why_not[region] = f"well for {status.stable_us / 1e6:g} s only"
            elif self._load(region) >= spec.lower:
                self._why_not.setdefault(region, f"at {status.load * 100:.0f} of 100")
            else:
                return RegionChoice(region)
        return RegionChoice(origin, self._reason())

    def _reason(self) -> str:
        spec = self._spec
        allowed = allowed_regions(spec, self._federation)
        if not allowed:
            return f"spec {spec.name!r} allows no region" + (
                f" by its data: {', '.join(need.dataset for need in spec.data)}"
                if spec.regions
                else ""
            )
        reasons = [
            f"{region}: {self._why_not.get(region, 'not a target')}"
            for region in allowed
            if region != self._request.origin or self._request.purpose == "new"
        ]
        return f"of {', '.join(allowed)} none will do ({'; '.join(reasons)})"[:MAX_REASON_CHARS]
