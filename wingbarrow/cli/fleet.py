"""`wingbarrow fleet`: fleet-wide limits and verdicts, as the leader has them."""

from __future__ import annotations

import json
from typing import Any

import click

from wingbarrow.cli.client import URL, Client, with_client


@click.group()
def fleet() -> None:
    """What holds for all placers together."""


def _read_from_leader(client: Client, what: str, leader_key: str) -> dict[str, Any]:
    """A resource as the leader has it, whichever placer is asked: only the leader's answer has `leader_key`."""
    answer = client.exchange("GET", what)
    if leader_key in answer:
        return answer
    return client.leader().exchange("GET", what)


@fleet.command()
@click.option("--json", "as_json", is_flag=True)
@URL
def limits(as_json: bool, url: str) -> None:
    """Who holds how much of each limit, what of it is used and wanted, and how old that news is."""

    def call(client: Client) -> None:
        answer = _read_from_leader(client, "limits", "accounts")
        if as_json:
            click.echo(json.dumps(answer))
            return
        if not answer.get("accounts"):
            click.echo("the rules have no limits of the whole fleet")
        for each in answer.get("accounts", []):
            click.echo(
                f"{each['limit']}: {each['most']} in all, {each['free']} with nobody, "
                f"{each['owed']} owed by former lives"
            )
            for held in each["held"]:
                state = "lapsed" if held["lapsed"] else f"{held['ageUs'] / 1e6:.1f} s ago"
                click.echo(
                    f"  {held['placer']}: may {held['share']}, stated {held['uses']}, wants {held['wants']}, "
                    f"counts as {held['counts']}; {state}"
                )

    with_client(url, call)


@fleet.command()
@click.option("--why", "machine", help="Who said what about one machine, when, and what it led to.")
@click.option("--json", "as_json", is_flag=True)
@URL
def verdicts(machine: str | None, as_json: bool, url: str) -> None:
    """Machines that verdicts close for the whole fleet, and those that were found bad and left open."""

    def call(client: Client) -> None:
        answer = _read_from_leader(client, "verdicts", "items")
        if as_json:
            click.echo(json.dumps(answer))
            return
        items = [each for each in answer["items"] if machine in (None, each["machine"])]
        for each in items:
            state = (
                f"ended: {each['ended']}"
                if each["ended"]
                else (
                    f"for {each['leftUs'] / 1e6:.1f} s more, tried for all by {each['prober'] or 'nobody yet'}"
                )
            )
            click.echo(
                f"{each['machine']}: {each['ageUs'] / 1e6:.1f} s old, by {', '.join(each['by'])}; {state}"
            )
        spared = {name: why for name, why in answer["spared"].items() if machine in (None, name)}
        for name, why in spared.items():
            click.echo(f"{name}: left open: {why}")
        for each in answer["witnesses"]:
            if machine is not None and machine in each["evidence"]:
                failed, tried = each["evidence"][machine]
                where = f" of {each['region']}" if each["region"] else ""
                click.echo(
                    f"  {each['placer']}{where}: {failed} of {tried} starts failed; "
                    f"{each['bad']} of {each['tried']} machines bad; "
                    f"{each['ageUs'] / 1e6:.1f} s ago"
                )
        if not items and not spared:
            click.echo("nothing is held against " + (machine or "any machine"))

    with_client(url, call)
