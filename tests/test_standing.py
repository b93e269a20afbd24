"""Plays of single days: what is read of the bench's report, and the exit status, with a stand-in for the bench."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest

from benchmarks import plays, standing

RULES = ("drain", "dup", "failback", "lost", "own")


def report(**changed: Any) -> dict[str, Any]:
    """One whole report that passes, with some of the row's fields changed."""
    row = {
        "name": "roll+mass",
        "seed": 7,
        "fault": None,
        "gate": None,
        "score": 0.84,
        "served": 0.8,
        "served_least": 0.4,
        "by_class": [["quick", 0.9, 0.5], ["slow", 0.7, 0.45], ["rare", 0.1, 0.0]],
        "by_tenant": [["one", 0.5, 0.3]],
        "caps": [88, 984, 0.9],
        "files": 640,
        "rules": dict.fromkeys(RULES, 0),
        "sound": True,
        **changed,
    }
    day = {
        "name": "roll+mass",
        "site": "hall",
        "breaks": {},
        "fault": None,
        "row": row,
        "real": {"seen": {"restart_s": [0.2, 0.31, 0.25]}},
    }
    return {"days": [day], "gate": {"passed": True, "why": None}, "score": 0.84}


def read(whole: object) -> plays.Report:
    return plays.parse(whole)[0]


def test_a_play_that_passed_shows_all_its_figures() -> None:
    found = read(report())
    assert found.failures() == []
    assert found.text() == (
        "rules ok  gate passed  score 0.840  served 0.800  wanted 0.400  class +0.250 slow  tenant +0.200 one  third -"
        "  ready 1.00 of 3 (worst 0.3 s)  crashes 0  descriptors 640 of 984"
    )


def test_a_broken_rule_is_named() -> None:
    found = read(report(rules={**dict.fromkeys(RULES, 0), "lost": 2}, score=0.0))
    assert found.failures() == ["rule lost"]
    assert found.text().startswith("rules broke lost  gate passed")


def test_a_break_that_the_rules_table_does_not_count_is_named_too() -> None:
    whole = report()
    whole["days"][0]["breaks"] = {"own": [1.5]}
    assert read(whole).failures() == ["rule own"]


def test_a_crash_is_told_with_its_words() -> None:
    found = read(report(fault="node n3 ended\nby itself"))
    assert found.failures() == ["fault: node n3 ended by itself"]
    assert "crashes 1 (node n3 ended by itself)" in found.text()


def test_a_crash_that_the_day_alone_tells_counts() -> None:
    whole = report()
    whole["days"][0]["fault"] = "node n3 ended"
    assert read(whole).failures() == ["fault: node n3 ended"]


def test_a_failed_gate_gives_its_reason() -> None:
    whole = report()
    whole["gate"] = {"passed": False, "why": "served too little"}
    assert read(whole).failures() == ["gate: served too little"]
    assert read(report(gate="restarts late")).failures() == ["gate: restarts late"]
    assert read(report(gate=False)).failures() == ["gate: no reason said"]


def test_a_gate_of_which_nothing_is_said_neither_fails_nor_passes() -> None:
    whole = report()
    del whole["gate"]
    found = read(whole)
    assert found.gate is None
    assert found.failures() == []
    assert "gate not said" in found.text()


@pytest.mark.parametrize(
    ("changed", "wrong"),
    [
        ({"served": 0.39}, "served under what is wanted"),
        (
            {"by_class": [["quick", 0.9, 0.5], ["slow", 0.44, 0.45]]},
            "class slow under what is wanted",
        ),
        ({"by_tenant": [["one", 0.29, 0.3]]}, "tenant one under what is wanted"),
        ({"by_third": [["last", 0.1, 0.3]]}, "third last under what is wanted"),
        ({"files": 985}, "descriptors over the limit"),
        ({"sound": False}, "the bench calls the play unsound"),
    ],
)
def test_what_falls_short_fails_though_the_gate_says_nothing(
    changed: dict[str, Any], wrong: str
) -> None:
    whole = report(**changed)
    whole["gate"] = None
    assert read(whole).failures() == [wrong]


