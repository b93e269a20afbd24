"""Maintenance windows: series that recur by RFC 5545, expanded to occurrences in wall time; no I/O.

Local times belong to a named time zone. A local time that a change to daylight saving skips is moved forward by the
gap; one that occurs twice means its first occurrence. A window's duration is elapsed time, whether it spans a change or
not.
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
MAX_OCCURRENCES = 2_000  # of one series within one span
MARGIN = timedelta(hours=2)  # more than any change to daylight saving


class UnsafePolicy(Enum):
    """What a window does about tasks that must not start twice and still run when it would begin."""

    WAIT = "wait"  # the machine stays closed, the work on it begins when they have ended
    SHORTEN = "shorten"  # the same, but the window still ends when it was to end
    GIVE_UP = "give-up"  # the machine is opened again and this occurrence is over for it


@dataclass(frozen=True, slots=True)
class Selector:
    """Selects machines: every part that is given has to match; at least one is given."""

    name: str = ""
    cell: str = ""
    zone: str = ""
    label: tuple[str, str] | None = None

    def matches(self, name: str, cell: str, zone: str, labels: Mapping[str, str]) -> bool:
        """Whether a machine is selected."""
        return (
            (not self.name or self.name in ("*", name))
            and (not self.cell or self.cell == cell)
            and (not self.zone or self.zone == zone)
            and (self.label is None or labels.get(self.label[0]) == self.label[1])
        )


@dataclass(frozen=True, slots=True)
class Series:
    """A window as written: its first start (local), duration, recurrence and machines. Times in microseconds."""

    name: str
    start: datetime  # with its zone
    duration_us: int
    each_us: int  # that one machine is out; the window holds as many one after another as fit
    rule: str = ""  # an RRULE's value, empty for a single one
    exceptions: tuple[datetime | date, ...] = ()
    extra: tuple[datetime, ...] = ()
    selectors: tuple[Selector, ...] = ()
    precedence: int = 0
    unsafe: UnsafePolicy = UnsafePolicy.WAIT


@dataclass(frozen=True, slots=True)
class Blackout:
    """A span, in wall microseconds, in which no window may start."""

    name: str
    start_us: int
    end_us: int


@dataclass(frozen=True, slots=True)
class Occurrence:
    """One occurrence of a series, in wall microseconds."""

    series: Series
    start_us: int
    end_us: int

    @property
    def ident(self) -> str:
        """The same whenever it is expanded."""
        return f"{self.series.name}@{self.start_us // SECOND}"


def time_zone(name: str) -> ZoneInfo:
    """A time zone by its name in the IANA database; ValueError for one that is unknown."""
    try:
        return ZoneInfo(name)
    except (ZoneInfoNotFoundError, ValueError, OSError):
        raise ValueError(f"unknown time zone: {name[:60]!r}") from None


def to_wall_us(local: datetime) -> int:
    """Wall microseconds of a local time with its zone."""
    # Through UTC and back: a skipped local time comes out moved forward by the gap.
    settled = local.astimezone(UTC)
    return int(settled.timestamp() * SECOND)


def check_rule(rule: str, start: datetime) -> None:
    """ValueError where a recurrence rule cannot be read or repeats more often than hourly."""
    try:
        parsed = rrulestr(rule, dtstart=start.replace(tzinfo=None), ignoretz=True)
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise ValueError(f"not a recurrence rule (RFC 5545, 3.3.10): {str(error)[:100]}") from None
    if getattr(parsed, "_freq", 0) > HOURLY:
        raise ValueError("a rule that repeats more often than hourly")


def expand(series: Series, from_us: int, until_us: int) -> list[Occurrence]:
    """Occurrences of a series that overlap a span, in order; at most MAX_OCCURRENCES."""
    if series.duration_us <= 0 or until_us <= from_us:
        return []
    tz = series.start.tzinfo
    found: dict[int, Occurrence] = {}
    for local in _local_starts(series, from_us, until_us):
        if _is_excepted(local, series.exceptions, tz):
            continue
        start_us = to_wall_us(local.replace(tzinfo=tz))
        end_us = start_us + series.duration_us
        if start_us < until_us and end_us > from_us:
            found[start_us] = Occurrence(series, start_us, end_us)
    return [found[key] for key in sorted(found)][:MAX_OCCURRENCES]


def _local_starts(series: Series, from_us: int, until_us: int) -> list[datetime]:
    """Local starts that may overlap a span, not sorted; MARGIN allows for changes to daylight saving."""
    tz = series.start.tzinfo
    begin = series.start.replace(tzinfo=None)
    starts = [begin]
    if series.rule:
        duration = timedelta(microseconds=series.duration_us)
        earliest = datetime.fromtimestamp(from_us / SECOND, tz).replace(tzinfo=None)
        latest = datetime.fromtimestamp(until_us / SECOND, tz).replace(tzinfo=None)
        rule = rrulestr(series.rule, dtstart=begin, ignoretz=True)
        following = rule.xafter(earliest - duration - MARGIN, inc=True)
        in_span = takewhile(lambda start: start <= latest + MARGIN, following)
        starts = list(islice(in_span, MAX_OCCURRENCES))
    return starts + [each.astimezone(tz).replace(tzinfo=None) for each in series.extra]


def _is_excepted(at: datetime, exceptions: Iterable[datetime | date], tz: object) -> bool:
    for each in exceptions:
        if isinstance(each, datetime):
            local = each.astimezone(tz).replace(tzinfo=None) if each.tzinfo else each  # type: ignore[arg-type]
            if local == at:
                return True
        elif each == at.date():
            return True
    return False


def expand_all(every: Iterable[Series], from_us: int, until_us: int) -> list[Occurrence]:
    """Occurrences of all series, by start, then precedence, then name."""
    found = [occurrence for series in every for occurrence in expand(series, from_us, until_us)]
    return sorted(
        found, key=lambda each: (each.start_us, -each.series.precedence, each.series.name)
    )
