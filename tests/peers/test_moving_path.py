"""Runs that return to their preferred region after a failover, end to end on a virtual clock."""

from __future__ import annotations

from tests.peers.regions import SPECS, Regions
from tests.stage import S


class ReturningRegions(Regions):
    """Jobs of spec `roams` prefer the north and return there once it has been stable for 5 s, 2 at a time."""

    specs = (
        SPECS
        + """
federation "roams" {
    prefer "north" "south" "east"
    failover "lost" after="6s"
    back "stable" after="5s" pace=2
}
"""
    )


def test_runs_of_a_lost_region_return_once_it_is_stable_and_each_runs_once() -> None:
    stage = ReturningRegions()

    def script() -> None:
        stage.join()
        north = stage.cluster.placers[0]
        uids = [stage.submit_placed(north, f"safe-{number}", spec="roams") for number in range(5)]
        names = {machine.name for machine in stage.machines_of(0)}
        assert all(set(stage.running(uid)) <= names for uid in uids)
        stage.cut(0)
        tasks = [f"safe-{number}" for number in range(5)]

        def running(in_north: bool) -> list[str]:
            """Tasks that run in the north, or elsewhere."""
            return sorted(
                pod.task
                for machine in stage.cluster.machines
                for pod in machine.pods.values()
                if pod.phase == "Running" and (machine.name in names) is in_north
            )

        def returned() -> list[str]:
            return running(True)

        assert stage.wait(lambda: running(False) == tasks and not returned(), 40), (
            running(False),
            returned(),
        )
        stage.cut(0, False)
        healed = stage.hub.now_us()
        assert stage.wait(lambda: returned() == tasks, 60), (returned(), running(False))
        first = min(
            each.at_us
            for each in stage.cluster.record.records
            if each.what == "start" and each.where in names and each.at_us > healed
        )
        assert first - healed >= 5 * S, (
            "no run may return before the north was stable for the spec's time"
        )
        stage.hub.sleep(10 * S)
        assert returned() == tasks and not running(False), "each runs once, in its preferred region"

    stage.play(script)


def test_runs_stay_after_failover_without_a_return_policy() -> None:
    stage = Regions()

    def script() -> None:
        stage.join()
        north = stage.cluster.placers[0]
        uid = stage.submit_placed(north, "stays")
        names = {machine.name for machine in stage.machines_of(0)}
        stage.cut(0)
        assert stage.wait(
            lambda: bool(stage.running(uid)) and not set(stage.running(uid)) & names, 30
        )
        stage.cut(0, False)
        stage.hub.sleep(25 * S)
        assert len(stage.running(uid)) == 1
        assert not set(stage.running(uid)) & names

    stage.play(script)
