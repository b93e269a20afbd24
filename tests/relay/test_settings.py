"""Settings of any site, with its own names, units and counts; invalid values are reported by their key."""

from __future__ import annotations

import copy
import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from tests.relay.stage import MS, SETTINGS, Machine, S, Stage
from tests.relay.test_configuration import GOOD, write
from wingbarrow import interface as api
from wingbarrow.relay import setup
from wingbarrow.relay.configuration import BadConfiguration, Configuration, load
from wingbarrow.relay.message import Cause, Code, Kind, Message, with_cause
from wingbarrow.settings_parser import parse_settings
from wingbarrow.transport import Stream

ROOT = Path(__file__).parents[2]
ABSENT = object()


def site_settings(names: list[str], kinds: list[str] | None = None, **more: Any) -> dict[str, Any]:
    """Settings with classes and kinds of these names; `more` replaces values at dotted paths (`__` for the dot)."""
    kinds = ["std"] if kinds is None else kinds
    value = copy.deepcopy(SETTINGS)
    value["lanes"] = [{**SETTINGS["lanes"][0], "name": name} for name in names]
    value["kinds"] = kinds
    columns = {
        "class_kind": -1,
        "class_most": 3,
        "easy_until": 0.8,
        "lost_after": 0.2,
        "spread_by": "off",
    }
    value["family_info"] |= {key: [default] * len(names) for key, default in columns.items()}
    value["family_info"] |= {
        "cores_by_kind": [20] * len(kinds),
        "memory_by_kind": [40.0] * len(kinds),
    }
    for path, new in more.items():
        value = changed(value, path.replace("__", "."), new)
    return value


def changed(value: Any, path: str, new: Any) -> Any:
    """A copy with another value at a path such as `lanes.0.name`; ABSENT removes it."""
    value = copy.deepcopy(value)
    *above, last = path.split(".")
    at = value
    for key in above:
        at = at[int(key)] if isinstance(at, list) else at[key]
    position = int(last) if isinstance(at, list) else last
    if new is ABSENT:
        del at[position]
    else:
        at[position] = new
    return value


def loaded(folder: Path, settings: Any, **more: Any) -> Configuration:
    return load({**write(folder, {**GOOD, **more, "settings": settings})})


def error_line(folder: Path, path: str, new: Any) -> str:
    """The one-line error for a configuration with another value at a path."""
    with pytest.raises(BadConfiguration) as caught:
        load({**write(folder, changed(GOOD, path, new)), "RELAY_LISTEN": ""})
    line = str(caught.value).removeprefix(f"{folder / 'config.json'}: ")
    assert "\n" not in line
    assert len(line) < 200
    return line


# -- errors name the full path

KEYS = [
    "balancers",
    "me",
    "quantum_us",
    "bounds.send_cap",
    "costs.probe",
    "costs.fleet",
    "rules.ask_every_us",
    "rules.cold_us",
    "rules.fall_us",
    "family_info.cpu_booking",
    "family_info.admit_memory",
    "family_info.fresh_offers",
    "bounds.dial_timeout_us",
    "bounds.max_retry_after_us",
    "bounds.conn_idle_us",
    "lanes.1.importance",
    "lanes.1.deadline_us",
    "lanes.1.dedup_window_us",
    "family_info.cores_by_kind.0",
    "family_info.memory_by_kind.0",
    "family_info.class_kind.1",
    "family_info.class_most.1",
    "family_info.easy_until.1",
    "family_info.lost_after.1",
]
INVALID_NUMBERS = [
    -2,
    -0.5,
    float("nan"),
    float("inf"),
    float("-inf"),
    10**400,
    "2000",
    "",
    True,
    None,
    [],
    {},
]


def displayed_path(path: str) -> str:
    """A path as errors show it: `lanes[1].name` for `lanes.1.name`."""
    return "".join(
        f"[{key}]" if key.isdecimal() else f".{key}" for key in path.split(".")
    ).removeprefix(".")


@pytest.mark.parametrize("key", KEYS)
def test_an_invalid_number_is_reported_with_its_key(tmp_path: Path, key: str) -> None:
    keyed = {"effect": "dedup", "dedup_scope": "all", "dedup_window_us": 0}
    settings = site_settings(
        ["web", "other"],
        family_info__spread_by=["cell", "cell"],
        costs__fleet=0.1,
        bounds__dial_timeout_us=1,
        bounds__max_retry_after_us=1,
        bounds__conn_idle_us=1,
    )
    settings["lanes"][1] |= keyed
    loaded(tmp_path, settings)  # valid before the change
    for invalid in INVALID_NUMBERS:
        with pytest.raises(BadConfiguration) as caught:
            loaded(tmp_path, changed(settings, key, invalid))
        assert f": settings.{displayed_path(key)}: " in str(caught.value) and "\n" not in str(
            caught.value
        ), invalid


