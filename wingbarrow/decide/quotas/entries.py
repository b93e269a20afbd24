"""Replicated state of the quotas, and the entry of the voters' log that changes it; no I/O.

Allocations move between holders by `MoveEntry`, which names the serial of the state that it was computed on. The JSON
forms of the entry and of a snapshot keep older words: this module is where they are mapped.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple, Self


class Allocation(NamedTuple):
    """A holder's part of one limit; a JSON array in entries and snapshots.

    `size` is what any leader lets it use. `reserved` is what it may still hold or have in use: the size, or more while
    the size was lowered and that is not proven yet.
    """

    size: int = 0
    reserved: int = 0

    def changed(self, size: int, reserved: int) -> Allocation:
        """An allocation of these amounts; this one where it has them, as most do most of the time."""
        if size == self.size and reserved == self.reserved:
            return self
        return Allocation(size, reserved)


class OutstandingAllocation(NamedTuple):
    """What a former incarnation of a placer may have left in use; a JSON array in entries and snapshots."""

    holder: str
    incarnation: int
    amount: int


@dataclass(slots=True)
class LimitAllocations:
    """All that may be in use of one limit: allocations by holder, and outstanding ones."""

    by_holder: dict[str, Allocation] = field(default_factory=dict)
    outstanding: list[OutstandingAllocation] = field(default_factory=list)

    @property
    def total(self) -> int:
        """All that may be in use."""
        return sum(each.reserved for each in self.by_holder.values()) + self.total_outstanding

    @property
    def total_outstanding(self) -> int:
        """What former incarnations may have in use."""
        return sum(each.amount for each in self.outstanding)

    def of(self, holder: str) -> Allocation:
        """A holder's allocation, an empty one where it has none."""
        return self.by_holder.get(holder, NO_ALLOCATION)

    def to_json(self) -> list[Any]:
        """The form in an entry and a snapshot; shares the containers of this object."""
        return [self.by_holder, self.outstanding]

    @classmethod
    def from_json(cls, value: Iterable[Any]) -> Self:
        """Read `to_json`'s form; ValueError, TypeError or AttributeError for any other."""
        by_holder, outstanding = value
        return cls(
            {
                str(name): Allocation(int(size), int(reserved))
                for name, (size, reserved) in by_holder.items()
            },
            [
                OutstandingAllocation(str(holder), int(incarnation), int(amount))
                for holder, incarnation, amount in outstanding
            ],
        )


NO_ALLOCATION = Allocation()


class QuotaEntryError(ValueError):
    """An entry or a snapshot of quotas that cannot be: `part` names what is wrong with it."""

    def __init__(self, part: str) -> None:
        super().__init__(part)
        self.part = part


@dataclass(frozen=True, slots=True)
class MoveEntry:
    """Allocations of some limits, in place of those in the state with the serial `base`."""

    base: int
    incarnations: Mapping[str, int]  # of all holders
    allocations: Mapping[str, LimitAllocations]  # of the limits that change, by key
    dropped: list[str]  # keys of limits that no rule set in force has
    is_reset: bool = False  # all that was allocated before is void

    def to_entry(self) -> dict[str, Any]:
        """The JSON form, which the log keeps."""
        return {
            "base": self.base,
            "lives": self.incarnations,
            "set": {key: each.to_json() for key, each in self.allocations.items()},
            "drop": self.dropped,
            "fresh": self.is_reset,
        }

    @classmethod
    def from_entry(cls, value: Mapping[str, Any]) -> Self:
        """Read the JSON form; ValueError, KeyError, TypeError or AttributeError for any other."""
        allocations = {
            str(key): LimitAllocations.from_json(each) for key, each in value["set"].items()
        }
        for each in allocations.values():
            if any(not 0 <= size <= reserved for size, reserved in each.by_holder.values()):
                raise QuotaEntryError("an allocation with more than is reserved for it")
        return cls(
            base=value["base"],
            incarnations={str(name): int(number) for name, number in value["lives"].items()},
            allocations=allocations,
            dropped=[str(key) for key in value["drop"]],
            is_reset=bool(value["fresh"]),
        )
