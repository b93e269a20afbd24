"""The learning experiment: a new placer's first minute, started cold, with a running peer's word, or a stale one's.

Three placers: a peer, one that carries load all the time, and the new one. Judged at the sockets of the machines.
"""

from __future__ import annotations

import statistics
from collections import defaultdict
from dataclasses import dataclass, replace
from multiprocessing import Pool
from pathlib import Path
from typing import Any

from wingbarrow.core.logs import silent
from wingbarrow.lab.audit import audit
from wingbarrow.lab.build import Build
from wingbarrow.lab.cluster import SECOND, SMALL, Cluster
from wingbarrow.lab.figures import over_seeds, write_rows
from wingbarrow.lab.fleet.link import Proxy
from wingbarrow.lab.load import Owners
from wingbarrow.lab.record import Record
from wingbarrow.lab.wants import Mix, draw
from wingbarrow.transport import Hub, VirtualClock

ARMS = (
    "cold",
    "learned",
    "cold-late",
    "stale",
)  # the last two start later, while the peer carries no load
LATE = ("cold-late", "stale")
PEER, STEADY, NEW = 0, 1, 2
WARM_UP_S, STALE_S, MEASURE_S = 25, 120, 60
AIM_US = 700_000
ALLOW = '\nallow-peer "127.0.0.0/8"\n'


@dataclass(frozen=True)
class FirstMinute:
    """What crossed the sockets for the new placer within its first minute."""

    arm: str
    machines: int
    seed: int
    offers: int
    refused_offers: int
    refused_tasks: int
    probes: int
    starts: int
    warm_starts: int
    in_time: int
    accepted: int
    to_draining: int
    clean: bool
    by_window: list[tuple[int, int]]  # accepted and in time, each 5 s
    steady_by_window: list[tuple[int, int]]  # the same of the placer that ran all the time


def build(machines: int) -> Build:
    """Machines of a size that the load fills, small ones where there are many; a cold program misses the aim."""
    if machines <= 100:
        return replace(SMALL, start_us=120_000, setup=9.0)
    return Build(cores=4.0, memory=4.0, slots=2, cached_programs=4, start_us=120_000, setup=9.0)


