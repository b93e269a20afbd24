"""Scripted days where each machine is held by two of five placers, audited at the sockets."""

from __future__ import annotations

import multiprocessing
from dataclasses import replace
from multiprocessing.pool import AsyncResult

import pytest
from click.testing import CliRunner

from wingbarrow.cli.main import main
from wingbarrow.lab.audit import Audit
from wingbarrow.lab.cluster import Cluster
from wingbarrow.lab.days import DAYS, Day, Play, play
from wingbarrow.lab.load import Owners

SEED = 11


def _placers_lost(cluster: Cluster, owners: Owners) -> None:
    """Two of five placers are killed at once; meanwhile machines of one zone crash and come back cold, and one drains.

    The two placers are back only after the others have taken over their machines.
    """

    def lose(index: int) -> None:
        cluster.restart_placer(cluster.placers[index], 18.0)

    cluster.at(8, lambda: lose(0))
    cluster.at(8, lambda: lose(1))
    crashed = [machine for machine in cluster.machines if machine.build.zone == "hall-a"][::2]
    for machine in crashed:
        cluster.at(17, lambda m=machine: cluster.crash(m, 3.0))
    cluster.at(21, lambda: cluster.drain(cluster.machines[-1]))
    cluster.at(24, lambda: cluster.placers[2].hold(10_000_000))


LOST = Day(
    "two of five placers are killed for a while, machines fall and drain",
    _placers_lost,
    seconds=45.0,
)
PLAYED = ("lost", "bad-day", "discovery_stale", "balancer_roll")


def _play(name: str) -> tuple[Audit, dict[str, int]]:
    day = LOST if name == "lost" else DAYS[name]
    DAYS["subsets"] = replace(day, machines=14)
    outcome = play(Play("subsets", SEED, placers=5, subsets=2))
    placers = [slot.service.placer for slot in outcome.cluster.placers if slot.service]
    assert not any(each.unexpected_transitions() for each in placers), "steps that the tables lack"
    counts = {
        "changes": sum(each.context.counts["subset:changes"] for each in placers),
        "refills": sum(each.fleet.reflector.supplementary_lists for each in placers),
        "released": sum(each.context.counts["subset:released"] for each in placers),
        "most held": max(len(each.machines.links) for each in placers),
    }
    return outcome.audit, counts


@pytest.fixture(scope="module")
def played() -> dict[str, AsyncResult[tuple[Audit, dict[str, int]]]]:
    """Runs every day in a pool of two processes.

    All have ended on return; an exception is raised where a result is read, so that it fails no other day.
    """
    with multiprocessing.get_context("fork").Pool(2) as pool:
        results = {name: pool.apply_async(_play, (name,)) for name in PLAYED}
        for each in results.values():
            each.wait()
    return results


@pytest.mark.parametrize("name", PLAYED)
def test_a_day_with_subsets_keeps_the_rules(
    name: str, played: dict[str, AsyncResult[tuple[Audit, dict[str, int]]]]
) -> None:
    found, counts = played[name].get()
    print("seed", SEED, counts)
    assert found.clean, found.notes
    ended = found.placed + found.refused + found.failed + found.left_to_owners
    assert found.accepted >= 300
    assert found.accepted == ended
    assert found.placed >= 0.9 * found.accepted
    if name == "lost":
        assert counts["changes"] and counts["refills"] and counts["released"], counts


def test_the_command_plays_a_day_with_subsets_and_refuses_more_than_there_are_placers() -> None:
    result = CliRunner().invoke(main, ["lab", "day", "quiet", "--subsets", "4", "--placers", "3"])
    assert result.exit_code == 2
    assert "more than there are placers" in result.output
    assert Play("quiet", placers=3, subsets=2).command.endswith("--placers 3 --subsets 2")
