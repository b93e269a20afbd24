"""Decodes machine list events in the journal service's format, including what is readable of damaged entries."""

from __future__ import annotations

from collections.abc import Callable, Container, Sequence
from dataclasses import dataclass, replace
from hashlib import blake2b
from math import isfinite
from typing import Any

from wingbarrow import interface as api
from wingbarrow.relay.configuration import Address, BadConfiguration, read_address

PHASES = {"Ready": api.Phase.RUNNING, "Terminating": api.Phase.DRAINING, "Gone": api.Phase.GONE}
MAX_STARTED_MS = 10**14  # a larger value cannot be a start time
MAX_INTEGER = 1 << 62  # of positions and cells
MAX_REASON_CHARS = 200


def machine_id(name: str) -> int:
    """The decision module's number for a machine: a hash of its name, so that every placer computes the same one."""
    return int.from_bytes(blake2b(name.encode(), digest_size=6).digest(), "big")


@dataclass(frozen=True, slots=True)
class Entry:
    """A listed machine, its address, and its form for the decision module; `why` is set if its room is not numeric."""

    name: str
    address: Address
    listed: api.ListedMachine
    why: str = ""

    def with_phase(self, phase: api.Phase) -> Entry:
        """A copy in another phase."""
        return replace(self, listed=replace(self.listed, phase=phase))


@dataclass(frozen=True, slots=True)
class DamagedEntry:
    """An entry that cannot be fully read; `name` is empty and `phase` None if they are unreadable, too."""

    name: str
    phase: api.Phase | None
    why: str


@dataclass(frozen=True, slots=True)
class Event:
    """One numbered event; `why` is set if it has no list of entries; `position` is 0 if it has no valid number."""

    position: int
    full: bool
    entries: tuple[Entry | DamagedEntry, ...]
    why: str = ""

    @property
    def digest(self) -> int:
        """A hash of the entries without their room, to tell apart two events with the same number in this process."""
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
    """The content of one event, or of several merged in order; `full` if it holds the complete list."""

    position: int
    full: bool
    entries: tuple[Entry, ...]
    digest: int = 0  # of the event


def _to_ascii(text: str) -> str:
    return text[:MAX_REASON_CHARS].encode("ascii", "backslashreplace").decode()


def _read_room(value: Any) -> tuple[float, float]:
    """Free cores and memory; both NaN if either is not finite, so that the rest of the entry can still be used."""
    try:
        cores, memory = (float(figure) for figure in value)
        if isfinite(cores) and isfinite(memory):
            return cores, memory
    except (
        TypeError,
        ValueError,
        OverflowError,
    ):  # OverflowError: an integer too large for a float
        pass
    return float("nan"), float("nan")


def _read_entry(name: str, phase: api.Phase | None, value: dict[str, Any], shift_us: int) -> Entry:
    zone, kind, cell, started = (
        value.get(key) for key in ("zone", "machineType", "cell", "startedAtMs")
    )
    if phase is None:
        raise ValueError(f"lifecycle is not one of {', '.join(PHASES)}")
    if not (isinstance(zone, str) and isinstance(kind, str)):
        raise ValueError(
            f"zone and machineType must be strings, not {type(zone).__name__} and {type(kind).__name__}"
        )
    (zone + kind).encode()  # raises ValueError on lone surrogates
    if isinstance(cell, float) and cell.is_integer():
        cell = int(cell)  # some services write every number as a float
    if not isinstance(cell, int) or abs(cell) > MAX_INTEGER:
        raise ValueError(
            f"cell must be an integer of at most {MAX_INTEGER} in size, not a {type(cell).__name__}"
        )
    started = 0 if "startedAtMs" not in value else started
    if (
        isinstance(started, bool)
        or not isinstance(started, (int, float))
        or not started <= MAX_STARTED_MS
        or not isfinite(started)
    ):
        raise ValueError(f"startedAtMs must be a finite number of at most {MAX_STARTED_MS}")
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
        ""
        if room[0] == room[0] or value.get("room") is None
        else _to_ascii(f"{name[:64]}: room must be two finite numbers"),
    )


