"""Samples of the files in a placer's state folder other than a voter's store, and functions to write and read them.

Like `tests.wire.samples`, this module follows renames in the program; the data files never change.
"""

from __future__ import annotations

import math
from pathlib import Path
from typing import Any

from wingbarrow.core import saved_list
from wingbarrow.core.drainer import Drainer
from wingbarrow.core.fleet import saved_entries
from wingbarrow.core.logs import silent
from wingbarrow.core.nodes import NodeEntry
from wingbarrow.decide.maintenance.drain_plan import Drain, MachineState, PlanOutcome
from wingbarrow.decide.maintenance.drain_progress import Phase, RunningTask, TrackedDrain
from wingbarrow.decide.maintenance.windows import UnsafePolicy
from wingbarrow.interface import ListedMachine
from wingbarrow.interface import Phase as MachinePhase
from wingbarrow.kube import names
from wingbarrow.transport import Hub, VirtualClock

S = 1_000_000
WALL_US = 1_780_000_000 * S
HEARTBEAT_US = WALL_US + 12 * S
SHIFT_US = -WALL_US  # from the wall clock to the clock of the decision module
MACHINES_FILE = "machines.json"
HEARTBEAT_FILE = "alive"
DRAINS_FILE = "drains.json"


def _node(name: str, **parts: Any) -> dict[str, Any]:
    value: dict[str, Any] = {
        "kind": "Node",
        "apiVersion": "v1",
        "metadata": {"name": name},
        "status": {
            "addresses": [{"type": "InternalIP", "address": "127.0.0.1"}],
            "daemonEndpoints": {"kubeletEndpoint": {"Port": 1}},
        },
    }
    for key, part in parts.items():
        value[key] = {**value.get(key, {}), **part}
    return value


NODES = [
    _node("node-0"),
    _node(
        "node-1",
        metadata={
            "resourceVersion": "17",
            "annotations": {
                "wingbarrow.io/free-cores": "1.50",
                "wingbarrow.io/free-memory": "2.25",
                "wingbarrow.io/launched": "2026-05-28T20:26:50.000000Z",
            },
            "labels": {
                "topology.kubernetes.io/zone": "hall-ä",
                "topology.kubernetes.io/rack": "rack-0",
                "node.kubernetes.io/instance-type": "small",
            },
        },
        spec={"unschedulable": True},
    ),
]
ENTRIES = [
    NodeEntry(
        "node-0",
        0,
        "127.0.0.1",
        1,
        ListedMachine(
            names.ident("node-0"),
            "",
            names.ident("/node-0"),
            "",
            MachinePhase.RUNNING,
            0,
            math.nan,
            math.nan,
        ),
        NODES[0],
    ),
    NodeEntry(
        "node-1",
        17,
        "127.0.0.1",
        1,
        ListedMachine(
            names.ident("node-1"),
            "small",
            names.ident("hall-ä/rack-0"),
            "hall-ä",
            MachinePhase.DRAINING,
            10 * S,
            math.nan,
            math.nan,
        ),
        NODES[1],
    ),
]


def _tracked_drain(phase: Phase, unsafe: UnsafePolicy, *more: Any) -> TrackedDrain:
    machine = f"node-{phase.value.replace(' ', '-')}"
    drain = Drain(
        "w", "w@1780000010", machine, PlanOutcome.PLANNED, WALL_US + 10 * S, WALL_US + 70 * S
    )
    return TrackedDrain(drain, phase, unsafe, *more)


SAVED_DRAINS = [
    _tracked_drain(Phase.CLOSED, UnsafePolicy.WAIT, WALL_US),
    _tracked_drain(Phase.OUT, UnsafePolicy.SHORTEN, WALL_US + S, 3, True, "late ä"),
    _tracked_drain(Phase.DONE, UnsafePolicy.GIVE_UP, WALL_US + 2 * S, 1),
    _tracked_drain(
        Phase.GIVEN_UP, UnsafePolicy.WAIT, WALL_US, 0, False, "cancelled by the operator"
    ),
]
PLANNED = _tracked_drain(
    Phase.PLANNED, UnsafePolicy.WAIT, WALL_US
)  # not begun, so that it is not saved


class NoMachines:
    """A host of the drainer whose drains are saved and read, and never performed."""

    def machine_states(self) -> list[MachineState]:
        return []

    def own_running(self) -> dict[str, list[RunningTask]]:
        return {}

    def on_planned(self, closing: dict[str, int], closed: frozenset[str]) -> None:
        pass

    def move_task(self, request: int, why: str) -> None:
        pass

    def report_drain(self, held: TrackedDrain) -> None:
        pass


def _drainer(folder: Path) -> Drainer:
    return Drainer(Hub(VirtualClock()), (), (), 1, str(folder), NoMachines(), silent)


def write_machines(folder: Path) -> None:
    saved_list.save(folder, NODES)


def read_machines(folder: Path) -> list[NodeEntry]:
    return saved_entries(saved_list.load(folder), SHIFT_US)


def write_alive(folder: Path) -> None:
    saved_list.write_heartbeat(folder, HEARTBEAT_US)


def read_alive(folder: Path) -> int | None:
    return saved_list.read_heartbeat(folder)


def write_drains(folder: Path) -> None:
    drainer = _drainer(folder)
    drainer.drains.tracked = {each.drain.key: each for each in (*SAVED_DRAINS, PLANNED)}
    drainer._save()


def read_drains(folder: Path) -> list[TrackedDrain]:
    drainer = _drainer(folder)
    drainer._restore()
    return list(drainer.drains.tracked.values())
