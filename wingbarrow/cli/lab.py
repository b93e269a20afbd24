"""`wingbarrow lab`: a local cluster with simulated machines, scripted days and experiments."""

from __future__ import annotations

import json
import signal
import sys
import time
from multiprocessing import get_context
from pathlib import Path

import click

from wingbarrow.cli.client import require_matplotlib
from wingbarrow.cli.labfleet import fleet
from wingbarrow.core.logs import Log, silent
from wingbarrow.lab.cluster import Cluster
from wingbarrow.lab.days import DAYS, Play, play
from wingbarrow.lab.days import summary as day_summary
from wingbarrow.lab.fleet.fault_schedules import generate_steps, run_trial, shrink_schedule
from wingbarrow.lab.hunt import Found, plays, shrink
from wingbarrow.lab.hunt import hunt as run_hunt
from wingbarrow.lab.hunt import table as hunt_table
from wingbarrow.lab.hunt import write as write_hunt
from wingbarrow.lab.learn import ARMS, experiment, summary, write
from wingbarrow.lab.limits import raise_descriptors
from wingbarrow.lab.patching import experiment as patch_experiment
from wingbarrow.lab.patching import summary as patch_summary
from wingbarrow.lab.patching import write as write_patching
from wingbarrow.transport import Hub, Nursery
from wingbarrow.transport.signals import on_signals


@click.group()
def lab() -> None:
    """Stand-ins for machines and list source on loopback."""


lab.add_command(fleet)


@lab.command()
@click.option("--nodes", type=click.IntRange(1, 5000), default=6, show_default=True)
@click.option("--placers", type=click.IntRange(1, 64), default=1, show_default=True)
@click.option("--seed", type=click.IntRange(0, 1 << 31), default=1, show_default=True)
def up(nodes: int, placers: int, seed: int) -> None:
    """List source, machines and placers in one go, until SIGINT or SIGTERM."""
    wanted, most = raise_descriptors(nodes, placers)
    if wanted > most:
        click.echo(
            f"--nodes {nodes} --placers {placers} needs about {wanted} file descriptors; the limit of this "
            f"process is {most} (ulimit -Hn)",
            err=True,
        )
        sys.exit(2)
    hub = Hub()
    log = Log(hub.now_us)
    hub.on_task_error = lambda task, error: log(
        "task-failed", level="error", task=task, why=f"{type(error).__name__}: {error}"
    )

    def print_event(kind: str, **fields: object) -> None:
        click.echo(json.dumps({"kind": kind, **fields}))
        sys.stdout.flush()

    def run() -> None:
        cluster = Cluster(hub, nodes, placers, seed, log)
        cluster.record.limit(0)
        try:
            with Nursery(hub) as nursery:
                nursery.spawn(
                    on_signals(
                        hub, {signal.SIGINT: nursery.cancel, signal.SIGTERM: nursery.cancel}
                    ),
                    "signals",
                )
                cluster.start()
                print_event("list-source", url=f"http://127.0.0.1:{cluster.source.port}")
                for machine in cluster.machines:
                    print_event("node", name=machine.name, url=f"http://127.0.0.1:{machine.port}")
                for slot in cluster.placers:
                    print_event("placer", name=slot.name, url=f"http://127.0.0.1:{slot.port}")
                while not cluster.ready():
                    hub.sleep(20_000)
                print_event("ready")
                while True:
                    hub.sleep(3_600_000_000)
        finally:
            cluster.close()

    hub.run(run)


@lab.command()
@click.option("--machines", type=click.IntRange(4, 5000), default=10, show_default=True)
@click.option("--seeds", type=click.IntRange(1, 100), default=10, show_default=True)
@click.option("--processes", type=click.IntRange(1, 64), default=7, show_default=True)
@click.option(
    "--arm", "arms", multiple=True, type=click.Choice(ARMS), default=ARMS, help="All without it."
)
@click.option(
    "--out", type=click.Path(path_type=Path), required=True, help="Rows, summary and plot go here."
)
def learn(machines: int, seeds: int, processes: int, arms: tuple[str, ...], out: Path) -> None:
    """A new placer's first minute: cold, with a running peer's knowledge, and with a stale one's."""
    require_matplotlib()
    rows = experiment(machines, seeds, processes, arms)
    write(rows, out)
    for line in summary(rows):
        click.echo(json.dumps(line))
    sys.exit(0 if all(row.clean for row in rows) else 1)


