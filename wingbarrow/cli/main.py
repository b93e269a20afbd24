"""`wingbarrow`: the entry point, with the sub-commands serve, check, submit, get and watch."""

from __future__ import annotations

import json
import signal
import sys
from pathlib import Path
from typing import Any

import click

from wingbarrow.cli.client import URL, Client, with_client
from wingbarrow.cli.drains import drains
from wingbarrow.cli.fleet import fleet
from wingbarrow.cli.lab import lab
from wingbarrow.cli.rules import rules
from wingbarrow.cli.turns import turns
from wingbarrow.config import SettingsError, load_file
from wingbarrow.config.calendar import load_calendar
from wingbarrow.core.logs import Log
from wingbarrow.fronts.serve import Service, reload_file
from wingbarrow.transport import Hub, Nursery
from wingbarrow.transport.signals import on_signals


@click.group()
@click.version_option(package_name="wingbarrow")
def main() -> None:
    """Places long-running work on the machines of a cluster."""


main.add_command(lab)
main.add_command(drains)
main.add_command(rules)
main.add_command(turns)
main.add_command(fleet)


def settings_or_exit(path: Path):  # type: ignore[no-untyped-def]
    """Settings of a file, whose calendars load too; exits with 2 and lines of `FILE:LINE: what is wrong` otherwise."""
    try:
        settings = load_file(path)
        load_calendar(settings.calendars)
        return settings
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(2)


@main.command()
@click.argument("file", type=click.Path(path_type=Path))
def check(file: Path) -> None:
    """Check a file of settings; exit 2 where it cannot be used."""
    settings_or_exit(file)


@main.command()
@click.argument("file", type=click.Path(path_type=Path))
def serve(file: Path) -> None:
    """Run one placer until SIGINT or SIGTERM; SIGHUP reads the file again."""
    settings = settings_or_exit(file)
    hub = Hub()
    log = Log(hub.now_us)
    hub.on_task_error = lambda task, error: log(
        "task-failed", level="error", task=task, why=f"{type(error).__name__}: {error}"
    )

    def run() -> None:
        service = Service(hub, settings, log)
        with Nursery(hub) as nursery:

            def reload() -> None:
                loaded = reload_file(file, service.placer.context.settings, log)
                if loaded is not None:
                    service.placer.apply_settings(loaded)
                    log("settings-taken", file=str(file))

            def shut_down() -> None:
                service.placer.peering.leave()
                nursery.cancel()

            def request_shutdown() -> None:
                nursery.spawn(shut_down, "end")

            nursery.spawn(
                on_signals(
                    hub,
                    {
                        signal.SIGINT: request_shutdown,
                        signal.SIGTERM: request_shutdown,
                        signal.SIGHUP: reload,
                    },
                ),
                "signals",
            )
            # Danger: a reader of this line may send a signal at once, which kills a process without signal handlers.
            click.echo(json.dumps({"kind": "placer", "name": settings.name, "url": service.url}))
            sys.stdout.flush()
            service.run()
            nursery.cancel()

    try:
        hub.run(run)
    except OSError as error:
        click.echo(f"{settings.host}:{settings.port}: {error.strerror}", err=True)
        sys.exit(1)


@main.command()
@click.argument("file", type=click.File("rb"))
@click.option("--namespace", "-n", default="default", show_default=True)
@click.option("--dry-run", is_flag=True, help="Check the Job; keep nothing.")
@click.option(
    "--wait", is_flag=True, help="Wait for the answer; exit 3 where it is refused or failed."
)
@URL
def submit(file: Any, namespace: str, dry_run: bool, wait: bool, url: str) -> None:
    """Submit the Job in FILE (JSON; - for standard input)."""
    raw = file.read()

    def call(client: Client) -> int:
        job = client.submit(raw, namespace, dry_run)
        click.echo(f"{job['metadata']['namespace']}/{job['metadata']['name']} accepted")
        if not wait or dry_run:
            return 0
        answer, words = client.wait_for_answer(job)
        click.echo(f"{answer}{': ' + words if words else ''}")
        return 0 if answer == "placed" else 3

    sys.exit(with_client(url, call))


@main.command()
@click.argument("kind", type=click.Choice(["jobs", "nodes", "events"]))
@click.argument("name", required=False)
@click.option("--namespace", "-n", default="", help="All namespaces without it.")
@click.option("--selector", "-l", default="", help="Label selector.")
@click.option("--json", "as_json", is_flag=True, help="Print the objects.")
@URL
def get(
    kind: str, name: str | None, namespace: str, selector: str, as_json: bool, url: str
) -> None:
    """List Jobs, Nodes or Events, or show one."""

    def call(client: Client) -> None:
        for line in client.get(kind, name, namespace, selector, as_json):
            click.echo(line)

    with_client(url, call)


@main.command()
@click.argument("kind", type=click.Choice(["jobs", "nodes", "events"]))
@click.option("--namespace", "-n", default="")
@click.option("--selector", "-l", default="")
@click.option("--seconds", type=click.IntRange(1, 86400), help="End after so long.")
@click.option("--json", "as_json", is_flag=True)
@URL
def watch(
    kind: str, namespace: str, selector: str, seconds: int | None, as_json: bool, url: str
) -> None:
    """Watch Jobs, Nodes or Events; goes on over broken connections."""

    def call(client: Client) -> None:
        client.watch(kind, namespace, selector, seconds, as_json, click.echo)

    with_client(url, call)
