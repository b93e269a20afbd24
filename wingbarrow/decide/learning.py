"""What hearsay is worth: how a peer's knowledge of machines fades with age, and when it is not believed.

The curve. A task that a peer saw running is still there after an age `a` with a chance of about exp(-a / life),
where lives have no memory. So a figure that counts tasks keeps the weight w = 2 ** (-a / HALF_LIFE) and the rest is
the average over the fleet: figure * w + average * (1 - w). HALF_LIFE is short beside the lives seen in service, as
many short tasks make up most of a machine's change. It does harm where tasks live far shorter than it: a machine that
emptied looks used for some seconds, until the list or an own offer says otherwise; and where one machine is far from
the average for a reason that lasts (a machine given over to one service): its figure drifts to the average before
the list corrects it. Programs kept warm and rests do not fade, they end: each is believed for what is left of it.

What outranks what: own experience, then the newer of list and peer, then hearsay. A sight of a drain outranks
everything that is not newer than it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import Enum

from wingbarrow.interface import LearnedMachine, ListedMachine, Phase

SECOND = 1_000_000
HALF_LIFE_US = 8 * SECOND
MAX_USEFUL_AGE_US = (
    60 * SECOND
)  # a figure older than this says nothing that the average does not say
RATIO_HALF_LIFE_US = (
    120 * SECOND
)  # shares of use belong to programs, which change more slowly than tasks
MAX_RATIO_NOTES = 100.0  # a peer's shares weigh as much as so many own notes at most
MAX_AGE_US = 24 * 3600 * SECOND  # beyond, an age is a broken clock
CLOCK_SLACK_US = SECOND  # by which a peer's clock may run otherwise than ours within one exchange
CLOCK_DRIFT = 0.1
MIN_UPTIME_US = 5 * SECOND  # an instance younger than this knows next to nothing itself
LIST_OLD_US = 30 * SECOND
MAX_UNKNOWN_SHARE = (
    0.5  # share of machines that our list lacks, beyond which a peer is of another cluster
)


@dataclass(frozen=True, slots=True)
class MachineObservation:
    """A machine as a peer knows it; ages in microseconds, None where it knows nothing of the kind.

    `version` is the list's version of the entry that the peer holds; `launched_age_us` tells of the last start.
    """

    machine: str
    version: int
    phase: Phase
    launched_age_us: int | None
    asked: tuple[float, float] | None
    asked_age_us: int | None
    beyond: tuple[float, float] | None
    measured_age_us: int | None
    warm_us: Mapping[str, int]  # program: for how long it is trusted to stay
    rests_us: Mapping[str, tuple[int, int]]  # class or "": strikes, time left


@dataclass(frozen=True, slots=True)
class Announcement:
    """What an instance says of itself before anything is handed over."""

    peer: str  # its address, as configured
    ident: str
    incarnation: int
    region: str
    cluster: str
    uptime_us: int
    list_age_us: int | None  # since its list last spoke; None where it has none
    machines: int
    rtt_us: int


def order_peers(
    announcements: Iterable[Announcement], region: str, cluster: str, own_ident: str
) -> list[Announcement]:
    """Whom to ask, best first: who knows something, freshest list first (in steps), then nearest.

    Those that know nothing yet are left out: two new instances that ask each other would learn only echoes.
    """
    fit = [
        each
        for each in announcements
        if each.cluster == cluster
        and each.ident != own_ident
        and each.machines > 0
        and each.uptime_us >= MIN_UPTIME_US
        and each.list_age_us is not None
        and 0 <= each.list_age_us <= MAX_AGE_US
    ]

    def step(age_us: int | None) -> int:
        age = age_us or 0
        return 0 if age < 2 * SECOND else 1 if age < 10 * SECOND else 2 if age < LIST_OLD_US else 3

    return sorted(
        fit,
        key=lambda each: (step(each.list_age_us), each.region != region, each.rtt_us, each.ident),
    )


class ClockCheck:
    """Compares how fast a peer's clock runs with ours over the pages of one hand-over.

    Only ages cross the wire, so an offset does no harm; a clock that jumps between two pages makes ages wrong.
    """

    def __init__(self) -> None:
        self._first: tuple[int, int] | None = None
        self.is_broken = False

    def check_page(self, own_us: int, peer_us: int) -> bool:
        """Whether the page's ages can be believed; once a clock has jumped, none can any longer."""
        if self._first is None:
            self._first = own_us, peer_us
        own, peer = own_us - self._first[0], peer_us - self._first[1]
        if abs(peer - own) > CLOCK_SLACK_US + CLOCK_DRIFT * max(own, 0):
            self.is_broken = True
        return not self.is_broken


def plausible_age(age_us: int | None) -> int | None:
    """The age, or None where it cannot be one: the figure is useless then, never fresh."""
    if age_us is None or not isinstance(age_us, int) or not 0 <= age_us <= MAX_AGE_US:
        return None
    return age_us


def weight(age_us: int, half_life_us: int = HALF_LIFE_US) -> float:
    """How much of a figure of that age is kept."""
    return (
        2.0 ** (-age_us / half_life_us)
        if age_us < MAX_USEFUL_AGE_US or half_life_us != HALF_LIFE_US
        else 0.0
    )


