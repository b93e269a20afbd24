"""The auditor finds each kind of breach that is planted, and none in a clean recording."""

from __future__ import annotations

from typing import Any

import pytest

from wingbarrow.config import load_text
from wingbarrow.lab.audit import BREACHES, Audit, audit
from wingbarrow.lab.cluster import settings_text
from wingbarrow.lab.record import Record

S = 1_000_000
SETTINGS = load_text(settings_text(0, 2, 1, 1))


class RecordingBuilder:
    """Builds a recording; times are in seconds."""

    def __init__(self) -> None:
        self.records: list[Record] = []
        for name, rack in (("n0", "r0"), ("n1", "r0"), ("n2", "r1")):
            self.add(0, name, "launch", cold=False, zone="a", cell=rack)

    def add(self, at: float, where: str, what: str, **data: Any) -> None:
        self.records.append(Record(int(at * S), where, what, data))

    def accept(
        self, at: float, uid: str, task_class: str = "web", placer: str = "p0", patience: float = 5
    ) -> None:
        self.add(
            at,
            "owner",
            "accepted",
            uid=uid,
            job=uid,
            placer=placer,
            task=uid,
            task_class=task_class,
            patience_us=int(patience * S),
            sent_us=int(at * S),
        )

    def answer(self, at: float, uid: str, answer: str) -> None:
        self.add(at, "owner", "answer", uid=uid, job=uid, answer=answer, failed="")

    def offer(
        self,
        at: float,
        pod: str,
        machine: str = "n0",
        uid: str = "u",
        task_class: str = "web",
        service: str = "s",
        placer: str = "p0",
        late: bool = False,
    ) -> None:
        self.add(
            at,
            machine,
            "offer",
            placer=placer,
            pod=pod,
            uid=uid,
            task=uid,
            task_class=task_class,
            service=service,
            late=late,
        )

    def runs(
        self, at: float, pod: str, machine: str = "n0", uid: str = "u", task_class: str = "web"
    ) -> None:
        self.add(at, machine, "start", pod=pod, task=uid, task_class=task_class)
        self.add(at, machine, "answer", pod=pod, status=201, reason="")

    def told(
        self, at: float, machine: str, phase: str, placer: str = "p0", launched: str = ""
    ) -> None:
        self.add(
            at,
            "list-source",
            "told",
            placer=placer,
            machine=machine,
            phase=phase,
            launched=launched,
        )

    def audit(self) -> Audit:
        return audit(sorted(self.records, key=lambda record: record.at_us), SETTINGS)


def clean() -> RecordingBuilder:
    recording = RecordingBuilder()
    recording.accept(1, "u")
    recording.offer(1.1, "x-1-0")
    recording.add(1.2, "n0", "answer", pod="x-1-0", status=409, reason="OutOfcpu")
    recording.offer(1.3, "x-1-1", "n1")
    recording.runs(1.5, "x-1-1", "n1")
    recording.answer(1.6, "u", "placed")
    recording.add(9, "n1", "end", pod="x-1-1", why="done")
    return recording


def test_a_clean_recording_is_clean() -> None:
    found = clean().audit()
    assert found.clean
    assert (found.accepted, found.placed, found.offers, found.starts) == (
        1,
        1,
        2,
        1,
    )


def unanswered(recording: RecordingBuilder) -> None:
    recording.accept(2, "v")


def test_an_answer_not_due_when_the_recording_ends_is_no_breach() -> None:
    recording = clean()
    recording.accept(5, "v")
    found = recording.audit()
    assert found.clean
    assert found.open_at_end == 1


def late_answer(recording: RecordingBuilder) -> None:
    recording.accept(2, "v")
    recording.answer(7.1, "v", "refused")


def two_answers(recording: RecordingBuilder) -> None:
    recording.answer(3, "u", "refused")


def second_start(recording: RecordingBuilder) -> None:
    for turn, machine in enumerate(("n0", "n1")):
        recording.offer(2 + turn, f"x-{turn + 5}-0", machine, "pay", "settlement", service="t")
        recording.runs(2.5 + turn, f"x-{turn + 5}-0", machine, "pay", "settlement")


def two_out(recording: RecordingBuilder) -> None:
    recording.offer(2, "x-7-0", "n0", "w", service="t")
    recording.offer(2.1, "x-7-1", "n2", "w", service="t")


def draining(recording: RecordingBuilder) -> None:
    recording.told(2, "n2", "draining")
    recording.offer(2.26, "x-8-0", "n2", "w", service="t")


