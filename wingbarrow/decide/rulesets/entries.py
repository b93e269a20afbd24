"""Entries of the voters' log that change the agreed rule sets, with their JSON forms; no I/O.

`to_entry` encodes an entry as stored in the log; `from_entry` decodes it, and raises ValueError, KeyError or TypeError
for an invalid one. `versions` bounds the lengths of texts when it applies an entry: the log keeps them as proposed.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Self


@dataclass(frozen=True, slots=True)
class ProposalEntry:
    """A proposed version, based on the version number `base`; `ident` is its idempotency key."""

    ident: str
    base: int
    rules: str
    by: str
    why: str

    def to_entry(self) -> dict[str, Any]:
        """Encode as the JSON form."""
        return {
            "ident": self.ident,
            "base": self.base,
            "rules": self.rules,
            "by": self.by,
            "why": self.why,
        }

    @classmethod
    def from_entry(cls, value: Mapping[str, Any]) -> Self:
        """Decode the JSON form."""
        return cls(
            ident=str(value["ident"]),
            rules=str(value["rules"]),
            base=int(value["base"]),
            by=str(value["by"]),
            why=str(value["why"]),
        )


@dataclass(frozen=True, slots=True)
class FloorEntry:
    """A proposed floor, and for how long a placer may act on it; `ident` is its idempotency key."""

    ident: str
    rules: str
    by: str
    why: str
    lasts_us: int

    def to_entry(self) -> dict[str, Any]:
        """Encode as the JSON form."""
        return {
            "ident": self.ident,
            "rules": self.rules,
            "by": self.by,
            "why": self.why,
            "lasts_us": self.lasts_us,
        }

    @classmethod
    def from_entry(cls, value: Mapping[str, Any]) -> Self:
        """Decode the JSON form."""
        return cls(
            ident=str(value["ident"]),
            rules=str(value["rules"]),
            by=str(value.get("by", "")),
            why=str(value.get("why", "")),
            lasts_us=int(value["lasts_us"]),
        )


@dataclass(frozen=True, slots=True)
class StepEntry:
    """The next step of a transition, from the revision in force when the step was proposed."""

    from_revision: int

    def to_entry(self) -> dict[str, Any]:
        """Encode as the JSON form."""
        return {"from": self.from_revision}

    @classmethod
    def from_entry(cls, value: Mapping[str, Any]) -> Self:
        """Decode the JSON form."""
        return cls(value["from"])


@dataclass(frozen=True, slots=True)
class FloorsExpiredEntry:
    """No placer acts any more on a floor before the one with this number."""

    number: int

    def to_entry(self) -> dict[str, Any]:
        """Encode as the JSON form."""
        return {"number": self.number}

    @classmethod
    def from_entry(cls, value: Mapping[str, Any]) -> Self:
        """Decode the JSON form."""
        return cls(value["number"])