@pytest.mark.parametrize(
    ("path", "new", "expected"),
    [
        ("settings.lanes", [], "settings.lanes: at least one is needed"),
        (
            "settings.lanes.1.name",
            "web",
            "settings.lanes[1].name: a second one of this name: 'web'",
        ),
        ("settings.lanes.1.name", "", "settings.lanes[1].name: not a name: ''"),
        ("settings.lanes.1.name", 7, "settings.lanes[1].name: not a name: 7"),
        ("settings.lanes.0", "web", "settings.lanes[0].name: missing"),
        ("settings.lanes.1.effect", [], "settings.lanes[1].effect: unknown: a list"),
        ("settings.lanes.1.deadline_us", ABSENT, "settings.lanes[1].deadline_us: missing"),
        ("settings.kinds", ["std", "std"], "settings.kinds[1]: a second one of this name: 'std'"),
        ("settings.kinds", [None], "settings.kinds[0]: not a name: None"),
        (
            "settings.family_info.class_kind",
            [-1, 1],
            "settings.family_info.class_kind[1]: no such kind: 1",
        ),
        (
            "settings.family_info.class_kind",
            [-1],
            "settings.family_info.class_kind: 1 values for 2",
        ),
        (
            "settings.family_info.class_kind",
            [-1, 0.5],
            "settings.family_info.class_kind[1]: not a whole number: 0.5",
        ),
        (
            "settings.family_info.report_counts",
            "neither",
            "settings.family_info.report_counts: unknown: 'neither'",
        ),
        ("settings.discovery", {}, "settings.discovery: unknown: an object"),
        ("settings.me", 1, "settings.me: no such one of 1: 1"),
        ("settings.balancers", 0, "settings.balancers: out of range: 0"),
        ("settings.bounds.send_cap", 0, "settings.bounds.send_cap: out of range: 0"),
        ("settings.bounds.send_cap", ABSENT, "settings.bounds.send_cap: missing"),
        ("settings.bounds", ABSENT, "settings.bounds.send_cap: missing"),
        ("settings.costs.probe", ABSENT, "settings.costs.probe: missing"),
        ("settings", ABSENT, "settings: missing"),
        ("limits.sockets", ABSENT, "limits.sockets: missing"),
        ("limits.sockets", 0, "limits.sockets: must be at least 64: 0"),
        ("limits.sockets", 10**400, "limits.sockets: out of range: inf"),
        ("seed", "xyz", "seed: not hex digits: 'xyz'"),
        ("seed", "9" * 4000 + "x", "seed: not hex digits: '" + "9" * 59 + "..."),
        ("listen", None, "listen: not an address: None"),
        (
            "journal",
            "127.0.0.1:" + "9" * 5000,
            "journal: not an address: '127.0.0.1:" + "9" * 49 + "...",
        ),
        ("known", 7, "known.pos: missing"),
        ("known.pos", "x", "known.pos: not a position: 'x'"),
        ("known.entries", {}, "known.entries: not a list: an object"),
    ],
    ids=lambda value: str(value)[:40],
)
def test_the_error_names_key_and_value(tmp_path: Path, path: str, new: Any, expected: str) -> None:
    assert error_line(tmp_path, path, new) == expected


def test_a_dedup_class_without_a_valid_scope_is_rejected(tmp_path: Path) -> None:
    lane = {
        "name": "web",
        "effect": "dedup",
        "dedup_window_us": 1,
        "deadline_us": 1,
        "importance": 1,
    }
    for scope, place in (
        ("all", api.Place.ALL),
        ("zone", api.Place.ZONE),
        ("cell", api.Place.CELL),
    ):
        settings = site_settings(["web"], lanes=[{**lane, "dedup_scope": scope}])
        assert parse_settings(settings).classes[0].group is place
    unfit: tuple[object, ...] = ("off", "rack", None, ABSENT)
    for invalid in unfit:
        with pytest.raises(ValueError, match=r"lanes\[0\].dedup_scope: "):
            parse_settings(
                changed(
                    site_settings(["web"], lanes=[lane | {"dedup_scope": ""}]),
                    "lanes.0.dedup_scope",
                    invalid,
                )
            )


