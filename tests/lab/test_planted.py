"""Each kind of breach, planted into the recording of a whole day, is found.

The environment variable `PLANT_SCALE` sets the scale of the day (10, for example).
"""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Any

import pytest

from wingbarrow.lab.audit import BREACHES, audit
from wingbarrow.lab.days import Outcome, Play, play
from wingbarrow.lab.record import Record

S = 1_000_000
SCALE = float(os.environ.get("PLANT_SCALE", "0.5"))


@pytest.fixture(scope="module")
def day() -> Outcome:
    return play(Play("deploy", 11, SCALE))


class Recording:
    """A day's records, to which further records are added at their times."""

    def __init__(self, day: Outcome) -> None:
        self.records = list(day.cluster.record.records)
        self.end = self.records[-1].at_us
        self.offers = [record for record in self.records if record.what == "offer"]

    def put(self, at: int, where: str, what: str, **data: Any) -> None:
        self.records.append(Record(at, where, what, data))

    def sorted(self) -> list[Record]:
        return sorted(self.records, key=lambda record: record.at_us)

    def first(self, what: str, **data: Any) -> Record:
        return next(
            record
            for record in self.records
            if record.what == what
            and all(record.data.get(key) == value for key, value in data.items())
        )

    def offer(self, at: int, like: Record, pod: str, **more: Any) -> None:
        self.put(at, more.pop("where", like.where), "offer", **{**like.data, "pod": pod, **more})


def late(recording: Recording) -> None:
    accepted = recording.first("accepted", task_class="web")
    uid = accepted.data["uid"]
    recording.records = [
        r for r in recording.records if not (r.what == "answer" and r.data.get("uid") == uid)
    ]
    recording.put(
        accepted.at_us + 6 * S,
        "owner",
        "answer",
        placer=accepted.data["placer"],
        job="x",
        uid=uid,
        answer="refused",
        failed="Refused",
    )


def unanswered(recording: Recording) -> None:
    uid = recording.first("accepted", task_class="web").data["uid"]
    recording.records = [
        r for r in recording.records if not (r.what == "answer" and r.data.get("uid") == uid)
    ]


def second_answer(recording: Recording) -> None:
    given = next(
        r
        for r in recording.records
        if r.where == "owner" and r.what == "answer" and r.data["answer"] == "placed"
    )
    recording.put(recording.end, "owner", "answer", **{**given.data, "answer": "failed"})


def second_start(recording: Recording) -> None:
    start = recording.first("start", task_class="settlement")
    recording.put(recording.end, start.where, "start", **{**start.data, "pod": "again"})


def draining(recording: Recording) -> None:
    told = recording.first("told", phase="draining")
    like = next(offer for offer in recording.offers if offer.data["placer"] == told.data["placer"])
    recording.offer(
        told.at_us + 300_000,
        like,
        "planted-1-0",
        where=told.data["machine"],
        uid="nobody",
        service="planted",
    )


def cold(recording: Recording) -> None:
    launch = recording.first("launch", cold=True)
    told = next(
        r
        for r in recording.records
        if r.what == "told" and r.data["machine"] == launch.where and r.data["launched"]
    )
    like = next(offer for offer in recording.offers if offer.data["placer"] == told.data["placer"])
    for turn in range(25):
        recording.offer(
            told.at_us + S + turn * 1000,
            like,
            f"planted-{turn}-0",
            where=launch.where,
            uid="nobody",
            service=f"planted-{turn}",
        )


def crowd(recording: Recording) -> None:
    like = next(offer for offer in recording.offers if offer.data["task_class"] == "web")
    for turn in range(4):
        recording.offer(
            like.at_us + turn, like, f"planted-{turn}-0", uid="nobody", service="planted"
        )


def after_end(recording: Recording) -> None:
    accepted = recording.first("accepted", task_class="web")
    like = next(offer for offer in recording.offers if offer.data["uid"] == accepted.data["uid"])
    recording.put(
        accepted.at_us + 1, "owner", "deleted", uid=accepted.data["uid"], job="x", placer="x"
    )
    recording.offer(accepted.at_us + 2 * S, like, "planted-1-0", service="planted")


def runs_on(recording: Recording) -> None:
    start = next(
        r
        for r in reversed(recording.records)
        if r.what == "start" and r.at_us < recording.end - 20 * S
    )
    offer = next(o for o in recording.offers if o.data["pod"] == start.data["pod"])
    recording.records = [
        r
        for r in recording.records
        if not (r.what == "end" and r.data.get("pod") == start.data["pod"])
    ]
    recording.put(
        recording.end - 15 * S, "owner", "deleted", uid=offer.data["uid"], job="x", placer="x"
    )


def test_the_day_itself_is_clean(day: Outcome) -> None:
    assert day.audit.clean
    assert day.audit.accepted > 100 * SCALE


@pytest.mark.parametrize(
    ("plant", "breach"),
    [
        (late, "late_answers"),
        (unanswered, "unanswered"),
        (second_answer, "double_answers"),
        (second_start, "double_effects"),
        (draining, "sends_to_draining"),
        (cold, "cold_overruns"),
        (crowd, "spread_overruns"),
        (after_end, "sends_after_end"),
        (runs_on, "runs_deleted"),
    ],
)
def test_a_breach_planted_into_a_whole_day_is_found(
    day: Outcome, plant: Callable[[Recording], None], breach: str
) -> None:
    recording = Recording(day)
    plant(recording)
    found = audit(recording.sorted(), day.cluster.placers[0].settings)
    assert getattr(found, breach) >= 1, (
        breach,
        [name for name in BREACHES if getattr(found, name)],
    )
