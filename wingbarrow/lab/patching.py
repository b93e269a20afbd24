"""The patching experiment: every machine is patched on one day, drained by the calendar or at once, or none is."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import UTC, datetime
from multiprocessing import Pool
from pathlib import Path
from typing import Any

from wingbarrow.config.calendar import load_calendar
from wingbarrow.core.logs import silent
from wingbarrow.decide.maintenance.drain_plan import Drain, MachineState, PlanOutcome, plan
from wingbarrow.decide.maintenance.windows import expand_all
from wingbarrow.lab.audit import audit
from wingbarrow.lab.cluster import SECOND, Cluster
from wingbarrow.lab.figures import over_seeds, write_rows
from wingbarrow.lab.load import Owners
from wingbarrow.lab.machine import Machine
from wingbarrow.lab.node import node_value
from wingbarrow.lab.record import Record
from wingbarrow.lab.workload import Mix, TaskSpec, draw
from wingbarrow.transport import Hub, VirtualClock

ARMS = ("none", "calendar", "at-once")
LEAD_S = 10  # from the start of a drain to its maintenance slot
WINDOW_SLOT_S = 12  # maintenance slot of one machine
DAY_S = 125  # during which tasks arrive
MACHINES = 12
START_TARGET_US = 700_000  # target from submission to start


@dataclass(frozen=True)
class PatchDay:
    """Figures of one day, taken at the sockets."""

    arm: str
    seed: int
    wanted: int
    in_time: int
    run_share: float  # time that tasks ran divided by the time requested
    moved: int
    lost: int  # tasks that a machine ended for its shutdown, or that died with it
    cold_starts: int  # starts without a cached program, on a relaunched machine
    patched: int
    settlement_moves: int
    clean: bool


def patch_day(arm: str, seed: int) -> PatchDay:
    """Run one day: at most two machines are out at a time, and at most one of each rack of three."""
    hub = Hub(VirtualClock())
    cluster = Cluster(hub, MACHINES, 2, seed, silent)
    mix = Mix(rate=0.55 * MACHINES, life_s=(4.0, 40.0), settlement=0.01)
    specs = draw(mix, DAY_S, seed + 3)

    def main() -> None:
        cluster.start()
        start_us = hub.clock.wall_us() + 35 * SECOND
        stamp = datetime.fromtimestamp(start_us / SECOND, UTC).isoformat()
        path = Path(cluster._folder.name) / "windows.kdl"
        path.write_text(
            f'window "patch" start="{stamp}" lasts="{6 * WINDOW_SLOT_S}s" each="{WINDOW_SLOT_S}s" {{ '
            f'machines name="*"; }}\nlead "{LEAD_S}s"\npace moves=8 every="1s"\n'
            'budget by="cell" max-unavailable=1\nbudget by="all" max-unavailable=2\n'
        )
        calendar = load_calendar([path])
        states = [
            MachineState(
                each.name,
                each.build.cell,
                each.build.zone,
                each.build.kind,
                {},
                (each.build.cores, each.build.memory),
                (0.0, 0.0),
            )
            for each in cluster.machines
        ]
        drains = plan(
            expand_all(calendar.series, start_us - SECOND, start_us + 1), states, calendar.rules
        )
        if arm == "calendar":
            for slot in cluster.placers:
                slot.kill()
                slot.extra = f'\ncalendar "{path}"\n'
                slot.start()
        if arm != "none":
            for drain in drains:
                if drain.outcome is PlanOutcome.PLANNED:
                    machine = next(each for each in cluster.machines if each.name == drain.machine)
                    hub.spawn(
                        lambda drain=drain, machine=machine: _patch(cluster, machine, drain, arm)  # type: ignore[misc]
                    )
        owners = Owners(hub, cluster.addresses(), seed + 5, cluster.record)
        owners.run(specs, hub.now_us() + (DAY_S + 60) * SECOND)
        hub.sleep(45 * SECOND)  # lets the tasks started last run to their end

    hub.run(main)
    found = audit(cluster.record.records, cluster.placers[0].settings)
    cluster.close()
    return _figures(arm, seed, specs, cluster.record.records, found.clean)


def _patch(cluster: Cluster, machine: Machine, drain: Drain, arm: str) -> None:
    """The operator's part: stop the machine at the start of its slot and relaunch it cold before the end."""
    clock = cluster.hub.clock
    cluster.hub.sleep(drain.start_us - clock.wall_us())
    if arm == "at-once":
        machine.begin_drain()
        cluster.source.show(machine.name, node_value(machine))
        cluster.hub.sleep(3 * SECOND)
    machine.die()
    cluster.hub.sleep(max(0, drain.end_us - clock.wall_us() - SECOND))
    machine.launch(cold=True)
    cluster.record(machine.name, "patched")
    cluster.source.show(machine.name, node_value(machine))


