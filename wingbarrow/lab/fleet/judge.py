"""The judge of a fleet's run: from the rig's events, the recording at the stand-ins and the processes' histories.

It asks no process anything and shares no code with what it judges, but for the formulas of the stated times. What it
holds the fleet to, beside the audit's five rules:

- **unfounded burial**: a placer told that another is dead, though neither was stopped or down, and no link of either
  had a fault, at any time of the stated detection time before;
- **late burial**: a placer was killed and stayed down for longer than the stated detection time, while no other fault
  was on, and another that ran all the while did not tell so within that time;
- **contradiction**: an offer under an edition of the rules after one two further on was in use, or for longer than the
  stated time after the next one that forbids some of it was in use; under rules that another placer knows otherwise by
  the same label; under a floor that allows what an edition in use forbids; or under no label;
- **forbidden send**: to a machine that the offer's own rules bar or have drained, or of a class that they lack;
- **limit over**: more tasks ran at once, or were accepted within the window, than a limit of the whole fleet allows, or
  more rights are held at the end than there are;
- **unfounded closure**: a verdict closed a machine though fewer placers than its terms want had a start fail there;
- **not on the last**: a placer that runs at the end acts on other rules than those accepted last, or has other machines
  drained than were asked for and not taken back;
- **not healed**: a stated time after the last fault, one that runs does not hold another that runs for alive.
"""

from __future__ import annotations

import json
from collections import defaultdict
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from wingbarrow.config import load_file
from wingbarrow.decide.peers.agreement import Times
from wingbarrow.decide.peers.membership import Rules
from wingbarrow.decide.peers.verdicts import Terms
from wingbarrow.decide.peers.rules import RuleSet, allows, keeps_floor, read
from wingbarrow.lab.audit import Audit, audit
from wingbarrow.lab.fleet.holding import loosest, over, unaccounted, unfounded
from wingbarrow.lab.record import Record, Recorder

