"""Wire format of the knowledge of machines: pages with a digest, decoded with bounds on their content.

`Snapshots` divides the knowledge of a running instance into pages, `decode_page` decodes one. Pages contain ages and
never absolute times, as the clocks of instances may differ.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec
import xxhash

from wingbarrow.decide.learning import Announcement, MachineObservation
from wingbarrow.interface import Phase

FORMAT_VERSION = 1
MACHINES_PER_PAGE = 200
MAX_SNAPSHOTS = 4
SNAPSHOT_TTL_US = 30_000_000
SNAPSHOT_REUSE_US = 1_000_000  # a younger snapshot also serves new readers
MAX_SERVICES_PER_MACHINE = 64  # warm programs that a page contains for one machine


class KnowledgePageError(ValueError):
    """An invalid page or announcement; the text has the reason."""


class WireObservation(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """A machine in a page, encoded as an array: the fields of `MachineObservation` in their order."""

    machine: str
    version: int
    phase: str
    launched_age_us: int | None
    asked: tuple[float, float] | None
    asked_age_us: int | None
    beyond: tuple[float, float] | None
    measured_age_us: int | None
    warm_us: dict[str, int]
    rests_us: dict[str, tuple[int, int]]


class WireInstance(msgspec.Struct, rename="camel"):
    """An instance's announcement."""

    ident: str
    incarnation: int
    region: str
    cluster: str
    uptime_us: int
    list_age_us: int | None
    machines: int
    address: str = ""


class WirePage(msgspec.Struct, rename="camel"):
    """A page; `digest` is the xxHash64 of the bytes of `machines`, in hexadecimal."""

    form: int
    snapshot: str
    first: int
    total: int
    next: str
    snapshot_age_us: int
    clock_us: int
    digest: str
    ratio: tuple[float, float]
    notes: tuple[float, float]
    ratio_age_us: int | None
    machines: msgspec.Raw
    kind: str = "KnowledgePage"
    api_version: str = "wingbarrow.io/v1"


_encode = msgspec.json.Encoder().encode
_observations_decoder: msgspec.json.Decoder[list[WireObservation]] = msgspec.json.Decoder(
    list[WireObservation]
)
_page_decoder: msgspec.json.Decoder[WirePage] = msgspec.json.Decoder(WirePage)
_instance_decoder: msgspec.json.Decoder[WireInstance] = msgspec.json.Decoder(WireInstance)


@dataclass(frozen=True, slots=True)
class UsageRatios:
    """Ratios of used to requested resources (cores, memory), their sample counts, and the age of the last sample."""

    ratio: tuple[float, float]
    notes: tuple[float, float]
    age_us: int | None


@dataclass(frozen=True, slots=True)
class _Snapshot:
    ident: str
    taken_us: int
    usage: UsageRatios
    parts: list[tuple[bytes, str, int]]  # encoded machines, digest, index of the first machine
    total: int


@dataclass(frozen=True, slots=True)
class Page:
    """A decoded page; ages in its observations refer to its snapshot, taken `snapshot_age_us` before it was sent."""

    snapshot: str
    first: int
    total: int
    next: str
    snapshot_age_us: int
    clock_us: int
    usage: UsageRatios
    observations: list[MachineObservation]


def to_wire(observation: MachineObservation) -> WireObservation:
    """Convert an observation for a page; of warm programs, those that stay warm the longest are included."""
    warm = dict(
        sorted(observation.warm_us.items(), key=lambda pair: (-pair[1], pair[0]))[
            :MAX_SERVICES_PER_MACHINE
        ]
    )
    return WireObservation(
        observation.machine,
        observation.version,
        observation.phase.value,
        observation.launched_age_us,
        observation.asked,
        observation.asked_age_us,
        observation.beyond,
        observation.measured_age_us,
        warm,
        dict(observation.rests_us),
    )


def encode_part(observations: Iterable[MachineObservation]) -> tuple[bytes, str]:
    """The encoded machines of a page, and their digest."""
    raw = _encode([to_wire(observation) for observation in observations])
    return raw, xxhash.xxh64_hexdigest(raw)


