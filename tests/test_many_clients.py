"""Many clients of one placer at once: most are well-behaved, some read nothing, one sends a byte a second."""

from __future__ import annotations

import resource

from tests.stage import JOBS, S, Stage
from wingbarrow.http.watching import watch
from wingbarrow.transport import Nursery, PeerGone, connect


def test_two_thousand_clients_and_five_hundred_watchers_are_served() -> None:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 16_384), hard))
    stage = Stage(machines=4)

    def script() -> None:
        hub, front = stage.hub, stage.cluster.placers[0].service.rest  # type: ignore[union-attr]
        port, served, seen, ended = front.port, [], [0] * 500, []

        def ask(number: int) -> None:
            stream = connect(hub, "127.0.0.1", port)
            stream.send(b"GET /api/v1/nodes HTTP/1.1\r\nHost: a\r\n\r\n")
            served.append(stream.receive()[:12])
            stream.close()

        def read_nothing(number: int) -> None:
            stream = connect(hub, "127.0.0.1", port)
            for _ in range(4):
                stream.send(b"GET /api/v1/nodes HTTP/1.1\r\nHost: a\r\n\r\n" * 10)
                hub.sleep(4 * S)
            stream.close()
            ended.append(number)

        def follow(number: int) -> None:
            pool = stage.pool()
            with hub.limit(20 * S):
                for kind, value in watch(pool, f"{JOBS}?watch=true"):
                    assert kind in ("ADDED", "MODIFIED") and value["kind"] == "Job"
                    seen[number] += 1

        def dribble() -> None:
            stream = connect(hub, "127.0.0.1", port)
            try:
                for byte in b"GET /api/v1/nodes HTTP/1.1\r\n":
                    stream.send(bytes([byte]))
                    hub.sleep(S)
            except PeerGone:
                pass
            stream.close()

        with Nursery(hub) as nursery:
            for number in range(500):
                nursery.spawn(lambda number=number: follow(number))
            for number in range(200):
                nursery.spawn(lambda number=number: read_nothing(number))
            for number in range(1800):
                nursery.spawn(lambda number=number: ask(number))
            nursery.spawn(dribble)
            hub.sleep(S)
            for turn in range(4):
                stage.submit(f"t{turn}", runs_s=30)
                assert "Placed" in stage.settled(f"t{turn}", 3)
        assert served == [b"HTTP/1.1 200"] * 1800 and len(ended) == 200
        assert min(seen) == max(seen) >= 8, "each watcher saw every change"
        hub.sleep(12 * S)
        assert front.server.connections < 40

    try:
        stage.play(script)
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    assert stage.audit().clean


def test_a_watcher_that_falls_behind_is_ended_with_410_and_slows_nobody() -> None:
    stage = Stage(machines=2)

    def script() -> None:
        hub, placer = stage.hub, stage.cluster.placers[0].service.placer  # type: ignore[union-attr]
        placer.objects.store.max_window = 32
        slow = connect(hub, "127.0.0.1", stage.cluster.placers[0].port)
        slow.send(f"GET {JOBS}?watch=true HTTP/1.1\r\nHost: a\r\n\r\n".encode())
        hub.sleep(S // 10)
        counts = [0]

        def follow() -> None:
            with hub.limit(9 * S):
                for _ in watch(stage.pool(), f"{JOBS}?watch=true"):
                    counts[0] += 1

        with Nursery(hub) as nursery:
            nursery.spawn(follow)
            big = {"note": "x" * 100_000}
            for turn in range(120):  # about 10 MB: more than the buffers of the sockets hold
                made = stage.submit(f"t{turn}", runs_s=30, cores=0.1, memory=0.1)
                job = placer.job_store.jobs[f"default/{made['metadata']['name']}"]
                job.value["metadata"]["annotations"] = {
                    **job.value["metadata"]["annotations"],
                    **big,
                }
                placer.objects.jobs.put(job.key, job.value)
                hub.sleep(S // 20)
        assert counts[0] >= 240, "the other watcher saw all changes"
        data = b""
        while b"\r\n0\r\n\r\n" not in data[-4096:]:
            part = slow.receive(1 << 20)
            if not part:
                break
            data += part
        slow.close()
        assert b'"type":"ERROR"' in data and b'"code":410' in data

    stage.play(script)
