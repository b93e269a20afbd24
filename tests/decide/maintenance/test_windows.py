"""Maintenance windows: recurrence, exceptions, daylight saving time, midnight, invalid input."""

from __future__ import annotations

from datetime import date, datetime
from pathlib import Path

import pytest

from wingbarrow.config import SettingsError
from wingbarrow.config.calendar import Calendar, load_calendar, read_ics, read_kdl
from wingbarrow.decide.maintenance.windows import (
    MAX_OCCURRENCES,
    SECOND,
    Selector,
    Series,
    UnsafePolicy,
    check_rule,
    expand,
    time_zone,
    to_wall_us,
)

HOUR = 3600 * SECOND
HELSINKI = time_zone("Europe/Helsinki")


def series(start: datetime, rule: str = "", duration: int = 2 * HOUR, **more: object) -> Series:
    return Series("w", start, duration, duration, rule, selectors=(Selector(name="*"),), **more)  # type: ignore[arg-type]


def us(year: int, month: int, day: int, hour: int = 0, minute: int = 0) -> int:
    return to_wall_us(datetime(year, month, day, hour, minute, tzinfo=time_zone("UTC")))


def test_a_weekly_window_keeps_its_local_hour_over_both_changes() -> None:
    weekly = series(datetime(2026, 3, 15, 5, 0, tzinfo=HELSINKI), "FREQ=WEEKLY")
    found = expand(weekly, us(2026, 3, 1), us(2026, 11, 10))
    assert [each.start_us for each in found[:3]] == [
        us(2026, 3, 15, 3),
        us(2026, 3, 22, 3),
        us(2026, 3, 29, 2),
    ]
    assert found[-1].start_us == us(2026, 11, 8, 3)
    assert {each.end_us - each.start_us for each in found} == {2 * HOUR}


def test_a_skipped_local_start_moves_forward_and_a_repeated_one_is_the_first() -> None:
    skipped = series(datetime(2026, 3, 29, 3, 30, tzinfo=HELSINKI))  # 03:00 to 04:00 is skipped
    assert expand(skipped, us(2026, 3, 28), us(2026, 3, 30))[0].start_us == us(2026, 3, 29, 1, 30)
    twice = series(datetime(2026, 10, 25, 3, 30, tzinfo=HELSINKI))
    assert expand(twice, us(2026, 10, 24), us(2026, 10, 26))[0].start_us == us(2026, 10, 25, 0, 30)


def test_a_window_over_midnight_and_one_that_began_before_the_span_are_found() -> None:
    late = series(datetime(2026, 5, 1, 23, 0, tzinfo=HELSINKI), "FREQ=DAILY", duration=5 * HOUR)
    found = expand(late, us(2026, 5, 2, 0), us(2026, 5, 2, 12))
    assert [each.start_us for each in found] == [us(2026, 5, 1, 20)]


def test_exceptions_by_day_and_by_time_and_extra_dates() -> None:
    daily = series(
        datetime(2026, 5, 1, 1, 0, tzinfo=HELSINKI),
        "FREQ=DAILY;COUNT=5",
        exceptions=(date(2026, 5, 2), datetime(2026, 5, 3, 1, 0, tzinfo=HELSINKI)),
        extra=(datetime(2026, 5, 20, 9, 0, tzinfo=HELSINKI),),
    )
    days = [
        datetime.fromtimestamp(each.start_us / SECOND, HELSINKI).day
        for each in expand(daily, us(2026, 4, 1), us(2026, 6, 1))
    ]
    assert days == [1, 4, 5, 20]


def test_an_endless_series_is_bounded_and_one_without_duration_has_no_occurrence() -> None:
    hourly = series(datetime(2020, 1, 1, tzinfo=HELSINKI), "FREQ=HOURLY", duration=HOUR)
    assert (
        MAX_OCCURRENCES - 4
        <= len(expand(hourly, us(2026, 1, 1), us(2030, 1, 1)))
        <= MAX_OCCURRENCES
    )
    assert (
        expand(
            series(datetime(2026, 1, 1, tzinfo=HELSINKI), duration=0),
            us(2025, 1, 1),
            us(2027, 1, 1),
        )
        == []
    )


@pytest.mark.parametrize(
    "rule", ["FREQ=NEVER", "nonsense", "FREQ=SECONDLY", "FREQ=MINUTELY", "BYDAY=MO"]
)
def test_invalid_recurrence_rules_raise(rule: str) -> None:
    with pytest.raises(ValueError):
        check_rule(rule, datetime(2026, 1, 1))