def _figures(
    arm: str, seed: int, specs: list[TaskSpec], records: list[Record], clean: bool
) -> PatchDay:
    accepted: dict[str, int] = {}
    running: dict[str, tuple[str, int, str]] = {}
    ran: dict[str, int] = {}
    began: dict[str, int] = {}
    relaunched: set[str] = set()
    counts = {"moved": 0, "lost": 0, "cold": 0, "patched": 0, "settlement_moves": 0}
    last = records[-1].at_us
    for record in records:
        data, now = record.data, record.at_us
        if record.what == "accepted":
            accepted.setdefault(data["task"], data["sent_us"])
        elif record.what == "start":
            running[data["pod"]] = data["task"], now, data["task_class"]
            began.setdefault(data["task"], now)
            counts["cold"] += record.where in relaunched and not data["warm"]
        elif record.what == "end" and data["pod"] in running:
            task, since, task_class = running.pop(data["pod"])
            ran[task] = ran.get(task, 0) + now - since
            counts["moved"] += data["why"] == "Terminated"
            counts["settlement_moves"] += data["why"] == "Terminated" and task_class == "settlement"
            counts["lost"] += data["why"] in ("NodeShutdown", "died")
        elif record.what == "patched":
            relaunched.add(record.where)
            counts["patched"] += 1
    for task, since, _ in running.values():
        ran[task] = ran.get(task, 0) + last - since
    wanted = sum(spec.runs_us for spec in specs)
    run_share = sum(min(spec.runs_us, ran.get(spec.ident, 0)) for spec in specs) / wanted
    in_time = sum(
        spec.ident in began and began[spec.ident] - accepted.get(spec.ident, 0) <= START_TARGET_US
        for spec in specs
    )
    return PatchDay(
        arm,
        seed,
        len(specs),
        in_time,
        run_share,
        counts["moved"],
        counts["lost"],
        counts["cold"],
        counts["patched"],
        counts["settlement_moves"],
        clean,
    )


def _one(job: tuple[str, int]) -> PatchDay:
    return patch_day(*job)


def experiment(seeds: int, processes: int) -> list[PatchDay]:
    """Run all arms with seeds 1 to `seeds`."""
    with Pool(processes) as pool:
        return pool.map(
            _one, [(arm, seed) for seed in range(1, seeds + 1) for arm in ARMS], chunksize=1
        )


def summary(rows: list[PatchDay]) -> list[dict[str, Any]]:
    """By arm: mean, minimum and maximum over the seeds."""
    out = []
    for arm in ARMS:
        mine = [row for row in rows if row.arm == arm]
        figures: dict[str, Any] = {
            "arm": arm,
            "seeds": len(mine),
            "clean": all(row.clean for row in mine),
            "settlement_moves": sum(row.settlement_moves for row in mine),
        }
        for name, values in (
            ("in_time_share", [row.in_time / row.wanted for row in mine]),
            ("run_share", [row.run_share for row in mine]),
            ("moved", [float(row.moved) for row in mine]),
            ("lost", [float(row.lost) for row in mine]),
            ("cold_starts", [float(row.cold_starts) for row in mine]),
            ("patched", [float(row.patched) for row in mine]),
        ):
            figures[name] = over_seeds(values)
        out.append(figures)
    return out


def write(rows: list[PatchDay], folder: Path) -> None:
    """Write rows and summary into `folder`."""
    write_rows(rows, summary(rows), folder)
