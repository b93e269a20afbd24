"""What one play of a day came to, read from the bench's JSON report; a figure that a report does not hold is None and
shows as `-`."""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

MOST_BYTES = 64 << 20  # of one report; a long day's is under 1 MB
READY_S = 10.0  # within which a restarted placer has to be ready
READY_SHARE = 0.9  # of them
KINDS = ("class", "tenant", "third")


class Unreadable(ValueError):
    """A report that is not there, too long, torn, or not of the form, in one line."""


@dataclass(frozen=True)
class Margin:
    """Shares of worth: served less wanted, and whose it is."""

    name: str
    over: float


@dataclass(frozen=True)
class Report:
    """One day's figures. Shares and scores run from 0 to 1; `ready` holds the seconds that each restart took."""

    day: str
    site: str | None
    seed: int | None
    rules: Mapping[str, int] | None  # times broken, by rule
    fault: str | None  # a crash, or what else ended the play
    fault_told: bool  # whether the report says anything of faults
    gate: bool | None
    gate_why: str | None
    score: float | None
    served: float | None
    wanted: float | None
    margins: Mapping[str, Margin | None]  # the least of each kind
    ready: tuple[float, ...] | None
    descriptors: int | None
    descriptor_limit: int | None
    sound: bool | None

    def ready_share(self) -> float | None:
        """Of the restarts, those ready in time; None where none is told."""
        return sum(took <= READY_S for took in self.ready) / len(self.ready) if self.ready else None

    def broken(self) -> list[str]:
        """The rules that broke."""
        return sorted(name for name, times in (self.rules or {}).items() if times)

    def failures(self) -> list[str]:
        """Why this play does not pass, one short text each; none where it passes."""
        wrong = [f"rule {name}" for name in self.broken()]
        if self.fault is not None:
            wrong.append(f"fault: {self.fault}")
        if self.gate is False:
            wrong.append(f"gate: {self.gate_why or 'no reason said'}")
        if self.sound is False:
            wrong.append("the bench calls the play unsound")
        if self.served is not None and self.wanted is not None and self.served < self.wanted:
            wrong.append("served under what is wanted")
        wrong += [
            f"{kind} {least.name} under what is wanted"
            for kind, least in self.margins.items()
            if least is not None and least.over < 0
        ]
        share = self.ready_share()
        if share is not None and share < READY_SHARE:
            wrong.append("restarts late")
        if self.descriptors is not None and self.descriptors > (self.descriptor_limit or math.inf):
            wrong.append("descriptors over the limit")
        return wrong + [f"report without {name}" for name in self.missing()]

    def missing(self) -> list[str]:
        """What a report has to hold before a play may pass."""
        held = {
            "rules": self.rules is not None,
            "fault": self.fault_told,
            "score": self.score is not None,
            "served": self.served is not None,
        }
        return [name for name, there in held.items() if not there]

    def text(self) -> str:
        """The row's columns from the rules on."""
        broken = self.broken()
        rules = "-" if self.rules is None else "broke " + ",".join(broken) if broken else "ok"
        gate = {
            True: "passed",
            False: f"failed ({self.gate_why or 'no reason said'})",
            None: "not said",
        }[self.gate]
        crashes = (
            "-" if not self.fault_told else f"1 ({self.fault})" if self.fault is not None else "0"
        )
        least = "  ".join(f"{kind} {_margin(self.margins[kind])}" for kind in KINDS)
        return (
            f"rules {rules}  gate {gate}  score {_figure(self.score)}  served {_figure(self.served)}"
            f"  wanted {_figure(self.wanted)}  {least}  ready {self._ready_text()}  crashes {crashes}"
            f"  descriptors {_plain(self.descriptors)} of {_plain(self.descriptor_limit)}"
        )

    def _ready_text(self) -> str:
        share = self.ready_share()
        if self.ready is None or share is None:
            return "-"
        return f"{share:.2f} of {len(self.ready)} (worst {max(self.ready):.1f} s)"


def read(path: Path) -> list[Report]:
    """All days of a report file, at least one. Unreadable where it is not whole or not of the form."""
    try:
        with path.open("rb") as file:
            text = file.read(MOST_BYTES + 1)
    except OSError as error:
        raise Unreadable(f"no report: {error.strerror}") from error
    if len(text) > MOST_BYTES:
        raise Unreadable(f"report of over {MOST_BYTES} bytes")
    try:
        whole = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise Unreadable("report is no whole JSON") from error
    return parse(whole)


