"""Fleet-wide limits end to end on a virtual clock, checked at the sockets."""

from __future__ import annotations

from typing import Any

import pytest

from tests.peers.stage import AgreementStage
from tests.stage import JOBS, S
from wingbarrow.config import SettingsError, load_text
from wingbarrow.kube import names
from wingbarrow.lab.cluster import PlacerSlot, settings_text
from wingbarrow.lab.workload import TaskSpec, job_value

LIMITS = "/apis/wingbarrow.io/v1/limits"


class LimitStage(AgreementStage):
    """Placers that agree on limits."""

    def __init__(self, limits: str, machines: int = 4, placers: int = 5) -> None:
        super().__init__(machines, placers)
        self.limits, self.rejected = limits, list[tuple[int, str, str]]()
        self.jobs_given: list[str] = []

    def submit_to(self, slot: PlacerSlot, name: str, runs_s: float = 60, service: str = "") -> bool:
        """Submit a Job to a placer; returns whether it was accepted."""
        want = TaskSpec(0, name, "web", service or name, 0.25, 0.25, int(runs_s * S))
        response = self.pool(slot.port).request(
            "POST",
            "/apis/batch/v1/namespaces/default/jobs",
            names.encode(job_value(want, name, 5 * S)),
        )
        if response.status != 201:
            message = names.decode(response.body)["message"]
            self.rejected.append((response.status, message, response.get("retry-after") or ""))
        else:
            self.jobs_given.append(names.decode(response.body)["metadata"]["name"])
        return response.status == 201

    def standing(self) -> int:
        return sum(
            slot.service.placer.job_store.admission.open_tasks
            for slot in self.cluster.placers
            if slot.service is not None
        )

    def fill(self, slot: PlacerSlot, tag: str, tries: int, pause_s: float = 0.2) -> int:
        taken = 0
        for number in range(tries):
            taken += self.submit_to(slot, f"{tag}-{number}")
            self.hub.sleep(int(pause_s * S))
        return taken


def test_one_placer_with_all_demand_gets_the_whole_limit_and_no_more() -> None:
    stage = LimitStage('limit "namespace/default" most=20 stranded="5s"\n')

    def script() -> None:
        stage.join()
        assert stage.wait(lambda: stage.all_on("e1"))
        stage.hub.sleep(3 * S)
        one, other = stage.cluster.placers[4], stage.cluster.placers[3]
        assert stage.fill(one, "a", 26) == 20, (
            "allocations of placers without demand must not stay unused"
        )
        status, words, retry = stage.rejected[-1]
        assert status == 429
        assert "limit namespace/default/standing of the whole fleet: 20 at once" in words
        assert 1 <= int(retry) <= 4
        assert stage.fill(other, "b", 6) == 0
        assert stage.standing() == 20
        answer = stage.ask(stage.leader(), path=LIMITS)[1]
        assert answer["accounts"][0]["free"] == 0
        mine = next(each for each in answer["accounts"][0]["held"] if each["placer"] == one.name)
        assert mine["uses"] == 20
        assert stage.ask(other, path=LIMITS)[1]["items"][0]["wants"] > 0
        for job in stage.jobs_given[:12]:
            assert stage.pool(one.port).request("DELETE", f"{JOBS}/{job}").status == 200
        assert stage.fill(other, "c", 40) >= 8, "the allocation moves to the placer with demand"
        assert stage.standing() <= 20

    stage.play(script)


def test_allocation_of_a_killed_placer_is_reclaimed_after_its_stranded_time() -> None:
    stage = LimitStage('limit "namespace/default" most=12 stranded="6s"\n')

    def script() -> None:
        stage.join()
        assert stage.wait(lambda: stage.all_on("e1"))
        stage.hub.sleep(3 * S)
        one, other = stage.cluster.placers[4], stage.cluster.placers[3]
        assert stage.fill(one, "a", 16) == 12
        one.hold(4 * S)
        assert stage.fill(other, "b", 3, 0.1) == 0, (
            "a paused placer may have its whole allocation in use"
        )
        assert stage.standing() == 12
        one.kill()
        killed = stage.hub.now_us()
        first = None
        for number in range(200):
            if stage.submit_to(other, f"c-{number}"):
                first = stage.hub.now_us() - killed
                break
            stage.hub.sleep(S // 10)
        assert first is not None
        assert 4 * S <= first <= 10 * S, "reclaimed after the lease and the stranded time"

    stage.play(script)


def test_rate_limit_holds_through_a_leader_change() -> None:
    stage = LimitStage('limit "class/web" most=10 per="5s"\n')
    times: list[int] = []

    def script() -> None:
        stage.join()
        assert stage.wait(lambda: stage.all_on("e1"))
        stage.hub.sleep(3 * S)
        for number in range(120):
            slot = stage.cluster.placers[(3, 4)[number // 40 % 2]]
            if stage.submit_to(slot, f"r-{number}", 3):
                times.append(stage.hub.now_us())
            if number == 60:
                stage.leader().kill()
            stage.hub.sleep(S // 4)

    stage.play(script)
    assert max(sum(at <= other < at + 5 * S for other in times) for at in times) <= 10
    assert len(times) >= 30, "most of the limit is used"


def run_cold_hall(limits: str) -> tuple[int, int]:
    """All work is at one placer while a hall restarts cold; returns offers in seconds 1 to 6, and budget overruns."""
    stage = LimitStage(limits)
    since: list[int] = []

    def script() -> None:
        stage.join()
        assert stage.wait(lambda: stage.all_on("e1"))
        stage.hub.sleep(2 * S)
        for machine in stage.cluster.machines:
            machine.die()
        stage.hub.sleep(2 * S)
        for machine in stage.cluster.machines:
            machine.launch(cold=True)
        since.append(stage.hub.now_us())
        for number in range(240):
            stage.submit_to(stage.cluster.placers[4], f"cold-{number}", 30)
            stage.hub.sleep(S // 40)
        stage.hub.sleep(3 * S)

    stage.play(script)
    sent = [each.at_us for each in stage.seen("offer") if each.at_us >= since[0]]
    return sum(S <= at - since[0] < 6 * S for at in sent), stage.audit().cold_overruns


def test_cold_budget_follows_demand() -> None:
    parts, over = run_cold_hall("")
    held, held_over = run_cold_hall('limit "cold"\n')
    assert (over, held_over) == (0, 0)
    assert held >= 2 * parts, f"{held} offers; equal shares allow {parts}"


@pytest.mark.parametrize(
    ("line", "words"),
    [
        ('limit "tenant/x" most=1', "out of its bounds"),
        ('limit "namespace/x"', "most= is wanted"),
        ('limit "cold" most=4', "said by `cold`"),
        ('limit "class/web" most=1\nlimit "class/web" most=2', "two limits of the same"),
    ],
)
def test_invalid_limit_settings_are_named_with_their_line(line: str, words: str) -> None:
    with pytest.raises(SettingsError, match=words):
        load_text(
            settings_text(0, 1, 1, 1, 0, "/tmp/none")
            + f'agree {{\n    voter "placer-0"\n    {line}\n}}\n'
        )


def test_placer_without_agreement_has_no_limits_resource() -> None:
    stage = LimitStage("")

    def script() -> Any:
        return stage.ask(stage.cluster.placers[0], path=LIMITS)[0]

    assert stage.play(script) == 404
