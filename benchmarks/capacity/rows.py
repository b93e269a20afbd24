"""The types that the page's tables are made of: rows, states, mechanisms, what is missing."""

from __future__ import annotations

from dataclasses import dataclass

from benchmarks.capacity.estimate import Key


@dataclass(frozen=True, slots=True)
class Budget:
    """What a row may come to: an expression over named figures, in the row's unit."""

    expression: str
    words: str = ""  # what the budget covers, where it is not the row alone
    least: bool = False  # what it must come to at least


@dataclass(frozen=True, slots=True)
class Row:
    """A measure that the page wants of a role; `reason` says why it is not measured, where the results lack it."""

    key: Key
    reason: str
    budget: Budget | None = None


@dataclass(frozen=True, slots=True)
class State:
    """Entries that a role keeps: how many at the whole target, and the bytes of each by measurement or by a bound."""

    what: str
    entries: str  # an expression over named figures
    each: Key | None = None  # growth of resident memory for each entry
    bound: str = ""  # ident of a bound in bytes, where nothing is measured


@dataclass(frozen=True, slots=True)
class Mechanism:
    """What carries a role, by its module."""

    path: str
    carries: str


@dataclass(frozen=True, slots=True)
class Input:
    """A measured figure that an expression names: at a scale of the page, what each one more adds, or its one point."""

    name: str
    key: Key
    scale: str = "all"  # a scale's ident
    each: bool = False
    alone: bool = False  # the measure has one point, whose value is taken, whatever its size


@dataclass(frozen=True, slots=True)
class Missing:
    """What is missing: `breaks` is the share of the target at which it breaks, as an expression; 0: at any size.

    `inputs` are measured figures that the expression names. With `key` the share is where the measure's line reaches
    `budget`, over the size of what is varied at the whole.
    """

    what: str
    breaks: str = ""
    inputs: tuple[Input, ...] = ()
    key: Key | None = None
    budget: str = ""


@dataclass(frozen=True, slots=True)
class Role:
    """One table of the page; `names` are its names in the results."""

    ident: str
    title: str
    about: str
    names: tuple[str, ...]
    states: tuple[State, ...]
    rows: tuple[Row, ...]
    mechanisms: tuple[Mechanism, ...]
    missing: tuple[Missing, ...]


@dataclass(frozen=True, slots=True)
class Derived:
    """A figure worked out from the target, from bounds and, with inputs, from measured figures."""

    ident: str
    what: str
    expression: str
    unit: str
    inputs: tuple[Input, ...] = ()
