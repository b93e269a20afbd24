"""Discovery documents (see "Discovery API" and "API groups" in the Kubernetes API concepts)."""

from __future__ import annotations

from typing import Any

_JOB_VERBS = ["create", "delete", "get", "list", "watch"]
_READ_VERBS = ["get", "list", "watch"]


def _resource(
    name: str, kind: str, namespaced: bool, verbs: list[str], singular: str
) -> dict[str, Any]:
    return {
        "name": name,
        "singularName": singular,
        "namespaced": namespaced,
        "kind": kind,
        "verbs": verbs,
    }


_BATCH = {
    "name": "batch",
    "versions": [{"groupVersion": "batch/v1", "version": "v1"}],
    "preferredVersion": {"groupVersion": "batch/v1", "version": "v1"},
}

DOCUMENTS: dict[str, dict[str, Any]] = {
    "/version": {
        "major": "1",
        "minor": "32",
        "gitVersion": "v1.32.0+wingbarrow",
        "gitCommit": "",
        "gitTreeState": "",
        "buildDate": "",
        "goVersion": "",
        "compiler": "",
        "platform": "python",
    },
    "/api": {"kind": "APIVersions", "versions": ["v1"], "serverAddressByClientCIDRs": []},
    "/apis": {"kind": "APIGroupList", "apiVersion": "v1", "groups": [_BATCH]},
    "/apis/batch": {"kind": "APIGroup", "apiVersion": "v1", **_BATCH},
    "/api/v1": {
        "kind": "APIResourceList",
        "groupVersion": "v1",
        "resources": [
            _resource("nodes", "Node", False, _READ_VERBS, "node"),
            _resource("events", "Event", True, _READ_VERBS, "event"),
            _resource("namespaces", "Namespace", False, ["get", "list"], "namespace"),
        ],
    },
    "/apis/batch/v1": {
        "kind": "APIResourceList",
        "apiVersion": "v1",
        "groupVersion": "batch/v1",
        "resources": [_resource("jobs", "Job", True, _JOB_VERBS, "job")],
    },
}
