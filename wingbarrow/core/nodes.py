"""Reads Node objects of the list source (v1 Node) into machine entries of the decision module."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

from wingbarrow.interface import ListedMachine, Phase
from wingbarrow.kube import names


@dataclass(frozen=True, slots=True)
class NodeEntry:
    """A machine of the list: the decision module's entry, its address, and the Node object in `value`."""

    name: str
    version: int
    host: str
    port: int
    listed: ListedMachine
    value: dict[str, Any]


def read_node(value: dict[str, Any], wall_to_mono_us: int) -> NodeEntry:
    """Read a Node object. Raises ValueError, which starts with the field that is missing or wrong.

    `wall_to_mono_us` is the difference that converts Unix times to the decision module's clock. A machine counts as
    draining when it is unschedulable, tainted against new work, or being deleted.
    """
    meta = _object(value, "metadata")
    name = meta.get("name")
    if not isinstance(name, str) or not 0 < len(name) <= 253:
        raise ValueError("metadata.name: expected a string of 1 to 253 characters")
    labels, annotations = _object(meta, "labels", True), _object(meta, "annotations", True)
    spec, status = _object(value, "spec", True), _object(value, "status")
    version = meta.get("resourceVersion", "0")
    if not isinstance(version, str) or not version.isascii() or not version.isdigit():
        raise ValueError(
            f"metadata.resourceVersion: expected a decimal number, got {str(version)[:40]!r}"
        )
    draining = (
        bool(spec.get("unschedulable")) or bool(meta.get("deletionTimestamp")) or _is_tainted(spec)
    )
    launched_us = _launch_time_us(annotations, wall_to_mono_us)
    listed = ListedMachine(
        machine=names.ident(name),
        kind=str(labels.get(names.KIND, "")),
        cell=names.ident(f"{labels.get(names.ZONE, '')}/{labels.get(names.CELL, name)}"),
        zone=str(labels.get(names.ZONE, "")),
        phase=Phase.DRAINING if draining else Phase.RUNNING,
        launched_us=launched_us,
        free_cores=_number(annotations, names.FREE_CORES),
        free_memory=_number(annotations, names.FREE_MEMORY),
    )
    host, port = _address(status)
    return NodeEntry(name, int(version), host, port, listed, value)


def _object(value: dict[str, Any], key: str, optional: bool = False) -> dict[str, Any]:
    part = value.get(key)
    if part is None and optional:
        return {}
    if not isinstance(part, dict):
        raise ValueError(f"{key}: expected an object, got {type(part).__name__}")
    return part


def _is_tainted(spec: dict[str, Any]) -> bool:
    taints = spec.get("taints") or []
    return isinstance(taints, list) and any(
        isinstance(taint, dict) and taint.get("effect") in ("NoSchedule", "NoExecute")
        for taint in taints
    )


def _launch_time_us(annotations: dict[str, Any], wall_to_mono_us: int) -> int:
    text = annotations.get(names.LAUNCHED)
    if text is None:
        return 0
    try:
        return max(1, names.read_time(str(text)) + wall_to_mono_us)
    except ValueError:
        raise ValueError(
            f"metadata.annotations[{names.LAUNCHED}]: expected an RFC 3339 time, got {str(text)[:40]!r}"
        ) from None


def _number(annotations: dict[str, Any], key: str) -> float:
    """A free amount; nan, which the decision module takes as unknown, where the annotation is absent."""
    text = annotations.get(key)
    if text is None:
        return math.nan
    try:
        return float(str(text))
    except ValueError:
        raise ValueError(
            f"metadata.annotations[{key}]: expected a number, got {str(text)[:40]!r}"
        ) from None


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
        raise ValueError("status.addresses: expected an address of type InternalIP")
    if not isinstance(port, int) or isinstance(port, bool) or not 0 < port < 65536:
        raise ValueError(
            "status.daemonEndpoints.kubeletEndpoint.Port: expected an integer from 1 to 65535"
        )
    return host, port
