"""The rig's links with faults, its fault scripts, and its layout of placers over regions."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import pytest

from wingbarrow.config import load_text
from wingbarrow.core.logs import silent
from wingbarrow.lab.cluster import settings_text
from wingbarrow.lab.fleet.commands import Commands
from wingbarrow.lab.fleet.fault_injection import FaultInjector
from wingbarrow.lab.fleet.layout import THIRD, WITNESS, Layout, Size
from wingbarrow.lab.fleet.link import Network, Proxy
from wingbarrow.lab.fleet.places import Places
from wingbarrow.lab.fleet.script import Fault, ScriptError, generate, generate_regions, read_script
from wingbarrow.transport import Hub, PeerGone, Stream, VirtualClock, connect, listen

S = 1_000_000
NAMES = ["placer-0", "placer-1", "placer-2"]
REGIONS = ("north", "south")


# -- links


class Echo:
    """A server that echoes the data that it receives, and keeps all of it in `received`."""

    def __init__(self, hub: Hub) -> None:
        self.received: list[bytes] = []
        self.listener = listen(hub, "127.0.0.1", 0, print)
        hub.spawn(lambda: self.listener.serve(self._serve))

    def _serve(self, stream: Stream) -> None:
        while data := stream.receive():
            self.received.append(data)
            stream.send(data)


def run_scenario(script: Callable[[Hub, Echo, Proxy], None]) -> None:
    hub = Hub(VirtualClock())

    def main() -> None:
        echo = Echo(hub)
        script(hub, echo, Proxy(hub, echo.listener.port, seed=3))

    hub.run(main)


def send_word(hub: Hub, port: int, within_us: int = S) -> bytes | None:
    """Sends a word; returns the response, `b"reset"` if the peer is gone, None if none arrives in time."""
    stream, response = connect(hub, "127.0.0.1", port), None
    try:
        stream.send(b"word")
        with hub.limit(within_us):
            response = stream.receive()
    except PeerGone:
        response = b"reset"
    stream.close()
    return response


def test_a_whole_link_passes_all_and_a_cut_one_holds_it_without_a_word() -> None:
    def script(hub: Hub, echo: Echo, proxy: Proxy) -> None:
        assert send_word(hub, proxy.port) == b"word"
        proxy.forward.cut = True
        assert send_word(hub, proxy.port) is None
        assert echo.received == [b"word"]
        proxy.forward.cut, proxy.backward.cut = False, True
        assert send_word(hub, proxy.port) is None
        assert len(echo.received) == 2, (
            "only the way back is cut: the server received the word, its response was lost"
        )
        proxy.heal()
        assert send_word(hub, proxy.port) == b"word"

    run_scenario(script)


def test_a_link_is_late_slow_resets_and_delivers_twice() -> None:
    def script(hub: Hub, echo: Echo, proxy: Proxy) -> None:
        proxy.forward.delay_us, begun = S // 2, hub.now_us()
        assert send_word(hub, proxy.port) == b"word"
        assert hub.now_us() - begun >= S // 2
        proxy.forward.delay_us, proxy.backward.bytes_per_s, begun = 0, 8, hub.now_us()
        assert send_word(hub, proxy.port) == b"word"
        proxy.heal()
        proxy.forward.duplicate_share = 1.0
        count = len(echo.received)
        assert send_word(hub, proxy.port) == b"word"
        hub.sleep(S)
        assert len(echo.received) == count + 2
        assert proxy.duplicates == 1
        proxy.heal()
        proxy.backward.reset_share = 1.0
        assert send_word(hub, proxy.port) == b"reset"

    run_scenario(script)


def test_a_far_link_is_late_both_ways_and_a_fault_adds_to_it() -> None:
    def script(hub: Hub, echo: Echo, proxy: Proxy) -> None:
        proxy.base_delay_us, begun = S // 50, hub.now_us()
        assert send_word(hub, proxy.port) == b"word"
        assert S // 25 <= hub.now_us() - begun < S // 20
        proxy.forward.delay_us, begun = S // 2, hub.now_us()
        assert send_word(hub, proxy.port) == b"word"
        assert hub.now_us() - begun >= S // 2 + S // 25
        proxy.heal()
        assert proxy.base_delay_us, "healing keeps the distance of a link"

    run_scenario(script)


def test_a_fault_from_one_to_the_other_takes_its_requests_and_its_answers() -> None:
    hub = Hub(VirtualClock())

    def main() -> None:
        network = Network(hub, NAMES, 1)
        network.set("placer-0", "placer-1", cut=True)
        assert network.links["placer-0", "placer-1"].forward.cut
        assert network.links["placer-1", "placer-0"].backward.cut
        assert not network.links["placer-0", "placer-1"].backward.cut
        assert not network.links["placer-1", "placer-0"].forward.cut
        assert all(way.is_healthy for way in network.directions("placer-0", "placer-2"))
        network.set_port("placer-1", 7)
        assert {key for key, link in network.links.items() if link.to == 7} == {
            ("placer-0", "placer-1"),
            ("placer-2", "placer-1"),
        }
        network.close()

    hub.run(main)


# -- scripts


def test_a_script_says_what_happens_when(tmp_path: Path) -> None:
    path = tmp_path / "x.kdl"
    path.write_text(
        'kill "12s" "placer-0" lasts="3s" state=false\n'
        'cut "3s" from="placer-0" to="placer-1" lasts="5s" both=false\n'
        'late "1s" from="placer-2" to="placer-1" lasts="1s" amount="250ms"\n'
    )
    assert read_script(path, NAMES) == [
        Fault("late", S, "placer-2", "placer-1", S, True, 250_000.0),
        Fault("cut", 3 * S, "placer-0", "placer-1", 5 * S, False),
        Fault("kill", 12 * S, "placer-0", "", 3 * S, state=False),
    ]


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ('explode "1s" "placer-0"', "is wanted"),
        ('stop "1s"', "a placer"),
        ('stop "1s" "placer-9"', "no such"),
        ('cut "soon" from="placer-0" to="placer-1"', "duration"),
        ('cut "1s" from="placer-0"', "to"),
        ('cut "1s" from="placer-0" to="placer-0"', "itself"),
        ('stop "1s" "placer-0" often=3', "unknown: often"),
        ('lossy "1s" from="placer-0" to="placer-1" amount=3', "share"),
        ("stop {", "x.kdl"),
        ('cut-region "1s" "east"', "no such region"),
        ('kill-region "1s"', "a region"),
        ('cut-region "1s" "north" to="north"', "itself"),
        ('work "1s" "north"', "no such placer"),
    ],
)
def test_a_script_that_cannot_be_used_is_refused_in_words(
    tmp_path: Path, text: str, words: str
) -> None:
    path = tmp_path / "x.kdl"
    path.write_text(text)
    with pytest.raises(ScriptError, match=words):
        read_script(path, NAMES, REGIONS)


def test_a_script_of_regions_needs_them(tmp_path: Path) -> None:
    path = tmp_path / "x.kdl"
    path.write_text(
        'kill-region "9s" "south" lasts="20s" state=false machines=true\n'
        'cut-region "2s" "north" to="south" lasts="5s" both=false\n'
        'work "3s" "placer-1" lasts="6s" amount=203\n'
    )
    assert read_script(path, NAMES, REGIONS) == [
        Fault("cut-region", 2 * S, "north", "south", 5 * S, False),
        Fault("work", 3 * S, "placer-1", "", 6 * S, True, 203),
        Fault("kill-region", 9 * S, "south", "", 20 * S, state=False, machines=True),
    ]
    with pytest.raises(ScriptError, match="is wanted"):
        read_script(path, NAMES)


def test_generated_faults_of_regions_leave_time_to_heal_and_keepers_alive() -> None:
    layout, kinds = Layout(Size(9, 12, regions=3)), set()
    for seed in range(1, 60):
        faults = generate_regions(seed, layout.regions, 60)
        assert faults == generate_regions(seed, layout.regions, 60)
        regional = [each for each in faults if each.kind.endswith("-region")]
        assert regional
        assert all(each.end_us < 54 * S for each in regional)
        assert sum(each.kind == "work" for each in faults) >= 3
        for region in regional:
            assert region.kind != "kill-region" or not any(
                each.kind in ("kill", "stop")
                and each.at_us < region.end_us
                and region.at_us < each.end_us
                for each in faults
            )
        kinds |= {each.kind for each in faults}
    assert {"cut-region", "slow-region", "kill-region", "work", "cut", "propose"} <= kinds


# -- layout


@pytest.mark.parametrize(
    ("placers", "regions"), [(3, 3), (6, 3), (9, 3), (16, 5), (8, 4), (2, 2), (6, 2), (16, 2)]
)
def test_no_region_has_a_majority_of_the_voters(placers: int, regions: int) -> None:
    layout = Layout(Size(placers, 3 * regions, regions=regions))
    assert sorted(name for some in layout.places.values() for name in some) == sorted(layout.all)
    assert len(layout.voters) in (3, 5)
    assert set(layout.voters) <= set(layout.all)
    assert all(
        2 * sum(voter in names for voter in layout.voters) < len(layout.voters)
        for names in layout.places.values()
    )
    assert (layout.places.get(THIRD) == [WITNESS]) == (regions == 2)
    sizes = [len(names) for names in layout.regions.values()]
    assert len(sizes) == regions
    assert max(sizes) - min(sizes) <= 1
    assert sum(layout.machines().values()) == 3 * regions


@pytest.mark.parametrize(
    ("regions", "lease_s", "after_s"), [(0, 10, 12), (2, 10, 12), (3, 6, 8), (5, 10, 30)]
)
def test_settings_of_every_placer_can_be_used(regions: int, lease_s: float, after_s: float) -> None:
    layout = Layout(Size(max(6, regions), 10, regions=regions, lease_s=lease_s, after_s=after_s))
    for index, name in enumerate(layout.all):
        text = layout.text(name, settings_text(index, 7, 1, 1, 0, "/x")) + layout.agree()
        settings = load_text(text)
        assert (settings.name, settings.region) == (name, layout.region(name))
        assert {each.name for each in settings.federation.specs} == set(layout.specs())


def test_generated_faults_are_a_function_of_the_seed_and_leave_time_to_heal() -> None:
    for seed in range(1, 60):
        faults = generate(seed, NAMES, 60)
        assert faults == generate(seed, NAMES, 60)
        assert faults
        spans: dict[str, int] = {}
        for fault in faults:
            assert {fault.who, fault.other} <= {*NAMES, ""}
            assert fault.who != fault.other
            if fault.kind in ("stop", "kill"):
                assert fault.at_us >= spans.get(fault.who, 0), (
                    "a process has only one fault at a time"
                )
                spans[fault.who] = fault.end_us
    assert {fault.kind for seed in range(1, 60) for fault in generate(seed, NAMES, 60)} == {
        "cut",
        "late",
        "slow",
        "lossy",
        "twice",
        "reset",
        "isolate",
        "deafen",
        "stop",
        "kill",
        "propose",
        "drain",
        "faulty",
    }


def test_of_two_cuts_that_overlap_the_last_one_heals(tmp_path: Path) -> None:
    hub = Hub(VirtualClock())

    def main() -> None:
        places = Places(hub, Size(3, 3, regions=3), tmp_path, silent)
        places.open([])
        injector = FaultInjector(places, Commands(places))
        hub.spawn(lambda: injector.inject(Fault("cut-region", 0, "south", lasts_us=10 * S)))
        hub.spawn(lambda: injector.inject(Fault("isolate", 0, "placer-0", lasts_us=2 * S)))
        hub.sleep(5 * S)
        assert places.network.links["placer-0", "placer-1"].forward.cut, "south is still cut off"
        assert not places.network.links["placer-0", "placer-2"].forward.cut
        hub.sleep(6 * S)
        assert all(way.is_healthy for way in places.network.directions("placer-0", "placer-1"))
        places.close()

    hub.run(main)
