"""Judges needless refusals: of Jobs within a limit of the fleet, or by a placer that could have had rules.

Whether a placer was in contact is derived from the rig's own events, never from what the placer reports: a majority of
the voters ran, and neither their links to each other nor those to the placer had a fault in either direction. The use
of a limit is derived from the stand-ins' records: running tasks and Jobs that wait for their answer, or, for a rate,
Jobs accepted within the window.
"""

from __future__ import annotations

import re
from bisect import bisect_left, bisect_right

from wingbarrow.decide.coordination.messages import Timing
from wingbarrow.decide.quotas.limits import FleetLimit
from wingbarrow.lab.fleet.judging.connectivity import MajorityContact
from wingbarrow.lab.fleet.judging.run import NEVER, Run
from wingbarrow.lab.fleet.judging.verdict import Verdict
from wingbarrow.lab.fleet.quota_checks import loosest_limits
from wingbarrow.lab.record import Record

MIN_USED_SHARE = 0.6  # a refusal for a limit that was used to a lower share is needless
_LIMIT = re.compile(r"limit (\S+) of the whole fleet")
_NO_RULES = "may act on no rules"  # part of the refusal's text


class LimitUse:
    """How much of a limit was in use at a time, by the stand-ins' records, for one class or for all."""

    def __init__(self, records: list[Record]) -> None:
        self._records = records
        self._spans: dict[str, list[tuple[int, int]]] = {}
        self._accept_times: dict[str, list[int]] = {}

    def used(self, limit: FleetLimit, at_us: int, slack_us: int) -> int:
        """The amount of a limit in use at a time, or at any time within `slack_us` before it."""
        task_class = limit.name if limit.about == "class" else ""
        if limit.kind == "rate":
            times = self._accept_times_of(task_class)
            return bisect_right(times, at_us) - bisect_left(
                times, at_us - limit.window_us - slack_us
            )
        return sum(
            begin <= at_us and at_us - slack_us <= end
            for begin, end in self._in_use_spans(task_class)
        )

    def _accept_times_of(self, task_class: str) -> list[int]:
        if task_class not in self._accept_times:
            self._accept_times[task_class] = sorted(
                each.at_us
                for each in self._records
                if each.what == "submit-failed"
                or (each.what == "accepted" and task_class in ("", each.data["task_class"]))
            )
        return self._accept_times[task_class]

    def _in_use_spans(self, task_class: str) -> list[tuple[int, int]]:
        if task_class in self._spans:
            return self._spans[task_class]
        out: list[tuple[int, int]] = []
        running: dict[tuple[str, str], int] = {}
        waiting: dict[str, tuple[int, int]] = {}
        for each in self._records:
            if each.what == "start" and task_class in ("", each.data["task_class"]):
                running[each.where, each.data["pod"]] = each.at_us
            elif each.what == "end" and (each.where, each.data["pod"]) in running:
                out.append((running.pop((each.where, each.data["pod"])), each.at_us))
            elif each.what == "accepted" and task_class in ("", each.data["task_class"]):
                waiting[each.data["uid"]] = (
                    each.data["sent_us"],
                    each.data["sent_us"] + each.data["patience_us"],
                )
            elif each.what == "answer" and each.where == "owner" and each.data["uid"] in waiting:
                out.append((waiting.pop(each.data["uid"])[0], each.at_us))
        self._spans[task_class] = [
            *out,
            *waiting.values(),
            *((begin, NEVER) for begin in running.values()),
        ]
        return self._spans[task_class]


def judge_refusals(run: Run, out: Verdict) -> None:
    """Count the needless refusals."""
    out.starved = len(run.starved)
    out.needless_stated_ms = Timing().reacquire_us() // 1000
    stated_us = Timing().reacquire_us() + run.slack_us
    limits = loosest_limits(run.rule_sets.values())
    contact = MajorityContact(run)
    limit_use = LimitUse(run.records)
    for each in run.records:
        if each.what != "turned-away" or each.at_us > (run.end_us or NEVER):
            continue
        placer, why, at = each.data["placer"], each.data.get("why", ""), each.at_us
        found = _LIMIT.search(why)
        if found and each.data["code"] == 429 and found[1] in limits:
            limit = limits[found[1]]
            used = limit_use.used(limit, at, run.slack_us)
            if used < MIN_USED_SHARE * limit.most and contact.throughout(
                placer, at - stated_us, at
            ):
                out.breach(
                    "needless_refusals",
                    f"{at}: {placer} turned away by {limit.key}, {used} of {limit.most} were in use",
                )
        elif (
            each.data["code"] == 503
            and _NO_RULES in why
            and contact.throughout(placer, at - stated_us, at)
        ):
            out.breach(
                "needless_refusals",
                f"{at}: {placer} had no rules though in contact with a majority",
            )
