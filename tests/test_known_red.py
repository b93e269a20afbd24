"""KNOWN-RED.txt, by runs of this project's conftest over small tests."""

from __future__ import annotations

import os
import re
import shutil
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

import pytest

from tests import known_red

ROOT = Path(__file__).parent.parent
OK, FAILED, MISUSED = 0, 1, 4  # statuses of pytest
TESTS = {
    "tests/test_one.py": """
        import pytest
        def test_red(): assert False
        def test_fails_too(): assert False
        def test_passes(): pass
        @pytest.mark.parametrize("text", ["a | b"])
        def test_named(text): assert False
        class TestGroup:
            def test_within(self): assert False
        """,
    "tests/peers/__init__.py": "",
    "tests/peers/test_two.py": "def test_fine(): pass\n",
}
# As in this project's own; what else that one loads takes a second each time.
CONFTEST = """
from tests.known_red import KnownRed
def pytest_configure(config): config.pluginmanager.register(KnownRed(config))
"""
FAILS = "tests/test_one.py::test_red"
REST = [
    "tests/test_one.py::test_fails_too",
    "tests/test_one.py::test_named[a | b]",
    "tests/test_one.py::TestGroup::test_within",
]


@dataclass
class Project:
    """A folder with tests of its own, and with this project's way to read the file."""

    root: Path

    def run(self, text: str | None, *args: str) -> tuple[int, str]:
        """Run pytest with such a file: its status and what it printed."""
        if text is not None:
            (self.root / known_red.NAME).write_text(text, "utf-8")
        done = subprocess.run(
            [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *args],
            cwd=self.root,
            timeout=120,
            capture_output=True,
            text=True,
            env={
                **os.environ,
                "PYTHONPATH": f"{self.root}{os.pathsep}{ROOT}",
                "PYTEST_DISABLE_PLUGIN_AUTOLOAD": "1",
            },
        )
        return done.returncode, done.stdout + done.stderr


@pytest.fixture
def project(tmp_path: Path) -> Project:
    (tmp_path / "tests" / "peers").mkdir(parents=True)
    for name in ("__init__.py", "known_red.py"):
        shutil.copy(ROOT / "tests" / name, tmp_path / "tests" / name)
    (tmp_path / "tests" / "conftest.py").write_text(CONFTEST)
    for path, text in TESTS.items():
        lines = text.splitlines()
        indent = min((len(line) - len(line.lstrip()) for line in lines if line.strip()), default=0)
        (tmp_path / path).write_text("\n".join(line[indent:] for line in lines) + "\n")
    (tmp_path / "pyproject.toml").write_text('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n')
    return Project(tmp_path)


def lines(*nodes: str) -> str:
    return "".join(f"{node} | a cause of it | #7\n" for node in nodes)


def test_without_a_file_nothing_is_expected_to_fail(project: Project) -> None:
    status, out = project.run(None)
    assert status == FAILED
    assert "4 failed, 2 passed" in out
    assert "known red" not in out


def test_three_fail_as_known_and_are_printed_and_others_fail_the_run(project: Project) -> None:
    status, out = project.run(f"# mended first next time\n\n  {lines(*REST)}")
    assert status == FAILED
    assert "1 failed, 2 passed, 3 xfailed" in out
    for node in REST:
        assert f"fails as known: {node} | a cause of it | #7\n" in out
    status, out = project.run(None, "--deselect", FAILS)  # with these alone it passes
    assert status == OK
    assert "2 passed, 1 deselected, 3 xfailed" in out
    assert out.count("fails as known: ") == 3


def test_one_that_passes_fails_the_run(project: Project) -> None:
    status, out = project.run(
        lines("tests/test_one.py::test_passes"), "tests/test_one.py", "-k", "test_passes"
    )
    assert status == FAILED
    assert "[XPASS(strict)] a cause of it (#7)" in out
    assert "FAILED: tests/test_one.py::test_passes | a cause of it | #7\n" in out


