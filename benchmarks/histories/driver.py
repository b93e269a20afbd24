"""Histories of the virtual-clock plays of one tree, digested in a form that no renaming changes.

    python benchmarks/histories/driver.py PART SEED [--steps]

Prints the part, the seed, the digest of all steps and their count; `--steps` prints the steps before it. A step is one
call of a state machine: the true time, the placer, how many random numbers were drawn so far anywhere, and the effects
in order. Messages count as they are on the wire, what is persisted field by field; kinds of notifications and keys of
timers count by the order of their first use, so that a kind that is renamed everywhere is the same kind.

`same_histories` runs this text against the present tree, and the text of a start (`driver_COMMIT.txt`) against that
commit. Renames in `wingbarrow.decide` and `wingbarrow.lab` are followed in the second half of this file, the plays; a
play's arguments, its seeds and the order of what it notes stay.
"""

from __future__ import annotations

import enum
import hashlib
import json
import random
import sys
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import fields, is_dataclass
from functools import partial
from typing import Any
from unittest.mock import patch

from wingbarrow.decide.effects import Effect, Persist, Send, SetTimer
from wingbarrow.decide.membership_damping import DampedMembership
from wingbarrow.decide.outliers import detector, ejections, health
from wingbarrow.decide.regions.forwarding import (
    ForwardedJob,
    ForwardReceiver,
    ForwardSender,
    ForwardStatus,
    ForwardTarget,
)
from wingbarrow.decide.subset_widening import SubsetWidening, is_long_wait
from wingbarrow.decide.subsets import SubsetRules, Subsets, expected_max_subset, placers_needed
from wingbarrow.lab.days import Play, play
from wingbarrow.lab.fleet import (
    fault_schedules,
    maintenance_scenarios,
    quota_simulation,
    replica_scenarios,
    session_simulation,
    simulation,
)
from wingbarrow.lab.fleet.coordination_simulation import CoordinationSimulation
from wingbarrow.lab.record import Recorder
from wingbarrow.peers.message import encode_message

S = 1_000_000


class CountedRandom(random.Random):
    """Draws the same numbers as its base, and counts the draws of all instances."""

    draws = 0

    def random(self) -> float:
        CountedRandom.draws += 1
        return super().random()

    def getrandbits(self, k: int, /) -> int:
        CountedRandom.draws += 1
        return super().getrandbits(k)


def leaves(value: Any) -> list[Any]:
    """The figures and texts in a value, in its order, without the names of its fields or keys."""
    if isinstance(value, enum.Enum):
        return [value.value]
    if is_dataclass(value) and not isinstance(value, type):
        return leaves([getattr(value, each.name) for each in fields(value)])
    if isinstance(value, dict):
        return leaves(list(value.values()))
    if isinstance(value, set | frozenset):
        return sorted((leaves(each) for each in value), key=json.dumps)
    if isinstance(value, list | tuple):
        return [leaf for each in value for leaf in leaves(each)]
    if value is None or isinstance(value, str | int | float):
        return [value]
    raise TypeError(f"{type(value).__name__} has no stable form")


class History:
    """The steps of one play."""

    def __init__(self, *, shows: bool) -> None:
        self.count = 0
        self._shows, self.digest = shows, hashlib.sha256()
        self._words: dict[tuple[str, str], int] = {}

    def note(self, *values: Any) -> None:
        """One step."""
        line = json.dumps([CountedRandom.draws, *values], ensure_ascii=False)
        self.digest.update(line.encode() + b"\n")
        self.count += 1
        if self._shows:
            print(line)

    def word(self, of: str, text: str) -> int:
        """A kind or key, as a number by first use."""
        return self._words.setdefault((of, text), len(self._words))


# -- the plays, in this tree's names


def step_of(history: History, effect: Effect) -> list[Any]:
    """What a state machine asked its host for."""
    if isinstance(effect, Send):
        return ["send", effect.ident, effect.address, encode_message(effect.message).decode()]
    if isinstance(effect, SetTimer):
        return ["timer", history.word("timer", effect.key), effect.at_us]
    if isinstance(effect, Persist):
        return ["persist", *leaves(effect)]
    # A notification's fields have no order of their own.
    return [
        "tell",
        history.word("tell", effect.event),
        *sorted(leaves(effect.fields), key=json.dumps),
    ]