@lab.command()
@click.option("--seeds", type=click.IntRange(1, 100), default=10, show_default=True)
@click.option("--processes", type=click.IntRange(1, 64), default=7, show_default=True)
@click.option(
    "--out", type=click.Path(path_type=Path), required=True, help="Rows and summary go here."
)
def patching(seeds: int, processes: int, out: Path) -> None:
    """A day on which every machine is patched: by the calendar, by draining at once, and without windows."""
    rows = patch_experiment(seeds, processes)
    write_patching(rows, out)
    for line in patch_summary(rows):
        click.echo(json.dumps(line))
    sys.exit(0 if all(row.clean for row in rows) else 1)


@lab.command()
@click.option("--placers", default="3,5,16", show_default=True, help="With commas between.")
@click.option("--seeds", type=click.IntRange(1, 100_000), default=20, show_default=True)
@click.option("--first-seed", type=click.IntRange(0, 1 << 30), default=1, show_default=True)
@click.option(
    "--only", help="Of the schedule only these steps, as 0,3,5; with one size and one seed."
)
@click.option("--jobs", type=click.IntRange(1, 64), default=4, show_default=True, help="Processes.")
def agreement(placers: str, seeds: int, first_seed: int, only: str | None, jobs: int) -> None:
    """Hunt for broken agreement in generated schedules; each breach by its shortest reproduction, and exit 1."""
    try:
        counts = [int(part) for part in placers.split(",")]
        kept = None if only is None else tuple(int(part) for part in only.split(",") if part)
    except ValueError as error:
        raise click.BadParameter(f"--placers, --only: {error}") from None
    if any(not 2 <= count <= 170 for count in counts) or (
        kept is not None and (len(counts), seeds) != (1, 1)
    ):
        raise click.BadParameter(
            "--placers lie between 2 and 170; --only goes with one size and one seed"
        )
    if kept is not None and not all(
        0 <= index < len(generate_steps(counts[0], first_seed)) for index in kept
    ):
        raise click.BadParameter(
            f"--only: the schedule has {len(generate_steps(counts[0], first_seed))} steps"
        )
    wanted = [
        (count, seed, kept) for count in counts for seed in range(first_seed, first_seed + seeds)
    ]
    with get_context("fork").Pool(jobs) as pool:
        broken = [
            (count, seed, words)
            for (count, seed, _), words in zip(
                wanted, pool.starmap(run_trial, wanted, 1), strict=True
            )
            if words
        ]
    for count, seed, words in broken:
        some = ",".join(map(str, kept if kept is not None else shrink_schedule(count, seed)))
        command = f"wingbarrow lab agreement --placers {count} --seeds 1 --first-seed {seed} --only {some}"
        click.echo(json.dumps({"reproduction": command, "broken": words[:500]}))
    click.echo(json.dumps({"schedules": len(wanted), "broken": len(broken), "placers": counts}))
    sys.exit(1 if broken else 0)


