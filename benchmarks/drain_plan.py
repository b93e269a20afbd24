"""A year of weekly windows planned: python -m benchmarks.drain_plan"""

from __future__ import annotations

import json
import os
import platform
import statistics
import time
from datetime import datetime

from wingbarrow.decide.maintenance.drain_plan import MachineState, PlanOutcome, PlanRules, plan
from wingbarrow.decide.maintenance.windows import (
    SECOND,
    Selector,
    Series,
    expand_all,
    time_zone,
    to_wall_us,
)

HOUR = 3600 * SECOND


def measure(count: int, runs: int) -> dict[str, object]:
    tz = time_zone("Europe/Helsinki")
    series = Series(
        "weekly",
        datetime(2026, 1, 4, 2, 0, tzinfo=tz),
        4 * HOUR,
        HOUR // 2,
        "FREQ=WEEKLY;BYDAY=SU",
        selectors=(Selector(name="*"),),
    )
    begin = to_wall_us(datetime(2026, 1, 1, tzinfo=tz))
    fleet = [
        MachineState(
            f"n{i}", f"r{i // 3}", "a" if i < count // 2 else "b", "small", {}, (24, 48), (10, 20)
        )
        for i in range(count)
    ]
    times = []
    for _ in range(runs):
        start = time.perf_counter()
        found = plan(expand_all([series], begin, begin + 365 * 24 * HOUR), fleet, PlanRules())
        times.append(time.perf_counter() - start)
    return {
        "machines": count,
        "drains": len(found),
        "planned": sum(each.outcome is PlanOutcome.PLANNED for each in found),
        "seconds_median": round(statistics.median(times), 2),
        "seconds_most": round(max(times), 2),
        "runs": runs,
    }


if __name__ == "__main__":
    print(
        json.dumps(
            {
                "machine": f"{os.cpu_count()} cores, {platform.machine()}, Python {platform.python_version()}",
                "sizes": [measure(500, 5), measure(5000, 3)],
            },
            indent=1,
        )
    )