def test_too_deep_nesting_is_a_bad_configuration(tmp_path: Path) -> None:
    for depth in range(850, 1000, 5):  # the least of these depths can just be parsed
        text = json.dumps(GOOD).replace('"127.0.0.1:9"', "[" * depth + "]" * depth)
        with pytest.raises(BadConfiguration):
            load(write(tmp_path, text))


# -- valid settings


@pytest.mark.parametrize(
    "settings",
    [
        site_settings(["einzige Klasse – ∑"]),
        site_settings([f"class {i}" for i in range(12)], [f"kind/{i}" for i in range(9)]),
        site_settings(["web"], []),
        site_settings(["web"], tenants=[]),
        site_settings(["web"], failure_domains=[], tenants=[{"name": "t"}] * 40),
        site_settings(["web"], novel={"a": [1]}, bounds__novel=None, lanes__0__novel=7),
    ],
)
def test_any_number_of_classes_and_kinds_is_read(settings: dict[str, Any]) -> None:
    read = parse_settings(settings)
    assert [each.name for each in read.classes] == [lane["name"] for lane in settings["lanes"]]
    assert [each.name for each in read.kinds] == settings["kinds"]


def test_floats_and_zeros_are_valid_numbers(tmp_path: Path) -> None:
    def floats(value: Any) -> Any:
        if isinstance(value, dict):
            return {key: floats(each) for key, each in value.items()}
        if isinstance(value, list):
            return [floats(each) for each in value]
        return float(value) if isinstance(value, int) and not isinstance(value, bool) else value

    sizes = {"sockets": 256.0}
    assert loaded(tmp_path, floats(SETTINGS), limits=sizes) == loaded(
        tmp_path, SETTINGS, limits={"sockets": 256}
    )
    none = site_settings(
        ["web"],
        quantum_us=0,
        rules={"ask_every_us": 0, "cold_us": 0, "fall_us": 0},
        costs={"probe": 0},
        family_info__fresh_offers=0,
        family_info__class_most=[-1],
        lanes__0__deadline_us=0,
    )
    read = loaded(tmp_path, none).settings
    assert (read.tick_us, read.fall_us, read.cold_us, read.classes[0].spread_most) == (1, 1, 0, 0)


def test_absent_or_zero_bounds_have_default_values(tmp_path: Path) -> None:
    absent: tuple[dict[str, float], ...] = (
        {},
        {"dial_timeout_us": 0, "max_retry_after_us": 0, "conn_idle_us": 0},
    )
    for bounds in absent:
        read = loaded(
            tmp_path,
            site_settings(["web"], bounds=SETTINGS["bounds"] | bounds),
            limits={"sockets": 256},
        )
        assert (read.dial_us, read.max_retry_after_us, read.conn_idle_us) == (
            250_000,
            1_000_000,
            30_000_000,
        )
    bounds = {"dial_timeout_us": 70_000.0, "max_retry_after_us": 3, "conn_idle_us": 4_000_000}
    read = loaded(tmp_path, site_settings(["web"], bounds=SETTINGS["bounds"] | bounds))
    assert (read.dial_us, read.max_retry_after_us, read.conn_idle_us) == (70_000, 1_000, 4_000_000)


def test_a_tick_leaves_time_before_the_shortest_deadline(tmp_path: Path) -> None:
    lanes = [
        {**SETTINGS["lanes"][0], "name": str(us), "deadline_us": us} for us in (50 * MS, 60 * S)
    ]
    for quantum_us, tick_us in ((2_000, 2_000), (40 * MS, 2_500), (10 * S, 2_500)):
        read = loaded(tmp_path, {**SETTINGS, "lanes": lanes, "quantum_us": quantum_us})
        assert (read.settings.tick_us, read.patience_us) == (tick_us, 60 * S)
        assert not read.settings.arrivals_told, (
            "offers count when sent, as machines do not report their arrival"
        )


def test_discovery_is_polled_at_a_bounded_rate() -> None:
    assert (
        parse_settings(site_settings(["web"], discovery="ask", rules__ask_every_us=0)).ask_every_us
        >= 100 * MS
    )


