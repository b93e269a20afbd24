"""Searches for violated rules over many days, seeds, sizes and numbers of placers, in parallel processes.

Each breach is reduced: it is played again with fewer troubles, a shorter day and a smaller size for as long as the
same kind of breach occurs. The smallest play is reported as a command.
"""

from __future__ import annotations

import json
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass, replace
from multiprocessing import get_context
from pathlib import Path
from typing import Any

from wingbarrow.lab.audit import BREACHES
from wingbarrow.lab.days import DAYS, Play, play
from wingbarrow.lab.troubles import generate

TRIES = 40  # plays spent on reducing one breach


@dataclass(frozen=True)
class Found:
    """The result of one play; `error` is set if the laboratory or a placer raised."""

    what: Play
    breaches: dict[str, int]
    accepted: int
    placed: int
    left_to_owners: int
    late_by_stall: int
    real_s: float
    notes: list[str]
    error: str = ""

    @property
    def clean(self) -> bool:
        """Whether no rule was violated and nothing failed."""
        return not self.breaches and not self.error


def try_one(what: Play) -> Found:
    """Run one play; an exception is returned as `error`, cut to 500 characters."""
    started = time.perf_counter()
    try:
        outcome = play(what)
    except Exception as error:  # the search goes on; the failure is reported with its command
        return Found(
            what,
            {},
            0,
            0,
            0,
            0,
            time.perf_counter() - started,
            [],
            f"{type(error).__name__}: {error}"[:500],
        )
    audit = outcome.audit
    unexpected = {
        f"odd: {step}": count
        for slot in outcome.cluster.placers
        if slot.service
        for step, count in slot.service.placer.unexpected_transitions().items()
    }
    return Found(
        what,
        {**{name: getattr(audit, name) for name in BREACHES if getattr(audit, name)}, **unexpected},
        audit.accepted,
        audit.placed,
        audit.left_to_owners,
        audit.late_by_stall,
        outcome.real_s,
        audit.notes[:3],
    )


def plays(days: list[str], seeds: range, scales: list[float], placers: list[int]) -> list[Play]:
    """Every combination, smaller sizes first."""
    return [
        Play(day, seed, scale, count or None)
        for scale in sorted(scales)
        for seed in seeds
        for day in days
        for count in placers
    ]


def hunt(wanted: list[Play], jobs: int, progress: Callable[[int, Found], None]) -> Iterator[Found]:
    """Run all plays in `jobs` processes; yields results as they end and calls `progress(count, result)` for each."""
    with get_context("fork").Pool(jobs, maxtasksperchild=16) as pool:
        for done, found in enumerate(pool.imap_unordered(try_one, wanted), 1):
            progress(done, found)
            yield found


def shrink(found: Found, judge: Callable[[Play], Found] = try_one, tries: int = TRIES) -> Found:
    """The smallest play found that violates one of the same rules; runs at most `tries` plays."""
    kinds, best, plays_left = set(found.breaches), found, tries

    def still_breaks(what: Play) -> bool:
        nonlocal best, plays_left
        if plays_left <= 0:
            return False
        plays_left -= 1
        now = judge(what)
        if kinds & set(now.breaches):
            best = now
            return True
        return False

    scale = found.what.scale
    for smaller in (1.0, 3.0):
        if smaller < scale and still_breaks(replace(best.what, scale=smaller)):
            break
    day = DAYS[found.what.name]
    if day.generated:
        kept_troubles = list(
            best.what.only
            if best.what.only is not None
            else range(len(generate(found.what.seed, day.seconds)))
        )
        index = 0
        while index < len(kept_troubles) and plays_left > 0:
            remaining = kept_troubles[:index] + kept_troubles[index + 1 :]
            if still_breaks(replace(best.what, only=tuple(remaining))):
                kept_troubles = remaining
            else:
                index += 1
    seconds = best.what.seconds or day.seconds
    while seconds > 5 and still_breaks(replace(best.what, seconds=round(seconds * 0.7, 1))):
        seconds = round(seconds * 0.7, 1)
    return best


def table(rows: list[Found]) -> list[dict[str, Any]]:
    """Totals by day and size: plays, plays that violated a rule, and violations of each rule."""
    groups: dict[tuple[str, float], list[Found]] = defaultdict(list)
    for row in rows:
        groups[(row.what.name, row.what.scale)].append(row)
    out = []
    for (name, scale), group in sorted(groups.items()):
        breaches: Counter[str] = Counter()
        for row in group:
            breaches.update(row.breaches)
        out.append(
            {
                "day": name,
                "scale": scale,
                "plays": len(group),
                "broke": sum(bool(row.breaches) for row in group),
                "failed": sum(bool(row.error) for row in group),
                "breaches": dict(breaches),
                "accepted": sum(row.accepted for row in group),
                "placed": sum(row.placed for row in group),
                "left_to_owners": sum(row.left_to_owners for row in group),
                "late_by_stall": sum(row.late_by_stall for row in group),
                "real_s": round(sum(row.real_s for row in group)),
            }
        )
    return out


def write(rows: list[Found], smallest: list[Found], folder: Path, command: str) -> None:
    """Write rows, table, smallest reproductions and a plot into `folder`."""
    folder.mkdir(parents=True, exist_ok=True)
    summary = {
        "command": command,
        "plays": len(rows),
        "broke": sum(bool(row.breaches) for row in rows),
        "failed": sum(bool(row.error) for row in rows),
        "table": table(rows),
        "reproductions": [
            {
                "command": each.what.command,
                "breaches": each.breaches,
                "notes": each.notes,
                "error": each.error,
            }
            for each in smallest
        ],
    }
    (folder / "summary.json").write_text(json.dumps(summary, indent=1) + "\n")
    with open(folder / "breaches.jsonl", "w", encoding="utf-8") as file:
        for row in rows:
            if not row.clean:
                file.write(json.dumps(asdict(row)) + "\n")
    _plot(rows, folder / "breaches.png")


def _plot(rows: list[Found], path: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    totals = table(rows)
    days = sorted({line["day"] for line in totals})
    scales = sorted({line["scale"] for line in totals})
    figure, axes = pyplot.subplots(figsize=(max(6.0, 0.4 * len(days) + 3), 4.5))
    width = 0.8 / len(scales)
    for turn, scale in enumerate(scales):
        shares = {
            line["day"]: line["broke"] / line["plays"] for line in totals if line["scale"] == scale
        }
        axes.bar(
            [i + turn * width for i in range(len(days))],
            [100 * shares.get(day, 0.0) for day in days],
            width,
            label=f"scale {scale:g} ({sum(line['plays'] for line in totals if line['scale'] == scale)} plays)",
        )
    axes.set_xticks([i + 0.4 - width / 2 for i in range(len(days))], days, rotation=60, ha="right")
    axes.set(ylabel="plays that broke a rule, %", ylim=(0, None), title="Hunt (simulated servers)")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
