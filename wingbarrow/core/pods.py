"""Pods (v1 Pod): what an offer sends to a machine, and what a machine's answers and news mean."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import Any

from wingbarrow import interface as api
from wingbarrow.config.settings import parse_duration, parse_size
from wingbarrow.core.job_store import TaskRecord
from wingbarrow.http.client import MaybeDone, NotSent, Why
from wingbarrow.http.message import Response
from wingbarrow.kube import names

_NO_ROOM = {
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
_GIVEN_UP = {
    "Evicted": api.Reason.EVICTED,
    "Preempting": api.Reason.PUSHED_OUT,
    "NodeShutdown": api.Reason.SENT_AWAY,
    "Terminated": api.Reason.SENT_AWAY,
}


@dataclass(frozen=True, slots=True)
class OfferFailure:
    """How an offer ended without the task placed."""

    outcome: api.Outcome
    reason: api.Reason
    details: str


class PodPhase(Enum):
    """A pod's phase, as far as it matters here."""

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
    """The Pod of one attempt; `within_us` tells the machine after how long nobody waits for its start.

    `until`: of a leased Job, until when it may run by the machine's clock.
    """
    job, asked = task.job, task.job.request
    template = job.value["spec"]["template"]
    meta = template.get("metadata") or {}
    notes = {
        **(meta.get("annotations") or {}),
        names.JOB: job.key,
        names.PREFIX + "job-uid": job.uid,
        names.PREFIX + "job-size": str(asked.count),
        names.PREFIX + "index": str(task.index),
        names.TASK: task.name,
        names.SERVICE: asked.service,
        names.START_WITHIN: f"{max(0, within_us)}us",
    }
    for key in (names.RUNS_FOR, names.EXPECTED):
        told = (job.value["metadata"].get("annotations") or {}).get(key)
        if told:
            notes[key] = told
    if job.leased is not None:
        notes |= {
            names.LEASE_UNTIL: until,
            names.SESSION: job.leased.session,
            names.EPOCH: str(job.leased.epoch),
        }
    labels = {
        **(meta.get("labels") or {}),
        names.PLACER: placer,
        names.CLASS: asked.task_class.task_class.name,
        names.JOB_NAME: asked.name,
    }
    if rules:
        labels[names.RULES] = rules
    return names.encode(
        {
            "apiVersion": "v1",
            "kind": "Pod",
            "metadata": {
                "name": pod,
                "namespace": asked.namespace,
                "labels": labels,
                "annotations": notes,
            },
            "spec": {
                **template["spec"],
                "nodeName": machine,
                "priority": asked.task_class.priority,
            },
        }
    )


def read_offer_response(response: Response) -> OfferFailure | None:
    """What the answer to an offer means; None where the task runs."""
    if response.status in (200, 201):
        return None
    reason, words = "", f"status {response.status}"
    try:
        status = names.decode(response.body)
        reason, words = str(status.get("reason", "")), str(status.get("message", words))[:200]
    except ValueError:
        pass
    if reason in _NO_ROOM:
        return OfferFailure(api.Outcome.REFUSED, _NO_ROOM[reason], f"{reason}: {words}")
    # An agent answers 4xx before it starts anything. A name that exists may be this very task's: in doubt.
    if 400 <= response.status < 500 and reason != "AlreadyExists" and response.status != 408:
        return OfferFailure(api.Outcome.REFUSED, api.Reason.UNTOLD, words)
    return OfferFailure(api.Outcome.ERROR, api.Reason.UNTOLD, words)


def read_call_failure(error: NotSent | MaybeDone) -> OfferFailure:
    """What a call without an answer means for rule 2: unrun only where no byte went out."""
    if isinstance(error, NotSent):
        outcome = (
            api.Outcome.UNREACHABLE
            if error.why in (Why.REFUSED, Why.NO_CONNECT)
            else api.Outcome.NOT_SENT
        )
    elif error.why is Why.SILENT:
        outcome = api.Outcome.TIMED_OUT
    else:
        outcome = api.Outcome.ERROR if error.why is Why.GARBAGE else api.Outcome.BROKEN
    return OfferFailure(outcome, api.Reason.UNTOLD, str(error))


@dataclass(frozen=True, slots=True)
class PodStatus:
    """A pod as a machine tells of it."""

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
    started_us: int | None  # wall clock, to a second; None where it is not told
    session: str = ""  # whose lease it runs by
    epoch: int = 0

    @property
    def eviction_reason(self) -> api.Reason:
        """Why the machine gave the task up."""
        return _GIVEN_UP.get(self.reason, api.Reason.UNTOLD)


def read_pod(value: dict[str, Any]) -> PodStatus:
    """ValueError names the field that is missing or wrong."""
    meta, status = value.get("metadata"), value.get("status")
    if not isinstance(meta, dict) or not isinstance(status, dict):
        raise ValueError("metadata or status")
    notes = meta.get("annotations")
    if not isinstance(notes, dict):
        raise ValueError("metadata.annotations")
    try:
        phase = PodPhase(status.get("phase"))
    except ValueError:
        raise ValueError("status.phase") from None
    try:
        index, size = int(notes[names.PREFIX + "index"]), int(notes[names.PREFIX + "job-size"])
        key, uid = str(notes[names.JOB]), str(notes[names.PREFIX + "job-uid"])
    except (KeyError, ValueError, TypeError):
        raise ValueError("metadata.annotations") from None
    if not 0 <= index < size <= 100_000 or "/" not in key:
        raise ValueError("metadata.annotations")
    return PodStatus(
        str(meta.get("name", "")),
        str(meta.get("namespace", "")),
        key,
        uid,
        size,
        index,
        phase,
        str(status.get("reason", "")),
        _use(notes.get(names.USE)),
        value,
        _time(status.get("startTime")),
        str(notes.get(names.SESSION, "")),
        _epoch(notes.get(names.EPOCH)),
    )


def _epoch(text: object) -> int:
    return int(text) if isinstance(text, str) and text.isdecimal() and len(text) < 18 else 0


def _time(text: object) -> int | None:
    try:
        return names.read_time(text) if isinstance(text, str) else None
    except ValueError:
        return None


def _use(text: object) -> dict[str, float]:
    """Figures of use, `cores=1.5;memory=2;served=0.9;machine=0.7`; what cannot be read counts as not told."""
    out: dict[str, float] = {}
    if isinstance(text, str):
        for pair in text[:200].split(";"):
            key, _, value = pair.partition("=")
            try:
                figure = float(value)
            except ValueError:
                continue
            if math.isfinite(figure):
                out[key] = figure
    return out


def pod_resources(value: dict[str, Any]) -> tuple[float, float]:
    """Cores and memory (GiB) that a pod asks; ValueError where they cannot be read."""
    cores = memory = 0.0
    try:
        for container in value["spec"]["containers"]:
            requests = container["resources"]["requests"]
            cores += parse_size(str(requests.get("cpu", "0")))
            memory += parse_size(str(requests.get("memory", "0")))
    except (KeyError, TypeError, AttributeError):
        raise ValueError("spec.containers") from None
    return cores, memory / 2**30


def expected_run_time_us(value: dict[str, Any]) -> int | None:
    """The run time that a pod's annotations expect, None where they tell none."""
    notes = value.get("metadata", {}).get("annotations", {})
    try:
        return parse_duration(str(notes[names.EXPECTED]))
    except (KeyError, ValueError):
        return None
