"""The reflector where only some machines are wanted: the entries that it holds, skips, and adds later."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import pytest

from tests.core.subset_stage import SubsetStage
from tests.stage import S
from wingbarrow.core.logs import silent
from wingbarrow.core.nodes import NodeEntry
from wingbarrow.core.reflector import Reflector
from wingbarrow.decide.subsets import SubsetRules, Subsets
from wingbarrow.interface import ListForm, Phase
from wingbarrow.kube.store import Store
from wingbarrow.lab.record import Recorder
from wingbarrow.lab.source import ListSource
from wingbarrow.transport import Hub, VirtualClock

PLACERS = tuple(f"p{index}" for index in range(10))


def node(name: str, drains: bool = False) -> dict[str, Any]:
    return {
        "metadata": {"name": name},
        "spec": {"unschedulable": True} if drains else {},
        "status": {
            "addresses": [{"type": "InternalIP", "address": "127.0.0.1"}],
            "daemonEndpoints": {"kubeletEndpoint": {"Port": 10250}},
        },
    }


class ReflectorStage:
    """A list source and one reflector; no machines run."""

    def __init__(self, max_machines: int = 10_000) -> None:
        self.hub = Hub(VirtualClock())
        self.source = ListSource(self.hub, 1, Recorder(self.hub.now_us), lambda text: None)
        self.source.lag_us = 0
        self.subsets = Subsets(SubsetRules(PLACERS, 3))
        self.live_placers = frozenset(PLACERS)
        self.delivered: list[tuple[ListForm, int, int]] = []
        self.logged: list[str] = []
        self.reflector = Reflector(
            self.hub,
            "127.0.0.1",
            self.source.port,
            "wingbarrow/p0",
            random.Random(1),
            max_machines,
            0,
            self._on_delivery,
            self._log,
        )
        self.reflector.is_wanted = self.wanted

    def wanted(self, name: str) -> bool:
        return self.subsets.holds("p0", name, self.live_placers)

    def _on_delivery(self, form: ListForm, entries: list[NodeEntry], gone: list[str]) -> None:
        self.delivered.append((form, len(entries), len(gone)))

    def _log(self, what: str, **fields: Any) -> None:
        self.logged.append(what)
        silent(what, **fields)

    def play(self, script: Callable[[], None]) -> None:
        def main() -> None:
            self.source.start()
            self.hub.spawn(self.reflector.run, "reflector")
            script()
            self.source.domain.kill()

        self.hub.run(main)
        self.source.port_reservation.close()

    def wait(self, done: Callable[[], bool], seconds: float = 10) -> bool:
        end = self.hub.now_us() + int(seconds * S)
        while not done() and self.hub.now_us() < end:
            self.hub.sleep(S // 50)
        return done()


def test_five_hundred_machines_that_join_within_a_second_are_held_only_where_they_are_wanted() -> (
    None
):
    listing = ReflectorStage()

    def script() -> None:
        assert listing.wait(lambda: listing.reflector.watches == 1)
        for number in range(500):
            listing.source.show(f"m{number}", node(f"m{number}"))
            listing.hub.sleep(S // 500)
        want = {f"m{number}" for number in range(500) if listing.wanted(f"m{number}")}
        assert listing.wait(lambda: len(listing.reflector.held) == len(want))
        reflector = listing.reflector
        assert set(reflector.held) == want
        assert 100 <= len(want) <= 200
        assert listing.wait(lambda: reflector.left_out == 500 - len(want))
        assert reflector.relists == 1
        assert reflector.skipped_entries == 500 - len(want)
        assert sum(entries for _, entries, _ in listing.delivered) == len(want), (
            "each entry is delivered once"
        )
        for number in range(500):
            listing.source.show(f"m{number}", None)
        assert listing.wait(lambda: not reflector.held and not reflector.left_out)

    listing.play(script)


def test_machines_that_become_wanted_are_added_by_a_supplementary_list_and_no_others() -> None:
    listing = ReflectorStage()

    def script() -> None:
        for number in range(50):
            listing.source.show(f"m{number}", node(f"m{number}"))
        assert listing.wait(lambda: listing.reflector.watches == 1)
        before = set(listing.reflector.held)
        listing.live_placers -= {"p1", "p2", "p3"}
        listing.reflector.list_missing_machines()
        want = {f"m{number}" for number in range(50) if listing.wanted(f"m{number}")}
        assert before < want == set(listing.reflector.held)
        assert listing.delivered[-1] == (ListForm.CHANGES, len(want) - len(before), 0)
        assert listing.reflector.watches == 1
        assert listing.reflector.left_out == 50 - len(want)
        listing.reflector.list_missing_machines()
        assert listing.delivered[-1] == (ListForm.CHANGES, len(want) - len(before), 0), (
            "a second list adds nothing"
        )
        late = sorted(want - before)[0]
        listing.source.show(late, node(late, drains=True))
        assert listing.wait(lambda: listing.reflector.held[late].listed.phase is Phase.DRAINING), (
            "the watch is not interrupted"
        )

    listing.play(script)


def test_a_list_older_than_a_skipped_drain_event_is_rejected() -> None:
    """Rule 3: the drain was announced while this placer did not hold the machine."""
    listing = ReflectorStage()

    def script() -> None:
        for number in range(20):
            listing.source.show(f"m{number}", node(f"m{number}"))
        assert listing.wait(lambda: listing.reflector.watches == 1)
        out = [f"m{number}" for number in range(20) if not listing.wanted(f"m{number}")]
        other = out[0]
        # The old view is later than the list that was read, by events that were skipped.
        for name in out[1:5]:
            listing.source.show(name, node(name, drains=True))
        serve_old = listing.source.take_snapshot()
        skipped = listing.reflector.skipped_entries + len(out[1:5])
        listing.source.show(other, node(other, drains=True))
        assert listing.wait(lambda: listing.reflector.skipped_entries > skipped)
        assert len(out) >= 5
        listing.live_placers = frozenset({"p0"})
        serve_old(True)
        with pytest.raises(ValueError, match="is stale"):
            listing.reflector.list_missing_machines()
        listing.hub.sleep(5 * S)
        assert other not in listing.reflector.held
        serve_old(False)
        watches = listing.reflector.watches
        assert listing.wait(lambda: listing.reflector.watches > watches, 20)
        listing.reflector.list_missing_machines()
        assert listing.reflector.held[other].listed.phase is Phase.DRAINING

    listing.play(script)


def test_a_machine_deleted_while_the_list_is_read_does_not_come_back() -> None:
    listing = ReflectorStage()

    def script() -> None:
        for number in range(20):
            listing.source.show(f"m{number}", node(f"m{number}"))
        assert listing.wait(lambda: listing.reflector.watches == 1)
        other = next(f"m{number}" for number in range(20) if not listing.wanted(f"m{number}"))
        listing.live_placers = frozenset({"p0"})
        entry = listing.source._nodes.objects[other].value
        listing.source.show(other, None)
        assert listing.wait(lambda: (ListForm.CHANGES, 0, 1) in listing.delivered), (
            "its deletion was read"
        )
        assert not listing.reflector._versions.accept_entry(
            other, int(entry["metadata"]["resourceVersion"])
        )
        listing.reflector.list_missing_machines()
        assert other not in listing.reflector.held
        assert len(listing.reflector.held) == 19

    listing.play(script)


def test_the_bound_on_machines_counts_those_that_are_held() -> None:
    listing = ReflectorStage(max_machines=8)

    def script() -> None:
        for number in range(20):
            listing.source.show(f"m{number}", node(f"m{number}"))
        assert listing.wait(lambda: listing.reflector.watches == 1)
        assert len(listing.reflector.held) <= 8
        assert "list-too-long" not in listing.logged
        listing.live_placers = frozenset({"p0"})
        listing.reflector.list_missing_machines()
        assert len(listing.reflector.held) == 8
        assert listing.logged.count("list-too-long") == 1

    listing.play(script)


def replace_source(source: ListSource) -> None:
    """Replace the source by one restored from a backup: later versions, and no window to resume a watch from."""
    values = {name: stored.value for name, stored in source._nodes.objects.items()}
    source._store = Store(source._store.version + 1000, 4096)
    source._nodes = source._store.collection("nodes")
    for name, value in values.items():
        source._nodes.put(name, {**value, "metadata": dict(value["metadata"])})
    source._nodes.window.clear()
    source._nodes.floor = source._store.version
    source._view = source._make_view(source._store)
    source.domain.kill()
    source.start()


@pytest.mark.parametrize("restored", [False, True])
def test_the_source_is_replaced_while_machines_are_added(restored: bool) -> None:
    """The source serves an older view for a while, from which no machine is added; or it is restored from a backup."""
    stage = SubsetStage(machines=8, placers=3, replicas=1)

    def script() -> None:
        stage.begin()
        serve_old = stage.cluster.source.take_snapshot()
        for machine in stage.cluster.machines[:2]:
            stage.cluster.set_drain(machine, True)
        stage.hub.sleep(S)
        stage.cluster.placers[2].kill()
        assert stage.wait(
            lambda: any(
                each.subset is not None and each.subset._supplementary_lists.running
                for each in stage.live_placers()
            ),
            40,
        )
        if restored:
            replace_source(stage.cluster.source)
        else:
            serve_old(True)
            stage.hub.sleep(10 * S)
            held = {name for each in stage.live_placers() for name in each.fleet.held}
            assert len(held) < 8, "no machine is added from a stale list"
            assert (
                sum(each.context.counts["subset:relists failed"] for each in stage.live_placers())
                > 0
            )
        for turn in range(6):
            stage.submit_to(stage.cluster.placers[turn % 2], f"t{turn}", runs_s=2)
            stage.wait_for_answer(stage.cluster.placers[turn % 2], f"t{turn}")
        if not restored:
            serve_old(False)
        assert stage.wait(stage.has_expected_subsets, 20)
        assert all(
            not each.subset._supplementary_lists.running
            for each in stage.live_placers()
            if each.subset
        )

    stage.play(script, start=False)
    audited = stage.audit()
    assert audited.clean
    assert audited.accepted == 6
