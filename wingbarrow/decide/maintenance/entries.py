"""Entries of the replicated log about maintenance slots: one type for each kind, and their JSON form.

Kinds and keys are those that logs on disk and snapshots hold. `decode_entry` reads what any version proposed: it takes
numbers as `int` does and cuts texts to their bounds, and what it cannot read is a `MaintenanceEntryError`.
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
MAX_TIME_US = 1 << 53  # the greatest integer that JSON readers agree on
REASONS = ("calendar", "operator", "verdict")
CALENDAR = "calendar"
UNSAFE_POLICIES = ("wait", "shorten", "give-up")
PLACE_LABELS = 3  # region, zone, cell


class MaintenanceEntryError(ValueError):
    """An entry that cannot be read. `kind` is its kind as it stands in the log."""

    def __init__(self, kind: str, problem: str) -> None:
        super().__init__(f"entry {kind[:40]!r} of maintenance: {problem}")
        self.kind = kind


@dataclass(frozen=True, slots=True)
class WindowTerms:
    """What a request of the calendar or of outlier ejection adds to an operator's."""

    unsafe: str = "wait"  # for tasks that must not start twice: wait, shorten, give-up
    ends_us: int = 0  # the window's end, if the slot ends with it; 0: it does not
    from_us: int = 0  # the machine is not given out before


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotTerms:
    """A valid request. Times by the wall clock, durations in microseconds."""

    machine: str
    region: str
    zone: str
    cell: str
    why: str
    urgency: int
    latest_us: int
    lasts_us: int
    worker: str
    window: WindowTerms | None = None  # None where the entry has no such keys


@dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """Base of all entries. `at_us`: the proposing leader's wall clock."""

    kind: ClassVar[str]
    at_us: int = 0

    @classmethod
    def from_json(cls, value: Mapping[str, Any]) -> Self:
        """Read the entry's JSON form; ValueError, KeyError or TypeError if that is impossible."""
        raise NotImplementedError

    def to_json(self) -> dict[str, Any]:
        """The entry's JSON form, its keys in the order in which they are stored."""
        raise NotImplementedError


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotRequested(Entry):
    """A request to take a machine out. An invalid one has a `problem` and no `terms`: its refusal is remembered."""

    kind: ClassVar[str] = "ask"
    ident: str
    is_calendar: bool
    terms: SlotTerms | None = None
    problem: str = ""

    @classmethod
    def from_json(cls, value: Mapping[str, Any]) -> Self:
        """Read a request, valid or not; KeyError without an ident, a reason or a time."""
        problem = request_problem(value)
        return cls(
            at_us=_time(value["at_us"]),
            ident=str(value["ident"])[:MAX_IDENT_CHARACTERS],
            is_calendar=value["why"] == CALENDAR,
            terms=None if problem else _terms(value),
            problem=problem,
        )

    def to_json(self) -> dict[str, Any]:
        """The JSON form of a valid request."""
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
    """A requested slot with the tasks at its machine, and its machine's place if the request did not state it."""

    number: int
    tasks: int
    place: tuple[str, str, str] | None = None  # region, zone, cell


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotsQueued(Entry):
    """Requested slots whose tasks are counted: they wait in the queue from now on."""

    kind: ClassVar[str] = "queue"
    slots: tuple[CountedSlot, ...]

    @classmethod
    def from_json(cls, value: Mapping[str, Any]) -> Self:
        """Read all slots, or raise."""
        return cls(at_us=_time(value["at_us"]), slots=tuple(_counted(value["turns"])))

    def to_json(self) -> dict[str, Any]:
        """The JSON form."""
        rows = [(each.number, each.tasks, *(each.place or ())) for each in self.slots]
        return {"turns": rows, "at_us": self.at_us}


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotTransition(Entry):
    """Base of entries that take one slot to its next state; keys that are None are not in the JSON form."""

    number: int
    note: str | None = None  # why, for operators
    retry_ident: str | None = None  # a request of the calendar that may be made anew; "": none

    @classmethod
    def from_json(cls, value: Mapping[str, Any]) -> Self:
        """Read a transition."""
        has_note = "note" in value
        has_retry = "again" in value
        return cls(
            at_us=_time(value["at_us"]),
            number=int(value["number"]),
            note=str(value["note"])[:MAX_NOTE_CHARACTERS] if has_note else None,
            retry_ident=str(value["again"] or "") if has_retry else None,
        )

    def to_json(self) -> dict[str, Any]:
        """The JSON form."""
        value: dict[str, Any] = {"number": self.number, "at_us": self.at_us}
        if self.note is not None:
            value["note"] = self.note
        if self.retry_ident is not None:
            value["again"] = self.retry_ident
        return value


