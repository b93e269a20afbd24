"""A placer's settings as typed values. Times are in microseconds, memory is in GiB."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from netaddr import IPSet

from wingbarrow import interface as api
from wingbarrow.decide.federation.spec import Federation
from wingbarrow.decide.membership_damping import LEAVE_AFTER_US, SETTLE_US
from wingbarrow.decide.quotas.limits import FleetLimit
from wingbarrow.decide.subsets import SubsetRules

_DURATION = re.compile(r"(?:(\d+(?:\.\d+)?)(us|ms|s|m|h))")
_UNITS_US = {"us": 1, "ms": 1_000, "s": 1_000_000, "m": 60_000_000, "h": 3_600_000_000}
_SIZE = re.compile(r"(\d+(?:\.\d+)?)(|Ki|Mi|Gi|Ti|k|M|G|T|m)")
_SIZES = {
    "": 1,
    "m": 1e-3,
    "Ki": 2**10,
    "Mi": 2**20,
    "Gi": 2**30,
    "Ti": 2**40,
    "k": 1e3,
    "M": 1e6,
    "G": 1e9,
    "T": 1e12,
}


def parse_duration(text: str) -> int:
    """Microseconds from a duration such as "700ms", "5s" or "1m30s"; ValueError if it is invalid or over ten years."""
    parts = _DURATION.findall(text)
    if not parts or "".join(number + unit for number, unit in parts) != text:
        raise ValueError(f"not a duration such as 700ms or 1m30s: {text[:40]!r}")
    total = sum(float(number) * _UNITS_US[unit] for number, unit in parts)
    if total > 10 * 365 * 86_400 * 1_000_000:
        raise ValueError(f"a duration of more than ten years: {text[:40]!r}")
    return int(total)


def parse_size(text: str) -> float:
    """The value of a quantity such as "500m" or "2Gi"; ValueError if it is invalid.

    Quantities are those of Kubernetes' resource.Quantity, without exponents.
    """
    match = _SIZE.fullmatch(text)
    if match is None:
        raise ValueError(f"not a quantity such as 500m or 2Gi: {text[:40]!r}")
    return float(match[1]) * _SIZES[match[2]]


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """A class of tasks: the decision module's settings, default patience of owners, and priority on machines."""

    task_class: api.TaskClass
    patience_us: int
    priority: int
    restarts: int  # how often a task that was lost or evicted is placed again
    federation: str = ""  # the federation spec of its Jobs that name none


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of one placer; a field without its suffix `_us` is a key of the `limits` node."""

    tasks_open: int = 20_000
    tasks_per_namespace: int = 20_000
    tasks_per_job: int = 1_000
    jobs_kept: int = 20_000
    window: int = 8_192
    watchers: int = 2_048
    connections: int = 4_096
    body: int = 1 << 20
    buffered: int = (
        32 << 20
    )  # bytes of unfinished requests and of answers not yet taken, of all clients
    machines: int = 10_000
    per_machine: int = 24
    patience_us: int = 3_600_000_000


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Address of another instance's front."""

    host: str
    port: int
    # If set, the instance of this name is reached at this address, whatever address it reports itself.
    name: str = ""
    # Whether it is contacted at the start; otherwise only once other instances have reported it.
    seed: bool = True

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class AgreementSettings:
    """Terms of the agreement on rules: `members` share the cold budget, and the `voters` among them decide."""

    voters: tuple[str, ...]
    members: tuple[str, ...]
    grant_us: int = 2_000_000
    limits: tuple[FleetLimit, ...] = ()  # fleet-wide, shared by `members`
    lease_us: int = 10_000_000
    regions: tuple[tuple[str, str], ...] = ()  # (placer, region) of the members with a region
    members_without_machines: tuple[str, ...] = ()  # they vote, and get no share of the budgets


@dataclass(frozen=True, slots=True)
class SubsetSettings:
    """Settings with which each placer holds only a subset of its region's machines, and of the damping of membership.

    `leave_after_us` and `settle_us`: see `decide.membership_damping`.
    """

    rules: SubsetRules
    leave_after_us: int = LEAVE_AFTER_US
    settle_us: int = SETTLE_US
    widen: int = 0  # further ranks whose machines a placer may hold temporarily; 0 for none


@dataclass(frozen=True, slots=True)
class PlacerSettings:
    """All settings of `serve`; `scheduler` has those of the decision module."""

    name: str
    seed: int
    host: str
    port: int
    source_host: str
    source_port: int
    state: str | None
    scheduler: api.Settings
    classes: dict[str, ClassSettings]
    drain_grace_us: int
    limits: Limits
    region: str = ""
    cluster: str = "main"
    peers: tuple[PeerAddress, ...] = ()
    calendars: tuple[str, ...] = ()  # files of maintenance windows
    # Addresses of instances that may send requests, and to which requests may be sent, besides the peers.
    peers_allowed: IPSet = field(default_factory=IPSet)
    agree: AgreementSettings | None = None
    barred: tuple[str, ...] = ()  # machines on which nothing is placed
    history: str | None = None  # file to which this placer records its actions, for audits
    # Whether it has machines; without them it only votes, and reads no list source.
    machines: bool = True
    federation: Federation = Federation()
    subset: SubsetSettings | None = None  # None: every placer holds every machine
