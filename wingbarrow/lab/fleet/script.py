"""A fleet's script: what happens to links and processes, when and for how long; from KDL or from a seed.

    cut "3s" from="placer-0" to="placer-1" lasts="5s" both=true
    isolate "3s" "placer-2" lasts="6s"
    stop "10s" "placer-1" lasts="4s"
    kill "12s" "placer-0" lasts="3s" state=false

    propose "15s" "placer-1" amount=7
    drain "18s" "placer-2" amount=3
    faulty "20s" "placer-0" lasts="8s" amount=1

    cut-region "9s" "north" lasts="20s" to="south" both=false
    slow-region "9s" "north" lasts="9s" amount="300ms"
    kill-region "9s" "north" lasts="20s" state=false machines=true
    work "9s" "placer-1" lasts="6s" amount=203 state=true

`propose` has a placer asked to change the rules, to variant `amount` of them; `drain` to drain a machine, by number,
or to take that back where it is asked for; `faulty` has a machine, by number, fail every start (no placer concerned).
With regions: `cut-region` cuts one off from all others, or one other; `slow-region` makes its links to others late;
`kill-region` kills its placers (and machines), back with or without state; `work` has a worker ask for a machine (by
the last two digits of `amount`, the hundreds are the urgency), work on it for so long once it is out, and give it back;
with `state=false` it says nothing while it works.

`late`, `slow`, `lossy` and `twice` take what `cut` takes, and `amount`: a time in words, bytes a second, a share.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import ckdl

from wingbarrow.config import parse_duration

SECOND = 1_000_000
BETWEEN = ("cut", "late", "slow", "lossy", "twice", "reset")
TO_ONE = ("isolate", "deafen", "stop", "kill", "propose", "drain", "faulty")
WORK = "work"
ON_REGIONS = ("cut-region", "slow-region", "kill-region")
MAX_FAULTS = 10_000


class BadScript(ValueError):
    """A script that cannot be used."""


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault; times in microseconds from the begin of the load. `who` is its sender, or the only one concerned."""

    kind: str
    at_us: int
    who: str
    other: str = ""
    lasts_us: int = 0
    both: bool = True
    amount: float = 0.0  # microseconds, bytes a second, or a share
    state: bool = True  # a killed placer comes back with its state
    machines: bool = False  # a killed region's go down too

    @property
    def end_us(self) -> int:
        """When it is taken back."""
        return self.at_us + self.lasts_us

    def touches(self, name: str) -> bool:
        """Whether a placer, or a link of it, is concerned."""
        return name in (self.who, self.other)


def read_script(path: Path, names: list[str], regions: tuple[str, ...] = ()) -> list[Fault]:
    """The faults of a file; BadScript says what is wrong and where."""
    try:
        nodes = ckdl.parse(path.read_text(encoding="utf-8")).nodes
    except (OSError, UnicodeDecodeError, ckdl.ParseError, ValueError) as error:
        raise BadScript(f"{path}: {error}") from None
    if len(nodes) > MAX_FAULTS:
        raise BadScript(f"{path}: {len(nodes)} faults; {MAX_FAULTS} are the most")
    out: list[Fault] = []
    for number, node in enumerate(nodes, 1):
        try:
            out.append(_read(node, names, regions))
        except (ValueError, TypeError, KeyError) as error:
            raise BadScript(f"{path}: fault {number} ({node.name}): {error}") from None
    return sorted(out, key=lambda fault: fault.at_us)


def _read(node: Any, names: list[str], regions: tuple[str, ...]) -> Fault:
    props, kind = dict(node.properties), node.name
    known = (*BETWEEN, *TO_ONE, *((WORK, *ON_REGIONS) if regions else ()))
    if kind not in known:
        raise ValueError(f"one of {', '.join(known)} is wanted")
    args, on_region = [str(each) for each in node.args], kind in ON_REGIONS
    if len(args) != (1 if kind in BETWEEN else 2):
        what = "" if kind in BETWEEN else ", and a region" if on_region else ", and a placer"
        raise ValueError("a time is wanted" + what)
    who, other = (
        (str(props.pop("from")), str(props.pop("to")))
        if kind in BETWEEN
        else (args[1], str(props.pop("to", "")) if on_region else "")
    )
    for name in filter(None, (who, other)):
        if name not in (regions if on_region else names):
            raise ValueError(f"no such {'region' if on_region else 'placer'}: {name}")
    if who == other:
        raise ValueError("a placer has no link to itself")
    amount = props.pop("amount", 0)
    figure = float(parse_duration(amount)) if isinstance(amount, str) else float(amount)
    if kind in ("lossy", "twice") and not 0 <= figure <= 1:
        raise ValueError("amount: a share of 0 to 1 is wanted")
    fault = Fault(
        kind,
        parse_duration(args[0]),
        who,
        other,
        parse_duration(str(props.pop("lasts", "0s"))),
        bool(props.pop("both", True)),
        figure,
        bool(props.pop("state", True)),
        bool(props.pop("machines", False)),
    )
    if props:
        raise ValueError(f"unknown: {', '.join(sorted(props))}")
    return fault


