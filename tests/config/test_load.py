"""Settings files: every error is reported at once with its line, similar names are suggested, and errors reject all."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wingbarrow.config import SettingsError, load_file, load_text, parse_duration, parse_size
from wingbarrow.interface import Effect, Place
from wingbarrow.lab.cluster import settings_text

GOOD = settings_text(1, 3, 9, 8001, 8080, "/tmp/x")


def problems(text: str) -> list[tuple[int, str]]:
    with pytest.raises(SettingsError) as caught:
        load_text(text, "f.kdl")
    assert str(caught.value).startswith("f.kdl:")
    return caught.value.problems


def test_a_valid_file_is_read() -> None:
    read = load_text(GOOD)
    web, settlement = read.scheduler.classes
    assert (read.name, read.scheduler.index, read.scheduler.placers, read.port) == (
        "placer-1",
        1,
        3,
        8080,
    )
    assert web.spread is Place.CELL
    assert web.spread_most == 3
    assert settlement.effect is Effect.UNSAFE
    assert read.classes["web"].patience_us == 5_000_000
    assert read.scheduler.kinds[0].memory == 48.0


def test_all_errors_come_at_once_with_their_lines() -> None:
    text = """/* two
lines */
placer "p" index=3 of=2
/-class "off" { nonsense 1 }
clas "web"
class "web" effect="sfe" patience="5" {
    spred by="cell" most=3
    served calm="x"; served fade=0.1
}
list-source "a"
kind "k" cores=-1 memory="4Q"
limits { tasks-opn 5 }
"""
    found = problems(text)
    words = {line: [text for at, text in found if at == line] for line, _ in found}
    assert "did you mean 'class'" in words[5][0]
    assert "did you mean 'safe'" in words[6][0]
    assert "not a duration" in words[6][1]
    assert "did you mean 'spread'" in words[7][0]
    assert "given before, in line 8" in words[8][0]
    assert "number" in words[8][1]
    assert "port= is missing" in words[10][0]
    assert len(words[11]) == 2
    assert "did you mean 'tasks-open'" in words[12][0]


def test_contradicting_values_are_reported() -> None:
    text = """placer "p" index=3 of=2
list-source "a" port=1
class "s" effect="keyed" patience="1s" kind="smal"
class "s" effect="safe" patience="2h"
kind "small" cores=1 memory="1Gi"
"""
    lines = [line for line, _ in problems(text)]
    assert lines == [1, 3, 3, 4, 4]


@pytest.mark.parametrize(
    ("text", "line"),
    [
        ('placer "p\n', 1),
        (GOOD + "\nkind {{\n", GOOD.count("\n") + 2),
        ("a b=\n", 1),
        ("", 1),
        ("}", 1),
    ],
)
def test_invalid_kdl_is_reported_with_a_line(text: str, line: int) -> None:
    assert problems(text)[0][0] == line


@settings(max_examples=300, deadline=None)
@given(st.text(alphabet='ab"{};\\/-*#=1 \n', max_size=60), st.integers(0, len(GOOD)))
def test_any_text_raises_only_settings_errors(noise: str, at: int) -> None:
    try:
        load_text(GOOD[:at] + noise + GOOD[at:])
    except SettingsError as error:
        assert all(line >= 1 and text for line, text in error.problems)


def test_unreadable_files_are_reported(tmp_path: Path) -> None:
    (tmp_path / "bytes.kdl").write_bytes(b"placer\n\xff\xfe")
    (tmp_path / "big.kdl").write_bytes(b"//" + b"x" * (2 << 20))
    for name, line in (("none.kdl", 1), ("bytes.kdl", 2), ("big.kdl", 1)):
        with pytest.raises(SettingsError) as caught:
            load_file(tmp_path / name)
        assert caught.value.problems[0][0] == line


def test_durations_and_sizes() -> None:
    assert parse_duration("1m30s") == 90_000_000
    assert parse_duration("0.5ms") == 500
    assert parse_size("500m") == 0.5
    assert parse_size("2Gi") == 2 * 2**30
    for bad in ("", "5", "s", "5 s", "-5s", "5s5", "1e3s"):
        with pytest.raises(ValueError):
            parse_duration(bad)
    for bad in ("", "Gi", "1 Gi", "-1", "1e3", "1Qi"):
        with pytest.raises(ValueError):
            parse_size(bad)
