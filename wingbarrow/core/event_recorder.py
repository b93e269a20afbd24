"""Events (v1 Event) that tell why a task was refused, moved or lost; a bounded number is kept."""

from __future__ import annotations

from collections import deque

from wingbarrow.core.job_store import JobRecord
from wingbarrow.kube import names
from wingbarrow.kube.store import Collection

KEPT = 4096


class EventRecorder:
    """Writes Events into their collection; the oldest leave first."""

    def __init__(self, collection: Collection, source: str) -> None:
        self._collection = collection
        self._source = source
        self._keys: deque[str] = deque()
        self._count = 0

    def record_for_job(
        self, job: JobRecord, kind: str, reason: str, message: str, wall_us: int
    ) -> None:
        """One Event about a Job; `kind` is Normal or Warning."""
        self._tell(
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
        """One Event about a Node, in the namespace `default` as is usual for them."""
        self._tell(
            {"kind": "Node", "apiVersion": "v1", "name": node, "uid": names.uid("node", node)},
            "default",
            kind,
            reason,
            message,
            wall_us,
        )

    def _tell(
        self,
        about: dict[str, str],
        namespace: str,
        kind: str,
        reason: str,
        message: str,
        wall_us: int,
    ) -> None:
        self._count += 1
        name = f"{about['name']}.{wall_us:x}{self._count:x}"
        stamp = names.short_time(wall_us)
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
                    "creationTimestamp": stamp,
                },
                "involvedObject": about,
                "reason": reason,
                "message": message[:1024],
                "type": kind,
                "count": 1,
                "source": {"component": "wingbarrow", "host": self._source},
                "firstTimestamp": stamp,
                "lastTimestamp": stamp,
                "eventTime": None,
                "reportingComponent": "wingbarrow",
                "reportingInstance": self._source,
            },
        )
        self._keys.append(key)
        if len(self._keys) > KEPT:
            self._collection.delete(self._keys.popleft())


def event_fields(value: dict[str, object]) -> dict[str, str]:
    """What Events can be selected by."""
    meta, about = value["metadata"], value["involvedObject"]
    assert isinstance(meta, dict)
    assert isinstance(about, dict)
    return {
        "metadata.name": meta["name"],
        "metadata.namespace": meta["namespace"],
        "involvedObject.name": about["name"],
        "involvedObject.kind": about["kind"],
        "reason": str(value["reason"]),
        "type": str(value["type"]),
    }
