"""Random legal event sequences: the rules, checked on the action stream alone."""

from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from tests.conftest import Driver, S, listed, settings, task_class
from wingbarrow import interface as api

CLASSES = (
    task_class("web", spread=api.Place.CELL, spread_most=2),
    task_class("key", api.Effect.KEYED, group=api.Place.CELL, window_us=3 * S),
    task_class("once", api.Effect.UNSAFE, spread=api.Place.MACHINE, spread_most=1),
)
PROVEN = (api.Outcome.REFUSED, api.Outcome.UNREACHABLE, api.Outcome.NOT_SENT)
STEP = st.tuples(st.integers(0, 7), st.integers(0, 10**6), st.integers(0, 900_000))


class Watch:
    """Keeps its own account of what is out and fails on a broken rule."""

    def __init__(self) -> None:
        config = settings(*CLASSES, fresh_offers=6.0)
        self.driver = Driver(config)
        self.config = config
        self.machines = {i: listed(i) for i in range(6)}
        self.arrivals: dict[int, api.TaskArrived] = {}
        self.open: set[int] = set()
        self.out: dict[tuple[int, int], api.ListedMachine] = {}
        self.placed: set[int] = set()
        self.sent: Counter[int] = Counter()
        self.maybe: dict[int, tuple[int, api.ListedMachine]] = {}
        self.sent_at: dict[tuple[int, int], int] = {}
        self.cold: list[tuple[int, int]] = []
        self.timers: list[tuple[int, str]] = []
        self.next = 0
        self.feed(api.MachineList(api.ListForm.SAVED, tuple(self.machines.values())))

    def feed(self, event: api.Event) -> None:
        for action in self.driver.give(event):
            if isinstance(action, api.SetTimer):
                self.timers.append((action.at_us, action.name))
            elif isinstance(action, api.Bind):
                self.on_bind(action)
            elif isinstance(action, (api.Refuse, api.Fail)):
                self.on_final(action)
            elif isinstance(action, api.Move):
                assert action.request in self.placed

    def on_final(self, action: api.Refuse | api.Fail) -> None:
        request, now = action.request, self.driver.now
        assert request in self.open
        assert request not in self.placed
        self.open.remove(request)
        assert now <= self.arrivals[request].deadline_us
        risky = request in self.maybe or any(key[0] == request for key in self.out)
        if isinstance(action, api.Refuse) and risky:
            assert self.arrivals[request].task_class == "web"

    def on_bind(self, action: api.Bind) -> None:
        request, now = action.request, self.driver.now
        arrival, machine = self.arrivals[request], self.machines[action.machine]
        assert request in self.open
        assert request not in self.placed
        assert now < arrival.deadline_us
        assert not any(key[0] == request for key in self.out)
        assert machine.phase is api.Phase.RUNNING
        if request in self.maybe and arrival.task_class != "web":
            at, first = self.maybe[request]
            assert arrival.task_class == "key"
            assert first.cell == machine.cell
            assert now < at + 3 * S
        if machine.launched_us and now < machine.launched_us + self.config.cold_us:
            self.cold.append((now, machine.machine))
            recent = [
                at for at, ident in self.cold if ident == machine.machine and at > now - 2 * S
            ]
            assert len(recent) <= 3
        key = (request, self.sent[request])
        self.sent[request] += 1
        self.out[key], self.sent_at[key] = machine, now
        if arrival.task_class in ("web", "once"):
            cell = arrival.task_class == "web"
            held = sum(
                1
                for (other, _), at in self.out.items()
                if self.arrivals[other].service == arrival.service
                and (at.cell == machine.cell if cell else at.machine == machine.machine)
            )
            assert held <= (2 if cell else 1)

    def due(self) -> None:
        while True:
            due = sorted(timer for timer in self.timers if timer[0] <= self.driver.now)
            if not due:
                return
            self.timers.remove(due[0])
            self.feed(api.TimerDue(due[0][1]))

    def step(self, what: int, pick: int, wait: int) -> None:
        for _ in range(wait // 100_000):  # timers come due on time, as the deadline needs them
            self.advance(self.driver.now + 100_000)
        keys = sorted(self.out)
        if what <= 2:
            name = ("web", "key", "once")[what]
            self.next += 1
            arrival = api.TaskArrived(
                self.next,
                name,
                f"{name}{pick % 3}",
                f"t{self.next}",
                1.0 + pick % 4,
                1.0,
                self.driver.now + S + pick % (4 * S),
                None,
            )
            self.arrivals[self.next] = arrival
            self.open.add(self.next)
            self.feed(arrival)
        elif what == 3:
            ident = pick % 6
            phase = list(api.Phase)[pick // 6 % 3]
            fresh = self.driver.now if pick % 2 and phase is api.Phase.RUNNING else 0
            self.machines[ident] = listed(ident, phase=phase, launched_us=fresh)
            self.feed(api.MachineList(api.ListForm.CHANGES, (self.machines[ident],)))
        elif keys and what in (4, 5):
            request, attempt = keys[pick % len(keys)]
            if request in self.open and request not in self.placed:
                self.placed.add(request)
                self.feed(api.TaskPlaced(request, attempt, self.out[(request, attempt)].machine, 5))
        elif keys:
            key = keys[pick % len(keys)]
            machine = self.out.pop(key)
            outcome = list(api.Outcome)[1 + pick % 7]
            ended = key[0] in self.placed or key[0] not in self.open
            if ended:
                self.open.discard(key[0])
            elif outcome not in PROVEN:
                self.maybe.setdefault(key[0], (self.sent_at[key], machine))
            self.feed(
                api.AttemptEnded(
                    *key, machine.machine, outcome, list(api.Reason)[pick % 8], ended, 5, None
                )
            )

    def advance(self, until: int) -> None:
        stops = sorted({at for at, _ in self.timers if self.driver.now < at <= until} | {until})
        for stop in stops:
            self.driver.now = stop
            self.due()


@given(st.lists(STEP, max_size=60))
@profile(derandomize=True, deadline=None, max_examples=120)
def test_no_legal_sequence_breaks_a_rule(steps: list[tuple[int, int, int]]) -> None:
    watch = Watch()
    for step in steps:
        watch.step(*step)
    watch.advance(watch.driver.now + 10 * S)
    assert watch.open <= watch.placed  # every other request got its final answer, and in time
