"""`wingbarrow rules`: the agreed rule sets: state, history, proposals with a canary analysis, floors, voters."""

from __future__ import annotations

import json
import secrets
import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

import click

from wingbarrow.cli.client import URL, Client, CommandFailed, FleetAnswers, with_client
from wingbarrow.config import PlacerSettings, SettingsError, load_file, parse_duration
from wingbarrow.decide.rulesets.agreed_drains import DrainPlan
from wingbarrow.decide.rulesets.canary import CanaryAdvice, CanaryAnalysis
from wingbarrow.decide.rulesets.comparison import allows, contradict
from wingbarrow.decide.rulesets.diff import differences
from wingbarrow.decide.rulesets.parsing import parse_rule_set
from wingbarrow.decide.rulesets.ruleset import RuleSet
from wingbarrow.decide.rulesets.versions import RECOVERED, REVISIONS_SKIPPED_AT_RECOVERY, from_text
from wingbarrow.peers.ruleset_settings import requested_rule_set, with_current_drains
from wingbarrow.store.voter_store import StoreError, become_sole_voter, create
from wingbarrow.store.voter_store import load as load_store

US_PER_SECOND = 1_000_000
RECOVERY_RISKS = (
    "risked: what was decided without this voter is gone, and what was proposed and not decided may come to be;",
    "risked: placers go by rules of the voters that are lost until their grants, and floors, have lapsed;",
    "risked: a lost voter that comes back with its store, out of touch with this one, could decide as before: "
    "remove those stores for good",
)


@click.group()
def rules() -> None:
    """Rules with versions on which the placers agree."""


def _settings(path: Path) -> PlacerSettings:
    try:
        return load_file(path)
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(2)


def _rules_of(path: Path) -> RuleSet:
    try:
        return requested_rule_set(_settings(path))
    except SettingsError as error:  # in one of the calendars that the file names
        click.echo(str(error), err=True)
        sys.exit(2)


def _state(client: Client) -> dict[str, Any]:
    return client.exchange("GET", "rules")


def _voter_state(client: Client) -> dict[str, Any]:
    """The state of a voter: of this placer, or of the leader that it reports."""
    state = _state(client)
    if "versions" in state:
        return state
    return _state(client.leader())


def _rules_of_version(state: dict[str, Any], number: int) -> RuleSet:
    for each in state["versions"]:
        if each["number"] == number and each["rules"] is not None:
            return parse_rule_set(json.dumps(each["rules"]))
    kept = [str(each["number"]) for each in state["versions"] if each["rules"] is not None]
    raise CommandFailed(f"version {number} is not kept; there are {', '.join(kept) or 'none'}")


def _rollback_rules(state: dict[str, Any], number: int) -> RuleSet:
    """The rules of an earlier version, with the requested and cancelled drains of the latest."""
    return with_current_drains(
        _rules_of_version(state, number), parse_rule_set(json.dumps(state["versions"][-1]["rules"]))
    )


def _propose(
    client: Client,
    wanted: RuleSet,
    base: int,
    why: str,
    *,
    is_dry_run: bool = False,
    lasts_us: int | None = None,
) -> None:
    """Propose a version, or with `lasts_us` a floor, and print the outcome; CommandFailed where it is rejected."""
    value: dict[str, Any] = {
        "ident": f"cli-{secrets.token_hex(8)}",
        "rules": json.loads(wanted.text()),
        "base": base,
        "by": "an operator",
        "why": why,
        "dryRun": is_dry_run,
    }
    if lasts_us is not None:
        value["lastsUs"] = lasts_us
    try:
        accepted = client.at_leader("rules", value)
    except CommandFailed as error:
        if "Timeout" not in str(error) and "504" not in str(error):
            raise
        accepted = client.at_leader("rules", value)  # idempotent: the key is the same
    if is_dry_run:
        click.echo("it would be accepted")
    else:
        click.echo(
            f"accepted: version {accepted['version']}; edition {accepted['edition']} in force, "
            f"{accepted['steps']} to come"
        )


