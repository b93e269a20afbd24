"""Subsets of the machines, end to end: which placer holds which as placers start, stop, are partitioned or stall."""

from __future__ import annotations

from tests.core.subset_stage import LEAVE_S, SETTLE_S, SubsetStage
from tests.stage import S
from wingbarrow.core.subset import CHECK_INTERVAL_US, NO_MEMBERS_TIMEOUT_US
from wingbarrow.lab.node import node_value


def test_each_placer_connects_and_sends_only_to_its_subset() -> None:
    stage = SubsetStage(machines=12, placers=5, replicas=2)

    def script() -> None:
        stage.begin()
        wanted = stage.expected_subsets([slot.name for slot in stage.cluster.placers])
        assert sum(len(each) for each in wanted.values()) == 24, (
            "each machine is held by two placers"
        )
        for index in range(30):
            slot = stage.cluster.placers[index % 5]
            stage.submit_to(slot, f"t{index}", runs_s=3)
            stage.hub.sleep(S // 10)
        for index in range(30):
            assert stage.wait_for_answer(stage.cluster.placers[index % 5], f"t{index}") == "placed"
        sent = {(record.data["placer"], record.where) for record in stage.seen("offer")}
        assert sent
        assert all(machine in wanted[placer] for placer, machine in sent)
        for each in stage.live_placers():
            assert len(each.fleet.held) + each.fleet.reflector.left_out == 12
            assert each.has_complete_view(12)
            assert each.fleet.reflector.skipped_entries > 0
            assert not each.unexpected_transitions()
        metrics = stage.pool().request("GET", "/metrics").body.decode()
        placer = stage.placer(0)
        for name, value in (
            ("machines", len(placer.machines.links)),
            ("lingering", 0),
            ("relists", 0),
            ("left_out", placer.fleet.reflector.left_out),
            ("passed_over", placer.fleet.reflector.skipped_entries),
        ):
            assert f"\nwingbarrow_subset_{name} {float(value)}\n" in metrics, name

    stage.play(script, start=False)
    assert stage.audit().clean
    assert stage.audit().placed == 30


def test_killing_and_restarting_a_third_of_the_placers_restores_their_subsets() -> None:
    stage = SubsetStage(machines=12, placers=6, replicas=2)

    def script() -> None:
        stage.begin()
        slots = stage.cluster.placers
        before = stage.expected_subsets([slot.name for slot in slots])
        killed_us = stage.hub.now_us()
        for slot in slots[:2]:
            slot.kill()
        rules = stage.placer(2).peering.membership.settings
        bound_us = (
            rules.detection_bound_us(6)
            + int((LEAVE_S + SETTLE_S) * S)
            + 2 * CHECK_INTERVAL_US
            + stage.subset(2)._spread_us
            + S
        )
        assert stage.wait(stage.has_expected_subsets, bound_us / S), "exceeds the documented bound"
        print("all machines are held again after", (stage.hub.now_us() - killed_us) / S, "s")
        after = stage.expected_subsets([slot.name for slot in slots[2:]])
        for slot in slots[2:]:
            assert before[slot.name] <= after[slot.name], "a remaining placer releases no machine"
            assert stage.placer(slots.index(slot)).fleet.reflector.supplementary_lists <= 2
        for index, slot in enumerate(slots[2:]):
            stage.submit_to(slot, f"t{index}", runs_s=20)
            assert stage.wait_for_answer(slot, f"t{index}") == "placed"
        for slot in slots[:2]:
            slot.start()
        assert stage.wait(stage.has_expected_subsets, 90), (
            "placers did not return to their former subsets"
        )
        assert stage.expected_subsets([slot.name for slot in slots]) == before
        assert all(not each.subset.lingering for each in stage.live_placers() if each.subset)
        assert sum(each.context.counts["subset:released"] for each in stage.live_placers()) > 0

    stage.play(script, start=False)
    assert stage.audit().clean
    assert stage.audit().placed == 4


def test_both_sides_of_a_partition_take_over_machines_and_release_them_after_it_heals() -> None:
    """Both sides hold machines that return cold; together they stay within the machines' offer limits."""
    stage = SubsetStage(machines=4, placers=4, replicas=2, partitionable=True)

    def script() -> None:
        stage.begin()
        slots = stage.cluster.placers
        stage.set_partitioned(slots[:2], slots[2:], True)

        def is_partitioned() -> bool:
            return all(
                len(stage.subset(index).live_members) == 2
                and len(stage.placer(index).machines.links) == 4
                for index in range(4)
            )

        assert stage.wait(is_partitioned, 60), "each side must hold all machines"
        for machine in stage.cluster.machines[:2]:
            stage.hub.spawn(lambda m=machine: stage.cluster.crash(m, 2.0))
        stage.hub.sleep(4 * S)
        for index in range(160):
            stage.submit_to(slots[index % 4], f"c{index}", runs_s=1, service=f"s{index % 7}")
            stage.hub.sleep(S // 50)
        for index in range(160):
            stage.wait_for_answer(slots[index % 4], f"c{index}")
        stage.set_partitioned(slots[:2], slots[2:], False)
        assert stage.wait(stage.has_expected_subsets, 120), (
            "subsets did not recover after the partition"
        )

    stage.play(script, start=False)
    audited = stage.audit()
    cold = {machine.name for machine in stage.cluster.machines[:2]}
    senders = {record.data["placer"] for record in stage.seen("offer") if record.where in cold}
    assert len(senders) == 4
    assert audited.clean
    assert audited.accepted == 160


def test_a_placer_that_is_unreachable_for_less_than_leave_after_moves_no_machine() -> None:
    stage = SubsetStage(machines=8, placers=4, replicas=2, partitionable=True)

    def script() -> None:
        stage.begin()
        first, others = stage.cluster.placers[:1], stage.cluster.placers[1:]
        before = [set(each.machines.links) for each in stage.live_placers()]
        suspected = 0
        for _ in range(12):
            stage.set_partitioned(first, others, True)
            stage.hub.sleep(4 * S)
            stage.set_partitioned(first, others, False)
            suspected += sum(
                each.peering.counts["peers:suspected"] for each in stage.live_placers()[1:]
            )
            stage.hub.sleep(3 * S)
        assert suspected, "membership suspected nobody"
        assert [set(each.machines.links) for each in stage.live_placers()] == before
        assert (
            sum(
                each.context.counts["subset:changes"] + each.fleet.reflector.supplementary_lists
                for each in stage.live_placers()
            )
            == 0
        )

    stage.play(script, start=False)


def test_a_stalled_placer_resumes_with_its_old_subset_and_breaks_no_rule() -> None:
    stage = SubsetStage(machines=6, placers=3, replicas=1)

    def script() -> None:
        stage.begin()
        slots = stage.cluster.placers
        own_machines = set(stage.placer(0).machines.links)
        stage.submit_to(slots[0], "before", runs_s=60)
        assert stage.wait_for_answer(slots[0], "before") == "placed"
        resumed_us = stage.hub.now_us() + 25 * S
        slots[0].hold(25 * S)
        assert stage.wait(
            lambda: own_machines
            <= set(stage.placer(1).machines.links) | set(stage.placer(2).machines.links),
            24,
        )
        victim = next(machine for machine in stage.cluster.machines if machine.name in own_machines)
        stage.cluster.set_drain(victim, True)
        for index in range(12):
            stage.submit_to(slots[1 + index % 2], f"other{index}", runs_s=30)
        for index in range(12):
            assert stage.wait_for_answer(slots[1 + index % 2], f"other{index}") == "placed"
        assert stage.hub.now_us() < resumed_us
        stage.hub.sleep(resumed_us - stage.hub.now_us())
        assert set(stage.placer(0).machines.links) == own_machines, (
            "it must resume with its old subset"
        )
        for index in range(6):
            stage.submit_to(slots[0], f"after{index}", runs_s=3)
        for index in range(6):
            stage.wait_for_answer(slots[0], f"after{index}")
        assert stage.wait(stage.has_expected_subsets, 120)

    stage.play(script, start=False)
    assert stage.audit().clean, stage.audit().notes


def test_one_placer_alone_holds_all_machines() -> None:
    stage = SubsetStage(machines=9, placers=3, replicas=1)

    def script() -> None:
        stage.cluster.hold_subsets(1, f"{LEAVE_S:g}s", f"{int(SETTLE_S * 1000)}ms")
        for machine in stage.cluster.machines:
            machine.launch(cold=False)
            stage.cluster.source.show(machine.name, node_value(machine))
        stage.cluster.source.start()
        stage.cluster.placers[0].start()
        stage.hub.sleep(S)
        assert set(stage.placer(0).machines.links) < set(stage.running_machines()), (
            "at first it must not assume that it is alone"
        )
        limit_s = (
            NO_MEMBERS_TIMEOUT_US / S + LEAVE_S + SETTLE_S + stage.subset(0)._spread_us / S + 1
        )
        assert stage.wait(stage.has_expected_subsets, limit_s)
        assert set(stage.placer(0).machines.links) == set(stage.running_machines())
        stage.submit_to(stage.cluster.placers[0], "t", runs_s=3)
        assert stage.wait_for_answer(stage.cluster.placers[0], "t") == "placed"

    stage.play(script, start=False)
    assert stage.audit().clean


def test_a_subset_of_no_machines_refuses_in_time_and_one_of_all_holds_all() -> None:
    stage = SubsetStage(machines=1, placers=4, replicas=1)

    def script() -> None:
        stage.begin()
        wanted = stage.expected_subsets([slot.name for slot in stage.cluster.placers])
        slots = stage.cluster.placers
        assert sorted(len(each) for each in wanted.values()) == [0, 0, 0, 1]
        for slot in slots:
            stage.submit_to(slot, slot.name, runs_s=3, patience_s=2)
        answers = [stage.wait_for_answer(slot, slot.name) for slot in slots]
        assert answers == ["placed" if wanted[slot.name] else "refused" for slot in slots]

    stage.play(script, start=False)
    assert stage.audit().clean
    assert stage.audit().refused == 3

    full = SubsetStage(machines=3, placers=2, replicas=2)

    def all_held() -> None:
        full.begin()
        assert all(
            len(each.machines.links) == 3 and not each.fleet.reflector.left_out
            for each in full.live_placers()
        )

    full.play(all_held, start=False)
