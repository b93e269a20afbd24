"""Load reports of regions: how loaded each is, its free capacity, whether it rejects Jobs, since when it is stable.

Each placer reports the state of its own region, from its machine list, with its lease requests. The leader aggregates
the reports by region and returns the summaries with its grants. The reports are not replicated: a new leader starts
with none, and has one from every connected region within one request interval. At a connected placer a summary is at
most two request intervals old, one of the reporting placer and one of its own (`summary_age_bound_us`). At a
disconnected placer it ages, and is not used beyond `MAX_SUMMARY_AGE_US`. An outdated summary sends work to a region
that rejects it, which costs time; no safety rule depends on it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from wingbarrow.decide.coordination.subsystem import Proposal
from wingbarrow.decide.effects import Effect
from wingbarrow.decide.federation.failover_capacity import reserve_capacity
from wingbarrow.decide.federation.region_choice import RegionStatus
from wingbarrow.decide.federation.spec import Federation
from wingbarrow.decide.quotas.escrow import Requester
from wingbarrow.decide.rulesets.ruleset import RuleSet

MAX_SUMMARY_AGE_US = 15_000_000  # older summaries are not used
MAX_REGIONS = 64
MAX_PLACERS = 4096
MAX_PLACERS_PER_SUMMARY = 64
MAX_LEASED_SPECS = 256  # in one report
RESERVE_INTERVAL_US = 500_000  # shortest time between two computations of the reserves
REJECTING_SHARE = 0.5  # rejected share of recent arrivals from which a region counts as rejecting
NO_RESERVE = (0.0, 0.0)  # cores, GiB


def summary_age_bound_us(grant_us: int, retry_us: int) -> int:
    """Return the maximum age of a summary at a connected placer: 2 (grant / 3 + retry).

    A report is as old as the reporting placer's last request, and a summary as the receiving placer's last grant.
    """
    return 2 * (grant_us // 3 + retry_us)


# -- messages; field names are wire names


@dataclass(frozen=True, slots=True)
class RegionReport:
    """The state of a placer's own region, from its machine list. Memory in GiB.

    cores, memory: total of all running machines.
    free_cores, free_memory: not requested by any task.
    came, refused: Jobs that arrived recently, and how many of these were rejected.
    leased: spec, cores and memory that this placer's leased Jobs use in this region; at most MAX_LEASED_SPECS.
    """

    region: str
    cores: float
    memory: float
    free_cores: float
    free_memory: float
    closed: bool = False
    came: int = 0
    refused: int = 0
    machines: int = 0
    leased: tuple[tuple[str, float, float], ...] = ()


@dataclass(frozen=True, slots=True)
class RegionSummary:
    """One region at the time of the response. Ages and durations in microseconds, memory in GiB.

    cores, memory: free capacity.
    held_cores, held_memory: part of the free capacity that is reserved for the failover of other regions.
    """

    region: str
    age_us: int
    load: float
    cores: float
    memory: float
    lost: bool
    closed: bool
    refusing_us: int
    stable_us: int
    placers: tuple[str, ...]
    held_cores: float = 0.0
    held_memory: float = 0.0


# -- leader


@dataclass(frozen=True, slots=True)
class _ReceivedReport:
    at_us: int
    report: RegionReport


class RegionSubsystem:
    """The leader's side, a subsystem without log entries.

    lost_after_us: time without a report after which a placer counts as lost, and a region with its last placer.
    configured_regions: regions of the settings; they also count as lost if none of their placers has ever reported.
    """

    name = "regions"

    def __init__(self, lost_after_us: int, configured_regions: tuple[str, ...] = ()) -> None:
        self._lost_after_us = lost_after_us
        self._configured_regions = configured_regions
        self._federation = Federation()
        self._reserves: dict[str, tuple[float, float]] = {}
        self._reserves_us = -RESERVE_INTERVAL_US
        self._reset_leader(0)

    def _reset_leader(self, now_us: int) -> None:
        self._leading_since_us = now_us
        self._reports: dict[str, _ReceivedReport] = {}  # by placer
        self._stable_since_us: dict[str, int] = {}  # by region: start of reports without a gap
        self._rejecting_since_us: dict[str, int] = {}

    def apply(self, kind: str, value: dict[str, Any]) -> None:
        """Do nothing: this subsystem has no log entries."""

    def snapshot(self) -> str:
        """Return "": this subsystem has no replicated state."""
        return ""

    def restore(self, text: str) -> None:
        """Do nothing: this subsystem has no replicated state."""

    def on_leadership_change(self, now_us: int, is_leader: bool) -> None:
        """Drop all reports: a leader starts without any."""
        self._reset_leader(now_us)

    def on_report(self, now_us: int, requester: Requester, report: RegionReport) -> None:
        """Replace the requester's previous report; reports beyond MAX_PLACERS placers are dropped."""
        if len(self._reports) >= MAX_PLACERS and requester.placer not in self._reports:
            return
        region = report.region
        last_us = max(
            (each.at_us for each in self._reports.values() if each.report.region == region),
            default=None,
        )
        if last_us is None or now_us - last_us > self._lost_after_us:
            self._stable_since_us[region] = now_us
        self._reports[requester.placer] = _ReceivedReport(now_us, report)
        self._update_rejecting(now_us, region)

    def _update_rejecting(self, now_us: int, region: str) -> None:
        recent = [
            each.report
            for each in self._reports.values()
            if each.report.region == region and self._is_recent(now_us, each)
        ]
        arrived = sum(each.came for each in recent)
        rejected = sum(each.refused for each in recent)
        if arrived and rejected >= REJECTING_SHARE * arrived:
            self._rejecting_since_us.setdefault(region, now_us)
        else:
            self._rejecting_since_us.pop(region, None)

    def _is_recent(self, now_us: int, received: _ReceivedReport) -> bool:
        return now_us - received.at_us <= self._lost_after_us

    def response_for(self, now_us: int, requester: Requester) -> tuple[RegionSummary, ...]:
        """Return the summaries of all regions, sorted by region name."""
        reserves = self._current_reserves(now_us)
        summaries = []
        for region, reports in self._by_region().items():
            cores, memory = reserves.get(region, NO_RESERVE)
            summary = self._summary(now_us, region, reports)
            summaries.append(replace(summary, held_cores=cores, held_memory=memory))
        return tuple(summaries)

    def _by_region(self) -> dict[str, dict[str, _ReceivedReport]]:
        by_region: dict[str, dict[str, _ReceivedReport]] = {
            name: {} for name in self._configured_regions
        }
        for name, received in self._reports.items():
            by_region.setdefault(received.report.region, {})[name] = received
        return dict(sorted(by_region.items())[:MAX_REGIONS])

    def _current_reserves(self, now_us: int) -> dict[str, tuple[float, float]]:
        """Return, by region with recent reports, the cores and GiB reserved for the failover of other regions."""
        if now_us - self._reserves_us < RESERVE_INTERVAL_US:
            return self._reserves
        self._reserves_us = now_us
        free: dict[str, tuple[float, float]] = {}
        leased: dict[tuple[str, str], tuple[float, float]] = {}
        for region, reports in self._by_region().items():
            recent = [each for each in reports.values() if self._is_recent(now_us, each)]
            if recent:
                newest = max(recent, key=lambda each: each.at_us).report
                free[region] = newest.free_cores, newest.free_memory
            for spec, cores, memory in (part for each in recent for part in each.report.leased):
                used_cores, used_memory = leased.get((spec, region), (0.0, 0.0))
                leased[spec, region] = used_cores + cores, used_memory + memory
        self._reserves = {}
        if self._federation.specs:
            self._reserves = reserve_capacity(self._federation, free, leased).reserved
        return self._reserves

    def reserved_machines(self, now_us: int, region: str) -> float:
        """Return a region's reserve in units of its average machine."""
        reserved_cores, reserved_memory = self._current_reserves(now_us).get(region, NO_RESERVE)
        newest = max(
            (each for each in self._reports.values() if each.report.region == region),
            key=lambda each: each.at_us,
            default=None,
        )
        if newest is None or newest.report.cores <= 0 or newest.report.memory <= 0:
            return 0.0
        report = newest.report
        share = max(reserved_cores / report.cores, reserved_memory / report.memory)
        return share * report.machines

    def _summary(
        self, now_us: int, region: str, reports: dict[str, _ReceivedReport]
    ) -> RegionSummary:
        recent = {name: each for name, each in reports.items() if self._is_recent(now_us, each)}
        if not recent:
            return self._summary_without_reports(now_us, region)
        # All placers of a region read the same machine list, so the latest report has the latest state.
        newest = max(recent.values(), key=lambda each: each.at_us)
        return RegionSummary(
            region=region,
            age_us=now_us - newest.at_us,
            load=_load(newest.report),
            cores=newest.report.free_cores,
            memory=newest.report.free_memory,
            lost=False,
            closed=all(each.report.closed for each in recent.values()),
            refusing_us=now_us - self._rejecting_since_us.get(region, now_us),
            stable_us=now_us - self._stable_since_us.get(region, now_us),
            placers=tuple(sorted(recent))[:MAX_PLACERS_PER_SUMMARY],
        )

    def _summary_without_reports(self, now_us: int, region: str) -> RegionSummary:
        # Danger: a newly elected leader has no reports yet, which does not prove that the region is lost.
        age_us = now_us - self._leading_since_us
        return RegionSummary(
            region=region,
            age_us=age_us,
            load=0.0,
            cores=0.0,
            memory=0.0,
            lost=age_us > self._lost_after_us,
            closed=False,
            refusing_us=0,
            stable_us=0,
            placers=(),
        )

    def next_proposals(self, now_us: int, rules: RuleSet) -> tuple[list[Proposal], int | None]:
        """Adopt the federation specs of the rule set; nothing is proposed."""
        self._federation = rules.federation
        return [], None


