"""The maintenance calendar: windows from KDL files and from iCalendar files (RFC 5545).

A file with any error is rejected as a whole; every error is reported with its line (and its event's UID).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import date, datetime, timedelta
from pathlib import Path
from typing import Any

import ckdl
import icalendar

from wingbarrow.config.node_lines import NodeLines
from wingbarrow.config.schema import (
    REQUIRED,
    Node,
    NodeSchema,
    Reader,
    SettingsError,
    flag,
    number,
    one_of,
    read_duration,
    text,
)
from wingbarrow.config.settings import parse_duration
from wingbarrow.decide.maintenance.drain_plan import Budget, PlanRules, Scope
from wingbarrow.decide.maintenance.drain_progress import DrainPolicy
from wingbarrow.decide.maintenance.windows import (
    Blackout,
    Selector,
    Series,
    UnsafePolicy,
    check_rule,
    time_zone,
    to_wall_us,
)

_MAX_FILE_BYTES = 4 << 20
_MAX_SERIES = 10_000
_MAX_WINDOW_US = 31 * 86_400 * 1_000_000
_MACHINES = "X-WINGBARROW-MACHINES"


@dataclass(frozen=True, slots=True)
class Calendar:
    """Maintenance windows, constraints of a drain plan, and how drains are carried out."""

    series: tuple[Series, ...] = ()
    rules: PlanRules = field(default_factory=PlanRules)
    policy: DrainPolicy = field(default_factory=DrainPolicy)


def _read_count_or_share(value: Any) -> tuple[float, bool]:
    """(value, whether it is a share) of a whole number up to 1,000,000, or of a percentage, as 0.25 for "25%"."""
    if (
        isinstance(value, str)
        and value.endswith("%")
        and value[:-1].isdigit()
        and int(value[:-1]) <= 100
    ):
        return int(value[:-1]) / 100, True
    if isinstance(value, int) and not isinstance(value, bool) and 0 <= value <= 1_000_000:
        return float(value), False
    raise ValueError(f'a whole number or a percentage such as "25%" is wanted, not {value!r}')


_MACHINES_SCHEMA = NodeSchema(
    (), {part: (text, "") for part in ("name", "cell", "zone", "label")}, is_repeatable=True
)
_SCHEMA = NodeSchema(
    children={
        "calendar": NodeSchema((), {"zone": (text, "UTC")}),
        "window": NodeSchema(
            (text,),
            {
                "start": (text, REQUIRED),
                "lasts": (read_duration, REQUIRED),
                "each": (read_duration, 0),
                "repeats": (text, ""),
                "zone": (text, ""),
                "precedence": (number(-1000, 1000, True), 0),
                "unsafe": (one_of("wait", "shorten", "give-up"), "wait"),
            },
            {
                "machines": _MACHINES_SCHEMA,
                "except": NodeSchema((text,), is_repeatable=True),
                "also": NodeSchema((text,), is_repeatable=True),
            },
            is_repeatable=True,
        ),
        "blackout": NodeSchema(
            (text,),
            {"start": (text, REQUIRED), "end": (text, REQUIRED), "zone": (text, "")},
            is_repeatable=True,
        ),
        "budget": NodeSchema(
            (),
            {
                "by": (one_of("cell", "zone", "region", "all"), REQUIRED),
                "max-unavailable": (_read_count_or_share, None),
                "min-available": (_read_count_or_share, None),
            },
            is_repeatable=True,
        ),
        "fill": NodeSchema((number(0.05, 1.0),)),
        "lead": NodeSchema((read_duration,)),
        "pace": NodeSchema(
            (), {"moves": (number(1, 10_000, True), 4), "every": (read_duration, 1_000_000)}
        ),
        "hall-failure": NodeSchema(
            (), {"share": (number(0.01, 1.0), 0.5), "take-back": (flag, True)}
        ),
    }
)


def load_calendar(paths: Iterable[str | Path], kinds_needed: tuple[str, ...] = ()) -> Calendar:
    """One calendar from all files (iCalendar by the suffix .ics, else KDL).

    Raises SettingsError for the first file with errors.
    """
    out = Calendar(rules=PlanRules(kinds_needed=kinds_needed))
    for path in paths:
        raw = _read(Path(path))
        before = {series.name for series in out.series}
        if str(path).endswith(".ics"):
            out = Calendar((*out.series, *read_ics(raw, str(path))), out.rules, out.policy)
        else:
            out = read_kdl(raw, str(path), out)
        twice = [series.name for series in out.series[len(before) :] if series.name in before]
        if twice:
            raise SettingsError(
                str(path),
                [
                    (_line_of(raw, name), f"window {name!r} is also defined in an earlier file")
                    for name in twice
                ],
            )
    if len(out.series) > _MAX_SERIES:
        raise SettingsError("calendar", [(1, f"more than {_MAX_SERIES} windows")])
    return out


def _line_of(raw: str, name: str) -> int:
    """The 1-based number of the first line that contains a window's name; 1 if none does."""
    return next((number for number, line in enumerate(raw.splitlines(), 1) if name in line), 1)


