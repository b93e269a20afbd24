"""A Job's status for each way in which its tasks may end, Events, and Status errors, from constructed objects."""

from __future__ import annotations

import pytest

from tests.wire.golden import assert_golden
from wingbarrow.config import load_text
from wingbarrow.core.event_recorder import EventRecorder, event_fields
from wingbarrow.core.job_manifest import job_value, read_job
from wingbarrow.core.job_status import update_job_status
from wingbarrow.core.job_store import JobRecord, JobStore, Step
from wingbarrow.decide.admission import Admission
from wingbarrow.kube import names
from wingbarrow.kube.status import ApiError, Cause, expired, invalid, not_found
from wingbarrow.kube.store import Store, event_line
from wingbarrow.lab.cluster import settings_text

WALL_US = 1_780_000_000_000_000
# For each task its steps; all Jobs have as many tasks as rows.
STEPS: dict[str, tuple[tuple[Step, ...], ...]] = {
    "asked": ((), ()),
    "placed": ((Step.PLACE,), (Step.PLACE,)),
    "one-placed": ((Step.PLACE,), ()),
    "done": ((Step.PLACE, Step.DONE),),
    "refused": ((Step.REFUSE,),),
    "one-refused": ((Step.REFUSE,), (Step.PLACE,)),
    "failed": ((Step.FAIL,),),
    "failed-and-refused": ((Step.FAIL,), (Step.REFUSE,), (Step.PLACE, Step.DONE)),
    "lost": ((Step.PLACE, Step.LOSE),),
    "one-lost": ((Step.PLACE, Step.LOSE), (Step.PLACE, Step.DONE)),
    "waits": ((Step.PLACE, Step.SCHEDULE_RETRY),),
    "stopped": ((Step.PLACE, Step.STOP),),
}


def job_of(key: str, count: int, *, adopted: bool = False) -> tuple[JobStore, JobRecord]:
    settings = load_text(settings_text(0, 1, 1, 1))
    requests = {"cpu": "1", "memory": "1Gi"}
    value = {
        "metadata": {"name": key},
        "spec": {
            "parallelism": count,
            "completions": count,
            "template": {
                "spec": {"containers": [{"name": "c", "resources": {"requests": requests}}]}
            },
        },
    }
    asked = read_job(value, "default", settings.classes, settings.limits, "abcde")
    store = JobStore(Admission(100, 100), 100)
    shown = job_value(value, asked, "a-uid", WALL_US)
    return store, store.add(f"default/{key}", "a-uid", asked, shown, adopted)


def test_the_status_of_a_job_by_what_became_of_its_tasks() -> None:
    lines = []
    for name, rows in STEPS.items():
        store, job = job_of(name, len(rows))
        update_job_status(job, WALL_US)
        for task, steps in zip(job.tasks, rows, strict=True):
            for number, step in enumerate(steps):
                task.last_outcome = f"words on {step.value}"
                assert store.transition(task, step), (name, step)
                update_job_status(job, WALL_US + (number + 1) * 1_000_000)
        lines.append(names.encode(job.value))
    assert_golden("rest/job-status.jsonl", b"\n".join([*lines, b""]))


def test_the_status_of_a_job_of_a_former_life_and_of_one_whose_lease_ended() -> None:
    lines = []
    for notes, steps in (
        ({}, (Step.ADOPT,)),
        ({}, (Step.ADOPT, Step.DONE)),
        ({}, (Step.ADOPT, Step.LOSE)),
        ({"wingbarrow.io/TakenOver": ("Run", "words")}, (Step.ADOPT,)),
    ):
        store, job = job_of("former", 1, adopted=True)
        job.conditions.update(notes)
        for step in steps:
            job.tasks[0].last_outcome = "its words"
            assert store.transition(job.tasks[0], step), step
            update_job_status(job, WALL_US)
        lines.append(names.encode(job.value))
    store, job = job_of("lease-lost", 1)
    job.lease_lost = True
    job.tasks[0].last_outcome = "no keeper said so in time"
    assert store.transition(job.tasks[0], Step.FAIL)
    update_job_status(job, WALL_US)
    lines.append(names.encode(job.value))
    job.conditions["wingbarrow.io/Unknown"] = ("First", "words")
    update_job_status(job, WALL_US)
    job.conditions["wingbarrow.io/Unknown"] = ("Second", "other words")
    update_job_status(job, WALL_US + 5_000_000)
    lines.append(names.encode(job.value))
    assert_golden("rest/job-status-former.jsonl", b"\n".join([*lines, b""]))


def test_events() -> None:
    store = Store(WALL_US, 100)
    collection = store.collection("events")
    events = EventRecorder(collection, "placer-0")
    _, job = job_of("one", 1)
    events.record_for_job(job, "Warning", "Refused", "x" * 2000, WALL_US)
    events.record_for_job(job, "Normal", "Moved", "words", WALL_US + 1)
    events.record_for_node("node-1", "Normal", "DrainBegun", "words", WALL_US + 2)
    found = [each.raw for each in collection.objects.values()]
    fields = [names.encode(event_fields(names.decode(raw))) for raw in found]
    assert_golden("rest/events.jsonl", b"\n".join([*found, *fields, b""]))


CODES = (400, 403, 404, 405, 406, 409, 410, 413, 415, 422, 429, 500, 503, 504, 418)


@pytest.mark.parametrize("retry_after_s", [None, 3])
def test_status_errors(retry_after_s: int | None) -> None:
    errors = [ApiError(code, "words", retry_after_s=retry_after_s) for code in CODES]
    causes = [Cause("spec.a", "FieldValueInvalid", "one"), Cause("spec.b", "FieldRequired", "two")]
    errors += [
        ApiError(409, "words", "AlreadyExists", name="one", kind="jobs"),
        invalid("Job", "one", causes),
        invalid("Job", "", causes * 4),
        not_found("jobs.batch", "one"),
        expired("words"),
    ]
    lines = [names.encode(each.status()) + b" " + str(each).encode() for each in errors]
    lines.append(event_line(b"ERROR", names.encode(errors[-1].status())))
    suffix = "" if retry_after_s is None else "-retry"
    assert_golden(f"rest/status{suffix}.jsonl", b"\n".join([*lines, b""]))
