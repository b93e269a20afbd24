"""Verdicts on machines that hold for the whole fleet: from what several placers saw themselves to one they all go by.

What a placer saw is evidence, not yet a verdict: how often a machine failed it lately, of how many tries. The leader of
the voters is told evidence with each ask for a grant, and its verdicts go back with the grants. As outlier ejection in
load balancers (a bound on how much is ejected, times that grow and end by themselves), but over many observers, so that
each need not pay for finding out itself. Verdicts only ever take from what the list allows. No I/O.
"""

from __future__ import annotations

import hashlib
from collections import deque
from collections.abc import Container, Iterable, Mapping
from dataclasses import dataclass, field

SECOND = 1_000_000
EVIDENCE_MOST, VERDICTS_MOST = 32, 64  # in one ask, in one grant
NOTES_MOST = 64  # outcomes kept of one machine


@dataclass(frozen=True, slots=True)
class OutlierSettings:
    """What makes a verdict; times in microseconds, shares parts of 1."""

    span_us: int = 10 * SECOND  # older outcomes count for nothing
    failed_together: int = 3  # by all witnesses
    failed_share: float = 0.5  # of its tries
    witnesses: int = 2
    doubt_share: float = (
        0.3  # a witness that finds more than this of the machines it tried bad is looked at itself
    )
    fleet_share: float = 0.2  # that verdicts may close at once
    zone_share: float = 0.34  # likewise, of each zone
    lasts_us: int = 10 * SECOND
    doublings: int = 4  # of that, for a machine that was closed before
    try_after_us: int = 3 * SECOND  # from then on one placer tries the machine for all
    remember_us: int = 120 * SECOND  # a machine that stayed well for so long begins anew


@dataclass(frozen=True, slots=True)
class HealthReport:
    """What one placer saw of one machine within the span."""

    machine: str
    failed: int
    tried: int


@dataclass(frozen=True, slots=True)
class Ejection:
    """A verdict as a placer is told of it: for how long it still holds, how old it is, who tries the machine."""

    machine: str
    left_us: int
    age_us: int
    prober: str  # "" as long as nobody does


class HealthObserver:
    """One placer's own outcomes by machine; once it stood still, what it saw until then counts for nothing."""

    def __init__(self, terms: OutlierSettings = OutlierSettings()) -> None:
        self.terms = terms
        self._notes: dict[str, deque[tuple[int, bool]]] = {}
        self._looked_us: int | None = None

    def note(self, now_us: int, machine: str, good: bool) -> None:
        """A start went well, or failed by the machine's fault."""
        self._notes.setdefault(machine, deque(maxlen=NOTES_MOST)).append((now_us, good))

    def evidence(
        self, now_us: int, tried_for_all: Container[str] = ()
    ) -> tuple[tuple[HealthReport, ...], int, int]:
        """What is worth telling, first of machines that this placer tries for all, then the worst; of how many machines
        that were tried how many were bad."""
        if self._looked_us is not None and now_us - self._looked_us > 2 * SECOND:
            self._notes.clear()  # Danger: who stood still found all machines late
        self._looked_us = now_us
        found: list[HealthReport] = []
        for machine, notes in list(self._notes.items()):
            while notes and notes[0][0] <= now_us - self.terms.span_us:
                notes.popleft()
            if not notes:
                del self._notes[machine]
                continue
            found.append(HealthReport(machine, sum(not good for _, good in notes), len(notes)))
        bad = sum(is_bad(each, self.terms) for each in found)
        # Danger: among many good ones the word that opens a machine would be left out.
        found.sort(key=lambda each: (each.machine not in tried_for_all, -each.failed, each.machine))
        return tuple(found[:EVIDENCE_MOST]), bad, len(found)


def is_bad(each: HealthReport, terms: OutlierSettings) -> bool:
    """Whether one witness finds a machine bad."""
    return each.failed > 0 and each.failed >= terms.failed_share * each.tried


@dataclass(slots=True)
class _Witness:
    at_us: int
    region: str
    bad: int
    tried: int
    evidence: dict[str, HealthReport]


@dataclass(slots=True)
class _Verdict:
    since_us: int
    until_us: int
    strikes: int
    by: tuple[str, ...]
    ended: str = ""  # why it no longer holds; it is remembered for its strikes
    prober: str = ""  # who tries the machine for all, as of the last look


