"""Maintenance windows: series that recur by RFC 5545, expanded to occurrences in wall clock time; no I/O.

Local times belong to a named time zone. A local time skipped by a change to daylight saving time is moved forward by
the gap; one that occurs twice means its first occurrence. A window's duration is elapsed time, also across a change of
the offset.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import UTC, date, datetime, timedelta
from enum import Enum
from itertools import islice, takewhile
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

from dateutil.rrule import HOURLY, rrulestr

SECOND = 1_000_000
MAX_OCCURRENCES = 2_000  # of one series in one expansion
DST_MARGIN = timedelta(hours=2)  # longer than any change of a daylight saving offset


class UnsafePolicy(Enum):
    """A window's policy for tasks that must not start twice and still run at its start."""

    WAIT = "wait"  # the machine stays closed; the work begins when these tasks have ended
    SHORTEN = "shorten"  # like wait, but the window keeps its planned end
    GIVE_UP = "give-up"  # the machine is reopened and skips this occurrence


@dataclass(frozen=True, slots=True)
class Selector:
    """Selects machines: every given criterion has to match; at least one is given."""

    name: str = ""
    cell: str = ""
    zone: str = ""
    label: tuple[str, str] | None = None

    def matches(self, name: str, cell: str, zone: str, labels: Mapping[str, str]) -> bool:
        """Whether the selector matches a machine; name "*" matches every machine."""
        return (
            (not self.name or self.name in ("*", name))
            and (not self.cell or self.cell == cell)
            and (not self.zone or self.zone == zone)
            and (self.label is None or labels.get(self.label[0]) == self.label[1])
        )


@dataclass(frozen=True, slots=True)
class Series:
    """A window as configured: first start (local), duration, recurrence and machines. Durations in microseconds."""

    name: str
    start: datetime  # with its time zone
    duration_us: int
    each_us: int  # time that one machine is out; machines follow one another within the window
    rule: str = ""  # the value of an RRULE; empty for a single occurrence
    exceptions: tuple[datetime | date, ...] = ()
    extra: tuple[datetime, ...] = ()
    selectors: tuple[Selector, ...] = ()
    precedence: int = 0
    unsafe: UnsafePolicy = UnsafePolicy.WAIT


@dataclass(frozen=True, slots=True)
class Blackout:
    """A period, in wall clock microseconds, in which no window may start."""

    name: str
    start_us: int
    end_us: int


@dataclass(frozen=True, slots=True)
class Occurrence:
    """One occurrence of a series, in wall clock microseconds."""

    series: Series
    start_us: int
    end_us: int

    @property
    def ident(self) -> str:
        """Identifies the occurrence; the same in every expansion."""
        return f"{self.series.name}@{self.start_us // SECOND}"


def time_zone(name: str) -> ZoneInfo:
    """Return a time zone by its name in the IANA database; raise ValueError for an unknown name."""
    try:
        return ZoneInfo(name)
    except (ZoneInfoNotFoundError, ValueError, OSError):
        raise ValueError(f"unknown time zone: {name[:60]!r}") from None


def to_wall_us(local: datetime) -> int:
    """Convert a local time with its time zone to wall clock microseconds since the epoch."""
    # The conversion to UTC moves a skipped local time forward by the gap.
    utc = local.astimezone(UTC)
    return int(utc.timestamp() * SECOND)


def check_rule(rule: str, start: datetime) -> None:
    """Raise ValueError if a recurrence rule cannot be read or repeats more often than hourly."""
    try:
        parsed = rrulestr(rule, dtstart=start.replace(tzinfo=None), ignoretz=True)
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise ValueError(f"not a recurrence rule (RFC 5545, 3.3.10): {str(error)[:100]}") from None
    if getattr(parsed, "_freq", 0) > HOURLY:
        raise ValueError("a rule that repeats more often than hourly")


def expand(series: Series, from_us: int, until_us: int) -> list[Occurrence]:
    """Return the occurrences of a series that overlap a period, in order; at most MAX_OCCURRENCES."""
    if series.duration_us <= 0 or until_us <= from_us:
        return []
    tz = series.start.tzinfo
    found: dict[int, Occurrence] = {}
    for local in _local_starts(series, from_us, until_us):
        if _is_excluded(local, series.exceptions, tz):
            continue
        start_us = to_wall_us(local.replace(tzinfo=tz))
        end_us = start_us + series.duration_us
        if start_us < until_us and end_us > from_us:
            found[start_us] = Occurrence(series, start_us, end_us)
    return [found[key] for key in sorted(found)][:MAX_OCCURRENCES]


def _local_starts(series: Series, from_us: int, until_us: int) -> list[datetime]:
    """Return local starts that may overlap a period, unsorted; DST_MARGIN allows for daylight saving changes."""
    tz = series.start.tzinfo
    begin = series.start.replace(tzinfo=None)
    starts = [begin]
    if series.rule:
        duration = timedelta(microseconds=series.duration_us)
        earliest = datetime.fromtimestamp(from_us / SECOND, tz).replace(tzinfo=None)
        latest = datetime.fromtimestamp(until_us / SECOND, tz).replace(tzinfo=None)
        rule = rrulestr(series.rule, dtstart=begin, ignoretz=True)
        following = rule.xafter(earliest - duration - DST_MARGIN, inc=True)
        in_span = takewhile(lambda start: start <= latest + DST_MARGIN, following)
        starts = list(islice(in_span, MAX_OCCURRENCES))
    return starts + [each.astimezone(tz).replace(tzinfo=None) for each in series.extra]


def _is_excluded(at: datetime, exceptions: Iterable[datetime | date], tz: object) -> bool:
    for each in exceptions:
        if isinstance(each, datetime):
            local = each.astimezone(tz).replace(tzinfo=None) if each.tzinfo else each  # type: ignore[arg-type]
            if local == at:
                return True
        elif each == at.date():
            return True
    return False


def expand_all(every: Iterable[Series], from_us: int, until_us: int) -> list[Occurrence]:
    """Return the occurrences of all series, by start, then descending precedence, then name."""
    found = [occurrence for series in every for occurrence in expand(series, from_us, until_us)]
    return sorted(
        found, key=lambda each: (each.start_us, -each.series.precedence, each.series.name)
    )
