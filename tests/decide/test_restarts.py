"""Machines that are closed after a restart, by group."""

from __future__ import annotations

from tests.conftest import task_class
from wingbarrow.decide.restarts import POD_LIST_TIMEOUT_US, RestartGuard
from wingbarrow.interface import ListedMachine, Phase, Place

S = 1_000_000


def machine(number: int, cell: int, zone: str = "a") -> ListedMachine:
    return ListedMachine(number, "std", cell, zone, Phase.RUNNING, 0, 1.0, 1.0)


def test_a_cell_is_closed_until_each_of_its_machines_has_listed_its_pods_or_timed_out() -> None:
    guard = RestartGuard((task_class("web", spread=Place.CELL, spread_most=2), task_class("free")))
    a, b, c = machine(1, 1), machine(2, 1), machine(3, 2)
    for name, each in (("a", a), ("b", b), ("c", c)):
        guard.on_machine_listed(name, each, 0)
    guard.list_received = True
    assert guard.is_closed(a)
    assert guard.is_closed(c)
    assert not guard.is_over
    assert guard.on_pods_listed("c")
    assert not guard.is_closed(c)
    assert guard.is_closed(a)
    assert not guard.on_pods_listed("a") and guard.is_closed(a) and not guard.on_pods_listed("a"), (
        "b has not listed its pods"
    )
    assert not guard.expire(POD_LIST_TIMEOUT_US - 1)
    assert guard.is_closed(b)
    assert guard.expire(POD_LIST_TIMEOUT_US)
    assert not guard.is_closed(b)
    assert guard.is_over
    guard.on_machine_listed("d", machine(4, 1), S)
    assert not guard.is_closed(a), "a machine listed later runs no pod of the earlier incarnation"


def test_the_widest_spread_decides_the_group() -> None:
    zone = RestartGuard(
        (
            task_class("x", spread=Place.MACHINE, spread_most=1),
            task_class("y", spread=Place.ZONE, spread_most=2),
        )
    )
    zone.on_machine_listed("a", machine(1, 1), 0)
    zone.on_machine_listed("b", machine(2, 2), 0)
    assert not zone.on_pods_listed("a")
    assert zone.is_closed(machine(1, 1))
    none = RestartGuard((task_class("free"),))
    none.on_machine_listed("a", machine(1, 1), 0)
    assert none.is_over
    assert not none.is_closed(machine(1, 1))
