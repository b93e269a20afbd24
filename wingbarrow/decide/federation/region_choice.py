"""The choice of a region: a spec and what is known of regions -> a region, or a refusal with its reason.

Within what the spec allows the nearer region is kept: the one where the wanted data are, then the preferred one. Work
goes over early, with a chance that rises linearly from none at the spec's `lower` load of the nearer region to all at
its `upper`, and only to a region that is itself below `lower`: two that are both busy pass nothing to each other.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from wingbarrow.decide.federation.spec import Federation, Spec, allowed_regions

MAX_STATUS_AGE_US = 15_000_000  # news older than this counts as not known
MAX_REASON_CHARS = 400


@dataclass(frozen=True, slots=True)
class RegionStatus:
    """What is known of a region, and how old that is. Room is what nobody has asked for."""

    region: str
    age_us: int
    load: float  # asked for, of all there is: 0 to 1 and above
    free_cores: float
    free_memory: float
    lost: bool = False
    closed: bool = False  # for work
    refusing_us: int = 0  # for how long it has turned work away
    stable_us: int = 0  # for how long it has been well
    placers: tuple[str, ...] = ()
    reserved_cores: float = 0.0  # of its room, what it holds back for the loss of others
    reserved_memory: float = 0.0
    data_lag_us: tuple[
        tuple[str, int], ...
    ] = ()  # how far its copies of data sets are behind now, where it is told


@dataclass(frozen=True, slots=True)
class RegionRequest:
    """What is to run: `why` is new, failover or back; `here` where it is asked for, was, or is now.

    `taken`: what this spec's failover has put into regions already, (region, cores, GiB), for its share of room.
    """

    cores: float
    memory: float
    effect: str
    origin: str
    purpose: str = "new"
    failover_usage: tuple[tuple[str, float, float], ...] = ()


@dataclass(frozen=True, slots=True)
class RegionChoice:
    """A region, or "" and why none."""

    region: str
    reason: str = ""


def failover_due(spec: Spec, on: str, lasted_us: int) -> bool:
    """Whether a failover on something follows by now, which has lasted for so long."""
    over = spec.failover
    if over is None or on not in over.on:
        return False
    return lasted_us >= over.after_us + (over.refusing_us if on == "refusing" else 0)


def choose_region(
    spec: Spec,
    federation: Federation,
    wanted: RegionRequest,
    news: Mapping[str, RegionStatus],
    draw: float,
) -> RegionChoice:
    """Where it goes; `draw` is from 0 to 1, the caller's chance.

    A region of which nothing is known, or nothing young enough, is chosen only by who stands in it. What goes back
    stays where it is ("here") unless a region that it prefers is well; the reason then says why it stays.
    """
    return _Choosing(spec, federation, wanted, news).choice(draw)


class _Choosing:
    """One choice."""

    def __init__(
        self,
        spec: Spec,
        federation: Federation,
        wanted: RegionRequest,
        news: Mapping[str, RegionStatus],
    ) -> None:
        self._spec, self._federation, self._wanted = spec, federation, wanted
        self._news = {
            region: each
            for region, each in news.items()
            if each.age_us <= MAX_STATUS_AGE_US or each.lost
        }
        self._why_not: dict[str, str] = {}

    def choice(self, draw: float) -> RegionChoice:
        """Where it goes."""
        why = self._wanted.purpose
        able = [
            region for region in allowed_regions(self._spec, self._federation) if self._able(region)
        ]
        if why == "failover":
            return self._over(able)
        able.sort(key=self._distance)
        return self._back(able) if why == "back" else self._new(able, draw)

    # -- what a region is good for

    def _able(self, region: str) -> bool:
        """Whether work may be there now; else why not is kept."""
        news, here = self._news.get(region), region == self._wanted.origin
        if news is None:
            if not here or self._wanted.purpose == "failover":
                self._why_not[region] = "nothing is known of it"
                return False
        elif news.lost and not (here and self._wanted.purpose == "new"):
            self._why_not[region] = "lost"
            return False
        elif news.closed:
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
        """How far behind a copy is: as stated, or further where that is told; None where there is none."""
        held = self._federation.datasets_by_name.get(dataset)
        stated = dict(held.copies).get(region) if held is not None else None
        if stated is None:
            return None
        news = self._news.get(region)
        return max(stated, dict(news.data_lag_us).get(dataset, 0)) if news is not None else stated

    def _distance(self, region: str) -> tuple[int, int]:
        """How far it is: MiB of wanted data that are not there, then its place in the order."""
        missing = 0
        for need in self._spec.data:
            behind_us = self._behind_us(region, need.dataset)
            if need.near == "wanted" and (behind_us is None or behind_us > need.behind_us):
                missing += max(1, need.mib)
        return missing, self._spec.preference_order(self._wanted.origin).index(region)

    def _load(self, region: str) -> float:
        """In parts of 100; 100 and more where there is no room for this beside what is held back."""
        news = self._news.get(region)
        if news is None:
            return 0.0  # where the caller stands: its own door knows better
        if (
            self._wanted.cores > news.free_cores - news.reserved_cores
            or self._wanted.memory > news.free_memory - news.reserved_memory
        ):
            self._why_not[region] = "no room"
            return max(100.0, news.load * 100)
        return news.load * 100

    def _refuses(self, region: str) -> bool:
        news = self._news.get(region)
        if news is not None and news.refusing_us > 0:
            self._why_not[region] = f"it has turned work away for {news.refusing_us / 1e6:g} s"
            return True
        return False

    # -- the three questions

    def _new(self, able: list[str], draw: float) -> RegionChoice:
        spec, here = self._spec, self._wanted.origin
        open_ones = [region for region in able if not self._refuses(region)]
        loads = {region: self._load(region) for region in open_ones}
        if open_ones:
            nearest = open_ones[0]
            chance = (loads[nearest] - spec.lower) / (spec.upper - spec.lower)
            if draw >= chance:
                return RegionChoice(nearest)
            others = [region for region in open_ones[1:] if loads[region] < spec.lower]
            if others:
                return RegionChoice(others[0], f"{nearest} is at {loads[nearest]:.0f} of 100")
            # Nobody has room to spare: it stays, and where it does not fit, it goes where it does.
            fitting = [region for region in open_ones if loads[region] < 100]
            if fitting:
                return RegionChoice(fitting[0])
        if here in able:
            return RegionChoice(here)  # its own door, and its owner's patience, say the rest
        return RegionChoice("", self._reason())

    def _over(self, able: list[str]) -> RegionChoice:
        spec, over = self._spec, self._spec.failover
        if over is None or not over.on:
            return RegionChoice("", f"spec {spec.name!r} has no failover")
        taken = {region: (cores, memory) for region, cores, memory in self._wanted.failover_usage}
        for region in spec.failover_targets(self._wanted.origin):
            if region not in able or self._refuses(region):
                continue
            news, (cores, memory) = self._news[region], taken.get(region, (0.0, 0.0))
            # Of what is free its failover takes its share at most, what it has taken already included.
            if (
                self._wanted.cores <= news.free_cores
                and self._wanted.memory <= news.free_memory
                and (cores + self._wanted.cores) * 100 <= (news.free_cores + cores) * over.room
                and (memory + self._wanted.memory) * 100 <= (news.free_memory + memory) * over.room
            ):
                return RegionChoice(region)
            self._why_not[region] = f"no room within {over.room}% of what it has free"
        return RegionChoice("", self._reason())

    def _back(self, able: list[str]) -> RegionChoice:
        spec, here = self._spec, self._wanted.origin
        if spec.back.when == "never" or here not in spec.regions:
            return RegionChoice(
                here,
                "it never returns" if spec.back.when == "never" else "the spec does not know of it",
            )
        if spec.back.when == "stable" and self._wanted.effect == "unsafe":
            return RegionChoice(here, "what must not start twice is not moved")
        now = self._distance(here)
        for region in able:
            news = self._news.get(region)
            if (
                region == here
                or news is None
                or self._distance(region) >= now
                or self._refuses(region)
            ):
                continue
            if news.stable_us < spec.back.stable_us:
                self._why_not[region] = f"well for {news.stable_us / 1e6:g} s only"
            elif self._load(region) >= spec.lower:
                self._why_not.setdefault(region, f"at {news.load * 100:.0f} of 100")
            else:
                return RegionChoice(region)
        return RegionChoice(here, self._reason())

    def _reason(self) -> str:
        spec = self._spec
        can = allowed_regions(spec, self._federation)
        if not can:
            return f"spec {spec.name!r} allows no region" + (
                f" by its data: {', '.join(need.dataset for need in spec.data)}"
                if spec.regions
                else ""
            )
        told = [
            f"{region}: {self._why_not.get(region, 'not a target')}"
            for region in can
            if region != self._wanted.origin or self._wanted.purpose == "new"
        ]
        return f"of {', '.join(can)} none will do ({'; '.join(told)})"[:MAX_REASON_CHARS]
