"""Rights in escrow: the whole of a limit cut into parts that placers hold, so that nobody can pass it; no I/O.

As escrow transactions (O'Neil 1986) and demarcation (Barbara, Garcia-Molina 1992): a placer uses only what it holds.
The leader of the voters keeps the account (`Bank`), and what it gives rides on the grants of rules, so that it was
confirmed by a majority and lapses with the grant; a placer's part is a `Purse`. Why the sum of what all may use never
passes the whole, whatever is lost, doubled, late or stopped:

- a purse states nothing that has lapsed, and takes rights only while its grant goes on without a gap (after one it
  states nothing, and begins anew with the next ask);
- a purse takes only the answer to its latest ask, so that what an ask states is all that its sender may use until the
  answer to that very ask, and the account of it is the larger of the two;
- what is given is at most what the account has left, in which what has been given back, or has lapsed, goes on counting
  for as long as it may be in use (`FleetLimit.lag_us`);
- a new leader, which has no account, gives everybody what it states, and more only once it has heard of all that may
  hold some, or everything that it has not heard of must have lapsed.

Times in microseconds, the leader's by its clock, the purse's by its placer's.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from wingbarrow.decide.peers.grants import given_until_us
from wingbarrow.decide.peers.limits import HOUR_US, FleetLimit

# Of its equal part of what nobody wants each holds all of a standing limit, which comes back at once where it is not in
# use, and half of a rate, which comes back after its window; the rest of that waits with the leader.
IDLE = {"standing": 1, "rate": 2}
GRAINS = 256  # of a rate's window: uses within one are remembered together
STEADY = 8  # a share changes by more than one part in so many, or not at all: shares do not flap


@dataclass(frozen=True, slots=True)
class Stated:
    """What a placer says of one limit as it asks: what it may use, what it uses, what it would use if it could."""

    key: str
    share: int
    uses: int
    wants: int


@dataclass(frozen=True, slots=True)
class Asker:
    """Who asks: its name, which life of it and for how long that has lasted, and the number of its ask."""

    ident: str
    life: int
    up_us: int
    number: int


@dataclass(frozen=True, slots=True)
class Right:
    """What it may use from now on, in place of what it stated."""

    key: str
    share: int


def fair(total: int, wants: dict[str, int], idle: int = 1) -> dict[str, int]:
    """Max-min fair parts of a whole: nobody gets more than it wants while another gets less than that and wants more.

    Of what nobody wants each gets one in `idle` of an equal part, so that who has had no demand may begin at once.
    """
    left, out = total, {}
    for index, name in enumerate(sorted(wants, key=lambda each: (wants[each], each))):
        out[name] = min(wants[name], left // (len(wants) - index))
        left -= out[name]
    for name in wants:
        out[name] += left // len(wants) // idle
    return out


@dataclass(slots=True)
class _Account:
    """One placer's, of one limit."""

    life: int
    number: int  # of its latest ask
    stated: int  # by that: the larger of share and uses
    given: int  # in the answer to it
    wants: int
    until_us: int  # when the answer's grant has lapsed, at the latest
    known_us: int = 0  # from when on a former life of it, that nobody here knows of, holds nothing any more
    fading: list[tuple[int, int]] = field(default_factory=list)  # larger parts that it had, until when they may count
    former: list[tuple[int, int]] = field(default_factory=list)  # parts of its former lives, likewise

    @property
    def held(self) -> int:
        """What it may use by its latest ask and the answer."""
        return max(self.stated, self.given)


