"""Validates a submitted Job (batch/v1) and converts it to a `JobRequest`; every error names its field's path."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

from wingbarrow.config.settings import ClassSettings, Limits, parse_duration, parse_size
from wingbarrow.kube import names
from wingbarrow.kube.selectors import is_label_key, is_label_value
from wingbarrow.kube.status import Cause, invalid

_NAME = re.compile(r"[a-z0-9](?:[-a-z0-9]*[a-z0-9])?(?:\.[a-z0-9](?:[-a-z0-9]*[a-z0-9])?)*")
_MAX_ANNOTATIONS_BYTES = 262_144  # of all annotations together (apimachinery's limit)


class _Meta(msgspec.Struct, rename="camel"):
    name: str | None = None
    generate_name: str | None = None
    namespace: str | None = None
    labels: dict[str, str] | None = None
    annotations: dict[str, str] | None = None
    resource_version: str | None = None
    uid: str | None = None


class _Resources(msgspec.Struct):
    requests: dict[str, str | int | float] | None = None


class _Container(msgspec.Struct, rename="camel"):
    name: str
    image: str | None = None
    command: list[str] | None = None
    args: list[str] | None = None
    resources: _Resources | None = None


class _PodSpec(msgspec.Struct, rename="camel"):
    containers: list[_Container]
    restart_policy: str | None = None


class _Template(msgspec.Struct):
    spec: _PodSpec
    metadata: _Meta | None = None


class _Spec(msgspec.Struct, rename="camel"):
    template: _Template
    parallelism: int | None = None
    completions: int | None = None
    backoff_limit: int | None = None
    active_deadline_seconds: int | None = None
    suspend: bool | None = None


class _Job(msgspec.Struct, rename="camel"):
    metadata: _Meta
    spec: _Spec
    api_version: str | None = None
    kind: str | None = None


@dataclass(frozen=True, slots=True)
class JobRequest:
    """What a Job requests: `count` tasks of one service; `memory` in GiB, times in microseconds."""

    namespace: str
    name: str
    task_class: ClassSettings
    service: str
    count: int
    cores: float
    memory: float
    patience_us: int
    expected_us: int | None
    restarts: int


def read_job(
    value: dict[str, Any],
    namespace: str,
    classes: Mapping[str, ClassSettings],
    limits: Limits,
    generated_suffix: str,
) -> JobRequest:
    """Validate a Job; ApiError 422 names up to 32 errors. `generated_suffix` is appended to `generateName`."""
    try:
        job = msgspec.convert(value, _Job)
    except msgspec.ValidationError as error:
        message, _, path = str(error).partition(" - at `$.")
        field = path.rstrip("`") if path else _missing_field(message)
        raise invalid(
            "Job", _name_in_error(value), [Cause(field, "FieldValueInvalid", message)]
        ) from None
    errors = _FieldErrors()
    meta, spec = job.metadata, job.spec
    if job.api_version not in (None, "batch/v1"):
        errors.add("apiVersion", "batch/v1 is served here", "FieldValueNotSupported")
    if job.kind not in (None, "Job"):
        errors.add("kind", "a Job is wanted here", "FieldValueNotSupported")
    name = meta.name or (
        (meta.generate_name or "")[:58] + generated_suffix if meta.generate_name else ""
    )
    if not name:
        errors.add("metadata.name", "name or generateName is required", "FieldValueRequired")
    elif len(name) > 63 or not _NAME.fullmatch(name):
        errors.add("metadata.name", "not a lower-case DNS name of at most 63 characters")
    if meta.namespace not in (None, "", namespace):
        errors.add(
            "metadata.namespace", f"does not match the namespace of the request: {namespace}"
        )
    if len(namespace) > 63 or not _NAME.fullmatch(namespace):
        errors.add("metadata.namespace", "not a lower-case DNS label of at most 63 characters")
    _check_labels_and_annotations(meta, "metadata", errors)
    if spec.template.metadata is not None:
        _check_labels_and_annotations(spec.template.metadata, "spec.template.metadata", errors)
    labels = {
        **((spec.template.metadata.labels if spec.template.metadata else None) or {}),
        **(meta.labels or {}),
    }
    annotations = {
        **((spec.template.metadata.annotations if spec.template.metadata else None) or {}),
        **(meta.annotations or {}),
    }
    settings = classes.get(labels.get(names.CLASS, next(iter(classes))))
    if settings is None:
        errors.add(
            f"metadata.labels[{names.CLASS}]",
            f"no such class; the classes are {', '.join(classes)}",
            "FieldValueNotSupported",
        )
    count = _task_count(spec, limits, errors)
    cores, memory = _requested_resources(spec.template.spec, errors)
    if spec.template.spec.restart_policy not in (None, "Never", "OnFailure"):
        errors.add(
            "spec.template.spec.restartPolicy",
            'must be "OnFailure" or "Never"',
            "FieldValueNotSupported",
        )
    restarts = settings.restarts if settings else 0
    if spec.backoff_limit is not None:
        if 0 <= spec.backoff_limit <= 1000:
            restarts = spec.backoff_limit
        else:
            errors.add("spec.backoffLimit", "between 0 and 1000 is wanted")
    if spec.suspend:
        errors.add("spec.suspend", "suspended Jobs are not supported", "FieldValueNotSupported")
    if spec.active_deadline_seconds is not None:
        errors.add(
            "spec.activeDeadlineSeconds",
            "not supported; a machine ends a task by itself",
            "FieldValueNotSupported",
        )
    patience = _duration_us(annotations, names.PATIENCE, errors)
    if patience is not None and not 100_000 <= patience <= limits.patience_us:
        errors.add(
            f"metadata.annotations[{names.PATIENCE}]",
            f"between 100ms and {limits.patience_us // 1_000_000}s is wanted",
        )
    expected = _duration_us(annotations, names.EXPECTED, errors)
    service = labels.get(names.SERVICE) or name
    if errors.causes or settings is None:
        raise invalid("Job", _name_in_error(value), errors.causes)
    if settings.task_class.effect.value == "unsafe":
        # Rule 2: a task that must not start twice is never retried on its owner's behalf.
        restarts = 0
    return JobRequest(
        namespace,
        name,
        settings,
        f"{namespace}/{service}",
        count,
        cores,
        memory,
        patience or settings.patience_us,
        expected,
        restarts,
    )


def job_value(value: dict[str, Any], request: JobRequest, uid: str, wall_us: int) -> dict[str, Any]:
    """The Job as it is published: the submitted value with the fields that a server sets."""
    meta = {
        key: part
        for key, part in value["metadata"].items()
        if key in ("labels", "annotations", "generateName")
    }
    timestamp = names.short_time(wall_us)
    spec = {
        "parallelism": request.count,
        "completions": request.count,
        "backoffLimit": request.restarts,
        "completionMode": "NonIndexed",
        "suspend": False,
        **value["spec"],
    }
    return {
        "kind": "Job",
        "apiVersion": "batch/v1",
        "metadata": {
            "name": request.name,
            "namespace": request.namespace,
            "uid": uid,
            "generation": 1,
            "creationTimestamp": timestamp,
            **meta,
        },
        "spec": spec,
        "status": {"startTime": timestamp},
    }


class _FieldErrors:
    def __init__(self) -> None:
        self.causes: list[Cause] = []

    def add(self, field: str, message: str, reason: str = "FieldValueInvalid") -> None:
        if len(self.causes) < 32:
            self.causes.append(Cause(field, reason, message))


def _name_in_error(value: dict[str, Any]) -> str:
    meta = value.get("metadata")
    return str(meta.get("name", ""))[:63] if isinstance(meta, dict) else ""


def _missing_field(message: str) -> str:
    return message.rpartition("`")[0].rpartition("`")[2] if "required field" in message else "$"


def _check_labels_and_annotations(meta: _Meta, path: str, errors: _FieldErrors) -> None:
    for key, value in (meta.labels or {}).items():
        if not is_label_key(key):
            errors.add(f"{path}.labels", f"not a label's key: {key[:80]!r}")
        elif not is_label_value(value):
            errors.add(f"{path}.labels[{key}]", "not a label's value of at most 63 characters")
    if (
        sum(len(key) + len(value) for key, value in (meta.annotations or {}).items())
        > _MAX_ANNOTATIONS_BYTES
    ):
        errors.add(
            f"{path}.annotations", f"more than {_MAX_ANNOTATIONS_BYTES} bytes", "FieldValueTooLong"
        )


def _task_count(spec: _Spec, limits: Limits, errors: _FieldErrors) -> int:
    count = 1 if spec.parallelism is None else spec.parallelism
    if not 1 <= count <= limits.tasks_per_job:
        errors.add("spec.parallelism", f"between 1 and {limits.tasks_per_job} is wanted")
    if spec.completions is not None and spec.completions != count:
        errors.add("spec.completions", "must equal parallelism: a Job's tasks run side by side")
    return count


def _requested_resources(pod: _PodSpec, errors: _FieldErrors) -> tuple[float, float]:
    path = "spec.template.spec.containers"
    if not 1 <= len(pod.containers) <= 16:
        errors.add(path, "between 1 and 16 containers are wanted", "FieldValueRequired")
    total = {"cpu": 0.0, "memory": 0.0}
    for i, container in enumerate(pod.containers):
        requests = (container.resources.requests if container.resources else None) or {}
        for key in total:
            field = f"{path}[{i}].resources.requests.{key}"
            if key not in requests:
                continue
            try:
                amount = parse_size(str(requests[key]))
            except ValueError as error:
                errors.add(field, str(error))
                continue
            if not math.isfinite(amount) or amount < 0:
                errors.add(field, "must be at least 0")
            else:
                total[key] += amount
    for key, amount in total.items():
        if amount <= 0 and not errors.causes:
            errors.add(
                f"{path}[0].resources.requests.{key}",
                "a positive quantity is required",
                "FieldValueRequired",
            )
    return total["cpu"], total["memory"] / 2**30


def _duration_us(annotations: Mapping[str, str], key: str, errors: _FieldErrors) -> int | None:
    if key not in annotations:
        return None
    try:
        return parse_duration(annotations[key])
    except ValueError as error:
        errors.add(f"metadata.annotations[{key}]", str(error))
        return None
