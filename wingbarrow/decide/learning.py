"""Peer hints: how a peer's knowledge of machines is discounted with its age, and when it is not trusted.

Discount. If lifetimes of tasks are memoryless, a task that a peer saw running still runs after an age `a` with a
probability of about exp(-a / lifetime). A value that counts tasks therefore keeps the weight w = 2 ** (-a / HALF_LIFE),
and the rest is the average over the fleet: value * w + average * (1 - w). HALF_LIFE is short compared with lifetimes
observed in service, as short tasks cause most of the change on a machine. The discount misleads where tasks live far
shorter: an emptied machine appears used for some seconds, until the list or an own offer shows otherwise. It also
misleads where one machine differs from the average for a lasting reason, such as a machine dedicated to one service:
its value drifts to the average before the list corrects it. Warm programs and rest periods are not discounted; each is
trusted for its time left.

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
HALF_LIFE_US = 8 * SECOND  # of values that count tasks
MAX_USEFUL_AGE_US = 60 * SECOND  # an older value adds nothing to the average
# Of usage ratios: they belong to programs, which change slower than tasks.
RATIO_HALF_LIFE_US = 120 * SECOND
MAX_RATIO = 10.0  # a larger usage ratio is not valid
MAX_RATIO_NOTES = 100.0  # a peer's ratio weighs at most as much as this many own samples
MAX_STRIKES = 31  # a rest period with more is not valid
MAX_AGE_US = 24 * 3600 * SECOND  # a larger age indicates a broken clock
CLOCK_SLACK_US = SECOND  # accepted deviation of a peer's clock from ours within one exchange
CLOCK_DRIFT = 0.1  # accepted deviation of the clocks' rates, in addition to the slack
MIN_UPTIME_US = 5 * SECOND  # a younger instance knows too little itself
# Lists within a step count as equally fresh.
LIST_AGE_STEPS_US = (2 * SECOND, 10 * SECOND, 30 * SECOND)
MAX_UNKNOWN_SHARE = 0.5  # of a peer's machines; with more, the peer belongs to another cluster
# For an average over the fleet, and to tell whether a peer's cluster is another.
MIN_OBSERVATIONS = 4


@dataclass(frozen=True, slots=True)
class MachineObservation:
    """A machine as a peer knows it; ages in microseconds, None where the peer does not know them.

    `version`: the list version of the peer's entry; `launched_age_us`: time since the machine's last start.
    """

    machine: str
    version: int
    phase: Phase
    launched_age_us: int | None
    asked: tuple[float, float] | None
    asked_age_us: int | None
    beyond: tuple[float, float] | None
    measured_age_us: int | None
    warm_us: Mapping[str, int]  # by program: how much longer it is expected to stay warm
    rests_us: Mapping[str, tuple[int, int]]  # by class, or "" for all: strikes, time left


@dataclass(frozen=True, slots=True)
class Announcement:
    """What an instance reports about itself before its knowledge is read."""

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
    """The peers to read from, best first: by list age (in steps), then own region, then round-trip time.

    Peers that know nothing yet are excluded: two new instances would only learn what they sent to each other.
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

    Only ages are transferred, so a constant offset is harmless; a clock that jumps between two pages falsifies ages.
    """

    def __init__(self) -> None:
        self._first: tuple[int, int] | None = None
        self.is_broken = False

    def check_page(self, own_us: int, peer_us: int) -> bool:
        """Whether a page's ages can be trusted; after a jump of the clock, none of the later pages' can."""
        if self._first is None:
            self._first = own_us, peer_us
        first_own_us, first_peer_us = self._first
        own_elapsed_us = own_us - first_own_us
        peer_elapsed_us = peer_us - first_peer_us
        max_deviation_us = CLOCK_SLACK_US + CLOCK_DRIFT * max(own_elapsed_us, 0)
        if abs(peer_elapsed_us - own_elapsed_us) > max_deviation_us:
            self.is_broken = True
        return not self.is_broken


def plausible_age(age_us: int | None) -> int | None:
    """The age, or None if it is not plausible; the value with that age must then be discarded, not taken as fresh."""
    if age_us is None or not isinstance(age_us, int) or not 0 <= age_us <= MAX_AGE_US:
        return None
    return age_us


def weight(age_us: int, half_life_us: int = HALF_LIFE_US) -> float:
    """The weight of a value of that age, from 0 to 1."""
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
    clock_is_good: bool,
    average: tuple[float, float],
) -> list[LearnedMachine]:
    """A page's observations as the decision module may use them: discounted by age, without what is not trusted.

    `more_age_us` is added to every age (the age of the snapshot and the duration of the exchange). `sizes`, `versions`
    and `idents` hold the machines on our list by name; observations of other machines are skipped. `average`: the
    fraction of their size that is requested of machines over the fleet (`fleet_average`).
    """
    learned: list[LearnedMachine] = []
    for observation in observations:
        name = observation.machine
        # A machine that a peer saw draining yields no hint; `Distrust` closes it.
        if name not in idents or observation.phase is not Phase.RUNNING:
            continue
        size = sizes[name]
        # Whether the observation is older than our list's entry.
        is_older = observation.version < versions.get(name, 0)
        asked, asked_age_us = _discounted_asked(
            observation, more_age_us, average, size, clock_is_good
        )
        if is_older:
            asked = None
        beyond, measured_age_us = _discounted_beyond(observation, more_age_us, size, clock_is_good)
        warm: dict[str, int] = {}
        rests: dict[str, tuple[int, int]] = {}
        # Our list's entry is newer, so programs and rest periods may belong to a process before a restart.
        may_have_restarted = is_older and observation.launched_age_us is not None
        if clock_is_good and not may_have_restarted:
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
    clock_is_good: bool,
) -> tuple[tuple[float, float] | None, int]:
    """What is requested of a machine, moved to the fleet's average by age, and its age; None if it is not trusted."""
    asked = _valid_pair(observation.asked, 100 * max(size))
    age_us = plausible_age(observation.asked_age_us)
    if asked is None or age_us is None or not clock_is_good:
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
    observation: MachineObservation,
    more_age_us: int,
    size: tuple[float, float],
    clock_is_good: bool,
) -> tuple[tuple[float, float] | None, int]:
    """Use beyond what is requested, moved to zero by age, and its age; None if it is not trusted."""
    beyond = _valid_pair(observation.beyond, 10 * max(size))
    age_us = plausible_age(observation.measured_age_us)
    if beyond is None or age_us is None or not clock_is_good:
        return None, age_us or 0
    age_us += more_age_us
    kept = weight(age_us)
    return (beyond[0] * kept, beyond[1] * kept) if kept else None, age_us


