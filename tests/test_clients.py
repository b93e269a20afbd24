"""The program as its users see it: an unmodified kubernetes client, the command line, signals."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import kubernetes.client as k8s
import pytest
from click.testing import CliRunner
from kubernetes.client.exceptions import ApiException
from kubernetes.watch import Watch

from wingbarrow.cli.main import main
from wingbarrow.lab.cluster import settings_text

WINGBARROW = [sys.executable, "-c", "from wingbarrow.cli.main import main; main()"]


class Lab:
    """`wingbarrow lab up` in a separate process."""

    def __init__(self) -> None:
        self.process = subprocess.Popen(
            [*WINGBARROW, "lab", "up", "--nodes", "4"],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        assert self.process.stdout is not None
        self.lines: list[dict[str, Any]] = []
        for line in self.process.stdout:
            self.lines.append(json.loads(line))
            if self.lines[-1]["kind"] == "ready":
                break
        self.url = next(line["url"] for line in self.lines if line["kind"] == "placer")

    def stop(self) -> int:
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(10)


@pytest.fixture(scope="module")
def lab() -> Iterator[Lab]:
    lab = Lab()
    yield lab
    assert lab.stop() == 0


@pytest.fixture
def api(lab: Lab) -> k8s.ApiClient:
    return k8s.ApiClient(k8s.Configuration(host=lab.url))


def job(name: str, runs: str = "1s", task_class: str = "web", **spec: Any) -> k8s.V1Job:
    return k8s.V1Job(
        api_version="batch/v1",
        kind="Job",
        metadata=k8s.V1ObjectMeta(
            name=name,
            labels={"wingbarrow.io/class": task_class, "of": "test"},
            annotations={"wingbarrow.io/runs-for": runs},
        ),
        spec=k8s.V1JobSpec(
            template=k8s.V1PodTemplateSpec(
                spec=k8s.V1PodSpec(
                    restart_policy="Never",
                    containers=[
                        k8s.V1Container(
                            name="main",
                            image="stand-in",
                            resources=k8s.V1ResourceRequirements(
                                requests={"cpu": "500m", "memory": "256Mi"}
                            ),
                        )
                    ],
                )
            ),
            **spec,
        ),
    )


def test_an_unmodified_client_creates_watches_lists_and_deletes_jobs(api: k8s.ApiClient) -> None:
    batch = k8s.BatchV1Api(api)
    made = batch.create_namespaced_job("default", job("first"))
    assert made.metadata.uid
    assert made.status.start_time
    seen = []
    for event in Watch().stream(
        batch.list_namespaced_job,
        "default",
        field_selector="metadata.name=first",
        resource_version=made.metadata.resource_version,
        timeout_seconds=20,
    ):
        conditions = {each.type for each in event["object"].status.conditions or []}
        seen.append((event["type"], conditions))
        if "Complete" in conditions:
            break
    assert "Placed" in seen[0][1] | seen[-1][1]
    assert seen[-1][1] >= {"Placed", "Complete"}
    assert batch.read_namespaced_job("first", "default").status.succeeded == 1
    assert [
        each.metadata.name
        for each in batch.list_job_for_all_namespaces(label_selector="of=test").items
    ] == ["first"]
    # Some versions of the client return a plain dict.
    deleted = batch.delete_namespaced_job("first", "default")
    assert (deleted if isinstance(deleted, dict) else deleted.to_dict())["status"] == "Success"
    with pytest.raises(ApiException) as caught:
        batch.read_namespaced_job("first", "default")
    assert caught.value.status == 404
    assert json.loads(caught.value.body)["reason"] == "NotFound"


def test_the_client_pages_through_lists_and_gets_errors_as_status(api: k8s.ApiClient) -> None:
    batch = k8s.BatchV1Api(api)
    for turn in range(5):
        batch.create_namespaced_job("pages", job(f"p{turn}", "60s"))
    names, token = [], None
    while True:
        page = batch.list_namespaced_job("pages", limit=2, _continue=token)
        names += [each.metadata.name for each in page.items]
        token = page.metadata._continue
        if not token:
            break
    assert names == [f"p{turn}" for turn in range(5)]
    for bad, status in (
        (job("p0"), 409),
        (job("Bad Name"), 422),
        (job("many", parallelism=100000), 422),
        (job("other", task_class="nope"), 422),
    ):
        with pytest.raises(ApiException) as caught:
            batch.create_namespaced_job("pages", bad)
        body = json.loads(caught.value.body)
        assert caught.value.status == status
        assert body["kind"] == "Status"
        assert body["code"] == status
        assert status != 422 or body["details"]["causes"][0]["field"]
    dry = batch.create_namespaced_job("pages", job("dry"), dry_run="All")
    assert dry.metadata.name == "dry"
    with pytest.raises(ApiException):
        batch.read_namespaced_job("dry", "pages")
    generated = job("x")
    generated.metadata.name, generated.metadata.generate_name = None, "gen-"
    assert batch.create_namespaced_job("pages", generated).metadata.name.startswith("gen-")
    for turn in range(5):
        batch.delete_namespaced_job(f"p{turn}", "pages")


def test_the_client_lists_and_watches_nodes_events_and_discovery(api: k8s.ApiClient) -> None:
    core = k8s.CoreV1Api(api)
    nodes = core.list_node()
    assert [each.metadata.name for each in nodes.items] == [f"node-{i}" for i in range(4)]
    assert core.read_node("node-0").status.allocatable["cpu"] == "24"
    watch = Watch()
    first = [
        event["object"].metadata.name
        for event, _ in zip(watch.stream(core.list_node, timeout_seconds=5), range(4), strict=False)
    ]
    assert sorted(first) == [f"node-{i}" for i in range(4)]
    assert k8s.VersionApi(api).get_code().major == "1"
    groups = k8s.ApisApi(api).get_api_versions()
    assert [group.name for group in groups.groups] == ["batch"]
    assert {each.name for each in k8s.BatchV1Api(api).get_api_resources().resources} == {"jobs"}
    assert core.list_event_for_all_namespaces().metadata.resource_version


def test_a_watch_with_initial_events_ends_them_with_a_bookmark(lab: Lab) -> None:
    import urllib.request

    query = (
        "watch=true&sendInitialEvents=true&resourceVersionMatch=NotOlderThan&allowWatchBookmarks=true"
        "&timeoutSeconds=1"
    )
    with urllib.request.urlopen(f"{lab.url}/api/v1/nodes?{query}", timeout=10) as answer:
        events = [json.loads(line) for line in answer]
    assert [event["type"] for event in events[:5]] == ["ADDED"] * 4 + ["BOOKMARK"]
    assert events[4]["object"]["metadata"]["annotations"] == {"k8s.io/initial-events-end": "true"}


def run(*words: str, **options: Any) -> Any:
    return CliRunner().invoke(main, list(words), **options)


def test_submit_get_and_watch_commands(lab: Lab, tmp_path: Path) -> None:
    file = tmp_path / "job.json"
    file.write_text(json.dumps(k8s.ApiClient().sanitize_for_serialization(job("by-hand"))))
    url = ["--url", lab.url]
    done = run("submit", str(file), "--wait", *url)
    assert done.exit_code == 0
    assert "default/by-hand accepted" in done.output
    assert "placed" in done.output
    assert run("submit", str(file), *url).exit_code == 1
    assert "by-hand" in run("get", "jobs", *url).output
    assert "node-3" in run("get", "nodes", *url).output
    assert json.loads(run("get", "jobs", "by-hand", "--json", *url).output)["kind"] == "Job"
    assert "node-0" in run("watch", "nodes", "--seconds", "1", *url).output
    missing = run("get", "jobs", "none", *url)
    assert missing.exit_code == 1
    assert "not found" in missing.output
    assert run("get", "jobs", "--url", "http://127.0.0.1:1").exit_code == 1


def test_drains_are_planned_requested_listed_and_cancelled(lab: Lab, tmp_path: Path) -> None:
    url, file = ["--url", lab.url], tmp_path / "windows.kdl"
    file.write_text(
        'window "w" start="2026-12-06T02:00" lasts="2h" each="30m" { machines zone="hall-a"; }\n'
    )
    plan = run(
        "drains",
        "plan",
        str(file),
        "--from",
        "2026-12-05T00:00:00Z",
        "--plot",
        str(tmp_path / "p.png"),
        *url,
    )
    assert plan.exit_code == 0
    assert plan.output.count("planned") == 2
    assert (tmp_path / "p.png").stat().st_size > 1000
    file.write_text('window "w" start="soon" lasts="2h" { machines zone="hall-a"; }\n')
    bad = run("drains", "plan", str(file), *url)
    assert bad.exit_code == 2
    assert f"{file}:1:" in bad.stderr
    asked = run("drains", "now", "node-3", "--lasts", "60s", *url)
    key = asked.output.strip()
    assert asked.exit_code == 0
    assert key in run("drains", "status", *url).output
    assert run("drains", "cancel", key, *url).exit_code == 0
    assert "given up" in run("drains", "status", *url).output
    assert run("drains", "cancel", key, *url).exit_code == 1
    assert run("drains", "now", "none", *url).exit_code == 1
    for words in (
        ("list",),
        ("ask", "node-1", "--latest", "2h"),
        ("renew", "1"),
        ("back", "1"),
        ("give-back", "1"),
    ):
        alone = run("turns", *words, *url)
        assert alone.exit_code == 1 and "agrees on turns with nobody" in alone.output, alone.output


def test_check_names_file_and_line(tmp_path: Path) -> None:
    good, bad = tmp_path / "good.kdl", tmp_path / "bad.kdl"
    good.write_text(settings_text(0, 1, 1, 8001))
    bad.write_text(settings_text(0, 1, 1, 8001) + 'clas "x"\n')
    assert run("check", str(good)).exit_code == 0
    refused = run("check", str(bad))
    line = bad.read_text().count("\n")
    assert refused.exit_code == 2
    assert f"{bad}:{line}: unknown node 'clas'" in refused.stderr
    assert run("check", str(tmp_path / "none.kdl")).exit_code == 2


def test_days_are_listed_and_an_unknown_one_is_refused() -> None:
    listed = run("lab", "day", "--list")
    assert listed.exit_code == 0
    assert "bad-day" in listed.output
    assert run("lab", "day", "no-such").exit_code == 2


def test_serve_reloads_valid_settings_ignores_invalid_ones_and_exits_cleanly(
    tmp_path: Path,
) -> None:
    file = tmp_path / "placer.kdl"
    text = settings_text(0, 1, 1, 9, 0, str(tmp_path / "state"))
    file.write_text(text)
    process = subprocess.Popen(
        [*WINGBARROW, "serve", str(file)], stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True
    )
    assert process.stdout is not None
    assert process.stderr is not None
    log_lines: list[str] = []
    reader = threading.Thread(target=lambda: log_lines.extend(process.stderr or ()))
    reader.start()

    def wait_for(word: str) -> None:
        until = time.monotonic() + 60
        while not any(word in line for line in log_lines):
            assert time.monotonic() < until, log_lines
            time.sleep(0.01)

    url = json.loads(process.stdout.readline())["url"]
    batch = k8s.BatchV1Api(k8s.ApiClient(k8s.Configuration(host=url)))
    file.write_text(text + "limits { tasks-opn 1; }\n")
    process.send_signal(signal.SIGHUP)
    wait_for("settings-refused")
    batch.create_namespaced_job("default", job("one"))
    file.write_text(text + "limits { tasks-open 1; }\n")
    process.send_signal(signal.SIGHUP)
    wait_for("settings-taken")
    with pytest.raises(ApiException) as caught:
        batch.create_namespaced_job("default", job("two"))
    assert caught.value.status == 429
    assert caught.value.headers["Retry-After"] == "1"
    process.send_signal(signal.SIGINT)
    assert process.wait(10) == 0
    reader.join()
    assert not any("Traceback" in line for line in log_lines)


def test_lab_up_reports_ready_once_every_placer_has_the_whole_list() -> None:
    process = subprocess.Popen(
        [*WINGBARROW, "lab", "up", "--nodes", "9", "--placers", "2"],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    assert process.stdout is not None
    placers = []
    try:
        for line in process.stdout:
            event = json.loads(line)
            if event["kind"] == "placer":
                placers.append(event["url"])
            if event["kind"] == "ready":
                break
        for url in placers:
            nodes = k8s.CoreV1Api(k8s.ApiClient(k8s.Configuration(host=url))).list_node().items
            assert len(nodes) == 9
    finally:
        process.send_signal(signal.SIGTERM)
        assert process.wait(10) == 0


def test_lab_up_reports_how_many_descriptors_it_needs_and_the_limit() -> None:
    words = "import resource as r; r.setrlimit(r.RLIMIT_NOFILE, (900, 900)); "
    done = subprocess.run(
        [sys.executable, "-c", words + WINGBARROW[2], "lab", "up", "--nodes", "5000"],
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    assert done.returncode == 2
    assert done.stdout == ""
    assert "40512 file descriptors" in done.stderr
    assert "900" in done.stderr
    assert done.stderr.count("\n") == 1
