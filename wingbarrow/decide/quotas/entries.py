"""Replicated state of the quotas, and the entry of the voters' log that changes it; no I/O.

A `MoveEntry` moves allocations between holders, and names the serial of the state that it was computed on. The JSON
forms of entries and snapshots have field names of an earlier version, which this module maps to attributes.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple, Self


class Allocation(NamedTuple):
    """A holder's allocation of one limit; a JSON array in entries and snapshots.

    `size` is the amount that any leader lets it use. `reserved` is the most that it may still hold or have in use: the
    size, or more after the size was lowered, until it is proven that the holder uses no more.
    """

    size: int = 0
    reserved: int = 0

    def changed(self, size: int, reserved: int) -> Allocation:
        """An allocation of these amounts; this very object if it has them, which saves most copies."""
        if size == self.size and reserved == self.reserved:
            return self
        return Allocation(size, reserved)


class OutstandingAllocation(NamedTuple):
    """The amount that a former incarnation may have left in use; a JSON array in entries and snapshots."""

    holder: str
    incarnation: int
    amount: int


@dataclass(slots=True)
class LimitAllocations:
    """All allocations of one limit: by holder, and outstanding ones."""

    by_holder: dict[str, Allocation] = field(default_factory=dict)
    outstanding: list[OutstandingAllocation] = field(default_factory=list)

    @property
    def total(self) -> int:
        """The amount that may be in use."""
        return sum(each.reserved for each in self.by_holder.values()) + self.total_outstanding

    @property
    def total_outstanding(self) -> int:
        """The amount that former incarnations may have in use."""
        return sum(each.amount for each in self.outstanding)

    def of(self, holder: str) -> Allocation:
        """A holder's allocation; an empty one if it has none."""
        return self.by_holder.get(holder, NO_ALLOCATION)

    def to_json(self) -> list[Any]:
        """The form in entries and snapshots; it shares the containers of this object."""
        return [self.by_holder, self.outstanding]

    @classmethod
    def from_json(cls, value: Iterable[Any]) -> Self:
        """Decode the form of `to_json`; raises ValueError, TypeError or AttributeError for any other."""
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
    """An invalid entry or snapshot of quotas; `reason` says what is wrong with it."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@dataclass(frozen=True, slots=True)
class MoveEntry:
    """New allocations of some limits, computed on the state with the serial `base`."""

    base: int
    incarnations: Mapping[str, int]  # of all holders
    allocations: Mapping[str, LimitAllocations]  # of the changed limits, by key
    dropped: list[str]  # keys of limits that no rule set in force has
    is_reset: bool = False  # all earlier allocations are void

    def to_entry(self) -> dict[str, Any]:
        """The JSON form, as stored in the log."""
        return {
            "base": self.base,
            "lives": self.incarnations,
            "set": {key: each.to_json() for key, each in self.allocations.items()},
            "drop": self.dropped,
            "fresh": self.is_reset,
        }

    @classmethod
    def from_entry(cls, value: Mapping[str, Any]) -> Self:
        """Decode the JSON form; raises ValueError, KeyError, TypeError or AttributeError for any other."""
        allocations = {
            str(key): LimitAllocations.from_json(each) for key, each in value["set"].items()
        }
        for each in allocations.values():
            if any(not 0 <= size <= reserved for size, reserved in each.by_holder.values()):
                raise QuotaEntryError(
                    "an allocation whose size is negative or exceeds its reserved amount"
                )
        return cls(
            base=value["base"],
            incarnations={str(name): int(number) for name, number in value["lives"].items()},
            allocations=allocations,
            dropped=[str(key) for key in value["drop"]],
            is_reset=bool(value["fresh"]),
        )
