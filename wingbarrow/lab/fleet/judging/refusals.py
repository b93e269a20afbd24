"""Needless refusals: turned away though the fleet had room, or by a placer that could have had rules.

Whether a placer was in touch is read from the rig's own events, never from the program's word: from when a majority of
the voters ran and heard each other and the placer, both ways, without a fault on any of these links. What stood is
read at the stand-ins: tasks that ran and Jobs that waited for their answer, or Jobs accepted within the window.
"""

from __future__ import annotations

import re
from bisect import bisect_left, bisect_right

from wingbarrow.decide.coordination.messages import Timing
from wingbarrow.decide.quotas.limits import FleetLimit
from wingbarrow.lab.fleet.judging.reach import Touch
from wingbarrow.lab.fleet.judging.run import NEVER, Run
from wingbarrow.lab.fleet.judging.verdict import Verdict
from wingbarrow.lab.fleet.quota_checks import loosest_limits
from wingbarrow.lab.record import Record

USED = 0.6  # of a limit: under that nobody is turned away
_LIMIT = re.compile(r"limit (\S+) of the whole fleet")
_NO_RULES = "may act on no rules"


class Stood:
    """What stood at the stand-ins at a time, of a class or of all."""

    def __init__(self, records: list[Record]) -> None:
        self._records = records
        self._spans: dict[str, list[tuple[int, int]]] = {}
        self._taken: dict[str, list[int]] = {}

    def at(self, limit: FleetLimit, at_us: int, slack_us: int) -> int:
        """So much of a limit was in use, at any time of the slack before."""
        wanted = limit.name if limit.about == "class" else ""
        if limit.kind == "rate":
            taken = self._accepted(wanted)
            return bisect_right(taken, at_us) - bisect_left(
                taken, at_us - limit.window_us - slack_us
            )
        return sum(begin <= at_us and at_us - slack_us <= end for begin, end in self._open(wanted))

    def _accepted(self, task_class: str) -> list[int]:
        if task_class not in self._taken:
            self._taken[task_class] = sorted(
                each.at_us
                for each in self._records
                if each.what == "submit-failed"
                or (each.what == "accepted" and task_class in ("", each.data["task_class"]))
            )
        return self._taken[task_class]

    def _open(self, task_class: str) -> list[tuple[int, int]]:
        if task_class in self._spans:
            return self._spans[task_class]
        out: list[tuple[int, int]] = []
        runs: dict[tuple[str, str], int] = {}
        waits: dict[str, tuple[int, int]] = {}
        for each in self._records:
            if each.what == "start" and task_class in ("", each.data["task_class"]):
                runs[each.where, each.data["pod"]] = each.at_us
            elif each.what == "end" and (each.where, each.data["pod"]) in runs:
                out.append((runs.pop((each.where, each.data["pod"])), each.at_us))
            elif each.what == "accepted" and task_class in ("", each.data["task_class"]):
                waits[each.data["uid"]] = (
                    each.data["sent_us"],
                    each.data["sent_us"] + each.data["patience_us"],
                )
            elif each.what == "answer" and each.where == "owner" and each.data["uid"] in waits:
                out.append((waits.pop(each.data["uid"])[0], each.at_us))
        self._spans[task_class] = [
            *out,
            *waits.values(),
            *((begin, NEVER) for begin in runs.values()),
        ]
        return self._spans[task_class]


def judge_refusals(run: Run, out: Verdict) -> None:
    """Count them."""
    out.starved = len(run.starved)
    out.needless_stated_ms = Timing().reacquire_us() // 1000
    stated_us = Timing().reacquire_us() + run.slack_us
    limits, touch, stood = loosest_limits(run.texts.values()), Touch(run), Stood(run.records)
    for each in run.records:
        if each.what != "turned-away" or each.at_us > (run.end_us or NEVER):
            continue
        placer, why, at = each.data["placer"], each.data.get("why", ""), each.at_us
        found = _LIMIT.search(why)
        if found and each.data["code"] == 429 and found[1] in limits:
            limit = limits[found[1]]
            used = stood.at(limit, at, run.slack_us)
            if used < USED * limit.most and touch.since(placer, at - stated_us, at):
                out.breach(
                    "needless_refusals",
                    f"{at}: {placer} turned away by {limit.key}, {used} of {limit.most} were in use",
                )
        elif (
            each.data["code"] == 503
            and _NO_RULES in why
            and touch.since(placer, at - stated_us, at)
        ):
            out.breach(
                "needless_refusals",
                f"{at}: {placer} acted on no rules though in touch with a majority",
            )
