"""Rights in escrow: the whole of a limit cut into parts that placers hold, so that nobody can pass it; no I/O.

As escrow transactions (O'Neil 1986) and demarcation (Barbara, Garcia-Molina 1992): a placer uses only what it holds.
How much each may hold is decided in the voters' log (`blocks`); what it holds rides on its grants of rules, and lapses
with them. This is the placer's side, a `Purse`, and what both sides say:

- a purse states nothing that has lapsed, and after a gap it holds what the first answer brings;
- it takes only the answer to its latest ask, and only while that ask's own grant lasts, so that what an ask states is
  all that its sender may use until the answer to that very ask, or a later one.

Times in microseconds, by the placer's clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from wingbarrow.decide.quotas.limits import FleetLimit

GRAINS = 256  # of a rate's window: uses within one are remembered together
AHEAD = 4  # of what is used one in so many more is wanted
STEADY = 8  # a share changes by more than one part in so many, or not at all: shares do not flap


@dataclass(frozen=True, slots=True)
class QuotaReport:
    """What a placer says of one limit as it asks: what it may use, what it uses, what it would use if it could."""

    key: str
    share: int
    uses: int
    wants: int


@dataclass(frozen=True, slots=True)
class Requester:
    """Who asks: its name, which life of it and for how long that has lasted, and the number of its ask.

    `reign`: the term of the leader whose grant it took last; 0 for none in this life.
    """

    ident: str
    life: int
    up_us: int
    number: int
    reign: int = 0


@dataclass(frozen=True, slots=True)
class QuotaGrant:
    """What it may use from now on, in place of what it stated."""

    key: str
    share: int


def fair(total: int, wants: dict[str, int]) -> dict[str, int]:
    """Max-min fair parts of a whole: nobody gets more than it wants while another gets less than that and wants more.

    Of what nobody wants half is given out in equal parts, so that who has had no demand may begin at once, and half by
    what is wanted, since who has much has more to come.
    """
    left, out = total, {}
    for index, name in enumerate(sorted(wants, key=lambda each: (wants[each], each))):
        out[name] = min(wants[name], left // (len(wants) - index))
        left -= out[name]
    whole = max(1, sum(wants.values()))
    for name, each in wants.items():
        out[name] += left // 2 // len(wants) + left // 2 * each // whole
    return out


class _Lately:
    """How many were used within a window, in grains of it: each counts as of its grain's end, so never too short."""

    __slots__ = ("_sum", "_times")

    def __init__(self) -> None:
        self._times: deque[tuple[int, int]] = deque()
        self._sum = 0

    def add(self, now_us: int, count: int, grain_us: int) -> None:
        """So many more."""
        self._sum += count
        ends_us = (now_us // max(1, grain_us) + 1) * max(1, grain_us)
        if self._times and self._times[-1][0] == ends_us:
            count += self._times.pop()[1]
        self._times.append((ends_us, count))

    def within(self, now_us: int, window_us: int) -> int:
        """How many within a window that ends now."""
        while self._times and self._times[0][0] <= now_us - window_us:
            self._sum -= self._times.popleft()[1]
        return self._sum


class QuotaAccount:
    """One placer's rights. `uses` counts what stands of a standing limit, by its key."""

    def __init__(
        self,
        uses: Callable[[str], int] = lambda key: 0,
        demand: Callable[[str], int] = lambda key: 0,
    ) -> None:
        self.uses, self.demand = (
            uses,
            demand,
        )  # what stands of a limit; what would be used beyond what is
        self.shares: dict[str, int] = {}
        self.limits: dict[str, FleetLimit] = {}
        self._lately: dict[str, _Lately] = {}  # of a rate: what was used
        self._turned_away: dict[
            str, tuple[int, int]
        ] = {}  # how many were not allowed, and when last

    def take_limits(self, limits: Iterable[FleetLimit]) -> None:
        """The limits of other rules; shares of those that are gone are given back."""
        self.limits = {each.key: each for each in limits}
        for held in (self.shares, self._lately, self._turned_away):
            for key in held.keys() - self.limits.keys():
                del held[key]

    def used(self, now_us: int, key: str) -> int:
        """What is in use now."""
        limit = self.limits[key]
        if limit.kind == "standing":
            return self.uses(key)
        lately = self._lately.get(key)
        return 0 if lately is None else lately.within(now_us, limit.lag_us)

    def stated(self, now_us: int) -> tuple[QuotaReport, ...]:
        """For an ask."""
        out = []
        for key in sorted(self.limits):
            used = self.used(now_us, key)
            away, at = self._turned_away.get(key, (0, 0))
            # A little more than what is known of, so that more is here before it is short: a move takes two asks.
            waiting = max(self.demand(key), away if now_us - at < 2_000_000 else 0, used // AHEAD)
            out.append(QuotaReport(key, self.shares.get(key, 0), used, used + waiting))
        self._turned_away = {
            key: each for key, each in self._turned_away.items() if now_us - each[1] < 2_000_000
        }
        return tuple(out)

    def short(self, now_us: int) -> bool:
        """Whether more is wanted of some limit than is held."""
        return any(each.wants > each.share for each in self.stated(now_us))

    def lapse(self) -> None:
        """The grant has lapsed, and what was held with it: it must not be stated any more.

        Danger: a new leader leaves everybody what it states, and another may have been given this by now.
        """
        self.shares.clear()

    def take(self, rights: Iterable[QuotaGrant]) -> None:
        """The answer to the latest ask, which came before the grant lapsed that the ask was sent under."""
        for each in rights:
            if each.key in self.limits:
                self.shares[each.key] = max(0, each.share)

    def may(self, now_us: int, key: str, count: int, again: bool = False) -> bool:
        """Whether so many more are within what is held; the caller has a grant. What is not is counted as wanted, once
        (`again`: it was asked for before)."""
        if self.used(now_us, key) + count <= self.shares.get(key, 0):
            return True
        if again:
            return False
        away, at = self._turned_away.get(key, (0, 0))
        self._turned_away[key] = (away + count if now_us - at < 2_000_000 else count), now_us
        return False

    def use(self, now_us: int, key: str, count: int) -> None:
        """So many are used: told for rates; what stands is counted by `uses`."""
        if self.limits[key].kind == "rate":
            self._lately.setdefault(key, _Lately()).add(
                now_us, count, self.limits[key].window_us // GRAINS
            )
