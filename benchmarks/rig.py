"""What measurements share: `lab up` for machines and list source, and the placer under test in a `serve` of its own."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from wingbarrow.http.client import Pool
from wingbarrow.http.watching import call
from wingbarrow.lab.cluster import settings_text
from wingbarrow.transport import Hub

SECOND = 1_000_000


@dataclass(frozen=True)
class Rig:
    """Ports and process ids."""

    hub: Hub
    port: int  # of the placer under test
    nodes: dict[str, int]
    lab: int
    serve: int


def asked(hub: Hub, port: int, target: str) -> dict[str, Any]:
    """One GET."""
    return call(Pool(hub, "127.0.0.1", port), "GET", target, None, hub.now_us() + 10 * SECOND)


def watch_ready(lab: subprocess.Popen[str]) -> tuple[int, dict[str, int]]:
    """The list source's port and the machines', once all is ready."""
    source, nodes = 0, {}
    assert lab.stdout is not None
    for line in lab.stdout:
        told = json.loads(line)
        port = int(told["url"].rpartition(":")[2]) if "url" in told else 0
        if told["kind"] == "list-source":
            source = port
        elif told["kind"] == "node":
            nodes[told["name"]] = port
        elif told["kind"] == "ready":
            break
    return source, nodes


@contextmanager
def running(nodes: int) -> Iterator[Rig]:
    """Both processes, the placer with its whole list; both end with the block."""
    program = [sys.executable, "-m", "wingbarrow"]
    begun: list[subprocess.Popen[str]] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            for arguments in (
                ["lab", "up", "--nodes", str(nodes)],
                ["serve", f"{folder}/placer.kdl"],
            ):
                begun.append(
                    subprocess.Popen(
                        [*program, *arguments],
                        text=True,
                        stdout=subprocess.PIPE,
                        stderr=subprocess.DEVNULL,
                    )
                )
                if len(begun) == 1:
                    source, ports = watch_ready(begun[0])
                    Path(folder, "placer.kdl").write_text(
                        settings_text(0, 1, 1, source, 0, folder).replace(
                            '"placer-0"', '"under-test"'
                        )
                    )
            lab, serve = begun
            assert serve.stdout is not None
            port, hub = int(json.loads(serve.stdout.readline())["url"].rpartition(":")[2]), Hub()
            while len(hub.run(lambda: asked(hub, port, "/api/v1/nodes"))["items"]) < nodes:
                time.sleep(0.1)
            time.sleep(1)
            yield Rig(hub, port, ports, lab.pid, serve.pid)
        finally:
            for each in reversed(begun):
                each.send_signal(signal.SIGTERM)
                each.wait(20)
