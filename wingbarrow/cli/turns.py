"""`wingbarrow turns`: machines taken out for maintenance, one after another, in an order that placers agree on."""

from __future__ import annotations

import os
import time
from typing import Any

import click

from wingbarrow.cli.client import URL, Client, with_client

US_PER_SECOND = 1_000_000


@click.group()
def turns() -> None:
    """Machines taken out for work, in an order that placers agree on."""


def _describe(turn: dict[str, Any]) -> str:
    notes = [
        turn["note"],
        turn.get("blocked", ""),
        turn.get("unproved", ""),
        "its worker is silent" if turn.get("silent") else "",
    ]
    return (
        f"{turn['number']:<6}{turn['machine']:<24}{turn['state']:<11}urgency {turn['urgency']}  "
        f"{turn['why']}{' by ' + turn['worker'] if turn['worker'] else ''}  "
        f"{'; '.join(each for each in notes if each)}"
    ).rstrip()


def _post_and_print(path: str, url: str, value: dict[str, Any]) -> None:
    click.echo(_describe(with_client(url, lambda client: client.at_leader(path, value))))


@turns.command()
@click.argument("machine")
@click.option(
    "--urgency",
    type=click.IntRange(0, 9),
    default=5,
    show_default=True,
    help="The greater the sooner.",
)
@click.option(
    "--latest",
    default="",
    help="It should have begun by then: a time (RFC 3339), or a duration from now.",
)
@click.option(
    "--lasts",
    default="30m",
    show_default=True,
    help="How long the work takes; without a worker the machine is given back after that.",
)
@click.option(
    "--why",
    type=click.Choice(["operator", "verdict", "calendar"]),
    default="operator",
    show_default=True,
)
@click.option("--worker", default="", help="Who does the work, and says so by `renew`.")
@URL
def ask(
    machine: str, urgency: int, latest: str, lasts: str, why: str, worker: str, url: str
) -> None:
    """Ask for a machine to be taken out."""
    ident = f"cli-{machine[:200]}-{os.getpid()}-{time.time_ns()}"  # makes retries of the request idempotent
    _post_and_print(
        "turns",
        url,
        {
            "machine": machine,
            "urgency": urgency,
            "latest": latest,
            "lasts": lasts,
            "why": why,
            "worker": worker,
            "ident": ident,
        },
    )


@turns.command("list")
@URL
def list_command(url: str) -> None:
    """All turns: those whose machines are closed, then those that wait, in their order, then those that are over."""

    def call(client: Client) -> None:
        for each in client.at_leader("turns", None, "GET")["items"]:
            click.echo(_describe(each))

    with_client(url, call)


@turns.command()
@click.argument("number", type=int)
@click.option("--worker", default=None)
@URL
def renew(number: int, worker: str | None, url: str) -> None:
    """Say that its worker is there. Only while this tells `out` may the machine be worked on."""
    _post_and_print(f"turns/{number}/renew", url, {"worker": worker} if worker else {})


@turns.command()
@click.argument("number", type=int)
@click.option("--worker", default=None)
@URL
def back(number: int, worker: str | None, url: str) -> None:
    """The work is done: the machine is opened, and tried by one placer first."""
    _post_and_print(f"turns/{number}/back", url, {"worker": worker} if worker else {})


@turns.command("give-back")
@click.argument("number", type=int)
@click.option("--worker", default=None, help="Said by its worker.")
@click.option("--note", default="", help="Why, for those who look.")
@click.option(
    "--force",
    is_flag=True,
    help="Also while its worker is heard of, who then has to be stopped by word of mouth.",
)
@URL
def give_back(number: int, worker: str | None, note: str, force: bool, url: str) -> None:
    """Take a turn back: its machine is not worked on, or not any more."""
    _post_and_print(
        f"turns/{number}/give-back",
        url,
        {"note": note, "force": force} | ({"worker": worker} if worker else {}),
    )
