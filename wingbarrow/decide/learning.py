"""Peer hints: how a peer's knowledge of machines is discounted with its age, and when it is not believed.

Discount. A task that a peer saw running is still there after an age `a` with a probability of about exp(-a / life),
where lives are memoryless. So a figure that counts tasks keeps the weight w = 2 ** (-a / HALF_LIFE), and the rest is
the average over the fleet: figure * w + average * (1 - w). HALF_LIFE is short compared with the lives seen in service,
as many short tasks make up most of a machine's change. It misleads where tasks live far shorter: a machine that emptied
looks used for some seconds, until the list or an own offer says otherwise. It also misleads where one machine is far
from the average for a lasting reason, such as a machine dedicated to one service: its figure drifts to the average
before the list corrects it. Warm programs and rest periods are not discounted; each is believed for its time left.

Precedence: own experience, then the newer of list and peer, then peer hints. An observed drain takes precedence over
everything that is not newer than it.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import Enum

from wingbarrow.interface import LearnedMachine, ListedMachine, Phase

SECOND = 1_000_000
HALF_LIFE_US = 8 * SECOND
MAX_USEFUL_AGE_US = 60 * SECOND  # an older figure says nothing beyond the average
RATIO_HALF_LIFE_US = 120 * SECOND  # usage ratios are of programs, which change slower than tasks
MAX_RATIO = 10.0
MAX_RATIO_NOTES = 100.0  # a peer's ratios weigh as much as so many own notes at most
MAX_STRIKES = 31  # of a rest period; more is no valid value
MAX_AGE_US = 24 * 3600 * SECOND  # a larger age means a broken clock
CLOCK_SLACK_US = SECOND  # accepted deviation of a peer's clock from ours within one exchange
CLOCK_DRIFT = 0.1
MIN_UPTIME_US = 5 * SECOND  # an instance younger than this knows too little itself
LIST_AGE_STEPS_US = (2 * SECOND, 10 * SECOND, 30 * SECOND)  # lists within a step are equally fresh
MAX_UNKNOWN_SHARE = 0.5  # of a peer's machines; beyond it the peer belongs to another cluster
MIN_OBSERVATIONS = 4  # for an average, and to judge a peer's cluster


@dataclass(frozen=True, slots=True)
class MachineObservation:
    """A machine as a peer knows it; ages in microseconds, None where it has no such knowledge.

    `version`: the list's version of the entry that the peer holds; `launched_age_us`: since the last start.
    """

    machine: str
    version: int
    phase: Phase
    launched_age_us: int | None
    asked: tuple[float, float] | None
    asked_age_us: int | None
    beyond: tuple[float, float] | None
    measured_age_us: int | None
    warm_us: Mapping[str, int]  # by program: for how long it is expected to stay warm
    rests_us: Mapping[str, tuple[int, int]]  # by class, or "" for all: strikes, time left


@dataclass(frozen=True, slots=True)
class Announcement:
    """What an instance says about itself before its knowledge is read."""

    peer: str  # its address, as configured
    ident: str
    incarnation: int
    region: str
    cluster: str
    uptime_us: int
    list_age_us: int | None  # since the last contact with its list source; None without a list
    machines: int
    rtt_us: int


def order_peers(
    announcements: Iterable[Announcement], region: str, cluster: str, own_ident: str
) -> list[Announcement]:
    """The peers to read from, best first: freshest list first (in steps), then own region, then lowest round trip.

    Peers that know nothing yet are left out: two new instances would only learn what they told each other.
    """
    suitable = [
        each
        for each in announcements
        if each.cluster == cluster
        and each.ident != own_ident
        and each.machines > 0
        and each.uptime_us >= MIN_UPTIME_US
        and each.list_age_us is not None
        and 0 <= each.list_age_us <= MAX_AGE_US
    ]
    return sorted(
        suitable,
        key=lambda each: (
            bisect_right(LIST_AGE_STEPS_US, each.list_age_us or 0),
            each.region != region,
            each.rtt_us,
            each.ident,
        ),
    )


class ClockCheck:
    """Compares the rate of a peer's clock with ours over the pages of one exchange.

    Only ages are transferred, so an offset does no harm; a clock that jumps between two pages makes ages wrong.
    """

    def __init__(self) -> None:
        self._first: tuple[int, int] | None = None
        self.is_broken = False

    def check_page(self, own_us: int, peer_us: int) -> bool:
        """Whether a page's ages can be believed; once a clock has jumped, no later ones can."""
        if self._first is None:
            self._first = own_us, peer_us
        first_own_us, first_peer_us = self._first
        own_passed_us = own_us - first_own_us
        peer_passed_us = peer_us - first_peer_us
        max_deviation_us = CLOCK_SLACK_US + CLOCK_DRIFT * max(own_passed_us, 0)
        if abs(peer_passed_us - own_passed_us) > max_deviation_us:
            self.is_broken = True
        return not self.is_broken


