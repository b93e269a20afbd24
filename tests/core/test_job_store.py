"""The Job store and the parser of Jobs: state transitions, one answer per task, and errors that name their field."""

from __future__ import annotations

import copy
import random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wingbarrow.config import load_text
from wingbarrow.core.job_manifest import read_job
from wingbarrow.core.job_status import update_job_status
from wingbarrow.core.job_store import MAX_TOMBSTONES, OPEN, JobStore, State, Step
from wingbarrow.decide.admission import Admission
from wingbarrow.kube.status import ApiError
from wingbarrow.lab.cluster import settings_text
from wingbarrow.lab.workload import TaskSpec, job_value

SETTINGS = load_text(settings_text(0, 1, 1, 1))
VALUE = job_value(TaskSpec(0, "w", "web", "shop", 1.0, 2.0, 5_000_000), "job", 5_000_000)


def read(value: dict[str, Any], namespace: str = "default") -> Any:
    return read_job(value, namespace, SETTINGS.classes, SETTINGS.limits, "abcde")


def store_with_job(count: int = 1, max_open: int = 1000) -> tuple[JobStore, Any]:
    value = copy.deepcopy(VALUE)
    value["spec"]["parallelism"] = count
    value["status"] = {}
    store = JobStore(Admission(max_open, max_open), 10)
    return store, store.add("default/job", "u1", read(value), value)


@settings(max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 4), st.sampled_from(Step)), max_size=60))
def test_any_sequence_of_steps_gives_each_task_at_most_one_answer_and_correct_counts(
    steps: list[tuple[int, Step]],
) -> None:
    store, job = store_with_job(5)
    answers: dict[int, list[State]] = {index: [] for index in range(5)}
    for index, step in steps:
        task = job.tasks[index]
        was_answered, was_allowed = task.answered, store.transition(task, step)
        if task.answered and not was_answered:
            assert was_allowed
            answers[index].append(task.state)
    assert all(len(each) <= 1 for each in answers.values())
    assert job.unanswered == sum(not task.answered for task in job.tasks)
    for state in State:
        assert job.counts[state] == sum(task.state is state for task in job.tasks)
    assert (
        store.admission.open_tasks
        == sum(task.state in OPEN for task in job.tasks)
        == job.open_tasks
    )
    update_job_status(job, 1)


def test_late_and_duplicate_steps_are_counted_and_change_nothing() -> None:
    store, job = store_with_job()
    task = job.tasks[0]
    assert store.transition(task, Step.REFUSE)
    for step in (Step.PLACE, Step.REFUSE, Step.FAIL, Step.DONE):
        assert not store.transition(task, step)
    assert task.state is State.REFUSED
    assert sum(store.unexpected_transitions.values()) == 4


def test_memory_of_ended_and_deleted_jobs_is_bounded() -> None:
    store = JobStore(Admission(10_000, 10_000), 3)
    for number in range(6):
        job = store.add(f"default/j{number}", f"u{number}", read(VALUE), copy.deepcopy(VALUE))
        store.transition(job.tasks[0], Step.REFUSE)
    assert [job.key for job in store.expired_jobs()] == ["default/j0", "default/j1", "default/j2"]
    store.delete(job)
    assert not store.was_deleted("u5"), "pods of this incarnation are recognized by their names"
    for number in range(MAX_TOMBSTONES + 50):
        job.uid, job.adopted = f"t{number}", True
        store.delete(job)
    assert not store.was_deleted("t0")
    assert not store.was_deleted("t49")
    assert store.was_deleted("t50")


def test_an_open_job_never_expires() -> None:
    store = JobStore(Admission(100, 100), 1)
    for number in range(5):
        store.add(f"default/j{number}", f"u{number}", read(VALUE), copy.deepcopy(VALUE))
    assert not store.expired_jobs()


