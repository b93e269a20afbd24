"""Failover of a session: machine queries, waits, order and rate of starts; simulations, also with injected errors."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wingbarrow.decide.effects import Effect, Notify, Send
from wingbarrow.decide.replication.replica import JobClaim
from wingbarrow.decide.replication.replicator import Replicator, ReplicatorSettings
from wingbarrow.decide.sessions.failover import MAX_CLAIM_WAIT_US, SessionFailover
from wingbarrow.decide.sessions.failover_pace import FailoverPace
from wingbarrow.decide.sessions.leased_job_record import (
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
    ReissueDecision,
    ReissueRow,
)
from wingbarrow.decide.sessions.session import Session
from wingbarrow.lab.fleet.custodyplay import forgotten, judged, loss_of_a_region, lost_runs, trouble
from wingbarrow.lab.fleet.replica_simulation import ReplicaSimulation, reissue_bound_us

S = 1_000_000
ENDED_SESSION = Session("a", 1, 0)


BASE = LeasedJobRecord(
    form=1,
    uid="u",
    key="shop/u",
    session=ENDED_SESSION,
    epoch=0,
    version=3,
    region="north",
    spec="spread",
    effect="unsafe",
    group="all",
    window_us=3 * S,
    after_us=5 * S,
    priority=0,
    cores=1.0,
    memory=1.0,
    count=1,
    manifest="{}",
    keepers=("b",),
    answered="",
    born_age_us=0,
)


def job(uid: str, effect: str = "unsafe", known: KnownTask | None = None) -> LeasedJobRecord:
    tasks = (known,) if known is not None else ()
    return replace(BASE, uid=uid, key=f"shop/{uid}", effect=effect, tasks=tasks)


def claim(record: LeasedJobRecord) -> JobClaim:
    return JobClaim(record, 7, ())


def machine_queries(effects: list[Effect]) -> list[MachineQuery]:
    return [each.message for each in effects if isinstance(each, Send)]


def verdicts(effects: list[Effect]) -> list[str]:
    return [
        each.fields["verdict"]
        for each in effects
        if isinstance(each, Notify) and each.event == "reissue"
    ]


ABOUT_TO_SEND = KnownTask(0, "about", "m", "p", 10 * S)


def claimed_failover(
    known: KnownTask | None = ABOUT_TO_SEND, effect: str = "unsafe"
) -> tuple[SessionFailover, list[Effect]]:
    failover = SessionFailover(ENDED_SESSION, 7)
    out = failover.on_placers(0, ("n1", "n2"))
    out += failover.add(0, [claim(job("u", effect, known))])
    return failover, out + failover.on_claimed(S, "u")


def test_a_machine_is_queried_again_by_another_placer_and_its_late_answer_counts() -> None:
    failover, first = claimed_failover()
    assert verdicts(first) == ["asked"]
    sent = {each.ident for each in first if isinstance(each, Send)}
    number = machine_queries(first)[0].number
    later_verdicts: list[str] = []
    for tries in range(1, UNREACHABLE_AFTER + 1):
        out = failover.on_timer(S + tries * ANSWER_TIMEOUT_US)
        sent |= {each.ident for each in out if isinstance(each, Send)}
        later_verdicts += verdicts(out)
    assert sent == {"n1", "n2"}
    assert later_verdicts == ["unknown"]
    late = MachineReport(number, "m", "u", True, False, 3600 * S)
    assert verdicts(failover.on_machine_report(20 * S, late)) == ["run"]
    assert list(failover.ready) == ["u"]
    assert not failover.on_machine_report(21 * S, late)
    assert failover.start("u").indexes == (0,)
    assert not verdicts(failover.on_machine_report(22 * S, replace(late, holds=True)))


@pytest.mark.parametrize(
    ("report", "verdict"),
    [
        (MachineReport(0, "m", "u", True, True, 3600 * S), "unknown"),
        (MachineReport(0, "m", "u", True, False, 5 * S), "unknown"),
        (MachineReport(0, "m", "u", True, False, 3600 * S), "run"),
    ],
)
def test_only_a_machine_that_never_had_the_task_clears_an_attempt(
    report: MachineReport, verdict: str
) -> None:
    failover, first = claimed_failover()
    number = machine_queries(first)[0].number
    assert not failover.on_machine_report(2 * S, replace(report, number=number, machine="other"))
    assert not failover.on_machine_report(2 * S, replace(report, number=number + 1))
    assert verdicts(failover.on_machine_report(2 * S, replace(report, number=number))) == [verdict]
    if verdict == "unknown":
        assert verdicts(failover.on_operator_confirmation(3 * S, "u")) == ["run"]
        assert not failover.on_operator_confirmation(4 * S, "u")


def test_what_another_replica_holder_knows_counts_before_anything_starts() -> None:
    failover = SessionFailover(ENDED_SESSION, 7)
    failover.add(0, [claim(job("u", known=None))])
    assert not failover.ready
    failover.on_replica_record(S, job("u", known=replace(ABOUT_TO_SEND, phase="placed")))
    assert verdicts(failover.on_claimed(S, "u")) == ["unknown"]
    assert not failover.ready


def test_without_a_placer_of_the_lost_region_an_attempt_is_unknown_until_one_returns() -> None:
    failover = SessionFailover(ENDED_SESSION, 7)
    assert verdicts(failover.add(0, [claim(job("u", known=ABOUT_TO_SEND))])) == ["unknown"]
    failover.on_claimed(S, "u")
    back = failover.on_placers(UNREACHABLE_RETRY_US, ("n1",))
    assert verdicts(back) == ["asked"]
    assert (
        len(machine_queries(failover.on_timer(UNREACHABLE_RETRY_US)) + machine_queries(back)) >= 1
    )


def test_a_keyed_job_waits_for_its_window_and_a_safe_one_for_nobody() -> None:
    failover, first = claimed_failover(None, "keyed")
    assert verdicts(first) == ["waiting"]
    assert not verdicts(failover.on_timer(3 * S))
    assert verdicts(failover.on_timer(4 * S)) == ["run"]
    failover = SessionFailover(ENDED_SESSION, 7)
    assert not verdicts(failover.add(0, [claim(job("u", "safe"))]))
    assert verdicts(failover.on_timer(MAX_CLAIM_WAIT_US)) == ["run"]


def test_queries_outstanding_are_bounded() -> None:
    failover = SessionFailover(ENDED_SESSION, 7)
    failover.on_placers(0, ("n1",))
    out = failover.add(
        0, [claim(job(f"u{index}", known=ABOUT_TO_SEND)) for index in range(3 * MAX_OUTSTANDING)]
    )
    out += [
        effect
        for index in range(3 * MAX_OUTSTANDING)
        for effect in failover.on_claimed(S, f"u{index}")
    ]
    assert len(machine_queries(out)) == MAX_OUTSTANDING
    first = machine_queries(out)[0]
    assert (
        len(
            machine_queries(
                failover.on_machine_report(S, MachineReport(first.number, "m", first.uid, True))
            )
        )
        == 1
    )


def test_jobs_start_by_priority_then_age_within_capacity_and_pace() -> None:
    settings = ReplicatorSettings(pace=FailoverPace(max_starts=2, start_interval_us=S))
    replicator = Replicator(Session("b", 1, 0), "south", 1, settings=settings)
    rng = random.Random(1)
    jobs = [
        replace(job(f"u{index}", "safe"), priority=index % 3, born_age_us=index * S)
        for index in range(6)
    ]
    jobs.append(replace(job("wide", "safe"), priority=9, count=5))
    rng.shuffle(jobs)
    replicator._take_over(0, ENDED_SESSION, 7, [claim(each) for each in jobs])
    replicator.on_timer(MAX_CLAIM_WAIT_US, f"failover/{ENDED_SESSION.text()}")
    started: list[str] = []
    now = MAX_CLAIM_WAIT_US
    while len(started) < 6:
        starts, _ = replicator.next_starts(now, 4.0, 4.0)
        assert len(starts) <= 2
        assert not replicator.next_starts(now, 4.0, 4.0)[0]
        started += [each.record.uid for each in starts]
        now += S
    assert started == ["u5", "u2", "u4", "u1", "u3", "u0"]
    assert not replicator.next_starts(now, 4.0, 4.0)[0]
    assert not replicator.next_starts(now, 9.0, 9.0, lambda record: False)[0]
    assert [each.record.uid for each in replicator.next_starts(now, 9.0, 9.0)[0]] == ["wide"]


@pytest.mark.parametrize("seed", range(6))
def test_accepted_jobs_of_a_lost_region_run_elsewhere_within_the_stated_time(
    seed: int,
) -> None:
    world = loss_of_a_region(seed, loss=0.02 * (seed % 2), copies=1 + seed % 2)
    verdict = judged(world)
    assert not verdict.breaches
    assert not lost_runs(world)
    assert not forgotten(world)
    assert verdict.reissued > 3
    assert 0 < verdict.longest_us <= reissue_bound_us(60)


@pytest.mark.parametrize("seed", range(14))
def test_no_fault_starts_anything_twice_or_loses_a_known_job(seed: int) -> None:
    world = trouble(seed, copies=1 + seed % 2)
    verdict = judged(world)
    assert not verdict.breaches
    assert not lost_runs(world)
    assert not forgotten(world)
    assert verdict.accepted > 5
    assert verdict.starts > 5


class UnacknowledgedSends(ReplicaSimulation):
    """Injected error: a Job that must not start twice is sent before its replica holders have acknowledged it."""

    sends_before_ack = True


def table_with_wrong_row(index: int) -> tuple[ReissueRow, ...]:
    return (
        *REISSUE_TABLE[:index],
        replace(REISSUE_TABLE[index], decision=ReissueDecision.RUN),
        *REISSUE_TABLE[index + 1 :],
    )


def test_a_planted_attempt_without_acknowledgement_is_found() -> None:
    assert any(
        "never twice" in breach
        for seed in range(12)
        for breach in judged(trouble(seed, world=UnacknowledgedSends(seed))).breaches
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
def test_planted_wrong_rows_are_found_by_simulation(
    row: int, kind: str, seeds: list[int], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(SessionFailover, "table", table_with_wrong_row(row))
    assert any(
        kind in breach
        for seed in seeds
        for breach in judged(trouble(seed, copies=1 + seed % 2)).breaches
    )


def test_a_simulation_is_reproducible() -> None:
    assert judged(trouble(3)) == judged(trouble(3))


@settings(max_examples=30, deadline=None, derandomize=True, database=None)
@given(st.integers(1000, 10**6), st.integers(1, 2))
def test_generated_faults(seed: int, copies: int) -> None:
    world = trouble(seed, moments=12, copies=copies)
    assert not judged(world).breaches
    assert not lost_runs(world)
    assert not forgotten(world)
