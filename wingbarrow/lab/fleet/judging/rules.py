"""Which rules were acted on when: contradictions, forbidden sends, and who is not on the last ones."""

from __future__ import annotations

from dataclasses import replace

from wingbarrow.decide.coordination.messages import Timing
from wingbarrow.decide.rulesets.comparison import allows, allows_floor
from wingbarrow.decide.rulesets.parsing import parse_rule_set
from wingbarrow.decide.rulesets.ruleset import RuleSet
from wingbarrow.lab.fleet.judging.formulas import TURN_US
from wingbarrow.lab.fleet.judging.run import NEVER, Run
from wingbarrow.lab.fleet.judging.verdict import Verdict
from wingbarrow.lab.record import Record


def judge_rules(run: Run, out: Verdict) -> None:
    """Judge each offer by the rules that it was made under."""
    Sends(run, out).judge()
    _judge_last(run, out)


def edition_of(label: str) -> int:
    """The number of an edition's label; 0 for a floor's, or none."""
    return int(label[1:]) if label.startswith("e") and label[1:].isdecimal() else 0


class Sends:
    """All offers of a run, and from when to when each edition was in use."""

    def __init__(self, run: Run, out: Verdict) -> None:
        self._run, self._out = run, out
        self._sends = [
            each for each in run.records if each.what == "offer" and not each.data["late"]
        ]
        self._first: dict[int, int] = {}
        self._last: dict[int, int] = {}
        for each in self._sends:
            edition = edition_of(each.data["rules"])
            if edition:
                self._first.setdefault(edition, each.at_us)
                self._last[edition] = each.at_us
        self._stated_us = Timing().overlap_us(TURN_US) + run.slack_us

    def judge(self) -> None:
        """Judge them."""
        run, out = self._run, self._out
        out.versions = sum(each["what"] == "accepted" for each in run.events)
        out.editions, out.stated_ms = len(self._first), self._stated_us // 1000
        self._judge_labels()
        for each in self._sends:
            rules = run.texts.get(each.data["rules"])
            if rules is None:
                self._contradicts(each, "under rules that no history knows")
                continue
            closed = {
                *rules.barred,
                *(drain.machine for drain in rules.asked),
            }  # the rig's drains outlast its runs
            if each.where in closed or all(
                known.name != each.data["task_class"] for known in rules.classes
            ):
                out.breach(
                    "forbidden_sends",
                    f"{each.at_us}: {each.data['placer']} to {each.where} against "
                    f"{each.data['rules']}",
                )
            if edition_of(each.data["rules"]):
                self._judge_send(each, rules)
            else:
                out.sends_on_floor += 1
                self._judge_floor(each, rules)

    def _judge_labels(self) -> None:
        first: dict[str, str] = {}
        for name, lines in self._run.histories.items():
            for each in lines:
                known = (
                    first.setdefault(each["label"], each["rules"])
                    if each["what"] == "rules"
                    else ""
                )
                if known and known != each["rules"]:
                    self._out.breach(
                        "contradictions", f"{name} knows other rules as {each['label']}"
                    )

    def _contradicts(self, send: Record, words: str) -> None:
        self._out.breach(
            "contradictions",
            f"{send.at_us}: {send.data['placer']} sent {send.data['pod']} under "
            f"{send.data['rules'] or 'no label'}: {words}",
        )

    def _judge_send(self, send: Record, rules: RuleSet) -> None:
        edition = edition_of(send.data["rules"])
        later = [
            number
            for number, at in self._first.items()
            if number >= edition + 2 and at < send.at_us
        ]
        if later:
            self._contradicts(send, f"e{max(later)} was in use")
            return
        following, since = (
            self._run.texts.get(f"e{edition + 1}"),
            self._first.get(edition + 1, NEVER),
        )
        if following is not None and since < send.at_us and not allows(rules, following):
            took = send.at_us - since
            self._out.longest_contradiction_ms = max(
                self._out.longest_contradiction_ms, took // 1000
            )
            if took > self._stated_us:
                self._contradicts(send, f"{took // 1000} ms after e{edition + 1} was in use")

    def _judge_floor(self, send: Record, rules: RuleSet) -> None:
        for edition, since in self._first.items():
            known = self._run.texts.get(f"e{edition}")
            if (
                since <= send.at_us <= self._last[edition]
                and known is not None
                and not allows_floor(rules, known)
            ):
                self._contradicts(send, f"e{edition}, in use, forbids some of it")


def _judge_last(run: Run, out: Verdict) -> None:
    accepted = [each["rules"] for each in run.events if each["what"] == "accepted"]
    drained, unsure = _drained(run)
    for name in run.running() if accepted else ():
        told = [
            each["label"]
            for each in run.histories[name]
            if each["what"] == "rules" and each["at_us"] <= run.end_us
        ]
        # Drains that the rig had asked for stay through a proposal, which does not speak of them.
        last = run.texts.get(told[-1]) if told else None
        if last is None or replace(last, asked=(), cancelled=()) != parse_rule_set(accepted[-1]):
            out.breach(
                "not_on_last",
                f"at the end {name} acts on {told[-1] if told else 'nothing'}, not on the last rules",
            )
        elif {each.machine for each in last.asked} - unsure != drained - unsure:
            out.breach(
                "not_on_last",
                f"at the end {name} has other machines drained than {', '.join(sorted(drained))}",
            )


def _drained(run: Run) -> tuple[set[str], set[str]]:
    """Machines whose drain stands at the end by what the rig was answered; those of which it was not told."""
    drained: set[str] = set()
    unsure: set[str] = set()
    for each in run.events:
        if each["what"] == "drain":
            if each["told"] is None:
                unsure.add(each["machine"])
            elif each["told"].get("kind") == "Drain":
                drained.add(each["machine"])
            elif each["back"] and each["told"].get("status") == "Success":
                drained.discard(each["machine"])
    return drained, unsure
