"""Node objects of the list source (v1 Node) to entries that the module understands."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

from wingbarrow.interface import ListedMachine, Phase
from wingbarrow.kube import names


@dataclass(frozen=True, slots=True)
class NodeEntry:
    """A machine of the list: the module's entry, and how to reach it."""

    name: str
    version: int
    host: str
    port: int
    listed: ListedMachine
    value: dict[str, Any]


def read_node(value: dict[str, Any], wall_to_mono_us: int) -> NodeEntry:
    """ValueError names the field that is missing or wrong.

    `wall_to_mono_us` is added to wall times to give the module's clock. A machine counts as draining when it is
    unschedulable, tainted against new work, or being deleted.
    """
    meta = _object(value, "metadata")
    name = meta.get("name")
    if not isinstance(name, str) or not 0 < len(name) <= 253:
        raise ValueError("metadata.name")
    labels, notes = _object(meta, "labels", True), _object(meta, "annotations", True)
    spec, status = _object(value, "spec", True), _object(value, "status")
    version = meta.get("resourceVersion", "0")
    if not isinstance(version, str) or not version.isascii() or not version.isdigit():
        raise ValueError("metadata.resourceVersion")
    draining = (
        bool(spec.get("unschedulable")) or bool(meta.get("deletionTimestamp")) or _tainted(spec)
    )
    launched = _launched(notes, wall_to_mono_us)
    listed = ListedMachine(
        machine=names.ident(name),
        kind=str(labels.get(names.KIND, "")),
        cell=names.ident(f"{labels.get(names.ZONE, '')}/{labels.get(names.CELL, name)}"),
        zone=str(labels.get(names.ZONE, "")),
        phase=Phase.DRAINING if draining else Phase.RUNNING,
        launched_us=launched,
        free_cores=_number(notes, names.FREE_CORES),
        free_memory=_number(notes, names.FREE_MEMORY),
    )
    host, port = _address(status)
    return NodeEntry(name, int(version), host, port, listed, value)


def _object(value: dict[str, Any], key: str, absent: bool = False) -> dict[str, Any]:
    part = value.get(key)
    if part is None and absent:
        return {}
    if not isinstance(part, dict):
        raise ValueError(key)
    return part


def _tainted(spec: dict[str, Any]) -> bool:
    taints = spec.get("taints") or []
    return isinstance(taints, list) and any(
        isinstance(taint, dict) and taint.get("effect") in ("NoSchedule", "NoExecute")
        for taint in taints
    )


def _launched(notes: dict[str, Any], wall_to_mono_us: int) -> int:
    text = notes.get(names.LAUNCHED)
    if text is None:
        return 0
    try:
        return max(1, names.read_time(str(text)) + wall_to_mono_us)
    except ValueError:
        raise ValueError(f"metadata.annotations[{names.LAUNCHED}]") from None


def _number(notes: dict[str, Any], key: str) -> float:
    """A figure of room; nan, which the module takes as not told, where it is absent."""
    text = notes.get(key)
    if text is None:
        return math.nan
    try:
        return float(str(text))
    except ValueError:
        raise ValueError(f"metadata.annotations[{key}]") from None


def _address(status: dict[str, Any]) -> tuple[str, int]:
    addresses = status.get("addresses")
    host = (
        next(
            (
                each.get("address")
                for each in addresses
                if isinstance(each, dict) and each.get("type") == "InternalIP"
            ),
            None,
        )
        if isinstance(addresses, list)
        else None
    )
    endpoints = status.get("daemonEndpoints")
    kubelet = endpoints.get("kubeletEndpoint") if isinstance(endpoints, dict) else None
    port = kubelet.get("Port") if isinstance(kubelet, dict) else None
    if not isinstance(host, str):
        raise ValueError("status.addresses")
    if not isinstance(port, int) or isinstance(port, bool) or not 0 < port < 65536:
        raise ValueError("status.daemonEndpoints.kubeletEndpoint.Port")
    return host, port