@pytest.mark.parametrize(
    ("figures", "values"),
    [
        ("cores:2000;memory:6.4e10;service:s", {}),  # thousandths of a core, bytes
        ("cores:1e-7;memory:0;service:Größe-∑", {}),
        ("cores:1;memory:1;service:s", {Code.HINT: b"2592000000"}),  # thirty days
        ("cores:1;memory:1;service:s", {Code.PATIENCE: b"86400000"}),  # a day
        ("cores:1;memory:1;service:s", {Code.NAME: b"0123456789ABCDEF"}),
        ("cores:1;memory:1;service:s;at:node 7 – Zürich", {}),
    ],
)
def test_a_set_up_in_the_sites_own_units_and_names_is_accepted(
    figures: str, values: dict[int, bytes]
) -> None:
    cls = parse_settings(site_settings(["web"])).classes[0]
    parameters = {
        Code.CLASS: b"web",
        Code.PATIENCE: b"50",
        Code.NAME: b"0123456789abcdef",
        Code.DESCRIPTION: b"x",
        Code.FIGURES: figures.encode(),
        **values,
    }
    assert setup.read(Message(Kind.SET_UP, 1, parameters), {"web": cls}).cls is cls


# -- exit status and SIGHUP


def test_run_ends_with_one_line_and_status_2(tmp_path: Path) -> None:
    changes = {
        "settings.lanes": [],
        "settings.costs.fleet": "dear",
        "settings.balancers": 10**400,
        "known": [],
    }
    for path, new in changes.items():
        ended = subprocess.run(
            [sys.executable, "-m", "wingbarrow.relay"],
            capture_output=True,
            text=True,
            timeout=60,
            cwd=ROOT,
            env={**os.environ, **write(tmp_path, changed(GOOD, path, new))},
        )
        assert ended.returncode == 2
        assert ended.stdout == ""
        assert ended.stderr.startswith("wingbarrow: ")
        assert ended.stderr.count("\n") == 1
        assert f": {path}" in ended.stderr
        assert "Traceback" not in ended.stderr


def test_run_continues_after_sighup_with_an_unusable_file(tmp_path: Path) -> None:
    environment = write(tmp_path, GOOD)
    process = subprocess.Popen(
        [sys.executable, "-m", "wingbarrow.relay"],
        stderr=subprocess.PIPE,
        text=True,
        cwd=ROOT,
        env={**os.environ, **environment},
    )
    assert process.stderr is not None
    try:

        def wait_for_line(word: str) -> str:
            assert process.stderr is not None
            return next(line for line in process.stderr if word in line)

        wait_for_line("ready")
        for value, key in (("{", "config.json"), ({**GOOD, "journal": 7}, "journal")):
            write(tmp_path, value)
            process.send_signal(signal.SIGHUP)
            line = wait_for_line("reload")
            assert "reload-refused" in line
            assert key in line
        assert process.poll() is None
        write(tmp_path, {**GOOD, "journal": "127.0.0.1:7"})
        process.send_signal(signal.SIGHUP)
        assert "reloaded" in wait_for_line("reload")
    finally:
        process.kill()
        process.wait()
        process.stderr.close()


# -- a task of each class is placed


def play(settings: dict[str, Any], patience_ms: int = 2000, machines: int = 2) -> None:
    """Place one task of each class, each of a service of its own."""
    names = [lane["name"] for lane in settings["lanes"]]

    def each(stage: Stage) -> None:
        for task, name in enumerate(names, 1):
            stage.owner.ask(
                task,
                name,
                patience_ms,
                name=f"{task:016x}",
                figures=f"cores:1;memory:1;service:s{task}",
            )
        stage.sleep(min(500, patience_ms))
        assert [stage.owner.kinds(task) for task in range(1, len(names) + 1)] == [
            [Kind.ANSWER]
        ] * len(names)
        for task, name in enumerate(names, 1):
            ((_, heard),) = stage.set_ups(task)
            assert heard.message.text(Code.CLASS) == name

    Stage(machines, settings=settings).run(each)


@pytest.mark.parametrize(
    ("settings", "patience_ms"),
    [
        (site_settings(["größte – ∑/%s\u2028{0}: 'x'\t"]), 2000),
        (site_settings([f"c{i}" for i in range(12)]), 2000),
        (site_settings(["web"], bounds__send_cap=1), 2000),
        (site_settings(["quick"], lanes__0__deadline_us=50_000), 50),
        (site_settings(["slow"], lanes__0__deadline_us=60 * S), 60_000),
        (site_settings(["web"], balancers=7, me=6, family_info__fresh_offers=2.5), 2000),
        (site_settings(["web"], balancers=7, me=6, quantum_us=0, rules__fall_us=0), 2000),
        (
            site_settings(["web"], family_info__spread_by=["zone"], family_info__class_most=[1.0]),
            2000,
        ),
    ],
)
def test_a_task_of_each_class_is_placed(settings: dict[str, Any], patience_ms: int) -> None:
    play(settings, patience_ms)


