"""Entries of the replicated log about maintenance slots: one type for each kind, and their JSON form.

Kinds and keys are the ones stored in logs on disk and in snapshots. `decode_entry` reads entries proposed by any
version: it converts numbers by `int` and truncates texts to their bounds, and raises `MaintenanceEntryError` for an
entry that it cannot read.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any, ClassVar, Self

MAX_MACHINE_CHARACTERS = 253
MAX_LABEL_CHARACTERS = 63
MAX_IDENT_CHARACTERS = 320
MAX_NOTE_CHARACTERS = 160
MAX_URGENCY = 9
MAX_DURATION_US = 31 * 86_400_000_000
MAX_TIME_US = 1 << 53  # greatest integer that all JSON readers represent exactly
REQUEST_REASONS = ("calendar", "operator", "verdict")
CALENDAR = "calendar"
UNSAFE_POLICIES = ("wait", "shorten", "give-up")
PLACE_LABELS = 3  # region, zone, cell


class MaintenanceEntryError(ValueError):
    """An entry that cannot be read. `kind`: its kind as stored in the log."""

    def __init__(self, kind: str, problem: str) -> None:
        super().__init__(f"maintenance entry {kind[:40]!r}: {problem}")
        self.kind = kind


@dataclass(frozen=True, slots=True)
class WindowTerms:
    """The additional terms of a request by the calendar or by outlier ejection."""

    unsafe: str = "wait"  # policy for tasks that must not start twice: wait, shorten, give-up
    ends_us: int = 0  # the window's end, if the slot ends with it; 0 otherwise
    from_us: int = 0  # earliest time at which the machine is given out


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotTerms:
    """The terms of a valid request. Times are of the wall clock; times and durations are in microseconds."""

    machine: str
    region: str
    zone: str
    cell: str
    why: str
    urgency: int
    latest_us: int
    lasts_us: int
    worker: str
    window: WindowTerms | None = None  # None if the entry does not have these keys


@dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """Base of all entries. `at_us`: the wall clock of the leader that proposed the entry, in microseconds."""

    kind: ClassVar[str]
    at_us: int = 0

    @classmethod
    def from_json(cls, value: Mapping[str, Any]) -> Self:
        """Decode the entry's JSON form; raise ValueError, KeyError or TypeError if it is invalid."""
        raise NotImplementedError

    def to_json(self) -> dict[str, Any]:
        """Return the entry's JSON form, with its keys in their stored order."""
        raise NotImplementedError


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotRequested(Entry):
    """A request to take a machine out. An invalid one has a `problem` and no `terms`; its refusal is recorded."""

    kind: ClassVar[str] = "ask"
    ident: str
    is_calendar: bool
    terms: SlotTerms | None = None
    problem: str = ""

    @classmethod
    def from_json(cls, value: Mapping[str, Any]) -> Self:
        """Decode a request, valid or not; raise KeyError if it has no ident, reason or time."""
        problem = request_problem(value)
        return cls(
            at_us=_time(value["at_us"]),
            ident=str(value["ident"])[:MAX_IDENT_CHARACTERS],
            is_calendar=value["why"] == CALENDAR,
            terms=None if problem else _terms(value),
            problem=problem,
        )

    def to_json(self) -> dict[str, Any]:
        """Return the JSON form of a valid request; raise MaintenanceEntryError for an invalid one."""
        terms = self.terms
        if terms is None:
            raise MaintenanceEntryError(self.kind, self.problem)
        window: dict[str, Any] = {}
        if terms.window is not None:
            window = {
                "unsafe": terms.window.unsafe,
                "ends_us": terms.window.ends_us,
                "from_us": terms.window.from_us,
            }
        return {
            "ident": self.ident,
            "machine": terms.machine,
            "region": terms.region,
            "zone": terms.zone,
            "cell": terms.cell,
            "why": terms.why,
            "urgency": terms.urgency,
            "latest_us": terms.latest_us,
            "lasts_us": terms.lasts_us,
            **window,
            "worker": terms.worker,
            "at_us": self.at_us,
        }


