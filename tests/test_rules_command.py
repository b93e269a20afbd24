"""`wingbarrow rules` against a placer in a separate process, which is the only voter.

Each test has its own placer, as tests change the rules and stop the placer.
"""

from __future__ import annotations

import json
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from wingbarrow.cli.main import main
from wingbarrow.lab.cluster import settings_text

AGREE = 'agree {\n    voter "placer-0"\n}\n'
WINGBARROW = [sys.executable, "-m", "wingbarrow"]
MAX_POSTS = 5  # of one Job


def run(*arguments: str) -> tuple[int, str]:
    """Run a command in a separate process; returns its exit code, and standard output followed by standard error."""
    done = subprocess.run(
        [*WINGBARROW, "rules", *arguments], capture_output=True, text=True, timeout=60
    )
    return done.returncode, done.stdout + done.stderr


@dataclass(frozen=True)
class Voter:
    """The placer under test, and its settings file."""

    url: str
    file: Path

    def ask(self, *arguments: str) -> tuple[int, str]:
        """Run a command on this placer in this process; returns its exit code and output."""
        done = CliRunner().invoke(main, ["rules", *arguments, "--url", self.url])
        return done.exit_code, done.output

    def state(self) -> dict[str, Any]:
        code, words = self.ask("status", "--json")
        assert code == 0, words
        state: dict[str, Any] = json.loads(words)
        return state

    def write(self, file: Path, *changes: tuple[str, str], more: str = "") -> str:
        """Write the placer's settings with replacements, each of which must match, to a new file; returns its path."""
        text = self.file.read_text()
        for old, new in changes:
            assert old in text
            text = text.replace(old, new)
        file.write_text(text + more)
        return str(file)


