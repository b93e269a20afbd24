"""The REST front: Jobs (batch/v1), Nodes and Events (v1) by the conventions of the Kubernetes API, and metrics."""

from __future__ import annotations

from collections.abc import Callable
from urllib.parse import unquote

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from wingbarrow.core.placer import Placer
from wingbarrow.decide.buffer_budget import BufferBudget
from wingbarrow.fronts.discovery import DOCUMENTS
from wingbarrow.fronts.drains import DrainsFront
from wingbarrow.fronts.unknown import UnknownFront
from wingbarrow.http.listwatch import ListWatch, Query, error_answer
from wingbarrow.http.message import Limits, Request
from wingbarrow.http.server import Answer, Server, ServerLimits
from wingbarrow.kube import names
from wingbarrow.kube.status import ApiError
from wingbarrow.peers.instances_api import InstancesApi
from wingbarrow.peers.leases_api import LeasesApi
from wingbarrow.peers.limits_api import LimitsApi
from wingbarrow.peers.maintenance_api import MaintenanceApi
from wingbarrow.peers.rulesets_api import RuleSetsApi
from wingbarrow.transport import Hub

_COLLECTIONS = {("batch/v1", "jobs"), ("v1", "nodes"), ("v1", "events")}


class RestFront:
    """Routes requests to the core, to the list and watch of the store, and to the placers' own resources."""

    def __init__(self, hub: Hub, placer: Placer, log: Callable[..., None]) -> None:
        self._placer = placer
        self._log = log
        limits = placer.context.settings.limits
        store = placer.objects.store
        seed = placer.context.settings.seed
        self.resources = {
            "jobs": ListWatch(
                hub, store, placer.objects.jobs, "Job", "batch/v1", limits.watchers, seed
            ),
            "nodes": ListWatch(
                hub, store, placer.objects.nodes, "Node", "v1", limits.watchers, seed + 1
            ),
            "events": ListWatch(
                hub, store, store.collection("events"), "Event", "v1", limits.watchers, seed + 2
            ),
        }
        self.server = Server(
            hub,
            placer.context.settings.host,
            placer.context.settings.port,
            self.handle,
            self._log_warning,
            ServerLimits(connections=limits.connections, message=Limits(body=limits.body)),
            self._rejection,
            BufferBudget(limits.buffered),
        )
        self.port = self.server.port
        self.instances = InstancesApi(
            hub,
            lambda: placer.context.settings,
            placer.peer_hints,
            placer.peering,
            placer.context.started_us,
            log,
        )
        self.rules = RuleSetsApi(hub, placer.peering)
        self.limits = LimitsApi(hub, placer.peering)
        self.leases = LeasesApi(hub, placer.peering)
        self.maintenance = MaintenanceApi(hub, placer.peering, self.rules)
        self.drains = DrainsFront(hub, placer.drainer, self.rules)
        self.unknown = UnknownFront(placer)
        placer.peering.address = f"{placer.context.settings.host}:{self.port}"
        self._registry = CollectorRegistry()
        self._registry.register(self)
        self.responses_by_status: dict[int, int] = {}

    def _log_warning(self, text: str) -> None:
        self._log("front", level="warning", text=text)

    def _rejection(self, status: int, why: str) -> Answer:
        return error_answer(
            ApiError(status, why, retry_after_s=1 if status in (429, 503) else None)
        )

    def handle(self, request: Request) -> Answer:
        """Answer one request; an ApiError is answered as a Status object."""
        try:
            answer = self._route(request)
        except ApiError as error:
            answer = error_answer(error)
        self.responses_by_status[answer.status] = self.responses_by_status.get(answer.status, 0) + 1
        return answer

    def _route(self, request: Request) -> Answer:
        raw, _, query_text = request.target.partition("?")
        path = raw.rstrip("/") or "/"
        if path in DOCUMENTS:
            self._require_method(request, "GET", "HEAD")
            return Answer(200, names.encode(DOCUMENTS[path]))
        if path in ("/healthz", "/livez"):
            return Answer(200, b"ok", content_type="text/plain")
        if path == "/readyz":
            ready = self._placer.ready
            return Answer(
                200 if ready else 503,
                b"ok" if ready else b"no list of machines yet",
                content_type="text/plain",
            )
        if path == "/metrics":
            return Answer(
                200, generate_latest(self._registry), content_type="text/plain; version=0.0.4"
            )
        parts = [unquote(part) for part in path.split("/")[1:]]
        if parts[:2] == ["api", "v1"]:
            return self._resource(request, "v1", parts[2:], Query(query_text))
        if parts[:4] == ["apis", "wingbarrow.io", "v1", "drains"]:
            return self.drains.handle(request, parts[4:])
        if parts[:4] == ["apis", "wingbarrow.io", "v1", "turns"]:
            return self.maintenance.handle(request, parts[4:])
        if parts[:4] == ["apis", "wingbarrow.io", "v1", "rules"]:
            return self.rules.handle(request, parts[4:])
        if parts[:4] == ["apis", "wingbarrow.io", "v1", "unknown"]:
            return self.unknown.handle(request, parts[4:])
        if parts[:3] == ["apis", "wingbarrow.io", "v1"] and parts[3:] in (["limits"], ["verdicts"]):
            return self.limits.handle(request, parts[3])
        if parts[:3] == ["apis", "wingbarrow.io", "v1"] and parts[3:] == ["leases"]:
            return self.leases.handle(request)
        if parts[:3] == ["apis", "wingbarrow.io", "v1"]:
            return self.instances.handle(request, parts[3:], Query(query_text))
        if parts[:3] == ["apis", "batch", "v1"]:
            return self._resource(request, "batch/v1", parts[3:], Query(query_text))
        raise ApiError(404, "the server could not find the requested resource", "NotFound")

    def _resource(self, request: Request, version: str, parts: list[str], query: Query) -> Answer:
        namespace = ""
        if parts[:1] == ["namespaces"]:
            if len(parts) <= 2 and version == "v1":
                return self._namespaces(parts[1:])
            if len(parts) >= 3:
                namespace, parts = parts[1], parts[2:]
        name = parts[0] if parts else ""
        if name == "pods" and len(parts) == 3 and parts[2] == "eviction" and namespace:
            self._require_method(request, "POST")
            self._placer.admission.evict(parts[1])
            return Answer(
                201,
                names.encode(
                    {"kind": "Status", "apiVersion": "v1", "metadata": {}, "status": "Success"}
                ),
            )
        if (version, name) not in _COLLECTIONS or len(parts) > 2 or (namespace and name == "nodes"):
            raise ApiError(404, "the server could not find the requested resource", "NotFound")
        resource = self.resources[name]
        prefix = f"{namespace}/" if namespace else ""
        if len(parts) == 2:
            if name != "nodes" and not namespace:
                raise ApiError(404, "the server could not find the requested resource", "NotFound")
            self._require_method(request, "GET", "HEAD", *(("DELETE",) if name == "jobs" else ()))
            if request.method == "DELETE":
                return self._delete(request, prefix + parts[1], query)
            return resource.get(prefix + parts[1])
        if request.method == "POST" and name == "jobs" and namespace:
            return self._create(request, namespace, query)
        self._require_method(
            request, "GET", "HEAD", *(("POST",) if name == "jobs" and namespace else ())
        )
        return resource.list_or_watch(query, prefix, request.get("user-agent") or "")

    def _namespaces(self, parts: list[str]) -> Answer:
        """Every namespace exists; `default` and those of the current Jobs are listed."""
        if parts:
            return Answer(200, names.encode(_namespace(parts[0])))
        found = self._placer.admission.namespaces()
        return Answer(
            200,
            names.encode(
                {
                    "kind": "NamespaceList",
                    "apiVersion": "v1",
                    "metadata": {"resourceVersion": str(self._placer.objects.store.version)},
                    "items": [_namespace(each) for each in found],
                }
            ),
        )

    def _require_method(self, request: Request, *methods: str) -> None:
        if request.method not in methods:
            raise ApiError(405, f"{request.method} is not supported here; {', '.join(methods)} are")

    def _read_body(self, request: Request) -> dict[str, object]:
        kind = (request.get("content-type") or "application/json").partition(";")[0].strip().lower()
        if kind != "application/json":
            raise ApiError(415, f"the body's type is {kind[:80]}; application/json is wanted")
        try:
            return names.decode(request.body)
        except ValueError as error:
            raise ApiError(400, f"the body is no JSON object: {error}", "BadRequest") from None

    def _is_dry_run(self, value: object) -> bool:
        values = [value] if isinstance(value, str) else value
        if values in (None, [], [""]):
            return False
        if values != ["All"]:
            raise ApiError(422, f'dryRun: only "All" is known, not {str(value)[:80]}', "Invalid")
        return True

    def _create(self, request: Request, namespace: str, query: Query) -> Answer:
        self._placer.admission.check_overload(request.earliest_arrival_us)
        value = self._read_body(request)
        made = self._placer.admission.submit(
            value,
            namespace,
            dry_run=self._is_dry_run(query.get("dryRun")),
            arrived_us=request.earliest_arrival_us,
        )
        return Answer(201, names.encode(made))

    def _delete(self, request: Request, key: str, query: Query) -> Answer:
        options = self._read_body(request) if request.body else {}
        dry_run_option = options.get("dryRun")
        uid, wanted = self._placer.admission.uid_of(key), options.get("preconditions")
        if uid is not None and isinstance(wanted, dict) and wanted.get("uid") not in (None, uid):
            raise ApiError(409, f"the UID in the precondition is not that of {key}", "Conflict")
        if self._is_dry_run(query.get("dryRun")) or self._is_dry_run(dry_run_option):
            return self.resources["jobs"].get(key)
        value = self._placer.admission.delete_job(key)
        return Answer(
            200,
            names.encode(
                {
                    "kind": "Status",
                    "apiVersion": "v1",
                    "metadata": {},
                    "status": "Success",
                    "details": {
                        "name": value["metadata"]["name"],
                        "group": "batch",
                        "kind": "jobs",
                        "uid": value["metadata"]["uid"],
                    },
                }
            ),
        )

    def collect(self):  # type: ignore[no-untyped-def]
        """Metrics for Prometheus, read at each scrape."""
        placer = self._placer
        events = CounterMetricFamily(
            "wingbarrow_happenings", "What the placer did and met", labels=["what"]
        )
        for what, count in placer.context.counts.items():
            events.add_metric([what], count)
        for what, count in placer.peering.counts.items():
            events.add_metric([what], count)
        if self.server.over_budget:
            events.add_metric(["front:over buffer budget"], self.server.over_budget)
        for what, count in [
            *placer.job_store.unexpected_transitions.items(),
            *placer.attempts.unexpected_transitions.items(),
        ]:
            events.add_metric(["odd: " + what], count)
        yield events
        answers = CounterMetricFamily(
            "wingbarrow_answers", "First final answers", labels=["answer"]
        )
        for state, count in placer.job_store.answers.items():
            answers.add_metric([state.value], count)
        yield answers
        requests = CounterMetricFamily(
            "wingbarrow_http_responses", "Responses by status", labels=["status"]
        )
        for status, count in self.responses_by_status.items():
            requests.add_metric([str(status)], count)
        yield requests
        for name, help_text, value in (
            (
                "wingbarrow_open_tasks",
                "Tasks that are not over",
                placer.job_store.admission.open_tasks,
            ),
            (
                "wingbarrow_answers_owed",
                "Tasks that wait for a final answer",
                placer.job_store.unanswered,
            ),
            (
                "wingbarrow_stops_owed",
                "Tasks that machines are still to stop",
                placer.stops.pending,
            ),
            (
                "wingbarrow_lag_seconds",
                "How late the process has lately run; fades by half a second by second",
                placer.context.hub.lag_us() / 1e6,
            ),
            ("wingbarrow_lags", "Lags of 50 ms or more so far", placer.context.hub.lag.late_count),
            (
                "wingbarrow_lag_worst_seconds",
                "The longest lag of this process",
                placer.context.hub.lag.worst_us / 1e6,
            ),
            ("wingbarrow_machines", "Machines on the list", len(placer.fleet.reflector.held)),
            *_subset_metrics(placer),
            ("wingbarrow_connections", "Client connections", self.server.connections),
            (
                "wingbarrow_watchers",
                "Open watches",
                sum(each.watchers for each in self.resources.values()),
            ),
        ):
            yield GaugeMetricFamily(name, help_text, value)


