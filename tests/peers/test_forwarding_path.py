"""Jobs forwarded to another region, end to end on a virtual clock: one start, one answer by the first receiver."""

from __future__ import annotations

import pytest

from tests.peers.regions import NAMES, Regions
from tests.stage import JOBS, S


class ForwardingStage(Regions):
    """Jobs of spec `home` that are submitted in the north run in the south, otherwise in the east."""

    def where(self, uid_of: str) -> set[str]:
        """Regions in which a Pod of a task was started."""
        names = {
            each.where
            for each in self.cluster.record.records
            if each.what == "start" and each.data["task"] == uid_of
        }
        return {NAMES[int(name.rpartition("-")[2]) % 3] for name in names}

    def started(self, task: str) -> int:
        return sum(
            each.what == "start" and each.data["task"] == task
            for each in self.cluster.record.records
        )

    def ended(self, task: str) -> list[str]:
        pods = {
            each.data["pod"]
            for each in self.cluster.record.records
            if each.what == "start" and each.data["task"] == task
        }
        return [
            each.data["why"]
            for each in self.cluster.record.records
            if each.what == "end" and each.data["pod"] in pods
        ]


def test_a_job_that_its_spec_forbids_here_runs_in_another_region_and_is_answered_here() -> None:
    stage = ForwardingStage()

    def script() -> None:
        stage.join()
        north = stage.cluster.placers[0]
        for number in range(4):
            assert stage.submit_to(north, f"job-{number}", spec="home", runs_s=4)[0] == 201
        assert stage.wait(
            lambda: all(
                "Placed" in stage.job_conditions(north, f"job-{number}") for number in range(4)
            ),
            6,
        )
        assert all(
            stage.where(f"job-{number}") <= {"south", "east"}
            and stage.started(f"job-{number}") == 1
            for number in range(4)
        )
        assert stage.wait(
            lambda: all(
                "Complete" in stage.job_conditions(north, f"job-{number}") for number in range(4)
            ),
            12,
        )
        assert north.service is not None
        assert not north.service.placer.unexpected_transitions()
        assert len(north.service.placer.admission._remote_regions.sender) == 0  # type: ignore[union-attr]

    stage.play(script)


def test_a_forwarded_job_that_is_deleted_here_is_stopped_by_its_receiver() -> None:
    stage = ForwardingStage()

    def script() -> None:
        stage.join()
        north = stage.cluster.placers[0]
        assert stage.submit_to(north, "gone", spec="home")[0] == 201
        assert stage.wait(lambda: "Placed" in stage.job_conditions(north, "gone"), 6)
        stage.pool(north.port).request("DELETE", f"{JOBS}/gone", b"")
        assert stage.wait(lambda: len(stage.ended("gone")) == 1, 10), "stopped by its receiver"

    stage.play(script)


@pytest.mark.parametrize("task_class", ["web", "settlement"])
def test_a_cut_while_forwarding_fails_the_answer_and_starts_nothing_twice(
    task_class: str,
) -> None:
    stage = ForwardingStage()

    def script() -> None:
        stage.join()
        north = stage.cluster.placers[0]
        for machine in stage.machines_of(1) + stage.machines_of(2):
            machine.slowness = 3.0
        assert stage.submit_to(north, "cut", task_class, "home", patience_s=3)[0] == 201
        assert stage.wait(lambda: len(stage.seen("offer")) > 0, 2)
        stage.cut(0)
        asked_us = stage.hub.now_us()
        assert stage.wait(
            lambda: bool({"Failed", "Placed"} & set(stage.job_conditions(north, "cut"))), 5
        )
        assert stage.hub.now_us() - asked_us <= 3 * S + S // 5, (
            "answered within its patience by the placer that it was submitted to"
        )
        answer = stage.job_conditions(north, "cut")
        assert answer.get("Failed") == "Failed", answer
        stage.cut(0, False)
        stage.hub.sleep(20 * S)
        assert stage.started("cut") <= 1
        assert len(stage.ended("cut")) == stage.started("cut"), (
            "the forwarded run was stopped after the cut"
        )
        assert stage.job_conditions(north, "cut") == answer

    stage.play(script)


def test_a_job_whose_receiver_dies_is_run_by_its_successor_if_it_may_repeat() -> None:
    stage = ForwardingStage()

    def script() -> None:
        stage.join()
        north = stage.cluster.placers[0]
        assert stage.submit_to(north, "safe", spec="home")[0] == 201
        assert stage.submit_to(north, "once", "settlement", "home", patience_s=10)[0] == 201
        assert stage.wait(
            lambda: all("Placed" in stage.job_conditions(north, name) for name in ("safe", "once")),
            12,
        )
        for slot in stage.cluster.placers:
            if slot.index % 3 == 1:
                slot.kill()
        stage.hub.sleep(30 * S)
        assert stage.started("once") == 1
        assert stage.started("safe") <= 2

    stage.play(script)
