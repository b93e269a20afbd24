"""What placers that agree answer operators and each other over REST, byte by byte, and their metrics' names."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from prometheus_client.parser import text_string_to_metric_families

from tests.core.subset_stage import SubsetStage
from tests.peers.regions import Regions
from tests.peers.stage import RULES, AgreementStage
from tests.stage import JOBS, S, Stage
from tests.wire.exchange import Transcript, exchange, json_of
from tests.wire.golden import assert_golden
from wingbarrow.lab.cluster import PlacerSlot

API = "/apis/wingbarrow.io/v1"
LIMITS = (
    'limit "namespace/default" most=20 stranded="5s"\n'
    'limit "class/web" most=50 per="5s"\n'
    'limit "cold"\n'
)
CALENDAR = (
    'calendar zone="UTC"\n'
    'window "patch" start="2030-01-01T02:00" lasts="2h" each="30m" { machines zone="hall-a"; }\n'
)


class Limited(AgreementStage):
    limits = LIMITS


def agreed(stage: AgreementStage) -> tuple[PlacerSlot, PlacerSlot]:
    """The leader, and a placer that does not vote, once all act on the first edition."""
    stage.join()
    assert stage.wait(lambda: stage.all_on("e1"))
    stage.hub.sleep(3 * S)
    return stage.leader(), stage.cluster.placers[-1]


def metrics(stage: Stage, slot: PlacerSlot) -> bytes:
    """Each metric's type, help and samples with their labels; without values, which are the run's."""
    response = exchange(stage.hub, slot.port, "GET", "/metrics")
    lines = []
    for family in text_string_to_metric_families(response.partition(b"\r\n\r\n")[2].decode()):
        lines.append(f"{family.name} {family.type} {family.documentation}")
        lines += sorted(
            f"  {sample.name} {sorted(sample.labels.items())}" for sample in family.samples
        )
    return "\n".join([*lines, ""]).encode()


def test_rules_limits_verdicts_members_and_metrics() -> None:
    stage = Limited(4, 5)
    transcript = Transcript(stage.hub)
    found: list[bytes] = []

    def script() -> None:
        leader, member = agreed(stage)
        for number in range(4):
            stage.post(member.port, f"job-{number}")
        stage.hub.sleep(2 * S)
        for slot, note in ((leader, "leader"), (member, "member")):
            for what in ("rules", "limits", "verdicts", "leases", "members", "instance", "drains"):
                transcript.ask(slot.port, f"{API}/{what}", note=note)
        changed = stage.latest_rules(attempts_most=3)
        wanted: dict[str, Any] = {"ident": "a", "rules": changed, "by": "x", "why": "fewer tries"}
        transcript.ask(member.port, RULES, "POST", wanted, note="member")
        transcript.ask(leader.port, RULES, "POST", {**wanted, "dryRun": True})
        transcript.ask(leader.port, RULES, "POST", wanted)
        transcript.ask(leader.port, RULES, "POST", wanted, note="again")
        transcript.ask(leader.port, RULES, "POST", {**wanted, "ident": "b", "base": 1})
        transcript.ask(leader.port, RULES, "POST", {"ident": "c"})
        floor = {**changed, "attempts_most": 1, "cold_shares": []}
        value = {"ident": "d", "rules": floor, "lastsUs": 3_600 * S}
        transcript.ask(leader.port, RULES, "POST", value, note="floor")
        transcript.ask(leader.port, f"{RULES}/voters", "POST", {"voters": 3})
        transcript.ask(leader.port, f"{RULES}/voters", "POST", {"voters": ["placer-0"]})
        transcript.ask(leader.port, RULES, "PUT", {})
        stage.hub.sleep(5 * S)
        transcript.ask(leader.port, RULES, note="changed")
        transcript.ask(leader.port, f"{API}/peers", "POST", b"no mail")
        for number in range(30):
            stage.post(member.port, f"more-{number}")
        found.extend(metrics(stage, slot) for slot in (leader, member))

    stage.play(script)
    assert_golden("rest/agreed.txt", transcript.data)
    assert_golden("rest/metrics-limits.txt", b"=== a member\n".join(found))


def test_a_verdict_closes_a_machine() -> None:
    stage = AgreementStage(8, 5)
    transcript = Transcript(stage.hub)

    def script() -> None:
        leader, member = agreed(stage)
        stage.cluster.machines[3].faulty = True
        for number in range(125):
            stage.post(stage.cluster.placers[number % 5].port, f"job-{number}")
            stage.hub.sleep(S // 25)
        closed = json_of(transcript.ask(leader.port, f"{API}/verdicts", note="leader"))
        assert [each["machine"] for each in closed["items"]] == ["node-3"]
        transcript.ask(member.port, f"{API}/verdicts", note="member")

    stage.play(script)
    assert_golden("rest/verdicts.txt", transcript.data)


def test_turns() -> None:
    stage = AgreementStage(8, 4)
    transcript = Transcript(stage.hub)
    turns = f"{API}/turns"

    def script() -> None:
        leader, member = agreed(stage)
        wanted = {"machine": "node-2", "urgency": 7, "ident": "once", "lasts": "5m", "worker": "w"}
        transcript.ask(member.port, turns, "POST", wanted, note="member")
        number = json_of(transcript.ask(leader.port, turns, "POST", wanted))["number"]
        one = f"{turns}/{number}"
        transcript.ask(leader.port, turns, "POST", {"machine": "node-2"}, note="twice")
        transcript.ask(leader.port, turns, "POST", {"machine": "none", "worker": "w"})
        transcript.ask(leader.port, turns, "POST", {"machine": "node-1", "urgency": 11})
        transcript.ask(leader.port, turns, "POST", {"machine": "node-1", "lasts": "long"})
        transcript.ask(leader.port, one, note="asked")
        assert stage.wait(lambda: json_of(transcript.ask(leader.port, one))["state"] == "out", 30)
        transcript.ask(leader.port, turns, note="out")
        transcript.ask(leader.port, f"{one}/renew", "POST", {"worker": "w"})
        transcript.ask(leader.port, f"{one}/renew", "POST", {"worker": "another"})
        transcript.ask(leader.port, f"{one}/give-back", "POST", {})
        transcript.ask(leader.port, f"{one}/out-done", "POST", {"worker": "w"})
        transcript.ask(leader.port, f"{one}/renew", "POST", {"worker": "w"}, note="back")
        stage.hub.sleep(40 * S)
        transcript.ask(leader.port, turns, note="done")
        for path, method in ((f"{turns}/99", "GET"), (f"{turns}/x", "GET"), (one, "PUT")):
            transcript.ask(leader.port, path, method)

    stage.play(script)
    assert_golden("rest/turns.txt", transcript.data)


class WithCalendar(Regions):
    """With a calendar and a history."""

    def __init__(self, folder: Path) -> None:
        super().__init__()
        file = folder / "windows.kdl"
        file.write_text(CALENDAR)
        self.specs += f'calendar "{file}"\nhistory "{folder / "history.jsonl"}"\n'


def test_leases_unknown_jobs_and_metrics(tmp_path: Path) -> None:
    stage = WithCalendar(tmp_path)
    transcript = Transcript(stage.hub)
    found: list[bytes] = []

    def script() -> None:
        stage.join()
        north, south, east = stage.cluster.placers[:3]
        stage.submit_placed(north, "one")
        stage.submit_placed(north, "settled", "settlement")
        transcript.ask(north.port, f"{JOBS}/one", note="leased")
        transcript.ask(south.port, f"{API}/leases", note="open")
        transcript.ask(north.port, f"{API}/leases", note="open")
        found.append(metrics(stage, north))
        north.kill()
        others = stage.cluster.placers[1:]

        def keeper() -> PlacerSlot | None:
            """Who is to decide on the Job that must not start twice."""
            lists = ((slot, stage.ask(slot, path=f"{API}/unknown")[1]["items"]) for slot in others)
            return next((slot for slot, items in lists if items), None)

        assert stage.wait(keeper, 25)
        at = keeper()
        assert at is not None
        for slot in {each.name: each for each in (south, east, at)}.values():
            for path in (f"{API}/leases", f"{API}/unknown", JOBS, "/api/v1/events"):
                transcript.ask(slot.port, path, note=f"{slot.name}, after the loss")
            found.append(metrics(stage, slot))
        settled = f"{API}/unknown/default/settled"
        transcript.ask(at.port, settled, "POST", {})
        transcript.ask(at.port, settled, "POST", {"ran": True})
        transcript.ask(at.port, settled, "POST", {"ran": True}, note="again")
        transcript.ask(at.port, f"{JOBS}/settled", note="it ran")

    stage.play(script)
    assert_golden("rest/leases.txt", transcript.data)
    assert_golden("rest/metrics-regions.txt", b"=== another\n".join(found))


def test_metrics_of_a_placer_that_holds_a_subset() -> None:
    stage = SubsetStage(12, 5, 2)
    found: list[bytes] = []

    def script() -> None:
        stage.begin()
        slot = stage.cluster.placers[0]
        stage.post(slot.port, "one")
        stage.hub.sleep(2 * S)
        found.append(metrics(stage, slot))

    stage.play(script, start=False)
    assert_golden("rest/metrics-subset.txt", found[0])
