"""Client of a placer's REST API for the sub-commands of the command line."""

from __future__ import annotations

import importlib.util
import json
import sys
from collections.abc import Callable, Iterator
from typing import Any
from urllib.parse import quote, urlsplit

import click
from prometheus_client.parser import text_string_to_metric_families

from wingbarrow.decide.rulesets.canary import AnswerCounts
from wingbarrow.http.client import CallFailed, Pool
from wingbarrow.http.watching import call, list_all, watch
from wingbarrow.kube.status import ApiError
from wingbarrow.transport import Hub

US_PER_SECOND = 1_000_000
_PATHS = {"jobs": "/apis/batch/v1", "nodes": "/api/v1", "events": "/api/v1"}


URL = click.option(
    "--url",
    default="http://127.0.0.1:8080",
    envvar="WINGBARROW_URL",
    show_default=True,
    help="A placer's address.",
)


def require_matplotlib() -> None:
    """Raise ClickException if matplotlib is not installed; called before any work is done."""
    if importlib.util.find_spec("matplotlib") is None:
        raise click.ClickException("plots need matplotlib: pip install 'wingbarrow[plots]'")


class CommandFailed(Exception):
    """A call failed; the message is one line for the user."""


MAX_LEADER_HOPS = 5  # redirects followed from a placer that is not the leader


