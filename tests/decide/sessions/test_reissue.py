"""Reissue: the table against a plain reference, take-overs, plays judged, errors planted."""

from __future__ import annotations

import itertools
import random
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wingbarrow.decide.effects import Effect, Notify, Send
from wingbarrow.decide.replication.replica import JobClaim
from wingbarrow.decide.replication.replicator import Replicator, ReplicatorSettings
from wingbarrow.decide.sessions import reissue
from wingbarrow.decide.sessions.failover import MAX_CLAIM_WAIT_US, SessionFailover
from wingbarrow.decide.sessions.failover_pace import FailoverPace
from wingbarrow.decide.sessions.leased_job_record import (
    EFFECTS,
    TASK_PHASES,
    KnownTask,
    LeasedJobRecord,
)
from wingbarrow.decide.sessions.machine_queries import (
    ANSWER_TIMEOUT_US,
    MAX_OUTSTANDING,
    UNREACHABLE_AFTER,
    UNREACHABLE_RETRY_US,
)
from wingbarrow.decide.sessions.messages import MachineQuery, MachineReport
from wingbarrow.decide.sessions.reissue import (
    REISSUE_TABLE,
    KeyWindow,
    MachineAnswer,
    ReissueDecision,
    ReissueRow,
    RunCopy,
    decide,
    machine_answer,
    resolve_copies,
)
from wingbarrow.decide.sessions.session import Session
from wingbarrow.lab.fleet.custodians import Custodians, stated_us
from wingbarrow.lab.fleet.custodyplay import forgotten, judged, loss_of_a_region, lost_runs, trouble

S = 1_000_000
GONE = Session("a", 1, 0)
ALL = list(itertools.product(EFFECTS, TASK_PHASES, MachineAnswer, KeyWindow))


def expected_decision(effect: str, phase: str, answer: str, window: str) -> str:
    """An independent statement of the table."""
    if phase == "over":
        return "nothing"
    if effect == "safe":
        return "run"
    if effect == "keyed":
        return (
            "run"
            if answer == "operator"
            else {"running": "waiting", "past": "run", "unknown": "unknown"}[window]
        )
    if answer == "operator":
        return "run"
    if answer == "holds" or phase in ("doubt", "placed"):
        return "unknown"
    if phase == "none" or answer == "clear":
        return "run"
    return "asked" if answer == "unasked" else "unknown"


def deviations(table: tuple[ReissueRow, ...]) -> list[tuple[str, ...]]:
    return [each for each in ALL if decide(*each, table).decision.value != expected_decision(*each)]


def test_the_table_is_what_the_plain_reference_says_and_has_no_idle_row() -> None:
    assert not deviations(REISSUE_TABLE)
    assert {id(decide(*each)) for each in ALL} == {id(row) for row in REISSUE_TABLE}
    docs = (Path(__file__).parents[3] / "docs" / "reissue.md").read_text()
    assert all(row.why for row in REISSUE_TABLE)
    assert all(table in docs for table in reissue.markdown().strip().split("\n\n"))


def test_each_row_is_needed_and_each_wrong_verdict_is_found() -> None:
    for index, row in enumerate(REISSUE_TABLE):
        for verdict in ReissueDecision:
            if verdict is not row.decision:
                assert deviations(
                    (
                        *REISSUE_TABLE[:index],
                        replace(row, decision=verdict),
                        *REISSUE_TABLE[index + 1 :],
                    )
                )


@given(st.integers(0, 10**9), st.integers(0, 10**9), st.integers(0, 10**8), st.booleans())
def test_clear_is_said_only_of_a_machine_that_remembers_all_of_the_time(
    boot_us: int, left_us: int, late_us: int, holds: bool
) -> None:
    told_us = max(boot_us, left_us)
    says = MachineReport(1, "m", "u", True, holds, told_us - boot_us)
    word = machine_answer(says, told_us + late_us - left_us)
    if word == "clear":
        assert boot_us < left_us
        assert not holds
    assert (word == "holds") is holds
    assert machine_answer(replace(says, reached=False), 0) == "unreachable"
    assert machine_answer(None, 0) == "unasked"


@given(
    st.sampled_from(EFFECTS),
    st.tuples(st.integers(0, 2), st.sampled_from("abc"), st.booleans()),
    st.tuples(st.integers(0, 2), st.sampled_from("abc"), st.booleans()),
)
def test_healing_is_the_same_from_both_sides_and_never_stops_what_must_not_start_twice(
    effect: str, one: tuple[int, str, bool], other: tuple[int, str, bool]
) -> None:
    a, b = RunCopy(*one), RunCopy(*other)
    resolution = resolve_copies(effect, a, b)
    mine, theirs = resolution.mine, resolution.theirs
    if (a.epoch, a.holder) != (b.epoch, b.holder):
        assert resolve_copies(effect, b, a) == replace(resolution, mine=theirs, theirs=mine)
        assert (mine, theirs).count(ReissueDecision.RUN) <= 1 + (
            effect == "unsafe" and a.is_running and b.is_running
        )
    if effect == "unsafe":
        assert ReissueDecision.STOP not in (mine, theirs)
        assert not (a.is_running and mine is not ReissueDecision.RUN)
        assert not (b.is_running and not a.is_running and theirs is ReissueDecision.WAIT)


