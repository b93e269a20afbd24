"""`wingbarrow lab fleet`: runs placers as processes, injects faults between them, and judges the run."""

from __future__ import annotations

import json
import sys
import tempfile
from pathlib import Path

import click

from wingbarrow.core.logs import silent
from wingbarrow.lab.fleet.judge import judge
from wingbarrow.lab.fleet.judging.verdict import Verdict
from wingbarrow.lab.fleet.layout import REGIONS, Layout, Size
from wingbarrow.lab.fleet.process import NotStarted
from wingbarrow.lab.fleet.rig import Rig
from wingbarrow.lab.fleet.script import Fault, ScriptError, generate, generate_regions, read_script
from wingbarrow.lab.limits import raise_descriptors
from wingbarrow.transport import Hub


@click.command()
@click.option("--placers", type=click.IntRange(2, 64), default=5, show_default=True)
@click.option("--machines", type=click.IntRange(3, 1000), default=10, show_default=True)
@click.option(
    "--regions",
    type=click.IntRange(2, len(REGIONS)),
    help="Deal placers and machines out to so many; none without it.",
)
@click.option(
    "--leases/--no-leases",
    default=True,
    show_default=True,
    help="With regions: classes and federation specs whose work is leased.",
)
@click.option(
    "--lease", type=click.FloatRange(1, 300), default=10.0, show_default=True, help="Seconds."
)
@click.option(
    "--after",
    type=click.FloatRange(1, 3600),
    default=12.0,
    show_default=True,
    help="Seconds until a lost region's work is issued again.",
)
@click.option(
    "--subsets",
    type=click.IntRange(1, 64),
    help="Have each machine held by so many of its region's placers alone.",
)
@click.option(
    "--script",
    type=click.Path(path_type=Path, exists=True),
    help="Faults in KDL; from the seed without it.",
)
@click.option("--seed", type=click.IntRange(0, 1 << 31), default=1, show_default=True)
@click.option("--seconds", type=click.FloatRange(5, 3600), default=30.0, show_default=True)
@click.option(
    "--rate",
    type=click.FloatRange(0.1, 1000),
    default=8.0,
    show_default=True,
    help="Tasks a second.",
)
@click.option(
    "--out",
    type=click.Path(path_type=Path),
    help="What the run leaves, to be judged again; a temporary folder without it.",
)
@click.option(
    "--judge",
    "judged_run",
    type=click.Path(path_type=Path, exists=True),
    help="Judge what a run left; play none.",
)
def fleet(
    placers: int,
    machines: int,
    regions: int | None,
    leases: bool,
    lease: float,
    after: float,
    subsets: int | None,
    script: Path | None,
    seed: int,
    seconds: float,
    rate: float,
    out: Path | None,
    judged_run: Path | None,
) -> None:
    """Real placers as processes, with faults between them; the last line is the judge's verdict, exit 1 if broken."""
    if judged_run is not None:
        verdict = judge(judged_run)
    else:
        if out is not None and (out / "fleet.json").exists():
            raise click.BadParameter(f"--out: {out} holds a run already; --judge judges it")
        if min(placers, machines) < (regions or 0):
            raise click.BadParameter("--regions: each needs a placer and a machine of its own")
        if (subsets or 0) > placers // (regions or 1):
            raise click.BadParameter("--subsets: more than there are placers in a region")
        size = Size(
            placers, machines, seconds, seed, rate, regions or 0, leases, lease, after, subsets or 0
        )
        try:
            verdict = _run_fleet(size, _faults(size, script), out)
        except (ScriptError, TimeoutError, NotStarted) as error:
            words = (
                str(error)
                if isinstance(error, ScriptError)
                else (f"the fleet did not start: {error}; logs: {out or 'see --out'}")
            )
            click.echo(words, err=True)
            sys.exit(2)
    for note in verdict.notes:
        click.echo(note, err=True)
    click.echo(json.dumps(verdict.line()))
    sys.exit(0 if verdict.clean else 1)


def _faults(size: Size, script: Path | None) -> list[Fault]:
    layout = Layout(size)
    if script is not None:
        return read_script(script, layout.names, tuple(layout.regions))
    if layout.regions:
        return generate_regions(size.seed, layout.regions, size.seconds)
    return generate(size.seed, layout.names, size.seconds)


def _run_fleet(size: Size, faults: list[Fault], out: Path | None) -> Verdict:
    raise_descriptors(size.machines, size.placers * 4)
    with tempfile.TemporaryDirectory(prefix="wingbarrow-fleet-") as folder:
        hub = Hub()
        rig = Rig(hub, size, faults, (out or Path(folder)).absolute(), silent)
        rig.progress = lambda text: click.echo(text, err=True)
        hub.run(rig.run)
        return judge(rig.places.folder)