def plausible_age(age_us: int | None) -> int | None:
    """The age, or None where the value cannot be one; the figure is then discarded, never taken as fresh."""
    if age_us is None or not isinstance(age_us, int) or not 0 <= age_us <= MAX_AGE_US:
        return None
    return age_us


def weight(age_us: int, half_life_us: int = HALF_LIFE_US) -> float:
    """The part of a figure of that age that is kept."""
    return (
        2.0 ** (-age_us / half_life_us)
        if age_us < MAX_USEFUL_AGE_US or half_life_us != HALF_LIFE_US
        else 0.0
    )


def _valid_pair(pair: tuple[float, float] | None, limit: float) -> tuple[float, float] | None:
    if pair is None or not all(math.isfinite(each) and abs(each) <= limit for each in pair):
        return None
    return pair


def learned_machines(
    observations: Iterable[MachineObservation],
    more_age_us: int,
    sizes: Mapping[str, tuple[float, float]],
    versions: Mapping[str, int],
    idents: Mapping[str, int],
    clock_good: bool,
    average: tuple[float, float],
) -> list[LearnedMachine]:
    """A page's observations as the module may use them: discounted by age, without what is not believed.

    `more_age_us` is added to every age (the snapshot's own age and the exchange). `sizes`, `versions` and `idents`
    are of the machines on our list, by name; observations of other machines are skipped. `average`: the share of their
    size that is requested of machines over the fleet (`fleet_average`).
    """
    learned: list[LearnedMachine] = []
    for observation in observations:
        name = observation.machine
        # What a peer saw draining gives no hint; `Distrust` closes it.
        if name not in idents or observation.phase is not Phase.RUNNING:
            continue
        size = sizes[name]
        is_older = observation.version < versions.get(name, 0)  # than our list's entry
        asked, asked_age_us = _discounted_asked(observation, more_age_us, average, size, clock_good)
        if is_older:
            asked = None
        beyond, measured_age_us = _discounted_beyond(observation, more_age_us, size, clock_good)
        warm: dict[str, int] = {}
        rests: dict[str, tuple[int, int]] = {}
        # A start that our list does not have yet: programs and rests may be of the process before it.
        may_have_restarted = is_older and observation.launched_age_us is not None
        if clock_good and not may_have_restarted:
            warm = _still_warm(observation, more_age_us)
            rests = _still_resting(observation, more_age_us)
        if asked is not None or beyond is not None or warm or rests:
            learned.append(
                LearnedMachine(
                    idents[name], asked, asked_age_us, beyond, measured_age_us, warm, rests
                )
            )
    return learned


def _discounted_asked(
    observation: MachineObservation,
    more_age_us: int,
    average: tuple[float, float],
    size: tuple[float, float],
    clock_good: bool,
) -> tuple[tuple[float, float] | None, int]:
    """What is requested of a machine, drawn to the fleet's average by age, and its age; None where not believed."""
    asked = _valid_pair(observation.asked, 100 * max(size))
    age_us = plausible_age(observation.asked_age_us)
    if asked is None or age_us is None or not clock_good:
        return None, 0
    age_us += more_age_us
    kept = weight(age_us)
    if not kept:
        return None, 0
    return (
        asked[0] * kept + average[0] * size[0] * (1 - kept),
        asked[1] * kept + average[1] * size[1] * (1 - kept),
    ), age_us


def _discounted_beyond(
    observation: MachineObservation, more_age_us: int, size: tuple[float, float], clock_good: bool
) -> tuple[tuple[float, float] | None, int]:
    """Use beyond what is requested, drawn to zero by age, and its age; None where not believed."""
    beyond = _valid_pair(observation.beyond, 10 * max(size))
    age_us = plausible_age(observation.measured_age_us)
    if beyond is None or age_us is None or not clock_good:
        return None, age_us or 0
    age_us += more_age_us
    kept = weight(age_us)
    return (beyond[0] * kept, beyond[1] * kept) if kept else None, age_us


def _still_warm(observation: MachineObservation, more_age_us: int) -> dict[str, int]:
    """Programs that are still warm, with the time left."""
    return {
        service: left_us - more_age_us
        for service, left_us in observation.warm_us.items()
        if isinstance(left_us, int) and more_age_us < left_us <= MAX_USEFUL_AGE_US
    }


def _still_resting(observation: MachineObservation, more_age_us: int) -> dict[str, tuple[int, int]]:
    """Rest periods that are not over, with strikes and the time left."""
    return {
        key: (strikes, left_us - more_age_us)
        for key, (strikes, left_us) in observation.rests_us.items()
        if 0 < strikes <= MAX_STRIKES and more_age_us < left_us <= MAX_USEFUL_AGE_US
    }