def parse(whole: object) -> list[Report]:
    """The same of a report's value: an object with `days` and perhaps `gate`, or one day's object by itself."""
    if not isinstance(whole, dict):
        raise Unreadable("report is no object")
    days = whole.get("days", [whole])
    if not isinstance(days, list) or not days or not all(isinstance(day, dict) for day in days):
        raise Unreadable("report holds no day")
    verdict = whole.get("gate") if "days" in whole else None
    return [_day(day, verdict if isinstance(verdict, dict) else {}) for day in days]


def _day(day: dict[str, Any], verdict: dict[str, Any]) -> Report:
    """One day; its `row` holds what the journal keeps of it, and stands for the day where there is none."""
    row = day.get("row") if "row" in day else day
    if not isinstance(row, dict):
        raise Unreadable("a day's row is no object")
    name = row.get("name", day.get("name"))
    if not isinstance(name, str):
        raise Unreadable("a day without a name")
    gate, why = _gate(verdict, row.get("gate"))
    fault_told = "fault" in row or "fault" in day
    fault = row.get("fault") if row.get("fault") is not None else day.get("fault")
    caps = row.get("caps")
    limit = caps[1] if isinstance(caps, list) and len(caps) > 1 else None
    return Report(
        day=name,
        site=_text(day.get("site")),
        seed=_count(row.get("seed")),
        rules=_rules(row.get("rules"), day.get("breaks")),
        fault=None if fault is None else _one_line(fault),
        fault_told=fault_told,
        gate=gate,
        gate_why=why,
        score=_share(row.get("score")),
        served=_share(row.get("served")),
        wanted=_share(row.get("served_least")),
        margins={kind: _least(row.get(f"by_{kind}")) for kind in KINDS},
        ready=_ready(day.get("real")),
        descriptors=_count(row.get("files")),
        descriptor_limit=_count(limit),
        sound=row["sound"] if isinstance(row.get("sound"), bool) else None,
    )


def _gate(verdict: dict[str, Any], said: object) -> tuple[bool | None, str | None]:
    """Whether the gate is passed, and the reason. A day's own word, where it has one, names what failed."""
    if said not in (None, True, "passed"):
        return False, None if said is False else _one_line(said)
    passed = verdict.get("passed")
    if not isinstance(passed, bool):
        return (True if said is not None else None), None
    why = verdict.get("why")
    return passed, None if why is None else _one_line(why)


def _rules(held: object, breaks: object) -> dict[str, int] | None:
    """Times broken by rule, of the row's table and of the day's breaks; None where there is neither."""
    if not isinstance(held, dict) and not isinstance(breaks, dict):
        return None
    times: dict[str, int] = {}
    for name, count in held.items() if isinstance(held, dict) else ():
        if (told := _count(count)) is None:
            raise Unreadable("a rule without a count")
        times[str(name)] = told
    return times | {
        str(name): times.get(str(name)) or 1
        for name in (breaks if isinstance(breaks, dict) else ())
    }


def _least(rows: object) -> Margin | None:
    """The least of rows of name, share served, share wanted; those of which nothing is wanted do not count."""
    if not isinstance(rows, list):
        return None
    found = []
    for row in rows:
        if (
            not isinstance(row, list)
            or len(row) != 3
            or _share(row[1]) is None
            or _share(row[2]) is None
        ):
            raise Unreadable("a row of shares is not of the form")
        if row[2] > 0:
            found.append(Margin(str(row[0]), row[1] - row[2]))
    return min(found, key=lambda margin: margin.over, default=None)


def _ready(real: object) -> tuple[float, ...] | None:
    """Seconds by restart; one that never was ready counts as infinite."""
    seen = real.get("seen") if isinstance(real, dict) else None
    took = seen.get("restart_s") if isinstance(seen, dict) else None
    if not isinstance(took, list):
        return None
    return tuple(math.inf if (seconds := _share(each)) is None else seconds for each in took)


def _share(value: object) -> float | None:
    number = (
        isinstance(value, (int, float)) and not isinstance(value, bool) and math.isfinite(value)
    )
    return float(value) if number and isinstance(value, (int, float)) else None


def _count(value: object) -> int | None:
    return value if isinstance(value, int) and not isinstance(value, bool) else None


def _text(value: object) -> str | None:
    return value if isinstance(value, str) else None


def _one_line(value: object, most: int = 160) -> str:
    return " ".join(str(value).split())[:most]


def _figure(value: float | None) -> str:
    return "-" if value is None else f"{value:.3f}"


def _plain(value: int | None) -> str:
    return "-" if value is None else str(value)


def _margin(value: Margin | None) -> str:
    return "-" if value is None else f"{value.over:+.3f} {value.name}"
