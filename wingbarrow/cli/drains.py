"""`wingbarrow drains`: plans the drains of calendars, and lists, starts and cancels drains."""

from __future__ import annotations

import json
import sys
from datetime import UTC, datetime
from pathlib import Path
from typing import Any
from urllib.parse import quote

import click

from wingbarrow.cli.client import URL, Client, require_matplotlib, with_client
from wingbarrow.config import SettingsError, parse_size
from wingbarrow.config.calendar import load_calendar
from wingbarrow.core.nodes import read_node
from wingbarrow.decide.maintenance.drain_plan import Drain, MachineState, plan
from wingbarrow.decide.maintenance.windows import expand_all
from wingbarrow.kube import names

US_PER_SECOND = 1_000_000


@click.group()
def drains() -> None:
    """Planned drains."""


def _utc(wall_us: int) -> str:
    return datetime.fromtimestamp(wall_us / US_PER_SECOND, UTC).strftime("%Y-%m-%d %H:%M:%SZ")


def _machine_states(nodes: list[dict[str, Any]]) -> list[MachineState]:
    out = []
    for value in nodes:
        entry = read_node(value, 0)
        labels = value["metadata"].get("labels") or {}
        capacity = value.get("status", {}).get("allocatable", {})
        size = (
            parse_size(str(capacity.get("cpu", "1"))),
            parse_size(str(capacity.get("memory", "1Gi"))) / 2**30,
        )
        free = entry.listed.free_cores, entry.listed.free_memory
        asked = tuple(max(0.0, size[i] - free[i]) if free[i] == free[i] else 0.0 for i in (0, 1))
        out.append(
            MachineState(
                entry.name,
                str(labels.get(names.CELL, entry.name)),
                entry.listed.zone,
                entry.listed.kind,
                labels,
                size,
                (asked[0], asked[1]),
                entry.listed.phase.value == "running",
            )
        )
    return out


@drains.command("plan")
@click.argument("calendars", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--days", type=click.IntRange(1, 400), default=14, show_default=True)
@click.option("--plot", type=click.Path(path_type=Path), help="Write a timeline here (PNG).")
@click.option("--from", "begin", help="Plan from this time (RFC 3339) on, not from now.")
@URL
def plan_command(
    calendars: tuple[Path, ...], days: int, plot: Path | None, begin: str | None, url: str
) -> None:
    """Show what would happen, before it does: calendars on the machines that a placer sees now."""
    if plot is not None:
        require_matplotlib()
    try:
        calendar = load_calendar(calendars)
        start = (
            names.read_time(begin) if begin else int(datetime.now(UTC).timestamp() * US_PER_SECOND)
        )
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    except ValueError:
        raise click.BadParameter(f"not a time: {begin}") from None
    nodes = with_client(
        url, lambda client: [json.loads(line) for line in client.get("nodes", None, "", "", True)]
    )
    try:
        states = _machine_states(nodes)
    except ValueError as error:
        raise click.ClickException(f"a Node of {url} cannot be read: {error}") from None
    found = plan(
        expand_all(calendar.series, start, start + days * 86_400 * US_PER_SECOND),
        states,
        calendar.rules,
    )
    for drain in found:
        click.echo(
            f"{drain.machine:<20}{drain.outcome.value:<9}{_utc(drain.start_us)} to {_utc(drain.end_us)}  "
            f"{drain.window}{'  ' + drain.reason if drain.reason else ''}"
        )
    if plot is not None:
        timeline(found, plot)


def timeline(found: list[Drain], path: Path) -> None:
    """Plot a bar for each drain on its machine's row, hollow if refused, to a PNG file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import dates, pyplot

    machines = sorted({drain.machine for drain in found}, reverse=True)
    figure, axes = pyplot.subplots(figsize=(10, 1.5 + 0.22 * len(machines)))
    for drain in found:
        begin = datetime.fromtimestamp(drain.start_us / US_PER_SECOND, UTC)
        end = datetime.fromtimestamp(drain.end_us / US_PER_SECOND, UTC)
        axes.barh(
            machines.index(drain.machine),
            dates.date2num(end) - dates.date2num(begin),
            left=dates.date2num(begin),
            color="C0" if drain.outcome.value == "planned" else "none",
            edgecolor="C0" if drain.outcome.value == "planned" else "C3",
        )
    axes.set_yticks(range(len(machines)), machines, fontsize=7)
    axes.xaxis_date()
    axes.set_title("planned drains (hollow: refused)")
    figure.autofmt_xdate()
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    pyplot.close(figure)


@drains.command()
@URL
def status(url: str) -> None:
    """Drains that a placer knows, with their phase."""

    def call(client: Client) -> None:
        for each in client.exchange("GET", "drains")["items"]:
            click.echo(
                f"{each['key']:<44}{each['phase']:<10}{_utc(each['startUs'])} to {_utc(each['endUs'])}  "
                f"moved {each['moved']}{'  late' if each['late'] else ''}  {each['reason']}"
            )

    with_client(url, call)


@drains.command()
@click.argument("key")
@URL
def cancel(key: str, url: str) -> None:
    """Take a drain back; the machine is opened again. Where placers agree on rules, at all of them."""
    answer = with_client(
        url, lambda client: client.at_leader(f"drains/{quote(key)}", None, "DELETE")
    )
    click.echo(f"{key} cancelled")
    _warn_of_floors(answer)


def _warn_of_floors(answer: dict[str, Any]) -> None:
    """Danger: a placer that is cut off and acts on a floor learns of the change later; warn the user of it."""
    for each in answer.get("floors", []):
        click.echo(
            f"a placer that is cut off may not hear of it for up to {each['lastsUs'] / US_PER_SECOND:g} s "
            f"(floor {each['number']})",
            err=True,
        )


@drains.command()
@click.argument("machine")
@click.option("--lasts", default="30m", show_default=True)
@URL
def now(machine: str, lasts: str, url: str) -> None:
    """Drain a machine from now on, under the same budgets. Where placers agree on rules, at all of them."""
    made = with_client(
        url, lambda client: client.at_leader("drains", {"machine": machine, "lasts": lasts})
    )
    click.echo(made["key"])
    _warn_of_floors(made)
