"""Which placers of a region hold which machines, and each placer's share of a cold machine's offers.

Rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998): for each machine
the placers of the roster are ranked by a hash of the two names. The holders are the first `replicas` ranks that are
live, so that a placer that leaves moves only the machines that it held, and all placers with the same names agree
without a message.

The two answers depend on different input. The holders of a machine depend on which placers are live in this placer's
view; a wrong view costs connections and nothing else. The share of a cold machine's offers depends on the rank in the
whole roster, which is the same at all placers in any view: the shares always add up to no more than the machine's
offers.

No I/O, no clock. Rankings are cached for up to `MAX_CACHED_RANKINGS` machines.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from math import ceil, floor, isfinite, sqrt

MAX_ROSTER = 256  # the limit of membership; a rank fits into one byte
# Machines; each ranking takes at most 256 bytes and some 70 of overhead.
MAX_CACHED_RANKINGS = 32_768
PLACER_KEY_BYTES = 16
SCORE_BYTES = 8
# Margin of `expected_max_subset`: one subset in 3 million is larger, by the normal approximation.
MARGIN_DEVIATIONS = 5.0


@dataclass(frozen=True, slots=True)
class SubsetRules:
    """The settings of subsets, the same at all placers of a region. Values out of range raise ValueError."""

    # Every placer that may ever hold a machine of this region, in any order.
    roster: tuple[str, ...]
    replicas: int  # placers that hold each machine while all placers are live
    # Part of a cold machine's offers that is reserved for ranks beyond the first `replicas`.
    spare_part: float = 0.25

    def __post_init__(self) -> None:
        if not self.roster or not all(self.roster):
            raise ValueError("roster: expected at least one placer, and no empty name")
        if len(set(self.roster)) < len(self.roster):
            raise ValueError("roster: a placer is named twice")
        if len(self.roster) > MAX_ROSTER:
            raise ValueError(f"roster: at most {MAX_ROSTER} placers, not {len(self.roster)}")
        if not 1 <= self.replicas <= len(self.roster):
            raise ValueError(
                f"replicas: from 1 to {len(self.roster)}, the size of the roster, not {self.replicas}"
            )
        if not 0 <= self.spare_part <= 1:
            raise ValueError(f"spare-part: from 0 to 1, not {self.spare_part}")


class Subsets:
    """Rankings, holders and shares; deterministic: the same at every placer with the same rules, in every process."""

    def __init__(self, rules: SubsetRules) -> None:
        self.rules = rules
        self._names = tuple(sorted(rules.roster))
        self._roster = frozenset(self._names)
        self._keys = tuple(_placer_key(name) for name in self._names)
        # By machine: indexes into `_names`, by ascending rank.
        self._rankings: dict[str, bytes] = {}

    def ranking(self, machine: str) -> tuple[str, ...]:
        """The whole roster by rank for a machine, live or not."""
        return tuple(self._names[index] for index in self._ranked(machine))

    def holders(self, machine: str, live: frozenset[str]) -> tuple[str, ...]:
        """The first `replicas` live placers by rank; fewer where fewer are live.

        Names in `live` outside the roster are ignored.
        """
        found: list[str] = []
        for index in self._ranked(machine):
            name = self._names[index]
            if name in live:
                found.append(name)
                if len(found) == self.rules.replicas:
                    break
        return tuple(found)

    def holds(self, placer: str, machine: str, live: frozenset[str], extra: int = 0) -> bool:
        """Whether `placer` is among the holders, or the `extra` (at least 0) live ranks after them.

        Visits about `replicas + extra` ranks, and those of dead placers in between.
        """
        if placer not in live or placer not in self._roster:
            return False
        left = self.rules.replicas + extra
        names = self._names
        for index in self._ranked(machine):
            name = names[index]
            if name == placer:
                return True
            if name in live:
                left -= 1
                if not left:
                    return False
        return False

    def max_cold_offers(self, placer: str, machine: str, offers: float) -> int:
        """How many offers `placer` may have open to a cold machine that accepts `offers` in total.

        Over the whole roster this adds up to at most `floor(offers)`, as it does not depend on any view of which
        placers are live. A placer outside the roster has no share. Raises ValueError for offers that are negative or
        not finite.
        """
        if not isfinite(offers) or offers < 0:
            raise ValueError(f"offers: expected a finite number of at least 0, not {offers}")
        if placer not in self._roster:
            return 0
        return self._share(self.ranking(machine).index(placer), floor(offers))

    def _share(self, rank: int, total: int) -> int:
        """The share of `total` for a rank; never smaller than that of a rank further back."""
        replicas = self.rules.replicas
        others = len(self._names) - replicas
        quotient, remainder = divmod(total, len(self._names))
        # At most what an even split gives to the other ranks: with more, their shares would exceed those of holders.
        spare = min(
            floor(total * self.rules.spare_part), quotient * others + max(0, remainder - replicas)
        )
        if rank < replicas:
            return _even_share(total - spare, replicas, rank)
        return _even_share(spare, others, rank - replicas)

    def _ranked(self, machine: str) -> bytes:
        """Indexes into `_names` by rank, cached."""
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
        # Sorting is stable, so equal scores are ordered by name.
        return bytes(sorted(range(len(scores)), key=scores.__getitem__))


def subset_size(machines: int, placers: int, replicas: int) -> float:
    """The mean number of machines that a placer holds while `placers` placers are live.

    Raises ValueError for negative `machines`, and for `placers` or `replicas` below 1, as the functions below do.
    """
    _check_size(machines, placers, replicas)
    return machines * min(replicas, placers) / placers


def expected_max_subset(machines: int, placers: int, replicas: int) -> int:
    """A bound on the machines of one placer: mean + 5 standard deviations of the binomial, and never above `machines`.

    With a uniform hash, each machine is held by a placer with probability `replicas / placers`, independently of the
    other machines. Five deviations are exceeded by about 1 placer in 3 million.
    """
    mean = subset_size(machines, placers, replicas)
    probability = min(replicas, placers) / placers
    deviation = sqrt(mean * (1 - probability))
    return min(machines, ceil(mean + MARGIN_DEVIATIONS * deviation))


def placers_needed(machines: int, max_subset: int, replicas: int) -> int:
    """The fewest placers whose subsets are expected to stay within `max_subset` machines; at least `replicas`.

    To tolerate the loss of k placers within that bound, run k more. Raises ValueError for `max_subset` below 1.
    """
    _check_size(machines, 1, replicas)
    if max_subset < 1:
        raise ValueError(f"max_subset: at least 1, not {max_subset}")
    low = replicas  # the bound never increases with the number of placers, so that bisection works
    high = max(replicas, 1)
    while expected_max_subset(machines, high, replicas) > max_subset:
        low, high = high + 1, high * 2
    while low < high:
        middle = (low + high) // 2
        if expected_max_subset(machines, middle, replicas) > max_subset:
            low = middle + 1
        else:
            high = middle
    return high


def _placer_key(name: str) -> bytes:
    """A key of fixed length, so that no two pairs of placer and machine yield the same input of the hash."""
    return blake2b(name.encode(), digest_size=PLACER_KEY_BYTES).digest()


def _even_share(total: int, ranks: int, rank: int) -> int:
    """The share of one of `ranks` ranks of an even split of `total`; the remainder goes to the first ranks."""
    quotient, remainder = divmod(total, ranks)
    return quotient + (rank < remainder)


def _check_size(machines: int, placers: int, replicas: int) -> None:
    if machines < 0 or placers < 1 or replicas < 1:
        raise ValueError(
            "expected machines of at least 0, placers and replicas of at least 1, not "
            f"{machines}, {placers} and {replicas}"
        )
