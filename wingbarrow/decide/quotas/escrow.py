"""Quotas in escrow: a limit is divided into allocations that placers use up without asking, and none can exceed it.

As escrow transactions (O'Neil 1986) and the demarcation protocol (Barbara, Garcia-Molina 1992): a placer uses only what
is allocated to it. Who holds how much is decided in the voters' log (`allocations`); a placer's share comes with its
lease of the rule set, and expires with it (a quota lease). This module is the placer's side, `QuotaAccount`, and the
messages of both. Two rules that the leader's accounting relies on:

- an account reports nothing that has expired, and after a gap it holds what the first response brings;
- it takes only the response to its latest request, and only within that request's own lease, so that what a request
  reports is all that its sender may use until the response to that very request, or a later one.

No I/O. Times in microseconds, by the placer's clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from wingbarrow.decide.quotas.limits import FleetLimit

WINDOW_BUCKETS = 256  # of a rate's window: uses within one are counted together
HEADROOM_DIVISOR = 4  # a request demands one in so many beyond what is in use
REJECTED_DEMAND_US = 2_000_000  # how long what was not admitted counts as demand


@dataclass(frozen=True, slots=True)
class QuotaReport:
    """A placer's report on one limit: its share, what is in use, what would be in use without a limit."""

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
    """The share that a placer may use from now on, in place of the one that it reported."""

    key: str
    share: int


def max_min_fair(total: int, demand: dict[str, int]) -> dict[str, int]:
    """Max-min fair shares of `total`: none gets more than its demand while another has less than that and wants more.

    Of what nobody demands, half is divided equally, so that a placer without demand so far may begin at once, and half
    in proportion to demand, since the busiest have most to come.
    """
    left = total
    shares: dict[str, int] = {}
    for index, name in enumerate(sorted(demand, key=lambda each: (demand[each], each))):
        shares[name] = min(demand[name], left // (len(demand) - index))
        left -= shares[name]
    total_demand = max(1, sum(demand.values()))
    for name, each in demand.items():
        shares[name] += left // 2 // len(demand) + left // 2 * each // total_demand
    return shares


class _SlidingWindow:
    """Uses within a window, counted by buckets: each counts as of its bucket's end, so never for too short a time."""

    __slots__ = ("_buckets", "_sum")

    def __init__(self) -> None:
        self._buckets: deque[tuple[int, int]] = deque()  # end and uses of each
        self._sum = 0

    def add(self, now_us: int, count: int, bucket_us: int) -> None:
        """Count more uses."""
        self._sum += count
        ends_us = (now_us // max(1, bucket_us) + 1) * max(1, bucket_us)
        if self._buckets and self._buckets[-1][0] == ends_us:
            count += self._buckets.pop()[1]
        self._buckets.append((ends_us, count))

    def within(self, now_us: int, window_us: int) -> int:
        """Uses within the window that ends now."""
        while self._buckets and self._buckets[0][0] <= now_us - window_us:
            self._sum -= self._buckets.popleft()[1]
        return self._sum


class QuotaAccount:
    """One placer's shares of the fleet's limits, what it uses of them, and what it demands."""

    def __init__(
        self,
        in_use: Callable[[str], int] = lambda key: 0,
        demand: Callable[[str], int] = lambda key: 0,
    ) -> None:
        self.in_use = in_use  # of a standing limit, by its key
        self.demand = demand  # what would be used beyond what is
        self.shares: dict[str, int] = {}
        self.limits: dict[str, FleetLimit] = {}
        self._windows: dict[str, _SlidingWindow] = {}  # by a rate limit's key
        self._rejected: dict[str, tuple[int, int]] = {}  # how many were not admitted, and when last

    def on_limits(self, limits: Iterable[FleetLimit]) -> None:
        """Take the limits of another rule set; shares of limits that it lacks are given back."""
        self.limits = {each.key: each for each in limits}
        for by_key in (self.shares, self._windows, self._rejected):
            for key in by_key.keys() - self.limits.keys():
                del by_key[key]

    def used(self, now_us: int, key: str) -> int:
        """What is in use of a limit now."""
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
            rejected, rejected_us = self._rejected.get(key, (0, 0))
            recent = rejected if now_us - rejected_us < REJECTED_DEMAND_US else 0
            # Some headroom, so that more is here before it is short: a move takes two requests.
            waiting = max(self.demand(key), recent, used // HEADROOM_DIVISOR)
            reports.append(QuotaReport(key, self.shares.get(key, 0), used, used + waiting))
        self._rejected = {
            key: each
            for key, each in self._rejected.items()
            if now_us - each[1] < REJECTED_DEMAND_US
        }
        return tuple(reports)

    def is_short(self, now_us: int) -> bool:
        """Whether demand exceeds the share of some limit."""
        return any(each.wants > each.share for each in self.report(now_us))

    def expire(self) -> None:
        """The lease has expired, and all shares with it: they must not be reported any more.

        Danger: a new leader leaves to everybody what it reports, and another may have been given this by now.
        """
        self.shares.clear()

    def on_grants(self, grants: Iterable[QuotaGrant]) -> None:
        """Take the response to the latest request; the caller checks that the request's lease still lasts."""
        for each in grants:
            if each.key in self.limits:
                self.shares[each.key] = max(0, each.share)

    def has_capacity(self, now_us: int, key: str, count: int, *, is_retry: bool = False) -> bool:
        """Whether `count` more are within the share; the caller holds a lease.

        What is not counts as demand, once: not again for a retry.
        """
        if self.used(now_us, key) + count <= self.shares.get(key, 0):
            return True
        if is_retry:
            return False
        rejected, rejected_us = self._rejected.get(key, (0, 0))
        is_recent = now_us - rejected_us < REJECTED_DEMAND_US
        self._rejected[key] = (rejected + count if is_recent else count), now_us
        return False

    def record_use(self, now_us: int, key: str, count: int) -> None:
        """Count uses of a rate limit; what is in use of a standing limit is read from `in_use`."""
        limit = self.limits[key]
        if limit.kind == "rate":
            window = self._windows.setdefault(key, _SlidingWindow())
            window.add(now_us, count, limit.window_us // WINDOW_BUCKETS)