@pytest.mark.parametrize(
    ("path", "bad", "field"),
    [
        (("spec", "parallelism"), "x", "spec.parallelism"),
        (("spec", "parallelism"), 0, "spec.parallelism"),
        (("spec", "parallelism"), 100_000, "spec.parallelism"),
        (("spec", "completions"), 7, "spec.completions"),
        (("spec", "backoffLimit"), -1, "spec.backoffLimit"),
        (("spec", "suspend"), True, "spec.suspend"),
        (("spec", "template"), {}, "spec.template"),
        (("spec", "template", "spec", "containers"), [], "spec.template.spec.containers"),
        (("spec", "template", "spec", "containers", 0, "resources"), {}, "requests.cpu"),
        (
            ("spec", "template", "spec", "containers", 0, "resources", "requests", "cpu"),
            "1x",
            "requests.cpu",
        ),
        (
            ("spec", "template", "spec", "containers", 0, "resources", "requests", "memory"),
            "-5",
            "requests.memory",
        ),
        (
            ("spec", "template", "spec", "containers", 0, "resources", "requests", "cpu"),
            [1],
            "requests",
        ),
        (("spec", "template", "spec", "restartPolicy"), "Always", "restartPolicy"),
        (("metadata", "name"), "Not_A_Name", "metadata.name"),
        (("metadata", "name"), None, "metadata.name"),
        (("metadata", "namespace"), "other", "metadata.namespace"),
        (("metadata", "labels"), {"a b": "c"}, "metadata.labels"),
        (("metadata", "labels"), {"a": "x" * 64}, "metadata.labels[a]"),
        (("metadata", "labels"), {"a": 5}, "metadata.labels"),
        (("metadata", "labels"), {"wingbarrow.io/class": "nope"}, "wingbarrow.io/class"),
        (("metadata", "annotations"), {"wingbarrow.io/patience": "5"}, "wingbarrow.io/patience"),
        (("metadata", "annotations"), {"wingbarrow.io/patience": "1ms"}, "wingbarrow.io/patience"),
        (("metadata", "annotations"), {"x": "y" * 300_000}, "metadata.annotations"),
        (("apiVersion",), "batch/v2", "apiVersion"),
        (("kind",), "Pod", "kind"),
        (("metadata",), [], "metadata"),
        (("spec",), None, "spec"),
    ],
)
def test_an_invalid_field_is_named_in_the_error(
    path: tuple[Any, ...], bad: Any, field: str
) -> None:
    value = copy.deepcopy(VALUE)
    part: Any = value
    for step in path[:-1]:
        part = part[step]
    part[path[-1]] = bad
    with pytest.raises(ApiError) as caught:
        read(value)
    assert caught.value.code == 422
    assert any(field in cause.field for cause in caught.value.causes), caught.value.causes


def test_several_invalid_fields_are_reported_together() -> None:
    value = copy.deepcopy(VALUE)
    value["metadata"]["name"] = "X"
    value["spec"]["parallelism"] = 0
    value["spec"]["backoffLimit"] = 5000
    with pytest.raises(ApiError) as caught:
        read(value)
    assert len(caught.value.causes) == 3


def test_generated_names_and_defaults() -> None:
    value = copy.deepcopy(VALUE)
    del value["metadata"]["name"]
    value["metadata"]["generateName"] = "label-"
    request = read(value)
    assert request.name == "label-abcde"
    assert request.count == 1
    assert request.memory == 2.0
    assert request.cores == 1.0
    assert request.service == "default/shop"
    assert request.patience_us == 5_000_000
    value["metadata"]["labels"]["wingbarrow.io/class"] = "settlement"
    assert read(value).restarts == 0, "a class whose tasks must not start twice has no restarts"


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.text(max_size=8), inner, max_size=3),
    max_leaves=8,
)


@settings(max_examples=300, deadline=None)
@given(st.integers(0, 1 << 30), JSON)
def test_a_random_value_at_any_place_raises_only_api_errors(seed: int, noise: Any) -> None:
    rng, value = random.Random(seed), copy.deepcopy(VALUE)
    part: Any = value
    while True:
        key = rng.choice(list(part) if isinstance(part, dict) else range(len(part)))
        if not isinstance(part[key], (dict, list)) or not part[key] or rng.random() < 0.3:
            part[key] = noise
            break
        part = part[key]
    try:
        read(value)
    except ApiError as error:
        assert error.code == 422
        assert error.causes
