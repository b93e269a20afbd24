"""Rule 4 where a cold machine stalls: offers that wait there unread all arrive at once when it resumes."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from tests.conftest import Driver, S, binds, listed, settings
from tests.stage import Stage
from wingbarrow import interface as api
from wingbarrow.lab.build import Build


def cold_driver(**more: Any) -> Driver:
    driver = Driver(replace(settings(), fresh_offers=8.0, arrivals_told=True, **more))
    driver.give(api.MachineList(api.ListForm.SAVED, ()))
    driver.now += 10 * S
    driver.listing(listed(1, launched_us=driver.now - S))
    return driver


def offers(driver: Driver, first: int, count: int) -> list[int]:
    return [
        each.request
        for turn in range(count)
        for each in binds(
            driver.arrive(first + turn, service=f"s{first + turn}", cores=0.1, memory=0.1)
        )
    ]


def test_offers_to_a_cold_machine_count_until_their_arrival_is_known() -> None:
    driver = cold_driver()
    sent = offers(driver, 1, 4)
    assert len(sent) == 4, "half of eight offers, as there are two placers"
    # Longer than the window: counted by their time of sending, the offers would have expired.
    driver.now += 4 * S
    assert not offers(driver, 10, 4)
    for request in sent:
        driver.give(api.TaskNote(request, 0, 1, api.NoteKind.ARRIVED, 0.0))
    assert not offers(driver, 20, 4), "they arrived just now"
    driver.now += 3 * S
    assert offers(driver, 30, 1) or driver.scheduler.handle(driver.now, api.TimerDue("sweep"))


def test_an_offer_that_was_given_up_counts_until_the_machine_sends_a_message() -> None:
    driver = cold_driver()
    sent = offers(driver, 1, 4)
    driver.now += 4 * S
    for request in sent[:3]:
        driver.end(request, 1, api.Outcome.TIMED_OUT, closed=True)
    machine = driver.scheduler._fleet.machines[1]
    assert len(machine.unconfirmed_offers) == 4
    assert not machine.cold_offers
    driver.give(api.TaskNote(sent[3], 0, 1, api.NoteKind.ARRIVED, 0.0))
    assert not machine.unconfirmed_offers
    assert len(machine.cold_offers) == 4


def test_an_offer_that_never_left_takes_nothing_from_the_budget() -> None:
    driver = cold_driver()
    sent = offers(driver, 1, 2)
    for request, outcome in zip(sent, (api.Outcome.NOT_SENT, api.Outcome.UNREACHABLE), strict=True):
        driver.end(request, 1, outcome, closed=True)
    assert not driver.scheduler._fleet.machines[1].unconfirmed_offers
    assert not driver.scheduler._fleet.machines[1].cold_offers


def test_a_stalled_cold_machine_is_not_overloaded_when_it_resumes() -> None:
    """Eight placers; offers are counted at the machine's socket."""
    stage = Stage(machines=1, placers=8, build=Build(cores=64.0, memory=128.0))

    def script() -> None:
        machine = stage.cluster.machines[0]
        stage.cluster.crash(machine, 0.5)
        stage.hub.sleep(2 * S)
        stage.cluster.hold_machine(machine, 6.0)
        for turn in range(120):
            port = stage.cluster.placers[turn % 8].port
            stage.hub.spawn(lambda turn=turn, port=port: stage.post(port, f"j{turn}"))
            stage.hub.sleep(100_000)
        stage.hub.sleep(4 * S)
        assert not machine.crashed_by_load

    stage.play(script)
    found = stage.audit()
    assert found.cold_overruns == 0 and found.offers > 20, found.notes