class Bank:
    """The leader's account; begun anew with each leader (`began_us`).

    `given_before`: whether an earlier leader may have given rights to a limit, by its key.
    """

    def __init__(self, grant_us: int, began_us: int, given_before: Callable[[str], bool] = lambda key: True) -> None:
        self._grant_us, self._began_us, self._given_before = grant_us, began_us, given_before
        self._accounts: dict[str, dict[str, _Account]] = {}

    def answer(self, now_us: int, asker: Asker, stated: Iterable[Stated], limits: Iterable[FleetLimit],
               holders: frozenset[str]) -> tuple[Right, ...]:
        """As `answers`, to one."""
        return self.answers(now_us, [(asker, stated)], limits, holders)[0]

    def answers(self, now_us: int, asks: Sequence[tuple[Asker, Iterable[Stated]]], limits: Iterable[FleetLimit],
                holders: frozenset[str]) -> list[tuple[Right, ...]]:
        """What each asker may use from now on. `holders`: all that may hold anything under any version of late.

        Those that ask together are answered together: the whole account is gone through once for all of them.
        """
        limits, out = tuple(limits), [list[Right]() for _ in asks]
        said = [{each.key: each for each in stated} for _, stated in asks]
        for key in self._accounts.keys() - {each.key for each in limits}:
            self._fade_all(key, now_us)
        for limit in limits:
            heard: list[tuple[int, int, _Account]] = []
            for index, (asker, _) in enumerate(asks):
                mine = said[index].get(limit.key, Stated(limit.key, 0, 0, 0))
                account = self._hear(now_us, asker, mine, limit, holders)
                if account is not None:
                    heard.append((index, mine.share, account))
            for index, share in self._shares(now_us, [(asks[index][0].ident, index, before, account)
                                                      for index, before, account in heard], limit, holders):
                out[index].append(Right(limit.key, share))
        return [tuple(each) for each in out]

    def _fade_all(self, key: str, now_us: int) -> None:
        """A limit that the rules lack for now: forgotten once nothing of it can be in use."""
        accounts = self._accounts[key]
        for name in [name for name, each in accounts.items() if now_us >= each.until_us + 2 * HOUR_US]:
            del accounts[name]
        if not accounts:
            del self._accounts[key]

    def _hear(self, now_us: int, asker: Asker, said: Stated, limit: FleetLimit,
              holders: frozenset[str]) -> _Account | None:
        """Take what an ask states; None where no answer is due."""
        accounts = self._accounts.setdefault(limit.key, {})
        ident, life, number = asker.ident, asker.life, asker.number
        account = accounts.get(ident)
        if account is None and ident not in limit.among and ident not in holders:
            return None  # it holds nothing and gets nothing: accounts are as many as the rules name
        if account is not None and (life, number) <= (account.life, account.number):
            return None  # late or doubled: who sent it takes no answer to it
        stated = max(0, said.share, said.uses)
        if account is None:
            # Danger: what a former life of it was given by an earlier leader is in no account here.
            lapses = given_until_us(now_us, self._grant_us) + limit.lag_us
            account = accounts[ident] = _Account(life, number, stated, 0, 0, 0, lapses - asker.up_us)
        else:
            self._settle(now_us, account, life, stated, limit)
        account.life, account.number, account.stated, account.given = life, number, stated, 0
        account.wants = min(max(0, said.wants), limit.most)
        account.until_us = given_until_us(now_us, self._grant_us)
        return account

    def _settle(self, now_us: int, account: _Account, life: int, stated: int, limit: FleetLimit) -> None:
        """What it held before this ask, where it may be in use for a while."""
        account.fading = [(held, until) for held, until in account.fading if until > now_us]
        account.former = [(held, until) for held, until in account.former if until > now_us]
        if life != account.life:
            # Its former life's uses stand where they are, or in the window; nobody speaks for them.
            held, ends = max([account.held, *(held for held, _ in account.fading)]), min(now_us, account.until_us)
            account.former.append((held, ends + limit.lag_us))
            account.fading = []
        elif limit.kind == "rate" and account.held > stated:
            account.fading.append((account.held, now_us + limit.lag_us))

    def _in_use(self, now_us: int, account: _Account, limit: FleetLimit) -> int:
        """What one may use, or may have in use, by now."""
        held = account.held if now_us < account.until_us + limit.lag_us else 0
        # Of one life a window sees one part after the other, never their sum; a new life knows nothing of its last.
        own = max([held, *(each for each, until in account.fading if until > now_us)])
        return own + self._of_former(now_us, account)

    def _of_former(self, now_us: int, account: _Account) -> int:
        return sum(each for each, until in account.former if until > now_us)

    def _shares(self, now_us: int, heard: Sequence[tuple[str, int, int, _Account]], limit: FleetLimit,
                holders: frozenset[str]) -> Iterator[tuple[int, int]]:
        """For each (name, index, share before, account) its index and share from now on."""
        accounts = self._accounts.get(limit.key, {})
        total = sum(self._in_use(now_us, each, limit) for each in accounts.values())
        known = (now_us >= given_until_us(self._began_us, self._grant_us) + limit.lag_us
                 or not self._given_before(limit.key)
                 or all(name in accounts and now_us >= accounts[name].known_us for name in holders))
        parts = fair(limit.most, {
            name: accounts[name].wants if name in accounts and self._alive(now_us, accounts[name]) else 0
            for name in limit.among}, IDLE[limit.kind])
        for name, index, before, account in heard:
            own = self._in_use(now_us, account, limit)
            room = max(0, limit.most - (total - own) - self._of_former(now_us, account))
            target = parts.get(name, 0)
            if name in parts and not known:
                account.given = min(before, limit.most)  # somebody may hold what is not known here: nobody gets more
            else:
                steady = abs(target - before) * STEADY <= max(before, target) and account.wants <= before
                account.given = min(before if steady and name in parts else target, room)
            total += self._in_use(now_us, account, limit) - own
            yield index, account.given

    def _alive(self, now_us: int, account: _Account) -> bool:
        return now_us < account.until_us

    def told(self, now_us: int, limits: Iterable[FleetLimit]) -> list[dict[str, object]]:
        """For people: each limit with who holds what, how old that news is, and what nobody can use now."""
        out: list[dict[str, object]] = []
        for limit in limits:
            accounts = self._accounts.get(limit.key, {})
            used = {name: self._in_use(now_us, each, limit) for name, each in accounts.items()}
            out.append({"limit": limit.key, "most": limit.most, "free": limit.most - sum(used.values()), "held": [
                {"placer": name, "share": each.given, "uses": each.stated, "wants": each.wants, "counts": used[name],
                 "ageUs": now_us - (each.until_us - given_until_us(0, self._grant_us)),
                 "lapsed": not self._alive(now_us, each)} for name, each in sorted(accounts.items())]})
        return out