CALENDAR = """calendar zone="Europe/Helsinki"
window "kernel" start="2026-12-06T02:00" lasts="2h" each="30m" repeats="FREQ=WEEKLY;BYDAY=SU" unsafe="give-up" {
    machines zone="hall-a"
    machines name="node-9"
    except "2026-12-27"
}
blackout "christmas" start="2026-12-24" end="2027-01-02"
budget by="cell" max-unavailable=1
budget by="zone" min-available="75%"
pace moves=6 every="2s"
hall-failure share=0.4 take-back=#false
"""


def test_every_part_of_a_calendar_is_read() -> None:
    read = read_kdl(CALENDAR, "c.kdl", Calendar())
    (kernel,) = read.series
    assert kernel.each_us == HOUR // 2
    assert kernel.unsafe is UnsafePolicy.GIVE_UP
    assert len(kernel.selectors) == 2
    assert [budget.max_out(20) for budget in read.rules.budgets] == [1, 5]
    assert read.policy.moves == 6
    assert read.policy.failed_share == 0.4
    assert not read.policy.take_back
    assert read.rules.blackouts[0].start_us == us(2026, 12, 23, 22)


def test_all_problems_of_a_calendar_are_reported_with_their_lines() -> None:
    bad = """calendar zone="Europe/Helsinki"
window "a" start="2026-13-06" lasts="2h" { machines zone="x"; }
window "b" start="2026-12-06" lasts="0s" { machines zone="x"; }
window "c" start="2026-12-06" lasts="1h" zone="Mars/Base" { machines zone="x"; }
window "d" start="2026-12-06" lasts="1h"
window "e" start="2026-12-06" lasts="1h" each="2h" { machines zone="x"; }
window "f" start="2026-12-06" lasts="1h" repeats="FREQ=SOMETIMES" { machines zone="x"; }
blackout "g" start="2026-12-06" end="2026-12-05"
budget by="cell"
"""
    with pytest.raises(SettingsError) as caught:
        read_kdl(bad, "c.kdl", Calendar())
    assert [line for line, _ in caught.value.problems] == [2, 3, 4, 5, 6, 7, 8, 9]
    with pytest.raises(SettingsError) as caught:
        read_kdl('windo "a" start="2026-12-06" lasts="1h"\n', "c.kdl", Calendar())
    assert "did you mean 'window'" in str(caught.value)


ICS = """BEGIN:VCALENDAR
VERSION:2.0
PRODID:-//t//t//EN
BEGIN:VEVENT
UID:patch-1
DTSTART;TZID=Europe/Helsinki:20261018T020000
DTEND;TZID=Europe/Helsinki:20261018T040000
RRULE:FREQ=WEEKLY;COUNT=3
EXDATE;TZID=Europe/Helsinki:20261025T020000
X-WINGBARROW-MACHINES:zone=hall-a
X-WINGBARROW-EACH:30m
END:VEVENT
BEGIN:VEVENT
UID:lunch
DTSTART:20261018T100000Z
DTEND:20261018T110000Z
END:VEVENT
END:VCALENDAR
"""


def test_icalendar_events_that_name_machines_are_windows() -> None:
    (patch,) = read_ics(ICS.replace("\n", "\r\n"), "c.ics")
    assert (patch.name, patch.duration_us, patch.each_us) == ("patch-1", 2 * HOUR, HOUR // 2)
    found = expand(patch, us(2026, 10, 1), us(2026, 12, 1))
    assert [each.start_us for each in found] == [us(2026, 10, 17, 23), us(2026, 11, 1, 0)]


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ("zone=hall-a", "floor=3"),
        ("FREQ=WEEKLY", "FREQ=OFTEN"),
        ("20261018T040000\nRRULE", "20261018T010000\nRRULE"),
        ("UID:patch-1", "X-NO:1"),
        ("X-WINGBARROW-EACH:30m", "X-WINGBARROW-EACH:soon"),
    ],
)
def test_an_invalid_event_rejects_the_file_and_is_named(old: str, new: str) -> None:
    assert old in ICS
    with pytest.raises(SettingsError):
        read_ics(ICS.replace(old, new), "c.ics")


def test_an_invalid_calendar_changes_nothing(tmp_path: Path) -> None:
    good, bad = tmp_path / "good.kdl", tmp_path / "bad.ics"
    good.write_text(CALENDAR)
    bad.write_text("BEGIN:VCALENDAR\nnot this")
    with pytest.raises(SettingsError):
        load_calendar([good, bad])
    with pytest.raises(SettingsError):
        load_calendar([good, good])
    assert len(load_calendar([good]).series) == 1
