"""Generated schedules of agreement on a virtual clock: cuts, loss, stops, kills, doubled mail, proposals, a floor."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from wingbarrow.decide.coordination.messages import Timing
from wingbarrow.decide.rulesets.ruleset import ClassRules, RuleSet, equal_shares, normalized
from wingbarrow.lab.fleet.coordination_simulation import ACT_INTERVAL_US, CoordinationSimulation
from wingbarrow.lab.fleet.simulation import SECOND

STATED_US = Timing().overlap_us(ACT_INTERVAL_US)


class Broken(AssertionError):
    """Something that must hold did not."""


def rules(of: int = 3, most: int = 3, offers: int = 20, barred: tuple[str, ...] = ()) -> RuleSet:
    """Rules by whom the cold budget is shared, how many of a service a rack may hold, and what is barred."""
    classes = ClassRules("web", "safe", "cell", most), ClassRules("settlement", "unsafe", "none", 0)
    return normalized(
        RuleSet(
            classes,
            4,
            18 * SECOND,
            2 * SECOND,
            equal_shares(offers, tuple(f"p{i:03d}" for i in range(of))),
            250_000,
            barred,
        )
    )


FLOOR = normalized(
    RuleSet(
        (ClassRules("web", "safe", "cell", 1),), 1, 60 * SECOND, 10 * SECOND, (), 0, ("n1", "n2")
    )
)


def founded(
    count: int = 5, voters: int = 3, seed: int = 1, loss: float = 0.0
) -> CoordinationSimulation:
    """Placers that act on their first rules."""
    assembly = CoordinationSimulation(count, voters, seed, loss=loss)
    _want(assembly.run_until(lambda: assembly.leader() is not None, 20 * SECOND), "one leads")
    assembly.propose(rules())
    _want(
        assembly.run_until(lambda: assembly.all_on(rules()), 20 * SECOND),
        "all act on the first rules",
    )
    return assembly


def _want(good: bool, words: str) -> None:
    if not good:
        raise Broken(words)


def fine(assembly: CoordinationSimulation) -> None:
    """Broken where anybody acted on rules whose time had passed."""
    verdict = assembly.judged()
    _want(bool(verdict.acts) and not verdict.past and verdict.longest_us <= STATED_US, str(verdict))


def _cut(side: set[str], one_way: bool) -> Callable[[str, str], bool]:
    """Nothing passes from a side to the rest; nor back, unless one way alone is cut."""
    return lambda a, b: (a in side and b not in side) or (
        not one_way and b in side and a not in side
    )


@dataclass(frozen=True, slots=True)
class Step:
    """One thing that happens, after a wait; `names` are whom it concerns, `figures` what it says."""

    kind: str
    wait_us: int
    names: tuple[str, ...] = ()
    figures: tuple[int, ...] = ()
    one_way: bool = False
    share: float = 0.0


def steps(count: int, seed: int) -> tuple[Step, ...]:
    """Cuts (one way, too), loss, stops, kills, returns and proposals: a function of size and seed."""
    rng = random.Random(f"schedule/{count}/{seed}")
    names = [f"p{index:03d}" for index in range(count)]
    out = [Step("floor", 0)] if rng.random() < 0.5 else []
    for _ in range(25):
        wait, what, some = rng.randrange(3 * SECOND), rng.random(), (rng.choice(names),)
        if what < 0.2:
            side = tuple(sorted(rng.sample(names, rng.randrange(1, count))))
            out.append(Step("cut", wait, side, one_way=rng.random() < 0.4))
        elif what < 0.35:
            out.append(Step("heal", wait))
        elif what < 0.45:
            out.append(Step("lose", wait, share=rng.choice((0.0, 0.1, 0.3))))
        elif what < 0.6:
            out.append(Step("stop", wait, some, (rng.randrange(6 * SECOND),)))
        elif what < 0.7:
            out.append(Step("kill", wait, some))
        elif what < 0.8:
            out.append(Step("return", wait))
        else:
            figures = rng.randrange(1, count + 1), rng.randrange(1, 4), rng.randrange(0, 40)
            out.append(Step("propose", wait, (), figures))
    return tuple(out)


def _take(assembly: CoordinationSimulation, step: Step) -> None:
    """Have it happen, where it can."""
    able = [
        name for name in step.names if name in assembly.members and name not in assembly.stopped
    ]
    if step.kind == "floor":
        assembly.lower_floor(FLOOR, 20 * SECOND, "floor")
    elif step.kind == "cut":
        assembly.cut = _cut(set(step.names), step.one_way)
    elif step.kind == "heal":
        assembly.cut = lambda a, b: False
    elif step.kind == "lose":
        assembly.loss = step.share
    elif step.kind == "stop" and able:
        assembly.stop(able[0], step.figures[0])
    elif step.kind == "kill" and able and len(assembly.members) > 1:
        assembly.kill(able[0])
    elif step.kind == "return":
        for name in sorted(set(assembly.names) - set(assembly.members)):
            assembly.start(name)
    elif step.kind == "propose":
        of, most, offers = step.figures
        assembly.propose(rules(of, most, offers))


def played(
    count: int, voters: int, seed: int, wanted: tuple[Step, ...]
) -> Iterator[CoordinationSimulation]:
    """A schedule, step by step; then all heals, and all have to come to the last version."""
    assembly = founded(count, voters, seed)
    assembly.duplication = 0.1
    for step in wanted:
        assembly.run(assembly.now_us + step.wait_us)
        _take(assembly, step)
        yield assembly
    assembly.cut, assembly.loss = (lambda a, b: False), 0.0
    for name in sorted(set(assembly.names) - set(assembly.members)):
        assembly.start(name)
    _want(
        assembly.run_until(
            lambda: not assembly.stopped and assembly.leader() is not None, 30 * SECOND
        ),
        "one leads",
    )
    assembly.run(assembly.now_us + 15 * SECOND)
    last = rules(count, 2, 17)
    assembly.propose(last)
    _want(
        assembly.run_until(lambda: assembly.all_on(last), 20 * SECOND),
        "all are on the last version after healing",
    )
    yield assembly


def generated(count: int, voters: int, seed: int) -> Iterator[CoordinationSimulation]:
    """The schedule of a size and seed, played."""
    yield from played(count, voters, seed, steps(count, seed))


def voters_of(count: int) -> int:
    """How many vote among so many."""
    return 7 if count >= 40 else 5 if count >= 10 else 3


def trial(count: int, seed: int, only: tuple[int, ...] | None = None) -> str:
    """What went wrong in a schedule, or in some of its steps; "" where nothing did."""
    every = steps(count, seed)
    wanted = every if only is None else tuple(every[index] for index in only)
    try:
        for assembly in played(count, voters_of(count), seed, wanted):
            fine(assembly)
    except AssertionError as error:  # Broken, or what the state machines assert themselves
        return f"{type(error).__name__}: {error}"
    return ""


def shrink(count: int, seed: int, tries: int = 60) -> tuple[int, ...]:
    """The fewest steps found that still go wrong, of a schedule that does."""
    kept = tuple(range(len(steps(count, seed))))
    size = len(kept) // 2
    while size and tries > 0:
        for begin in range(0, len(kept), size):
            fewer = kept[:begin] + kept[begin + size :]
            tries -= 1
            if trial(count, seed, fewer):
                kept = fewer
                break
        else:
            size //= 2
    return kept