def _read(path: Path) -> str:
    try:
        raw = path.read_bytes()
    except OSError as error:
        raise SettingsError(str(path), [(1, f"cannot be read: {error.strerror}")]) from None
    if len(raw) > _MAX_FILE_BYTES:
        raise SettingsError(str(path), [(1, f"more than {_MAX_FILE_BYTES} bytes")])
    try:
        return raw.decode("utf-8")
    except UnicodeDecodeError as error:
        raise SettingsError(
            str(path), [(raw.count(b"\n", 0, error.start) + 1, "not UTF-8")]
        ) from None


def read_kdl(raw: str, name: str, base: Calendar) -> Calendar:
    """`base` extended by the windows and rules of a KDL calendar.

    Raises SettingsError with every error of the text.
    """
    try:
        document = ckdl.parse(raw)
    except (ckdl.ParseError, ValueError) as error:
        raise SettingsError(name, [(1, f"not KDL: {error}")]) from None
    reader = Reader(NodeLines(raw).lines)
    top = Node(1, [], {}, reader.children(document.nodes, _SCHEMA, ""))
    problems = reader.problems
    if problems:
        raise SettingsError(name, problems)
    default_zone = top.get("calendar", "zone", "UTC")
    series: list[Series] = []
    seen: dict[str, int] = {}
    for node in top.children.get("window", []):
        if node.args[0] in seen:
            problems.append(
                (
                    node.line,
                    f"window {node.args[0]!r} was given before, in line {seen[node.args[0]]}",
                )
            )
        seen[node.args[0]] = node.line
        try:
            series.append(_window(node, node.props["zone"] or default_zone))
        except ValueError as error:
            problems.append((node.line, f"window {node.args[0]!r}: {error}"))
    blackouts: list[Blackout] = []
    for node in top.children.get("blackout", []):
        try:
            tz = node.props["zone"] or default_zone
            begin = to_wall_us(_parse_time(node.props["start"], tz))
            end = to_wall_us(_parse_time(node.props["end"], tz))
            if end <= begin:
                raise ValueError("end must be after start")
            blackouts.append(Blackout(node.args[0], begin, end))
        except ValueError as error:
            problems.append((node.line, f"blackout {node.args[0]!r}: {error}"))
    budgets: list[Budget] = []
    for node in top.children.get("budget", []):
        most, least = node.props["max-unavailable"], node.props["min-available"]
        if (most is None) == (least is None):
            problems.append(
                (node.line, "budget: exactly one of max-unavailable and min-available is wanted")
            )
            continue
        figure, share = most if most is not None else least
        budgets.append(
            Budget(
                Scope(node.props["by"]),
                figure if most is not None else None,
                figure if most is None else None,
                share,
            )
        )
    if problems:
        raise SettingsError(name, problems)
    fill, lead, rules, policy = top.first("fill"), top.first("lead"), base.rules, base.policy
    return Calendar(
        (*base.series, *series),
        PlanRules(
            tuple(budgets) or rules.budgets,
            (*rules.blackouts, *blackouts),
            fill.args[0] if fill else rules.fill,
            rules.kinds_needed,
        ),
        DrainPolicy(
            lead.args[0] if lead else policy.lead_us,
            top.get("pace", "moves", policy.moves),
            top.get("pace", "every", policy.every_us) or policy.every_us,
            top.get("hall-failure", "share", policy.failed_share),
            top.get("hall-failure", "take-back", policy.take_back),
        ),
    )


def _parse_time(value: str, zone_name: str) -> datetime:
    try:
        at = datetime.fromisoformat(value)
    except ValueError:
        raise ValueError(f"not a date or time such as 2026-12-06T02:00: {value[:40]!r}") from None
    return at if at.tzinfo else at.replace(tzinfo=time_zone(zone_name))


def _parse_date_or_time(value: str, zone_name: str) -> datetime | date:
    if len(value) == 10:
        try:
            return date.fromisoformat(value)
        except ValueError:
            raise ValueError(f"not a date: {value!r}") from None
    return _parse_time(value, zone_name)


