"""The REST front's responses, heads and bodies, byte by byte, on a virtual clock."""

from __future__ import annotations

from typing import Any

from tests.stage import JOBS, S, Stage
from tests.wire.exchange import Transcript
from tests.wire.golden import assert_golden
from wingbarrow.fronts.discovery import DOCUMENTS

NODES, EVENTS = "/api/v1/nodes", "/api/v1/events"


def manifest(
    name: str, cpu: str = "1", count: int = 1, runs_for: str = "", patience: str = ""
) -> dict[str, Any]:
    requests = {"cpu": cpu, "memory": "1Gi"}
    told = {"wingbarrow.io/runs-for": runs_for, "wingbarrow.io/patience": patience}
    return {
        "apiVersion": "batch/v1",
        "kind": "Job",
        "metadata": {
            "name": name,
            "labels": {"wingbarrow.io/class": "web", "team": "x"},
            "annotations": {key: value for key, value in told.items() if value},
        },
        "spec": {
            "parallelism": count,
            "completions": count,
            "template": {
                "metadata": {"labels": {"app": name}},
                "spec": {
                    "restartPolicy": "Never",
                    "containers": [
                        {"name": "main", "image": "i", "resources": {"requests": requests}}
                    ],
                },
            },
        },
    }


def test_discovery_and_health() -> None:
    stage = Stage()
    transcript = Transcript(stage.hub)

    def script() -> None:
        port = stage.cluster.placers[0].port
        for path in (*sorted(DOCUMENTS), "/healthz", "/livez", "/readyz", "/api/v1/namespaces"):
            transcript.ask(port, path)
        transcript.ask(port, "/version", "HEAD")
        transcript.ask(port, "/api/v1/namespaces/other")

    stage.play(script)
    assert_golden("rest/discovery.txt", transcript.data)