class _Lately:
    """How many were used within a window, in grains of it: each counts as of its grain's end, so never too short."""

    __slots__ = ("_times", "_sum")

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


class Purse:
    """One placer's rights. `uses` counts what stands of a standing limit, by its key."""

    def __init__(self, uses: Callable[[str], int] = lambda key: 0,
                 demand: Callable[[str], int] = lambda key: 0) -> None:
        self.uses, self.demand = uses, demand  # what stands of a limit; what would be used beyond what is
        self.shares: dict[str, int] = {}
        self.limits: dict[str, FleetLimit] = {}
        self._lately: dict[str, _Lately] = {}  # of a rate: what was used
        self._turned_away: dict[str, tuple[int, int]] = {}  # how many were not allowed, and when last

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

    def stated(self, now_us: int) -> tuple[Stated, ...]:
        """For an ask."""
        out = []
        for key in sorted(self.limits):
            used = self.used(now_us, key)
            away, at = self._turned_away.get(key, (0, 0))
            waiting = max(self.demand(key), away if now_us - at < 2_000_000 else 0)
            out.append(Stated(key, self.shares.get(key, 0), used, used + waiting))
        self._turned_away = {key: each for key, each in self._turned_away.items() if now_us - each[1] < 2_000_000}
        return tuple(out)

    def short(self, now_us: int) -> bool:
        """Whether more is wanted of some limit than is held."""
        return any(each.wants > each.share for each in self.stated(now_us))

    def lapse(self) -> None:
        """The grant has lapsed, and what was held with it: it must not be stated any more.

        Danger: a new leader leaves everybody what it states, and another may have been given this by now.
        """
        self.shares.clear()

    def take(self, rights: Iterable[Right]) -> None:
        """The answer to the latest ask, which came before the grant lapsed that the ask was sent under."""
        for each in rights:
            if each.key in self.limits:
                self.shares[each.key] = max(0, each.share)

    def may(self, now_us: int, key: str, count: int) -> bool:
        """Whether so many more are within what is held; the caller has a grant. What is not is counted as wanted."""
        if self.used(now_us, key) + count <= self.shares.get(key, 0):
            return True
        away, at = self._turned_away.get(key, (0, 0))
        self._turned_away[key] = (away + count if now_us - at < 2_000_000 else count), now_us
        return False

    def use(self, now_us: int, key: str, count: int) -> None:
        """So many are used: told for rates; what stands is counted by `uses`."""
        if self.limits[key].kind == "rate":
            self._lately.setdefault(key, _Lately()).add(now_us, count, self.limits[key].window_us // GRAINS)