def job(
    uid: str,
    effect: str = "unsafe",
    known: KnownTask | None = None,
    priority: int = 0,
    born_us: int = 0,
    count: int = 1,
) -> LeasedJobRecord:
    return LeasedJobRecord(
        1,
        uid,
        f"shop/{uid}",
        GONE,
        0,
        3,
        "north",
        "spread",
        effect,
        "all",
        3 * S,
        5 * S,
        priority,
        1.0,
        1.0,
        count,
        "{}",
        ("b",),
        "",
        born_us,
        (known,) if known is not None else (),
    )


def claim(record: LeasedJobRecord) -> JobClaim:
    return JobClaim(record, 7, ())


def asks(effects: list[Effect]) -> list[MachineQuery]:
    return [each.message for each in effects if isinstance(each, Send)]


def verdicts(effects: list[Effect]) -> list[str]:
    return [
        each.fields["verdict"]
        for each in effects
        if isinstance(each, Notify) and each.event == "reissue"
    ]


ABOUT = KnownTask(0, "about", "m", "p", 10 * S)


def begun(
    known: KnownTask | None = ABOUT, effect: str = "unsafe"
) -> tuple[SessionFailover, list[Effect]]:
    made = SessionFailover(GONE, 7)
    out = made.on_placers(0, ("n1", "n2"))
    out += made.add(0, [claim(job("u", effect, known))])
    return made, out + made.on_claimed(S, "u")


def test_a_machine_is_asked_again_by_another_and_its_late_word_still_counts() -> None:
    made, first = begun()
    assert verdicts(first) == ["asked"]
    sent = {each.ident for each in first if isinstance(each, Send)}
    number = asks(first)[0].number
    told: list[str] = []
    for tries in range(1, UNREACHABLE_AFTER + 1):
        out = made.on_timer(S + tries * ANSWER_TIMEOUT_US)
        sent |= {each.ident for each in out if isinstance(each, Send)}
        told += verdicts(out)
    assert sent == {"n1", "n2"}
    assert told == ["unknown"]
    late = MachineReport(number, "m", "u", True, False, 3600 * S)
    assert verdicts(made.on_machine_report(20 * S, late)) == ["run"]
    assert list(made.ready) == ["u"]
    assert not made.on_machine_report(21 * S, late)
    assert made.start("u").indexes == (0,)
    assert not verdicts(made.on_machine_report(22 * S, replace(late, holds=True)))


@pytest.mark.parametrize(
    ("says", "verdict"),
    [
        (MachineReport(0, "m", "u", True, True, 3600 * S), "unknown"),
        (MachineReport(0, "m", "u", True, False, 5 * S), "unknown"),
        (MachineReport(0, "m", "u", True, False, 3600 * S), "run"),
    ],
)
def test_only_a_machine_that_never_had_it_clears_an_attempt(
    says: MachineReport, verdict: str
) -> None:
    made, first = begun()
    number = asks(first)[0].number
    assert not made.on_machine_report(2 * S, replace(says, number=number, machine="other"))
    assert not made.on_machine_report(2 * S, replace(says, number=number + 1))
    assert verdicts(made.on_machine_report(2 * S, replace(says, number=number))) == [verdict]
    if verdict == "unknown":
        assert verdicts(made.on_operator_confirmation(3 * S, "u")) == ["run"]
        assert not made.on_operator_confirmation(4 * S, "u")


def test_another_keepers_better_knowledge_counts_before_anything_starts() -> None:
    made = SessionFailover(GONE, 7)
    made.add(0, [claim(job("u", known=None))])
    assert not made.ready
    made.on_replica_record(S, job("u", known=replace(ABOUT, phase="placed")))
    assert verdicts(made.on_claimed(S, "u")) == ["unknown"]
    assert not made.ready


def test_without_a_placer_of_the_lost_region_an_attempt_is_unknown_until_one_is_back() -> None:
    made = SessionFailover(GONE, 7)
    assert verdicts(made.add(0, [claim(job("u", known=ABOUT))])) == ["unknown"]
    made.on_claimed(S, "u")
    back = made.on_placers(UNREACHABLE_RETRY_US, ("n1",))
    assert verdicts(back) == ["asked"]
    assert len(asks(made.on_timer(UNREACHABLE_RETRY_US)) + asks(back)) >= 1