class Snapshots:
    """A bounded number of snapshots of one instance's knowledge, each divided into pages once."""

    def __init__(self, incarnation: int) -> None:
        self._held: OrderedDict[str, _Snapshot] = OrderedDict()
        self._count = 0
        self._incarnation = f"{incarnation:x}"

    def page(
        self,
        token: str,
        now_us: int,
        read_knowledge: Callable[[], tuple[list[MachineObservation], UsageRatios]],
        checkpoint: Callable[[], None],
    ) -> bytes:
        """The encoded page of a continue token; without a token, the first page of a new or recent snapshot.

        `read_knowledge` is called for a new snapshot. `checkpoint` is called between pages: encoding many machines must
        not delay placing. Raises KeyError for an invalid token and for an expired snapshot.
        """
        for ident in [
            each.ident for each in self._held.values() if now_us - each.taken_us > SNAPSHOT_TTL_US
        ]:
            del self._held[ident]
        if token:
            ident, _, number = token.rpartition(".")
            snapshot, index = self._held[ident], int(number) if number.isdecimal() else -1
            if not 0 <= index < len(snapshot.parts):
                raise KeyError(token)
        else:
            snapshot, index = (
                self._recent(now_us) or self._create(now_us, *read_knowledge(), checkpoint),
                0,
            )
        raw, digest, first = snapshot.parts[index]
        next_token = f"{snapshot.ident}.{index + 1}" if index + 1 < len(snapshot.parts) else ""
        return _encode(
            WirePage(
                FORMAT_VERSION,
                snapshot.ident,
                first,
                snapshot.total,
                next_token,
                now_us - snapshot.taken_us,
                now_us,
                digest,
                snapshot.usage.ratio,
                snapshot.usage.notes,
                snapshot.usage.age_us,
                msgspec.Raw(raw),
            )
        )

    def _recent(self, now_us: int) -> _Snapshot | None:
        newest = next(reversed(self._held.values()), None)
        return (
            newest if newest is not None and now_us - newest.taken_us < SNAPSHOT_REUSE_US else None
        )

    def _create(
        self,
        now_us: int,
        observations: list[MachineObservation],
        usage: UsageRatios,
        checkpoint: Callable[[], None],
    ) -> _Snapshot:
        self._count += 1
        parts: list[tuple[bytes, str, int]] = []
        for first in range(0, max(1, len(observations)), MACHINES_PER_PAGE):
            parts.append((*encode_part(observations[first : first + MACHINES_PER_PAGE]), first))
            checkpoint()
        snapshot = _Snapshot(
            f"{self._incarnation}-{self._count}", now_us, usage, parts, len(observations)
        )
        self._held[snapshot.ident] = snapshot
        while len(self._held) > MAX_SNAPSHOTS:
            self._held.popitem(last=False)
        return snapshot


def encode_changes(
    observations: list[MachineObservation], usage: UsageRatios, now_us: int
) -> bytes:
    """One line of the watch: the changed machines as a page of their own."""
    raw, digest = encode_part(observations)
    return (
        _encode(
            WirePage(
                FORMAT_VERSION,
                "",
                0,
                len(observations),
                "",
                0,
                now_us,
                digest,
                usage.ratio,
                usage.notes,
                usage.age_us,
                msgspec.Raw(raw),
            )
        )
        + b"\n"
    )


def decode_page(raw: bytes, max_machines: int) -> Page:
    """Decode a page of at most `max_machines` in total; raises KnowledgePageError if any part of it is invalid."""
    try:
        page = _page_decoder.decode(raw)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise KnowledgePageError(f"invalid page: {str(error)[:120]}") from None
    if (
        page.kind != "KnowledgePage"
        or page.form != FORMAT_VERSION
        or page.api_version != "wingbarrow.io/v1"
    ):
        raise KnowledgePageError(
            f"unsupported kind, API version or format: {page.kind[:40]} {page.api_version[:40]} {page.form}"
        )
    body = bytes(page.machines)
    if xxhash.xxh64_hexdigest(body) != page.digest:
        raise KnowledgePageError("the digest does not match the machines")
    if not 0 <= page.total <= max_machines or not 0 <= page.first <= page.total:
        raise KnowledgePageError(
            f"page at {page.first} of {page.total} machines; at most {max_machines} are accepted"
        )
    if page.snapshot_age_us < 0:
        raise KnowledgePageError(f"negative snapshot age: {page.snapshot_age_us} us")
    try:
        wire = _observations_decoder.decode(body)
        observations = [
            MachineObservation(
                each.machine,
                each.version,
                Phase(each.phase),
                each.launched_age_us,
                each.asked,
                each.asked_age_us,
                each.beyond,
                each.measured_age_us,
                each.warm_us,
                each.rests_us,
            )
            for each in wire
        ]
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        raise KnowledgePageError(f"invalid machines: {str(error)[:120]}") from None
    if (
        len(observations) > max(MACHINES_PER_PAGE, page.total)
        or page.first + len(observations) > page.total
    ):
        raise KnowledgePageError(
            f"{len(observations)} machines at {page.first}, more than the page's total of {page.total} allows"
        )
    return Page(
        page.snapshot[:100],
        page.first,
        page.total,
        page.next[:200],
        page.snapshot_age_us,
        page.clock_us,
        UsageRatios(page.ratio, page.notes, page.ratio_age_us),
        observations,
    )


def encode_instance(announcement: Announcement, address: str) -> bytes:
    """Encode an announcement with the address of the instance's front."""
    return _encode(
        WireInstance(
            announcement.ident,
            announcement.incarnation,
            announcement.region,
            announcement.cluster,
            announcement.uptime_us,
            announcement.list_age_us,
            announcement.machines,
            address,
        )
    )


def decode_instance(raw: bytes, peer: str, rtt_us: int) -> tuple[Announcement, str]:
    """Decode an announcement and its address; raises KnowledgePageError if it is invalid.

    `peer` is the address that was asked, `rtt_us` the duration of the request.
    """
    try:
        announced = _instance_decoder.decode(raw)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise KnowledgePageError(f"invalid announcement: {str(error)[:120]}") from None
    if (
        not 0 < len(announced.ident) <= 253
        or len(announced.region) > 253
        or len(announced.cluster) > 253
        or len(announced.address) > 300
    ):
        raise KnowledgePageError(
            "announcement: ident is empty, or ident, region, cluster or address is too long"
        )
    return Announcement(
        peer,
        announced.ident,
        announced.incarnation,
        announced.region,
        announced.cluster,
        announced.uptime_us,
        announced.list_age_us,
        announced.machines,
        rtt_us,
    ), announced.address
