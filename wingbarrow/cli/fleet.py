"""`wingbarrow fleet`: what holds for all placers together."""

from __future__ import annotations

import json
from typing import Any

import click

from wingbarrow.cli.client import URL, Client, CommandFailed, with_client


@click.group()
def fleet() -> None:
    """What holds for all placers together."""


def _accounts(client: Client) -> dict[str, Any]:
    """As the leader has them, whichever placer was asked."""
    told = client.exchange("GET", "limits")
    if "accounts" in told:
        return told
    leader = client.exchange("POST", "rules", {})
    host, _, port = str(leader.get("address", "")).rpartition(":")
    if leader.get("kind") != "Leader" or not port.isdecimal():
        raise CommandFailed("no leader found: the voters are electing one; try again")
    return client.elsewhere(host, int(port)).exchange("GET", "limits")


@fleet.command()
@click.option("--json", "as_json", is_flag=True)
@URL
def limits(as_json: bool, url: str) -> None:
    """Who holds how much of each limit, what of it is used and wanted, and how old that news is."""
    def call(client: Client) -> None:
        told = _accounts(client)
        if as_json:
            click.echo(json.dumps(told))
            return
        if not told.get("accounts"):
            click.echo("the rules have no limits of the whole fleet")
        for each in told.get("accounts", []):
            click.echo(f"{each['limit']}: {each['most']} in all, {each['free']} with nobody")
            for held in each["held"]:
                state = "lapsed" if held["lapsed"] else f"{held['ageUs'] / 1e6:.1f} s ago"
                click.echo(f"  {held['placer']}: may {held['share']}, stated {held['uses']}, wants {held['wants']}, "
                           f"counts as {held['counts']}; {state}")
    with_client(url, call)
