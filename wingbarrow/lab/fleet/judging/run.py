"""Reads the files of a run: the rig's events, the recording of the stand-ins, and each process's history."""

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
# The rig may read an answer this much late, in addition to the worst scheduling lag that it measured of itself.
BASE_SLACK_US = 250_000
LINK_FAULT_KINDS = (
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
CUT_KINDS = ("cut", "isolate", "deafen", "cut-region")


@dataclass(frozen=True, slots=True)
class Span:
    """A period in which a condition held for one placer or for a pair of placers."""

    begin_us: int
    end_us: int
    placer: str
    other_placer: str = ""

    def overlaps(self, begin_us: int, end_us: int, *names: str) -> bool:
        """Whether it overlaps a period, bounds included, and concerns one of `names` (any placer if none is given)."""
        return (
            self.begin_us <= end_us
            and begin_us <= self.end_us
            and (not names or self.placer in names or self.other_placer in names)
        )


def read_json_lines(path: Path) -> list[dict[str, Any]]:
    """Reads a file of JSON objects, one a line; empty if the file is missing.

    Skips a partly written line that ends the file or comes before a new object, as a killed process leaves it.

    Raises:
        ValueError: if any other line is not JSON.
    """
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
    """The contents of one run's directory.

    `lifetimes`: when each placer's processes ran. `disturbances`: link faults, stops and downtimes. `stops`: periods in
    which a process was suspended. `impaired_links`: pairs of placers whose link lost or delayed messages, in either
    direction. `cut_links`: pairs whose link passed no messages in at least one direction.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        fleet = json.loads((folder / "fleet.json").read_text())
        self.size: dict[str, Any] = fleet["size"]
        self.machines: dict[str, list[str]] = fleet.get("machines", {})  # region, zone, cell
        self.specs: dict[str, dict[str, Any]] = fleet.get("specs", {})
        self.class_specs: dict[str, str] = fleet.get("class_specs", {})
        self.lease_us = int(self.size.get("lease_s", 10) * 1_000_000)
        self.names: list[str] = fleet.get("names") or [
            f"placer-{index}" for index in range(self.size["placers"])
        ]
        self.voters: list[str] = (
            fleet.get("voters") or self.names[: 3 if len(self.names) < 7 else 5]
        )
        self.events = read_json_lines(folder / "events.jsonl")
        self.histories = {
            name: read_json_lines(folder / f"{name}.history.jsonl") for name in self.names
        }
        self.records: list[Record] = Recorder.read(folder / "recording.jsonl")
        self.swim = SwimSettings()
        self.end_us = next((each["at_us"] for each in self.events if each["what"] == "over"), 0)
        self.slack_us = BASE_SLACK_US + max(
            (each.get("lag_worst_us", 0) for each in self.events), default=0
        )
        self.lifetimes: dict[str, list[Span]] = {name: [] for name in self.names}
        self.regions: dict[str, list[str]] = fleet.get("regions", {})  # placers of each region
        self.disturbances: list[Span] = []
        self.stops: list[Span] = []
        self.starved: list[Span] = []  # processes that were ready to run but got no processor
        self.impaired_links: list[Span] = []
        self.cut_links: list[Span] = []
        self._read_events()

    def _read_events(self) -> None:
        running_since: dict[str, int] = {}
        down_since: dict[str, int] = {}
        open_faults: dict[tuple[str, ...], int] = {}
        for each in self.events:
            what, at, placer = each["what"], each["at_us"], each.get("who", "")
            if what == "started":
                running_since[placer] = at
                if placer in down_since:
                    self.disturbances.append(Span(down_since.pop(placer), at, placer))
            elif what == "killed":
                self.lifetimes[placer].append(Span(running_since.pop(placer), at, placer))
                down_since[placer] = at
            elif what in ("fault", "healed") and each["kind"] not in (
                "stop",
                "kill",
                "faulty",
                "kill-region",
            ):
                key = (each["kind"], placer, each["other"], str(each["amount"]), str(each["both"]))
                if what == "fault":
                    open_faults[key] = at
                elif key in open_faults:
                    self._add_link_fault(key, open_faults.pop(key), at)
            elif what == "stopped":
                open_faults["stopped", placer] = at
            elif what == "continued" and ("stopped", placer) in open_faults:
                self.stops.append(Span(open_faults.pop(("stopped", placer)), at, placer))
            elif what == "starved":
                self.starved.append(Span(at - each["for_us"], at, placer))
        for placer, at in running_since.items():
            self.lifetimes[placer].append(Span(at, NEVER, placer))
        self.disturbances += [Span(at, NEVER, placer) for placer, at in down_since.items()]
        for left, at in open_faults.items():
            if left[0] == "stopped":
                self.stops.append(Span(at, NEVER, left[1]))
            else:
                self._add_link_fault(left, at, NEVER)
        self.disturbances += self.stops

    def _add_link_fault(self, key: tuple[str, ...], begin_us: int, end_us: int) -> None:
        """Records one link fault: between two placers, one placer and all others, or the placers of two regions."""
        kind, source, target = key[:3]
        sources = self.regions.get(source, [source])
        targets = self.regions.get(
            target, [target] if target else [name for name in self.names if name not in sources]
        )
        spans = [Span(begin_us, end_us, one, other) for one in sources for other in targets]
        if kind in LINK_FAULT_KINDS:
            self.impaired_links += spans
        if kind in CUT_KINDS:
            self.cut_links += spans
        self.disturbances += (
            spans if source in self.regions else [Span(begin_us, end_us, source, target)]
        )

    @cached_property
    def rule_sets(self) -> dict[str, RuleSet]:
        """The rule set of each label, as the first history with that label has it."""
        first: dict[str, str] = {}
        for lines in self.histories.values():
            for each in lines:
                if each["what"] == "rules":
                    first.setdefault(each["label"], each["rules"])
        return {label: parse_rule_set(text) for label, text in first.items() if label}

    def history_entries(self, what: str) -> list[tuple[str, dict[str, Any]]]:
        """All entries of one kind in the histories, ordered by time: (placer, entry)."""
        found = [
            (name, each)
            for name, lines in self.histories.items()
            for each in lines
            if each["what"] == what
        ]
        return sorted(found, key=lambda one: (int(one[1]["at_us"]), one[0]))

    def region_of(self, placer: str) -> str:
        """The region of a placer; "" if it has none."""
        return next((region for region, names in self.regions.items() if placer in names), "")

    def lifetime_at(self, placer: str, at_us: int) -> Span | None:
        """The last lifetime of a placer that began by a time; None if none did."""
        lifetimes = [
            lifetime for lifetime in self.lifetimes.get(placer, ()) if lifetime.begin_us <= at_us
        ]
        return lifetimes[-1] if lifetimes else None

    def running_at_end(self) -> list[str]:
        """Names of the placers that run at the end."""
        return [
            name
            for name in self.names
            if any(span.end_us == NEVER for span in self.lifetimes[name])
        ]
