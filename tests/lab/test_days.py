"""Scripted days on a whole cluster: each kind of trouble, audited at the sockets."""

from __future__ import annotations

import multiprocessing
from multiprocessing.pool import AsyncResult

import pytest

from tests.lab.direct import place_directly
from wingbarrow.config import load_text
from wingbarrow.lab.audit import Audit
from wingbarrow.lab.cluster import settings_text
from wingbarrow.lab.days import DAYS, Day, Play, play, run_day
from wingbarrow.lab.troubles import generate
from wingbarrow.lab.workload import Mix, draw
from wingbarrow.scheduler import Scheduler

SEED = 11
SCRIPTED = sorted(set(DAYS) - {"generated"})
GENERATED = (2, 37, 58, 71)


def _played(name: str) -> tuple[Audit, bool]:
    """A day's audit, and whether a transition occurred that its state table lacks."""
    outcome = run_day(name, SEED)
    unexpected = any(
        slot.service.placer.job_store.unexpected_transitions
        + slot.service.placer.attempts.unexpected_transitions
        for slot in outcome.cluster.placers
        if slot.service
    )
    return outcome.audit, unexpected


@pytest.fixture(scope="module")
def played() -> dict[str, AsyncResult[tuple[Audit, bool]]]:
    """Runs every day in a pool of four processes.

    All have ended on return; an exception is raised where a result is read, so that it fails no other day.
    """
    with multiprocessing.get_context("fork").Pool(4) as pool:
        results = {name: pool.apply_async(_played, (name,)) for name in SCRIPTED}
        for each in results.values():
            each.wait()
    return results


@pytest.mark.parametrize("name", SCRIPTED)
def test_a_day_keeps_the_rules(
    name: str, played: dict[str, AsyncResult[tuple[Audit, bool]]]
) -> None:
    print("seed", SEED)
    found, unexpected = played[name].get()
    assert found.clean, found.notes
    ended = found.placed + found.refused + found.failed + found.left_to_owners
    assert found.accepted >= 300
    assert found.accepted == ended
    assert found.placed >= 0.9 * found.accepted
    assert not unexpected, "steps that the tables lack"


def _generated(seed: int) -> Audit:
    return play(Play("generated", seed)).audit


def test_generated_days_keep_the_rules() -> None:
    print("seeds", GENERATED)
    with multiprocessing.get_context("fork").Pool(4) as pool:
        for seed, found in zip(
            GENERATED, pool.map(_generated, GENERATED, chunksize=1), strict=True
        ):
            assert found.clean, (seed, found.notes)
            assert found.accepted >= 200


def test_a_generated_day_depends_on_its_seed_alone_and_any_part_of_it_can_be_run() -> None:
    troubles = generate(37, 40.0)
    assert troubles == generate(37, 40.0) != generate(38, 40.0)
    outcome = play(Play("generated", 37, 0.4, placers=2, seconds=6, only=(1, 3)))
    assert outcome.troubles == [troubles[1], troubles[3]]
    assert outcome.audit.clean
    assert len(outcome.cluster.placers) == 2
    assert Play("generated", 37, 3, 2, 6, (1, 3)).command == (
        "wingbarrow lab day generated --seed 37 --scale 3 --placers 2 --seconds 6 --only 1,3"
    )


def test_a_day_with_a_killed_placer_is_recorded_the_same_twice() -> None:
    first, second = (
        play(Play("balancer_roll", SEED, 0.5, seconds=25)).cluster.record.records for _ in range(2)
    )
    assert first == second


def test_a_quiet_day_answers_as_the_module_alone_does() -> None:
    """With the same arrivals, the program places and refuses as many tasks as the module alone, within 3 %."""
    day = Day("", lambda cluster, owners: None, placers=1, seconds=30.0, mix=Mix(rate=24.0))
    DAYS["alone"] = day
    try:
        outcome = run_day("alone", SEED)
    finally:
        del DAYS["alone"]
    wants = draw(day.mix, day.seconds, SEED + 5)
    settings = load_text(settings_text(0, 1, SEED, 1)).scheduler
    placed, refused = place_directly(Scheduler(settings, 1), outcome.cluster.machines, wants)
    audited = outcome.audit
    assert audited.clean
    assert placed + refused == len(wants)
    assert abs(audited.placed - placed) <= 0.03 * len(wants)
    assert abs(audited.refused - refused) <= 0.03 * len(wants)