def _entry_or_damaged(value: Any, shift_us: int) -> Entry | DamagedEntry:
    name, lifecycle = (
        (value.get("instanceId"), value.get("lifecycle"))
        if isinstance(value, dict)
        else (None, None)
    )
    if not isinstance(name, str) or not name:
        return DamagedEntry("", None, "entry without a string instanceId")
    phase = PHASES.get(lifecycle) if isinstance(lifecycle, str) else None
    try:
        return _read_entry(name, phase, value, shift_us)
    # ArithmeticError: an integer whose size exceeds any float.
    except (ValueError, TypeError, ArithmeticError) as error:
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
        return Event(0, False, (), "event without a positive integer pos")
    if not isinstance(hosts, dict) or not isinstance(hosts.get("instances"), list):
        return Event(position, False, (), f"event {position} without a list hosts.instances")
    return Event(
        position,
        hosts.get("reset") is True,
        tuple(_entry_or_damaged(each, shift_us) for each in hosts["instances"]),
    )


def parse(value: Any, shift_us: int) -> tuple[int, list[Event]]:
    """Parse the service's response into its last position and its events sorted by number.

    `shift_us` is the hub's clock minus the Unix clock, in microseconds. Raises ValueError if the response is malformed;
    a malformed event is returned with `why` set.
    """
    if not isinstance(value, dict) or not isinstance(value.get("entries"), list):
        raise ValueError("the machine list must be an object with a list entries")
    last = value.get("pos")
    if isinstance(last, bool) or not isinstance(last, int):
        raise ValueError(f"pos of the machine list must be an integer, not {type(last).__name__}")
    return last, sorted(
        (_read_event(each, shift_us) for each in value["entries"]), key=lambda event: event.position
    )


class ListState:
    """The latest known state of the machine list, by name, without machines that are gone."""

    def __init__(self, known: Sequence[ListUpdate] = ()) -> None:
        self.machines: dict[str, Entry] = {}
        for update in known:
            self._merge(update)

    def _merge(self, update: ListUpdate) -> None:
        if update.full:
            self.machines.clear()
        for entry in update.entries:
            if entry.listed.phase is api.Phase.GONE:
                self.machines.pop(entry.name, None)
            else:
                self.machines[entry.name] = entry

    def _repair(self, damaged: DamagedEntry, last: Entry | None) -> Entry | None:
        """The last known entry with the phase of the damaged one; None if the machine is unknown."""
        if last is None:
            return None
        # Danger (rule 3): an unreadable lifecycle may be a drain, and the service does not repeat it.
        return last.with_phase(damaged.phase or api.Phase.DRAINING)

    def apply(
        self, event: Event, warn: Callable[[str], None], newer: Container[str] = ()
    ) -> ListUpdate:
        """Apply an event and return its update; skips machines in `newer`, which a later event has already updated."""
        found: dict[str, Entry] = {}
        has_unnamed = False
        for each in event.entries:
            entry = each if isinstance(each, Entry) else None
            if each.why:
                warn(each.why)
            if isinstance(each, DamagedEntry):
                has_unnamed = has_unnamed or not each.name
                entry = self._repair(each, found.get(each.name) or self.machines.get(each.name))
            if entry is not None and entry.name not in newer:
                found.pop(entry.name, None)
                found[entry.name] = entry
        if event.full:
            for name, entry in self.machines.items():
                if name in newer:
                    found[name] = entry
                elif has_unnamed and name not in found:
                    # Danger (rule 3): the unnamed entry may be any machine missing from the list, and may be a drain.
                    found[name] = entry.with_phase(api.Phase.DRAINING)
        update = ListUpdate(event.position, event.full, tuple(found.values()), event.digest)
        self._merge(update)
        return update


def merge(updates: Sequence[ListUpdate]) -> ListUpdate:
    """Merge updates, given in order, into one with the latest entry of each machine."""
    entries: dict[str, Entry] = {}
    for each in updates:
        if each.full:
            entries.clear()
        for entry in each.entries:
            entries.pop(entry.name, None)
            entries[entry.name] = entry
    return ListUpdate(
        updates[-1].position, any(each.full for each in updates), tuple(entries.values())
    )


def read(value: Any, shift_us: int, warn: Callable[[str], None]) -> tuple[int, list[ListUpdate]]:
    """Read a machine list in the service's format: its last position and its events as updates, sorted by number.

    Damaged entries are reported to `warn` and used as far as they can be read, see `ListState`. Raises ValueError if
    the list or one of its events is malformed.
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