def gone(recording: RecordingBuilder) -> None:
    recording.told(2, "n2", "gone")
    recording.offer(3, "x-8-0", "n2", "w", service="t")


def cold(recording: RecordingBuilder) -> None:
    recording.add(2, "n2", "launch", cold=True, zone="a", cell="r1")
    for placer in ("p0", "p1"):
        recording.told(2.1, "n2", "running", placer, "now")
    for turn in range(21):
        placer = f"p{turn % 2}"
        recording.offer(
            3 + turn * 0.09,
            f"{placer}-{turn}-0",
            "n2",
            f"w{turn}",
            service=f"t{turn}",
            placer=placer,
        )
        recording.runs(3.01 + turn * 0.09, f"{placer}-{turn}-0", "n2", f"w{turn}")


def crowd(recording: RecordingBuilder) -> None:
    for turn in range(4):
        recording.offer(2 + turn, f"x-{20 + turn}-0", f"n{turn % 2}", f"w{turn}", service="t")
        recording.runs(2.1 + turn, f"x-{20 + turn}-0", f"n{turn % 2}", f"w{turn}")


def after_end(recording: RecordingBuilder) -> None:
    recording.accept(2, "v")
    recording.answer(3, "v", "refused")
    recording.offer(3.1, "x-30-0", "n2", "v", service="t")


def past_patience(recording: RecordingBuilder) -> None:
    recording.accept(2, "v", placer="p1")
    recording.add(8, "p1", "killed")
    recording.offer(7.5, "x-31-0", "n2", "v", service="t", placer="p1")


def deleted_runs_on(recording: RecordingBuilder) -> None:
    recording.accept(10, "gone")
    recording.offer(10.1, "x-50-0", "n2", "gone", service="t")
    recording.runs(10.2, "x-50-0", "n2", "gone")
    recording.answer(10.3, "gone", "placed")
    recording.add(11, "owner", "deleted", uid="gone", job="gone", placer="p0")
    recording.add(21.5, "n0", "probe", placer="p0")


def sent_though_deleted(recording: RecordingBuilder) -> None:
    recording.accept(10, "gone")
    recording.add(11, "owner", "deleted", uid="gone", job="gone", placer="p0")
    recording.offer(11.1, "x-51-0", "n2", "gone", service="t")
    recording.add(11.2, "n2", "answer", pod="x-51-0", status=409, reason="OutOfcpu")


def crowd_over_a_restart(recording: RecordingBuilder) -> None:
    for turn in range(3):
        recording.offer(10 + turn, f"x-{20 + turn}-0", "n0", f"w{turn}", service="t")
        recording.runs(10.1 + turn, f"x-{20 + turn}-0", "n0", f"w{turn}")
    recording.add(14, "p0", "killed")
    recording.offer(15, "y-1-0", "n1", "w9", service="t")


def crowd_of_an_offer_that_its_killed_placer_never_heard_of(recording: RecordingBuilder) -> None:
    for turn in range(3):
        recording.offer(10 + turn, f"x-{20 + turn}-0", "n0", f"w{turn}", service="t")
    recording.add(13, "p0", "killed")
    for turn in range(3):
        recording.add(
            13.5, "n0", "start", pod=f"x-{20 + turn}-0", task=f"w{turn}", task_class="web"
        )
    recording.offer(15, "y-1-0", "n1", "w9", service="t")


@pytest.mark.parametrize(
    ("plant", "breach"),
    [
        (deleted_runs_on, "runs_deleted"),
        (sent_though_deleted, "sends_after_end"),
        (crowd_over_a_restart, "spread_overruns"),
        (crowd_of_an_offer_that_its_killed_placer_never_heard_of, "spread_overruns"),
        (unanswered, "unanswered"),
        (late_answer, "late_answers"),
        (two_answers, "double_answers"),
        (second_start, "double_effects"),
        (two_out, "double_effects"),
        (draining, "sends_to_draining"),
        (gone, "sends_to_draining"),
        (cold, "cold_overruns"),
        (crowd, "spread_overruns"),
        (after_end, "sends_after_end"),
        (past_patience, "sends_after_end"),
    ],
)
def test_each_planted_breach_is_found_and_no_other(plant: Any, breach: str) -> None:
    recording = clean()
    plant(recording)
    found = recording.audit()
    assert not found.clean
    assert getattr(found, breach) == 1
    assert [name for name in BREACHES if getattr(found, name)] == [breach]


