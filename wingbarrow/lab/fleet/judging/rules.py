"""Judges which rules placers acted on: contradictions, forbidden sends, and placers without the last rules."""

from __future__ import annotations

from dataclasses import replace

from wingbarrow.decide.coordination.messages import Timing
from wingbarrow.decide.rulesets.comparison import allows, allows_floor
from wingbarrow.decide.rulesets.parsing import parse_rule_set
from wingbarrow.decide.rulesets.ruleset import RuleSet
from wingbarrow.lab.fleet.judging.formulas import MAX_HUB_TURN_US
from wingbarrow.lab.fleet.judging.run import NEVER, Run
from wingbarrow.lab.fleet.judging.verdict import Verdict
from wingbarrow.lab.record import Record


def judge_rules(run: Run, out: Verdict) -> None:
    """Judge each offer by the rules that it was made under, and the rules of each placer at the end."""
    OfferChecks(run, out).judge()
    _judge_final_rules(run, out)


def edition_number(label: str) -> int:
    """The number in an edition's label; 0 for a floor's label or none."""
    return int(label[1:]) if label.startswith("e") and label[1:].isdecimal() else 0


class OfferChecks:
    """Judges all offers of a run that are not marked late, with the first and last use of each edition."""

    def __init__(self, run: Run, out: Verdict) -> None:
        self._run, self._out = run, out
        self._offers = [
            each for each in run.records if each.what == "offer" and not each.data["late"]
        ]
        self._first_use: dict[int, int] = {}
        self._last_use: dict[int, int] = {}
        for each in self._offers:
            edition = edition_number(each.data["rules"])
            if edition:
                self._first_use.setdefault(edition, each.at_us)
                self._last_use[edition] = each.at_us
        self._stated_us = Timing().overlap_us(MAX_HUB_TURN_US) + run.slack_us

    def judge(self) -> None:
        """Judge the offers."""
        run, out = self._run, self._out
        out.versions = sum(each["what"] == "accepted" for each in run.events)
        out.editions, out.stated_ms = len(self._first_use), self._stated_us // 1000
        self._judge_labels()
        for each in self._offers:
            rules = run.rule_sets.get(each.data["rules"])
            if rules is None:
                self._report_contradiction(each, "under rules that no history knows")
                continue
            # The rig's drains last beyond the end of its runs, so none of them has expired.
            closed = {*rules.barred, *(drain.machine for drain in rules.asked)}
            if each.where in closed or all(
                known.name != each.data["task_class"] for known in rules.classes
            ):
                out.breach(
                    "forbidden_sends",
                    f"{each.at_us}: {each.data['placer']} to {each.where} against "
                    f"{each.data['rules']}",
                )
            if edition_number(each.data["rules"]):
                self._judge_edition_offer(each, rules)
            else:
                out.sends_on_floor += 1
                self._judge_floor_offer(each, rules)

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
                        "contradictions", f"{name} has other rules under label {each['label']}"
                    )

    def _report_contradiction(self, offer: Record, reason: str) -> None:
        self._out.breach(
            "contradictions",
            f"{offer.at_us}: {offer.data['placer']} sent {offer.data['pod']} under "
            f"{offer.data['rules'] or 'no label'}: {reason}",
        )

    def _judge_edition_offer(self, offer: Record, rules: RuleSet) -> None:
        edition = edition_number(offer.data["rules"])
        later = [
            number
            for number, at in self._first_use.items()
            if number >= edition + 2 and at < offer.at_us
        ]
        if later:
            self._report_contradiction(offer, f"e{max(later)} was in use")
            return
        following = self._run.rule_sets.get(f"e{edition + 1}")
        since = self._first_use.get(edition + 1, NEVER)
        if following is not None and since < offer.at_us and not allows(rules, following):
            overlap_us = offer.at_us - since
            self._out.longest_contradiction_ms = max(
                self._out.longest_contradiction_ms, overlap_us // 1000
            )
            if overlap_us > self._stated_us:
                self._report_contradiction(
                    offer, f"{overlap_us // 1000} ms after e{edition + 1} was in use"
                )

    def _judge_floor_offer(self, offer: Record, rules: RuleSet) -> None:
        for edition, since in self._first_use.items():
            known = self._run.rule_sets.get(f"e{edition}")
            if (
                since <= offer.at_us <= self._last_use[edition]
                and known is not None
                and not allows_floor(rules, known)
            ):
                self._report_contradiction(offer, f"e{edition}, in use, forbids some of it")


def _judge_final_rules(run: Run, out: Verdict) -> None:
    accepted = [each["rules"] for each in run.events if each["what"] == "accepted"]
    drained, unanswered = _drained(run)
    for name in run.running_at_end() if accepted else ():
        labels = [
            each["label"]
            for each in run.histories[name]
            if each["what"] == "rules" and each["at_us"] <= run.end_us
        ]
        # A proposal does not list the drains that the rig requested, and leaves them in place.
        last = run.rule_sets.get(labels[-1]) if labels else None
        if last is None or replace(last, asked=(), cancelled=()) != parse_rule_set(accepted[-1]):
            out.breach(
                "not_on_last",
                f"at the end {name} acts on {labels[-1] if labels else 'nothing'}, not on the last rules",
            )
        elif {each.machine for each in last.asked} - unanswered != drained - unanswered:
            out.breach(
                "not_on_last",
                f"at the end {name} has other machines drained than {', '.join(sorted(drained))}",
            )


def _drained(run: Run) -> tuple[set[str], set[str]]:
    """Machines that are drained at the end by the answers that the rig got, and those for which it got no answer."""
    drained: set[str] = set()
    unanswered: set[str] = set()
    for each in run.events:
        if each["what"] == "drain":
            if each["told"] is None:
                unanswered.add(each["machine"])
            elif each["told"].get("kind") == "Drain":
                drained.add(each["machine"])
            elif each["back"] and each["told"].get("status") == "Success":
                drained.discard(each["machine"])
    return drained, unanswered