@pytest.mark.parametrize(
    ("took", "failures"),
    [
        ([0.2] * 9 + [10.5], []),
        ([0.2] * 8 + [10.5, 11], ["restarts late"]),
        ([0.2, None], ["restarts late"]),
        ([], []),
    ],
)
def test_nine_in_ten_restarts_have_to_be_ready_in_time(
    took: list[float | None], failures: list[str]
) -> None:
    whole = report()
    whole["days"][0]["real"]["seen"]["restart_s"] = took
    assert read(whole).failures() == failures


def test_a_day_by_itself_is_read_like_one_of_several() -> None:
    assert read(report()["days"][0]).failures() == []


def test_missing_fields_show_as_dashes_and_the_play_does_not_pass() -> None:
    found = read({"days": [{"name": "roll+mass", "row": {"name": "roll+mass"}}]})
    assert found.text() == (
        "rules -  gate not said  score -  served -  wanted -  class -  tenant -  third -  ready -  crashes -"
        "  descriptors - of -"
    )
    assert found.failures() == [
        "report without rules",
        "report without fault",
        "report without score",
        "report without served",
    ]


@pytest.mark.parametrize(
    "whole",
    [
        [],
        3,
        {"days": []},
        {"days": [1]},
        {"days": {}},
        {"days": [{"row": None}]},
        {"days": [{"row": {}}]},
        report(rules={"lost": "none"}),
        report(by_class=[["quick", "much", 0.5]]),
        report(by_class=[["quick"]]),
    ],
)
def test_what_is_not_of_the_form_cannot_be_read(whole: object) -> None:
    with pytest.raises(plays.Unreadable):
        plays.parse(whole)


@pytest.mark.parametrize("text", [json.dumps(report())[:-20], "", "[" * 100_000, "\0"])
def test_a_torn_report_cannot_be_read(tmp_path: Path, text: str) -> None:
    path = tmp_path / "report.json"
    path.write_text(text)
    with pytest.raises(plays.Unreadable):
        plays.read(path)


