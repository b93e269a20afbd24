"""Jobs of a lost placer or region, end to end on a virtual clock: which start elsewhere, and which must not."""

from __future__ import annotations

import pytest

from tests.peers.regions import Regions
from tests.stage import S
from wingbarrow.lab.cluster import PlacerSlot

UNKNOWN = "/apis/wingbarrow.io/v1/unknown"


class LostPlacer(Regions):
    """The first placer of the first region, `north`, fails."""

    @property
    def north(self) -> PlacerSlot:
        return self.cluster.placers[0]

    def delay_messages(self, delay_us: int) -> None:
        """Delay messages of other regions to the first placer."""
        for slot in self.cluster.placers:
            if slot.index % 3:
                self.network.set(slot.name, self.north.name, delay_us=delay_us)

    def offered(self, uid: str, region: int) -> int:
        names = {machine.name for machine in self.machines_of(region)}
        return sum(each.where in names for each in self.seen("offer", uid=uid))

    def unknown(self) -> dict[str, int]:
        """The Jobs in unknown state, each with the index of the placer that lists it."""
        return {
            each["job"]: slot.index
            for slot in self.cluster.placers
            if slot.service is not None
            for each in self.ask(slot, path=UNKNOWN)[1]["items"]
        }


def test_an_unsafe_job_starts_elsewhere_once_its_machine_proves_that_it_never_had_it() -> None:
    stage = LostPlacer()

    def script() -> None:
        stage.join()
        stage.delay_messages(3 * S // 10)
        status, value = stage.submit_to(stage.north, "about", "settlement")
        assert status == 201
        uid = value["metadata"]["uid"]
        stage.hub.sleep(S // 10)
        stage.north.kill()
        assert not stage.offered(uid, 0), (
            "the replica has recorded the coming send, which never happened"
        )
        assert stage.wait(lambda: stage.starts(uid) == 1, 25)
        assert len(stage.seen("fence", uid=uid)) >= 1, (
            "the other placer of the region must fence the Job at the machine"
        )
        assert not stage.offered(uid, 0)
        stage.hub.sleep(10 * S)
        assert stage.starts(uid) == 1
        assert not stage.unknown()

    stage.play(script)


def test_a_placer_paused_past_its_lease_sends_nothing_when_it_wakes_with_an_offer() -> None:
    stage = LostPlacer()

    def script() -> None:
        stage.join()
        stage.delay_messages(3 * S // 10)
        status, value = stage.submit_to(stage.north, "held", "settlement", patience_s=60)
        assert status == 201
        uid = value["metadata"]["uid"]
        stage.hub.sleep(S // 10)
        stage.north.hold(25 * S)
        stage.delay_messages(0)
        assert stage.wait(lambda: stage.starts(uid) == 1, 24), (
            "its successor has proof that it never ran, and starts it"
        )
        stage.hub.sleep(25 * S)
        assert not stage.offered(uid, 0)
        assert stage.starts(uid) == 1
        assert stage.north.service is not None
        counts = stage.north.service.placer.context.counts
        assert counts["held:no_lease"] >= 1, counts
        assert stage.job_conditions(stage.north, "held")["Failed"] == "LeaseLost", (
            "the successor answers the owner; here the Job has failed"
        )
        assert stage.may_send(stage.north)
        assert stage.submit_to(stage.north, "fresh")[0] == 201

    stage.play(script)


def test_a_job_that_may_have_run_stays_unknown_until_an_operator_decides() -> None:
    stage = LostPlacer()

    def script() -> None:
        stage.join()
        uids = {
            name: stage.submit_placed(stage.north, name, "settlement") for name in ("ran", "never")
        }
        stage.north.kill()
        assert stage.wait(lambda: len(stage.unknown()) == 2, 25)
        stage.hub.sleep(10 * S)
        assert all(stage.starts(uid) == 1 for uid in uids.values())
        at = {
            key.rpartition("/")[2]: stage.cluster.placers[index]
            for key, index in stage.unknown().items()
        }
        assert "wingbarrow.io/Unknown" in stage.job_conditions(at["ran"], "ran")
        for name in uids:
            assert stage.ask(at[name], "POST", {}, f"{UNKNOWN}/default/{name}")[0] == 422
            assert (
                stage.ask(at[name], "POST", {"ran": name == "ran"}, f"{UNKNOWN}/default/{name}")[0]
                == 200
            )
        assert stage.wait(lambda: stage.starts(uids["never"]) == 2, 5), (
            "started after the operator's decision"
        )
        stage.hub.sleep(5 * S)
        assert stage.starts(uids["ran"]) == 1
        assert not stage.unknown()
        assert stage.ask(at["ran"], "POST", {"ran": True}, f"{UNKNOWN}/default/ran")[0] == 404

    stage.play(script)


def test_successors_killed_during_failover_are_succeeded_and_every_safe_job_runs_once() -> None:
    stage = LostPlacer()

    def script() -> None:
        stage.join()
        uids = [stage.submit_placed(stage.north, f"safe-{index}") for index in range(8)]
        stage.cut(0)
        for index in (4, 5):
            victim = stage.cluster.placers[index]
            assert stage.wait(
                lambda victim=victim: any(
                    each.data["session"].startswith(victim.name + "/")
                    for each in stage.seen("start")
                ),
                30,
            )
            stage.hub.sleep(4 * S)  # until each record has reachable replicas again
            victim.kill()
            # A primary and its replica must not fail at the same time: no placer would know the Job.
            stage.hub.sleep(14 * S)
        assert stage.wait(lambda: all(len(stage.running(uid)) == 1 for uid in uids), 60), [
            stage.running(uid) for uid in uids
        ]
        stage.hub.sleep(4 * S)
        assert all(len(stage.running(uid)) == 1 for uid in uids)
        north = {machine.name for machine in stage.machines_of(0)}
        assert not any(set(stage.running(uid)) & north for uid in uids), (
            "the machines of the lost region must stop their runs"
        )
        stage.cut(0, False)
        stage.hub.sleep(8 * S)
        assert all(len(stage.running(uid)) == 1 for uid in uids), (
            "the reconnection must not start or stop anything"
        )

    stage.play(script)


@pytest.mark.parametrize("trouble", ["flaps", "deaf", "two of three"])
def test_no_unsafe_job_starts_twice_through_links_that_fail_one_way_or_in_turn(
    trouble: str,
) -> None:
    stage = LostPlacer()

    def script() -> None:
        stage.join()
        safe = [stage.submit_placed(stage.north, f"safe-{index}") for index in range(3)]
        never = [
            stage.submit_placed(stage.north, f"never-{index}", "settlement") for index in range(3)
        ]
        pairs = [
            (one.name, other.name)
            for one in stage.cluster.placers
            for other in stage.cluster.placers
            if one.index % 3 == 0 and other.index % 3
        ]
        for turn in range(14):
            if trouble == "flaps":
                stage.cut(0, turn % 2 == 0)
            for north, other in pairs if turn == 0 else ():
                if trouble == "two of three" and other[-1] in "14":
                    stage.network.set(north, other, cut=True)
                    stage.network.set(other, north, cut=True)
                elif trouble == "deaf":
                    stage.network.set(other, north, cut=True)
            stage.hub.sleep(7 * S // 10)
            status, value = stage.submit_to(stage.north, f"more-{turn}", "settlement", patience_s=2)
            if status == 201:
                never.append(str(value["metadata"]["uid"]))
        for north, other in pairs:
            stage.network.set(north, other, cut=False)
            stage.network.set(other, north, cut=False)
        stage.hub.sleep(14 * S)
        assert all(stage.starts(uid) <= 1 for uid in never), [stage.starts(uid) for uid in never]
        assert all(len(stage.running(uid)) == 1 for uid in safe), [
            stage.running(uid) for uid in safe
        ]
        assert all(
            slot.service is not None and not slot.service.placer.unexpected_transitions()
            for slot in stage.cluster.placers
        )
        assert stage.may_send(stage.north)
        assert stage.submit_to(stage.north, "fresh")[0] == 201

    stage.play(script)


def test_leased_tasks_of_an_earlier_incarnation_are_not_adopted_and_their_jobs_run_elsewhere() -> (
    None
):
    stage = LostPlacer()

    def script() -> None:
        stage.join()
        uid = stage.submit_placed(stage.north, "former")
        stage.north.kill()
        stage.hub.sleep(S // 2)
        stage.north.start()
        assert stage.wait(lambda: stage.starts(uid) == 2, 25)
        assert stage.north.service is not None
        assert stage.north.service.placer.context.counts["jobs_adopted"] == 0
        first, second = stage.seen("start", uid=uid)
        assert second.at_us >= first.data["until_us"]
        assert len(stage.running(uid)) == 1
        assert stage.may_send(stage.north)
        assert stage.submit_to(stage.north, "fresh")[0] == 201

    stage.play(script)


def test_a_job_rejected_without_acknowledgement_is_not_started_from_its_record() -> None:
    stage = LostPlacer()

    def script() -> None:
        stage.join()
        south = stage.cluster.placers[1]
        stage.submit_placed(south, "before", spec="home", runs_s=1)
        others = [slot.name for slot in stage.cluster.placers if slot is not south]
        for name in others:  # messages to the south are lost
            stage.network.set(name, south.name, cut=True)

        def silence() -> None:
            # Then messages from the south are lost too: replicas do not learn that the Job was rejected.
            for name in others:
                stage.network.set(south.name, name, cut=True)

        stage.hub.call_at(stage.hub.now_us() + S // 5, silence)
        status, value = stage.submit_to(south, "refused", "settlement", "home")
        assert status == 503 and "keeper" in value["message"], value
        stage.hub.sleep(30 * S)
        assert not [each for each in stage.seen("start") if each.data["task"] == "refused"], (
            "its owner submits it elsewhere"
        )
        assert stage.wait(lambda: "default/refused" in stage.unknown(), 90), (
            "it must be listed for an operator"
        )

    stage.play(script)
