"""Events (v1 Event) that state why a task was refused, moved or lost; a bounded number is kept."""

from __future__ import annotations

from collections import deque

from wingbarrow.core.job_store import JobRecord
from wingbarrow.kube import names
from wingbarrow.kube.store import Collection

MAX_EVENTS = 4096


class EventRecorder:
    """Writes Events into their collection, and deletes the oldest beyond MAX_EVENTS."""

    def __init__(self, collection: Collection, source: str) -> None:
        self._collection = collection
        self._source = source
        self._keys: deque[str] = deque()
        self._recorded = 0

    def record_for_job(
        self, job: JobRecord, kind: str, reason: str, message: str, wall_us: int
    ) -> None:
        """Record an Event about a Job; `kind` is Normal or Warning."""
        self._record(
            {
                "kind": "Job",
                "apiVersion": "batch/v1",
                "namespace": job.request.namespace,
                "name": job.request.name,
                "uid": job.uid,
            },
            job.request.namespace,
            kind,
            reason,
            message,
            wall_us,
        )

    def record_for_node(
        self, node: str, kind: str, reason: str, message: str, wall_us: int
    ) -> None:
        """Record an Event about a Node, in the namespace `default` as is usual for Nodes."""
        self._record(
            {"kind": "Node", "apiVersion": "v1", "name": node, "uid": names.uid("node", node)},
            "default",
            kind,
            reason,
            message,
            wall_us,
        )

    def _record(
        self,
        involved_object: dict[str, str],
        namespace: str,
        kind: str,
        reason: str,
        message: str,
        wall_us: int,
    ) -> None:
        self._recorded += 1
        name = f"{involved_object['name']}.{wall_us:x}{self._recorded:x}"
        timestamp = names.short_time(wall_us)
        key = f"{namespace}/{name}"
        self._collection.put(
            key,
            {
                "kind": "Event",
                "apiVersion": "v1",
                "metadata": {
                    "name": name,
                    "namespace": namespace,
                    "uid": names.uid(self._source, name),
                    "creationTimestamp": timestamp,
                },
                "involvedObject": involved_object,
                "reason": reason,
                "message": message[:1024],
                "type": kind,
                "count": 1,
                "source": {"component": "wingbarrow", "host": self._source},
                "firstTimestamp": timestamp,
                "lastTimestamp": timestamp,
                "eventTime": None,
                "reportingComponent": "wingbarrow",
                "reportingInstance": self._source,
            },
        )
        self._keys.append(key)
        if len(self._keys) > MAX_EVENTS:
            self._collection.delete(self._keys.popleft())


def event_fields(value: dict[str, object]) -> dict[str, str]:
    """The fields by which Events can be selected."""
    meta, involved_object = value["metadata"], value["involvedObject"]
    assert isinstance(meta, dict)
    assert isinstance(involved_object, dict)
    return {
        "metadata.name": meta["name"],
        "metadata.namespace": meta["namespace"],
        "involvedObject.name": involved_object["name"],
        "involvedObject.kind": involved_object["kind"],
        "reason": str(value["reason"]),
        "type": str(value["type"]),
    }
