"""Leases on the whole path, on a virtual clock, judged at the machines' sockets and by what owners are told."""

from __future__ import annotations

from tests.peers.regions import Regions
from tests.stage import S


def test_a_leased_job_runs_by_its_lease_and_its_machine_stops_it_where_nobody_renews() -> None:
    stage = Regions()

    def script() -> None:
        stage.join()
        north = stage.cluster.placers[0]
        uid = stage.taken(north, "one")
        start = stage.seen("start", uid=uid)[0]
        assert start.data["session"].startswith("placer-0/") and start.data["until_us"] > start.at_us
        stage.hub.sleep(12 * S)
        assert stage.running(uid) and stage.starts(uid) == 1, "renewed, it runs on"
        stage.taken(north, "bare", spec="")
        north.kill()
        stage.hub.sleep(4 * S)
        end = stage.seen("end", uid=uid)[0]
        assert end.data["why"] == "lease" and end.at_us <= stage.hub.now_us() - S // 2
        assert not stage.running(uid)
    stage.play(script)
