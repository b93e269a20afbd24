"""A placer's settings as typed values. Times are microseconds, memory is GiB, cores are cores."""

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
    """Microseconds from "700ms", "5s", "1m30s"; ValueError says what is wrong."""
    parts = _DURATION.findall(text)
    if not parts or "".join(number + unit for number, unit in parts) != text:
        raise ValueError(f"not a duration such as 700ms or 1m30s: {text[:40]!r}")
    total = sum(float(number) * _UNITS_US[unit] for number, unit in parts)
    if total > 10 * 365 * 86_400 * 1_000_000:
        raise ValueError(f"a duration of more than ten years: {text[:40]!r}")
    return int(total)


def parse_size(text: str) -> float:
    """A quantity (Kubernetes' resource.Quantity, without exponents): "500m", "2Gi"; ValueError otherwise."""
    match = _SIZE.fullmatch(text)
    if match is None:
        raise ValueError(f"not a quantity such as 500m or 2Gi: {text[:40]!r}")
    return float(match[1]) * _SIZES[match[2]]


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """A class of tasks: what the module is told, the owner's usual patience, and the priority on machines."""

    task_class: api.TaskClass
    patience_us: int
    priority: int
    restarts: int  # how often a task that was lost or sent away is asked for again
    federation: str = ""  # the spec by which its Jobs go, where they name none


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds of one placer."""

    tasks_open: int = 20_000
    tasks_per_namespace: int = 20_000
    tasks_per_job: int = 1_000
    jobs_kept: int = 20_000
    window: int = 8_192
    watchers: int = 2_048
    connections: int = 4_096
    body: int = 1 << 20
    machines: int = 10_000
    per_machine: int = 24
    patience_us: int = 3_600_000_000


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Another instance's front."""

    host: str
    port: int
    name: str = (
        ""  # where told, this is how that instance is reached, whatever address it gives itself
    )
    seed: bool = True  # asked at a start; otherwise only a way to an instance that others tell of

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class AgreementSettings:
    """On what terms placers agree on rules; `members` share the cold budget, `voters` among them decide."""

    voters: tuple[str, ...]
    members: tuple[str, ...]
    grant_us: int = 2_000_000
    limits: tuple[FleetLimit, ...] = ()  # of the whole fleet, shared by `members`
    lease_us: int = 10_000_000
    regions: tuple[tuple[str, str], ...] = ()  # (name, region) of those that say one
    members_without_machines: tuple[
        str, ...
    ] = ()  # members without machines: they vote, and share in nothing


@dataclass(frozen=True, slots=True)
class SubsetSettings:
    """That each placer holds some of its region's machines alone, and how it follows who lives."""

    rules: SubsetRules
    leave_after_us: int = LEAVE_AFTER_US
    settle_us: int = SETTLE_US
    widen: int = 0  # further ranks whose machines a placer may hold for a while; 0: none


@dataclass(frozen=True, slots=True)
class PlacerSettings:
    """Everything that `serve` needs; `scheduler` is what the decision module is told."""

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
    peers_allowed: IPSet = field(
        default_factory=IPSet
    )  # who may ask, and be asked, besides the peers
    agree: AgreementSettings | None = None
    barred: tuple[str, ...] = ()  # machines that get nothing
    history: str | None = None  # file of what this placer did, for judges
    machines: bool = (
        True  # whether it has any; without, it votes and no more, and asks no list source
    )
    federation: Federation = Federation()
    subset: SubsetSettings | None = None  # None: every placer holds every machine
