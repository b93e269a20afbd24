"""News of regions: how loaded each is, what it has free, whether it refuses, since when it is well. News, and no more.

Each placer tells with its asks what its own region's list says; the leader sums up by region and tells it with grants.
Nothing of it is in the log: a leader begins with nothing and has heard of every region in touch within one ask. How old
it may be at a placer in touch: an ask's interval there and one here (`fresh_within_us`); at one that is cut off it gets
older, tells its age, and counts for nothing past `OLD_US`. A choice that rests on old news sends work where it is
refused, and costs time; no rule rests on it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from wingbarrow.decide.coordination.subsystem import Proposal
from wingbarrow.decide.effects import Effect
from wingbarrow.decide.federation.room import held_back
from wingbarrow.decide.federation.route import RegionNews
from wingbarrow.decide.federation.spec import Federation
from wingbarrow.decide.quotas.escrow import Requester
from wingbarrow.decide.rulesets.ruleset import RuleSet

MAX_AGE_US = 15_000_000  # news beyond this age counts for nothing
MAX_REGIONS = 64
MAX_PLACERS = 4096
MAX_LEASED_SPECS = 256
RESERVE_INTERVAL_US = 500_000  # what is held back is worked out no more often
REJECTING_SHARE = 0.5  # of what came lately: from then on a placer counts as refusing


def fresh_within_us(grant_us: int, retry_us: int) -> int:
    """How old news is at most at a placer in touch: what another told at its last ask, as of this one's last grant."""
    return 2 * (grant_us // 3 + retry_us)


@dataclass(frozen=True, slots=True)
class RegionReport:
    """With an ask: what this placer's list says of its own region. Cores; memory in GiB."""

    region: str
    cores: float  # of all machines that run
    memory: float
    free_cores: float  # that nobody has asked for
    free_memory: float
    closed: bool = False
    came: int = 0  # Jobs lately, and of them turned away
    refused: int = 0
    machines: int = 0
    leased: tuple[
        tuple[str, float, float], ...
    ] = ()  # by spec: what of it this placer holds here; at most LEASED_MOST


@dataclass(frozen=True, slots=True)
class RegionSummary:
    """One region, with a grant; ages and durations as of then."""

    region: str
    age_us: int
    load: float
    cores: float  # free
    memory: float
    lost: bool
    closed: bool
    refusing_us: int
    stable_us: int
    placers: tuple[str, ...]
    held_cores: float = 0.0  # of what is free, kept for the loss of other regions
    held_memory: float = 0.0


@dataclass(slots=True)
class _Heard:
    at_us: int
    said: RegionReport


class RegionSubsystem:
    """The leader's side, a chapter without entries. `named`: the regions of the settings, lost until heard of."""

    name = "regions"

    def __init__(self, lost_us: int, named: tuple[str, ...] = ()) -> None:
        self._lost_us, self._named = lost_us, named
        self._heard: dict[str, _Heard] = {}
        self._well: dict[str, int] = {}  # since when each region has been heard of without a gap
        self._refusing: dict[str, int] = {}
        self._began_us = 0
        self._federation = Federation()
        self._held: dict[str, tuple[float, float]] = {}
        self._held_us = -RESERVE_INTERVAL_US

    def apply(self, kind: str, value: dict[str, Any]) -> None:
        """It has no entries."""

    def snapshot(self) -> str:
        """Nothing is replicated."""
        return ""

    def restore(self, text: str) -> None:
        """Likewise."""

    def on_leadership_change(self, now_us: int, on: bool) -> None:
        """Begin with nothing."""
        self._heard, self._well, self._refusing, self._began_us = {}, {}, {}, now_us

    def on_report(self, now_us: int, asker: Requester, said: RegionReport) -> None:
        """What a placer's list says, in place of what it said before."""
        if len(self._heard) >= MAX_PLACERS and asker.ident not in self._heard:
            return
        region = said.region
        last = max(
            (each.at_us for each in self._heard.values() if each.said.region == region),
            default=None,
        )
        if last is None or now_us - last > self._lost_us:
            self._well[region] = now_us
        self._heard[asker.ident] = _Heard(now_us, said)
        lately = [
            each.said
            for each in self._heard.values()
            if each.said.region == region and now_us - each.at_us <= self._lost_us
        ]
        came, refused = sum(each.came for each in lately), sum(each.refused for each in lately)
        if came and refused >= REJECTING_SHARE * came:
            self._refusing.setdefault(region, now_us)
        else:
            self._refusing.pop(region, None)

    def response_for(self, now_us: int, asker: Requester) -> tuple[RegionSummary, ...]:
        """All regions, by name."""
        held = self._held_back(now_us)
        return tuple(
            replace(
                self._one(now_us, region, heard),
                held_cores=held.get(region, (0.0, 0.0))[0],
                held_memory=held.get(region, (0.0, 0.0))[1],
            )
            for region, heard in self._by_region().items()
        )

    def _by_region(self) -> dict[str, dict[str, _Heard]]:
        out: dict[str, dict[str, _Heard]] = {name: {} for name in self._named}
        for name, heard in self._heard.items():
            out.setdefault(heard.said.region, {})[name] = heard
        return dict(sorted(out.items())[:MAX_REGIONS])

    def _held_back(self, now_us: int) -> dict[str, tuple[float, float]]:
        """What each region in touch keeps free for the loss of another, in cores and GiB."""
        if now_us - self._held_us < RESERVE_INTERVAL_US:
            return self._held
        self._held_us = now_us
        rooms: dict[str, tuple[float, float]] = {}
        leased: dict[tuple[str, str], tuple[float, float]] = {}
        for region, heard in self._by_region().items():
            live = [each for each in heard.values() if now_us - each.at_us <= self._lost_us]
            if live:
                newest = max(live, key=lambda each: each.at_us).said
                rooms[region] = newest.free_cores, newest.free_memory
            for spec, cores, memory in (part for each in live for part in each.said.leased):
                before = leased.get((spec, region), (0.0, 0.0))
                leased[spec, region] = before[0] + cores, before[1] + memory
        self._held = (
            held_back(self._federation, rooms, leased).room if self._federation.specs else {}
        )
        return self._held

    def reserved_machines(self, now_us: int, region: str) -> float:
        """The same in machines' worth, for what counts machines."""
        held = self._held_back(now_us).get(region, (0.0, 0.0))
        said = max(
            (each for each in self._heard.values() if each.said.region == region),
            key=lambda each: each.at_us,
            default=None,
        )
        if said is None or said.said.cores <= 0 or said.said.memory <= 0:
            return 0.0
        return max(held[0] / said.said.cores, held[1] / said.said.memory) * said.said.machines

    def _one(self, now_us: int, region: str, heard: dict[str, _Heard]) -> RegionSummary:
        live = {name: each for name, each in heard.items() if now_us - each.at_us <= self._lost_us}
        if not live:
            # Danger: a leader that has just been elected has heard of nobody, which says nothing of them.
            lost = now_us - self._began_us > self._lost_us
            return RegionSummary(
                region, now_us - self._began_us, 0.0, 0.0, 0.0, lost, False, 0, 0, ()
            )
        # All placers of a region read one list; the one that asked last has read it last.
        newest = max(live.values(), key=lambda each: each.at_us)
        said = newest.said
        load = max(
            (
                1 - free / whole
                for free, whole in ((said.free_cores, said.cores), (said.free_memory, said.memory))
                if whole > 0
            ),
            default=1.0,
        )
        return RegionSummary(
            region,
            now_us - newest.at_us,
            round(load, 4),
            said.free_cores,
            said.free_memory,
            False,
            all(each.said.closed for each in live.values()),
            now_us - self._refusing.get(region, now_us),
            now_us - self._well.get(region, now_us),
            tuple(sorted(live))[:64],
        )

    def next_proposals(self, now_us: int, rules: RuleSet) -> tuple[list[Proposal], int | None]:
        """Nothing is decided; the specs in force are taken in."""
        self._federation = rules.federation
        return [], None


class RegionMember:
    """Every placer's: `own` gives what its list says, None while it has none."""

    name = "regions"

    def __init__(self, read_own: Callable[[int], RegionReport | None]) -> None:
        self.read_own = read_own
        self._told: tuple[RegionSummary, ...] = ()
        self._at_us = 0

    def report(self, now_us: int) -> RegionReport | None:
        """With an ask."""
        return self.read_own(now_us)

    def on_response(
        self, now_us: int, asked_us: int, told: tuple[RegionSummary, ...] | None
    ) -> list[Effect]:
        """With a grant; ages count from the ask, so that a slow answer makes nothing younger."""
        if told:
            self._told, self._at_us = tuple(told), asked_us
        return []

    def news(self, now_us: int) -> dict[str, RegionNews]:
        """By region, what is not too old; a region that is not there is not known."""
        since = now_us - self._at_us
        out = {}
        for each in self._told:
            news = RegionNews(
                each.region,
                each.age_us + since,
                each.load,
                each.cores,
                each.memory,
                each.lost,
                each.closed,
                each.refusing_us,
                each.stable_us,
                each.placers,
                each.held_cores,
                each.held_memory,
            )
            if news.age_us <= MAX_AGE_US or (each.lost and since <= MAX_AGE_US):
                out[each.region] = replace(
                    news, age_us=min(news.age_us, since) if each.lost else news.age_us
                )
        return out
