"""Fleet-wide limits, as a rule set has them: what is limited, to which amount, and which placers share it; no I/O.

A `standing` limit bounds the amount in use at once (open tasks of a namespace or a class); a `rate` limit bounds the
uses within a window (new tasks of a namespace or a class; offers to each cold machine). Times are in microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

MAX_CLOCK_DRIFT = 0.002  # a ratio; two clocks, each 500 ppm off, differ by just over 1,000 ppm
MAX_LIMITS = 64
MAX_HOLDERS_PER_LIMIT = 4096
MAX_AMOUNT = 1_000_000
MAX_NAME_CHARS = 253  # of a namespace or a class, as in the Kubernetes API
MAX_KEY_CHARS_SHOWN = 80
DEFAULT_STRANDED_US = 60_000_000
HOUR_US = 3_600_000_000
LIMIT_SUBJECTS = ("namespace", "class", "cold")
LIMIT_KINDS = ("standing", "rate")


def drifted_us(time_us: int) -> int:
    """The shortest time by one clock that is at least `time_us` by any other clock within MAX_CLOCK_DRIFT of it."""
    return int(time_us * (1 + MAX_CLOCK_DRIFT)) + 1


@dataclass(frozen=True, slots=True, order=True)
class FleetLimit:
    """One limit: the placers in `among` share the amount `most`; other placers have no part of it.

    The names of the fields and their order are the wire form in a rule set.
    """

    about: str
    name: str  # of the namespace or class; "" for cold machines
    kind: str
    most: int
    window_us: int  # of a rate limit; 0 for a standing limit
    stranded_us: int  # how long a placer's use counts as in use after its lease has expired
    among: tuple[str, ...]

    @property
    def key(self) -> str:
        """The name of the limit, unique within a rule set."""
        return "cold" if self.about == "cold" else f"{self.about}/{self.name}/{self.kind}"

    @property
    def lag_us(self) -> int:
        """How long an allocation may count as in use after it was released or has expired, by any clock."""
        return drifted_us(self.window_us if self.kind == "rate" else self.stranded_us)


def check_limits(limits: tuple[FleetLimit, ...]) -> list[str]:
    """Faults in the limits of a rule set, one sentence each; empty if there are none."""
    faults: list[str] = []
    if len(limits) > MAX_LIMITS:
        faults.append(f"more than {MAX_LIMITS} limits")
    if len({each.key for each in limits}) != len(limits):
        faults.append("two limits of the same")
    faults.extend(
        f"limit {each.key[:MAX_KEY_CHARS_SHOWN]}: a figure or name out of its bounds"
        for each in limits
        if not (_has_valid_subject(each) and _has_valid_amounts(each) and _has_valid_holders(each))
    )
    return faults


def _has_valid_subject(limit: FleetLimit) -> bool:
    is_of_cold_machines = limit.about == "cold"
    return (
        limit.about in LIMIT_SUBJECTS
        and limit.kind in LIMIT_KINDS
        and isinstance(limit.name, str)
        and len(limit.name) <= MAX_NAME_CHARS
        and bool(limit.name) == (not is_of_cold_machines)
        and (not is_of_cold_machines or limit.kind == "rate")
    )


def _has_valid_amounts(limit: FleetLimit) -> bool:
    # A bool is an int too, and is not accepted here.
    if any(type(value) is not int for value in (limit.most, limit.window_us, limit.stranded_us)):
        return False
    has_valid_window = (
        0 < limit.window_us <= HOUR_US if limit.kind == "rate" else limit.window_us == 0
    )
    return 0 <= limit.most <= MAX_AMOUNT and 0 <= limit.stranded_us <= HOUR_US and has_valid_window


def _has_valid_holders(limit: FleetLimit) -> bool:
    return 0 < len(limit.among) <= MAX_HOLDERS_PER_LIMIT and all(
        isinstance(name, str) and name for name in limit.among
    )


def normalized_limits(limits: tuple[FleetLimit, ...]) -> tuple[FleetLimit, ...]:
    """The canonical form: limits sorted, holders sorted and without duplicates."""
    return tuple(sorted(replace(each, among=tuple(sorted(set(each.among)))) for each in limits))


def limits_allow(narrow: tuple[FleetLimit, ...], wide: tuple[FleetLimit, ...]) -> bool:
    """Whether `wide` allows all that `narrow` allows.

    Each limit of `wide` must be in `narrow`, with bounds at least as strict and no further holders.
    """
    narrow_by_key = {each.key: each for each in narrow}
    return all(
        each.key in narrow_by_key and _is_within(narrow_by_key[each.key], each) for each in wide
    )


def _is_within(narrow: FleetLimit, wide: FleetLimit) -> bool:
    return (
        narrow.most <= wide.most
        and narrow.window_us >= wide.window_us
        and narrow.stranded_us >= wide.stranded_us
        and set(narrow.among) <= set(wide.among)
    )


def limits_intersection(
    a: tuple[FleetLimit, ...], b: tuple[FleetLimit, ...]
) -> tuple[FleetLimit, ...]:
    """Limits that allow what both allow; where two versions of a limit share no holder, it allows nothing."""
    a_by_key = {each.key: each for each in a}
    b_by_key = {each.key: each for each in b}
    shared = a_by_key.keys() & b_by_key.keys()
    either = a_by_key | b_by_key
    return tuple(
        _intersection(a_by_key[key], b_by_key[key]) if key in shared else either[key]
        for key in sorted(either)
    )


def _intersection(a: FleetLimit, b: FleetLimit) -> FleetLimit:
    among = tuple(sorted(set(a.among) & set(b.among)))
    return replace(
        a,
        most=min(a.most, b.most) if among else 0,
        window_us=max(a.window_us, b.window_us),
        stranded_us=max(a.stranded_us, b.stranded_us),
        among=among or a.among,
    )
