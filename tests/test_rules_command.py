"""`wingbarrow rules` against a placer that is a process of its own, and its only voter."""

from __future__ import annotations

import json
import subprocess
import sys
import urllib.request
from collections.abc import Iterator
from pathlib import Path

import pytest

from wingbarrow.lab.cluster import settings_text

AGREE = 'agree {\n    voter "placer-0"\n}\n'


def run(*arguments: str) -> tuple[int, str]:
    done = subprocess.run(
        [sys.executable, "-m", "wingbarrow", "rules", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
    )
    return done.returncode, done.stdout + done.stderr


@pytest.fixture(scope="module")
def placer(tmp_path_factory: pytest.TempPathFactory) -> Iterator[tuple[str, Path]]:
    """Its address, and its file of settings."""
    folder = tmp_path_factory.mktemp("voter")
    file = folder / "placer.kdl"
    file.write_text(settings_text(0, 1, 1, 1, 0, str(folder / "state")) + AGREE)
    assert run("init", str(file)) == (0, "placer-0 may vote\n")
    code, words = run("init", str(file))
    assert code == 2
    assert "already" in words
    process = subprocess.Popen(
        [sys.executable, "-m", "wingbarrow", "serve", str(file)],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    assert process.stdout is not None
    url = json.loads(process.stdout.readline())["url"]
    while "acts on e1" not in run("status", "--url", url)[1]:
        assert process.poll() is None
    yield url, file
    process.terminate()
    assert process.wait(20) == 0
    process.stdout.close()


def test_a_change_is_tried_proposed_seen_and_taken_back(
    placer: tuple[str, Path], tmp_path: Path
) -> None:
    url, file = placer
    changed = tmp_path / "new.kdl"
    changed.write_text(file.read_text().replace("most=3", "most=2") + 'bar "node-1"\n')
    code, words = run("propose", str(changed), "--dry-run", "--url", url)
    assert code == 0
    assert "class web: safe, 3 by cell -> safe, 2 by cell" in words
    assert "barred: node-1" in words
    assert "forbids some" in words
    assert "it would be accepted" in words
    code, words = run("propose", str(changed), "--why", "fewer to a rack", "--url", url)
    assert code == 0
    assert "accepted: version 2" in words
    code, words = run("propose", str(changed), "--base", "1", "--url", url)
    assert code == 1
    assert "has been accepted since" in words
    assert "fewer to a rack" in run("history", "--url", url)[1]
    assert "no longer barred: node-1" in run("diff", "2", "1", "--url", url)[1]
    code, words = run("rollback", "1", "--url", url)
    assert code == 0
    assert "version 3" in words
    assert run("rollback", "9", "--url", url)[0] == 1
    state = json.loads(run("status", "--json", "--url", url)[1])
    assert state["version"] == 3
    assert state["voters"] == ["placer-0"]
    assert state["leader"] == "placer-0"


def refuse(url: str, names: range) -> None:
    """Jobs that nobody can place: there is no machine, and their owners wait for 100 ms."""
    for number in names:
        job = {
            "metadata": {
                "name": f"none-{number}",
                "annotations": {"wingbarrow.io/patience": "100ms"},
            },
            "spec": {
                "template": {
                    "spec": {
                        "containers": [
                            {"name": "c", "resources": {"requests": {"cpu": "1", "memory": "1Gi"}}}
                        ]
                    }
                }
            },
        }
        request = urllib.request.Request(
            f"{url}/apis/batch/v1/namespaces/default/jobs",
            json.dumps(job).encode(),
            {"Content-Type": "application/json"},
        )
        urllib.request.urlopen(request, timeout=10).close()


def test_a_change_after_which_answers_get_worse_is_taken_back(
    placer: tuple[str, Path], tmp_path: Path
) -> None:
    url, file = placer
    changed = tmp_path / "watched.kdl"
    changed.write_text(file.read_text().replace("attempts most=4", "attempts most=3"))
    begun = json.loads(run("status", "--json", "--url", url)[1])
    before = json.dumps(begun["rules"], sort_keys=True)
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "wingbarrow",
            "rules",
            "propose",
            str(changed),
            "--watch",
            "5",
            "--url",
            url,
        ],
        stdout=subprocess.PIPE,
        text=True,
    )
    while json.loads(run("status", "--json", "--url", url)[1])["version"] == begun["version"]:
        assert process.poll() is None
    refuse(url, range(40))
    out, _ = process.communicate(timeout=60)
    assert process.returncode == 3
    assert "back to version" in out
    after = json.loads(run("status", "--json", "--url", url)[1])
    assert json.dumps(after["versions"][-1]["rules"], sort_keys=True) == before
    assert after["version"] == begun["version"] + 2


def test_a_floor_is_taken_and_what_forbids_it_refused(
    placer: tuple[str, Path], tmp_path: Path
) -> None:
    url, file = placer
    least = tmp_path / "least.kdl"
    least.write_text(file.read_text().replace("most=3", "most=1").replace("offers=20", "offers=0"))
    code, words = run("floor", str(least), "--lasts", "1h", "--url", url)
    assert code == 0, words
    barring = tmp_path / "barring.kdl"
    barring.write_text(file.read_text() + 'bar "node-2"\n')
    code, words = run("propose", str(barring), "--url", url)
    assert code == 1
    assert "lower the floor first" in words
    assert run("floor", str(least), "--lasts", "soon", "--url", url)[0] == 2


def test_a_file_that_is_no_voters_makes_no_store(tmp_path: Path) -> None:
    file = tmp_path / "x.kdl"
    file.write_text(settings_text(0, 1, 1, 1))
    code, words = run("init", str(file))
    assert code == 2
    assert "no voter" in words


def test_to_recover_says_what_it_risks_and_does_nothing_unasked_or_while_the_placer_runs(
    placer: tuple[str, Path], tmp_path: Path
) -> None:
    code, words = run("recover", str(placer[1]), "--yes")
    assert code == 2
    assert "another process has it open" in words
    file = tmp_path / "left.kdl"
    file.write_text(
        settings_text(0, 1, 1, 1, 0, str(tmp_path / "state"))
        + 'agree {\n    voter "placer-0"\n    voter "placer-1"\n    voter "placer-2"\n}\n'
        + 'allow-peer "127.0.0.0/8"\n'
    )
    code, words = run("recover", str(file))
    assert code == 2
    assert "no voter's store" in words
    assert run("init", str(file))[0] == 0
    code, words = run("recover", str(file))
    assert code == 3
    assert "voters placer-0, placer-1, placer-2" in words
    assert words.count("risked") == 3
    assert run("recover", str(file)) == (3, words), "nothing was done"
    assert run("recover", str(file), "--yes")[0] == 0
    code, words = run("recover", str(file))
    assert code == 3
    assert "term 1000000" in words
    assert "voters placer-0\n" in words