class Client:
    """Calls one placer. All methods raise CommandFailed if a call fails, unless they say otherwise."""

    def __init__(self, hub: Hub, host: str, port: int) -> None:
        self._hub = hub
        self._pool = Pool(hub, host, port, user_agent="wingbarrow-cli")

    def _deadline_us(self) -> int:
        return self._hub.now_us() + 10 * US_PER_SECOND

    def _path(self, kind: str, namespace: str) -> str:
        scope = f"/namespaces/{quote(namespace)}" if namespace and kind != "nodes" else ""
        return f"{_PATHS[kind]}{scope}/{kind}"

    def submit(self, raw: bytes, namespace: str, dry_run: bool) -> dict[str, Any]:
        """Create a Job from JSON text; returns the created Job."""
        target = self._path("jobs", namespace) + ("?dryRun=All" if dry_run else "")
        try:
            return call(self._pool, "POST", target, raw, self._deadline_us())
        except (ApiError, CallFailed) as error:
            raise CommandFailed(str(error)) from None

    def exchange(
        self, method: str, path: str, value: dict[str, Any] | None = None
    ) -> dict[str, Any]:
        """One call below /apis/wingbarrow.io/v1; returns the decoded response."""
        body = None if value is None else json.dumps(value).encode()
        try:
            return call(
                self._pool, method, f"/apis/wingbarrow.io/v1/{path}", body, self._deadline_us()
            )
        except (ApiError, CallFailed) as error:
            raise CommandFailed(str(error)) from None

    def answers(self) -> AnswerCounts:
        """Counts of the placer's final answers, and of those that placed nothing, from its metrics."""
        try:
            response = self._pool.request("GET", "/metrics", until_us=self._deadline_us())
            families = list(text_string_to_metric_families(response.body.decode()))
        except (CallFailed, ValueError) as error:
            raise CommandFailed(str(error)) from None
        found = {
            sample.labels["answer"]: int(sample.value)
            for family in families
            if family.name == "wingbarrow_answers"
            for sample in family.samples
            if sample.name.endswith("_total")
        }
        return AnswerCounts(
            sum(found.values()), sum(count for answer, count in found.items() if answer != "placed")
        )

    def live_peers(self) -> list[Client]:
        """Clients of the placers that this one reports as alive; none if it does not report its members."""
        try:
            members = self.exchange("GET", "members").get("items", [])
        except CommandFailed:
            return []  # members are reported only to `allow-peer` addresses
        found = [
            str(each.get("address", "")).rpartition(":")
            for each in members
            if each.get("standing") == "alive"
        ]
        return [self.client_at(host, int(port)) for host, _, port in found if port.isdecimal()]

    def sleep(self, seconds: float) -> None:
        """Wait for a number of seconds."""
        self._hub.sleep(int(seconds * US_PER_SECOND))

    def at_leader(
        self, path: str, value: dict[str, Any] | None, method: str = "POST"
    ) -> dict[str, Any]:
        """A call to the leader of the voters, found by following redirects from this placer."""
        answer = self.exchange(method, path, value)
        for _ in range(MAX_LEADER_HOPS):
            if answer.get("kind") != "Leader":
                return answer
            host, _, port = str(answer.get("address", "")).rpartition(":")
            if not port.isdecimal():
                break
            answer = Client(self._hub, host, int(port)).exchange(method, path, value)
        raise CommandFailed("no leader found: the voters are electing one; try again")

    def leader(self) -> Client:
        """A client of the leader that this placer reports; CommandFailed if it reports none."""
        answer = self.exchange("POST", "rules", {})
        host, _, port = str(answer.get("address", "")).rpartition(":")
        if answer.get("kind") != "Leader" or not port.isdecimal():
            raise CommandFailed("no leader found: the voters are electing one; try again")
        return self.client_at(host, int(port))

    def client_at(self, host: str, port: int) -> Client:
        """A client of another placer."""
        return Client(self._hub, host, port)

    def wait_for_answer(self, job: dict[str, Any]) -> tuple[str, str]:
        """Watch one Job until it has an answer: (answer, message), with "deleted" if it is deleted before."""
        meta = job["metadata"]
        selector = quote(f"metadata.name={meta['name']}")
        version = ""
        while True:
            target = (
                f"{self._path('jobs', meta['namespace'])}?watch=true&fieldSelector={selector}"
                + (f"&resourceVersion={version}" if version else "")
            )
            try:
                for kind, value in watch(self._pool, target, self._deadline_us()):
                    version = value["metadata"]["resourceVersion"]
                    if kind == "DELETED":
                        return "deleted", ""
                    for each in value.get("status", {}).get("conditions", []):
                        if each["type"] in ("Placed", "Failed"):
                            answer = (
                                "placed" if each["type"] == "Placed" else each["reason"].lower()
                            )
                            return answer, each.get("message", "")
            except ApiError as error:
                if error.code != 410:
                    raise CommandFailed(str(error)) from None
                version = ""
            except (CallFailed, ValueError) as error:
                raise CommandFailed(str(error)) from None

    def get(
        self, kind: str, name: str | None, namespace: str, selector: str, as_json: bool
    ) -> Iterator[str]:
        """One line for each object: JSON, or a description."""
        try:
            if name:
                found = [
                    call(
                        self._pool,
                        "GET",
                        f"{self._path(kind, namespace or 'default')}/{quote(name)}",
                        until_us=self._deadline_us(),
                    )
                ]
            else:
                query = f"labelSelector={quote(selector)}" if selector else ""
                found, _ = list_all(
                    self._pool, self._path(kind, namespace), query, 500, self._deadline_us()
                )
        except (ApiError, CallFailed, ValueError) as error:
            raise CommandFailed(str(error)) from None
        for value in found:
            yield json.dumps(value) if as_json else describe(kind, value)

    def watch(
        self,
        kind: str,
        namespace: str,
        selector: str,
        seconds: int | None,
        as_json: bool,
        show: Callable[[str], Any],
    ) -> None:
        """Pass a line for each event to `show` for `seconds`, or without end if None.

        Resumes the watch after a broken connection, and starts over with a list after 410 (Gone).
        """
        end = None if seconds is None else self._hub.now_us() + seconds * US_PER_SECOND
        version = ""
        while end is None or self._hub.now_us() < end:
            left = 600 if end is None else max(1, (end - self._hub.now_us()) // US_PER_SECOND)
            query = f"watch=true&allowWatchBookmarks=true&timeoutSeconds={left}"
            query += f"&labelSelector={quote(selector)}" if selector else ""
            query += f"&resourceVersion={version}" if version else ""
            try:
                for event, value in watch(
                    self._pool, f"{self._path(kind, namespace)}?{query}", self._deadline_us()
                ):
                    version = value["metadata"]["resourceVersion"]
                    if event != "BOOKMARK":
                        show(
                            json.dumps({"type": event, "object": value})
                            if as_json
                            else f"{event:<9}{describe(kind, value)}"
                        )
            except ApiError as error:
                if error.code != 410:
                    raise CommandFailed(str(error)) from None
                version = ""
            except (CallFailed, ValueError) as error:
                show(f"watch interrupted: {error}; retrying")
                self._hub.sleep(US_PER_SECOND)


class FleetAnswers:
    """Total counts of answers of all placers known at the start; for an unreachable one, its last known counts."""

    def __init__(self, first: Client) -> None:
        self._clients = [first, *first.live_peers()]
        self._last: dict[int, AnswerCounts] = {}

    def count(self) -> AnswerCounts:
        """The current totals; CommandFailed if no placer has ever been reached."""
        failed: CommandFailed | None = None
        for number, client in enumerate(self._clients):
            try:
                counts = client.answers()
            except CommandFailed as error:
                failed = error
                continue
            before = self._last.get(number, AnswerCounts(0, 0))
            # A restarted placer counts from zero again; its earlier answers stay in the sum.
            self._last[number] = (
                counts
                if counts.answers >= before.answers
                else AnswerCounts(
                    before.answers + counts.answers, before.unplaced + counts.unplaced
                )
            )
        if not self._last and failed is not None:
            raise failed
        return AnswerCounts(
            sum(each.answers for each in self._last.values()),
            sum(each.unplaced for each in self._last.values()),
        )

    @property
    def placers(self) -> int:
        """The number of placers that are counted."""
        return len(self._clients)


def with_client(url: str, call: Callable[[Client], Any]) -> Any:
    """Run `call` with a client of a placer; exits with 1 and one line of error if it fails."""
    parts = urlsplit(url)
    if parts.scheme != "http" or not parts.hostname:
        raise click.BadParameter(f"not an http:// address: {url}")
    hub = Hub()
    try:
        return hub.run(lambda: call(Client(hub, parts.hostname or "", parts.port or 80)))
    except CommandFailed as error:
        click.echo(str(error), err=True)
        sys.exit(1)
    except KeyboardInterrupt:
        sys.exit(130)


def describe(kind: str, value: dict[str, Any]) -> str:
    """One line that describes an object of a kind ("jobs", "nodes" or "events")."""
    meta = value.get("metadata", {})
    name = f"{meta['namespace']}/{meta['name']}" if meta.get("namespace") else str(meta.get("name"))
    if kind == "jobs":
        status = value.get("status", {})
        words = ",".join(
            f"{each['type']}({each['reason']})" for each in status.get("conditions", [])
        )
        figures = " ".join(
            f"{key}={status.get(key, 0)}" for key in ("active", "ready", "succeeded", "failed")
        )
        return f"{name}  {figures}  {words or 'asked'}"
    if kind == "nodes":
        state = "draining" if value.get("spec", {}).get("unschedulable") else "running"
        labels = meta.get("labels", {})
        return f"{name}  {state}  {labels.get('topology.kubernetes.io/zone', '')}"
    about = value.get("involvedObject", {})
    return f"{value.get('lastTimestamp')}  {value.get('reason')}  {about.get('name')}  {value.get('message')}"
