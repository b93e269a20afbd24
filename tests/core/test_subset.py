"""Subsets of the machines on the whole path: who holds what as placers come, go, are cut off and stand still."""

from __future__ import annotations

from tests.core.subsetstage import LEAVE_S, SETTLE_S, SubsetStage
from tests.stage import S
from wingbarrow.core.subset import CHECK_INTERVAL_US, NO_MEMBERS_TIMEOUT_US
from wingbarrow.lab.node import node_value


def test_each_placer_reaches_its_subset_alone_and_sends_nowhere_else() -> None:
    stage = SubsetStage(machines=12, placers=5, replicas=2)

    def script() -> None:
        stage.begin()
        wanted = stage.wanted([slot.name for slot in stage.cluster.placers])
        assert sum(len(each) for each in wanted.values()) == 24, "each machine is held by two"
        for turn in range(30):
            slot = stage.cluster.placers[turn % 5]
            stage.submit_to(slot, f"t{turn}", runs_s=3)
            stage.hub.sleep(S // 10)
        for turn in range(30):
            assert stage.answer_of(stage.cluster.placers[turn % 5], f"t{turn}") == "placed"
        sent = {(record.data["placer"], record.where) for record in stage.seen("offer")}
        assert sent
        assert all(machine in wanted[placer] for placer, machine in sent)
        for each in stage.live():
            assert len(each.fleet.held) + each.fleet.reflector.left_out == 12
            assert each.has_complete_view(12)
            assert each.fleet.reflector.skipped_entries > 0
            assert not each.unexpected_transitions()
        told = stage.pool().request("GET", "/metrics").body.decode()
        placer = stage.placer(0)
        for name, value in (
            ("machines", len(placer.machines.links)),
            ("lingering", 0),
            ("relists", 0),
            ("left_out", placer.fleet.reflector.left_out),
            ("passed_over", placer.fleet.reflector.skipped_entries),
        ):
            assert f"\nwingbarrow_subset_{name} {float(value)}\n" in told, name

    stage.play(script, start=False)
    assert stage.audit().clean
    assert stage.audit().placed == 30


def test_a_third_of_the_placers_killed_at_once_and_back() -> None:
    stage = SubsetStage(machines=12, placers=6, replicas=2)

    def script() -> None:
        stage.begin()
        slots = stage.cluster.placers
        before = stage.wanted([slot.name for slot in slots])
        killed_us = stage.hub.now_us()
        for slot in slots[:2]:
            slot.kill()
        rules = stage.placer(2).peering.membership.settings
        stated_us = (
            rules.detection_bound_us(6)
            + int((LEAVE_S + SETTLE_S) * S)
            + 2 * CHECK_INTERVAL_US
            + stage.subset(2)._spread_us
            + S
        )
        assert stage.wait(stage.settled_subsets, stated_us / S), "later than is stated"
        print("machines are all held again after", (stage.hub.now_us() - killed_us) / S, "s")
        after = stage.wanted([slot.name for slot in slots[2:]])
        for slot in slots[2:]:
            assert before[slot.name] <= after[slot.name], "who stays lets nothing go"
            assert stage.placer(slots.index(slot)).fleet.reflector.supplementary_lists <= 2
        for turn, slot in enumerate(slots[2:]):
            stage.submit_to(slot, f"t{turn}", runs_s=20)
            assert stage.answer_of(slot, f"t{turn}") == "placed"
        for slot in slots[:2]:
            slot.start()
        assert stage.wait(stage.settled_subsets, 90), "they are not back to what they held"
        assert stage.wanted([slot.name for slot in slots]) == before
        assert all(not each.subset.lingering for each in stage.live() if each.subset)
        assert sum(each.context.counts["subset:released"] for each in stage.live()) > 0

    stage.play(script, start=False)
    assert stage.audit().clean
    assert stage.audit().placed == 4


def test_both_sides_of_a_cut_take_the_others_machines_and_let_go_when_it_heals() -> None:
    """Meanwhile machines that come back cold are held by both sides; together they stay within their offers."""
    stage = SubsetStage(machines=4, placers=4, replicas=2, cuts=True)

    def script() -> None:
        stage.begin()
        slots = stage.cluster.placers
        stage.cut(slots[:2], slots[2:], True)

        def apart() -> bool:
            return all(
                len(stage.subset(index).live_members) == 2
                and len(stage.placer(index).machines.links) == 4
                for index in range(4)
            )

        assert stage.wait(apart, 60), "each side holds all machines"
        for machine in stage.cluster.machines[:2]:
            stage.hub.spawn(lambda m=machine: stage.cluster.crash(m, 2.0))
        stage.hub.sleep(4 * S)
        for turn in range(160):
            stage.submit_to(slots[turn % 4], f"c{turn}", runs_s=1, service=f"s{turn % 7}")
            stage.hub.sleep(S // 50)
        for turn in range(160):
            stage.answer_of(slots[turn % 4], f"c{turn}")
        stage.cut(slots[:2], slots[2:], False)
        assert stage.wait(stage.settled_subsets, 120), "not healed"

    stage.play(script, start=False)
    audited = stage.audit()
    cold = {machine.name for machine in stage.cluster.machines[:2]}
    senders = {record.data["placer"] for record in stage.seen("offer") if record.where in cold}
    assert len(senders) == 4
    assert audited.clean
    assert audited.accepted == 160


def test_a_placer_that_comes_and_goes_for_shorter_than_it_may_be_missing_moves_nothing() -> None:
    stage = SubsetStage(machines=8, placers=4, replicas=2, cuts=True)

    def script() -> None:
        stage.begin()
        first, others = stage.cluster.placers[:1], stage.cluster.placers[1:]
        before = [set(each.machines.links) for each in stage.live()]
        suspected = 0
        for _ in range(12):
            stage.cut(first, others, True)
            stage.hub.sleep(4 * S)
            stage.cut(first, others, False)
            suspected += sum(each.peering.counts["peers:suspected"] for each in stage.live()[1:])
            stage.hub.sleep(3 * S)
        assert suspected, "membership has seen nothing of it"
        assert [set(each.machines.links) for each in stage.live()] == before
        assert (
            sum(
                each.context.counts["subset:changes"] + each.fleet.reflector.supplementary_lists
                for each in stage.live()
            )
            == 0
        )

    stage.play(script, start=False)


def test_a_placer_that_stood_still_goes_on_with_its_old_subset_and_breaks_no_rule() -> None:
    stage = SubsetStage(machines=6, placers=3, replicas=1)

    def script() -> None:
        stage.begin()
        slots = stage.cluster.placers
        mine = set(stage.placer(0).machines.links)
        stage.submit_to(slots[0], "before", runs_s=60)
        assert stage.answer_of(slots[0], "before") == "placed"
        woken_us = stage.hub.now_us() + 25 * S
        slots[0].hold(25 * S)
        assert stage.wait(
            lambda: mine
            <= set(stage.placer(1).machines.links) | set(stage.placer(2).machines.links),
            24,
        )
        victim = next(machine for machine in stage.cluster.machines if machine.name in mine)
        stage.cluster.set_drain(victim, True)
        for turn in range(12):
            stage.submit_to(slots[1 + turn % 2], f"other{turn}", runs_s=30)
        for turn in range(12):
            assert stage.answer_of(slots[1 + turn % 2], f"other{turn}") == "placed"
        assert stage.hub.now_us() < woken_us
        stage.hub.sleep(woken_us - stage.hub.now_us())
        assert set(stage.placer(0).machines.links) == mine, "it woke with what it had"
        for turn in range(6):
            stage.submit_to(slots[0], f"after{turn}", runs_s=3)
        for turn in range(6):
            stage.answer_of(slots[0], f"after{turn}")
        assert stage.wait(stage.settled_subsets, 120)

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
        assert set(stage.placer(0).machines.links) < set(stage.names()), (
            "at first it does not know that it is alone"
        )
        limit_s = (
            NO_MEMBERS_TIMEOUT_US / S + LEAVE_S + SETTLE_S + stage.subset(0)._spread_us / S + 1
        )
        assert stage.wait(stage.settled_subsets, limit_s)
        assert set(stage.placer(0).machines.links) == set(stage.names())
        stage.submit_to(stage.cluster.placers[0], "t", runs_s=3)
        assert stage.answer_of(stage.cluster.placers[0], "t") == "placed"

    stage.play(script, start=False)
    assert stage.audit().clean


def test_a_subset_of_no_machines_refuses_in_time_and_one_of_all_holds_all() -> None:
    stage = SubsetStage(machines=1, placers=4, replicas=1)

    def script() -> None:
        stage.begin()
        wanted = stage.wanted([slot.name for slot in stage.cluster.placers])
        slots = stage.cluster.placers
        assert sorted(len(each) for each in wanted.values()) == [0, 0, 0, 1]
        for slot in slots:
            stage.submit_to(slot, slot.name, runs_s=3, patience_s=2)
        answers = [stage.answer_of(slot, slot.name) for slot in slots]
        assert answers == ["placed" if wanted[slot.name] else "refused" for slot in slots]

    stage.play(script, start=False)
    assert stage.audit().clean
    assert stage.audit().refused == 3

    whole = SubsetStage(machines=3, placers=2, replicas=2)

    def all_held() -> None:
        whole.begin()
        assert all(
            len(each.machines.links) == 3 and not each.fleet.reflector.left_out
            for each in whole.live()
        )

    whole.play(all_held, start=False)