@dataclass(frozen=True, slots=True)
class CountedSlot:
    """A requested slot with the number of tasks at its machine, and the machine's place if the request had none."""

    number: int
    tasks: int
    place: tuple[str, str, str] | None = None  # region, zone, cell


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotsQueued(Entry):
    """Requested slots whose tasks have been counted: from now on they wait in the queue."""

    kind: ClassVar[str] = "queue"
    slots: tuple[CountedSlot, ...]

    @classmethod
    def from_json(cls, value: Mapping[str, Any]) -> Self:
        """Decode all slots, or raise as `Entry.from_json` does."""
        return cls(at_us=_time(value["at_us"]), slots=tuple(_counted(value["turns"])))

    def to_json(self) -> dict[str, Any]:
        """Return the JSON form."""
        rows = [(each.number, each.tasks, *(each.place or ())) for each in self.slots]
        return {"turns": rows, "at_us": self.at_us}


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotTransition(Entry):
    """Base of entries that move one slot to its next state; fields that are None have no key in the JSON form."""

    number: int
    note: str | None = None  # the reason, for operators
    retry_ident: str | None = None  # the calendar request that may be made again; "": none

    @classmethod
    def from_json(cls, value: Mapping[str, Any]) -> Self:
        """Decode a transition."""
        has_note = "note" in value
        has_retry = "again" in value
        return cls(
            at_us=_time(value["at_us"]),
            number=int(value["number"]),
            note=str(value["note"])[:MAX_NOTE_CHARACTERS] if has_note else None,
            retry_ident=str(value["again"] or "") if has_retry else None,
        )

    def to_json(self) -> dict[str, Any]:
        """Return the JSON form."""
        value: dict[str, Any] = {"number": self.number, "at_us": self.at_us}
        if self.note is not None:
            value["note"] = self.note
        if self.retry_ident is not None:
            value["again"] = self.retry_ident
        return value


class SlotClosing(SlotTransition):
    """The slot is the first in the queue that fits the budgets: from now on placers send no task to its machine."""

    kind: ClassVar[str] = "close"


class MachineEmptied(SlotTransition):
    """It is proved that the machine runs no task and cannot receive one."""

    kind: ClassVar[str] = "empty"


class MachineOut(SlotTransition):
    """The maintenance operator may work on the machine."""

    kind: ClassVar[str] = "out"


class MachineReturned(SlotTransition):
    """Maintenance is finished or its time is up: the machine is reopened, and tried with a first task."""

    kind: ClassVar[str] = "back"


class SlotDone(SlotTransition):
    """The machine accepts tasks again: the slot has ended."""

    kind: ClassVar[str] = "done"


class SlotGivenBack(SlotTransition):
    """The slot is withdrawn: it ends at once, or after its machine has been reopened and tried."""

    kind: ClassVar[str] = "give-back"


@dataclass(frozen=True, slots=True, kw_only=True)
class VotersRecovered(Entry):
    """Voters were recovered from an older state, so the latest decisions may be lost. Applied by the coordinator."""

    kind: ClassVar[str] = "recovered"

    @classmethod
    def from_json(cls, value: Mapping[str, Any]) -> Self:
        """Decode the entry; without a time it does not advance the queue's clock."""
        return cls(at_us=_time(value.get("at_us", 0)))

    def to_json(self) -> dict[str, Any]:
        """Return the JSON form."""
        return {"at_us": self.at_us} if self.at_us else {}


ENTRY_TYPES: Mapping[str, type[Entry]] = {
    each.kind: each
    for each in (
        SlotRequested,
        SlotsQueued,
        SlotClosing,
        MachineEmptied,
        MachineOut,
        MachineReturned,
        SlotDone,
        SlotGivenBack,
        VotersRecovered,
    )
}


