"""Limits that hold for the whole fleet, as rules say them: what is limited, to how much, among whom; no I/O.

`standing` limits are of so many at once (open tasks of a namespace, or of a class), `rate` limits of so many within a
window (new tasks of a namespace or a class; offers to each cold machine). Times in microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

DRIFT = 0.002  # two clocks, each 500 ppm off, differ by a little more than 1,000 ppm
LIMITS_MOST, AMONG_MOST = 64, 4096
STRANDED_US = 60_000_000
HOUR_US = 3_600_000_000
ABOUT = ("namespace", "class", "cold")
KINDS = ("standing", "rate")


def drifted_us(time_us: int) -> int:
    """At least so long by another's clock."""
    return int(time_us * (1 + DRIFT)) + 1


@dataclass(frozen=True, slots=True, order=True)
class FleetLimit:
    """One limit. `most` is the whole, which `among` share; who is not named there has nothing."""

    about: str
    name: str  # of the namespace or class; "" for cold machines
    kind: str
    most: int
    window_us: int  # of a rate; 0 of a standing one
    stranded_us: int  # how long what a placer held counts as in use after its grant has lapsed
    among: tuple[str, ...]

    @property
    def key(self) -> str:
        """What it is called; one limit of a rule set has it."""
        return "cold" if self.about == "cold" else f"{self.about}/{self.name}/{self.kind}"

    @property
    def lag_us(self) -> int:
        """For how long what was held may count after it was given back or has lapsed, by any clock: a use in the
        window does."""
        return drifted_us(self.window_us if self.kind == "rate" else self.stranded_us)


def check_limits(limits: tuple[FleetLimit, ...]) -> list[str]:
    """What is wrong, in words."""
    out: list[str] = []
    if len(limits) > LIMITS_MOST:
        out.append(f"more than {LIMITS_MOST} limits")
    if len({each.key for each in limits}) != len(limits):
        out.append("two limits of the same")
    for each in limits:
        good = (
            each.about in ABOUT
            and each.kind in KINDS
            and isinstance(each.name, str)
            and len(each.name) <= 253
            and bool(each.name) == (each.about != "cold")
            and (each.about != "cold" or each.kind == "rate")
            and all(type(figure) is int for figure in (each.most, each.window_us, each.stranded_us))
            and 0 <= each.most <= 1_000_000
            and 0 <= each.stranded_us <= HOUR_US
            and (0 < each.window_us <= HOUR_US if each.kind == "rate" else each.window_us == 0)
            and 0 < len(each.among) <= AMONG_MOST
            and all(isinstance(who, str) and who for who in each.among)
        )
        if not good:
            out.append(f"limit {each.key[:80]}: a figure or name out of its bounds")
    return out


def normal_limits(limits: tuple[FleetLimit, ...]) -> tuple[FleetLimit, ...]:
    """The one form of the same limits."""
    return tuple(sorted(replace(each, among=tuple(sorted(set(each.among)))) for each in limits))


def limits_within(a: tuple[FleetLimit, ...], b: tuple[FleetLimit, ...]) -> bool:
    """Whether whatever `a` allows, `b` allows too: each limit of `b` stands in `a`, no looser, for no others."""
    held = {each.key: each for each in a}
    return all(each.key in held and _tighter(held[each.key], each) for each in b)


def _tighter(a: FleetLimit, b: FleetLimit) -> bool:
    return (
        a.most <= b.most
        and a.window_us >= b.window_us
        and a.stranded_us >= b.stranded_us
        and set(a.among) <= set(b.among)
    )


def limits_meet(a: tuple[FleetLimit, ...], b: tuple[FleetLimit, ...]) -> tuple[FleetLimit, ...]:
    """What both allow; where nobody shares in both versions of a limit, nobody has any of it."""
    mine, theirs = ({each.key: each for each in side} for side in (a, b))
    out = []
    for key in sorted(mine.keys() | theirs.keys()):
        one, other = mine.get(key), theirs.get(key)
        if one is None or other is None:
            out.append(one or other)
            continue
        among = tuple(sorted(set(one.among) & set(other.among)))
        out.append(
            replace(
                one,
                most=min(one.most, other.most) if among else 0,
                window_us=max(one.window_us, other.window_us),
                stranded_us=max(one.stranded_us, other.stranded_us),
                among=among or one.among,
            )
        )
    return tuple(each for each in out if each is not None)