@lab.command()
@click.option(
    "--days", default="generated", show_default=True, help="Names with commas between, or `all`."
)
@click.option("--seeds", type=click.IntRange(1, 100_000), default=20, show_default=True)
@click.option("--first-seed", type=click.IntRange(0, 1 << 30), default=1, show_default=True)
@click.option("--scales", default="1", show_default=True, help="With commas between.")
@click.option(
    "--placers", default="0", show_default=True, help="With commas between; 0 for the day's own."
)
@click.option("--jobs", type=click.IntRange(1, 64), default=4, show_default=True, help="Processes.")
@click.option(
    "--shrink/--no-shrink",
    "smaller",
    default=True,
    show_default=True,
    help="Look for the shortest reproduction of each breach.",
)
@click.option(
    "--out", type=click.Path(path_type=Path), required=True, help="Rows, table and plot go here."
)
def hunt(
    days: str,
    seeds: int,
    first_seed: int,
    scales: str,
    placers: str,
    jobs: int,
    smaller: bool,
    out: Path,
) -> None:
    """Play many days at many sizes and tell each breach by its shortest reproduction; exit 1 where one is found."""
    require_matplotlib()
    names = sorted(DAYS) if days == "all" else days.split(",")
    for name in names:
        if name not in DAYS:
            raise click.BadParameter(f"no such day: {name}; `wingbarrow lab day --list` names them")
    try:
        sizes = [float(part) for part in scales.split(",")]
        counts = [int(part) for part in placers.split(",")]
    except ValueError as error:
        raise click.BadParameter(f"--scales, --placers: {error}") from None
    if any(not 0.4 <= size <= 200 for size in sizes) or any(
        not 0 <= count <= 64 for count in counts
    ):
        raise click.BadParameter("--scales lie between 0.4 and 200, --placers between 0 and 64")
    wanted = plays(names, range(first_seed, first_seed + seeds), sizes, counts)
    started_s, unclean_plays = time.monotonic(), 0

    def progress(done: int, found: Found) -> None:
        nonlocal unclean_plays
        unclean_plays += not found.clean
        if not found.clean:
            click.echo(f"{found.what.command}: {found.breaches or found.error}", err=True)
        if done % 20 == 0 or done == len(wanted):
            left = (time.monotonic() - started_s) / done * (len(wanted) - done)
            click.echo(
                f"{done} of {len(wanted)} plays, {unclean_plays} not clean, some {left:.0f} s left",
                err=True,
            )

    rows = list(run_hunt(wanted, jobs, progress))
    smallest = [shrink(row) if smaller and row.breaches else row for row in rows if not row.clean]
    command = (
        f"wingbarrow lab hunt --days {days} --seeds {seeds} --first-seed {first_seed} --scales {scales} "
        f"--placers {placers}"
    )
    write_hunt(rows, smallest, out, command)
    for line in hunt_table(rows):
        click.echo(json.dumps(line))
    for each in smallest:
        click.echo(
            json.dumps(
                {"reproduction": each.what.command, "breaches": each.breaches, "error": each.error}
            )
        )
    sys.exit(1 if smallest else 0)


@lab.command()
@click.argument("name", required=False)
@click.option("--list", "show", is_flag=True, help="Name the days.")
@click.option("--seed", type=click.IntRange(0, 1 << 31), default=1, show_default=True)
@click.option(
    "--scale",
    type=click.FloatRange(0.4, 200.0),
    default=1.0,
    show_default=True,
    help="Machines and load, as a multiple.",
)
@click.option("--placers", type=click.IntRange(1, 64), help="In place of the day's own.")
@click.option("--seconds", type=click.FloatRange(1, 3600), help="In place of the day's own.")
@click.option("--only", help="Of a generated day's troubles only these, as 0,3,5.")
@click.option(
    "--subsets",
    type=click.IntRange(1, 64),
    help="Have each machine held by so many of the placers alone.",
)
@click.option(
    "--report", type=click.Path(path_type=Path), help="Write the recording into this folder."
)
@click.option("--logs", is_flag=True, help="The placers' logs on standard error.")
def day(
    name: str | None,
    show: bool,
    seed: int,
    scale: float,
    placers: int | None,
    seconds: float | None,
    only: str | None,
    subsets: int | None,
    report: Path | None,
    logs: bool,
) -> None:
    """Play a scripted day on a compressed clock; the last line is the audit of what crossed the sockets."""
    if show or name is None:
        for each, what in DAYS.items():
            click.echo(f"{each:<18}{what.about}")
        return
    if name not in DAYS:
        raise click.BadParameter(f"no such day: {name}; `wingbarrow lab day --list` names them")
    try:
        kept = None if only is None else tuple(int(part) for part in only.split(",") if part)
    except ValueError:
        raise click.BadParameter(
            f"--only: numbers with commas between them are wanted, not {only!r}"
        ) from None
    if subsets is not None and subsets > (placers or DAYS[name].placers):
        raise click.BadParameter("--subsets: more than there are placers")
    clock = Hub()
    outcome = play(
        Play(name, seed, scale, placers, seconds, kept, subsets),
        Log(clock.now_us) if logs else silent,
        report,
    )
    for index, trouble in enumerate(outcome.troubles):
        click.echo(f"trouble {index if kept is None else kept[index]}: {trouble}", err=True)
    for note in outcome.audit.notes:
        click.echo(note, err=True)
    click.echo(json.dumps({**day_summary(outcome), "day": name, "seed": seed}))
    click.echo(json.dumps(outcome.audit.line()))
    sys.exit(0 if outcome.audit.clean else 1)