def _still_warm(observation: MachineObservation, more_age_us: int) -> dict[str, int]:
    """Programs that are still warm, with their time left."""
    return {
        service: left_us - more_age_us
        for service, left_us in observation.warm_us.items()
        if isinstance(left_us, int) and more_age_us < left_us <= MAX_USEFUL_AGE_US
    }


def _still_resting(observation: MachineObservation, more_age_us: int) -> dict[str, tuple[int, int]]:
    """Rest periods that are not over, with their strikes and time left."""
    return {
        key: (strikes, left_us - more_age_us)
        for key, (strikes, left_us) in observation.rests_us.items()
        if 0 < strikes <= MAX_STRIKES and more_age_us < left_us <= MAX_USEFUL_AGE_US
    }


def fleet_average(
    observations: Iterable[MachineObservation],
    sizes: Mapping[str, tuple[float, float]],
    previous: tuple[float, float],
) -> tuple[float, float]:
    """The fraction of their size that is requested of machines, over observations that know it.

    Returns `previous`, the average so far, with fewer than MIN_OBSERVATIONS of them.
    """
    known = [
        (each.asked, sizes[each.machine])
        for each in observations
        if each.machine in sizes and _valid_pair(each.asked, 1e9) is not None
    ]
    if len(known) < MIN_OBSERVATIONS:
        return previous
    return (
        sum(asked[0] for asked, _ in known if asked) / sum(size[0] for _, size in known),
        sum(asked[1] for asked, _ in known if asked) / sum(size[1] for _, size in known),
    )


def learned_ratio(
    ratio: float, notes: float, age_us: int | None, clock_is_good: bool
) -> tuple[float, float]:
    """A peer's usage ratio and its weight as a number of own samples; (0, 0) if it is not trusted.

    `notes`: the number of samples behind the ratio.
    """
    valid_age_us = plausible_age(age_us)
    if (
        valid_age_us is None
        or not clock_is_good
        or not (math.isfinite(ratio) and math.isfinite(notes))
    ):
        return 0.0, 0.0
    if not 0.0 < ratio <= MAX_RATIO or notes <= 0:
        return 0.0, 0.0
    return ratio, min(notes, MAX_RATIO_NOTES) * weight(valid_age_us, RATIO_HALF_LIFE_US)


def is_other_cluster(observations: Iterable[MachineObservation], idents: Mapping[str, int]) -> bool:
    """Whether so many of a peer's machines are missing from our list that it must belong to another cluster."""
    found = list(observations)
    if not idents or len(found) < MIN_OBSERVATIONS:
        return False
    unknown = sum(each.machine not in idents for each in found)
    return unknown > MAX_UNKNOWN_SHARE * len(found)


class ListTrust(Enum):
    """Whether to trust a list entry that shows a machine running, given a peer's observation."""

    AS_LISTED = "as listed"
    SEEN_DRAINING = "seen draining by a peer, and the list is no newer"


class Distrust:
    """Machines that peers saw draining, gone or restarted, with the list version of that observation.

    Danger (rule 3): a saved or late list has a machine running that a peer knows to be draining. Its entry is not
    trusted until a newer one than the observation shows it running. Versions are comparable: both read one source.
    """

    def __init__(self, max_machines: int) -> None:
        self._max_machines = max_machines
        self._drains: dict[str, int] = {}
        self._starts: dict[str, tuple[int, int]] = {}  # version, time of the start (our clock)

    def on_observation(
        self, observation: MachineObservation, own_version: int | None, now_us: int
    ) -> bool:
        """Record an observation; True if it is newer than our list's entry and changes whether that is trusted.

        `own_version`: of our list's entry, None without one.
        """
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
        age_us = plausible_age(observation.launched_age_us)
        if (
            age_us is not None
            and own_version is not None
            and observation.version > own_version
            and (len(self._starts) < self._max_machines)
        ):
            self._starts[observation.machine] = observation.version, now_us - age_us
            return True
        return False

    def judge(self, name: str, version: int) -> ListTrust:
        """Whether to trust an entry of that version that shows the machine running.

        An entry newer than the observation is trusted and ends the distrust.
        """
        seen = self._drains.get(name)
        if seen is None:
            return ListTrust.AS_LISTED
        if version > seen:
            del self._drains[name]
            return ListTrust.AS_LISTED
        return ListTrust.SEEN_DRAINING

    def narrow(self, name: str, version: int, listed: ListedMachine) -> ListedMachine:
        """The entry for the decision module: draining if a peer saw that, with the later start if a peer saw one."""
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
        """The list version of the observation due to which a machine is distrusted, -1 without one."""
        return self._drains.get(name, -1)

    def on_new_source(self) -> None:
        """The list source has restarted: its versions cannot be compared with earlier ones, so the list is trusted."""
        self._drains.clear()
        self._starts.clear()

    def __len__(self) -> int:
        return len(self._drains)
