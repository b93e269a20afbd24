"""Knowledge of machines on the wire: pages with a digest, read with bounds; ages cross it, never times.

Both sides are here: `Snapshots` cuts what a running instance knows into pages, `read_page` takes one apart.
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
MACHINES_PER_PAGE = 200  # machines
MAX_SNAPSHOTS = 4
SNAPSHOT_TTL_US = 30_000_000
SNAPSHOT_REUSE_US = 1_000_000  # a snapshot this young serves further askers
MAX_SERVICES_PER_MACHINE = 64  # programs told of for one machine


class KnowledgePageError(ValueError):
    """A page that cannot be used; what is wrong in words."""


class WireObservation(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """A machine in a page: name, version, phase, ages and figures."""

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
    """What an instance says of itself."""

    ident: str
    incarnation: int
    region: str
    cluster: str
    uptime_us: int
    list_age_us: int | None
    machines: int
    address: str = ""


class WirePage(msgspec.Struct, rename="camel"):
    """A page; `digest` is over the bytes of `machines`."""

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
_sights: msgspec.json.Decoder[list[WireObservation]] = msgspec.json.Decoder(list[WireObservation])
_page: msgspec.json.Decoder[WirePage] = msgspec.json.Decoder(WirePage)
_instance: msgspec.json.Decoder[WireInstance] = msgspec.json.Decoder(WireInstance)


@dataclass(frozen=True, slots=True)
class UsageRatios:
    """Learned shares of use, the notes behind them, and the age of the last note."""

    ratio: tuple[float, float]
    notes: tuple[float, float]
    age_us: int | None


@dataclass(frozen=True, slots=True)
class _Snapshot:
    ident: str
    taken_us: int
    usage: UsageRatios
    parts: list[tuple[bytes, str, int]]  # bytes, digest, machines before it
    total: int


@dataclass(frozen=True, slots=True)
class Page:
    """A page as read: sights whose ages are as of `snapshot_age_us` before it was sent."""

    snapshot: str
    first: int
    total: int
    next: str
    snapshot_age_us: int
    clock_us: int
    usage: UsageRatios
    observations: list[MachineObservation]


def to_wire(observation: MachineObservation) -> WireObservation:
    """For a page; of programs the longest trusted are told of."""
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
    """The bytes of a page's machines, and their digest."""
    raw = _encode([to_wire(observation) for observation in observations])
    return raw, xxhash.xxh64_hexdigest(raw)


class Snapshots:
    """A bounded number of moments of one instance's knowledge, each cut into pages once."""

    def __init__(self, incarnation: int) -> None:
        self._held: OrderedDict[str, _Snapshot] = OrderedDict()
        self._count = 0
        self._incarnation = f"{incarnation:x}"

    def page(
        self,
        token: str,
        now_us: int,
        take: Callable[[], tuple[list[MachineObservation], UsageRatios]],
        turn: Callable[[], None],
    ) -> bytes:
        """The page of a token, the first one of a fresh or young snapshot without; KeyError past its time.

        `turn` is called between parts: cutting many machines into pages must not hold up placing.
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
            snapshot, index = self._recent(now_us) or self._create(now_us, *take(), turn), 0
        raw, digest, first = snapshot.parts[index]
        more = f"{snapshot.ident}.{index + 1}" if index + 1 < len(snapshot.parts) else ""
        return _encode(
            WirePage(
                FORMAT_VERSION,
                snapshot.ident,
                first,
                snapshot.total,
                more,
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
        turn: Callable[[], None],
    ) -> _Snapshot:
        self._count += 1
        parts: list[tuple[bytes, str, int]] = []
        for first in range(0, max(1, len(observations)), MACHINES_PER_PAGE):
            parts.append((*encode_part(observations[first : first + MACHINES_PER_PAGE]), first))
            turn()
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
    """One line of the watch: what changed, as a page of its own."""
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


def decode_page(raw: bytes, machines_most: int) -> Page:
    """Take a page apart; BadPage says what is wrong with it, and then nothing of it counts."""
    try:
        page = _page.decode(raw)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise KnowledgePageError(f"no page: {str(error)[:120]}") from None
    if (
        page.kind != "KnowledgePage"
        or page.form != FORMAT_VERSION
        or page.api_version != "wingbarrow.io/v1"
    ):
        raise KnowledgePageError(
            f"another form: {page.kind[:40]} {page.api_version[:40]} {page.form}"
        )
    body = bytes(page.machines)
    if xxhash.xxh64_hexdigest(body) != page.digest:
        raise KnowledgePageError("the digest is wrong")
    if not 0 <= page.total <= machines_most or not 0 <= page.first <= page.total:
        raise KnowledgePageError(f"{page.total} machines, {machines_most} are the most")
    if page.snapshot_age_us < 0:
        raise KnowledgePageError(f"an age of {page.snapshot_age_us}")
    try:
        wire = _sights.decode(body)
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
        raise KnowledgePageError(f"unreadable machines: {str(error)[:120]}") from None
    if (
        len(observations) > max(MACHINES_PER_PAGE, page.total)
        or page.first + len(observations) > page.total
    ):
        raise KnowledgePageError("more machines than the page says")
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
    """What an instance says of itself."""
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
    """An announcement and the address it names; BadPage where it cannot be used."""
    try:
        announced = _instance.decode(raw)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise KnowledgePageError(f"no announcement: {str(error)[:120]}") from None
    if (
        not 0 < len(announced.ident) <= 253
        or len(announced.region) > 253
        or len(announced.cluster) > 253
        or len(announced.address) > 300
    ):
        raise KnowledgePageError("a name that is empty or too long")
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
