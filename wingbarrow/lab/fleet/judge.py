"""The judge of a fleet's run: from the rig's events, the recording at the stand-ins and the processes' histories.

It asks no process anything and shares no code with what it judges, but for the formulas of the stated times. What it
holds the fleet to, beside the audit's five rules:

- **unfounded burial**: a placer told that another is dead, though neither was stopped or down, and no link of either
  had a fault, at any time of the stated detection time before;
- **late burial**: a placer was killed and stayed down for longer than the stated detection time, while no other fault
  was on, and another that ran all the while did not tell so within that time;
- **not healed**: a stated time after the last fault, one that runs does not hold another that runs for alive.
"""

from __future__ import annotations

import json
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from wingbarrow.config import load_file
from wingbarrow.decide.peers.membership import Rules
from wingbarrow.lab.audit import Audit, audit
from wingbarrow.lab.record import Recorder

SLACK_US = 250_000  # by which the rig itself may read an answer late, beside the worst lag that it saw of itself
ALIVE = ("joined", "alive", "restarted")
NEVER = 1 << 62


@dataclass(frozen=True, slots=True)
class Span:
    """A time during which something held of one or two placers."""

    begin_us: int
    end_us: int
    who: str
    other: str = ""

    def meets(self, begin_us: int, end_us: int, *names: str) -> bool:
        """Whether it overlaps a time, and concerns one of some placers (any, without names)."""
        return self.begin_us <= end_us and begin_us <= self.end_us and (
            not names or self.who in names or self.other in names)


@dataclass
class Verdict:
    """What a run came to; times in milliseconds, None where nothing of the kind happened."""

    placers: int
    sends: int = 0
    faults: int = 0
    kills: int = 0
    burials: int = 0
    unfounded_burials: int = 0
    late_burials: int = 0
    not_healed: int = 0
    ended_badly: int = 0  # processes that ended by themselves, or not with status 0 when asked to
    detect_stated_ms: int = 0
    detect_longest_ms: int | None = None
    heal_stated_ms: int = 0
    heal_longest_ms: int | None = None
    slack_ms: int = 0
    audit: Audit = field(default_factory=Audit)
    notes: list[str] = field(default_factory=list)

    @property
    def clean(self) -> bool:
        """Whether nothing was broken."""
        return self.audit.clean and not (self.unfounded_burials or self.late_burials or self.not_healed
                                         or self.ended_badly)

    def line(self) -> dict[str, Any]:
        """The last line of a run. `contradictions` is told once placers act on agreed rules: until then it is null."""
        own = {key: value for key, value in vars(self).items() if key not in ("audit", "notes")}
        return {"kind": "verdict", **own, "contradictions": None, "longest_contradiction_ms": None, "stated_ms": None,
                **{key: value for key, value in self.audit.line().items() if key != "kind"}}


def read_lines(path: Path) -> list[dict[str, Any]]:
    """A file of JSON objects; a torn last line, as a kill leaves it, is passed over."""
    out: list[dict[str, Any]] = []
    raw = path.read_bytes().split(b"\n") if path.exists() else []
    for number, line in enumerate(raw):
        try:
            out.append(json.loads(line))
        except ValueError:
            if line and number < len(raw) - 1 and not raw[number + 1:][0].startswith(b"{"):
                raise
    return out


