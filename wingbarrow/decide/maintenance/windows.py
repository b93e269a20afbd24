"""Maintenance windows: series that recur by RFC 5545, expanded to occurrences in wall time; no I/O.

Local times belong to a named zone. A local time that a change to daylight saving skips is moved forward by the gap;
one that comes twice means its first coming. A window lasts by the clock on the wall of nobody: its length is elapsed
time, so one that spans a change is neither longer nor shorter.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import UTC, date, datetime, timedelta
from enum import Enum
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

from dateutil.rrule import rrulestr

SECOND = 1_000_000
OCCURRENCES_MOST = 2_000  # of one series within one horizon


class UnsafePolicy(Enum):
    """What a window does for tasks that must not start twice and still run when it would begin."""

    WAIT = "wait"  # the machine stays closed, the work on it begins when they have ended
    SHORTEN = "shorten"  # the same, but the window still ends when it was to end
    GIVE_UP = "give-up"  # the machine is opened again and this occurrence is over for it


@dataclass(frozen=True, slots=True)
class Selector:
    """Which machines: every named part has to match; at least one is named."""

    name: str = ""
    cell: str = ""
    zone: str = ""
    label: tuple[str, str] | None = None

    def matches(self, name: str, cell: str, zone: str, labels: Mapping[str, str]) -> bool:
        """Whether a machine is meant."""
        return (
            (not self.name or self.name in ("*", name))
            and (not self.cell or self.cell == cell)
            and (not self.zone or self.zone == zone)
            and (self.label is None or labels.get(self.label[0]) == self.label[1])
        )


@dataclass(frozen=True, slots=True)
class Series:
    """A window as written: its first start (local), length, rule, what it is for. Times in microseconds."""

    name: str
    start: datetime  # with its zone
    lasts_us: int
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
    """One coming of a series, in wall microseconds."""

    series: Series
    start_us: int
    end_us: int

    @property
    def ident(self) -> str:
        """The same whenever it is expanded."""
        return f"{self.series.name}@{self.start_us // SECOND}"


def zone(name: str) -> ZoneInfo:
    """A time zone by its name in the IANA database; ValueError for one that is unknown."""
    try:
        return ZoneInfo(name)
    except (ZoneInfoNotFoundError, ValueError, OSError):
        raise ValueError(f"unknown time zone: {name[:60]!r}") from None


def to_us(local: datetime) -> int:
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
    if getattr(parsed, "_freq", 0) > 4:
        raise ValueError("a rule that repeats more often than hourly")


def expand(series: Series, from_us: int, until_us: int) -> list[Occurrence]:
    """Occurrences of a series that touch a span, in order; at most OCCURRENCES_MOST."""
    if series.lasts_us <= 0 or until_us <= from_us:
        return []
    tz = series.start.tzinfo
    length = timedelta(microseconds=series.lasts_us)
    first = (
        datetime.fromtimestamp(from_us / SECOND, tz).replace(tzinfo=None)
        - length
        - timedelta(hours=2)
    )
    last = datetime.fromtimestamp(until_us / SECOND, tz).replace(tzinfo=None) + timedelta(hours=2)
    begin = series.start.replace(tzinfo=None)
    starts: list[datetime] = []
    if series.rule:
        rule = rrulestr(series.rule, dtstart=begin, ignoretz=True)
        for at in rule.xafter(first, inc=True):
            if at > last or len(starts) >= OCCURRENCES_MOST:
                break
            starts.append(at)
    else:
        starts.append(begin)
    starts += [each.astimezone(tz).replace(tzinfo=None) for each in series.extra]
    out: dict[int, Occurrence] = {}
    for at in starts:
        if _excepted(at, series.exceptions, tz):
            continue
        start_us = to_us(at.replace(tzinfo=tz))
        if start_us < until_us and start_us + series.lasts_us > from_us:
            out[start_us] = Occurrence(series, start_us, start_us + series.lasts_us)
    return [out[key] for key in sorted(out)][:OCCURRENCES_MOST]


def _excepted(at: datetime, exceptions: Iterable[datetime | date], tz: object) -> bool:
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