def fleet_average(
    observations: Iterable[MachineObservation],
    sizes: Mapping[str, tuple[float, float]],
    held: tuple[float, float],
) -> tuple[float, float]:
    """The share of their size that is requested of machines, over observations that say it.

    `held`, the average so far, where fewer than MIN_OBSERVATIONS do.
    """
    known = [
        (each.asked, sizes[each.machine])
        for each in observations
        if each.machine in sizes and _valid_pair(each.asked, 1e9) is not None
    ]
    if len(known) < MIN_OBSERVATIONS:
        return held
    return (
        sum(asked[0] for asked, _ in known if asked) / sum(size[0] for _, size in known),
        sum(asked[1] for asked, _ in known if asked) / sum(size[1] for _, size in known),
    )


def learned_ratio(
    ratio: float, notes: float, age_us: int | None, clock_good: bool
) -> tuple[float, float]:
    """A peer's learned usage ratio and its weight in own notes; (0, 0) where it is not believed."""
    valid_age_us = plausible_age(age_us)
    if (
        valid_age_us is None
        or not clock_good
        or not (math.isfinite(ratio) and math.isfinite(notes))
    ):
        return 0.0, 0.0
    if not 0.0 < ratio <= MAX_RATIO or notes <= 0:
        return 0.0, 0.0
    return ratio, min(notes, MAX_RATIO_NOTES) * weight(valid_age_us, RATIO_HALF_LIFE_US)


def is_other_cluster(observations: Iterable[MachineObservation], idents: Mapping[str, int]) -> bool:
    """Whether a peer's machines differ so much from our list that it must belong to another cluster."""
    found = list(observations)
    if not idents or len(found) < MIN_OBSERVATIONS:
        return False
    unknown = sum(each.machine not in idents for each in found)
    return unknown > MAX_UNKNOWN_SHARE * len(found)


class ListTrust(Enum):
    """Whether a list entry that says a machine runs is trusted, given a peer's observation."""

    AS_LISTED = "as listed"
    SEEN_DRAINING = "seen draining by a peer, and the list is no newer"


class Distrust:
    """Machines that peers saw draining, gone or restarted, by the list's version of that observation.

    Danger (rule 3): a saved or late list has a machine running that a peer knows to be draining. Its entry is not
    trusted until one newer than the observation says that it runs. Versions order the two: both read one source.
    """

    def __init__(self, max_machines: int) -> None:
        self._max_machines = max_machines
        self._drains: dict[str, int] = {}
        self._starts: dict[str, tuple[int, int]] = {}  # version, launched (our clock)

    def on_observation(
        self, observation: MachineObservation, own_version: int | None, now_us: int
    ) -> bool:
        """Record an observation; True where it is newer than our list's entry and changes how that is to be seen."""
        if own_version is not None and observation.version < own_version:
            return False
        if observation.phase is not Phase.RUNNING:
            known = observation.machine in self._drains
            if not known and len(self._drains) >= self._max_machines:
                return False
            self._drains[observation.machine] = max(
                observation.version, self._drains.get(observation.machine, -1)
            )
            return not known
        age = plausible_age(observation.launched_age_us)
        if (
            age is not None
            and own_version is not None
            and observation.version > own_version
            and (len(self._starts) < self._max_machines)
        ):
            self._starts[observation.machine] = observation.version, now_us - age
            return True
        return False

    def judge(self, name: str, version: int) -> ListTrust:
        """Whether to trust an entry of that version that says the machine runs; a newer one ends the distrust."""
        seen = self._drains.get(name)
        if seen is None:
            return ListTrust.AS_LISTED
        if version > seen:
            del self._drains[name]
            return ListTrust.AS_LISTED
        return ListTrust.SEEN_DRAINING

    def narrow(self, name: str, version: int, listed: ListedMachine) -> ListedMachine:
        """The entry for the module: draining where a peer saw that, cold where one saw a later start."""
        if listed.phase is Phase.RUNNING and self.judge(name, version) is ListTrust.SEEN_DRAINING:
            listed = replace(listed, phase=Phase.DRAINING)
        start = self._starts.get(name)
        if start is not None:
            if version >= start[0]:
                del self._starts[name]
            else:
                listed = replace(listed, launched_us=max(listed.launched_us, start[1]))
        return listed

    def version(self, name: str) -> int:
        """The list's version of the observation by which a machine is distrusted, -1 without one."""
        return self._drains.get(name, -1)

    def on_new_source(self) -> None:
        """The list source began anew: versions no longer compare with the former ones, so the list is trusted again."""
        self._drains.clear()
        self._starts.clear()

    def __len__(self) -> int:
        return len(self._drains)
