"""What a play left, read: the rig's events, the recording at the stand-ins, each process's history."""

from __future__ import annotations

import json
from dataclasses import dataclass
from functools import cached_property
from pathlib import Path
from typing import Any

from wingbarrow.decide.membership.swim import SwimSettings
from wingbarrow.decide.rulesets.parsing import parse_rule_set
from wingbarrow.decide.rulesets.ruleset import RuleSet
from wingbarrow.lab.record import Record, Recorder

NEVER = 1 << 62
SLACK_US = 250_000  # by which the rig itself may read an answer late, beside the worst lag that it saw of itself
ON_LINKS = (
    "cut",
    "late",
    "slow",
    "lossy",
    "reset",
    "isolate",
    "deafen",
    "cut-region",
    "slow-region",
)
CUTS = ("cut", "isolate", "deafen", "cut-region")


@dataclass(frozen=True, slots=True)
class Span:
    """A time during which something held of one or two placers."""

    begin_us: int
    end_us: int
    who: str
    other: str = ""

    def meets(self, begin_us: int, end_us: int, *names: str) -> bool:
        """Whether it overlaps a time, and concerns one of some placers (any, without names)."""
        return (
            self.begin_us <= end_us
            and begin_us <= self.end_us
            and (not names or self.who in names or self.other in names)
        )


def read_lines(path: Path) -> list[dict[str, Any]]:
    """A file of JSON objects; a torn last line, as a kill leaves it, is passed over."""
    out: list[dict[str, Any]] = []
    raw = path.read_bytes().split(b"\n") if path.exists() else []
    for number, line in enumerate(raw):
        try:
            out.append(json.loads(line))
        except ValueError:
            if line and number < len(raw) - 1 and not raw[number + 1 :][0].startswith(b"{"):
                raise
    return out


class Run:
    """One run's directory, read.

    `up`: lives of each placer; `troubles`: faults of links, stops, and times down; among them `stops`, and `apart`:
    two placers whose link had a fault by which mail is lost or late, in whatever direction; `cuts`: by which none
    passes.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        fleet = json.loads((folder / "fleet.json").read_text())
        self.size: dict[str, Any] = fleet["size"]
        self.machines: dict[str, list[str]] = fleet.get(
            "machines", {}
        )  # region, zone and cell of each
        self.specs: dict[str, dict[str, Any]] = fleet.get("specs", {})
        self.class_specs: dict[str, str] = fleet.get("class_specs", {})
        self.lease_us = int(self.size.get("lease_s", 10) * 1_000_000)
        self.names: list[str] = fleet.get("names") or [
            f"placer-{index}" for index in range(self.size["placers"])
        ]
        self.voters: list[str] = (
            fleet.get("voters") or self.names[: 3 if len(self.names) < 7 else 5]
        )
        self.events = read_lines(folder / "events.jsonl")
        self.histories = {name: read_lines(folder / f"{name}.history.jsonl") for name in self.names}
        self.records: list[Record] = Recorder.read(folder / "recording.jsonl")
        self.rules = SwimSettings()
        self.end_us = next((each["at_us"] for each in self.events if each["what"] == "over"), 0)
        self.slack_us = SLACK_US + max(
            (each.get("lag_worst_us", 0) for each in self.events), default=0
        )
        self.up: dict[str, list[Span]] = {name: [] for name in self.names}
        self.regions: dict[str, list[str]] = fleet.get("regions", {})  # placers of each
        self.troubles: list[Span] = []
        self.stops: list[Span] = []
        self.starved: list[Span] = []  # ready to run, and the machine gave them no processor
        self.apart: list[Span] = []
        self.cuts: list[Span] = []
        self._read_events()

    def _read_events(self) -> None:
        begun: dict[str, int] = {}
        down: dict[str, int] = {}
        open_: dict[tuple[str, ...], int] = {}
        for each in self.events:
            what, at, who = each["what"], each["at_us"], each.get("who", "")
            if what == "started":
                begun[who] = at
                if who in down:
                    self.troubles.append(Span(down.pop(who), at, who))
            elif what == "killed":
                self.up[who].append(Span(begun.pop(who), at, who))
                down[who] = at
            elif what in ("fault", "healed") and each["kind"] not in (
                "stop",
                "kill",
                "faulty",
                "kill-region",
            ):
                key = (each["kind"], who, each["other"], str(each["amount"]), str(each["both"]))
                if what == "fault":
                    open_[key] = at
                elif key in open_:
                    self._link(key, open_.pop(key), at)
            elif what == "stopped":
                open_["stopped", who] = at
            elif what == "continued" and ("stopped", who) in open_:
                self.stops.append(Span(open_.pop(("stopped", who)), at, who))
            elif what == "starved":
                self.starved.append(Span(at - each["for_us"], at, who))
        for who, at in begun.items():
            self.up[who].append(Span(at, NEVER, who))
        self.troubles += [Span(at, NEVER, who) for who, at in down.items()]
        for left, at in open_.items():
            if left[0] == "stopped":
                self.stops.append(Span(at, NEVER, left[1]))
            else:
                self._link(left, at, NEVER)
        self.troubles += self.stops

    def _link(self, key: tuple[str, ...], begin_us: int, end_us: int) -> None:
        """A fault of links, or none that lasts: its two, one and all others, or all of a region and another's."""
        kind, who, other = key[:3]
        ones = self.regions.get(who, [who])
        others = self.regions.get(
            other, [other] if other else [name for name in self.names if name not in ones]
        )
        spans = [Span(begin_us, end_us, a, b) for a in ones for b in others]
        if kind in ON_LINKS:
            self.apart += spans
        if kind in CUTS:
            self.cuts += spans
        self.troubles += spans if who in self.regions else [Span(begin_us, end_us, who, other)]

    @cached_property
    def texts(self) -> dict[str, RuleSet]:
        """What each label stands for: as the first history says it."""
        first: dict[str, str] = {}
        for lines in self.histories.values():
            for each in lines:
                if each["what"] == "rules":
                    first.setdefault(each["label"], each["rules"])
        return {label: parse_rule_set(text) for label, text in first.items() if label}

    def lines(self, what: str) -> list[tuple[str, dict[str, Any]]]:
        """All lines of a kind in the histories, by time: (whose, line)."""
        found = [
            (name, each)
            for name, lines in self.histories.items()
            for each in lines
            if each["what"] == what
        ]
        return sorted(found, key=lambda one: (int(one[1]["at_us"]), one[0]))

    def region(self, placer: str) -> str:
        """Of a placer; "" without regions."""
        return next((region for region, names in self.regions.items() if placer in names), "")

    def life(self, placer: str, at_us: int) -> Span | None:
        """The life of a placer that was on at a time, or the last before it."""
        lives = [life for life in self.up.get(placer, ()) if life.begin_us <= at_us]
        return lives[-1] if lives else None

    def running(self) -> list[str]:
        """Placers that run at the end."""
        return [name for name in self.names if any(span.end_us == NEVER for span in self.up[name])]
