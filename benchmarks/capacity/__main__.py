"""What wingbarrow costs as it grows: measured points and slopes, one measurement module after another.

    python -m benchmarks.capacity --out capacity.json
    python -m benchmarks.capacity --roles placers,teams --points "placers=5,16,64;teams=10,30,64" --out capacity.json

The file is written after each module, so that a run that is cut keeps what it had. Progress goes to stderr; the last
line on stdout is the same JSON object. Exit 0 where all was measured, 1 where a module failed, 2 for bad arguments.
"""

from __future__ import annotations

import argparse
import importlib
import os
import platform
import sys
import time
import traceback
from collections.abc import Callable, Iterator, Sequence
from datetime import UTC, datetime
from pathlib import Path
from typing import cast

import msgspec

from benchmarks.capacity import fit
from benchmarks.capacity.results import Point, Results

MODULES = ("machines", "subsets", "tasks", "placers", "teams", "changes", "gangs")
VARIED = {"gang": "gangs"}  # what is varied, where a module is not called so

Measure = Callable[[Sequence[int]], Iterator[Point]]


class Refused(Exception):
    """Bad arguments, in one line."""


def roles_of(given: Sequence[str]) -> list[str]:
    """The modules asked for, in their own order; Refused for one that is unknown."""
    named = {name for each in given for name in each.split(",") if name}
    unknown = sorted(named - set(MODULES))
    if unknown:
        raise Refused(f"unknown role: {', '.join(unknown)}; known are {', '.join(MODULES)}")
    return [name for name in MODULES if name in named]


def points_of(text: str) -> dict[str, list[int]]:
    """`placers=5,16;teams=10,30` as sizes by module; Refused where it is not of that form."""
    sizes: dict[str, list[int]] = {}
    for part in filter(None, text.split(";")):
        name, _, listed = part.partition("=")
        name = VARIED.get(name.strip(), name.strip())
        if name not in MODULES:
            raise Refused(f"--points: unknown {name}; known are {', '.join(MODULES)}")
        try:
            sizes[name] = [int(each) for each in listed.split(",")]
        except ValueError:
            raise Refused(f"--points: sizes are whole numbers, not {listed!r}") from None
        if min(sizes[name]) < 1:
            raise Refused("--points: sizes from 1 on are wanted")
    return sizes


def machine() -> str:
    """What this ran on."""
    return (
        f"{os.cpu_count()} cores, {platform.machine()}, {platform.system()} {platform.release()}, "
        f"Python {platform.python_version()}"
    )


def say(text: str) -> None:
    """Progress."""
    print(text, file=sys.stderr, flush=True)


def run(name: str, sizes: Sequence[int] | None, points: list[Point]) -> None:
    """One module, one size after another; its points are appended as they come."""
    module = importlib.import_module(f"benchmarks.capacity.{name}")
    measure, begun = cast(Measure, module.measure), time.monotonic()
    for point in measure(sizes or module.DEFAULT_SIZES):
        points.append(point)
        say(
            f"  {time.monotonic() - begun:.0f} s  {point.role}, {point.measure}, {point.varies}={point.size}: "
            f"{point.value:.5g} {point.unit}" + (f" ({point.runs} runs)" if point.runs > 1 else "")
        )
    say(f"{name}: {time.monotonic() - begun:.1f} s")


def write(path: Path, results: Results) -> None:
    """In one step, so that a reader finds the whole of one state."""
    beside = path.with_name(path.name + ".part")
    beside.write_bytes(msgspec.json.format(msgspec.json.encode(results), indent=1))
    beside.replace(path)


def arguments() -> argparse.ArgumentParser:
    """What may be asked for."""
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks.capacity",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--roles",
        nargs="+",
        default=list(MODULES),
        metavar="NAME",
        help=f"measurement modules: {', '.join(MODULES)}; all by default",
    )
    parser.add_argument(
        "--points", default="", metavar="NAME=N,N;...", help="other sizes than a module's own"
    )
    parser.add_argument("--out", type=Path, required=True, metavar="FILE")
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Exit status, as the module says."""
    asked = arguments().parse_args(argv)
    try:
        roles, sizes = roles_of(asked.roles), points_of(asked.points)
        if not asked.out.parent.is_dir():
            raise Refused(f"--out: there is no directory {asked.out.parent}")
    except Refused as error:
        say(f"capacity: {error}")
        return 2
    taken, failed = datetime.now(UTC).isoformat(timespec="seconds"), 0
    points: list[Point] = []
    results = Results(machine(), taken, [], [])
    for name in roles:
        try:
            run(name, sizes.get(name), points)
        except Exception:
            failed += 1
            say(f"{name}: not measured to its end\n{traceback.format_exc()}")
        results = Results(machine(), taken, list(points), fit.slopes(points))
        write(asked.out, results)
    for slope in results.slopes:
        say(fit.words(slope))
    print(msgspec.json.encode(results).decode(), flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