def test_jobs_nodes_and_events() -> None:
    stage = Stage()
    transcript = Transcript(stage.hub)

    def script() -> None:
        port = stage.cluster.placers[0].port
        transcript.ask(port, NODES)
        transcript.ask(port, f"{NODES}/node-0")
        transcript.ask(port, f"{NODES}?limit=1")
        transcript.ask(port, JOBS, "POST", manifest("done", runs_for="2s"))
        transcript.ask(port, f"{JOBS}/done", note="asked")
        transcript.ask(port, JOBS, "POST", manifest("many", count=3, runs_for="60s"))
        huge = manifest("huge", cpu="23", count=4, patience="1s", runs_for="60s")
        transcript.ask(port, JOBS, "POST", huge)
        generated = manifest("x")
        generated["metadata"]["generateName"] = "made-"
        del generated["metadata"]["name"]
        transcript.ask(port, f"{JOBS}?dryRun=All", "POST", generated)
        stage.hub.sleep(S // 2)
        transcript.ask(port, f"{JOBS}/done", note="placed")
        stage.hub.sleep(4 * S)
        for name in ("done", "many", "huge"):
            transcript.ask(port, f"{JOBS}/{name}", note="after 4 s")
        transcript.ask(port, "/apis/batch/v1/jobs?labelSelector=team%3Dx&limit=2")
        transcript.ask(port, f"{JOBS}?fieldSelector=metadata.name%3Ddone")
        transcript.ask(port, JOBS, note="all")
        transcript.ask(port, f"{JOBS}/many", "DELETE")
        transcript.ask(port, f"{JOBS}/many", note="deleted")
        transcript.ask(port, EVENTS)
        stage.cluster.crash(stage.cluster.machines[0], 3.0)
        stage.hub.sleep(S)
        transcript.ask(port, NODES, note="a machine has crashed")

    stage.play(script)
    assert_golden("rest/objects.txt", transcript.data)


def test_watches_with_initial_events_bookmarks_and_versions_that_are_gone() -> None:
    stage = Stage()
    for slot in stage.cluster.placers:
        slot.extra = "\nlimits { window 4; }\n"
    transcript = Transcript(stage.hub)
    kinds = "sendInitialEvents=true&resourceVersionMatch=NotOlderThan&allowWatchBookmarks=true"

    def script() -> None:
        port = stage.cluster.placers[0].port
        stage.hub.spawn(lambda: stage.submit("watched", runs_s=2))
        transcript.ask(port, f"{JOBS}?watch=true&timeoutSeconds=5&resourceVersion=0")
        stage.hub.spawn(lambda: stage.submit("meanwhile", runs_s=2))
        transcript.ask(port, f"{NODES}?watch=true&{kinds}&timeoutSeconds=20")
        transcript.ask(port, f"{JOBS}?watch=true&{kinds}&timeoutSeconds=12")
        for number in range(4):
            stage.submit(f"more-{number}", runs_s=1)
            stage.hub.sleep(2 * S)
        transcript.ask(port, f"{JOBS}?watch=true&resourceVersion=1&timeoutSeconds=1")
        transcript.ask(port, f"{JOBS}?watch=true&resourceVersion=99999999999999&timeoutSeconds=1")
        transcript.ask(port, f"{JOBS}?watch=true&sendInitialEvents=true")
        transcript.ask(port, f"{JOBS}?watch=true&resourceVersionMatch=NotOlderThan")
        transcript.ask(
            port, f"{JOBS}?watch=true&sendInitialEvents=true&resourceVersionMatch=NotOlderThan"
        )
        transcript.ask(port, f"{JOBS}?limit=1&continue=nonsense")

    stage.play(script)
    assert_golden("rest/watches.txt", transcript.data)


def test_each_kind_of_status_error() -> None:
    stage = Stage()
    stage.cluster.placers[0].extra = "\nlimits { tasks-open 2; }\n"
    transcript = Transcript(stage.hub)

    def script() -> None:
        port = stage.cluster.placers[0].port

        def post(value: Any, note: str) -> None:
            transcript.ask(port, JOBS, "POST", value, note=note)

        transcript.ask(port, JOBS, "POST", b"{", note="no JSON")
        transcript.ask(port, JOBS, "POST", b"[]", note="no object")
        post({}, "empty")
        post(manifest("Bad Name"), "a bad name")
        bad = manifest("bad", cpu="much", count=0, patience="soon")
        bad["metadata"]["labels"]["wingbarrow.io/class"] = "none"
        post(bad, "several causes")
        post(manifest("one", runs_for="60s"), "accepted")
        post(manifest("one"), "twice")
        post(manifest("two", count=2), "over the bound of open tasks")
        post(manifest("hurry", patience="1ms"), "out of patience")
        transcript.ask(port, f"{JOBS}?dryRun=Some", "POST", manifest("dry"))
        transcript.ask(port, f"{JOBS}/none")
        transcript.ask(port, f"{JOBS}/none", "DELETE")
        wrong = {"preconditions": {"uid": "another"}}
        transcript.ask(port, f"{JOBS}/one", "DELETE", wrong)
        transcript.ask(port, f"{JOBS}/one", "PUT", manifest("one"))
        transcript.ask(port, JOBS, "PATCH", {})
        transcript.ask(port, "/nowhere")
        transcript.ask(port, "/api/v1/secrets")
        transcript.ask(port, f"{JOBS}?limit=x")
        transcript.ask(port, f"{JOBS}?labelSelector=%21%21")
        transcript.ask(port, f"{JOBS}?fieldSelector=spec.none%3D1")
        transcript.ask(port, f"{JOBS}?resourceVersionMatch=Exact")
        transcript.ask(port, f"{JOBS}?resourceVersionMatch=Other")
        transcript.ask(port, f"{JOBS}?resourceVersion=x")
        transcript.ask(port, "/api/v1/namespaces/default/pods/none/eviction", "POST", {})
        for path in ("rules", "limits", "verdicts", "leases", "turns", "unknown", "instance"):
            transcript.ask(port, f"/apis/wingbarrow.io/v1/{path}", note="alone")
        transcript.ask(port, "/apis/wingbarrow.io/v1/drains")
        transcript.ask(port, "/apis/wingbarrow.io/v1/drains", "POST", {"machine": "node-0"})
        transcript.ask(port, "/apis/wingbarrow.io/v1/drains", "PUT", {})
        transcript.ask(port, "/apis/wingbarrow.io/v1/drains/none", "DELETE")

    stage.play(script)
    assert_golden("rest/errors.txt", transcript.data)


def test_drains_asked_of_a_placer_alone() -> None:
    stage = Stage()
    transcript = Transcript(stage.hub)
    drains = "/apis/wingbarrow.io/v1/drains"

    def script() -> None:
        port = stage.cluster.placers[0].port
        transcript.ask(port, drains, "POST", {"machine": "node-1", "lasts": "20s"})
        stage.hub.sleep(S)
        transcript.ask(port, drains)
        transcript.ask(port, f"{NODES}/node-1", note="drained")
        transcript.ask(port, drains, "POST", {"machine": "node-1", "lasts": "20s"}, note="twice")
        transcript.ask(port, drains, "POST", {"machine": "none", "lasts": "20s"})

    stage.play(script)
    assert_golden("rest/drains.txt", transcript.data)
