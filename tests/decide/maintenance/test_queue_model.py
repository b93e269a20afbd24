"""Model-based test of the slot queue: entries in any order, snapshots, and which slots may close next."""

from __future__ import annotations

from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from wingbarrow.decide.maintenance.budgets import BudgetUse
from wingbarrow.decide.maintenance.drain_plan import Budget, Scope
from wingbarrow.decide.maintenance.entries import decode_entry
from wingbarrow.decide.maintenance.messages import RegionView
from wingbarrow.decide.maintenance.slots import AGING_PERIOD_US, SlotQueue
from wingbarrow.lab.fleet.simulation import SECOND

CELLS = {"a": 3, "b": 3}
MACHINES = [f"{cell}{index}" for cell in CELLS for index in range(3)]
STEPS = {"close": "queued", "empty": "closing", "out": "empty", "back": "out", "done": "back"}
AFTER = {"close": "closing", "empty": "empty", "out": "out", "back": "back"}


class QueueMachine(RuleBasedStateMachine):
    """The model: a list of slots as plain dictionaries, and the latest time."""

    def __init__(self) -> None:
        super().__init__()
        self.queue = SlotQueue()
        self.model: list[dict[str, Any]] = []
        self.clock = 0
        self.requests = 0

    def apply(self, kind: str, at: int, **value: Any) -> None:
        self.queue.apply(decode_entry(kind, {**value, "at_us": at}))

    def advance(self, at: int) -> int:
        self.clock = max(self.clock, at)
        return self.clock

    @rule(
        machine=st.sampled_from(MACHINES),
        urgency=st.integers(0, 9),
        latest=st.sampled_from([0, 5, 7]),
        at=st.integers(0, 20),
        is_resent=st.booleans(),
    )
    def request_slot(
        self, machine: str, urgency: int, latest: int, at: int, is_resent: bool
    ) -> None:
        self.requests += not (is_resent and self.requests)
        ident = f"i{self.requests}"
        known = ident in self.queue.outcomes
        self.apply(
            "ask",
            at * AGING_PERIOD_US // 2,
            ident=ident,
            machine=machine,
            region="r",
            zone="z",
            cell=machine[0],
            why="operator",
            urgency=urgency,
            latest_us=latest,
            lasts_us=1,
            worker="",
        )
        if known:
            return
        now = self.advance(at * AGING_PERIOD_US // 2)
        if not any(
            each["machine"] == machine and each["state"] not in ("done", "given-back")
            for each in self.model
        ):
            self.model.append(
                {
                    "number": len(self.model) + 1,
                    "machine": machine,
                    "urgency": urgency,
                    "tasks": 0,
                    "latest": latest,
                    "asked": now,
                    "state": "asked",
                    "given": False,
                }
            )

    @precondition(lambda self: self.model)
    @rule(data=st.data(), tasks=st.integers(0, 3), at=st.integers(0, 20))
    def count(self, data: st.DataObject, tasks: int, at: int) -> None:
        chosen = data.draw(st.sampled_from(self.model))
        self.apply("queue", at * SECOND, turns=[[chosen["number"], tasks], [999, 1]])
        if chosen["state"] == "asked":
            chosen["state"], chosen["tasks"] = "queued", tasks
            self.advance(at * SECOND)

    @precondition(lambda self: self.model)
    @rule(data=st.data(), kind=st.sampled_from([*STEPS, "give-back"]), at=st.integers(0, 20))
    def step(self, data: st.DataObject, kind: str, at: int) -> None:
        chosen = data.draw(st.sampled_from(self.model))
        self.apply(kind, at * SECOND, number=chosen["number"])
        if kind == "give-back" and chosen["state"] in (
            "asked",
            "queued",
            "closing",
            "empty",
            "out",
        ):
            chosen["given"] = True
            chosen["state"] = "given-back" if chosen["state"] in ("asked", "queued") else "back"
        elif STEPS.get(kind) == chosen["state"]:
            chosen["state"] = AFTER.get(kind) or ("given-back" if chosen["given"] else "done")
        else:
            return
        self.advance(at * SECOND)

    @rule()
    def another_voter(self) -> None:
        text = self.queue.snapshot()
        self.queue = SlotQueue()
        self.queue.restore(text)
        assert self.queue.snapshot() == text

    @invariant()
    def same_states(self) -> None:
        assert {each.number: (each.machine, each.state) for each in self.queue.slots.values()} == {
            each["number"]: (each["machine"], each["state"]) for each in self.model
        }

    @invariant()
    def same_order(self) -> None:
        waiting = [each for each in self.model if each["state"] == "queued"]
        waiting.sort(key=lambda each: each["number"])
        for key in ("machine", "tasks", "asked"):
            waiting.sort(key=lambda each: each[key])
        waiting.sort(key=lambda each: each["latest"] or 10**20)
        waiting.sort(key=lambda each: each["asked"] // AGING_PERIOD_US - each["urgency"])
        assert [each.number for each in self.queue.queued()] == [each["number"] for each in waiting]

    @invariant()
    def same_budgets(self) -> None:
        """A slot fits the budgets exactly if it fits by a plain count of the machines that are out."""
        view = RegionView(
            tuple(("z", cell, count) for cell, count in CELLS.items()), (("a0", "z", "a"),)
        )
        budgets = BudgetUse(
            [Budget(Scope.CELL, 1), Budget(Scope.ALL, 0.5, None, True)],
            {"r": view},
            self.queue.active(),
        )
        out = {
            each["machine"]
            for each in self.model
            if each["state"] in ("closing", "empty", "out", "back")
        } | {"a0"}
        for slot in self.queue.queued():
            after = out | {slot.machine}
            fits = sum(each[0] == slot.cell for each in after) <= 1 and len(after) <= 3
            assert (budgets.refusal(slot) == "") is fits, (slot.machine, sorted(out))


TestQueue = QueueMachine.TestCase
TestQueue.settings = settings(
    max_examples=150, stateful_step_count=30, deadline=None, derandomize=True
)
