"""The decision module before and after a change: the same seed and events, the same actions.

    python -m benchmarks.same_decisions OLD SITE.toml [SITE.toml ...] [--events 20000] [--seeds 2]

OLD is a commit whose wingbarrow/logic.py stood alone; its text comes from the history. For each site's settings a
stream of events is recorded around the old text (machines that refuse, err, fall silent, drain, come back cold; owners
who withdraw; hearsay; planned ends; rules that change), then given to both texts anew. Exit 1 at the first difference,
which is printed. Twenty thousand events take a minute or two: the recorded days are crowded, so sweeps are long.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import random
import subprocess
import sys
import tomllib
import types
from collections import Counter
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import wingbarrow
from wingbarrow import interface as api

ROOT = Path(__file__).parent.parent
S = 1_000_000
EFFECTS = {"safe": api.Effect.SAFE, "keyed": api.Effect.KEYED, "unsafe": api.Effect.UNSAFE}
PLACES = {each.value: each for each in api.Place}
REPORTS = {"probe": api.Reports.ON_PROBES, "inline": api.Reports.IN_ANSWERS}
Stream = list[tuple[int, api.Event]]


def old_scheduler(commit: str) -> type[wingbarrow.Scheduler]:
    """The class as the text of a commit defines it."""
    done = subprocess.run(
        ["git", "show", f"{commit}:wingbarrow/logic.py"], cwd=ROOT, capture_output=True, text=True
    )
    if done.returncode:
        raise SystemExit(f"{commit}: {done.stderr.strip()}")
    module = types.ModuleType("old_logic")
    sys.modules[module.__name__] = module  # dataclasses look their module up
    exec(compile(done.stdout, f"{commit}:wingbarrow/logic.py", "exec"), module.__dict__)
    scheduler: type[wingbarrow.Scheduler] = module.Scheduler
    return scheduler


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


@dataclass
class Day:
    """Plays a fleet around one scheduler, which answers, and keeps the events."""

    scheduler: Any
    settings: api.Settings
    rng: random.Random
    events: int
    stream: Stream = field(default_factory=list)
    kinds: Counter[str] = field(default_factory=Counter)

    def play(self) -> Stream:
        """Record until there are enough events."""
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
        while len(self.stream) < self.events:
            now, _, event = heapq.heappop(self._heap)
            if event is None:
                self._at(now + pace, None)
                event = self._happens(now)
            for action in self._give(now, event) if event is not None else ():
                self._answer(now, action)
        return self.stream

    def _at(self, at_us: int, event: Any) -> None:
        heapq.heappush(self._heap, (at_us, next(self._order), event))

    def _give(self, now: int, event: api.Event) -> list[api.Action]:
        self.stream.append((now, event))
        self.kinds[type(event).__name__] += 1
        actions: list[api.Action] = self.scheduler.handle(now, event)
        return actions

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

    def _happens(self, now: int) -> api.Event | None:
        """A task mostly; now and then news, hearsay, a plan, other rules."""
        rng, luck = self.rng, self.rng.random()
        if luck < 0.80:
            return self._arrival(now, next(self._requests))
        if luck < 0.84:
            arrival = self._arrival(now, next(self._requests))
            self._attempts[arrival.request] = 1
            server = rng.choice(self._servers)
            self._end_later(now, arrival.request, 0, server, api.Outcome.DONE, arrival)
            return api.TaskFound(arrival, server.listed.machine)
        if luck < 0.87:
            return api.TaskWithdrawn(rng.choice(list(self._asked) or [0]))
        if luck < 0.875:
            return api.MachineList(api.ListForm.FAILED, ())
        if luck < 0.88:
            return api.Planned(
                {
                    each.listed.machine: rng.choice((None, now + rng.randrange(30 * S)))
                    for each in rng.sample(self._servers, 3)
                }
            )
        if luck < 0.89:
            return self._hearsay()
        if luck < 0.891:
            most = max(1, self.settings.attempts_most - rng.randrange(2))
            return replace(self.settings, attempts_most=most)
        return self._news(now)

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

    def _hearsay(self) -> api.Learned:
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
        rng = self.rng
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
            number, server = self._attempts[action.request], self._servers[action.machine]
            self._attempts[action.request] += 1
            arrival = self._asked.get(action.request)
            if arrival is None:
                return
            if server.mood == "silent":
                self._ended(
                    action.give_up_us, action.request, number, server, api.Outcome.TIMED_OUT, True
                )
            elif server.mood == "bad" or rng.random() < 0.02:
                outcome = rng.choice([each for each in api.Outcome if each is not api.Outcome.DONE])
                self._ended(
                    now + rng.randrange(90_000), action.request, number, server, outcome, False
                )
            elif arrival.cores > server.free[0] or arrival.memory > server.free[1]:
                why = (
                    api.Reason.NO_CORES if arrival.cores > server.free[0] else api.Reason.NO_MEMORY
                )
                self._ended(
                    now + 8_000, action.request, number, server, api.Outcome.REFUSED, False, why
                )
            else:
                took = rng.randrange(10_000, 900_000 if server.mood == "slow" else 200_000)
                if self.settings.arrivals_told:
                    self._at(
                        now + took // 2,
                        api.TaskNote(
                            action.request, number, action.machine, api.NoteKind.ARRIVED, 0.0
                        ),
                    )
                self._at(now + took, api.TaskPlaced(action.request, number, action.machine, took))
                self._end_later(
                    now + took,
                    action.request,
                    number,
                    server,
                    rng.choice((api.Outcome.DONE, api.Outcome.DONE, api.Outcome.BROKEN)),
                    arrival,
                )

    def _end_later(
        self,
        now: int,
        request: int,
        number: int,
        server: Server,
        outcome: api.Outcome,
        arrival: api.TaskArrived,
    ) -> None:
        """A run with notes on it, then its end."""
        rng, machine, runs = self.rng, server.listed.machine, self.rng.randrange(S, 12 * S)
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
            self._at(now + rng.randrange(runs), api.TaskNote(request, number, machine, kind, level))
        self._ended(now + runs, request, number, server, outcome, True)
        server.free[0] += arrival.cores * rng.random()
        server.free[1] += arrival.memory * rng.random()

    def _ended(
        self,
        at_us: int,
        request: int,
        number: int,
        server: Server,
        outcome: api.Outcome,
        closed: bool,
        reason: api.Reason = api.Reason.UNTOLD,
    ) -> None:
        report = api.Report(server.free[0], server.free[1]) if self.rng.random() < 0.5 else None
        self._at(
            at_us,
            api.AttemptEnded(
                request, number, server.listed.machine, outcome, reason, closed, 0, report
            ),
        )


def compare(old: Any, new: Any, stream: Stream) -> tuple[Counter[str], str]:
    """What the two answered, by kind of action, and the first difference or nothing."""
    answered: Counter[str] = Counter()
    for index, (now, event) in enumerate(stream):
        ours, theirs = new.handle(now, event), old.handle(now, event)
        if ours != theirs:
            return answered, f"event {index} at {now}: {event}\n  old {theirs}\n  new {ours}"
        answered.update(type(action).__name__ for action in ours)
    last = stream[-1][0]
    if old.knowledge(last) != new.knowledge(last):
        return answered, "the knowledge of machines at the end differs"
    return answered, ""


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("old")
    parser.add_argument("sites", nargs="+", type=Path)
    parser.add_argument("--events", type=int, default=20_000)
    parser.add_argument("--seeds", type=int, default=2)
    asked = parser.parse_args()
    old = old_scheduler(asked.old)
    for path, seed in itertools.product(asked.sites, range(1, asked.seeds + 1)):
        settings = settings_of_site(path, random.Random(seed))
        day = Day(old(settings, seed), settings, random.Random(seed), asked.events)
        stream = day.play()
        answered, difference = compare(
            old(settings, seed), wingbarrow.Scheduler(settings, seed), stream
        )
        print(
            f"{path.stem} seed {seed}: {len(stream)} events ({len(day.kinds)} kinds)",
            dict(sorted(answered.items())),
            "DIFFERENT" if difference else "same",
            flush=True,
        )
        if difference:
            print(difference)
            return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
