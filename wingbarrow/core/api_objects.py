"""API objects that clients list and watch: Jobs, Nodes, Events, in one store with one resourceVersion sequence."""

from __future__ import annotations

from typing import Any

from wingbarrow.core.base import Base
from wingbarrow.core.events import Events, event_fields
from wingbarrow.core.job_status import update_job_status
from wingbarrow.core.job_store import JobRecord, JobStore
from wingbarrow.core.nodes import NodeEntry
from wingbarrow.kube import names
from wingbarrow.kube.store import Store, Stored


class ApiObjects:
    """Publishes objects: a Job once per module event, however often it changed; a Node by list and drain calendar."""

    def __init__(self, base: Base, job_store: JobStore) -> None:
        self._base = base
        self._job_store = job_store
        # The wall clock is above every version of an earlier incarnation, at less than one change a microsecond.
        self.store = Store(base.started_us, base.settings.limits.window)
        self.jobs = self.store.collection("jobs")
        self.nodes = self.store.collection("nodes", _node_fields)
        self._events = Events(self.store.collection("events", event_fields), base.settings.name)
        self._dirty: dict[str, JobRecord] = {}
        self._shown_versions: dict[
            str, int
        ] = {}  # by Node: the source's resourceVersion as published
        self._conditions: dict[
            str, dict[str, str]
        ] = {}  # by Node: the condition that describes its drain

    # -- Jobs

    def show_new(self, job: JobRecord) -> None:
        """Publish a Job that was admitted."""
        update_job_status(job, self._base.hub.clock.wall_us())
        self.jobs.put(job.key, job.value)

    def mark(self, job: JobRecord) -> None:
        """Have a Job that changed published with the next flush."""
        self._dirty[job.key] = job

    def flush(self) -> None:
        """Publish the Jobs that changed, and drop finished Jobs beyond the number that is kept."""
        dirty, self._dirty = self._dirty, {}
        for job in dirty.values():
            if not job.deleted:
                update_job_status(job, self._base.hub.clock.wall_us())
                self.jobs.put(job.key, job.value)
        for job in self._job_store.expired_jobs():
            self._job_store.delete(job)
            self.jobs.delete(job.key)
            self._base.counts["jobs_forgotten"] += 1

    def record_event(self, job: JobRecord, kind: str, reason: str, message: str) -> None:
        """Record an Event on a Job."""
        self._events.tell(job, kind, reason, message, self._base.hub.clock.wall_us())

    def record_node_event(self, name: str, kind: str, reason: str, message: str) -> None:
        """Record an Event on a Node."""
        self._events.tell_node(name, kind, reason, message, self._base.hub.clock.wall_us())

    # -- Nodes

    def show_node(self, entry: NodeEntry, drained: bool) -> None:
        """Publish a Node as the list has it, unschedulable where it is `drained` by the calendar."""
        value = {
            "kind": "Node",
            "apiVersion": "v1",
            **entry.value,
            "metadata": dict(entry.value["metadata"]),
        }
        condition = self._conditions.get(entry.name)
        if condition is not None:
            status = value["status"]
            others = [
                each
                for each in status.get("conditions") or []
                if each.get("type") != condition["type"]
            ]
            value["status"] = {**status, "conditions": [*others, condition]}
        if drained:
            value["spec"] = {**(value.get("spec") or {}), "unschedulable": True}
            value["metadata"]["annotations"] = {
                **(value["metadata"].get("annotations") or {}),
                names.PREFIX + "drained-by": "calendar",
            }
        self.nodes.put(entry.name, value)

    def show_node_if_changed(self, entry: NodeEntry, drained: bool) -> None:
        """Publish a Node unless its version is the one published already."""
        if self._shown_versions.get(entry.name) != entry.version:
            self._shown_versions[entry.name] = entry.version
            self.show_node(entry, drained)

    def drop_node(self, name: str) -> Stored | None:
        """Withdraw the Node of a machine that left the list; the Node as last published."""
        self._shown_versions.pop(name, None)
        self._conditions.pop(name, None)
        return self.nodes.delete(name)

    def set_condition(self, name: str, condition: dict[str, str]) -> None:
        """Describe a drain among a Node's conditions, from its next publication on."""
        self._conditions[name] = condition


def _node_fields(value: dict[str, Any]) -> dict[str, str]:
    return {
        "metadata.name": value["metadata"]["name"],
        "spec.unschedulable": "true" if value.get("spec", {}).get("unschedulable") else "false",
    }
