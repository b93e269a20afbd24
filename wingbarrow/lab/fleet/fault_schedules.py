"""Generated fault schedules for coordination on a virtual clock, with checks of the invariants and a shrinker.

A schedule has partitions, loss, pauses, kills, duplicate messages, proposals of rule sets and a lowered floor.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from wingbarrow.decide.coordination.messages import Timing
from wingbarrow.decide.rulesets.ruleset import ClassRules, RuleSet, equal_shares, normalized
from wingbarrow.lab.fleet.coordination_simulation import ACT_INTERVAL_US, CoordinationSimulation
from wingbarrow.lab.fleet.simulation import SECOND

MAX_OVERLAP_US = Timing().overlap_us(ACT_INTERVAL_US)


class InvariantError(AssertionError):
    """An invariant or an expected outcome of a schedule does not hold."""


def rules(
    count: int = 3, max_per_rack: int = 3, offers: int = 20, barred: tuple[str, ...] = ()
) -> RuleSet:
    """A rule set in which `count` placers share the cold budget `offers`.

    `max_per_rack` limits the tasks of a service in one rack (spread by cell); `barred` lists the barred machines.
    """
    classes = (
        ClassRules("web", "safe", "cell", max_per_rack),
        ClassRules("settlement", "unsafe", "none", 0),
    )
    return normalized(
        RuleSet(
            classes,
            4,
            18 * SECOND,
            2 * SECOND,
            equal_shares(offers, tuple(f"p{i:03d}" for i in range(count))),
            250_000,
            barred,
        )
    )


FLOOR = normalized(
    RuleSet(
        (ClassRules("web", "safe", "cell", 1),), 1, 60 * SECOND, 10 * SECOND, (), 0, ("n1", "n2")
    )
)


def bootstrapped_assembly(
    count: int = 5, voters: int = 3, seed: int = 1, loss: float = 0.0
) -> CoordinationSimulation:
    """An assembly whose placers all act on their first rules; raises InvariantError if they do not within 40 s."""
    assembly = CoordinationSimulation(count, voters, seed, loss=loss)
    _require(
        assembly.run_until(lambda: assembly.leader() is not None, 20 * SECOND),
        "no leader was elected",
    )
    assembly.propose(rules())
    _require(
        assembly.run_until(lambda: assembly.all_on(rules()), 20 * SECOND),
        "not all placers act on the first rules",
    )
    return assembly


def _require(condition: bool, message: str) -> None:
    if not condition:
        raise InvariantError(message)


def check_invariants(assembly: CoordinationSimulation) -> None:
    """Raise InvariantError if a placer acted on expired rules, or for too long on rules that had been replaced."""
    verdict = assembly.judged()
    _require(
        bool(verdict.acts) and not verdict.past and verdict.longest_us <= MAX_OVERLAP_US,
        str(verdict),
    )


def _cut(side: set[str], one_way: bool) -> Callable[[str, str], bool]:
    """A partition: no message passes from `side` to the rest, nor back unless it is one-way."""
    return lambda a, b: (a in side and b not in side) or (
        not one_way and b in side and a not in side
    )


@dataclass(frozen=True, slots=True)
class Step:
    """One fault or proposal after a wait; `names` are the placers concerned, `numbers` its parameters."""

    kind: str
    wait_us: int
    names: tuple[str, ...] = ()
    numbers: tuple[int, ...] = ()
    one_way: bool = False
    share: float = 0.0


def generate_steps(count: int, seed: int) -> tuple[Step, ...]:
    """The schedule of a size and seed: partitions (also one-way), loss, pauses, kills, restarts and proposals."""
    rng = random.Random(f"schedule/{count}/{seed}")
    names = [f"p{index:03d}" for index in range(count)]
    generated = [Step("floor", 0)] if rng.random() < 0.5 else []
    for _ in range(25):
        wait_us, kind, target = rng.randrange(3 * SECOND), rng.random(), (rng.choice(names),)
        if kind < 0.2:
            side = tuple(sorted(rng.sample(names, rng.randrange(1, count))))
            generated.append(Step("cut", wait_us, side, one_way=rng.random() < 0.4))
        elif kind < 0.35:
            generated.append(Step("heal", wait_us))
        elif kind < 0.45:
            generated.append(Step("lose", wait_us, share=rng.choice((0.0, 0.1, 0.3))))
        elif kind < 0.6:
            generated.append(Step("stop", wait_us, target, (rng.randrange(6 * SECOND),)))
        elif kind < 0.7:
            generated.append(Step("kill", wait_us, target))
        elif kind < 0.8:
            generated.append(Step("return", wait_us))
        else:
            numbers = rng.randrange(1, count + 1), rng.randrange(1, 4), rng.randrange(0, 40)
            generated.append(Step("propose", wait_us, (), numbers))
    return tuple(generated)


def _apply(assembly: CoordinationSimulation, step: Step) -> None:
    """Apply a step, if its target is running."""
    running = [
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
    elif step.kind == "stop" and running:
        assembly.stop(running[0], step.numbers[0])
    elif step.kind == "kill" and running and len(assembly.members) > 1:
        assembly.kill(running[0])
    elif step.kind == "return":
        for name in sorted(set(assembly.names) - set(assembly.members)):
            assembly.start(name)
    elif step.kind == "propose":
        count, max_per_rack, offers = step.numbers
        assembly.propose(rules(count, max_per_rack, offers))


def run_schedule(
    count: int, voters: int, seed: int, schedule: tuple[Step, ...]
) -> Iterator[CoordinationSimulation]:
    """Run a schedule and yield after each step; then heal all and require that all reach a last version."""
    assembly = bootstrapped_assembly(count, voters, seed)
    assembly.duplication = 0.1
    for step in schedule:
        assembly.run(assembly.now_us + step.wait_us)
        _apply(assembly, step)
        yield assembly
    assembly.cut, assembly.loss = (lambda a, b: False), 0.0
    for name in sorted(set(assembly.names) - set(assembly.members)):
        assembly.start(name)
    _require(
        assembly.run_until(
            lambda: not assembly.stopped and assembly.leader() is not None, 30 * SECOND
        ),
        "no leader was elected",
    )
    assembly.run(assembly.now_us + 15 * SECOND)
    last = rules(count, 2, 17)
    assembly.propose(last)
    _require(
        assembly.run_until(lambda: assembly.all_on(last), 20 * SECOND),
        "not all placers act on the last version after healing",
    )
    yield assembly


def run_generated_schedule(count: int, voters: int, seed: int) -> Iterator[CoordinationSimulation]:
    """Run the generated schedule of a size and seed."""
    yield from run_schedule(count, voters, seed, generate_steps(count, seed))


def voter_count(count: int) -> int:
    """The number of voters among `count` placers."""
    return 7 if count >= 40 else 5 if count >= 10 else 3


def run_trial(count: int, seed: int, indices: tuple[int, ...] | None = None) -> str:
    """Run a schedule, or the steps with the given indices; return the failure, "" if there is none."""
    all_steps = generate_steps(count, seed)
    schedule = all_steps if indices is None else tuple(all_steps[index] for index in indices)
    try:
        for assembly in run_schedule(count, voter_count(count), seed, schedule):
            check_invariants(assembly)
    except AssertionError as error:  # InvariantError, or an assertion of the state machines
        return f"{type(error).__name__}: {error}"
    return ""


def shrink_schedule(count: int, seed: int, max_trials: int = 60) -> tuple[int, ...]:
    """Indices of the fewest steps found with which a failing schedule still fails, after about `max_trials` runs."""
    kept = tuple(range(len(generate_steps(count, seed))))
    size = len(kept) // 2
    while size and max_trials > 0:
        for begin in range(0, len(kept), size):
            fewer = kept[:begin] + kept[begin + size :]
            max_trials -= 1
            if run_trial(count, seed, fewer):
                kept = fewer
                break
        else:
            size //= 2
    return kept
