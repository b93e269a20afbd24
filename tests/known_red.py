"""KNOWN-RED.txt: tests that fail for a real fault and are expected to; they are printed, and the fault is mended first.

One line each, `test node id | cause | issue`, three at most. Blank lines and lines that begin with # are passed over;
without the file there are none. Such a test is a strict expected failure: where it passes, the run fails.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from fnmatch import fnmatch
from pathlib import Path

import pytest

NAME = "KNOWN-RED.txt"  # at the repository's root
MOST = 3
BETWEEN = " | "


@dataclass(frozen=True, slots=True)
class Line:
    """A test by its node id, why it fails, and the issue that tells of it."""

    node: str
    cause: str
    issue: str

    @property
    def file(self) -> str:
        """The test's file, from the root."""
        return self.node.partition("::")[0]


def parse(text: str) -> list[Line]:
    """The lines of the file; ValueError says which has another form, and where there are too many."""
    lines: list[Line] = []
    for number, raw in enumerate(text.splitlines(), 1):
        line = raw.strip()
        if not line or line.startswith("#"):
            continue
        parts = [
            part.strip() for part in line.rsplit(BETWEEN, 2)
        ]  # a node id may hold such a bar, in brackets
        if len(parts) != 3 or not all(parts) or not all(parts[0].partition(".py::")):
            raise ValueError(
                f"line {number}: not of the form `test node id | cause | issue`: {line[:100]}"
            )
        if any(parts[0] == known.node for known in lines):
            raise ValueError(f"line {number}: a second one of {parts[0]}")
        lines.append(Line(*parts))
    if len(lines) > MOST:
        raise ValueError(f"{len(lines)} lines, and no more than {MOST} may be")
    return lines


class KnownRed:
    """Marks the tests that the file names, and tells of them at the end of the run."""

    def __init__(self, config: pytest.Config) -> None:
        path = config.rootpath / NAME
        try:
            self.lines = parse(path.read_text("utf-8")) if path.exists() else []
            for line in self.lines:
                self._check_file(config, line.file)
        except ValueError as error:
            raise pytest.UsageError(f"{NAME}: {error}") from None
        self._collected: set[str] = set()  # files that could be read

    @staticmethod
    def _check_file(config: pytest.Config, file: str) -> None:
        """ValueError where no run would collect it."""
        if not (config.rootpath / file).is_file():
            raise ValueError(f"no such file: {file}")
        folders = [Path(folder) for folder in config.getini("testpaths") or ["."]]
        named = any(fnmatch(Path(file).name, pattern) for pattern in config.getini("python_files"))
        if not named or not any(folder in Path(file).parents for folder in folders):
            raise ValueError(f"a file that is not collected: {file}")

    def pytest_collectreport(self, report: pytest.CollectReport) -> None:
        """Note the files that could be read."""
        if report.passed:
            self._collected.add(report.nodeid)

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(
        self, config: pytest.Config, items: list[pytest.Item]
    ) -> None:
        """Mark the tests, before any are deselected; UsageError where a line names none."""
        found = {item.nodeid: item for item in items}
        for line in self.lines:
            if line.node in found:
                found[line.node].add_marker(
                    pytest.mark.xfail(strict=True, reason=f"{line.cause} ({line.issue})")
                )
            elif line.file in self._collected and _asked_in_whole(config, line.file):
                raise pytest.UsageError(f"{NAME}: no such test: {line.node}")

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Each line with what became of it in this run."""
        if not self.lines:
            return
        states: dict[str, str] = {}
        for outcome, state in (
            ("xfailed", "fails as known"),
            ("failed", "FAILED"),
            ("error", "ERROR"),
            ("skipped", "skipped"),
        ):
            states |= {report.nodeid: state for report in terminalreporter.getreports(outcome)}
        terminalreporter.section("known red")
        for line in self.lines:
            told = states.get(line.node, "not run here")
            terminalreporter.line(f"{told}: {line.node}{BETWEEN}{line.cause}{BETWEEN}{line.issue}")


def _asked_in_whole(config: pytest.Config, file: str) -> bool:
    """Whether the run was asked for all tests of a file, and not for some by name or by their last failure."""
    if config.getoption("lf", False):
        return False
    path = config.rootpath / file
    asked: Sequence[str] = [arg for arg in config.args if "::" not in arg]
    folders = [(config.invocation_params.dir / arg).resolve() for arg in asked]
    return any(folder == path or folder in path.parents for folder in folders)
