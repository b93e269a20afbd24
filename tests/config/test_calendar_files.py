"""A window's name belongs to one file; the message says in which file and line it stands again."""

from __future__ import annotations

from pathlib import Path

import pytest

from wingbarrow.config.calendar import load_calendar
from wingbarrow.config.load import SettingsError

WINDOW = 'window "patch" start="2026-12-01T10:00:00" lasts="60s" { machines name="*"; }\n'


def test_a_window_that_stands_in_two_files_is_named_by_file_and_line(tmp_path: Path) -> None:
    first, second = tmp_path / "a.kdl", tmp_path / "b.kdl"
    first.write_text(WINDOW)
    second.write_text("// a line\n\n" + WINDOW)
    with pytest.raises(SettingsError) as caught:
        load_calendar([first, second])
    assert caught.value.problems == [(3, "window 'patch' stands in an earlier file too")]
    assert str(second) in str(caught.value)
