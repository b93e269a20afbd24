"""The decisions beside REM: the send gate, strays, asking again, admission, back-off, list versions."""

from __future__ import annotations

import itertools
import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wingbarrow.decide import orphans as strays
from wingbarrow.decide import retries as again
from wingbarrow.decide.admission import Admission
from wingbarrow.decide.backoff import Backoff
from wingbarrow.decide.gate import HoldReason, Offer, SendGate
from wingbarrow.decide.idempotency import EarlierAttempt, may_repeat
from wingbarrow.decide.listing import NEW_SOURCE_US, ListJudge, Take
from wingbarrow.decide.orphans import Orphan, OrphanAction
from wingbarrow.decide.retries import RunEnd
from wingbarrow.interface import Effect, ListedMachine, Phase, Place, TaskClass

S = 1_000_000
OFFER = Offer(
    decided_us=10 * S,
    deadline_us=20 * S,
    request_open=True,
    attempt_out=True,
    machine_runs=True,
    launched_us=0,
)
GATE = SendGate(cold_us=18 * S, fall_us=2 * S)


@pytest.mark.parametrize(
    ("change", "now", "held"),
    [
        ({}, 11 * S, None),
        ({"request_open": False}, 11 * S, HoldReason.ENDED),
        ({}, 20 * S, HoldReason.LATE),
        ({}, 20 * S - 1, None),
        ({"attempt_out": False}, 11 * S, HoldReason.NOT_OUT),
        ({"machine_runs": False}, 10 * S, HoldReason.DRAINING),
        ({"leased": False}, 11 * S, HoldReason.NO_LEASE),
        ({"launched_us": 5 * S}, 10 * S + S // 4, None),
        ({"launched_us": 5 * S}, 10 * S + S // 4 + 1, HoldReason.STALE_COLD),
        ({"launched_us": 5 * S, "deadline_us": 90 * S}, 23 * S, None),
        ({"may_repeat": False}, 11 * S, HoldReason.REPEAT),
        ({"launched_us": 5 * S, "chosen_launched_us": 5 * S}, 10 * S, None),
        ({"launched_us": 5 * S, "chosen_launched_us": 0}, 10 * S, HoldReason.RESTARTED),
        ({"launched_us": 5 * S, "chosen_launched_us": 0, "deadline_us": 90 * S}, 23 * S, None),
    ],
)
def test_the_gate_holds_what_a_rule_forbids(
    change: dict[str, object], now: int, held: HoldReason | None
) -> None:
    assert GATE.check(now, replace(OFFER, **change)) is held  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("effect", "group", "cell", "zone", "now", "allowed"),
    [
        (Effect.SAFE, Place.NONE, 9, "z", 99 * S, True),
        (Effect.UNSAFE, Place.ALL, 1, "a", 1 * S, False),
        (Effect.KEYED, Place.ALL, 9, "z", 2 * S - 1001, True),
        (Effect.KEYED, Place.ALL, 1, "a", 2 * S - 1000, False),
        (Effect.KEYED, Place.CELL, 1, "z", 1 * S, True),
        (Effect.KEYED, Place.CELL, 9, "a", 1 * S, False),
        (Effect.KEYED, Place.ZONE, 9, "a", 1 * S, True),
        (Effect.KEYED, Place.ZONE, 1, "z", 1 * S, False),
        (Effect.KEYED, Place.MACHINE, 1, "a", 1 * S, False),
    ],
)
def test_what_may_have_run_is_sent_again_within_its_window_and_group_alone(
    effect: Effect, group: Place, cell: int, zone: str, now: int, allowed: bool
) -> None:
    """One window of 1.5 s, from a decision at 0.5 s, with 1 ms kept back."""
    cls = TaskClass("k", effect, group, 1_500_000, 1.0, Place.NONE, 0, None, 1.0, 1.0)
    first, second = (
        ListedMachine(i, "std", c, z, Phase.RUNNING, 0, 1.0, 1.0)
        for i, c, z in ((1, 1, "a"), (2, cell, zone))
    )
    assert may_repeat(now, cls, EarlierAttempt(S // 2, first), second, 1000) is allowed
    assert may_repeat(now, cls, None, second, 1000)


def test_offers_to_a_cold_machine_that_waited_cannot_crowd_a_window() -> None:
    """What the module counts over 2.5 s and the gate lets wait 0.25 s stays in budget over any 2 s."""
    rng, budget = random.Random(4), 5
    decided: list[int] = []
    sent: list[int] = []
    for now in range(0, 60 * S, 20_000):
        if len([at for at in decided if at > now - 2_500_000]) < budget:
            decided.append(now)
            at = now + rng.randrange(0, S)
            if GATE.check(at, Offer(now, 1 << 50, True, True, True, 1)) is None or at > 18 * S:
                sent.append(at)
    cold = sorted(at for at in sent if at < 18 * S)
    assert cold
    assert all(len([b for b in cold if a <= b < a + 2 * S]) <= budget for a in cold)


def sights() -> list[Orphan]:
    flags = list(itertools.product([False, True], repeat=6))
    return [Orphan(effect, *each) for effect in Effect for each in flags]


def test_no_verdict_on_a_stray_stops_an_unsafe_task_whose_job_is_wanted() -> None:
    for sight in sights():
        verdict = strays.action_for(sight)
        if (
            sight.effect is Effect.UNSAFE
            and sight.is_known
            and sight.is_wanted
            and not sight.has_ended
        ):
            assert verdict is not OrphanAction.STOP
        if sight.is_known and not sight.is_wanted:
            assert verdict is OrphanAction.STOP
        if verdict is OrphanAction.PLACE:
            assert sight.is_unanswered
            assert not sight.has_attempt
            assert not sight.has_other_copy
        if not sight.is_known:
            assert verdict is OrphanAction.ADOPT


def test_a_safe_copy_beside_another_is_stopped() -> None:
    base = Orphan(Effect.SAFE, True, True, True, True, False, False)
    assert strays.action_for(base) is OrphanAction.STOP
    assert strays.action_for(replace(base, effect=Effect.KEYED)) is OrphanAction.LEAVE
    assert strays.action_for(replace(base, has_attempt=False)) is OrphanAction.PLACE
    assert strays.action_for(replace(base, is_unanswered=False)) is OrphanAction.STOP
    assert (
        strays.action_for(replace(base, is_unanswered=False, effect=Effect.UNSAFE))
        is OrphanAction.ADOPT
    )


@given(st.sampled_from(RunEnd), st.integers(0, 9), st.integers(0, 50), st.integers())
def test_what_must_not_start_twice_is_never_asked_again(
    end: RunEnd, left: int, losses: int, seed: int
) -> None:
    assert (
        again.decide_retry(end, Effect.UNSAFE, left, losses, random.Random(seed)).after_us is None
    )


@given(
    st.sampled_from([RunEnd.EVICTED, RunEnd.LOST, RunEnd.SENT_AWAY, RunEnd.PUSHED_OUT]),
    st.integers(0, 50),
    st.integers(),
)
def test_waits_grow_with_losses_and_stay_bounded(end: RunEnd, losses: int, seed: int) -> None:
    verdict = again.decide_retry(end, Effect.SAFE, 1, losses, random.Random(seed))
    assert verdict.counts
    assert verdict.after_us is not None
    assert 100_000 <= verdict.after_us <= again.EVICTED_DELAY_US << again.MAX_DOUBLINGS
    assert again.decide_retry(end, Effect.SAFE, 0, losses, random.Random(seed)).after_us is None


def test_a_move_costs_no_restart_and_an_end_is_an_end() -> None:
    moved = again.decide_retry(RunEnd.MOVED, Effect.SAFE, 0, 9, random.Random(1))
    assert moved.after_us == again.MOVED_DELAY_US
    assert not moved.counts
    for end in (RunEnd.DONE, RunEnd.STOPPED):
        assert again.decide_retry(end, Effect.SAFE, 9, 0, random.Random(1)).after_us is None


def test_admission_counts_in_all_and_by_namespace_and_gives_room_back() -> None:
    admission = Admission(10, 6)
    assert admission.check("a", 7) is not None
    assert admission.check("a", 6) is None
    admission.add("a", 6)
    full = admission.check("a", 1)
    assert full is not None
    assert full.most == 6
    assert full.retry_after_s >= 1
    assert admission.check("b", 5) is not None
    assert admission.check("b", 4) is None
    for _ in range(6):
        admission.remove("a")
    assert admission.open == 0
    assert admission.check("a", 6) is None
    assert not admission._namespaces


@given(st.integers(), st.integers(1, 60))
def test_pauses_double_and_stay_bounded(seed: int, count: int) -> None:
    pause = Backoff(random.Random(seed), 100, 6400)
    waits = [pause.next_us() for _ in range(count)]
    assert all(50 <= wait <= 6400 for wait in waits)
    assert waits[0] <= 100
    assert all(wait >= 3200 for wait in waits[7:])
    pause.clear()
    assert pause.next_us() <= 100


def test_an_older_list_is_kept_out_until_it_is_all_there_is() -> None:
    judge = ListJudge()
    assert judge.judge_list(100, 0) is Take.TAKE
    assert judge.judge_entry("a", 90)
    assert not judge.judge_entry("a", 80)
    assert judge.judge_entry("a", 120)
    assert judge.judge_list(110, S) is Take.TOO_OLD  # an entry of 120 was seen
    assert judge.judge_list(110, S + NEW_SOURCE_US - 1) is Take.TOO_OLD
    assert judge.judge_list(5, S + NEW_SOURCE_US) is Take.NEW_SOURCE
    assert judge.judge_entry("a", 5)
    assert judge.judge_list(6, 2 * NEW_SOURCE_US) is Take.TAKE


def test_a_newer_list_between_clears_the_wait_for_a_new_source() -> None:
    judge = ListJudge()
    judge.judge_list(100, 0)
    assert judge.judge_list(50, S) is Take.TOO_OLD
    assert judge.judge_list(101, 2 * S) is Take.TAKE
    assert judge.judge_list(50, S + NEW_SOURCE_US) is Take.TOO_OLD


def test_memory_of_entries_is_bounded() -> None:
    judge = ListJudge()
    for number in range(10_000):
        judge.judge_entry(f"m{number}", number)
        judge.forget({f"m{number}"})
    assert len(judge._entries) <= 66
