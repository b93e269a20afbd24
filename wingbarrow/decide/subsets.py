"""Which placers of a region hold which machines, and each placer's share of a cold machine's offers.

Rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998): for each machine
the placers of the roster are ranked by a hash of the two names. The holders are the first `replicas` ranks that live,
so that who leaves moves only what it held, and all placers with the same names agree without a message.

Two things are asked, and they rest on different grounds. Who holds a machine follows who lives, as this placer believes
it; a wrong belief costs connections and nothing else. The share of a cold machine's offers follows the rank in the
whole roster, which is the same at all placers whatever they believe: the shares add up to no more than the machine's
offers in every view.

No I/O, no clock. The ranks of machines that were asked for are kept, up to `MAX_CACHED_RANKINGS` machines.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from math import ceil, floor, isfinite, sqrt

MAX_ROSTER = 256  # as many as membership knows; a rank fits one byte
MAX_CACHED_RANKINGS = (
    32_768  # machines whose ranks are kept, at most 256 bytes each and some 70 around them
)
PLACER_KEY_BYTES = 16
SCORE_BYTES = 8
MARGIN_DEVIATIONS = (
    5.0  # of `expected_max_subset`: one subset in 3 million is larger, by the normal approximation
)


@dataclass(frozen=True, slots=True)
class SubsetRules:
    """What all placers of a region are told alike, from the settings. Figures out of range raise ValueError."""

    roster: tuple[
        str, ...
    ]  # every placer that may ever hold a machine of this region; its order means nothing
    replicas: int  # placers that hold each machine while all are there
    spare_part: float = (
        0.25  # part of a cold machine's offers that is kept for ranks beyond the first `replicas`
    )

    def __post_init__(self) -> None:
        if not self.roster or not all(self.roster):
            raise ValueError("roster: at least one placer, and no empty name")
        if len(set(self.roster)) < len(self.roster):
            raise ValueError("roster: a placer is named twice")
        if len(self.roster) > MAX_ROSTER:
            raise ValueError(f"roster: more than {MAX_ROSTER} placers")
        if not 1 <= self.replicas <= len(self.roster):
            raise ValueError("replicas: from 1 to the number of placers in the roster")
        if not 0 <= self.spare_part <= 1:
            raise ValueError("spare-part: from 0 to 1")


class Subsets:
    """The same answers at every placer that has the same rules, in every process."""

    def __init__(self, rules: SubsetRules) -> None:
        self.rules = rules
        self._names = tuple(sorted(rules.roster))
        self._known = frozenset(self._names)
        self._keys = tuple(_placer_key(name) for name in self._names)
        self._rankings: dict[
            str, bytes
        ] = {}  # by machine: indexes into `_names`, the first rank first

    def ranking(self, machine: str) -> tuple[str, ...]:
        """The roster by rank for a machine, whoever lives."""
        return tuple(self._names[index] for index in self._ranked(machine))

    def holders(self, machine: str, living: frozenset[str]) -> tuple[str, ...]:
        """The first `replicas` of its order that live; fewer where fewer live. Others of `living` do not count."""
        found: list[str] = []
        for index in self._ranked(machine):
            name = self._names[index]
            if name in living:
                found.append(name)
                if len(found) == self.rules.replicas:
                    break
        return tuple(found)

    def holds(self, placer: str, machine: str, living: frozenset[str], extra: int = 0) -> bool:
        """Whether `placer` is among the holders, or the `extra` (from 0) living ranks after them.

        Looks at few ranks: at some `replicas + extra`, and as many as are dead.
        """
        if placer not in living or placer not in self._known:
            return False
        left = self.rules.replicas + extra
        names = self._names
        for index in self._ranked(machine):
            name = names[index]
            if name == placer:
                return True
            if name in living:
                left -= 1
                if not left:
                    return False
        return False

    def max_cold_offers(self, placer: str, machine: str, offers: float) -> int:
        """Most offers that `placer` may have out to a machine that is cold and stands `offers` of them in all.

        Over the whole roster this adds up to at most `floor(offers)`, as it depends on no belief about who lives. A
        placer outside the roster has no share. Raises ValueError for offers that are negative or not finite.
        """
        if not isfinite(offers) or offers < 0:
            raise ValueError("offers: a finite number from 0")
        if placer not in self._known:
            return 0
        return self._share(self.ranking(machine).index(placer), floor(offers))

    def _share(self, rank: int, total: int) -> int:
        """The deal of `total` by rank: never less for a lower rank than for a higher one."""
        replicas = self.rules.replicas
        others = len(self._names) - replicas
        each, over = divmod(total, len(self._names))
        # No more than an even deal gives the other ranks: with more they would be above the holders.
        spare = min(floor(total * self.rules.spare_part), each * others + max(0, over - replicas))
        if rank < replicas:
            return _dealt(total - spare, replicas, rank)
        return _dealt(spare, others, rank - replicas)

    def _ranked(self, machine: str) -> bytes:
        """Indexes into `_names` by rank, computed once for each machine while it is kept."""
        found = self._rankings.get(machine)
        if found is None:
            found = self._rank(machine)
            if len(self._rankings) >= MAX_CACHED_RANKINGS:
                del self._rankings[next(iter(self._rankings))]
            self._rankings[machine] = found
        return found

    def _rank(self, machine: str) -> bytes:
        name = machine.encode()
        scores = [blake2b(key + name, digest_size=SCORE_BYTES).digest() for key in self._keys]
        # Sorting is stable, so that equal scores stand in the order of the names.
        return bytes(sorted(range(len(scores)), key=scores.__getitem__))


def subset_size(machines: int, placers: int, replicas: int) -> float:
    """The mean number of machines that a placer holds while `placers` of them live."""
    _check_size(machines, placers, replicas)
    return machines * min(replicas, placers) / placers


def expected_max_subset(machines: int, placers: int, replicas: int) -> int:
    """A bound on the machines of one placer: mean + 5 standard deviations of the binomial, and never above `machines`.

    Each machine is held by a placer with chance `replicas / placers`, independently of the other machines, as far as
    the hash is good. Five deviations are exceeded by about 1 placer in 3 million.
    """
    mean = subset_size(machines, placers, replicas)
    chance = min(replicas, placers) / placers
    deviation = sqrt(mean * (1 - chance))
    return min(machines, ceil(mean + MARGIN_DEVIATIONS * deviation))


def placers_needed(machines: int, subset_most: int, replicas: int) -> int:
    """The fewest placers whose subsets are expected to stay within `subset_most` machines; at least `replicas`.

    To bear the loss of k placers without going over, run k more.
    """
    _check_size(machines, 1, replicas)
    if subset_most < 1:
        raise ValueError("subset-most: at least 1")
    low = replicas  # the bound never grows with the number of placers, so the answer is found by bisection
    high = max(replicas, 1)
    while expected_max_subset(machines, high, replicas) > subset_most:
        low, high = high + 1, high * 2
    while low < high:
        middle = (low + high) // 2
        if expected_max_subset(machines, middle, replicas) > subset_most:
            low = middle + 1
        else:
            high = middle
    return high


def _placer_key(name: str) -> bytes:
    """Of one length for every placer, so that no two pairs of names make the same input of the hash."""
    return blake2b(name.encode(), digest_size=PLACER_KEY_BYTES).digest()


def _dealt(total: int, ranks: int, rank: int) -> int:
    """What one of `ranks` gets when `total` is dealt evenly and the remainder goes to the lowest."""
    each, over = divmod(total, ranks)
    return each + (rank < over)


def _check_size(machines: int, placers: int, replicas: int) -> None:
    if machines < 0 or placers < 1 or replicas < 1:
        raise ValueError("machines from 0, placers and replicas from 1")