def _subset_metrics(placer: Placer) -> list[tuple[str, str, float]]:
    """(name, help, value) of the metrics of a placer with a subset; none if it holds all machines of its region."""
    if placer.subset is None:
        return []
    lingering, reflector = len(placer.subset.lingering), placer.fleet.reflector
    return [
        (
            "wingbarrow_subset_machines",
            "Machines of this placer's subset",
            len(placer.machines.links) - lingering,
        ),
        (
            "wingbarrow_subset_lingering",
            "Machines followed though they have left the subset",
            lingering,
        ),
        (
            "wingbarrow_subset_extra_ranks",
            "Ranks held beyond the replicas by now",
            placer.subset.extra_ranks,
        ),
        (
            "wingbarrow_subset_left_out",
            "Machines on the list that are not held",
            reflector.left_out,
        ),
        (
            "wingbarrow_subset_passed_over",
            "Entries of the list passed over so far",
            reflector.skipped_entries,
        ),
        (
            "wingbarrow_subset_relists",
            "Lists read for machines that came in, so far",
            reflector.supplementary_lists,
        ),
    ]


def _namespace(name: str) -> dict[str, object]:
    return {
        "kind": "Namespace",
        "apiVersion": "v1",
        "metadata": {"name": name},
        "status": {"phase": "Active"},
    }