def mix(machines: int) -> Mix:
    """A load that asks for some four fifths of the memory."""
    if machines <= 100:
        return Mix(rate=1.5 * machines, services=4 * machines, settlement=0.01)
    return Mix(rate=0.13 * machines, services=machines // 2, settlement=0.0)


def first_minute(arm: str, machines: int, seed: int, drains: bool = True) -> FirstMinute:
    """One run."""
    hub = Hub(VirtualClock())
    cluster = Cluster(hub, machines, 3, seed, silent, lambda _: build(machines))
    mine: dict[str, int] = {}

    def main() -> int:
        cluster.start()
        peer, new = cluster.placers[PEER], cluster.placers[NEW]
        proxy = Proxy(hub, cluster.source.port)
        for slot in (peer, new):
            slot.kill()
        peer.source_port, peer.extra = proxy.port, ALLOW
        hub.sleep(SECOND // 10)
        peer.start()
        owners = Owners(hub, cluster.addresses(), seed + 7, cluster.record)
        owners.skip = {NEW}
        hub.sleep(SECOND)
        waits = WARM_UP_S + (STALE_S if arm in LATE else 0)
        wants = draw(mix(machines), waits + MEASURE_S, seed + 3)

        def script() -> None:
            hub.sleep(WARM_UP_S * SECOND)
            if arm in LATE:
                owners.skip = {NEW, PEER}
                proxy.sever()
                hub.sleep(STALE_S * SECOND)
            if drains:  # two machines drain as the new placer starts: the peer hears it, the list may not say it yet
                for machine in cluster.live()[:2]:
                    hub.spawn(lambda machine=machine: cluster.drain(machine, 20.0))  # type: ignore[misc]
                hub.sleep(SECOND * 7 // 10)
            if arm in ("learned", "stale"):
                new.extra = ALLOW + f'peer "127.0.0.1" port={peer.port}\n'
            new.state = ""
            new.start()
            mine["begun"] = hub.now_us()
            owners.skip = {PEER} if arm in LATE else set()

        hub.spawn(script, "script")
        owners.run(wants, hub.now_us() + (waits + MEASURE_S + 15) * SECOND)
        return mine["begun"]

    begun = hub.run(main)
    found = audit(cluster.record.records, cluster.placers[STEADY].settings)
    cluster.close()
    return _figures(
        arm, machines, seed, begun, cluster.record.records, found.clean, found.sends_to_draining
    )


def _figures(
    arm: str,
    machines: int,
    seed: int,
    begun: int,
    records: list[Record],
    clean: bool,
    to_draining: int,
) -> FirstMinute:
    end, new, steady = begun + MEASURE_S * SECOND, f"placer-{NEW}", f"placer-{STEADY}"
    counts: dict[str, int] = defaultdict(int)
    owner_of: dict[str, str] = {}
    accepted: dict[str, tuple[str, int]] = {}  # uid: placer, time
    windows: dict[str, list[list[int]]] = {
        who: [[0, 0] for _ in range(MEASURE_S // 5)] for who in (new, steady)
    }
    uid_of: dict[str, str] = {}
    for record in records:
        data, now = record.data, record.at_us
        if not begun <= now < end:
            continue
        if record.what == "accepted":
            accepted[data["uid"]] = data["placer"], data["sent_us"]
            if data["placer"] in windows:
                windows[data["placer"]][(now - begun) // (5 * SECOND)][0] += 1
            counts["accepted"] += data["placer"] == new
        elif record.what == "offer":
            owner_of[data["pod"]], uid_of[data["pod"]] = data["placer"], data["uid"]
            counts["offers"] += data["placer"] == new
        elif record.what == "answer" and record.where != "owner":
            counts["refused_offers"] += owner_of.get(data["pod"]) == new and data["status"] != 201
        elif record.what == "answer":
            counts["refused_tasks"] += data["placer"] == new and data["answer"] == "refused"
        elif record.what == "probe":
            counts["probes"] += data["placer"] == new
        elif record.what == "start" and data["pod"] in owner_of:
            placer, sent = accepted.get(uid_of[data["pod"]], ("", 0))
            in_time = placer != "" and now - sent <= AIM_US
            if in_time and placer in windows:
                windows[placer][min(len(windows[placer]) - 1, (sent - begun) // (5 * SECOND))][
                    1
                ] += 1
            if owner_of[data["pod"]] == new:
                counts["starts"] += 1
                counts["warm"] += data["warm"]
                counts["in_time"] += in_time
    return FirstMinute(
        arm,
        machines,
        seed,
        counts["offers"],
        counts["refused_offers"],
        counts["refused_tasks"],
        counts["probes"],
        counts["starts"],
        counts["warm"],
        counts["in_time"],
        counts["accepted"],
        to_draining,
        clean,
        [(a, b) for a, b in windows[new]],
        [(a, b) for a, b in windows[steady]],
    )


def _one(job: tuple[str, int, int]) -> FirstMinute:
    return first_minute(*job)


def experiment(
    machines: int, seeds: int, processes: int, arms: tuple[str, ...] = ARMS
) -> list[FirstMinute]:
    """Some arms over all seeds."""
    jobs = [(arm, machines, seed) for seed in range(1, seeds + 1) for arm in arms]
    if processes <= 1:
        return [_one(job) for job in jobs]
    with Pool(processes) as pool:
        return pool.map(_one, jobs, chunksize=1)


def summary(rows: list[FirstMinute]) -> list[dict[str, Any]]:
    """By arm: the mean over seeds, and the least and most, of what a first minute is judged by."""
    out = []
    for arm in [arm for arm in ARMS if any(row.arm == arm for row in rows)]:
        mine = [row for row in rows if row.arm == arm]
        figures: dict[str, Any] = {
            "arm": arm,
            "seeds": len(mine),
            "clean": all(row.clean for row in mine),
            "to_draining": sum(row.to_draining for row in mine),
        }
        for name, values in (
            ("refused_offers_share", [row.refused_offers / max(1, row.offers) for row in mine]),
            ("refused_tasks", [float(row.refused_tasks) for row in mine]),
            ("probes", [float(row.probes) for row in mine]),
            ("warm_share", [row.warm_starts / max(1, row.starts) for row in mine]),
            ("in_time_share", [row.in_time / max(1, row.accepted) for row in mine]),
            (
                "in_time_first_10s",
                [
                    sum(b for _, b in row.by_window[:2])
                    / max(1, sum(a for a, _ in row.by_window[:2]))
                    for row in mine
                ],
            ),
        ):
            figures[name] = over_seeds(values)
        out.append(figures)
    return out


def write(rows: list[FirstMinute], folder: Path) -> None:
    """Rows, summary and a plot into a folder."""
    write_rows(rows, summary(rows), folder)
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 4.5))
    times = [5 * (i + 0.5) for i in range(MEASURE_S // 5)]

    def line(runs: list[list[tuple[int, int]]], label: str, style: str) -> None:
        shares = [[b / max(1, a) for a, b in run] for run in runs]
        means = [statistics.mean(column) for column in zip(*shares, strict=True)]
        axes.plot(times, means, style, label=label)
        axes.fill_between(
            times,
            [min(c) for c in zip(*shares, strict=True)],
            [max(c) for c in zip(*shares, strict=True)],
            alpha=0.12,
        )

    for arm, style in zip(ARMS, ("C3-o", "C0-s", "C5:o", "C1:^"), strict=True):
        if any(row.arm == arm for row in rows):
            line([row.by_window for row in rows if row.arm == arm], f"new instance, {arm}", style)
    line(
        [row.steady_by_window for row in rows if row.arm == rows[0].arm], "running instance", "k--"
    )
    axes.set(
        xlabel="seconds since the new instance started",
        ylim=(0, 1.02),
        ylabel=f"tasks started within {AIM_US // 1000} ms",
        title=f"First minute at {rows[0].machines} machines, {len({row.seed for row in rows})} seeds "
        "(simulated servers)",
    )
    axes.legend(loc="lower right")
    figure.tight_layout()
    figure.savefig(folder / "first-minute.png", dpi=110)
    pyplot.close(figure)