@pytest.mark.parametrize(
    ("text", "told"),
    [
        (lines("tests/test_one.py::test_nowhere"), "no such test: tests/test_one.py::test_nowhere"),
        (lines("tests/test_one.py::test_named"), "no such test: tests/test_one.py::test_named"),
        (lines("tests/test_three.py::test_red"), "no such file: tests/test_three.py"),
        (lines("pyproject.toml.py::test_red"), "no such file: pyproject.toml.py"),
        (lines("tests/known_red.py::parse"), "a file that is not collected: tests/known_red.py"),
    ],
)
def test_a_line_that_names_no_test_fails_the_run(project: Project, text: str, told: str) -> None:
    status, out = project.run(text)
    assert status == MISUSED
    assert f"{known_red.NAME}: {told}" in out
    assert "Traceback" not in out


def test_too_many_lines_and_lines_of_another_form_fail_the_run(project: Project) -> None:
    for text, told in (
        (lines(FAILS, *REST), "4 lines, and no more than 3 may be"),
        (FAILS, "line 1: not of the form"),
    ):
        status, out = project.run(text)
        assert status == MISUSED
        assert f"{known_red.NAME}: {told}" in out
        assert "Traceback" not in out


@pytest.mark.parametrize(
    ("text", "told"),
    [
        (lines(FAILS, *REST), "4 lines, and no more than 3 may be"),
        (lines(FAILS, FAILS), f"line 2: a second one of {FAILS}"),
        (f"{FAILS}\n", "line 1: not of the form"),
        (f"{FAILS} | a cause\n", "line 1: not of the form"),
        (f"{FAILS} |  | #7\n", "line 1: not of the form"),
        (f"{FAILS} | a cause | \n", "line 1: not of the form"),
        (lines("tests/test_one.py"), "line 1: not of the form"),
        (lines("test_red"), "line 1: not of the form"),
    ],
)
def test_what_has_another_form_is_named(text: str, told: str) -> None:
    with pytest.raises(ValueError, match=re.escape(told)):
        known_red.parse(text)


def test_a_run_of_other_folders_passes_over_a_line_and_says_so(project: Project) -> None:
    text = lines("tests/test_one.py::test_nowhere")  # only who collects that file can know
    status, out = project.run(text, "tests/peers")
    assert status == OK
    assert "not run here: tests/test_one.py::test_nowhere" in out
    status, _ = project.run(text, "tests", "--ignore=tests/peers")
    assert status == MISUSED
    status, _ = project.run(text, "tests", "--ignore=tests/test_one.py")
    assert status == OK
    status, out = project.run(lines(FAILS), "tests", "--ignore=tests/peers")
    assert status == FAILED
    assert f"fails as known: {FAILS}" in out
    assert "3 failed, 1 passed, 1 xfailed" in out
    status, _ = project.run(
        lines("tests/test_three.py::test_red"), "tests/peers"
    )  # a missing file, all can see
    assert status == MISUSED


def test_a_run_of_some_tests_of_a_file_passes_over_the_others(project: Project) -> None:
    status, out = project.run(
        lines("tests/test_one.py::test_nowhere"), "tests/test_one.py::test_passes"
    )
    assert status == OK
    assert "1 passed" in out
    status, out = project.run(lines(FAILS), "tests", "-k", "test_passes or test_fine")
    assert status == OK
    assert f"not run here: {FAILS}" in out


def test_a_file_that_cannot_be_read_is_told_as_such(project: Project) -> None:
    (project.root / "tests" / "test_one.py").write_text("raise RuntimeError('broken file')\n")
    status, out = project.run(lines(FAILS))
    assert status not in (OK, MISUSED)
    assert "broken file" in out


def test_this_projects_own_conftest_reads_it(project: Project) -> None:
    shutil.copy(ROOT / "tests" / "conftest.py", project.root / "tests" / "conftest.py")
    status, out = project.run(
        lines(FAILS), "tests/test_one.py", "--deselect", REST[0], "-k", "red or passes"
    )
    assert status == OK
    assert f"fails as known: {FAILS} | a cause of it | #7\n" in out
    assert "1 xfailed" in out


def test_the_file_of_this_project_has_the_form() -> None:
    path = ROOT / known_red.NAME
    assert len(known_red.parse(path.read_text("utf-8") if path.exists() else "")) <= known_red.MOST