@contextmanager
def observed(history: History) -> Iterator[None]:
    """Note each step of each virtual clock, and each record taken at a stand-in's sockets."""
    act = simulation.Simulation.act

    def noted(self: Any, name: str, effects: Iterable[Effect]) -> None:
        asked = list(effects)
        history.note(self.now_us, name, [step_of(history, each) for each in asked])
        act(self, name, asked)

    record = Recorder.__call__

    def recorded(self: Recorder, where: str, what: str, **data: Any) -> None:
        record(self, where, what, **data)
        history.note(self.records[-1].at_us, where, history.word("record", what), leaves(data))

    with (
        patch.object(simulation.Simulation, "act", noted),
        patch.object(Recorder, "__call__", recorded),
    ):
        yield


def cut_off(side: set[str], *, one_way: bool) -> Callable[[str, str], bool]:
    """Nothing passes from a side to the rest; nor back, unless one way alone is cut."""
    return lambda a, b: (
        (a in side and b not in side) or (not one_way and b in side and a not in side)
    )


def note_states(history: History, assembly: CoordinationSimulation) -> None:
    """The replicated state of each voter, what it has on disk, and the judge's figures."""
    history.note("end", assembly.now_us, leaves(assembly.judged()), assembly.refused)
    history.note(
        "floor", assembly.on_floor, leaves(assembly.uses), dict(sorted(assembly.sent.items()))
    )
    for name, disk in sorted(assembly.disks.items()):
        history.note("disk", name, leaves(disk))
    for name, member in sorted(assembly.members.items()):
        history.note("agreed", name, member.rule_set_state.text())
        for chapter in sorted(member.subsystems):
            history.note("chapter", name, chapter, member.subsystems[chapter].snapshot())


def membership(history: History, seed: int) -> None:
    """Nine placers find each other; stops, kills, returns, cuts and loss."""
    fleet, rng = simulation.MembershipSimulation(9, seed), random.Random(f"membership/{seed}")
    fleet.run_until(fleet.all_alive, 60 * S)
    fleet.duplication = 0.1
    for _ in range(14):
        what, some = rng.random(), rng.choice(fleet.names)
        side, one_way = set(rng.sample(fleet.names, rng.randrange(1, 9))), rng.random() < 0.4
        if what < 0.25:
            fleet.cut = cut_off(side, one_way=one_way)
        elif what < 0.45:
            fleet.cut = lambda a, b: False
            fleet.loss = rng.choice((0.0, 0.1, 0.3))
        elif what < 0.6 and some in fleet.members and some not in fleet.stopped:
            fleet.stop(some, rng.randrange(8 * S))
        elif what < 0.8 and some in fleet.members and len(fleet.members) > 2:
            fleet.kill(some)
        else:
            for name in sorted(set(fleet.names) - set(fleet.members)):
                fleet.start(name)
        fleet.run(fleet.now_us + rng.randrange(8 * S))
    fleet.cut, fleet.loss = (lambda a, b: False), 0.0
    for name in sorted(set(fleet.names) - set(fleet.members)):
        fleet.start(name)
    fleet.run(fleet.now_us + 20 * S)
    for who in fleet.names:
        held = (fleet.member_status(who, of) for of in fleet.names)
        history.note("table", who, [each.value if each is not None else None for each in held])


def consensus(history: History, seed: int) -> None:
    """A generated schedule of agreement on rules among five placers, three of which vote."""
    assembly = None
    try:
        for assembly in fault_schedules.run_generated_schedule(5, 3, seed):
            history.note("moment", assembly.now_us, leaves(assembly.judged()))
    except fault_schedules.InvariantError:
        history.note("broken")
    if assembly is not None:
        note_states(history, assembly)


def quotas(history: History, seed: int) -> None:
    """Limits of the whole fleet with skewed demand, under trouble."""
    demand, most, rate = [2.0, 2.0, 2.0, 2.0, 12.0], 60, 80
    world = quota_simulation.QuotaSimulation(5, 3, seed, demand, most, rate)
    wanted = quota_simulation.rules_with_limits(world.names, most, rate)
    world.run_until(lambda: world.leader() is not None, 20 * S)
    world.propose(wanted)
    world.run_until(lambda: world.all_on(wanted), 20 * S)
    reach = quota_simulation.CentralCounter(world, seed)
    for _ in quota_simulation.inject_faults(world, seed, 12):
        history.note(
            "moment",
            world.requested,
            world.started,
            world.violations,
            world.task_steps,
            reach.task_steps,
        )
    note_states(history, world)