def _number(pair: tuple[float, float] | None, most: float) -> tuple[float, float] | None:
    if pair is None or not all(math.isfinite(each) and abs(each) <= most for each in pair):
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
    """A page's sights as the module may take them: faded by age, what is not to be believed left out.

    `more_age_us` is added to every age (the snapshot's own age and the exchange). `sizes`, `versions` and `idents`
    are of the machines on our list, by name; sights of others are passed over. `average`: the share of their size
    that machines are asked for over the fleet (`fleet_average`).
    """
    observations = [sight for sight in observations if sight.machine in idents]
    out: list[LearnedMachine] = []
    for sight in observations:
        if sight.phase is not Phase.RUNNING:
            continue  # what a peer saw draining is no help; Distrust keeps it out
        name = sight.machine
        size = sizes[name]
        older = sight.version < versions.get(
            name, 0
        )  # our list has newer word of this machine than the peer's
        asked, asked_age = _faded(
            sight.asked, sight.asked_age_us, more_age_us, average, size, clock_good
        )
        if older:
            asked = None
        beyond, measured_age = (
            _number(sight.beyond, 10 * max(size)),
            plausible_age(sight.measured_age_us),
        )
        if beyond is not None and measured_age is not None and clock_good:
            measured_age += more_age_us
            kept = weight(measured_age)
            beyond = (beyond[0] * kept, beyond[1] * kept)
            if not kept:
                beyond = None
        else:
            beyond = None
        restarted = (
            older and sight.launched_age_us is not None
        )  # its programs may be of a former life
        warm = (
            {}
            if restarted or not clock_good
            else {
                service: left - more_age_us
                for service, left in sight.warm_us.items()
                if isinstance(left, int) and more_age_us < left <= MAX_USEFUL_AGE_US
            }
        )
        rests = (
            {}
            if restarted or not clock_good
            else {
                key: (strikes, left - more_age_us)
                for key, (strikes, left) in sight.rests_us.items()
                if 0 < strikes < 32 and more_age_us < left <= MAX_USEFUL_AGE_US
            }
        )
        if asked is not None or beyond is not None or warm or rests:
            out.append(
                LearnedMachine(
                    idents[name], asked, asked_age, beyond, measured_age or 0, warm, rests
                )
            )
    return out


def fleet_average(
    observations: Iterable[MachineObservation],
    sizes: Mapping[str, tuple[float, float]],
    held: tuple[float, float],
) -> tuple[float, float]:
    """The share of their size that machines are asked for, over sights that tell it; `held` where few do."""
    told = [
        (each.asked, sizes[each.machine])
        for each in observations
        if each.machine in sizes and _number(each.asked, 1e9) is not None
    ]
    if len(told) < 4:
        return held
    return (
        sum(asked[0] for asked, _ in told if asked) / sum(size[0] for _, size in told),
        sum(asked[1] for asked, _ in told if asked) / sum(size[1] for _, size in told),
    )


def _faded(
    asked: tuple[float, float] | None,
    age_us: int | None,
    more_age_us: int,
    average: tuple[float, float],
    size: tuple[float, float],
    clock_good: bool,
) -> tuple[tuple[float, float] | None, int]:
    asked, age = _number(asked, 100 * max(size)), plausible_age(age_us)
    if asked is None or age is None or not clock_good:
        return None, 0
    age += more_age_us
    kept = weight(age)
    if not kept:
        return None, 0
    return (
        asked[0] * kept + average[0] * size[0] * (1 - kept),
        asked[1] * kept + average[1] * size[1] * (1 - kept),
    ), age


def learned_ratio(
    ratio: float, notes: float, age_us: int | None, clock_good: bool
) -> tuple[float, float]:
    """A peer's learned share of use and the own notes that it weighs; (0, 0) where it is not to be believed."""
    age = plausible_age(age_us)
    if age is None or not clock_good or not (math.isfinite(ratio) and math.isfinite(notes)):
        return 0.0, 0.0
    if not 0.0 < ratio <= 10.0 or notes <= 0:
        return 0.0, 0.0
    return ratio, min(notes, MAX_RATIO_NOTES) * weight(age, RATIO_HALF_LIFE_US)


def is_other_cluster(observations: Iterable[MachineObservation], idents: Mapping[str, int]) -> bool:
    """Whether a peer's machines are so unlike our list that it must be of another cluster."""
    found = list(observations)
    if not idents or len(found) < 4:
        return False
    return sum(sight.machine not in idents for sight in found) > MAX_UNKNOWN_SHARE * len(found)


class ListTrust(Enum):
    """What a list's entry means in the light of a peer's sight."""

    AS_LISTED = "as listed"
    SEEN_DRAINING = "seen draining by a peer, and the list is no newer"


class Distrust:
    """Machines that peers saw draining, gone or restarted, by the list's version of that sight.

    Rule 3's danger: a saved or late list shows a machine running that a peer knows to drain. It is not trusted until
    the list, newer than that sight, says that it runs. Versions order the two: both read one source.
    """

    def __init__(self, max_machines: int) -> None:
        self._max_machines = max_machines
        self._drains: dict[str, int] = {}
        self._starts: dict[str, tuple[int, int]] = {}  # version, launched (our clock)

    def on_observation(
        self, observation: MachineObservation, own_version: int | None, now_us: int
    ) -> bool:
        """Take in a sight; True where it is newer than our list's entry and so changes what holds now."""
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
        """What to make of an entry of that version that says the machine runs."""
        seen = self._drains.get(name)
        if seen is None:
            return ListTrust.AS_LISTED
        if version > seen:
            del self._drains[name]
            return ListTrust.AS_LISTED
        return ListTrust.SEEN_DRAINING

    def narrow(self, name: str, version: int, listed: ListedMachine) -> ListedMachine:
        """The entry as the module may have it: draining where a peer saw that, cold where one saw a later start."""
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
        """The list's version of the sight by which a machine is distrusted, -1 without one."""
        return self._drains.get(name, -1)

    def on_new_source(self) -> None:
        """The list began anew: its versions say nothing of those before, its word counts again."""
        self._drains.clear()
        self._starts.clear()

    def __len__(self) -> int:
        return len(self._drains)