class Judge:
    """One run's directory, read."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        size = json.loads((folder / "fleet.json").read_text())["size"]
        self.names = [f"placer-{index}" for index in range(size["placers"])]
        self.events = read_lines(folder / "events.jsonl")
        self.histories = {name: read_lines(folder / f"{name}.history.jsonl") for name in self.names}
        self.rules = Rules()
        self.end_us = next((each["at_us"] for each in self.events if each["what"] == "over"), 0)
        self.up: dict[str, list[Span]] = {name: [] for name in self.names}
        self.troubles: list[Span] = []  # faults of links, stops, and times down
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
            elif what in ("fault", "healed") and each["kind"] not in ("stop", "kill"):
                key = (each["kind"], who, each["other"], str(each["amount"]), str(each["both"]))
                if what == "fault":
                    open_[key] = at
                elif key in open_:
                    self.troubles.append(Span(open_.pop(key), at, who, each["other"]))
            elif what == "stopped":
                open_["stopped", who] = at
            elif what == "continued" and ("stopped", who) in open_:
                self.troubles.append(Span(open_.pop(("stopped", who)), at, who))
        for who, at in begun.items():
            self.up[who].append(Span(at, NEVER, who))
        self.troubles += [Span(at, NEVER, who) for who, at in down.items()]
        self.troubles += [Span(at, NEVER, key[1], key[2] if len(key) > 2 else "") for key, at in open_.items()]

    def verdict(self) -> Verdict:
        """Judge."""
        out = Verdict(len(self.names))
        out.faults = sum(each["what"] == "fault" for each in self.events)
        out.kills = sum(each["what"] == "killed" for each in self.events)
        count = len(self.names)
        out.detect_stated_ms, out.heal_stated_ms = (self.rules.detect_us(count) // 1000,
                                                    self.rules.heal_us(count) // 1000)
        lag = max((each.get("lag_worst_us", 0) for each in self.events), default=0)
        out.slack_ms = (SLACK_US + lag) // 1000
        out.audit = audit(Recorder.read(self.folder / "recording.jsonl"),
                          load_file(self.folder / f"{self.names[0]}.kdl"), SLACK_US + lag)
        out.sends = out.audit.offers
        out.notes += out.audit.notes
        self._judge_burials(out)
        self._judge_late(out)
        self._judge_end(out)
        self._judge_statuses(out)
        return out

    # -- burials

    def _burials(self) -> list[tuple[int, str, str]]:
        return [(each["at_us"], teller, each["member"]) for teller, lines in self.histories.items()
                for each in lines if each["what"] == "member-dead"]

    def _judge_burials(self, out: Verdict) -> None:
        window = self.rules.detect_us(len(self.names))
        for at, teller, member in self._burials():
            out.burials += 1
            if not any(each.meets(at - window, at, teller, member) for each in self.troubles):
                out.unfounded_burials += 1
                out.notes.append(f"{at}: {teller} buried {member}, of neither of which anything was wrong")

    def _judge_late(self, out: Verdict) -> None:
        window = self.rules.detect_us(len(self.names))
        told = defaultdict(list)
        for at, teller, member in self._burials():
            told[teller, member].append(at)
        for name in self.names:
            for life in self.up[name]:
                down = next((each for each in self.troubles if each.who == name and not each.other
                             and each.begin_us == life.end_us), None)
                if down is None or down.end_us - down.begin_us <= window or self.end_us - down.begin_us <= window:
                    continue
                for teller in self.names:
                    if teller != name:
                        since = [at for at in told[teller, name] if at >= down.begin_us]
                        self._judge_one_late(out, down, teller, since)

    def _judge_one_late(self, out: Verdict, down: Span, teller: str, told: list[int]) -> None:
        window = self.rules.detect_us(len(self.names))
        took = min(told) - down.begin_us if told else NEVER
        if took != NEVER and took <= window:
            out.detect_longest_ms = max(out.detect_longest_ms or 0, took // 1000)
        elif not any(each.meets(down.begin_us, down.begin_us + window) for each in self.troubles if each is not down):
            out.late_burials += 1
            out.notes.append(f"{down.begin_us}: {teller} did not tell within the stated time that {down.who} is dead")

    # -- the end

    def standings(self, teller: str) -> dict[str, tuple[str, int]]:
        """What one thought of all others last, and since when."""
        out: dict[str, tuple[str, int]] = {}
        for each in self.histories[teller]:
            what = each["what"]
            if what == "start":
                out.clear()
            elif what.startswith("member-") and "member" in each and each["at_us"] <= self.end_us:
                out[each["member"]] = what.removeprefix("member-"), each["at_us"]
        return out

    def _judge_end(self, out: Verdict) -> None:
        quiet = max((each.end_us for each in self.troubles if each.end_us != NEVER), default=0)
        running = [name for name in self.names if any(span.end_us == NEVER for span in self.up[name])]
        for teller in running:
            thought = self.standings(teller)
            for member in running:
                if member == teller:
                    continue
                standing, since = thought.get(member, ("never heard of", 0))
                if standing in ALIVE:
                    if quiet and since > quiet:
                        out.heal_longest_ms = max(out.heal_longest_ms or 0, (since - quiet) // 1000)
                else:
                    out.not_healed += 1
                    out.notes.append(f"at the end {teller} holds {member} for {standing}")
        if out.heal_longest_ms is not None and out.heal_longest_ms > out.heal_stated_ms:
            out.not_healed += 1
            out.notes.append(f"healed only after {out.heal_longest_ms} ms")

    def _judge_statuses(self, out: Verdict) -> None:
        for each in self.events:
            if each["what"] == "ended" and each["status"] != 0:
                out.ended_badly += 1
                out.notes.append(f"{each['who']} ended with status {each['status']}")
        if not self.end_us:
            out.ended_badly += 1
            out.notes.append("the run was not played to its end")


def judge(folder: Path) -> Verdict:
    """Judge a run by what it left."""
    return Judge(folder).verdict()
