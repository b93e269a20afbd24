"""The Node object that the list source publishes for a simulated machine."""

from __future__ import annotations

from typing import Any

from wingbarrow.kube import names
from wingbarrow.lab.machine import Machine


def node_value(machine: Machine) -> dict[str, Any]:
    """The Node object that the list source publishes for a machine."""
    build = machine.build
    requested = machine.requested
    notes = {
        names.FREE_CORES: f"{build.cores - requested[0]:.2f}",
        names.FREE_MEMORY: f"{build.memory - requested[1]:.2f}",
    }
    if machine.launched_us:
        clock = machine.hub.clock
        notes[names.LAUNCHED] = names.time_text(
            machine.launched_us + clock.wall_us() - clock.now_us()
        )
    return {
        "kind": "Node",
        "apiVersion": "v1",
        "metadata": {
            "name": machine.name,
            "uid": names.uid("node", machine.name),
            "annotations": notes,
            "labels": {names.ZONE: build.zone, names.CELL: build.cell, names.KIND: build.kind},
        },
        "spec": {
            "unschedulable": True,
            "taints": [{"key": "node.kubernetes.io/unschedulable", "effect": "NoSchedule"}],
        }
        if machine.draining
        else {},
        "status": {
            "capacity": {"cpu": f"{build.cores:g}", "memory": f"{build.memory:g}Gi"},
            "allocatable": {"cpu": f"{build.cores:g}", "memory": f"{build.memory:g}Gi"},
            "addresses": [{"type": "InternalIP", "address": "127.0.0.1"}],
            "daemonEndpoints": {"kubeletEndpoint": {"Port": machine.port}},
            "conditions": [{"type": "Ready", "status": "True"}],
        },
    }
