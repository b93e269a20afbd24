"""Days recorded around a scheduler, a line for each event and what the scheduler answered.

    python benchmarks/decision_days.py SITE.toml SEED EVENTS

A fleet with machines that refuse, err, fall silent, drain, come back cold; owners who withdraw; peer hints; planned
ends; settings that change. The scheduler is `wingbarrow.Scheduler` of whatever tree is on the path: `same_decisions`
runs this text against two trees. It names nothing but `wingbarrow` and `wingbarrow.interface`, whose names are fixed.
"""

from __future__ import annotations

import enum
import heapq
import itertools
import json
import random
import sys
import tomllib
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, fields, is_dataclass, replace
from pathlib import Path
from typing import Any

import wingbarrow
from wingbarrow import interface as api

S = 1_000_000
KNOWLEDGE = "Knowledge"  # marks the last line: what the scheduler knows of the machines then
EFFECTS = {"safe": api.Effect.SAFE, "keyed": api.Effect.KEYED, "unsafe": api.Effect.UNSAFE}
PLACES = {each.value: each for each in api.Place}
REPORTS = {"probe": api.Reports.ON_PROBES, "inline": api.Reports.IN_ANSWERS}


def settings_of_site(path: Path, rng: random.Random) -> api.Settings:
    """Settings as a deployment of this site might have them; ranges are drawn from."""
    site = tomllib.loads(path.read_text())
    fam, rules = site["fam"], site["rules"]
    report, discovery = site["tier"][0]["report"], site["discovery"]

    def draw(value: Any, usual: float = 0.0) -> float:
        value = usual if value is None else value
        return rng.uniform(*value) if isinstance(value, list) else float(value)

    kinds = []
    for kind in site["tier"][0]["kind"]:
        cores = round(draw(kind["cores"]))
        kinds.append(
            api.MachineKind(kind["name"], cores, round(cores * 2 * draw(fam["memory_tilt"]), 1))
        )
    classes = tuple(
        api.TaskClass(
            each["name"],
            EFFECTS[each["effect"]],
            PLACES[each.get("group", "all")],
            int(each.get("window_ms", 0)) * 1000,
            each["worth"],
            PLACES[own.get("spread", "none")],
            int(own.get("most", 0)),
            kinds[own["kind"]].name if isinstance(own.get("kind"), int) else None,
            own["calm"],
            own["fade"],
        )
        for each, own in zip(site["class"], fam["class"], strict=True)
    )
    placers = round(draw(site["scale"]["balancers"]))
    return api.Settings(
        placers,
        rng.randrange(placers),
        classes,
        tuple(kinds),
        draw(fam["over_cores"]),
        draw(fam["over_memory"]),
        site["allow"]["max_attempts"],
        api.Discovery.ASK if discovery["mode"] == "ask" else api.Discovery.PUSH,
        site["allow"]["probes"],
        REPORTS.get(report["how"], api.Reports.NONE),
        fam["counts"] == "used",
        fam["view"],
        int(site["day"]["tick_ms"] * 1000),
        int(draw(rules.get("ask_every_ms"), 10_000) * 1000),
        18 * S,
        int(draw(rules.get("fall_ms"), 2000) * 1000),
        6.0 + 2 * placers,
        api.Prices(site["prices"]["fleet"], site["prices"]["probe"]),
        rng.random() < 0.5,
    )


@dataclass
class Server:
    """A machine of the recorded day."""

    listed: api.ListedMachine
    free: list[float]
    mood: str = "well"


@dataclass(frozen=True)
class Attempt:
    """One send of a task to a server."""

    request: int
    number: int
    server: Server