def test_a_report_that_is_not_there_or_too_long_cannot_be_read(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with pytest.raises(plays.Unreadable, match="no report"):
        plays.read(tmp_path / "report.json")
    (tmp_path / "report.json").write_text(json.dumps(report()))
    monkeypatch.setattr(plays, "MOST_BYTES", 100)
    with pytest.raises(plays.Unreadable, match="over 100 bytes"):
        plays.read(tmp_path / "report.json")


STAND_IN = '''#!{python}
"""Writes the report named by the seed and keeps its own arguments."""
import json, os, pathlib, sys, time
argv = sys.argv[1:]
here = pathlib.Path(__file__).parent
seed = argv[argv.index("--seed") + 1]
(here / ("argv-" + seed)).write_text(json.dumps(argv))
print("playing")
if (here / "slow").exists():
    (here / "pid").write_text(str(os.getpid()))
    (here / "pid").rename(here / "began")
    time.sleep(60)
source = here / ("report-" + seed)
if source.exists():
    pathlib.Path(argv[argv.index("--json") + 1]).write_text(source.read_text())
print("snapshot none")
sys.exit(int((here / "status").read_text()) if (here / "status").exists() else 0)
'''


@pytest.fixture
def stand(tmp_path: Path) -> Path:
    """A folder with a stand-in for the bench, a checkout and a site."""
    bench = tmp_path / "bench"
    bench.write_text(STAND_IN.replace("{python}", sys.executable))
    bench.chmod(0o755)
    (tmp_path / "root" / "deploy").mkdir(parents=True)
    (tmp_path / "root" / "deploy" / "balancer.toml").write_text("")
    (tmp_path / "hall.toml").write_text("")
    return tmp_path


def lay(stand: Path, seed: int, **changed: Any) -> None:
    (stand / f"report-{seed}").write_text(json.dumps(report(seed=seed, **changed)))


def bench_is_gone(stand: Path) -> bool:
    try:
        os.kill(int((stand / "began").read_text()), 0)
    except ProcessLookupError:
        return True
    return False


def play(stand: Path, *more: str) -> int:
    return standing.main(["--bench", str(stand / "bench"), "--root", str(stand / "root"), *more])


def asked(stand: Path, seed: int) -> list[str]:
    return ["--play", f"{stand / 'hall.toml'}:roll+mass:{seed}"]


def test_plays_that_pass_end_with_0(stand: Path, capsys: pytest.CaptureFixture[str]) -> None:
    lay(stand, 7)
    lay(stand, 8)
    assert play(stand, *asked(stand, 7), *asked(stand, 8), "--at-once", "2") == 0
    lines = capsys.readouterr().out.splitlines()
    assert sorted(line.split("  ")[0] for line in lines[:2]) == [
        "hall roll+mass 7",
        "hall roll+mass 8",
    ]
    assert all(line.endswith("  passed") for line in lines[:2])
    assert lines[2:] == ["2 plays: 2 passed, 0 failed, 0 not played or not read"]


def test_the_bench_gets_the_play_as_arguments(stand: Path) -> None:
    lay(stand, 7)
    assert (
        play(
            stand,
            *asked(stand, 7),
            "--nodes",
            "30",
            "--logs",
            str(stand / "logs"),
            "--why",
            "A look; $HOME",
        )
        == 0
    )
    argv = json.loads((stand / "argv-7").read_text())
    place = argv.index("--json")
    assert argv[:place] == ["../hall.toml", "--rough", "roll+mass", "--seed", "7", "--nodes", "30"]
    assert argv[place + 2 :] == [
        "--logs",
        str(stand / "logs" / "hall-roll+mass-7"),
        "--why",
        "A look; $HOME",
    ]
    assert not Path(argv[place + 1]).exists()


def test_days_and_seeds_are_played_each_with_each(
    stand: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    for seed in (7, 8, 11):
        lay(stand, seed)
    assert (
        play(stand, "--site", str(stand / "hall.toml"), "--days", "roll+mass", "--seeds", "7-8,11")
        == 0
    )
    assert "3 plays: 3 passed" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("changed", "words"),
    [
        ({"rules": {"lost": 1}}, "FAILED: rule lost"),
        ({"fault": "n1 ended"}, "FAILED: fault: n1 ended"),
        ({"gate": "too little served"}, "FAILED: gate: too little served"),
        ({"score": None}, "report without score"),
    ],
)
def test_one_failed_play_among_others_ends_with_1(
    stand: Path, capsys: pytest.CaptureFixture[str], changed: dict[str, Any], words: str
) -> None:
    lay(stand, 7, **changed)
    lay(stand, 8)
    assert play(stand, *asked(stand, 7), *asked(stand, 8)) == 1
    out = capsys.readouterr().out
    assert words in out
    assert "2 plays: 1 passed, 1 failed, 0 not played or not read" in out


@pytest.mark.parametrize(
    "text",
    [
        None,
        "",
        '{"days": [',
        json.dumps(report(seed=9)),
        json.dumps(report(name="calm+mass")),
    ],
)
def test_a_play_whose_report_cannot_be_read_ends_with_1(
    stand: Path, capsys: pytest.CaptureFixture[str], text: str | None
) -> None:
    if text is not None:
        (stand / "report-7").write_text(text)
    assert play(stand, *asked(stand, 7)) == 1
    out = capsys.readouterr().out
    assert "not read" in out
    assert "the bench ended with 0: snapshot none" in out
    assert "0 passed, 0 failed, 1 not" in out


def test_a_kept_report_of_an_earlier_play_is_not_read_for_this_one(stand: Path) -> None:
    lay(stand, 7)
    assert play(stand, *asked(stand, 7), "--reports", str(stand / "kept")) == 0
    assert (stand / "kept" / "hall-roll+mass-7.json").exists()
    (stand / "report-7").unlink()
    assert play(stand, *asked(stand, 7), "--reports", str(stand / "kept")) == 1


def test_a_bench_that_ends_otherwise_than_with_0_has_not_passed(
    stand: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    lay(stand, 7)
    (stand / "status").write_text("3")
    assert play(stand, *asked(stand, 7)) == 1
    assert "FAILED: the bench ended with 3" in capsys.readouterr().out


def test_a_bench_that_cannot_be_started_has_not_played(
    stand: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (stand / "bench").chmod(0o644)
    assert play(stand, *asked(stand, 7)) == 1
    assert "not played" in capsys.readouterr().out


def test_a_play_that_takes_too_long_is_ended(
    stand: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    lay(stand, 7)
    (stand / "slow").write_text("")
    began = time.monotonic()
    assert play(stand, *asked(stand, 7), "--most-s", "1") == 1
    assert time.monotonic() - began < 30
    assert bench_is_gone(stand)
    assert "not played to its end within 1 s" in capsys.readouterr().out


def test_a_signal_ends_the_play_too(stand: Path) -> None:
    lay(stand, 7)
    (stand / "slow").write_text("")
    command = [
        sys.executable,
        "-m",
        "benchmarks.standing",
        "--bench",
        str(stand / "bench"),
        "--root",
        str(stand / "root"),
        *asked(stand, 7),
        "--reports",
        str(stand / "kept"),
    ]
    running = subprocess.Popen(
        command, cwd=standing.ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE
    )
    until = time.monotonic() + 20
    while not (stand / "began").exists() and running.poll() is None and time.monotonic() < until:
        time.sleep(0.05)
    running.terminate()
    running.communicate(timeout=30)
    assert running.returncode == 143
    assert bench_is_gone(stand)


@pytest.mark.parametrize(
    ("more", "words"),
    [
        (["--play", "HALL:roll+mass"], "SITE:DAY:SEED"),
        (["--play", "HALL:roll mass:7"], "no day"),
        (["--play", "HALL:roll+mass:-7"], "no seed"),
        (["--play", "nowhere:roll+mass:7"], "no site nowhere"),
        (["--play", "HALL:roll+mass:7", "--play", "HALL:roll+mass:7"], "asked for twice"),
        (["--play", "HALL:roll+mass:7", "--at-once", "5"], "--at-once"),
        (["--play", "HALL:roll+mass:7", "--at-once", "0"], "--at-once"),
        (["--play", "HALL:roll+mass:7", "--nodes", "0"], "--nodes"),
        (["--play", "HALL:roll+mass:7", "--most-s", "0"], "--most-s"),
        (["--play", "HALL:roll+mass:7", "--full"], "--full"),
        (["--play", "HALL:roll+mass:7", "--why", "x" * 120], "--why"),
        (["--play", "HALL:roll+mass:7", "--bench", "nowhere"], "kit is not beside"),
        (["--play", "HALL:roll+mass:7", "--root", "nowhere"], "no checkout"),
        (["--days", "roll+mass", "--seeds", "7"], "go together"),
        (["--site", "HALL", "--days", "roll+mass", "--seeds", "7-"], "no seed and no range"),
        (["--site", "HALL", "--days", "roll+mass", "--seeds", "8-7"], "1 to 100"),
        (["--site", "HALL", "--days", "roll+mass", "--seeds", "1-999999999"], "1 to 100"),
        (["--site", "HALL", "--days", "a,b,c", "--seeds", "1-100"], "200 plays at most"),
        ([], "--why"),
    ],
)
def test_bad_arguments_end_with_2_and_one_line(
    stand: Path, capsys: pytest.CaptureFixture[str], more: list[str], words: str
) -> None:
    assert play(stand, *[part.replace("HALL", str(stand / "hall.toml")) for part in more]) == 2
    said = capsys.readouterr()
    assert words in said.err
    assert said.err.count("\n") == 1
    assert not said.out
    assert not list(stand.glob("argv-*"))


def test_the_line_for_a_commit_names_each_day_and_the_gate() -> None:
    printed = (
        "calm+mass   G 0.724  floor 0.382  top 0.788  descriptors 486 of 748  score 0.84\n"
        "score of the real nodes 0.777 (seven tenths)\nGATE passed\n"
    )
    assert standing.summary(printed) == (
        "From simulated servers: GATE passed; 0.777; calm+mass 0.84 (486 of 748 descriptors)"
    )