def test_kinds_cells_and_zones_have_the_sites_own_names(monkeypatch: pytest.MonkeyPatch) -> None:
    kinds = ["kind – ∑", "-1", "none"]
    plain, numbers = Machine.entry, iter(range(100))

    def entry(machine: Machine, lifecycle: str = "Ready", started_ms: int = 0) -> dict[str, Any]:
        i = next(numbers)
        return {
            **plain(machine, lifecycle, started_ms),
            "machineType": kinds[i % 3],
            "zone": ["", "Zürich 3"][i % 2],
            "cell": [-7, 0, 10**12][i % 3],
            "room": [2e4, 6.4e10],
        }

    monkeypatch.setattr(Machine, "entry", entry)
    settings = site_settings(
        ["any", "one", "two"],
        kinds,
        family_info__class_kind=[-1, 1, 2.0],
        family_info__cores_by_kind=[2e4] * 3,
        family_info__memory_by_kind=[6.4e10] * 3,
        family_info__spread_by=["cell", "zone", "machine"],
    )

    def each(stage: Stage) -> None:
        for task, name in enumerate(("any", "one", "two"), 1):
            stage.owner.ask(
                task, name, name=f"{task:016x}", figures="cores:1500;memory:8e9;service:Größe"
            )
        stage.sleep(500)
        assert [stage.owner.kinds(task) for task in (1, 2, 3)] == [[Kind.ANSWER]] * 3
        for task in (2, 3):
            ((machine, _),) = stage.set_ups(task)
            assert stage.machines.index(machine) % 3 == task - 1, (
                "not on a machine of the kind that its class needs"
            )

    Stage(6, settings=settings).run(each)


def test_send_cap_one_is_one_attempt() -> None:
    def full(stream: Stream, message: Message) -> None:
        stream.send(with_cause(Kind.RELEASE, message.task, Cause.FULL, {Code.REMARK: b"nc"}))

    def once(stage: Stage) -> None:
        for machine in stage.machines:
            machine.on_set_up = full
        stage.owner.ask(1)
        stage.sleep(1500)
        assert len(stage.set_ups(1)) == 1
        assert stage.owner.kinds(1) == [Kind.RELEASE]
        assert stage.owner.of(1)[0].cause == Cause.BUSY

    Stage(settings=site_settings(["web"], bounds__send_cap=1)).run(once)


def test_an_answer_within_a_deadline_of_a_minute_is_in_time() -> None:
    def late(stage: Stage) -> None:
        held: list[tuple[Stream, Message]] = []
        (machine,) = stage.machines
        machine.on_set_up = lambda stream, message: held.append((stream, message))
        stage.owner.ask(1, "slow", 60_000)
        stage.sleep(45_000)
        machine.take(*held[0])
        stage.sleep(50)
        assert stage.owner.kinds(1) == [Kind.ANSWER]
        assert len(held) == 1

    Stage(1, settings=site_settings(["slow"], lanes__0__deadline_us=60 * S)).run(late)


def test_a_placer_without_a_share_of_fresh_offers_waits_until_cold_machines_are_warm(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    plain = Machine.entry
    monkeypatch.setattr(
        Machine,
        "entry",
        lambda machine, lifecycle="Ready", started_ms=0: plain(
            machine, lifecycle, machine.hub.clock.wall_us() // 1000
        ),
    )

    def cold(stage: Stage) -> None:
        stage.owner.ask(1, patience_ms=3000)
        stage.sleep(900)
        assert stage.owner.of(1) == [] and not stage.set_ups(1), (
            "a cold machine was sent an offer without a share of the fresh offers"
        )
        stage.sleep(1500)
        assert stage.owner.kinds(1) == [Kind.ANSWER]

    rules = {"ask_every_us": 10 * S, "cold_us": S, "fall_us": 100 * MS}
    Stage(
        settings=site_settings(
            ["web"], balancers=9, me=4, family_info__fresh_offers=0.9, rules=rules
        )
    ).run(cold)
