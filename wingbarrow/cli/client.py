"""What a person at a terminal asks of a placer."""

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

SECOND = 1_000_000
_PATHS = {"jobs": "/apis/batch/v1", "nodes": "/api/v1", "events": "/api/v1"}


URL = click.option(
    "--url",
    default="http://127.0.0.1:8080",
    envvar="WINGBARROW_URL",
    show_default=True,
    help="A placer's address.",
)


def need_plots() -> None:
    """Stop with a word where matplotlib is not installed, before any work is done."""
    if importlib.util.find_spec("matplotlib") is None:
        raise click.ClickException("plots need matplotlib: pip install 'wingbarrow[plots]'")


class CommandFailed(Exception):
    """One line for the person."""


LEADERS_MOST = 5  # hops from one placer that does not lead to the next


class Client:
    """Calls on one placer."""

    def __init__(self, hub: Hub, host: str, port: int) -> None:
        self._hub = hub
        self._pool = Pool(hub, host, port, user_agent="wingbarrow-cli")

    def _until(self) -> int:
        return self._hub.now_us() + 10 * SECOND

    def _path(self, kind: str, namespace: str) -> str:
        scope = f"/namespaces/{quote(namespace)}" if namespace and kind != "nodes" else ""
        return f"{_PATHS[kind]}{scope}/{kind}"

    def submit(self, raw: bytes, namespace: str, dry_run: bool) -> dict[str, Any]:
        """Post a Job as it was read."""
        target = self._path("jobs", namespace) + ("?dryRun=All" if dry_run else "")
        try:
            return call(self._pool, "POST", target, raw, self._until())
        except (ApiError, CallFailed) as error:
            raise CommandFailed(str(error)) from None

    def exchange(
        self, method: str, path: str, value: dict[str, Any] | None = None
    ) -> dict[str, Any]:
        """One call on the project's own resources."""
        body = None if value is None else json.dumps(value).encode()
        try:
            return call(self._pool, method, f"/apis/wingbarrow.io/v1/{path}", body, self._until())
        except (ApiError, CallFailed) as error:
            raise CommandFailed(str(error)) from None

    def answers(self) -> AnswerCounts:
        """Final answers that this placer has given, and those that placed nothing."""
        try:
            response = self._pool.request("GET", "/metrics", until_us=self._until())
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

    def others(self) -> list[Client]:
        """Clients of the placers that this one knows and holds for alive; none where it does not tell."""
        try:
            members = self.exchange("GET", "members").get("items", [])
        except CommandFailed:
            return []  # it tells its members to `allow-peer` addresses alone
        found = [
            str(each.get("address", "")).rpartition(":")
            for each in members
            if each.get("standing") == "alive"
        ]
        return [self.elsewhere(host, int(port)) for host, _, port in found if port.isdecimal()]

    def sleep(self, seconds: float) -> None:
        """Let time pass."""
        self._hub.sleep(int(seconds * SECOND))

    def at_leader(
        self, path: str, value: dict[str, Any] | None, method: str = "POST"
    ) -> dict[str, Any]:
        """A call to whoever leads the voters: this placer, or the one that it names."""
        answer = self.exchange(method, path, value)
        for _ in range(LEADERS_MOST):
            if answer.get("kind") != "Leader":
                return answer
            host, _, port = str(answer.get("address", "")).rpartition(":")
            if not port.isdecimal():
                break
            answer = Client(self._hub, host, int(port)).exchange(method, path, value)
        raise CommandFailed("no leader found: the voters are electing one; try again")

    def leader(self) -> Client:
        """A client of the voters' leader, as this placer names it; CommandFailed where it names none."""
        told = self.exchange("POST", "rules", {})
        host, _, port = str(told.get("address", "")).rpartition(":")
        if told.get("kind") != "Leader" or not port.isdecimal():
            raise CommandFailed("no leader found: the voters are electing one; try again")
        return self.elsewhere(host, int(port))

    def elsewhere(self, host: str, port: int) -> Client:
        """A client of another placer."""
        return Client(self._hub, host, port)

    def wait_for_answer(self, job: dict[str, Any]) -> tuple[str, str]:
        """Watch one Job until its answer is there."""
        meta = job["metadata"]
        selector = quote(f"metadata.name={meta['name']}")
        version = ""
        while True:
            target = (
                f"{self._path('jobs', meta['namespace'])}?watch=true&fieldSelector={selector}"
                + (f"&resourceVersion={version}" if version else "")
            )
            try:
                for kind, value in watch(self._pool, target, self._until()):
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
        """Lines about objects."""
        try:
            if name:
                found = [
                    call(
                        self._pool,
                        "GET",
                        f"{self._path(kind, namespace or 'default')}/{quote(name)}",
                        until_us=self._until(),
                    )
                ]
            else:
                query = f"labelSelector={quote(selector)}" if selector else ""
                found, _ = list_all(
                    self._pool, self._path(kind, namespace), query, 500, self._until()
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
        """Show events until the time is over; resume where a connection breaks, list again after 410."""
        end = None if seconds is None else self._hub.now_us() + seconds * SECOND
        version = ""
        while end is None or self._hub.now_us() < end:
            left = 600 if end is None else max(1, (end - self._hub.now_us()) // SECOND)
            query = f"watch=true&allowWatchBookmarks=true&timeoutSeconds={left}"
            query += f"&labelSelector={quote(selector)}" if selector else ""
            query += f"&resourceVersion={version}" if version else ""
            try:
                for event, value in watch(
                    self._pool, f"{self._path(kind, namespace)}?{query}", self._until()
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
                show(f"broken: {error}; going on")
                self._hub.sleep(SECOND)


class FleetAnswers:
    """Counts of answers of all placers that were known at the beginning; of one out of reach, those heard last."""

    def __init__(self, first: Client) -> None:
        self._clients = [first, *first.others()]
        self._last: dict[int, AnswerCounts] = {}

    def count(self) -> AnswerCounts:
        """All together, as of now; CommandFailed where none can be asked."""
        failed: CommandFailed | None = None
        for number, client in enumerate(self._clients):
            try:
                told = client.answers()
            except CommandFailed as error:
                failed = error
                continue
            before = self._last.get(number, AnswerCounts(0, 0))
            # One that began anew counts from nothing: its former answers stay in the sum.
            self._last[number] = (
                told
                if told.answers >= before.answers
                else AnswerCounts(before.answers + told.answers, before.unplaced + told.unplaced)
            )
        if not self._last and failed is not None:
            raise failed
        return AnswerCounts(
            sum(each.answers for each in self._last.values()),
            sum(each.unplaced for each in self._last.values()),
        )

    @property
    def placers(self) -> int:
        """How many are asked."""
        return len(self._clients)


def with_client(url: str, call: Callable[[Client], Any]) -> Any:
    """Run `call` with a client of a placer; exit 1 with one line where it fails."""
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
    """One line about an object."""
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
