"""Generated schedules of agreement on a virtual clock: cuts, loss, stops, kills, doubled mail, proposals, a floor."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator

from wingbarrow.decide.peers.agreement import Times
from wingbarrow.decide.peers.rules import ClassRules, RuleSet, normal, shares
from wingbarrow.lab.fleet.assembly import ACT_US, Assembly
from wingbarrow.lab.fleet.swarm import SECOND

STATED_US = Times().stated_us(ACT_US)


class Broken(AssertionError):
    """Something that must hold did not."""


def rules(of: int = 3, most: int = 3, offers: int = 20, barred: tuple[str, ...] = ()) -> RuleSet:
    """Rules by whom the cold budget is shared, how many of a service a rack may hold, and what is barred."""
    classes = ClassRules("web", "safe", "cell", most), ClassRules("settlement", "unsafe", "none", 0)
    return normal(RuleSet(classes, 4, 18 * SECOND, 2 * SECOND, shares(offers, tuple(f"p{i:03d}" for i in range(of))),
                          250_000, barred))


FLOOR = normal(RuleSet((ClassRules("web", "safe", "cell", 1),), 1, 60 * SECOND, 10 * SECOND, (), 0, ("n1", "n2")))


def founded(count: int = 5, voters: int = 3, seed: int = 1, loss: float = 0.0) -> Assembly:
    """Placers that act on their first rules."""
    assembly = Assembly(count, voters, seed, loss=loss)
    _want(assembly.run_until(lambda: assembly.leader() is not None, 20 * SECOND), "one leads")
    assembly.propose(rules())
    _want(assembly.run_until(lambda: assembly.all_on(rules()), 20 * SECOND), "all act on the first rules")
    return assembly


def _want(good: bool, words: str) -> None:
    if not good:
        raise Broken(words)


def fine(assembly: Assembly) -> None:
    """Broken where anybody acted on rules whose time had passed."""
    verdict = assembly.judged()
    _want(bool(verdict.acts) and not verdict.past and verdict.longest_us <= STATED_US, str(verdict))


def _cut(side: set[str], one_way: bool) -> Callable[[str, str], bool]:
    """Nothing passes from a side to the rest; nor back, unless one way alone is cut."""
    return lambda a, b: (a in side and b not in side) or (not one_way and b in side and a not in side)


def generated(count: int, voters: int, seed: int) -> Iterator[Assembly]:
    """A schedule of cuts (one way, too), loss, stops, kills and proposals; then all heals."""
    rng, assembly = random.Random(seed), founded(count, voters, seed)
    if rng.random() < 0.5:
        assembly.lower_floor(FLOOR, 20 * SECOND, "floor")
    assembly.twice = 0.1
    for _ in range(25):
        assembly.run(assembly.now_us + rng.randrange(3 * SECOND))
        what, some = rng.random(), rng.choice(assembly.names)
        if what < 0.2:
            side, one_way = set(rng.sample(assembly.names, rng.randrange(1, count))), rng.random() < 0.4
            assembly.cut = _cut(side, one_way)
        elif what < 0.35:
            assembly.cut = lambda a, b: False
        elif what < 0.45:
            assembly.loss = rng.choice((0.0, 0.1, 0.3))
        elif what < 0.6 and some in assembly.members and some not in assembly.stopped:
            assembly.stop(some, rng.randrange(6 * SECOND))
        elif what < 0.7 and some in assembly.members and len(assembly.members) > 1:
            assembly.kill(some)
        elif what < 0.8:
            for name in sorted(set(assembly.names) - set(assembly.members)):
                assembly.start(name)
        else:
            assembly.propose(rules(rng.randrange(1, count + 1), rng.randrange(1, 4), rng.randrange(0, 40)))
        yield assembly
    assembly.cut, assembly.loss = (lambda a, b: False), 0.0
    for name in sorted(set(assembly.names) - set(assembly.members)):
        assembly.start(name)
    _want(assembly.run_until(lambda: not assembly.stopped and assembly.leader() is not None, 30 * SECOND), "one leads")
    assembly.run(assembly.now_us + 15 * SECOND)
    last = rules(count, 2, 17)
    assembly.propose(last)
    _want(assembly.run_until(lambda: assembly.all_on(last), 20 * SECOND), "all are on the last version after healing")
    yield assembly
