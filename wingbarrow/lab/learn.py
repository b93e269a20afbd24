"""The learning experiment: the first minute of a new placer that starts cold, or learns from a current or stale peer.

There are three placers: a peer, one that carries load all the time, and the new one. Figures are taken at the sockets
of the machines.
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
from wingbarrow.lab.workload import Mix, draw
from wingbarrow.transport import Hub, VirtualClock

# In the last two arms the new placer starts later, after a time without load on the peer.
ARMS = ("cold", "learned", "cold-late", "stale")
LATE_ARMS = ("cold-late", "stale")
PEER, STEADY, NEW = 0, 1, 2
WARM_UP_S = 25  # load before the new placer starts, or before the idle time
# In the late arms: time during which the peer gets no load and is cut off from the list source.
IDLE_S = 120
MEASURE_S = 60
START_TARGET_US = 700_000  # target from submission to start
ALLOW_LOOPBACK_PEERS = '\nallow-peer "127.0.0.0/8"\n'


@dataclass(frozen=True)
class FirstMinute:
    """Figures of the new placer's first minute, taken at the sockets."""

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
    by_window: list[tuple[int, int]]  # (accepted, in time) for each 5 s
    steady_by_window: list[tuple[int, int]]  # the same for the placer that ran all the time


def build(machines: int) -> Build:
    """Machines sized so that the load fills them, small if there are many; an uncached start misses the target."""
    if machines <= 100:
        return replace(SMALL, start_us=120_000, setup=9.0)
    return Build(cores=4.0, memory=4.0, slots=2, cached_programs=4, start_us=120_000, setup=9.0)


def mix(machines: int) -> Mix:
    """A workload that requests about four fifths of the memory."""
    if machines <= 100:
        return Mix(rate=1.5 * machines, services=4 * machines, settlement=0.01)
    return Mix(rate=0.13 * machines, services=machines // 2, settlement=0.0)


def first_minute(arm: str, machines: int, seed: int, drains: bool = True) -> FirstMinute:
    """Run one arm with one seed; `drains` lets two machines drain as the new placer starts."""
    hub = Hub(VirtualClock())
    cluster = Cluster(hub, machines, 3, seed, silent, lambda _: build(machines))
    times: dict[str, int] = {}

    def main() -> int:
        cluster.start()
        peer, new = cluster.placers[PEER], cluster.placers[NEW]
        proxy = Proxy(hub, cluster.source.port)
        for slot in (peer, new):
            slot.kill()
        peer.source_port, peer.extra = proxy.port, ALLOW_LOOPBACK_PEERS
        hub.sleep(SECOND // 10)
        peer.start()
        owners = Owners(hub, cluster.addresses(), seed + 7, cluster.record)
        owners.skip = {NEW}
        hub.sleep(SECOND)
        wait_s = WARM_UP_S + (IDLE_S if arm in LATE_ARMS else 0)
        specs = draw(mix(machines), wait_s + MEASURE_S, seed + 3)

        def script() -> None:
            hub.sleep(WARM_UP_S * SECOND)
            if arm in LATE_ARMS:
                owners.skip = {NEW, PEER}
                proxy.sever()
                hub.sleep(IDLE_S * SECOND)
            # Two machines drain as the new placer starts: the peer knows it already, the list may not show it yet.
            if drains:
                for machine in cluster.live()[:2]:
                    hub.spawn(lambda machine=machine: cluster.drain(machine, 20.0))  # type: ignore[misc]
                hub.sleep(SECOND * 7 // 10)
            if arm in ("learned", "stale"):
                new.extra = ALLOW_LOOPBACK_PEERS + f'peer "127.0.0.1" port={peer.port}\n'
            new.state = ""
            new.start()
            times["begun"] = hub.now_us()
            owners.skip = {PEER} if arm in LATE_ARMS else set()

        hub.spawn(script, "script")
        owners.run(specs, hub.now_us() + (wait_s + MEASURE_S + 15) * SECOND)
        return times["begun"]

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
            in_time = placer != "" and now - sent <= START_TARGET_US
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
    """Run the given arms with seeds 1 to `seeds`."""
    jobs = [(arm, machines, seed) for seed in range(1, seeds + 1) for arm in arms]
    if processes <= 1:
        return [_one(job) for job in jobs]
    with Pool(processes) as pool:
        return pool.map(_one, jobs, chunksize=1)


def summary(rows: list[FirstMinute]) -> list[dict[str, Any]]:
    """By arm: mean, minimum and maximum over the seeds of the figures that judge a first minute."""
    out = []
    for arm in [arm for arm in ARMS if any(row.arm == arm for row in rows)]:
        group = [row for row in rows if row.arm == arm]
        figures: dict[str, Any] = {
            "arm": arm,
            "seeds": len(group),
            "clean": all(row.clean for row in group),
            "to_draining": sum(row.to_draining for row in group),
        }
        for name, values in (
            ("refused_offers_share", [row.refused_offers / max(1, row.offers) for row in group]),
            ("refused_tasks", [float(row.refused_tasks) for row in group]),
            ("probes", [float(row.probes) for row in group]),
            ("warm_share", [row.warm_starts / max(1, row.starts) for row in group]),
            ("in_time_share", [row.in_time / max(1, row.accepted) for row in group]),
            (
                "in_time_first_10s",
                [
                    sum(b for _, b in row.by_window[:2])
                    / max(1, sum(a for a, _ in row.by_window[:2]))
                    for row in group
                ],
            ),
        ):
            figures[name] = over_seeds(values)
        out.append(figures)
    return out


def write(rows: list[FirstMinute], folder: Path) -> None:
    """Write rows, summary and a plot into `folder`."""
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
        ylabel=f"tasks started within {START_TARGET_US // 1000} ms",
        title=f"First minute at {rows[0].machines} machines, {len({row.seed for row in rows})} seeds "
        "(simulated servers)",
    )
    axes.legend(loc="lower right")
    figure.tight_layout()
    figure.savefig(folder / "first-minute.png", dpi=110)
    pyplot.close(figure)
