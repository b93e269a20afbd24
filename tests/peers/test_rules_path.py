"""Agreed rules end to end on a virtual clock: fronts, voters' stores, the send gate, the module, settings."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.peers.stage import RULES, AgreementStage
from tests.stage import S, Stage
from wingbarrow.config import SettingsError, load_text
from wingbarrow.kube import names
from wingbarrow.lab.cluster import settings_text
from wingbarrow.lab.workload import TaskSpec, job_value
from wingbarrow.peers.ruleset_settings import agreed_scheduler_settings, requested_rule_set


def test_all_placers_act_on_proposed_rules_and_offers_carry_the_revision() -> None:
    stage = AgreementStage(machines=4, placers=5)

    def script() -> None:
        stage.join()
        assert stage.wait(lambda: stage.all_on("e1"))
        stage.submit("first")
        assert "Placed" in stage.settled("first")
        other = next(slot for slot in stage.cluster.placers[3:])
        status, answer = stage.ask(
            other, "POST", {"ident": "x", "rules": stage.latest_rules(barred=["node-1"])}
        )
        assert status == 307
        assert answer["name"] == stage.leader().name
        status, answer = stage.ask(
            stage.leader(), "POST", {"ident": "x", "rules": stage.latest_rules(barred=["node-1"])}
        )
        assert status == 201
        assert answer["version"] == 2
        assert stage.wait(lambda: stage.all_on("e2"), 5)
        since = stage.hub.now_us()
        for number in range(12):
            stage.submit(f"later-{number}", service="later")
            stage.hub.sleep(S // 10)
        stage.hub.sleep(2 * S)
        sent = [
            each
            for each in stage.cluster.record.records
            if each.what == "offer" and each.at_us > since
        ]
        assert sent
        assert all(each.data["rules"] == "e2" and each.where != "node-1" for each in sent)
        status, answer = stage.ask(
            stage.leader(), "POST", {"ident": "x", "rules": stage.latest_rules()}
        )
        assert status == 201
        assert answer["version"] == 2, "a repeated proposal is accepted once"
        status, answer = stage.ask(
            stage.leader(),
            "POST",
            {"ident": "y", "rules": stage.latest_rules(barred=[]), "base": 1},
        )
        assert status == 409
        assert "has been accepted since" in answer["message"]

    stage.play(script)
    assert stage.audit().clean


def test_agreed_spread_takes_effect_at_once() -> None:
    stage = AgreementStage(machines=3, placers=3)

    def script() -> None:
        stage.join()
        assert stage.wait(lambda: stage.all_on("e1"))
        classes = [
            {**each, "spread_most": 1} if each["name"] == "web" else each
            for each in stage.latest_rules()["classes"]
        ]
        assert (
            stage.ask(
                stage.leader(), "POST", {"ident": "t", "rules": stage.latest_rules(classes=classes)}
            )[0]
            == 201
        )
        assert stage.wait(lambda: stage.all_on("e2"), 5)
        for number in range(4):
            stage.submit(f"s{number}", service="one", runs_s=30, patience_s=2)
        stage.hub.sleep(3 * S)
        placed = [
            job
            for job in stage.jobs()
            if any(each["type"] == "Placed" for each in job["status"]["conditions"])
        ]
        assert len(placed) == 2, "one in each rack of each hall, where three were allowed before"

    stage.play(script)


def test_placer_stopped_beyond_its_lease_sends_nothing_under_old_rules() -> None:
    stage = AgreementStage(machines=4, placers=5)

    def script() -> None:
        stage.join()
        assert stage.wait(lambda: stage.all_on("e1"))
        held = stage.cluster.placers[4]
        for number in range(10):
            want = TaskSpec(0, f"h{number}", "web", f"h{number}", 0.5, 0.5, 5 * S)
            stage.hub.spawn(
                lambda want=want: stage.pool(held.port).request(
                    "POST",
                    "/apis/batch/v1/namespaces/default/jobs",
                    names.encode(job_value(want, want.ident, 20 * S)),
                )
            )
        held.hold(6 * S)
        assert (
            stage.ask(
                stage.leader(),
                "POST",
                {"ident": "n", "rules": stage.latest_rules(barred=["node-0"])},
            )[0]
            == 201
        )
        first_us = stage.hub.now_us()
        stage.hub.sleep(12 * S)
        late = [
            each
            for each in stage.cluster.record.records
            if each.what == "offer"
            and each.data["rules"] == "e1"
            and each.at_us > first_us + 2_100_000
        ]
        assert not late
        assert stage.all_on("e2")

    stage.play(script)


def test_isolated_placer_rejects_jobs_or_goes_on_by_a_floor() -> None:
    stage = AgreementStage(machines=4, placers=5)

    def script() -> None:
        stage.join()
        assert stage.wait(lambda: stage.all_on("e1"))
        for slot in stage.cluster.placers[:3]:
            slot.kill()
        stage.hub.sleep(4 * S)
        alone = stage.cluster.placers[4]
        want = TaskSpec(0, "alone", "web", "alone", 0.5, 0.5, 5 * S)
        body = names.encode(job_value(want, "alone", 5 * S))
        response = stage.pool(alone.port).request(
            "POST", "/apis/batch/v1/namespaces/default/jobs", body
        )
        assert response.status == 503
        assert b"out of touch" in response.body
        for slot in stage.cluster.placers[:3]:
            slot.start()
        assert stage.wait(lambda: stage.all_on("e1"))
        floor = {
            **stage.latest_rules(),
            "cold_shares": [],
            "barred": ["node-0", "node-1"],
            "attempts_most": 2,
        }
        status, _ = stage.ask(
            stage.leader(), "POST", {"ident": "f", "rules": floor, "lastsUs": 60 * S}
        )
        assert status == 201
        stage.hub.sleep(3 * S)
        for slot in stage.cluster.placers[:3]:
            slot.kill()
        stage.hub.sleep(4 * S)
        assert stage.rules_label(alone) == "f1"
        since = stage.hub.now_us()
        assert (
            stage.pool(alone.port)
            .request("POST", "/apis/batch/v1/namespaces/default/jobs", body)
            .status
            == 201
        )
        stage.hub.sleep(2 * S)
        sent = [
            each
            for each in stage.cluster.record.records
            if each.what == "offer" and each.at_us >= since
        ]
        assert sent
        assert all(
            each.data["rules"] == "f1" and each.where in ("node-2", "node-3") for each in sent
        )

    stage.play(script)


def test_voter_that_lost_its_store_reports_it_and_does_not_vote() -> None:
    stage = AgreementStage(machines=2, placers=3)
    events: list[str] = []
    stage.cluster.log = lambda event, level="info", **fields: events.append(event)

    def script() -> None:
        stage.join()
        assert stage.wait(lambda: stage.all_on("e1"))
        lost = next(slot for slot in stage.cluster.placers if slot is not stage.leader())
        lost.kill()
        stage.hub.sleep(S)
        for file in (Path(lost.state) / "rules").iterdir():
            file.unlink()
        (Path(lost.state) / "rules").rmdir()
        lost.start()
        stage.hub.sleep(8 * S)
        assert "rules-voter-without-store" in events
        assert stage.all_on("e1")
        other = next(
            slot
            for slot in stage.cluster.placers
            if slot is not lost and slot is not stage.leader()
        )
        other.kill()
        stage.hub.sleep(8 * S)
        assert stage.rules_label(stage.cluster.placers[0]) in ("", "e1")
        assert not stage.all_on("e1")

    stage.play(script)


def test_invalid_proposals_are_rejected_with_a_reason_and_change_nothing() -> None:
    stage = AgreementStage(machines=2, placers=3)

    def script() -> None:
        stage.join()
        assert stage.wait(lambda: stage.all_on("e1"))
        leader, good = stage.leader(), stage.latest_rules(attempts_most=2)
        for value, status in (
            ({}, 422),
            ({"ident": "a"}, 422),
            ({"ident": "a", "rules": []}, 422),
            ({"ident": "", "rules": good}, 422),
            ({"ident": "a", "rules": {**good, "attempts_most": 0}}, 409),
            ({"ident": "a", "rules": {}}, 409),
            ({"ident": "a", "rules": good, "base": "one"}, 422),
            ({"ident": "a", "rules": stage.latest_rules()}, 409),
            ({"ident": "a", "rules": good, "lastsUs": 5}, 201),
            ({"ident": "b", "rules": stage.latest_rules(attempts_most=9), "lastsUs": 5}, 409),
            ({"ident": "c", "rules": good, "dryRun": True}, 200),
        ):
            assert stage.ask(leader, "POST", value)[0] == status, value
        assert stage.ask(leader, "POST", {"voters": ["x", "y"]}, RULES + "/voters")[0] == 409
        assert stage.ask(leader, "POST", {"voters": 3}, RULES + "/voters")[0] == 422
        assert stage.ask(leader, "GET", None, RULES + "/nonsense")[0] in (404, 405)
        assert stage.all_on("e1")
        assert stage.ask(leader)[1]["version"] == 1

    stage.play(script)


def test_placer_without_agreement_has_no_rules_resource() -> None:
    stage = Stage(machines=1)

    def script() -> None:
        response = stage.pool().request("GET", RULES)
        assert response.status == 404
        assert b"agree" in response.body

    stage.play(script)


@pytest.mark.parametrize(
    ("block", "words"),
    [
        ('agree {\n voter "placer-0"\n voter "b"\n}', "different voters"),
        ('agree {\n voter "b"\n}', "neither"),
        ('agree {\n voter "placer-0"\n}', "state folder"),
        ('agree grant="10s" {\n voter "placer-0"\n}', "200ms to 4s"),
        ("agree {\n}", "different voters"),
        ('agree {\n chief "a"\n}', "unknown node"),
    ],
)
def test_invalid_agree_settings_are_named_with_their_line(block: str, words: str) -> None:
    with pytest.raises(SettingsError, match=words):
        load_text(settings_text(0, 1, 1, 1) + block)


def test_rule_set_of_a_file_and_module_settings_under_it() -> None:
    settings = load_text(
        settings_text(0, 3, 1, 1, 0, "somewhere") + 'bar "n1"\nagree {\n voter "placer-0"\n'
        ' voter "placer-1"\n voter "placer-2"\n member "placer-3"\n}\n'
    )
    rules = requested_rule_set(settings)
    assert dict(rules.cold_shares) == {f"placer-{i}": 5 for i in range(4)}
    assert rules.barred == ("n1",)
    scheduler = agreed_scheduler_settings(settings, rules.text())
    assert divmod(int(scheduler.fresh_offers), scheduler.placers) == (5, 0)
    assert scheduler.attempts_most == 4
