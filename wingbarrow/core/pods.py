"""Pods (v1 Pod): encodes the Pod of an offer; decodes a machine's responses to offers and its reports about pods."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import Any

from wingbarrow import interface as api
from wingbarrow.config.settings import parse_duration, parse_size
from wingbarrow.core.job_store import TaskRecord
from wingbarrow.http.client import FailureReason, MaybeDone, NotSent
from wingbarrow.http.message import Response
from wingbarrow.kube import names

_REFUSAL_REASONS = {
    "OutOfcpu": api.Reason.NO_CORES,
    "OutOfmemory": api.Reason.NO_MEMORY,
    "TooManyRequests": api.Reason.OFFERS_WAIT,
    "NodeShutdown": api.Reason.NOT_HERE,
    "NodeAffinity": api.Reason.NOT_HERE,
    "DeadlineExceeded": api.Reason.NOT_HERE,
    "AlreadyHeld": api.Reason.NOT_HERE,
    "LeaseLapsed": api.Reason.NOT_HERE,
    "Fenced": api.Reason.NOT_HERE,
}
_EVICTION_REASONS = {
    "Evicted": api.Reason.EVICTED,
    "Preempting": api.Reason.PUSHED_OUT,
    "NodeShutdown": api.Reason.SENT_AWAY,
    "Terminated": api.Reason.SENT_AWAY,
}


@dataclass(frozen=True, slots=True)
class OfferFailure:
    """Why an offer did not place its task."""

    outcome: api.Outcome
    reason: api.Reason
    details: str


class PodPhase(Enum):
    """The phases of a pod (v1 PodStatus.phase) that are accepted here."""

    PENDING = "Pending"
    RUNNING = "Running"
    SUCCEEDED = "Succeeded"
    FAILED = "Failed"


def encode_pod(
    task: TaskRecord,
    pod: str,
    placer: str,
    machine: str,
    within_us: int,
    rules: str = "",
    until: str = "",
) -> bytes:
    """Encode the Pod of one attempt as JSON.

    `within_us`: the machine must not start it later than this, as the placer no longer waits for the start then.
    `until`: for a leased Job, the end of its lease by the machine's clock.
    """
    job, job_request = task.job, task.job.request
    template = job.value["spec"]["template"]
    meta = template.get("metadata") or {}
    annotations = {
        **(meta.get("annotations") or {}),
        names.JOB: job.key,
        names.PREFIX + "job-uid": job.uid,
        names.PREFIX + "job-size": str(job_request.count),
        names.PREFIX + "index": str(task.index),
        names.TASK: task.name,
        names.SERVICE: job_request.service,
        names.START_WITHIN: f"{max(0, within_us)}us",
    }
    for key in (names.RUNS_FOR, names.EXPECTED):
        value = (job.value["metadata"].get("annotations") or {}).get(key)
        if value:
            annotations[key] = value
    if job.lease is not None:
        annotations |= {
            names.LEASE_UNTIL: until,
            names.SESSION: job.lease.session,
            names.EPOCH: str(job.lease.epoch),
        }
    labels = {
        **(meta.get("labels") or {}),
        names.PLACER: placer,
        names.CLASS: job_request.task_class.task_class.name,
        names.JOB_NAME: job_request.name,
    }
    if rules:
        labels[names.RULES] = rules
    return names.encode(
        {
            "apiVersion": "v1",
            "kind": "Pod",
            "metadata": {
                "name": pod,
                "namespace": job_request.namespace,
                "labels": labels,
                "annotations": annotations,
            },
            "spec": {
                **template["spec"],
                "nodeName": machine,
                "priority": job_request.task_class.priority,
            },
        }
    )


def read_offer_response(response: Response, machine: str) -> OfferFailure | None:
    """Decode the response to an offer; None where the task is running on `machine`."""
    if response.status in (200, 201):
        return _read_acceptance(response, machine)
    reason, words = "", f"status {response.status}"
    try:
        status = names.decode(response.body)
        reason, words = str(status.get("reason", "")), str(status.get("message", words))[:200]
    except ValueError:
        pass
    if reason in _REFUSAL_REASONS:
        return OfferFailure(api.Outcome.REFUSED, _REFUSAL_REASONS[reason], f"{reason}: {words}")
    # A machine's agent responds 4xx before it starts anything. But a pod name that already exists may be this task's
    # own, and after 408 the start is uncertain too.
    if 400 <= response.status < 500 and reason != "AlreadyExists" and response.status != 408:
        return OfferFailure(api.Outcome.REFUSED, api.Reason.UNTOLD, words)
    return OfferFailure(api.Outcome.ERROR, api.Reason.UNTOLD, words)


def _read_acceptance(response: Response, machine: str) -> OfferFailure | None:
    """A failure if the accepted pod says that it runs on another machine; a response without a name is trusted."""
    try:
        actual = node_name(names.decode(response.body))
    except ValueError:
        return None
    if actual in ("", machine):
        return None
    # Danger: another machine has taken this one's address before the list says so, and runs the task.
    return OfferFailure(api.Outcome.ERROR, api.Reason.UNTOLD, f"answered by machine {actual[:80]}")


def node_name(pod: dict[str, Any]) -> str:
    """The machine that a Pod is bound to; "" if it does not say."""
    spec = pod.get("spec")
    return str(spec.get("nodeName") or "") if isinstance(spec, dict) else ""


def read_call_failure(error: NotSent | MaybeDone) -> OfferFailure:
    """Classify a call without a response for rule 2: the task certainly did not start only where no byte was sent."""
    if isinstance(error, NotSent):
        outcome = (
            api.Outcome.UNREACHABLE
            if error.reason in (FailureReason.REFUSED, FailureReason.NO_CONNECT)
            else api.Outcome.NOT_SENT
        )
    elif error.reason is FailureReason.SILENT:
        outcome = api.Outcome.TIMED_OUT
    else:
        outcome = api.Outcome.ERROR if error.reason is FailureReason.GARBAGE else api.Outcome.BROKEN
    return OfferFailure(outcome, api.Reason.UNTOLD, str(error))


@dataclass(frozen=True, slots=True)
class PodStatus:
    """A pod as reported by a machine."""

    name: str
    namespace: str
    job_key: str
    job_uid: str
    job_size: int
    index: int
    phase: PodPhase
    reason: str
    usage: dict[str, float]
    value: dict[str, Any]
    started_us: int | None  # wall clock, to the second; None where not reported
    session: str = ""  # of the lease under which it runs
    epoch: int = 0

    @property
    def eviction_reason(self) -> api.Reason:
        """Why the machine evicted the pod or failed it."""
        return _EVICTION_REASONS.get(self.reason, api.Reason.UNTOLD)


def read_pod(value: dict[str, Any]) -> PodStatus:
    """Decode a Pod. Raises ValueError, with the field that is missing or invalid."""
    meta, status = value.get("metadata"), value.get("status")
    if not isinstance(meta, dict) or not isinstance(status, dict):
        raise ValueError(
            f"metadata, status: expected objects, got {type(meta).__name__} and {type(status).__name__}"
        )
    annotations = meta.get("annotations")
    if not isinstance(annotations, dict):
        raise ValueError(
            f"metadata.annotations: expected an object, got {type(annotations).__name__}"
        )
    try:
        phase = PodPhase(status.get("phase"))
    except ValueError:
        raise ValueError(
            f"status.phase: expected one of {', '.join(each.value for each in PodPhase)},"
            f" got {str(status.get('phase'))[:40]!r}"
        ) from None
    try:
        index, size = (
            int(annotations[names.PREFIX + "index"]),
            int(annotations[names.PREFIX + "job-size"]),
        )
        key, uid = str(annotations[names.JOB]), str(annotations[names.PREFIX + "job-uid"])
    except (KeyError, ValueError, TypeError):
        raise ValueError(
            f"metadata.annotations: expected {names.JOB}, {names.PREFIX}job-uid,"
            f" and integers as {names.PREFIX}index and {names.PREFIX}job-size"
        ) from None
    if not 0 <= index < size <= 100_000 or "/" not in key:
        raise ValueError(
            "metadata.annotations: expected 0 <= index < job-size <= 100000 and a Job NAMESPACE/NAME,"
            f" got index {str(index)[:20]}, job-size {str(size)[:20]}, Job {key[:100]!r}"
        )
    return PodStatus(
        str(meta.get("name", "")),
        str(meta.get("namespace", "")),
        key,
        uid,
        size,
        index,
        phase,
        str(status.get("reason", "")),
        _read_usage(annotations.get(names.USE)),
        value,
        _read_time(status.get("startTime")),
        str(annotations.get(names.SESSION, "")),
        _read_epoch(annotations.get(names.EPOCH)),
    )


def _read_epoch(text: object) -> int:
    return int(text) if isinstance(text, str) and text.isdecimal() and len(text) < 18 else 0


def _read_time(text: object) -> int | None:
    try:
        return names.read_time(text) if isinstance(text, str) else None
    except ValueError:
        return None


def _read_usage(text: object) -> dict[str, float]:
    """Decode usage, `cores=1.5;memory=2;served=0.9;machine=0.7`; invalid values are omitted."""
    out: dict[str, float] = {}
    if isinstance(text, str):
        for pair in text[:200].split(";"):
            key, _, value = pair.partition("=")
            try:
                number = float(value)
            except ValueError:
                continue
            if math.isfinite(number):
                out[key] = number
    return out


def pod_resources(value: dict[str, Any]) -> tuple[float, float]:
    """Cores and memory (GiB) that a pod requests. Raises ValueError where they are missing or invalid."""
    cores = memory = 0.0
    try:
        for container in value["spec"]["containers"]:
            requests = container["resources"]["requests"]
            cores += parse_size(str(requests.get("cpu", "0")))
            memory += parse_size(str(requests.get("memory", "0")))
    except (KeyError, TypeError, AttributeError):
        raise ValueError(
            "spec.containers: expected a list of containers with resources.requests"
        ) from None
    return cores, memory / 2**30


def expected_run_time_us(value: dict[str, Any]) -> int | None:
    """The expected run time by a pod's annotations; None where it is missing or invalid."""
    annotations = value.get("metadata", {}).get("annotations", {})
    try:
        return parse_duration(str(annotations[names.EXPECTED]))
    except (KeyError, ValueError):
        return None