def _window(node: Node, zone_name: str) -> Series:
    props = node.props
    start = _parse_time(props["start"], zone_name)
    lasts, each = props["lasts"], props["each"]
    _check_length(lasts, each)
    if props["repeats"]:
        check_rule(props["repeats"], start)
    selectors = []
    for machines in node.children.get("machines", []):
        label = machines.props["label"]
        key, _, value = label.partition("=")
        if label and not (key and value):
            raise ValueError(f"label: key=value is wanted, not {label[:60]!r}")
        selectors.append(
            Selector(
                machines.props["name"],
                machines.props["cell"],
                machines.props["zone"],
                (key, value) if label else None,
            )
        )
        if selectors[-1] == Selector():
            raise ValueError("machines: name=, cell=, zone= or label= is wanted")
    if not selectors:
        raise ValueError("at least one `machines` node is wanted")
    return Series(
        node.args[0],
        start,
        lasts,
        each or lasts,
        props["repeats"],
        tuple(
            _parse_date_or_time(each.args[0], zone_name) for each in node.children.get("except", [])
        ),
        tuple(_parse_time(each.args[0], zone_name) for each in node.children.get("also", [])),
        tuple(selectors),
        props["precedence"],
        UnsafePolicy(props["unsafe"]),
    )


def _check_length(lasts_us: int, each_us: int) -> None:
    if lasts_us <= 0:
        raise ValueError("the window has no positive length")
    if lasts_us > _MAX_WINDOW_US:
        raise ValueError("the window is longer than 31 days")
    if each_us > lasts_us:
        raise ValueError("the time for each machine is longer than the window")


def read_ics(raw: str, name: str) -> list[Series]:
    """Windows from the VEVENTs of an iCalendar file that name machines (X-WINGBARROW-MACHINES:zone=hall-a;cell=rack-1).

    Other events are ignored. X-WINGBARROW-EACH, -PRECEDENCE and -UNSAFE are optional. Raises SettingsError with every
    error of the file.
    """
    try:
        calendar = icalendar.Calendar.from_ical(raw)
        events = list(calendar.walk("VEVENT"))
    except (ValueError, KeyError, IndexError) as error:
        raise SettingsError(name, [(1, f"not an iCalendar file: {str(error)[:100]}")]) from None
    series: list[Series] = []
    problems: list[tuple[int, str]] = []
    for event in events:
        if _MACHINES not in event:
            continue
        uid = str(event.get("UID", ""))[:100]
        line = raw.count("\n", 0, max(0, raw.find(uid))) + 1 if uid else 1
        try:
            series.append(_event(event, uid))
        except (ValueError, KeyError, AttributeError, TypeError) as error:
            problems.append((line, f"event {uid!r}: {str(error)[:150] or type(error).__name__}"))
    if problems:
        raise SettingsError(name, problems)
    return series


def _event(event: Any, uid: str) -> Series:
    if not uid:
        raise ValueError("the event has no UID")
    start = _to_datetime(event["DTSTART"].dt)
    if "DTEND" in event:
        lasts = int((_to_datetime(event["DTEND"].dt) - start).total_seconds() * 1_000_000)
    elif "DURATION" in event:
        lasts = int(event["DURATION"].dt.total_seconds() * 1_000_000)
    else:
        lasts = (
            int(timedelta(days=1).total_seconds() * 1_000_000)
            if not isinstance(event["DTSTART"].dt, datetime)
            else 0
        )
    each = (
        parse_duration(str(event["X-WINGBARROW-EACH"])) if "X-WINGBARROW-EACH" in event else lasts
    )
    _check_length(lasts, each)
    rule = event["RRULE"].to_ical().decode() if "RRULE" in event else ""
    if rule:
        check_rule(rule, start)
    fields = dict(part.split("=", 1) for part in str(event[_MACHINES]).split(";") if "=" in part)
    unknown = set(fields) - {"name", "cell", "zone"}
    if unknown or not fields:
        raise ValueError(
            f"{_MACHINES}: name=, cell= or zone= is wanted, not {str(event[_MACHINES])[:60]!r}"
        )
    return Series(
        uid,
        start,
        lasts,
        each,
        rule,
        tuple(_dates(event.get("EXDATE"))),
        tuple(_to_datetime(each) for each in _dates(event.get("RDATE"))),
        (Selector(fields.get("name", ""), fields.get("cell", ""), fields.get("zone", "")),),
        int(str(event.get("X-WINGBARROW-PRECEDENCE", "0"))),
        UnsafePolicy(str(event.get("X-WINGBARROW-UNSAFE", "wait")).lower()),
    )


def _to_datetime(value: datetime | date) -> datetime:
    if not isinstance(value, datetime):
        value = datetime(value.year, value.month, value.day)
    return value if value.tzinfo else value.replace(tzinfo=time_zone("UTC"))


def _dates(value: Any) -> list[Any]:
    if value is None:
        return []
    return [
        each.dt for group in (value if isinstance(value, list) else [value]) for each in group.dts
    ]