SLACK_US = 250_000  # by which the rig itself may read an answer late, beside the worst lag that it saw of itself
ALIVE = ("joined", "alive", "restarted")
NEVER = 1 << 62
TURN_US = 10_000  # the hub's longest turn, between the gate and the write
BREACHES = ("unfounded_burials", "late_burials", "not_healed", "contradictions", "forbidden_sends", "limit_overs",
            "unfounded_closures",             "not_on_last", "ended_badly")


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
    versions: int = 0  # accepted while it was played
    editions: int = 0  # in use
    contradictions: int = 0
    longest_contradiction_ms: int = 0
    stated_ms: int = 0
    forbidden_sends: int = 0
    limit_overs: int = 0
    turned_away: int = 0  # by a limit of the whole fleet
    closures: int = 0  # of a machine to a placer, by a verdict
    unfounded_closures: int = 0
    not_on_last: int = 0
    sends_on_floor: int = 0
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
        return self.audit.clean and not any(getattr(self, name) for name in BREACHES)

    def line(self) -> dict[str, Any]:
        """The last line of a run."""
        own = {key: value for key, value in vars(self).items() if key not in ("audit", "notes")}
        return {"kind": "verdict", **own, **{key: value for key, value in self.audit.line().items() if key != "kind"}}


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
            elif what in ("fault", "healed") and each["kind"] not in ("stop", "kill", "faulty"):
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
        records = Recorder.read(self.folder / "recording.jsonl")
        out.audit = audit(records, load_file(self.folder / f"{self.names[0]}.kdl"), SLACK_US + lag)
        self._judge_rules(out, records, SLACK_US + lag)
        self._judge_limits(out, records)
        self._judge_closures(out, records, SLACK_US + lag)
        out.sends = out.audit.offers
        out.notes += out.audit.notes
        self._judge_burials(out)
        self._judge_late(out)
        self._judge_end(out)
        self._judge_statuses(out)
        return out

    # -- rules

    def _judge_rules(self, out: Verdict, records: list[Record], slack_us: int) -> None:
        out.versions = sum(each["what"] == "accepted" for each in self.events)
        texts = self._texts(out)
        stated_us = Times().stated_us(TURN_US) + slack_us
        out.stated_ms = stated_us // 1000
        sends = [each for each in records if each.what == "offer" and not each.data["late"]]
        first: dict[int, int] = {}
        last: dict[int, int] = {}
        for each in sends:
            edition = _edition(each.data["rules"])
            if edition:
                first.setdefault(edition, each.at_us)
                last[edition] = each.at_us
        out.editions = len(first)
        for each in sends:
            rules = texts.get(each.data["rules"])
            if rules is None:
                self._contradicts(out, each, "under rules that no history knows")
                continue
            closed = {*rules.barred, *(drain.machine for drain in rules.asked)}  # the rig's drains outlast its runs
            if each.where in closed or all(known.name != each.data["task_class"] for known in rules.classes):
                out.forbidden_sends += 1
                out.notes.append(f"{each.at_us}: {each.data['placer']} to {each.where} against {each.data['rules']}")
            edition = _edition(each.data["rules"])
            if not edition:
                out.sends_on_floor += 1
                self._judge_floor(out, each, rules, texts, first, last)
            else:
                self._judge_send(out, each, edition, rules, texts, first, stated_us)
        self._judge_last(out, texts)

    def _judge_limits(self, out: Verdict, records: list[Record]) -> None:
        limits = loosest(self._texts(Verdict(0)).values())
        last = {name: [each["shares"] for each in lines if each["what"] == "rights" and each["at_us"] <= self.end_us]
                for name, lines in self.histories.items()}
        shares = {name: found[-1] for name, found in last.items() if found and self.up[name][-1].end_us == NEVER}
        for words in (*over(limits, records), *unaccounted(limits, shares)):
            out.limit_overs += 1
            out.notes.append(words)
        out.turned_away = sum(each.what == "turned-away" and each.data["code"] == 429 for each in records)

    def _judge_closures(self, out: Verdict, records: list[Record], slack_us: int) -> None:
        terms = Terms()
        window = terms.span_us + 2 * Times().grant_us + (terms.lasts_us << terms.doublings) + slack_us
        first: dict[str, int] = {}  # when a verdict that still holds was heard of first
        for at, name, closed in sorted((each["at_us"], name, each["machines"]) for name, lines in self.histories.items()
                                       for each in lines if each["what"] == "verdicts"):
            for machine in closed:
                out.closures += 1
                if at - first.get(machine, -NEVER) <= window - terms.span_us:
                    continue  # one that came to others before, or again after its prober's turn
                first[machine] = at
                if unfounded(machine, at, terms.span_us + 2 * Times().grant_us + slack_us, terms.witnesses, records):
                    out.unfounded_closures += 1
                    out.notes.append(f"{at}: {name} leaves {machine} alone, which hardly anybody saw fail")

    def _texts(self, out: Verdict) -> dict[str, RuleSet]:
        texts: dict[str, str] = {}
        for name, lines in self.histories.items():
            for each in lines:
                known = texts.setdefault(each["label"], each["rules"]) if each["what"] == "rules" else ""
                if known and known != each["rules"]:
                    out.contradictions += 1
                    out.notes.append(f"{name} knows other rules as {each['label']}")
        return {label: read(text) for label, text in texts.items() if label}

    def _contradicts(self, out: Verdict, send: Record, words: str) -> None:
        out.contradictions += 1
        if len(out.notes) < 100:
            out.notes.append(f"{send.at_us}: {send.data['placer']} sent {send.data['pod']} under "
                             f"{send.data['rules'] or 'no label'}: {words}")

    def _judge_send(self, out: Verdict, send: Record, edition: int, rules: RuleSet, texts: dict[str, RuleSet],
                    first: dict[int, int], stated_us: int) -> None:
        later = [number for number, at in first.items() if number >= edition + 2 and at < send.at_us]
        if later:
            self._contradicts(out, send, f"e{max(later)} was in use")
            return
        following, since = texts.get(f"e{edition + 1}"), first.get(edition + 1, NEVER)
        if following is not None and since < send.at_us and not allows(rules, following):
            took = send.at_us - since
            out.longest_contradiction_ms = max(out.longest_contradiction_ms, took // 1000)
            if took > stated_us:
                self._contradicts(out, send, f"{took // 1000} ms after e{edition + 1} was in use")

    def _judge_floor(self, out: Verdict, send: Record, rules: RuleSet, texts: dict[str, RuleSet], first: dict[int, int],
                     last: dict[int, int]) -> None:
        for edition, since in first.items():
            known = texts.get(f"e{edition}")
            if since <= send.at_us <= last[edition] and known is not None and not keeps_floor(rules, known):
                self._contradicts(out, send, f"e{edition}, in use, forbids some of it")

    def _judge_last(self, out: Verdict, texts: dict[str, RuleSet]) -> None:
        accepted = [each["rules"] for each in self.events if each["what"] == "accepted"]
        drained, unsure = self._drained()
        for name in self.names:
            if not accepted or all(span.end_us != NEVER for span in self.up[name]):
                continue
            told = [each["label"] for each in self.histories[name]
                    if each["what"] == "rules" and each["at_us"] <= self.end_us]
            # Drains that the rig had asked for stay through a proposal, which does not speak of them.
            last = texts.get(told[-1]) if told else None
            if last is None or replace(last, asked=(), cancelled=()) != read(accepted[-1]):
                out.not_on_last += 1
                out.notes.append(f"at the end {name} acts on {told[-1] if told else 'nothing'}, not on the last rules")

            elif {each.machine for each in last.asked} - unsure != drained - unsure:
                out.not_on_last += 1
                out.notes.append(f"at the end {name} has other machines drained than {', '.join(sorted(drained))}")

    def _drained(self) -> tuple[set[str], set[str]]:
        """Machines whose drain stands at the end by what the rig was answered; those of which it was not told."""
        drained: set[str] = set()
        unsure: set[str] = set()
        for each in self.events:
            if each["what"] == "drain":
                if each["told"] is None:
                    unsure.add(each["machine"])
                elif each["told"].get("kind") == "Drain":
                    drained.add(each["machine"])
                elif each["back"] and each["told"].get("status") == "Success":
                    drained.discard(each["machine"])
        return drained, unsure

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


def _edition(label: str) -> int:
    """The number of an edition's label; 0 for a floor's, or none."""
    return int(label[1:]) if label.startswith("e") and label[1:].isdecimal() else 0


def judge(folder: Path) -> Verdict:
    """Judge a run by what it left."""
    return Judge(folder).verdict()
