"""Fault scripts: which faults affect links, processes and machines, when and for how long. Read from KDL or generated.

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

`propose` asks a placer to change the rules to variant `amount`; `drain` asks it to drain the machine with number
`amount`, or to cancel the drain if there is one; `faulty` makes the machine with number `amount` fail every start (the
placer's name is not used).

With regions: `cut-region` cuts a region off from all others, or from the one in `to`; `slow-region` delays its links to
others by `amount`; `kill-region` kills its placers (with `machines=true` its machines too), which restart with or
without their state. `work` has an operator request a maintenance slot for a machine (the last two digits of `amount`;
the hundreds are the urgency), work on it for `lasts` once it is out, and return it; with `state=false` the operator
does not renew the slot while it works.

`late`, `slow`, `lossy` and `twice` take the arguments of `cut`, and `amount`: a duration, bytes per second, or a share
of 0 to 1 (of `lossy` and `twice`).
"""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import ckdl

from wingbarrow.config import parse_duration

SECOND = 1_000_000
LINK_FAULTS = ("cut", "late", "slow", "lossy", "twice", "reset")
PLACER_FAULTS = ("isolate", "deafen", "stop", "kill", "propose", "drain", "faulty")
WORK = "work"
REGION_FAULTS = ("cut-region", "slow-region", "kill-region")
MAX_FAULTS = 10_000


class ScriptError(ValueError):
    """A fault script that cannot be read or is not valid."""


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault; times in microseconds from the start of the load.

    `who` is the sending placer of a link, or the only placer or region concerned; `other` is the other end of the link.
    """

    kind: str
    at_us: int
    who: str
    other: str = ""
    lasts_us: int = 0
    both: bool = True
    amount: float = 0.0  # microseconds, bytes a second, or a share
    state: bool = True  # whether a killed placer restarts with its state; of `work`, whether the operator renews
    machines: bool = False  # whether machines of a killed region go down too

    @property
    def end_us(self) -> int:
        """Time at which the fault ends."""
        return self.at_us + self.lasts_us

    def touches(self, name: str) -> bool:
        """Whether the fault concerns a placer or one of its links."""
        return name in (self.who, self.other)


def read_script(path: Path, names: list[str], regions: tuple[str, ...] = ()) -> list[Fault]:
    """Reads the faults of a file, sorted by time. Raises ScriptError with the cause and its place."""
    try:
        nodes = ckdl.parse(path.read_text(encoding="utf-8")).nodes
    except (OSError, UnicodeDecodeError, ckdl.ParseError, ValueError) as error:
        raise ScriptError(f"{path}: {error}") from None
    if len(nodes) > MAX_FAULTS:
        raise ScriptError(f"{path}: {len(nodes)} faults; {MAX_FAULTS} are the most")
    out: list[Fault] = []
    for number, node in enumerate(nodes, 1):
        try:
            out.append(_read(node, names, regions))
        except (ValueError, TypeError, KeyError) as error:
            raise ScriptError(f"{path}: fault {number} ({node.name}): {error}") from None
    return sorted(out, key=lambda fault: fault.at_us)


def _read(node: Any, names: list[str], regions: tuple[str, ...]) -> Fault:
    props, kind = dict(node.properties), node.name
    known = (*LINK_FAULTS, *PLACER_FAULTS, *((WORK, *REGION_FAULTS) if regions else ()))
    if kind not in known:
        raise ValueError(f"one of {', '.join(known)} is wanted")
    args, on_region = [str(each) for each in node.args], kind in REGION_FAULTS
    if len(args) != (1 if kind in LINK_FAULTS else 2):
        what = "" if kind in LINK_FAULTS else ", and a region" if on_region else ", and a placer"
        raise ValueError("a time is wanted" + what)
    who, other = (
        (str(props.pop("from")), str(props.pop("to")))
        if kind in LINK_FAULTS
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
    """Generates the faults of a run; depends on the arguments alone. Leaves the last fifth for recovery."""
    rng = random.Random(f"fleet/{seed}")
    out: list[Fault] = []
    for _ in range(max(2, int(seconds / 6))):
        at, lasts = rng.uniform(0.05, 0.7) * seconds, min(rng.uniform(0.5, 9), seconds * 0.2)
        kind = rng.choice((*LINK_FAULTS, *PLACER_FAULTS, "cut", "stop", "kill"))
        who = rng.choice(names)
        other = (
            rng.choice([name for name in names if name != who])
            if len(names) > 1 and kind in LINK_FAULTS
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
    # Rules also change while links are cut and processes are stopped.
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
        # A network partition separates a third of the placers from the others.
        side = rng.sample(names, max(1, len(names) // 3))
        at, lasts = rng.uniform(0.1, 0.5) * seconds, seconds * 0.25
        out += [
            Fault("cut", int(at * SECOND), a, b, int(lasts * SECOND))
            for a in side
            for b in names
            if b not in side
        ]
    return _without_overlaps(sorted(out, key=lambda fault: fault.at_us))


def generate_regions(seed: int, places: dict[str, list[str]], seconds: float) -> list[Fault]:
    """Generates the faults of a run with regions; `places` has the placers of each region.

    Faults of whole regions follow one after the other, with fewer of all other faults and work on machines throughout.
    """
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
    # While a whole region is down no other placer is killed or stopped: replicas of its Jobs stay available.
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
    return _without_overlaps(sorted(out, key=lambda fault: fault.at_us))


def _without_overlaps(faults: list[Fault]) -> list[Fault]:
    """Moves a stop or kill of a process behind an earlier one that has not ended, so that they do not overlap."""
    free: dict[str, int] = {}
    out: list[Fault] = []
    for fault in faults:
        if fault.kind in ("stop", "kill"):
            at = max(fault.at_us, free.get(fault.who, 0))
            fault = replace(fault, at_us=at)
            free[fault.who] = fault.end_us + SECOND
        out.append(fault)
    return sorted(out, key=lambda each: each.at_us)
