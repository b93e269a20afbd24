"""Random valid sequences of events: the five rules are checked on the actions alone."""

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
NEVER_RAN = (api.Outcome.REFUSED, api.Outcome.UNREACHABLE, api.Outcome.NOT_SENT)
STEP = st.tuples(st.integers(0, 7), st.integers(0, 10**6), st.integers(0, 900_000))


class RuleChecker:
    """Feeds a scheduler, keeps its own record of open attempts, and fails on a violated rule."""

    def __init__(self) -> None:
        config = settings(*CLASSES, fresh_offers=6.0)
        self.driver = Driver(config)
        self.config = config
        self.machines = {i: listed(i) for i in range(6)}
        self.arrivals: dict[int, api.TaskArrived] = {}
        self.unanswered: set[int] = set()
        self.open_attempts: dict[tuple[int, int], api.ListedMachine] = {}
        self.placed: set[int] = set()
        self.attempts_sent: Counter[int] = Counter()
        self.possible_runs: dict[int, tuple[int, api.ListedMachine]] = {}
        self.sent_at_us: dict[tuple[int, int], int] = {}
        self.cold_offers: list[tuple[int, int]] = []
        self.timers: list[tuple[int, str]] = []
        self.last_request = 0
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
        assert request in self.unanswered
        assert request not in self.placed
        self.unanswered.remove(request)
        assert now <= self.arrivals[request].deadline_us
        risky = request in self.possible_runs or any(
            key[0] == request for key in self.open_attempts
        )
        if isinstance(action, api.Refuse) and risky:
            assert self.arrivals[request].task_class == "web"

    def on_bind(self, action: api.Bind) -> None:
        request, now = action.request, self.driver.now
        arrival, machine = self.arrivals[request], self.machines[action.machine]
        assert request in self.unanswered
        assert request not in self.placed
        assert now < arrival.deadline_us
        assert not any(key[0] == request for key in self.open_attempts)
        assert machine.phase is api.Phase.RUNNING
        if request in self.possible_runs and arrival.task_class != "web":
            at, first = self.possible_runs[request]
            assert arrival.task_class == "key"
            assert first.cell == machine.cell
            assert now < at + 3 * S
        if machine.launched_us and now < machine.launched_us + self.config.cold_us:
            self.cold_offers.append((now, machine.machine))
            recent = [
                at
                for at, ident in self.cold_offers
                if ident == machine.machine and at > now - 2 * S
            ]
            assert len(recent) <= 3
        key = (request, self.attempts_sent[request])
        self.attempts_sent[request] += 1
        self.open_attempts[key], self.sent_at_us[key] = machine, now
        if arrival.task_class in ("web", "once"):
            cell = arrival.task_class == "web"
            held = sum(
                1
                for (other, _), at in self.open_attempts.items()
                if self.arrivals[other].service == arrival.service
                and (at.cell == machine.cell if cell else at.machine == machine.machine)
            )
            assert held <= (2 if cell else 1)

    def fire_timers(self) -> None:
        while True:
            due = sorted(timer for timer in self.timers if timer[0] <= self.driver.now)
            if not due:
                return
            self.timers.remove(due[0])
            self.feed(api.TimerDue(due[0][1]))

    def step(self, what: int, pick: int, wait: int) -> None:
        # Timers fire on time, as answers by the deadline need them.
        for _ in range(wait // 100_000):
            self.advance(self.driver.now + 100_000)
        keys = sorted(self.open_attempts)
        if what <= 2:
            name = ("web", "key", "once")[what]
            self.last_request += 1
            arrival = api.TaskArrived(
                self.last_request,
                name,
                f"{name}{pick % 3}",
                f"t{self.last_request}",
                1.0 + pick % 4,
                1.0,
                self.driver.now + S + pick % (4 * S),
                None,
            )
            self.arrivals[self.last_request] = arrival
            self.unanswered.add(self.last_request)
            self.feed(arrival)
        elif what == 3:
            ident = pick % 6
            phase = list(api.Phase)[pick // 6 % 3]
            fresh = self.driver.now if pick % 2 and phase is api.Phase.RUNNING else 0
            self.machines[ident] = listed(ident, phase=phase, launched_us=fresh)
            self.feed(api.MachineList(api.ListForm.CHANGES, (self.machines[ident],)))
        elif keys and what in (4, 5):
            request, attempt = keys[pick % len(keys)]
            if request in self.unanswered and request not in self.placed:
                self.placed.add(request)
                self.feed(
                    api.TaskPlaced(
                        request, attempt, self.open_attempts[(request, attempt)].machine, 5
                    )
                )
        elif keys:
            key = keys[pick % len(keys)]
            machine = self.open_attempts.pop(key)
            outcome = list(api.Outcome)[1 + pick % 7]
            ended = key[0] in self.placed or key[0] not in self.unanswered
            if ended:
                self.unanswered.discard(key[0])
            elif outcome not in NEVER_RAN:
                self.possible_runs.setdefault(key[0], (self.sent_at_us[key], machine))
            self.feed(
                api.AttemptEnded(
                    *key, machine.machine, outcome, list(api.Reason)[pick % 8], ended, 5, None
                )
            )

    def advance(self, until: int) -> None:
        stops = sorted({at for at, _ in self.timers if self.driver.now < at <= until} | {until})
        for stop in stops:
            self.driver.now = stop
            self.fire_timers()


@given(st.lists(STEP, max_size=60))
@profile(derandomize=True, deadline=None, max_examples=120)
def test_no_legal_sequence_breaks_a_rule(steps: list[tuple[int, int, int]]) -> None:
    checker = RuleChecker()
    for step in steps:
        checker.step(*step)
    checker.advance(checker.driver.now + 10 * S)
    assert checker.unanswered <= checker.placed  # every other request got its final answer in time