def generate(seed: int, names: list[str], seconds: float) -> list[Fault]:
    """Faults of a play, a function of seed, names and length; the last fifth of it is left to heal."""
    rng = random.Random(f"fleet/{seed}")
    out: list[Fault] = []
    for _ in range(max(2, int(seconds / 6))):
        at, lasts = rng.uniform(0.05, 0.7) * seconds, min(rng.uniform(0.5, 9), seconds * 0.2)
        kind = rng.choice((*BETWEEN, *TO_ONE, "cut", "stop", "kill"))
        who = rng.choice(names)
        other = (
            rng.choice([name for name in names if name != who])
            if len(names) > 1 and kind in BETWEEN
            else ""
        )
        amount = {
            "late": rng.uniform(0.05, 2) * SECOND,
            "slow": rng.choice((200, 2_000, 20_000)),
            "lossy": rng.uniform(0.05, 0.5),
            "twice": rng.uniform(0.1, 1),
        }.get(kind, 0.0)
        out.append(
            Fault(
                kind,
                int(at * SECOND),
                who,
                other,
                int(lasts * SECOND),
                rng.random() < 0.5,
                float(amount),
                rng.random() < 0.7,
            )
        )
    # Rules change all along, while links are cut and processes stopped.
    for turn in range(max(2, int(seconds / 8))):
        at = (0.05 + 0.7 * turn / max(2, int(seconds / 8)) + rng.uniform(0, 0.05)) * seconds
        out.append(
            Fault(
                "propose",
                int(at * SECOND),
                rng.choice(names),
                amount=float(rng.randrange(1, 1 << 20)),
            )
        )
        if turn % 2:
            out.append(
                Fault(
                    "drain",
                    int((at + 1) * SECOND),
                    rng.choice(names),
                    amount=float(rng.randrange(1 << 20)),
                )
            )
    if rng.random() < 0.4 and len(names) > 2:
        # A part of the fleet is cut off from the rest.
        side = rng.sample(names, max(1, len(names) // 3))
        at, lasts = rng.uniform(0.1, 0.5) * seconds, seconds * 0.25
        out += [
            Fault("cut", int(at * SECOND), a, b, int(lasts * SECOND))
            for a in side
            for b in names
            if b not in side
        ]
    return _apart(sorted(out, key=lambda fault: fault.at_us))


def generate_regions(seed: int, places: dict[str, list[str]], seconds: float) -> list[Fault]:
    """Faults of a play with regions (placers of each): what happens to whole regions, one after the other, beside less
    of all else; and work on machines all along."""
    rng, names = (
        random.Random(f"regions/{seed}"),
        [name for some in places.values() for name in some],
    )
    out = [fault for fault in generate(seed, names, seconds) if rng.random() < 0.4]
    at = rng.uniform(0.1, 0.2) * min(seconds, 90)
    while at < 0.7 * seconds:
        kind = rng.choice(("cut-region", "cut-region", "kill-region", "kill-region", "slow-region"))
        lasts, who = rng.uniform(0.2, 0.6) * min(seconds, 75), rng.choice(list(places))
        other = rng.choice([each for each in places if each != who]) if rng.random() < 0.3 else ""
        lasts = min(lasts, 0.85 * seconds - at)
        out.append(
            Fault(
                kind,
                int(at * SECOND),
                who,
                "" if kind == "kill-region" else other,
                int(lasts * SECOND),
                rng.random() < 0.75,
                float(rng.randrange(50_000, 1_500_000)) if kind == "slow-region" else 0.0,
                rng.random() < 0.7,
                kind == "kill-region" and rng.random() < 0.5,
            )
        )
        at += lasts + rng.uniform(0.15, 0.4) * min(seconds, 75)
    killed = [each for each in out if each.kind == "kill-region"]
    # While a whole region is down nothing else is killed or stopped: who keeps its Jobs is to be there.
    out = [
        each
        for each in out
        if each.kind not in ("kill", "stop")
        or not any(
            region.at_us - 2 * SECOND <= each.end_us and each.at_us <= region.end_us + 5 * SECOND
            for region in killed
        )
    ]
    for turn in range(max(3, int(seconds / 15))):
        at_us = int(
            (0.05 + 0.6 * turn / max(3, int(seconds / 15)) + rng.uniform(0, 0.05))
            * seconds
            * SECOND
        )
        out.append(
            Fault(
                WORK,
                at_us,
                rng.choice(names),
                lasts_us=int(rng.uniform(2, 6) * SECOND),
                amount=float(rng.randrange(10) * 100 + rng.randrange(100)),
                state=rng.random() < 0.9,
            )
        )
    return _apart(sorted(out, key=lambda fault: fault.at_us))


def _apart(faults: list[Fault]) -> list[Fault]:
    """One thing at a time happens to each process; what comes while it is stopped or down is moved behind it."""
    free: dict[str, int] = {}
    out: list[Fault] = []
    for fault in faults:
        if fault.kind in ("stop", "kill"):
            at = max(fault.at_us, free.get(fault.who, 0))
            fault = replace(fault, at_us=at)
            free[fault.who] = fault.end_us + SECOND
        out.append(fault)
    return sorted(out, key=lambda each: each.at_us)