@rules.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--base",
    type=click.IntRange(0),
    help="The version that it changes; the present one without it.",
)
@click.option("--why", default="", help="For the history.")
@click.option(
    "--dry-run", is_flag=True, help="Say what would change, and whether it would be accepted."
)
@click.option(
    "--watch",
    "watch_s",
    type=click.FloatRange(1, 3600),
    help="Look at all placers' answers for so many "
    "seconds before and after; take the change back, and exit 3, where they get worse.",
)
@click.option(
    "--bound",
    type=click.FloatRange(0, 1),
    default=0.05,
    show_default=True,
    help="With --watch: by how much the share of answers that place nothing may rise.",
)
@URL
def propose(
    file: Path,
    base: int | None,
    why: str,
    dry_run: bool,
    watch_s: float | None,
    bound: float,
    url: str,
) -> None:
    """Propose the rules that FILE's settings hold; exit 1 where they are not accepted."""
    from_file = _rules_of(file)

    def call(client: Client) -> int:
        state = _voter_state(client)
        wanted = from_file
        if state["versions"]:
            latest = parse_rule_set(json.dumps(state["versions"][-1]["rules"]))
            wanted = with_current_drains(from_file, latest)
            _show_change(latest, wanted)
        version = state["version"] if base is None else base
        if watch_s is None:
            _propose(client, wanted, version, why, is_dry_run=dry_run)
            return 0
        fleet = FleetAnswers(client)
        counts_at_start = fleet.count()
        client.sleep(watch_s)
        _propose(client, wanted, version, why, is_dry_run=dry_run)
        if dry_run:
            return 0
        at = fleet.count()
        analysis = CanaryAnalysis(
            at.since(counts_at_start), at, bound, int(watch_s * US_PER_SECOND)
        )
        return _watch(client, fleet, analysis, watch_s, version)

    sys.exit(with_client(url, call))


def _show_change(latest: RuleSet, wanted: RuleSet) -> None:
    for line in differences(latest, wanted):
        click.echo(line)
    if contradict(latest, wanted):
        click.echo("it contradicts the version before: the fleet goes by what both allow")
    elif not allows(latest, wanted):
        click.echo("it forbids some of what the version before allows")


def _watch(
    client: Client, fleet: FleetAnswers, analysis: CanaryAnalysis, watch_s: float, version: int
) -> int:
    """Keep the change, or roll back to `version`; returns the exit code, 0 or 3."""
    elapsed_s = 0.0
    step_s = min(1.0, watch_s / 5)
    while True:
        client.sleep(step_s)
        elapsed_s += step_s
        advice = analysis.judge(int(elapsed_s * US_PER_SECOND), fleet.count())
        if advice is CanaryAdvice.KEEP:
            click.echo(
                f"kept: of {analysis.after.answers} answers of {fleet.placers} placer(s) {analysis.after.share:.1%} "
                f"placed nothing, {analysis.rise:+.1%} beside before"
            )
            return 0
        if advice is CanaryAdvice.ROLLBACK:
            click.echo(
                f"of {analysis.after.answers} answers {analysis.after.share:.1%} placed nothing, {analysis.rise:+.1%} "
                f"beside before: back to version {version}"
            )
            state = _voter_state(client)
            _propose(
                client,
                _rollback_rules(state, version),
                state["version"],
                f"back to version {version}: answers got worse",
            )
            return 3


@rules.command()
@click.argument("number", type=click.IntRange(1))
@URL
def rollback(number: int, url: str) -> None:
    """Propose an earlier version anew; drains asked for, or taken back, since then stay as they are."""

    def call(client: Client) -> None:
        state = _voter_state(client)
        _propose(
            client,
            _rollback_rules(state, number),
            state["version"],
            f"back to version {number}",
        )

    with_client(url, call)


@rules.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--lasts", required=True, help="How long one may go on by it without hearing of anybody, as 1h."
)
@URL
def floor(file: Path, lasts: str, url: str) -> None:
    """Have the rules of FILE's settings be the floor: what a placer that is cut off goes on by."""
    wanted = replace(_rules_of(file), windows=(), plan=DrainPlan())
    try:
        lasts_us = parse_duration(lasts)
    except ValueError as error:
        raise click.BadParameter(f"--lasts: {error}") from None
    with_client(url, lambda client: _propose(client, wanted, 0, "floor", lasts_us=lasts_us))