def _load(report: RegionReport) -> float:
    """Return the used share (0 to 1) of the scarcer resource; 1 if the region has no capacity."""
    resources = ((report.free_cores, report.cores), (report.free_memory, report.memory))
    shares = (1 - free / total for free, total in resources if total > 0)
    return round(max(shares, default=1.0), 4)


# -- every placer


class RegionMember:
    """A placer's side. `read_own` returns the report on its own region at a time, None without a machine list."""

    name = "regions"

    def __init__(self, read_own: Callable[[int], RegionReport | None]) -> None:
        self.read_own = read_own
        self._summaries: tuple[RegionSummary, ...] = ()
        self._at_us = 0

    def report(self, now_us: int) -> RegionReport | None:
        """Return the report for the next lease request."""
        return self.read_own(now_us)

    def on_response(
        self, now_us: int, requested_us: int, response: tuple[RegionSummary, ...] | None
    ) -> list[Effect]:
        """Replace the summaries.

        Their ages count from the request, so that a delayed response does not make them appear younger.
        """
        if response:
            self._summaries = tuple(response)
            self._at_us = requested_us
        return []

    def statuses(self, now_us: int) -> dict[str, RegionStatus]:
        """Return the state of each region that is known and not too old; an absent region is unknown."""
        since_us = now_us - self._at_us
        known = {}
        for each in self._summaries:
            age_us = each.age_us + since_us
            if age_us <= MAX_SUMMARY_AGE_US or (each.lost and since_us <= MAX_SUMMARY_AGE_US):
                # The information that a region is lost is as old as the summary; its last report may be much older.
                known[each.region] = RegionStatus(
                    region=each.region,
                    age_us=min(age_us, since_us) if each.lost else age_us,
                    load=each.load,
                    free_cores=each.cores,
                    free_memory=each.memory,
                    lost=each.lost,
                    closed=each.closed,
                    refusing_us=each.refusing_us,
                    stable_us=each.stable_us,
                    placers=each.placers,
                    reserved_cores=each.held_cores,
                    reserved_memory=each.held_memory,
                )
        return known