def decode_entry(kind: str, value: Mapping[str, Any]) -> Entry:
    """Decode an entry of the log; raise MaintenanceEntryError if its kind is unknown or its value is invalid."""
    entry_type = ENTRY_TYPES.get(kind)
    if entry_type is None:
        raise MaintenanceEntryError(kind, "unknown kind")
    if not isinstance(value, Mapping):
        raise MaintenanceEntryError(kind, f"expected a JSON object, got {type(value).__name__}")
    try:
        return entry_type.from_json(value)
    except (ValueError, KeyError, TypeError) as error:
        raise MaintenanceEntryError(kind, str(error)) from error


def request_problem(value: Mapping[str, Any]) -> str:
    """Return why the JSON form of a request is invalid, as text for its sender; "" for a valid one."""
    if not _is_text(value, "machine", MAX_MACHINE_CHARACTERS):
        return f"machine: a name of at most {MAX_MACHINE_CHARACTERS} characters is wanted"
    labels = ("region", "zone", "cell", "worker")
    if not all(_is_text(value, key, MAX_LABEL_CHARACTERS, may_be_empty=True) for key in labels):
        return f"region, zone, cell, worker: names of at most {MAX_LABEL_CHARACTERS} characters are wanted"
    if not _is_text(value, "ident", MAX_IDENT_CHARACTERS):
        return f"ident: a name of the request's own, of at most {MAX_IDENT_CHARACTERS} characters, is wanted"
    if (
        value.get("why") not in REQUEST_REASONS
        or value.get("unsafe", "wait") not in UNSAFE_POLICIES
    ):
        return f"why: one of {', '.join(REQUEST_REASONS)} is wanted, unsafe: one of {', '.join(UNSAFE_POLICIES)}"
    return _numbers_problem(value)


def _numbers_problem(value: Mapping[str, Any]) -> str:
    if not _is_count(value.get("urgency"), MAX_URGENCY):
        return f"urgency: 0 to {MAX_URGENCY} is wanted"
    if not _is_count(value.get("lasts_us"), MAX_DURATION_US):
        return "lasts: at most 31 days are wanted"
    times = [value.get("latest_us"), value.get("at_us")]
    times += [value.get("ends_us", 0), value.get("from_us", 0)]
    if not all(_is_count(each, MAX_TIME_US) for each in times):
        return "latest: a time is wanted"
    return ""


def _is_text(
    value: Mapping[str, Any], key: str, max_characters: int, *, may_be_empty: bool = False
) -> bool:
    text = value.get(key)
    return isinstance(text, str) and (may_be_empty or bool(text)) and len(text) <= max_characters


def _is_count(value: object, maximum: int) -> bool:
    return type(value) is int and 0 <= value <= maximum


def _terms(value: Mapping[str, Any]) -> SlotTerms:
    window = None
    if not value.keys().isdisjoint(("unsafe", "ends_us", "from_us")):
        window = WindowTerms(
            unsafe=value.get("unsafe", "wait"),
            ends_us=value.get("ends_us", 0),
            from_us=value.get("from_us", 0),
        )
    return SlotTerms(
        machine=value["machine"],
        region=value["region"],
        zone=value["zone"],
        cell=value["cell"],
        why=value["why"],
        urgency=value["urgency"],
        latest_us=value["latest_us"],
        lasts_us=value["lasts_us"],
        worker=value["worker"],
        window=window,
    )


def _counted(rows: Any) -> Iterator[CountedSlot]:
    for number, tasks, *labels in rows:
        place = tuple(str(each)[:MAX_LABEL_CHARACTERS] for each in labels)
        yield CountedSlot(
            number=int(number),
            tasks=max(0, int(tasks)),
            place=(place[0], place[1], place[2]) if len(place) == PLACE_LABELS else None,
        )


def _time(value: object) -> int:
    if type(value) is not int or not 0 <= value < MAX_TIME_US:
        raise ValueError(
            f"at_us: expected 0 to {MAX_TIME_US - 1} microseconds, got {str(value)[:40]!r}"
        )
    return value