def test_a_key_waits_for_its_window_and_a_safe_job_for_nobody() -> None:
    made, first = begun(None, "keyed")
    assert verdicts(first) == ["waiting"]
    assert not verdicts(made.on_timer(3 * S))
    assert verdicts(made.on_timer(4 * S)) == ["run"]
    made = SessionFailover(GONE, 7)
    assert not verdicts(made.add(0, [claim(job("u", "safe"))]))
    assert verdicts(made.on_timer(MAX_CLAIM_WAIT_US)) == ["run"]


def test_so_many_machines_are_asked_at_a_time() -> None:
    made = SessionFailover(GONE, 7)
    made.on_placers(0, ("n1",))
    out = made.add(
        0, [claim(job(f"u{index}", known=ABOUT)) for index in range(3 * MAX_OUTSTANDING)]
    )
    out += [
        effect for index in range(3 * MAX_OUTSTANDING) for effect in made.on_claimed(S, f"u{index}")
    ]
    assert len(asks(out)) == MAX_OUTSTANDING
    first = asks(out)[0]
    assert (
        len(asks(made.on_machine_report(S, MachineReport(first.number, "m", first.uid, True)))) == 1
    )


def test_work_comes_by_priority_then_by_age_in_room_and_pace() -> None:
    settings = ReplicatorSettings(pace=FailoverPace(max_starts=2, start_interval_us=S))
    made = Replicator(Session("b", 1, 0), "south", 1, settings=settings)
    rng = random.Random(1)
    jobs = [job(f"u{index}", "safe", None, index % 3, index * S) for index in range(6)]
    jobs.append(job("wide", "safe", None, 9, 0, count=5))
    rng.shuffle(jobs)
    made._take_over(0, GONE, 7, [claim(each) for each in jobs])
    made.on_timer(MAX_CLAIM_WAIT_US, f"failover/{GONE.text()}")
    got: list[str] = []
    now = MAX_CLAIM_WAIT_US
    while len(got) < 6:
        starts, _ = made.next_starts(now, 4.0, 4.0)
        assert len(starts) <= 2
        assert not made.next_starts(now, 4.0, 4.0)[0]
        got += [each.record.uid for each in starts]
        now += S
    assert got == ["u5", "u2", "u4", "u1", "u3", "u0"]
    assert not made.next_starts(now, 4.0, 4.0)[0]
    assert not made.next_starts(now, 9.0, 9.0, lambda record: False)[0]
    assert [each.record.uid for each in made.next_starts(now, 9.0, 9.0)[0]] == ["wide"]


@pytest.mark.parametrize("seed", range(6))
def test_what_was_accepted_in_a_lost_region_runs_elsewhere_within_the_stated_time(
    seed: int,
) -> None:
    world = loss_of_a_region(seed, loss=0.02 * (seed % 2), copies=1 + seed % 2)
    verdict = judged(world)
    assert not verdict.breaches
    assert not lost_runs(world)
    assert not forgotten(world)
    assert verdict.reissued > 3
    assert 0 < verdict.longest_us <= stated_us(60)


@pytest.mark.parametrize("seed", range(14))
def test_no_trouble_starts_anything_twice_or_loses_what_somebody_knows(seed: int) -> None:
    world = trouble(seed, copies=1 + seed % 2)
    verdict = judged(world)
    assert not verdict.breaches
    assert not lost_runs(world)
    assert not forgotten(world)
    assert verdict.accepted > 5
    assert verdict.starts > 5


class Careless(Custodians):
    """Planted: what must not start twice leaves without its keepers' word."""

    careless = True


def wrong(index: int) -> tuple[ReissueRow, ...]:
    return (
        *REISSUE_TABLE[:index],
        replace(REISSUE_TABLE[index], decision=ReissueDecision.RUN),
        *REISSUE_TABLE[index + 1 :],
    )


def test_planted_an_attempt_that_leaves_without_a_word_is_found() -> None:
    assert any(
        "never twice" in breach
        for seed in range(12)
        for breach in judged(trouble(seed, world=Careless(seed))).breaches
    )


@pytest.mark.parametrize(
    ("row", "kind", "seeds"),
    [
        (3, "key twice", range(12)),
        (4, "key twice", (45, 48)),
        (8, "never twice", range(12)),
        (10, "never twice", range(12)),
    ],
)
def test_planted_rows_are_found_by_the_plays(
    row: int, kind: str, seeds: list[int], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(SessionFailover, "table", wrong(row))
    assert any(
        kind in breach
        for seed in seeds
        for breach in judged(trouble(seed, copies=1 + seed % 2)).breaches
    )


def test_the_same_play_says_the_same() -> None:
    assert judged(trouble(3)) == judged(trouble(3))


@settings(max_examples=30, deadline=None, derandomize=True, database=None)
@given(st.integers(1000, 10**6), st.integers(1, 2))
def test_generated_trouble(seed: int, copies: int) -> None:
    world = trouble(seed, moments=12, copies=copies)
    assert not judged(world).breaches
    assert not lost_runs(world)
    assert not forgotten(world)
