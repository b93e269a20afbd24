"""Events of the machine list as the journal service words them, and what a damaged entry still tells."""

from __future__ import annotations

from collections.abc import Callable, Container, Sequence
from dataclasses import dataclass, replace
from hashlib import blake2b
from math import isfinite
from typing import Any

from wingbarrow import interface as api
from wingbarrow.relay.configuration import Address, BadConfiguration, read_address

PHASES = {"Ready": api.Phase.RUNNING, "Terminating": api.Phase.DRAINING, "Gone": api.Phase.GONE}
MAX_STARTED_MS = 10**14  # beyond it is no time of a start
MAX_INTEGER = 1 << 62
MAX_REASON_CHARS = 200


def machine_id(name: str) -> int:
    """The number by which the module knows a machine: the same at every placer, without talk."""
    return int.from_bytes(blake2b(name.encode(), digest_size=6).digest(), "big")


@dataclass(frozen=True, slots=True)
class Entry:
    """A machine of the list, where it listens, and as the module hears of it; `why`: what of its room is no number."""

    name: str
    address: Address
    listed: api.ListedMachine
    why: str = ""

    def with_phase(self, phase: api.Phase) -> Entry:
        """The same in another phase."""
        return replace(self, listed=replace(self.listed, phase=phase))


@dataclass(frozen=True, slots=True)
class DamagedEntry:
    """An entry that cannot be read whole; `name` is empty and `phase` None where they cannot be read either."""

    name: str
    phase: api.Phase | None
    why: str


@dataclass(frozen=True, slots=True)
class Event:
    """One numbered event as it was read; `why` says what is wrong where it has no list (number 0: no number)."""

    position: int
    full: bool
    entries: tuple[Entry | DamagedEntry, ...]
    why: str = ""

    @property
    def digest(self) -> int:
        """A hash of what the event says of machines, without their room: two events under one number differ in it."""
        return hash(
            (
                self.full,
                tuple(
                    (each.name, each.address, each.listed.phase, each.listed.launched_us)
                    if isinstance(each, Entry)
                    else (each.name, each.phase)
                    for each in self.entries
                ),
            )
        )


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """What one event, or several in their order, say; `whole` where it holds the complete list."""

    position: int
    full: bool
    entries: tuple[Entry, ...]
    digest: int = 0  # of the event


def _to_ascii(text: str) -> str:
    return text[:MAX_REASON_CHARS].encode("ascii", "backslashreplace").decode()


def _read_room(value: Any) -> tuple[float, float]:
    """Free cores and memory; not a number where they are none: the rest of the entry counts all the same."""
    try:
        cores, memory = (float(figure) for figure in value)
        if isfinite(cores) and isfinite(memory):
            return cores, memory
    except (TypeError, ValueError, OverflowError):  # the last: an integer beyond any float
        pass
    return float("nan"), float("nan")


def _read_entry(name: str, phase: api.Phase | None, value: dict[str, Any], shift_us: int) -> Entry:
    zone, kind, cell, started = (
        value.get(key) for key in ("zone", "machineType", "cell", "startedAtMs")
    )
    if phase is None:
        raise ValueError("lifecycle")
    if not (isinstance(zone, str) and isinstance(kind, str)):
        raise ValueError("zone or kind")
    (zone + kind).encode()  # lone surrogates are a ValueError
    if isinstance(cell, float) and cell.is_integer():
        cell = int(cell)  # some services write each figure as a float
    if not isinstance(cell, int) or abs(cell) > MAX_INTEGER:
        raise ValueError("cell")
    started = 0 if "startedAtMs" not in value else started
    if (
        isinstance(started, bool)
        or not isinstance(started, (int, float))
        or not started <= MAX_STARTED_MS
        or not isfinite(started)
    ):
        raise ValueError("startedAtMs")
    try:
        address = read_address(value.get("hostPort"), "hostPort")
    except BadConfiguration as error:
        raise ValueError(str(error)) from None
    launched_us = max(1, int(started * 1000) + shift_us) if started > 0 else 0
    room = _read_room(value.get("room"))
    return Entry(
        name,
        address,
        api.ListedMachine(machine_id(name), kind, cell, zone, phase, launched_us, *room),
        "" if room[0] == room[0] or value.get("room") is None else _to_ascii(f"{name[:64]}: room"),
    )