@dataclass
class Day:
    """Plays a fleet around one scheduler, which answers."""

    scheduler: Any
    settings: api.Settings
    rng: random.Random
    events: int
    now_us: int = 0

    def play(self) -> Iterator[tuple[int, api.Event, list[api.Action]]]:
        """Each event with its time and the actions that it led to."""
        self._heap: list[tuple[int, int, api.Event]] = []
        self._order = itertools.count()
        self._asked: dict[int, api.TaskArrived] = {}
        self._attempts: Counter[int] = Counter()
        self._requests = itertools.count(1)
        self._servers = [self._server(i) for i in range(40)]
        self._at(
            0, api.MachineList(api.ListForm.SAVED, tuple(each.listed for each in self._servers))
        )
        now, pace = 0, self.rng.randrange(8_000, 30_000)
        self._at(pace, None)
        given = 0
        while given < self.events:
            now, _, event = heapq.heappop(self._heap)
            if event is None:
                self._at(now + pace, None)
                event = self._happens(now)
            if event is None:
                continue
            given, self.now_us = given + 1, now
            actions: list[api.Action] = self.scheduler.handle(now, event)
            yield now, event, actions
            for action in actions:
                self._answer(now, action)

    def _at(self, at_us: int, event: Any) -> None:
        heapq.heappush(self._heap, (at_us, next(self._order), event))

    def _server(self, number: int, launched_us: int = 0) -> Server:
        kind = self.rng.choice(self.settings.kinds)
        return Server(
            api.ListedMachine(
                number,
                kind.name,
                number // 4,
                f"zone-{number % 3}",
                api.Phase.RUNNING,
                launched_us,
                kind.cores,
                kind.memory,
            ),
            [kind.cores, kind.memory],
        )

    def _happens(self, now: int) -> api.Event:
        """A task mostly; now and then news, hearsay, a plan, other rules."""
        luck = self.rng.random()
        return next(happening for below, happening in HAPPENINGS if luck < below)(self, now)

    def _arrives(self, now: int) -> api.Event:
        return self._arrival(now, next(self._requests))

    def _found(self, now: int) -> api.Event:
        arrival = self._arrival(now, next(self._requests))
        self._attempts[arrival.request] = 1
        server = self.rng.choice(self._servers)
        self._end_later(now, Attempt(arrival.request, 0, server), api.Outcome.DONE, arrival)
        return api.TaskFound(arrival, server.listed.machine)

    def _withdrawn(self, now: int) -> api.Event:
        return api.TaskWithdrawn(self.rng.choice(list(self._asked) or [0]))

    def _list_fails(self, now: int) -> api.Event:
        return api.MachineList(api.ListForm.FAILED, ())

    def _planned(self, now: int) -> api.Event:
        rng = self.rng
        return api.Planned(
            {
                each.listed.machine: rng.choice((None, now + rng.randrange(30 * S)))
                for each in rng.sample(self._servers, 3)
            }
        )

    def _other_settings(self, now: int) -> api.Event:
        most = max(1, self.settings.attempts_most - self.rng.randrange(2))
        return replace(self.settings, attempts_most=most)

    def _arrival(self, now: int, request: int) -> api.TaskArrived:
        rng = self.rng
        self._asked[request] = arrival = api.TaskArrived(
            request,
            rng.choice(self.settings.classes).name,
            f"s{min(rng.randrange(80), rng.randrange(80))}",
            f"t{request}",
            rng.choice((0.25, 0.5, 1.0, 2.0, 6.0)),
            rng.choice((0.5, 1.0, 2.0, 8.0)),
            now + rng.randrange(S, 9 * S),
            rng.choice((None, rng.randrange(S, 30 * S))),
        )
        return arrival

    def _hearsay(self, now: int) -> api.Learned:
        rng = self.rng
        return api.Learned(
            tuple(
                api.LearnedMachine(
                    each.listed.machine,
                    (rng.uniform(0, 9), rng.uniform(0, 9)),
                    rng.randrange(5 * S),
                    (rng.uniform(-1, 4), 0.0),
                    rng.randrange(5 * S),
                    {f"s{rng.randrange(80)}": 5 * S},
                    {"": (1, 300_000)} if rng.random() < 0.2 else {},
                )
                for each in rng.sample(self._servers, 4)
            ),
            (0.7, 0.6),
            (3.0, 2.0),
        )

    def _news(self, now: int) -> api.MachineList:
        """What the list tells: rooms, moods that change, machines that drain, go and come back cold."""
        rng, changed = self.rng, []
        for number in rng.sample(range(len(self._servers)), 4):
            server, luck = self._servers[number], rng.random()
            if luck < 0.1 or server.listed.phase is api.Phase.GONE:
                server = self._servers[number] = self._server(
                    number, max(1, now - rng.randrange(S))
                )
            elif luck < 0.25:
                phase = rng.choice((api.Phase.DRAINING, api.Phase.GONE))
                server.listed = replace(server.listed, phase=phase)
            elif luck < 0.5:
                server.mood = rng.choice(("well", "well", "silent", "bad", "slow"))
            server.listed = replace(
                server.listed, free_cores=server.free[0], free_memory=server.free[1]
            )
            changed.append(server.listed)
        if rng.random() < 0.1:
            return api.MachineList(api.ListForm.FULL, tuple(each.listed for each in self._servers))
        return api.MachineList(api.ListForm.CHANGES, tuple(changed))

    def _answer(self, now: int, action: api.Action) -> None:
        if isinstance(action, api.SetTimer):
            self._at(max(now, action.at_us), api.TimerDue(action.name))
        elif isinstance(action, api.Probe):
            free = self._servers[action.machine].free
            self._at(
                now + 2_000,
                api.Probed(action.machine, api.Outcome.DONE, api.Report(free[0], free[1])),
            )
        elif isinstance(action, api.WatchList):
            self._at(
                now + 5_000,
                api.MachineList(api.ListForm.FULL, tuple(each.listed for each in self._servers)),
            )
        elif isinstance(action, (api.Refuse, api.Fail)):
            self._asked.pop(action.request, None)
        elif isinstance(action, api.Bind):
            attempt = Attempt(
                action.request, self._attempts[action.request], self._servers[action.machine]
            )
            self._attempts[action.request] += 1
            arrival = self._asked.get(action.request)
            if arrival is not None:
                self._offer(now, action, attempt, arrival)

    def _offer(self, now: int, bind: api.Bind, attempt: Attempt, arrival: api.TaskArrived) -> None:
        """What a server does with a task that it is sent."""
        rng, server = self.rng, attempt.server
        if server.mood == "silent":
            self._ended(bind.give_up_us, attempt, api.Outcome.TIMED_OUT, closed=True)
        elif server.mood == "bad" or rng.random() < 0.02:
            bad = rng.choice([each for each in api.Outcome if each is not api.Outcome.DONE])
            self._ended(now + rng.randrange(90_000), attempt, bad, closed=False)
        elif arrival.cores > server.free[0] or arrival.memory > server.free[1]:
            why = api.Reason.NO_CORES if arrival.cores > server.free[0] else api.Reason.NO_MEMORY
            self._ended(now + 8_000, attempt, api.Outcome.REFUSED, closed=False, reason=why)
        else:
            took = rng.randrange(10_000, 900_000 if server.mood == "slow" else 200_000)
            place = attempt.request, attempt.number, bind.machine
            if self.settings.arrivals_told:
                self._at(now + took // 2, api.TaskNote(*place, api.NoteKind.ARRIVED, 0.0))
            self._at(now + took, api.TaskPlaced(*place, took))
            outcome = rng.choice((api.Outcome.DONE, api.Outcome.DONE, api.Outcome.BROKEN))
            self._end_later(now + took, attempt, outcome, arrival)

    def _end_later(
        self, now: int, attempt: Attempt, outcome: api.Outcome, arrival: api.TaskArrived
    ) -> None:
        """A run with notes on it, then its end."""
        server = attempt.server
        place = attempt.request, attempt.number, server.listed.machine
        rng, runs = self.rng, self.rng.randrange(S, 12 * S)
        server.free[0] -= arrival.cores
        server.free[1] -= arrival.memory
        for _ in range(2):
            kind = rng.choice(
                (api.NoteKind.CORES_USED, api.NoteKind.MEMORY_USED, api.NoteKind.SERVED)
            )
            level = (
                rng.uniform(0.2, 1.2)
                if kind is api.NoteKind.SERVED
                else rng.uniform(0, 2) * arrival.cores
            )
            self._at(now + rng.randrange(runs), api.TaskNote(*place, kind, level))
        self._ended(now + runs, attempt, outcome, closed=True)
        server.free[0] += arrival.cores * rng.random()
        server.free[1] += arrival.memory * rng.random()

    def _ended(
        self,
        at_us: int,
        attempt: Attempt,
        outcome: api.Outcome,
        *,
        closed: bool,
        reason: api.Reason = api.Reason.UNTOLD,
    ) -> None:
        server = attempt.server
        report = api.Report(server.free[0], server.free[1]) if self.rng.random() < 0.5 else None
        place = attempt.request, attempt.number, server.listed.machine
        self._at(at_us, api.AttemptEnded(*place, outcome, reason, closed, 0, report))


# What happens, where a number from 0 to 1 is below the bound and no earlier one.
HAPPENINGS: tuple[tuple[float, Callable[[Day, int], api.Event]], ...] = (
    (0.80, Day._arrives),
    (0.84, Day._found),
    (0.87, Day._withdrawn),
    (0.875, Day._list_fails),
    (0.88, Day._planned),
    (0.89, Day._hearsay),
    (0.891, Day._other_settings),
    (1.0, Day._news),
)


def plain(value: Any) -> Any:
    """A value as JSON takes it: of a dataclass its name and its fields' values, sets in order."""
    if isinstance(value, enum.Enum):
        return value.value
    if is_dataclass(value) and not isinstance(value, type):
        return [type(value).__name__, *(plain(getattr(value, each.name)) for each in fields(value))]
    if isinstance(value, dict):
        return [[plain(key), plain(each)] for key, each in value.items()]
    if isinstance(value, (set, frozenset)):
        return sorted(map(plain, value), key=json.dumps)
    if isinstance(value, (list, tuple)):
        return [plain(each) for each in value]
    return value


def main() -> None:
    path, seed, events = Path(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3])
    settings = settings_of_site(path, random.Random(seed))
    day = Day(wingbarrow.Scheduler(settings, seed), settings, random.Random(seed), events)
    for now, event, actions in day.play():
        print(json.dumps([now, plain(event), plain(actions)]))
    print(json.dumps([day.now_us, [KNOWLEDGE], [plain(day.scheduler.knowledge(day.now_us))]]))


if __name__ == "__main__":
    main()