def sessions(history: History, seed: int) -> None:
    """Session leases over three regions; regions cut off, lost and back. Either time bounds an end in some seeds."""
    world = session_simulation.run_simulation(6, 3, seed, 10, after_us=2 * S if seed % 2 else 6 * S)
    history.note(
        "sessions", world.sends, world.ends, world.ends_with_successor, len(world.violations)
    )
    for session, life in sorted(world.histories.items()):
        history.note("session", leaves(session), leaves(life))
    note_states(history, world)


def replication(history: History, seed: int) -> None:
    """Job records kept in other regions, loss of a region, reissue."""
    for world in (
        replica_scenarios.trouble(seed, 12),
        replica_scenarios.loss_of_a_region(seed, 40, 0.05),
    ):
        verdict = replica_scenarios.judged(world)
        history.note("verdict", len(verdict.breaches), *leaves(verdict)[len(verdict.breaches) :])
        history.note("lost", replica_scenarios.lost_runs(world), replica_scenarios.forgotten(world))
        history.note(
            "accepted", list(world.accepted), leaves(world.reissued), sorted(world.unrecoverable)
        )
        for begin in world.begins:
            history.note("begin", leaves(begin))


def maintenance(history: History, seed: int) -> None:
    """Maintenance slots: requests, workers, lost machines."""
    world, verdict = maintenance_scenarios.play(
        seed, maintenance_scenarios.Size(regions=1 + seed % 2, seconds=30)
    )
    history.note("verdict", leaves(verdict))
    history.note("lost", leaves(world.outages))
    for each in (*world.changes, *world.work_samples):
        history.note("work", leaves(each))
    note_states(history, world)


class Both:
    """The two sides of handing over at one placer."""

    def __init__(self, name: str, life: int) -> None:
        self.giving, self.taking = ForwardSender(name, life), ForwardReceiver(life)

    def start(self, now_us: int) -> list[Effect]:
        return []

    def on_message(self, now_us: int, ident: str, address: str, message: Any) -> list[Effect]:
        return (self.giving if isinstance(message, ForwardStatus) else self.taking).on_message(
            now_us, ident, address, message
        )

    def on_timer(self, now_us: int, key: str) -> list[Effect]:
        return self.giving.on_timer(now_us, key)


class Handing(simulation.Simulation[Both]):
    """Two placers hand over to two others, which place or refuse at random."""

    def make(self, name: str, now_us: int) -> Both:
        return Both(name, self.incarnations[name])

    def act(self, name: str, effects: Iterable[Effect]) -> None:
        asked = list(effects)
        super().act(name, asked)
        for each in asked:
            if not isinstance(each, Send | SetTimer | Persist) and each.event == "take":
                later = partial(self._decide, name, self.incarnations[name], each.fields["ident"])
                self.at(self.now_us + self.random.randrange(S), later)

    def _decide(self, name: str, life: int, ident: str) -> None:
        if name not in self.members or self.incarnations[name] != life:
            return
        taking, refused = self.members[name].taking, self.random.random() < 0.3
        self.act(
            name,
            taking.report_status(self.now_us, ident, "refused" if refused else "placed", "node-1"),
        )
        if not refused:
            self.at(self.now_us + 2 * S, lambda: self._over(name, life, ident))

    def _over(self, name: str, life: int, ident: str) -> None:
        if name in self.members and self.incarnations[name] == life:
            self.act(name, self.members[name].taking.report_status(self.now_us, ident, "done"))