def _entry_or_damaged(value: Any, shift_us: int) -> Entry | DamagedEntry:
    name, word = (
        (value.get("instanceId"), value.get("lifecycle"))
        if isinstance(value, dict)
        else (None, None)
    )
    if not isinstance(name, str) or not name:
        return DamagedEntry("", None, "an entry without id")
    phase = PHASES.get(word) if isinstance(word, str) else None
    try:
        return _read_entry(name, phase, value, shift_us)
    except (
        ValueError,
        TypeError,
        ArithmeticError,
    ) as error:  # the last: an integer below any float
        return DamagedEntry(name, phase, _to_ascii(f"{name[:64]}: {error}"))


def _read_event(value: Any, shift_us: int) -> Event:
    position, hosts = (
        (value.get("pos"), value.get("hosts")) if isinstance(value, dict) else (None, None)
    )
    if (
        isinstance(position, bool)
        or not isinstance(position, int)
        or not 0 < position <= MAX_INTEGER
    ):
        return Event(0, False, (), "an event without position")
    if not isinstance(hosts, dict) or not isinstance(hosts.get("instances"), list):
        return Event(position, False, (), f"event {position} without list")
    return Event(
        position,
        hosts.get("reset") is True,
        tuple(_entry_or_damaged(each, shift_us) for each in hosts["instances"]),
    )


def parse(value: Any, shift_us: int) -> tuple[int, list[Event]]:
    """The last position and the events in the order of their numbers; ValueError where it is not of the form.

    `shift_us`: the hub's clock less the Unix clock, in microseconds.
    """
    if not isinstance(value, dict) or not isinstance(value.get("entries"), list):
        raise ValueError("no list of events")
    last = value.get("pos")
    if isinstance(last, bool) or not isinstance(last, int):
        raise ValueError("no position")
    return last, sorted(
        (_read_event(each, shift_us) for each in value["entries"]), key=lambda event: event.position
    )


class ListState:
    """The machines as they were last told, by name; what has gone is left out."""

    def __init__(self, known: Sequence[ListUpdate] = ()) -> None:
        self.machines: dict[str, Entry] = {}
        for news in known:
            self._merge(news)

    def _merge(self, news: ListUpdate) -> None:
        if news.full:
            self.machines.clear()
        for entry in news.entries:
            if entry.listed.phase is api.Phase.GONE:
                self.machines.pop(entry.name, None)
            else:
                self.machines[entry.name] = entry

    def _repair(self, damaged: DamagedEntry, last: Entry | None) -> Entry | None:
        """What a damaged entry says of a machine that is known, with the rest as it was; None of another."""
        if last is None:
            return None
        # Danger (rule 3): a lifecycle that cannot be read may be a drain, and nobody tells it again.
        return last.with_phase(damaged.phase or api.Phase.DRAINING)

    def apply(
        self, event: Event, warn: Callable[[str], None], newer: Container[str] = ()
    ) -> ListUpdate:
        """Take in an event; `newer`: machines of which a later event has told already."""
        found: dict[str, Entry] = {}
        nameless = False
        for each in event.entries:
            entry = each if isinstance(each, Entry) else None
            if each.why:
                warn(each.why)
            if isinstance(each, DamagedEntry):
                nameless = nameless or not each.name
                entry = self._repair(each, found.get(each.name) or self.machines.get(each.name))
            if entry is not None and entry.name not in newer:
                found.pop(entry.name, None)
                found[entry.name] = entry
        if event.full:
            for name, entry in self.machines.items():
                if name in newer:
                    found[name] = entry
                elif nameless and name not in found:
                    # Danger (rule 3): one of those not found is the one without a name; which, nobody can say.
                    found[name] = entry.with_phase(api.Phase.DRAINING)
        news = ListUpdate(event.position, event.full, tuple(found.values()), event.digest)
        self._merge(news)
        return news


def merge(news: Sequence[ListUpdate]) -> ListUpdate:
    """Several events, in their order, as one: of each machine what was told last."""
    entries: dict[str, Entry] = {}
    for each in news:
        if each.full:
            entries.clear()
        for entry in each.entries:
            entries.pop(entry.name, None)
            entries[entry.name] = entry
    return ListUpdate(news[-1].position, any(each.full for each in news), tuple(entries.values()))


def read(value: Any, shift_us: int, warn: Callable[[str], None]) -> tuple[int, list[ListUpdate]]:
    """The last position and the events of the service's form; ValueError where it is not of that form.

    Damaged entries go to `complain` and count as far as they can be read, see `Roster`.
    """
    last, events = parse(value, shift_us)
    state = ListState()
    for event in events:
        if event.why:
            raise ValueError(event.why)
    return last, [state.apply(event, warn) for event in events]


__all__ = [
    "DamagedEntry",
    "Entry",
    "Event",
    "ListState",
    "ListUpdate",
    "machine_id",
    "merge",
    "parse",
    "read",
]