@rules.command()
@click.option("--json", "as_json", is_flag=True)
@URL
def status(as_json: bool, url: str) -> None:
    """What a placer acts on; at a voter also what was decided, at the leader who holds what."""

    def call(client: Client) -> None:
        state = _state(client)
        if as_json:
            click.echo(json.dumps(state))
            return
        left_s = state["grantLeftUs"] / 1e6
        click.echo(
            f"{state['placer']} acts on {state['label'] or 'nothing'} for {left_s:.1f} s more; "
            f"version {state['version']}, leader {state['leader'] or 'unknown'}"
        )
        if "voters" in state:
            click.echo(
                f"edition {state['edition']} in force, {state['steps']} steps to come, "
                f"{len(state['floors'])} floors; voters {', '.join(state['voters'])}"
            )
        for each in state.get("holders", []):
            held = (
                f"for {each['leftUs'] / 1e6:.1f} s at most"
                if each["leftUs"]
                else f"lapsed {each['lapsedUs'] / 1e6:.1f} s ago: it is stopped, gone or cut off"
            )
            click.echo(f"  {each['placer']}: edition {each['edition']}, {held}")

    with_client(url, call)


@rules.command()
@URL
def history(url: str) -> None:
    """All versions that are kept."""

    def call(client: Client) -> None:
        for each in _voter_state(client)["versions"]:
            click.echo(
                f"{each['number']}  {each['digest']}  on {each['base']}  {each['by']}  {each['why']}"
            )

    with_client(url, call)


@rules.command()
@click.argument("one", type=click.IntRange(1))
@click.argument("other", type=click.IntRange(1))
@URL
def diff(one: int, other: int, url: str) -> None:
    """What version OTHER changes of version ONE."""

    def call(client: Client) -> None:
        state = _voter_state(client)
        for line in differences(_rules_of_version(state, one), _rules_of_version(state, other)):
            click.echo(line)

    with_client(url, call)


@rules.command()
@click.argument("names", nargs=-1, required=True)
@URL
def voters(names: tuple[str, ...], url: str) -> None:
    """Make NAMES the voters: one more, or one less, than now."""
    with_client(
        url,
        lambda client: click.echo(
            json.dumps(client.at_leader("rules/voters", {"voters": list(names)}))
        ),
    )


@rules.command()
@click.argument("file", type=click.Path(path_type=Path))
def init(file: Path) -> None:
    """Make the store of the voter that FILE configures, once, before its first start; exit 2 where there is one.

    Never for a voter that has lost its store: leave it out (`rules voters`), and take it in under another name.
    """
    settings = _settings(file)
    if (
        settings.agree is None
        or settings.name not in settings.agree.voters
        or settings.state is None
    ):
        click.echo(f"{file}: {settings.name} is no voter with a state folder", err=True)
        sys.exit(2)
    try:
        create(Path(settings.state) / "rules", settings.agree.voters)
    except StoreError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    click.echo(f"{settings.name} may vote")


@rules.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--yes",
    is_flag=True,
    help="Do it; without this it is told what the store holds and what is risked.",
)
def recover(file: Path, yes: bool) -> None:
    """Make the voter that FILE configures the only one, where a majority of voters is lost for good.

    Its placer must be stopped. Of the voters that are left take the one with the highest term and entry. Others are
    taken in afterwards (`rules voters`). Exit 3 where nothing was done.
    """
    settings = _settings(file)
    if settings.state is None or not (Path(settings.state) / "rules" / "data.mdb").exists():
        click.echo(f"{file}: {settings.name} has no voter's store", err=True)
        sys.exit(2)
    try:
        folder = Path(settings.state) / "rules"
        disk = become_sole_voter(folder, settings.name, RECOVERED) if yes else load_store(folder)
    except StoreError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    agreed = from_text(disk.snapshot_state)
    for entry in disk.log:
        agreed.apply(entry.kind, entry.body)
    click.echo(
        f"{settings.name}: term {disk.term}, last entry {disk.last_log_index} "
        f"of term {disk.term_at(disk.last_log_index)}, "
        f"version {agreed.version}; voters {', '.join(disk.latest_voters())}"
    )
    for line in RECOVERY_RISKS:
        click.echo(line)
    if not yes:
        click.echo("nothing was done: add --yes")
        sys.exit(3)
    click.echo(
        f"{settings.name} decides alone from its next start on; editions go on {REVISIONS_SKIPPED_AT_RECOVERY} further"
    )
