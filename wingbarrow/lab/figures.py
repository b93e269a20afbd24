"""Shared by the experiments: statistics over seeds, and rows and summary as files."""

from __future__ import annotations

import json
import statistics
from collections.abc import Iterable, Sequence
from dataclasses import asdict
from pathlib import Path
from typing import Any


def over_seeds(values: Sequence[float]) -> dict[str, float]:
    """Mean, minimum and maximum."""
    return {
        "mean": round(statistics.mean(values), 4),
        "least": round(min(values), 4),
        "most": round(max(values), 4),
    }


def write_rows(rows: Iterable[Any], summary: Any, folder: Path) -> None:
    """Write rows (dataclasses) and summary as JSON files into `folder`."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "rows.json").write_text(json.dumps([asdict(row) for row in rows]))
    (folder / "summary.json").write_text(json.dumps(summary, indent=1) + "\n")