def test_offers_and_answers_exactly_at_a_limit_are_no_breach() -> None:
    recording = clean()
    recording.told(2, "n2", "draining")
    recording.offer(2.25, "x-8-0", "n2", "w", service="t")
    recording.add(2.26, "n2", "answer", pod="x-8-0", status=409, reason="NodeShutdown")
    recording.accept(2, "v")
    recording.answer(7.008, "v", "refused")
    for turn in range(3):
        recording.offer(3 + turn, f"x-{20 + turn}-0", "n0", f"w{turn}", service="z")
        recording.runs(3.1 + turn, f"x-{20 + turn}-0", "n0", f"w{turn}")
    recording.add(6, "n0", "end", pod="x-20-0", why="done")
    recording.offer(6.1, "x-40-0", "n1", "w9", service="z")
    recording.add(6.2, "n1", "closed", pod="x-40-0", why="reset")
    recording.offer(6.3, "x-40-1", "n1", "w9", service="z")
    assert recording.audit().clean


def test_a_hold_over_the_deadline_is_counted_apart_from_a_late_answer() -> None:
    recording = clean()
    recording.add(4, "p0", "hold", for_us=S)
    recording.accept(1, "v", patience=3.5)
    recording.answer(5, "v", "failed")
    found = recording.audit()
    assert found.clean
    assert found.late_by_stall == 1
    recording.records = [record for record in recording.records if record.what != "hold"]
    assert recording.audit().late_answers == 1


def test_jobs_open_when_their_placer_is_killed_are_left_to_their_owners() -> None:
    recording = clean()
    recording.accept(2, "v")
    recording.add(3, "p0", "killed")
    found = recording.audit()
    assert found.clean
    assert found.left_to_owners == 1


def test_a_task_that_ends_before_its_offer_is_answered_no_longer_counts() -> None:
    recording = clean()
    recording.add(10, "n0", "hold", for_us=2 * S)
    for turn in range(3):
        recording.offer(10.1, f"x-{20 + turn}-0", "n0", f"w{turn}", service="t")
        recording.add(
            10.2, "n0", "start", pod=f"x-{20 + turn}-0", task=f"w{turn}", task_class="web"
        )
        recording.add(12, "n0", "end", pod=f"x-{20 + turn}-0", why="done")
        recording.add(12.01, "n0", "answer", pod=f"x-{20 + turn}-0", status=201, reason="")
    recording.offer(13, "x-60-0", "n1", "w9", service="t")
    assert recording.audit().clean


def test_a_task_of_a_killed_placer_process_on_a_held_machine_is_no_spread_overrun() -> None:
    recording = clean()
    crowd_over_a_restart(recording)
    recording.add(13.5, "n0", "hold", for_us=4 * S)
    assert recording.audit().clean


def test_a_deleted_job_owes_no_answer() -> None:
    recording = clean()
    recording.accept(2, "v")
    recording.add(3, "owner", "deleted", uid="v", job="v", placer="p0")
    found = recording.audit()
    assert found.clean
    assert found.deleted_unanswered == 1
    assert found.left_to_owners == 0


def test_an_answer_or_a_kill_read_just_before_the_acceptance_counts_for_its_job() -> None:
    def accepted(at: int, uid: str) -> Record:
        return Record(
            at,
            "owner",
            "accepted",
            {
                "placer": "p",
                "job": uid,
                "uid": uid,
                "task": uid,
                "task_class": "web",
                "patience_us": 5_000_000,
                "sent_us": 1_000,
            },
        )

    early = Record(
        2_000,
        "owner",
        "answer",
        {"placer": "p", "job": "a", "uid": "a", "answer": "refused", "failed": ""},
    )
    records = [
        early,
        accepted(2_100, "a"),
        Record(2_200, "p", "killed", {}),
        accepted(2_300, "b"),
        accepted(9_000_000, "c"),
        Record(30_000_000, "p", "end", {"pod": "x", "why": "done"}),
    ]
    settings = load_text(settings_text(0, 1, 1, 1))
    found = audit([*records[:4], *records[5:]], settings)
    assert (found.refused, found.left_to_owners, found.unanswered) == (1, 1, 0)
    late = Record(9_000_000, "owner", "accepted", {**accepted(0, "c").data, "sent_us": 8_999_000})
    assert audit([*records[:4], late, records[5]], settings).unanswered == 1, (
        "one that was sent after the kill is owed"
    )