class SlotClosing(SlotTransition):
    """The first in the queue that fits the budgets: placers keep off its machine from now on."""

    kind: ClassVar[str] = "close"


class MachineEmptied(SlotTransition):
    """It is proved that the machine holds nothing and that nothing can come."""

    kind: ClassVar[str] = "empty"


class MachineOut(SlotTransition):
    """The maintenance operator may work on the machine."""

    kind: ClassVar[str] = "out"


class MachineReturned(SlotTransition):
    """The work is done, or its time is over: the machine is opened and tried."""

    kind: ClassVar[str] = "back"


class SlotDone(SlotTransition):
    """The machine takes work again: the slot is over."""

    kind: ClassVar[str] = "done"


class SlotGivenBack(SlotTransition):
    """The slot is taken back: it is over at once, or once its machine has been opened and tried."""

    kind: ClassVar[str] = "give-back"


@dataclass(frozen=True, slots=True, kw_only=True)
class VotersRecovered(Entry):
    """Voters were recovered from an older state: the latest decisions may be lost. Applied by the coordinator."""

    kind: ClassVar[str] = "recovered"

    @classmethod
    def from_json(cls, value: Mapping[str, Any]) -> Self:
        """Read one; without a time it does not move the queue's clock."""
        return cls(at_us=_time(value.get("at_us", 0)))

    def to_json(self) -> dict[str, Any]:
        """The JSON form."""
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
    """Read an entry of the log; MaintenanceEntryError if its kind or its value cannot be read."""
    entry_type = ENTRY_TYPES.get(kind)
    if entry_type is None:
        raise MaintenanceEntryError(kind, "unknown kind")
    if not isinstance(value, Mapping):
        raise MaintenanceEntryError(kind, "no JSON object")
    try:
        return entry_type.from_json(value)
    except (ValueError, KeyError, TypeError) as error:
        raise MaintenanceEntryError(kind, str(error)) from error


def request_problem(value: Mapping[str, Any]) -> str:
    """Why the JSON form of a request is invalid, in words for its sender; "" for a valid one."""
    if not _is_text(value, "machine", MAX_MACHINE_CHARACTERS):
        return f"machine: a name of at most {MAX_MACHINE_CHARACTERS} characters is wanted"
    labels = ("region", "zone", "cell", "worker")
    if not all(_is_text(value, key, MAX_LABEL_CHARACTERS, may_be_empty=True) for key in labels):
        return f"region, zone, cell, worker: names of at most {MAX_LABEL_CHARACTERS} characters are wanted"
    if not _is_text(value, "ident", MAX_IDENT_CHARACTERS):
        return f"ident: a name of the request's own, of at most {MAX_IDENT_CHARACTERS} characters, is wanted"
    if value.get("why") not in REASONS or value.get("unsafe", "wait") not in UNSAFE_POLICIES:
        return f"why: one of {', '.join(REASONS)} is wanted, unsafe: one of {', '.join(UNSAFE_POLICIES)}"
    return _figures_problem(value)


def _figures_problem(value: Mapping[str, Any]) -> str:
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


def _is_count(value: object, greatest: int) -> bool:
    return type(value) is int and 0 <= value <= greatest


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
        raise ValueError("a time is wanted")
    return value