@dataclass(slots=True)
class OutlierDetector:
    """The leader's: evidence by witness, and the verdicts; each leader begins anew, and is soon told what it lacks."""

    terms: OutlierSettings = OutlierSettings()
    witnesses: dict[str, _Witness] = field(default_factory=dict)
    verdicts: dict[str, _Verdict] = field(default_factory=dict)
    spared: dict[str, str] = field(default_factory=dict)  # bad by the witnesses, and left open: why

    def hear(
        self,
        now_us: int,
        ident: str,
        region: str,
        evidence: Iterable[HealthReport],
        bad: int,
        tried: int,
    ) -> None:
        """A placer's evidence, in place of what it told before."""
        self.witnesses[ident] = _Witness(
            now_us,
            region,
            bad,
            tried,
            {each.machine: each for each in list(evidence)[:EVIDENCE_MOST]},
        )

    def judge(self, now_us: int, zones: Mapping[str, str]) -> None:
        """Come to verdicts, and end those that are over. `zones`: of each machine of the list."""
        terms = self.terms
        self.witnesses = {
            name: each
            for name, each in self.witnesses.items()
            if now_us - each.at_us <= terms.span_us
        }
        for machine, verdict in list(self.verdicts.items()):
            verdict.prober = "" if verdict.ended else self._prober(now_us, machine, verdict)
            self._end(now_us, machine, verdict, zones)
        against: dict[str, list[str]] = {}
        for name, witness in sorted(self.witnesses.items()):
            if self._doubtful(witness):
                continue
            for each in witness.evidence.values():
                if is_bad(each, terms) and each.machine in zones:
                    against.setdefault(each.machine, []).append(name)
        self.spared = {}
        for machine, names in sorted(against.items(), key=lambda pair: (-len(pair[1]), pair[0])):
            if not self._holds(machine):
                self._consider(now_us, machine, names, zones)

    def _doubtful(self, witness: _Witness) -> bool:
        return witness.bad > 1 and witness.bad > self.terms.doubt_share * witness.tried

    def _holds(self, machine: str) -> bool:
        held = self.verdicts.get(machine)
        return held is not None and not held.ended

    def _end(self, now_us: int, machine: str, verdict: _Verdict, zones: Mapping[str, str]) -> None:
        if verdict.ended:
            if now_us - verdict.until_us > self.terms.remember_us:
                del self.verdicts[machine]
            return
        prober = self.witnesses.get(verdict.prober)
        seen = prober.evidence.get(machine) if prober is not None else None
        if machine not in zones:
            verdict.ended = "it left the list"
        elif now_us >= verdict.until_us:
            verdict.ended = "its time is over"
        elif seen is not None and seen.tried > seen.failed and not is_bad(seen, self.terms):
            verdict.ended, verdict.until_us = "whoever tried it found it well", now_us

    def _consider(
        self, now_us: int, machine: str, names: list[str], zones: Mapping[str, str]
    ) -> None:
        terms = self.terms
        if len(names) < terms.witnesses:
            self.spared[machine] = f"{len(names)} witness(es), {terms.witnesses} are wanted"
            return
        failed = sum(self.witnesses[name].evidence[machine].failed for name in names)
        if failed < terms.failed_together:
            self.spared[machine] = (
                f"{failed} failed start(s) by all witnesses, {terms.failed_together} are wanted"
            )
            return
        regions = {each.region for each in self.witnesses.values()}
        if len(regions) > 1 and len({self.witnesses[name].region for name in names}) < 2:
            self.spared[machine] = "all witnesses are of one region"
            return
        closed = [each for each in self.verdicts if self._holds(each)]
        zone = zones[machine]
        in_zone = sum(each == zone for each in zones.values())
        if len(closed) + 1 > terms.fleet_share * len(zones):
            self.spared[machine] = (
                f"{len(closed)} machines are closed, {terms.fleet_share:.0%} of the fleet may be"
            )
            return
        if sum(zones.get(each) == zone for each in closed) + 1 > terms.zone_share * in_zone:
            self.spared[machine] = f"{terms.zone_share:.0%} of zone {zone} may be closed"
            return
        former = self.verdicts.get(machine)
        strikes = min(former.strikes + 1, terms.doublings) if former is not None else 0
        self.verdicts[machine] = _Verdict(
            now_us, now_us + (terms.lasts_us << strikes), strikes, tuple(names)
        )

    def _prober(self, now_us: int, machine: str, verdict: _Verdict) -> str:
        """Who tries a machine for all: the same for all that know the same placers; "" while nobody does yet."""
        if now_us < verdict.since_us + self.terms.try_after_us:
            return ""
        able = [name for name, each in self.witnesses.items() if not self._doubtful(each)]
        return max(
            able,
            key=lambda name: hashlib.blake2b(f"{machine}/{name}".encode(), digest_size=8).digest(),
            default="",
        )

    def told(self, now_us: int) -> tuple[Ejection, ...]:
        """For a grant."""
        found = [
            Ejection(machine, each.until_us - now_us, now_us - each.since_us, each.prober)
            for machine, each in sorted(self.verdicts.items())
            if not each.ended
        ]
        return tuple(found[:VERDICTS_MOST])


class ActiveEjections:
    """A placer's side: which machines verdicts close to it now. They end by themselves, by its own clock."""

    def __init__(self) -> None:
        self._until_us: dict[str, int] = {}
        self._since_us: dict[str, int] = {}
        self.mine: frozenset[str] = frozenset()  # that this placer tries for all

    def take(self, now_us: int, me: str, closed: Iterable[Ejection]) -> None:
        """What a grant told, in place of what was told before."""
        closed = list(closed)
        self._until_us = {each.machine: now_us + each.left_us for each in closed}
        self._since_us = {each.machine: now_us - each.age_us for each in closed}
        self.mine = frozenset(each.machine for each in closed if each.prober == me)

    def now(self, now_us: int) -> frozenset[str]:
        """The machines that get nothing from here."""
        return frozenset(
            machine
            for machine, until in self._until_us.items()
            if until > now_us and machine not in self.mine
        )

    def again_and_again(
        self, now_us: int, strikes: int, terms: OutlierSettings = OutlierSettings()
    ) -> list[str]:
        """Machines whose verdict is so long that as many came before it."""
        return sorted(
            machine
            for machine, until in self._until_us.items()
            if until > now_us and until - self._since_us[machine] >= terms.lasts_us << strikes
        )

    def age_us(self, now_us: int, machine: str) -> int:
        """How old a verdict is: a machine that was launched since then is another."""
        return now_us - self._since_us.get(machine, now_us)
