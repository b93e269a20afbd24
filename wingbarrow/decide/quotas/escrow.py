"""Quotas in escrow: a limit is divided into allocations, which placers use without a request for each use.

As in escrow transactions (O'Neil 1986) and the demarcation protocol (Barbara, Garcia-Molina 1992), a placer uses only
what is allocated to it, so the total cannot exceed the limit. Allocations are decided in the voters' log
(`allocations`). A placer's share is granted with its lease of the rule set and expires with it (a quota lease). This
module has the placer's side, `QuotaAccount`, and the messages of both sides. The leader's accounting relies on two
rules:

- an account reports no expired share, and after its lease has expired it holds what the next response grants;
- it accepts only the response to its latest request, and only within the lease of that request, so that what a request
  reports is all that its sender may use until the response to that very request, or to a later one.

No I/O. Times are in microseconds, by the placer's clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from wingbarrow.decide.quotas.limits import FleetLimit

WINDOW_BUCKETS = 256  # per window of a rate limit; uses within one bucket are counted together
HEADROOM_DIVISOR = 4  # a report demands at least a quarter more than is in use
REJECTED_DEMAND_US = 2_000_000  # how long a rejected use counts as demand


@dataclass(frozen=True, slots=True)
class QuotaReport:
    """A placer's report on one limit: its share, the amount in use, and what would be in use without a limit."""

    key: str
    share: int
    uses: int
    wants: int


@dataclass(frozen=True, slots=True)
class Requester:
    """Sender of a lease request: its name, incarnation and uptime, and the sequence number of the request.

    `term`: the term of the leader whose grant the sender accepted last; 0 for none in this incarnation.
    """

    placer: str
    incarnation: int
    uptime_us: int
    sequence: int
    term: int = 0


@dataclass(frozen=True, slots=True)
class QuotaGrant:
    """The share that a placer may use from now on; it replaces the reported one."""

    key: str
    share: int


def max_min_fair(total: int, demand: dict[str, int]) -> dict[str, int]:
    """Max-min fair shares of `total`: nobody gets more than its demand while another gets less and demands more.

    Half of what nobody demands is divided equally, so that a placer without demand so far can start at once, and half
    in proportion to demand, since the busiest placers are likely to need most.
    """
    remaining = total
    shares: dict[str, int] = {}
    for index, name in enumerate(sorted(demand, key=lambda each: (demand[each], each))):
        shares[name] = min(demand[name], remaining // (len(demand) - index))
        remaining -= shares[name]
    total_demand = max(1, sum(demand.values()))
    for name, each in demand.items():
        shares[name] += remaining // 2 // len(demand) + remaining // 2 * each // total_demand
    return shares


class _SlidingWindow:
    """Uses in a sliding window, by buckets: each counts as of the end of its bucket, so never for too short a time."""

    __slots__ = ("_buckets", "_sum")

    def __init__(self) -> None:
        self._buckets: deque[tuple[int, int]] = deque()  # end of each in microseconds, and its uses
        self._sum = 0

    def add(self, now_us: int, count: int, bucket_us: int) -> None:
        """Count uses in the bucket of `now_us`."""
        self._sum += count
        ends_us = (now_us // max(1, bucket_us) + 1) * max(1, bucket_us)
        if self._buckets and self._buckets[-1][0] == ends_us:
            count += self._buckets.pop()[1]
        self._buckets.append((ends_us, count))

    def within(self, now_us: int, window_us: int) -> int:
        """The number of uses within the window that ends now."""
        while self._buckets and self._buckets[0][0] <= now_us - window_us:
            self._sum -= self._buckets.popleft()[1]
        return self._sum


class QuotaAccount:
    """One placer's shares of the fleet-wide limits, its use of them, and its demand."""

    def __init__(
        self,
        in_use: Callable[[str], int] = lambda key: 0,
        demand: Callable[[str], int] = lambda key: 0,
    ) -> None:
        self.in_use = in_use  # the amount in use of a standing limit, by its key
        self.demand = demand  # what would be used in addition, by the limit's key
        self.shares: dict[str, int] = {}
        self.limits: dict[str, FleetLimit] = {}
        self._windows: dict[str, _SlidingWindow] = {}  # by a rate limit's key
        self._rejected_demand: dict[str, tuple[int, int]] = {}  # count, and time of the last

    def on_limits(self, limits: Iterable[FleetLimit]) -> None:
        """Replace the limits by those of another rule set; shares of limits that it lacks are dropped."""
        self.limits = {each.key: each for each in limits}
        for by_key in (self.shares, self._windows, self._rejected_demand):
            for key in by_key.keys() - self.limits.keys():
                del by_key[key]

    def used(self, now_us: int, key: str) -> int:
        """The amount in use of a limit."""
        limit = self.limits[key]
        if limit.kind == "standing":
            return self.in_use(key)
        window = self._windows.get(key)
        return 0 if window is None else window.within(now_us, limit.lag_us)

    def report(self, now_us: int) -> tuple[QuotaReport, ...]:
        """A report on each limit, for the next lease request."""
        reports = []
        for key in sorted(self.limits):
            used = self.used(now_us, key)
            rejected, rejected_us = self._rejected_demand.get(key, (0, 0))
            recent = rejected if now_us - rejected_us < REJECTED_DEMAND_US else 0
            # Headroom, so that a larger share arrives before the demand does: a move takes two requests.
            waiting = max(self.demand(key), recent, used // HEADROOM_DIVISOR)
            reports.append(QuotaReport(key, self.shares.get(key, 0), used, used + waiting))
        self._rejected_demand = {
            key: each
            for key, each in self._rejected_demand.items()
            if now_us - each[1] < REJECTED_DEMAND_US
        }
        return tuple(reports)

    def has_unmet_demand(self, now_us: int) -> bool:
        """Whether demand exceeds the share of some limit."""
        return any(each.wants > each.share for each in self.report(now_us))

    def expire(self) -> None:
        """Drop all shares, as the lease has expired: they must not be reported any more.

        Danger: a new leader lets a placer keep the shares that it reports, and another placer may hold these by now.
        """
        self.shares.clear()

    def on_grants(self, grants: Iterable[QuotaGrant]) -> None:
        """Apply the response to the latest request; the caller checks that the lease of that request is still valid."""
        for each in grants:
            if each.key in self.limits:
                self.shares[each.key] = max(0, each.share)

    def has_capacity(self, now_us: int, key: str, count: int, *, is_retry: bool = False) -> bool:
        """Whether `count` more uses are within the share; the caller holds a lease.

        A rejected use counts as demand; `is_retry` marks one that has been counted already.
        """
        if self.used(now_us, key) + count <= self.shares.get(key, 0):
            return True
        if is_retry:
            return False
        rejected, rejected_us = self._rejected_demand.get(key, (0, 0))
        is_recent = now_us - rejected_us < REJECTED_DEMAND_US
        self._rejected_demand[key] = (rejected + count if is_recent else count), now_us
        return False

    def record_use(self, now_us: int, key: str, count: int) -> None:
        """Count uses of a rate limit; the use of a standing limit is read from `in_use`."""
        limit = self.limits[key]
        if limit.kind == "rate":
            window = self._windows.setdefault(key, _SlidingWindow())
            window.add(now_us, count, limit.window_us // WINDOW_BUCKETS)
