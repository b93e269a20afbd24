"""Settings and a driver for tests of the scheduler; no fleet is simulated."""

from __future__ import annotations

import os
from dataclasses import replace
from typing import Any

import hypothesis
import pytest

from tests.known_red import KnownRed
from wingbarrow import Scheduler
from wingbarrow import interface as api

S = 1_000_000
# The same examples in every run, so that results are reproducible; HYPOTHESIS_PROFILE=search tries others.
hypothesis.settings.register_profile("fixed", derandomize=True, deadline=None)
hypothesis.settings.register_profile("search", deadline=None)
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "fixed"))


def pytest_configure(config: pytest.Config) -> None:
    config.pluginmanager.register(KnownRed(config))


def task_class(name: str, effect: api.Effect = api.Effect.SAFE, **more: Any) -> api.TaskClass:
    base = api.TaskClass(name, effect, api.Place.ALL, 5 * S, 1.0, api.Place.NONE, 0, None, 0.8, 0.2)
    return replace(base, **more)


def settings(*classes: api.TaskClass, **more: Any) -> api.Settings:
    base = api.Settings(
        placers=2,
        index=0,
        classes=classes or (task_class("web"),),
        kinds=(api.MachineKind("std", 20.0, 40.0),),
        booking_cores=1.5,
        booking_memory=1.5,
        attempts_most=4,
        discovery=api.Discovery.PUSH,
        may_probe=True,
        reports=api.Reports.ON_PROBES,
        reports_use=True,
        room_in_list=True,
        tick_us=2000,
        ask_every_us=10 * S,
        cold_us=18 * S,
        fall_us=2 * S,
        fresh_offers=20.0,
        prices=api.Prices(0.0, 0.003),
    )
    return replace(base, **more)


def listed(
    machine: int, free: float = 20.0, memory: float = 40.0, **more: Any
) -> api.ListedMachine:
    base = api.ListedMachine(machine, "std", machine // 3, "a", api.Phase.RUNNING, 0, free, memory)
    return replace(base, **more)


class Driver:
    """Feeds events to one scheduler on a clock of its own; each method returns the actions."""

    def __init__(self, config: api.Settings, seed: int = 1) -> None:
        self.scheduler = Scheduler(config, seed)
        self.now = 100 * S

    def give(self, event: api.Event, after: int = 0) -> list[api.Action]:
        self.now += after
        return self.scheduler.handle(self.now, event)

    def listing(
        self, *machines: api.ListedMachine, form: api.ListForm = api.ListForm.FULL
    ) -> list[api.Action]:
        return self.give(api.MachineList(form, machines))

    def arrive(
        self,
        request: int,
        name: str = "web",
        service: str = "s",
        cores: float = 1.0,
        memory: float = 1.0,
        wait: int = 5 * S,
        remaining: int | None = 60 * S,
    ) -> list[api.Action]:
        return self.give(
            api.TaskArrived(
                request, name, service, f"task-{request}", cores, memory, self.now + wait, remaining
            )
        )

    def end(
        self,
        request: int,
        machine: int,
        outcome: api.Outcome,
        attempt: int = 0,
        reason: api.Reason = api.Reason.UNTOLD,
        closed: bool = False,
    ) -> list[api.Action]:
        return self.give(
            api.AttemptEnded(request, attempt, machine, outcome, reason, closed, 1000, None)
        )

    def placed(self, request: int, machine: int, attempt: int = 0) -> list[api.Action]:
        return self.give(api.TaskPlaced(request, attempt, machine, 1000))

    def found(
        self,
        request: int,
        machine: int,
        name: str = "web",
        service: str = "s",
        cores: float = 1.0,
        memory: float = 1.0,
    ) -> list[api.Action]:
        arrival = api.TaskArrived(
            request, name, service, f"task-{request}", cores, memory, self.now, 60 * S
        )
        return self.give(api.TaskFound(arrival, machine))


def binds(actions: list[api.Action]) -> list[api.Bind]:
    return [action for action in actions if isinstance(action, api.Bind)]


def finals(actions: list[api.Action]) -> list[api.Action]:
    return [action for action in actions if isinstance(action, (api.Refuse, api.Fail))]


@pytest.fixture
def driver() -> Driver:
    return Driver(settings())