@pytest.fixture
def voter(tmp_path: Path) -> Iterator[Voter]:
    """A placer that has just started and acts on its first edition."""
    file = tmp_path / "placer.kdl"
    file.write_text(settings_text(0, 1, 1, 1, 0, str(tmp_path / "placer-state")) + AGREE)
    assert run("init", str(file)) == (0, "placer-0 may vote\n")
    process = subprocess.Popen(
        [*WINGBARROW, "serve", str(file)],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    assert process.stdout is not None
    try:
        voter = Voter(json.loads(process.stdout.readline())["url"], file)
        until = time.monotonic() + 60
        while "acts on e1" not in voter.ask("status")[1]:
            assert process.poll() is None
            assert time.monotonic() < until
        assert voter.state()["version"] == 1
        yield voter
        process.terminate()
        assert process.wait(20) == 0
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


def test_a_store_is_created_once(tmp_path: Path) -> None:
    file = tmp_path / "placer.kdl"
    file.write_text(settings_text(0, 1, 1, 1, 0, str(tmp_path / "state")) + AGREE)
    assert run("init", str(file)) == (0, "placer-0 may vote\n")
    code, words = run("init", str(file))
    assert code == 2
    assert "already" in words


def test_a_change_is_checked_proposed_listed_and_rolled_back(voter: Voter, tmp_path: Path) -> None:
    changed = voter.write(tmp_path / "new.kdl", ("most=3", "most=2"), more='bar "node-1"\n')
    code, words = voter.ask("propose", changed, "--dry-run")
    assert code == 0
    assert "class web: safe, 3 by cell -> safe, 2 by cell" in words
    assert "barred: node-1" in words
    assert "forbids some" in words
    assert "it would be accepted" in words
    code, words = voter.ask("propose", changed, "--why", "fewer to a rack")
    assert code == 0
    assert "accepted: version 2" in words
    code, words = voter.ask("propose", changed, "--base", "1")
    assert code == 1
    assert "has been accepted since" in words
    assert "fewer to a rack" in voter.ask("history")[1]
    assert "no longer barred: node-1" in voter.ask("diff", "2", "1")[1]
    code, words = voter.ask("rollback", "1")
    assert code == 0
    assert "version 3" in words
    assert voter.ask("rollback", "9")[0] == 1
    state = voter.state()
    assert state["version"] == 3
    assert state["voters"] == ["placer-0"]
    assert state["leader"] == "placer-0"


def job_without_a_machine(name: str) -> dict[str, Any]:
    """A Job that cannot be placed, as there is no machine; its patience is 1 s.

    A shorter patience makes the test flaky: admission rejects Jobs with less than two ticks (40 ms) of patience left
    after a reserve of an eighth, and dates an arrival by the poll before the one that found it, up to 50 ms early
    (`docs/promptness.md`). A patience of 100 ms left nothing for a process that waits 15 ms for a processor.
    """
    requests = {"cpu": "1", "memory": "1Gi"}
    container = {"name": "c", "resources": {"requests": requests}}
    return {
        "metadata": {"name": name, "annotations": {"wingbarrow.io/patience": "1s"}},
        "spec": {"template": {"spec": {"containers": [container]}}},
    }


def post(url: str, job: dict[str, Any]) -> None:
    """Create a Job; after a response 429 retry after the time in Retry-After, as clients of the API do."""
    request = urllib.request.Request(
        f"{url}/apis/batch/v1/namespaces/default/jobs",
        json.dumps(job).encode(),
        {"Content-Type": "application/json"},
    )
    for attempt in range(1, MAX_POSTS + 1):
        try:
            urllib.request.urlopen(request, timeout=10).close()
        except urllib.error.HTTPError as error:
            with error:
                if error.code != 429 or attempt == MAX_POSTS:
                    raise
                time.sleep(int(error.headers["Retry-After"]))
        else:
            return


def test_a_change_after_which_answers_get_worse_is_rolled_back(
    voter: Voter, tmp_path: Path
) -> None:
    changed = voter.write(tmp_path / "watched.kdl", ("attempts most=4", "attempts most=3"))
    begun = voter.state()
    before = json.dumps(begun["rules"], sort_keys=True)
    watching = [*WINGBARROW, "rules", "propose", changed, "--watch", "5", "--url", voter.url]
    with subprocess.Popen(watching, stdout=subprocess.PIPE, text=True) as process:
        try:
            assert process.stdout is not None
            assert any("accepted: version" in line for line in process.stdout)
            assert voter.state()["version"] == begun["version"] + 1
            for number in range(40):
                post(voter.url, job_without_a_machine(f"none-{number}"))
            out, _ = process.communicate(timeout=60)
        finally:
            process.kill()
    assert process.returncode == 3
    assert "back to version" in out
    after = voter.state()
    assert json.dumps(after["versions"][-1]["rules"], sort_keys=True) == before
    assert after["version"] == begun["version"] + 2


def test_a_floor_is_accepted_and_rules_that_forbid_it_are_rejected(
    voter: Voter, tmp_path: Path
) -> None:
    least = voter.write(tmp_path / "least.kdl", ("most=3", "most=1"), ("offers=20", "offers=0"))
    code, words = voter.ask("floor", least, "--lasts", "1h")
    assert code == 0, words
    barring = voter.write(tmp_path / "barring.kdl", more='bar "node-2"\n')
    code, words = voter.ask("propose", barring)
    assert code == 1
    assert "lower the floor first" in words
    assert voter.ask("floor", least, "--lasts", "soon")[0] == 2


def test_no_store_is_created_for_a_placer_that_is_no_voter(tmp_path: Path) -> None:
    file = tmp_path / "x.kdl"
    file.write_text(settings_text(0, 1, 1, 1))
    code, words = run("init", str(file))
    assert code == 2
    assert "no voter" in words


def test_recover_prints_the_risks_and_changes_nothing_without_yes_or_while_the_placer_runs(
    voter: Voter, tmp_path: Path
) -> None:
    code, words = run("recover", str(voter.file), "--yes")
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
