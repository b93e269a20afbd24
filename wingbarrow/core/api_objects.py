"""API objects that clients list and watch: Jobs, Nodes, Events, in one store with one resourceVersion sequence."""

from __future__ import annotations

from typing import Any

from wingbarrow.core.context import CoreContext
from wingbarrow.core.event_recorder import EventRecorder, event_fields
from wingbarrow.core.job_status import update_job_status
from wingbarrow.core.job_store import JobRecord, JobStore
from wingbarrow.core.nodes import NodeEntry
from wingbarrow.kube import names
from wingbarrow.kube.store import Store, Stored


class ApiObjects:
    """Publishes objects: a changed Job once per module event, a Node when the machine list or a drain changes it."""

    def __init__(self, context: CoreContext, job_store: JobStore) -> None:
        self._context = context
        self._job_store = job_store
        # The wall clock exceeds every version of an earlier incarnation, at less than one change per microsecond.
        self.store = Store(context.started_us, context.settings.limits.window)
        self.jobs = self.store.collection("jobs")
        self.nodes = self.store.collection("nodes", _node_fields)
        self._events = EventRecorder(
            self.store.collection("events", event_fields), context.settings.name
        )
        self._dirty: dict[str, JobRecord] = {}
        # By Node: the list source's resourceVersion that was published last.
        self._published_versions: dict[str, int] = {}
        # By Node: the condition that describes its drain.
        self._conditions: dict[str, dict[str, str]] = {}

    # -- Jobs

    def publish_new_job(self, job: JobRecord) -> None:
        """Publish a Job that was admitted."""
        update_job_status(job, self._context.hub.clock.wall_us())
        self.jobs.put(job.key, job.value)

    def mark_changed(self, job: JobRecord) -> None:
        """Publish a changed Job with the next flush."""
        self._dirty[job.key] = job

    def flush(self) -> None:
        """Publish the changed Jobs, and delete ended Jobs beyond the number that is kept."""
        dirty, self._dirty = self._dirty, {}
        for job in dirty.values():
            if not job.deleted:
                update_job_status(job, self._context.hub.clock.wall_us())
                self.jobs.put(job.key, job.value)
        for job in self._job_store.expired_jobs():
            self._job_store.delete(job)
            self.jobs.delete(job.key)
            self._context.counts["jobs_forgotten"] += 1

    def record_event(self, job: JobRecord, kind: str, reason: str, message: str) -> None:
        """Record an Event on a Job."""
        self._events.record_for_job(job, kind, reason, message, self._context.hub.clock.wall_us())

    def record_node_event(self, name: str, kind: str, reason: str, message: str) -> None:
        """Record an Event on a Node."""
        self._events.record_for_node(name, kind, reason, message, self._context.hub.clock.wall_us())

    # -- Nodes

    def publish_node(self, entry: NodeEntry, drained: bool) -> None:
        """Publish a Node as listed; as unschedulable if it is `drained` by the calendar."""
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

    def publish_node_if_changed(self, entry: NodeEntry, drained: bool) -> None:
        """Publish a Node unless its version is the one published already."""
        if self._published_versions.get(entry.name) != entry.version:
            self._published_versions[entry.name] = entry.version
            self.publish_node(entry, drained)

    def withdraw_node(self, name: str) -> Stored | None:
        """Withdraw the Node of a machine that left the list. Returns it as last published; None if it was not."""
        self._published_versions.pop(name, None)
        self._conditions.pop(name, None)
        return self.nodes.delete(name)

    def set_node_condition(self, name: str, condition: dict[str, str]) -> None:
        """Set the condition that describes a Node's drain; it is shown from the next publication on."""
        self._conditions[name] = condition


def _node_fields(value: dict[str, Any]) -> dict[str, str]:
    return {
        "metadata.name": value["metadata"]["name"],
        "spec.unschedulable": "true" if value.get("spec", {}).get("unschedulable") else "false",
    }