def handovers(history: History, seed: int) -> None:
    """New Jobs handed over to another region under loss and deaths."""
    world = Handing(
        ["g0", "g1", "t0", "t1"], seed, 0.2, lambda rng: rng.choice((1, 50, 400, 2000)) * 1000
    )
    world.duplication, rng = 0.2, random.Random(f"handovers/{seed}")
    for name in world.names:
        world.start(name)
    for turn in range(40):
        giver = f"g{rng.randrange(2)}"
        targets = [
            ForwardTarget(name, world.incarnations[name]) for name in rng.sample(["t0", "t1"], 2)
        ]
        ident, effects = world.members[giver].giving.begin(
            world.now_us,
            ForwardedJob("{}", "spec", rng.random() < 0.5, world.now_us + 5 * S),
            targets,
        )
        history.note("begun", ident)
        world.act(giver, effects)
        if turn % 7 == 3:
            name = f"t{rng.randrange(2)}"
            world.kill(name)
            world.run(world.now_us + S // 10)
            world.start(name)
        world.run(world.now_us + rng.randrange(S))
    world.run(world.now_us + 20 * S)


def outliers(history: History, seed: int) -> None:
    """Health reports of six placers on thirty machines, some of them bad, one reporter faulty."""
    rng = random.Random(f"outliers/{seed}")
    machines = {f"m{index}": f"zone-{index % 3}" for index in range(30)}
    bad = set(rng.sample(sorted(machines), 5))
    seen = {
        f"p{index}": (health.HealthObserver(), ejections.ActiveEjections()) for index in range(6)
    }
    bench, now = detector.OutlierDetector(), S
    for turn in range(160):
        now += rng.randrange(S)
        name = f"p{rng.randrange(6)}"
        experience, closures = seen[name]
        for machine in rng.sample(sorted(machines), 8):
            if machine not in closures.ejected(now):
                fails = name == "p5" or (machine in bad and rng.random() < 0.8)
                experience.record(now, machine, not fails)
        seen_now = experience.report(now, closures.probed_here)
        bench.on_report(now, name, f"region-{int(name[1:]) % 3}", seen_now)
        bench.evaluate(now, machines)
        told = bench.active(now)
        closures.apply(now, name, told)
        history.note(
            now, name, leaves(seen_now.reports), seen_now.outliers, seen_now.tried, leaves(told)
        )
        history.note(
            sorted(closures.ejected(now)),
            sorted(closures.probed_here),
            sorted(bench.not_ejected.items()),
            closures.repeatedly_ejected(now, 1),
        )
        if turn % 40 == 39:
            bad = set(rng.sample(sorted(machines), 5))


def subsets(history: History, seed: int) -> None:
    """Who holds which machines as placers come and go; shares of cold machines; widening."""
    rng = random.Random(f"subsets/{seed}")
    roster = tuple(f"placer-{index}" for index in range(rng.randrange(3, 40)))
    rules = SubsetRules(roster, rng.randrange(1, min(6, len(roster))), rng.choice((0.0, 0.25, 1.0)))
    held = Subsets(rules)
    view = DampedMembership(roster[0], roster, rng.randrange(10 * S), rng.randrange(2 * S))
    widening, now = SubsetWidening(rng.randrange(5)), 0
    machines = [f"node-{seed}-{index:04}" for index in range(60)]
    for machine in machines:
        offers = rng.uniform(0, 40)
        shares = [held.max_cold_offers(name, machine, offers) for name in roster]
        history.note(machine, held.ranking(machine), offers, shares)
    for _ in range(150):
        now += rng.randrange(3 * S)
        if rng.random() < 0.5:
            view.on_members(now, frozenset(rng.sample(roster, rng.randrange(len(roster) + 1))))
        living = view.live_members(now)
        long = (
            is_long_wait(rng.randrange(3 * S), rng.choice((S // 2, 5 * S))) and rng.random() < 0.8
        )
        extra = widening.update(now, long, rng.randrange(6))
        mine = [each for each in machines if held.holds(roster[0], each, living, extra)]
        history.note(now, sorted(living), view.next_change_us(), long, extra, mine)
        machine = rng.choice(machines)
        history.note(machine, held.holders(machine, living))
    for most in (30, 100, 400):
        history.note(
            most, (placers_needed(4000, most, rules.replicas), expected_max_subset(4000, 48, 3))
        )


def days(history: History, seed: int) -> None:
    """A whole day of five placers that hold subsets, with HTTP between all: what crossed the machines' sockets."""
    day = Play("bad-day" if seed % 2 else "generated", seed, placers=5, subsets=2, seconds=20.0)
    figures = play(day).audit
    history.note(figures.accepted, figures.placed, figures.refused, figures.failed, figures.offers)


PARTS: dict[str, Callable[[History, int], None]] = {
    each.__name__: each
    for each in (
        membership,
        consensus,
        quotas,
        sessions,
        replication,
        maintenance,
        handovers,
        outliers,
        subsets,
        days,
    )
}


def main() -> None:
    part, seed = sys.argv[1], int(sys.argv[2])
    history = History(shows="--steps" in sys.argv)
    with patch.object(random, "Random", CountedRandom), observed(history):
        PARTS[part](history, seed)
    print(part, seed, history.digest.hexdigest(), history.count)


if __name__ == "__main__":
    main()
