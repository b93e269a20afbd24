"""Needless refusals: turned away though the fleet had room, or by a placer that could have had rules.

Whether a placer was in touch is read from the rig's own events, never from the program's word: from when a majority of
the voters ran and heard each other and the placer, both ways, without a fault on any of these links. What stood is
read at the stand-ins: tasks that ran and Jobs that waited for their answer, or Jobs accepted within the window.
"""

from __future__ import annotations

import re
from bisect import bisect_left, bisect_right
from itertools import combinations

from wingbarrow.decide.peers.asking import Times
from wingbarrow.decide.peers.limits import FleetLimit, drifted_us
from wingbarrow.lab.fleet.holding import loosest
from wingbarrow.lab.fleet.judging.run import NEVER, Run
from wingbarrow.lab.fleet.judging.verdict import Verdict
from wingbarrow.lab.record import Record

USED = 0.6  # of a limit: under that nobody is turned away
_LIMIT = re.compile(r"limit (\S+) of the whole fleet")
_NO_RULES = "may act on no rules"


def needless_us(times: Times) -> int:
    """For how long a placer may turn away for want of rules or rights once it is in touch with a majority.

    A grant that somebody lost has to lapse (`grant_us`, by any clock), a leader be elected (twice `election_us` at
    most, where no vote is split), and three asks go out: who leads, a grant, and rights by the next one.
    """
    return drifted_us(times.grant_us) + 2 * times.election_us + 3 * (times.again_us + times.again_us // 2)


class Touch:
    """From when to when each placer was in touch with a majority of the voters."""

    def __init__(self, run: Run) -> None:
        self._run = run
        self._apart: dict[frozenset[str], list[tuple[int, int]]] = {}
        self._away: dict[str, list[tuple[int, int]]] = {name: [] for name in run.names}
        for each in run.apart:
            self._apart.setdefault(frozenset((each.who, each.other)), []).append((each.begin_us, each.end_us))
        for name, lives in run.up.items():
            edges = [0, *(at for life in lives for at in (life.begin_us, life.end_us)), NEVER]
            self._away[name] += [(edges[i], edges[i + 1]) for i in range(0, len(edges), 2)]
        for each in run.stops:
            self._away[each.who].append((each.begin_us, each.end_us))

    def since(self, who: str, begin_us: int, end_us: int) -> bool:
        """Whether it was in touch with one majority all the time between."""
        others = [name for name in self._run.voters if name != who]
        wanted = len(self._run.voters) // 2 + 1 - (who in self._run.voters)
        return any(self._whole((who, *some), begin_us, end_us) for some in combinations(others, wanted))

    def _whole(self, names: tuple[str, ...], begin_us: int, end_us: int) -> bool:
        spans = [*(span for name in names for span in self._away[name]),
                 *(span for pair in combinations(names, 2) for span in self._apart.get(frozenset(pair), ()))]
        return not any(begin <= end_us and begin_us <= end for begin, end in spans)


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
            return bisect_right(taken, at_us) - bisect_left(taken, at_us - limit.window_us - slack_us)
        return sum(begin <= at_us and at_us - slack_us <= end for begin, end in self._open(wanted))

    def _accepted(self, task_class: str) -> list[int]:
        if task_class not in self._taken:
            self._taken[task_class] = sorted(each.at_us for each in self._records if each.what == "submit-failed" or (
                each.what == "accepted" and task_class in ("", each.data["task_class"])))
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
                waits[each.data["uid"]] = each.data["sent_us"], each.data["sent_us"] + each.data["patience_us"]
            elif each.what == "answer" and each.where == "owner" and each.data["uid"] in waits:
                out.append((waits.pop(each.data["uid"])[0], each.at_us))
        self._spans[task_class] = [*out, *waits.values(), *((begin, NEVER) for begin in runs.values())]
        return self._spans[task_class]


def judge_refusals(run: Run, out: Verdict) -> None:
    """Count them."""
    out.needless_stated_ms = needless_us(Times()) // 1000
    stated_us = needless_us(Times()) + run.slack_us
    limits, touch, stood = loosest(run.texts.values()), Touch(run), Stood(run.records)
    for each in run.records:
        if each.what != "turned-away" or each.at_us > (run.end_us or NEVER):
            continue
        placer, why, at = each.data["placer"], each.data.get("why", ""), each.at_us
        found = _LIMIT.search(why)
        if found and each.data["code"] == 429 and found[1] in limits:
            limit = limits[found[1]]
            used = stood.at(limit, at, run.slack_us)
            if used < USED * limit.most and touch.since(placer, at - stated_us, at):
                out.breach("needless_refusals",
                           f"{at}: {placer} turned away by {limit.key}, {used} of {limit.most} were in use")
        elif each.data["code"] == 503 and _NO_RULES in why and touch.since(placer, at - stated_us, at):
            out.breach("needless_refusals", f"{at}: {placer} acted on no rules though in touch with a majority")
