"""A window's name may be used in one file only; the error names the file and line of its second definition."""

from __future__ import annotations

from pathlib import Path

import pytest

from wingbarrow.config.calendar import load_calendar
from wingbarrow.config.load import SettingsError

WINDOW = 'window "patch" start="2026-12-01T10:00:00" lasts="60s" { machines name="*"; }\n'


def test_a_window_defined_in_two_files_is_reported_with_file_and_line(tmp_path: Path) -> None:
    first, second = tmp_path / "a.kdl", tmp_path / "b.kdl"
    first.write_text(WINDOW)
    second.write_text("// a line\n\n" + WINDOW)
    with pytest.raises(SettingsError) as caught:
        load_calendar([first, second])
    assert caught.value.problems == [(3, "window 'patch' is also defined in an earlier file")]
    assert str(second) in str(caught.value)
