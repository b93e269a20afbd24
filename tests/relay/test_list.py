"""The follower of the machine list: gaps, damaged entries, silent, lagging and renumbered services."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import pytest

from tests.relay.stage import MS, Journal, Machine, S, Stage
from wingbarrow import interface as api
from wingbarrow.http.message import Request
from wingbarrow.http.server import Answer
from wingbarrow.relay.configuration import Address
from wingbarrow.relay.entries import ListUpdate
from wingbarrow.relay.journal import Follower
from wingbarrow.relay.message import Kind
from wingbarrow.transport import PeerGone

Fault = Callable[[Request], None]


def event(number: object, *entries: object, reset: bool = False) -> dict[str, Any]:
    return {"pos": number, "hosts": {"generation": 1, "reset": reset, "instances": list(entries)}}


def respond(body: bytes, status: bytes = b"200 OK") -> Fault:
    """A fault that sends this answer and ends its connection."""

    def fault(request: Request) -> None:
        request.connection.stream.send(
            b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body)
        )
        raise PeerGone("answered")

    return fault


def answer_with(last: object, *events: object) -> Fault:
    return respond(json.dumps({"pos": last, "entries": events}).encode())


class LossyJournal(Journal):
    """Omits the events in `lost` from its answers, from the first `times` answers that would contain one."""

    lost: frozenset[int] = frozenset()
    times = 1 << 30

    def known(self, after: int = 0) -> dict[str, Any]:
        entries, kept = self.events[after:], self.events[after:]
        if self.times > 0:
            kept = [each for each in entries if each["pos"] not in self.lost]
            self.times -= kept != entries
        return {"pos": len(self.events), "entries": kept}


class ImmediateJournal(Journal):
    """Answers at once, always with all events."""

    def _answer(self, request: Request) -> Answer:
        self.calls.append((self.hub.now_us(), request.target))
        # Without a pause between polls the virtual clock would not advance.
        if len(self.calls) > 100:
            self.hub.sleep(60 * S)
        return Answer(200, json.dumps(self.known()).encode())


def follower(stage: Stage) -> Follower:
    return stage.placer._follower


def change_address(stage: Stage, journal: Journal) -> None:
    follower(stage).change_address(Address("127.0.0.1", journal.server.port))


def switch_to(stage: Stage, journal: Journal) -> None:
    """Copy the stage's events to this journal, and make the placer poll it from now on."""
    journal.events = list(stage.journal.events)
    change_address(stage, journal)
    stage.sleep(20)


def tails(journal: Journal) -> list[int]:
    return [int(target.partition("tail=")[2].partition("&")[0]) for _, target in journal.calls]


def deliveries(stage: Stage) -> list[ListUpdate]:
    """A list that collects what is delivered from now on."""
    delivered: list[ListUpdate] = []
    deliver = follower(stage)._deliver

    def keep(news: ListUpdate) -> None:
        delivered.append(news)
        deliver(news)

    follower(stage)._deliver = keep
    return delivered


def phase(stage: Stage, machine: Machine) -> api.Phase | None:
    link = stage.placer._links.by_name.get(machine.name)
    return None if link is None or link.closed else link.phase


def wait_until(stage: Stage, holds: Callable[[], bool], max_ms: int = 10_000) -> int:
    """Advance time until the condition holds; returns the time that passed, in microseconds."""
    begun = stage.hub.now_us()
    while not holds():
        assert stage.hub.now_us() - begun <= max_ms * MS, (
            f"the condition did not hold within {max_ms} ms"
        )
        stage.sleep(1)
    return stage.hub.now_us() - begun


def submit_five(stage: Stage, first: int = 101) -> None:
    for task in range(first, first + 5):
        stage.owner.ask(task, name=f"{task:016x}", figures=f"cores:1;memory:1;service:s{task}")
    stage.sleep(100)


# -- missing events


def test_an_event_that_never_arrives_does_not_stop_later_events() -> None:
    def play(stage: Stage) -> None:
        journal = LossyJournal(stage.hub)
        journal.lost = frozenset({2})
        switch_to(stage, journal)
        first, second = stage.machines
        journal.add(second.entry())
        journal.add(first.entry("Terminating"))
        assert wait_until(stage, lambda: phase(stage, first) is api.Phase.DRAINING, 500) <= 50 * MS
        submit_five(stage)
        assert not first.set_ups() and len(second.set_ups()) == 5
        journal.add(second.entry("Terminating"))
        assert wait_until(stage, lambda: phase(stage, second) is api.Phase.DRAINING, 500) <= 50 * MS
        stage.sleep(5000)
        assert tails(journal)[:5] == [1, 1, 0, 3, 4] and len(journal.calls) <= 12
        counts = stage.placer.runtime.counts
        assert counts["journal_gaps"] == counts["journal_gaps_given_up"] == 1

    Stage().run(play)


def test_a_missing_event_is_polled_for_and_does_not_revert_later_events() -> None:
    def play(stage: Stage) -> None:
        journal = LossyJournal(stage.hub)
        journal.lost, journal.times = frozenset({2}), 1
        switch_to(stage, journal)
        first, second = stage.machines
        journal.events += [
            event(2, first.entry(), second.entry("Terminating")),
            event(3, first.entry("Terminating")),
        ]
        stage.sleep(100)
        assert [phase(stage, each) for each in stage.machines] == [api.Phase.DRAINING] * 2
        assert (
            tails(journal)[:3] == [1, 1, 3]
            and not stage.placer.runtime.counts["journal_gaps_given_up"]
        )

    Stage().run(play)


def test_a_missing_full_list_does_not_revert_later_events() -> None:
    def play(stage: Stage) -> None:
        journal = LossyJournal(stage.hub)
        journal.lost, journal.times = frozenset({2}), 1
        switch_to(stage, journal)
        first, second = stage.machines
        late = Machine(stage.hub, "s-late")
        journal.events += [
            event(2, first.entry(), reset=True),
            event(3, first.entry("Gone"), late.entry()),
        ]
        stage.sleep(100)
        assert [phase(stage, each) for each in (first, second, late)] == [
            None,
            None,
            api.Phase.RUNNING,
        ]
        assert tails(journal)[:3] == [1, 1, 3]

    Stage().run(play)


def test_an_unreadable_event_does_not_block_the_others() -> None:
    def play(stage: Stage) -> None:
        first, second = stage.machines
        journal = Journal(stage.hub)
        switch_to(stage, journal)
        journal.events += [
            event(2, first.entry("Terminating")),
            {"pos": 3, "hosts": {"instances": 7}},
        ]
        stage.sleep(300)
        assert phase(stage, first) is api.Phase.DRAINING
        journal.add(second.entry("Terminating"))
        stage.sleep(500)
        assert phase(stage, second) is api.Phase.DRAINING
        assert stage.placer.runtime.counts["journal_bad_entries"] >= 1 and len(journal.calls) <= 8

    Stage().run(play)


def test_nothing_is_sent_between_two_events_of_one_answer() -> None:
    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        stage.owner.ask(1)
        stage.sleep(50)
        stage.journal.add(machine.entry("Terminating"))
        stage.sleep(20)
        stage.owner.ask(2, name="2" * 16)  # waits, as its only machine drains
        stage.sleep(20)
        stage.journal.events += [event(3, machine.entry()), event(4, machine.entry("Terminating"))]
        stage.sleep(100)
        assert not machine.set_ups(2)
        assert phase(stage, machine) is api.Phase.DRAINING

    Stage(1).run(play)


# -- damaged entries


@pytest.mark.parametrize(
    "damage",
    [
        {"zone": None},
        {"hostPort": "nowhere"},
        {"cell": "x"},
        {"startedAtMs": "soon"},
        {"lifecycle": "Dancing"},
        {"lifecycle": 7},
        {"lifecycle": ["Ready"]},
    ],
)
def test_a_drain_in_a_damaged_entry_is_applied(damage: dict[str, Any]) -> None:
    def play(stage: Stage) -> None:
        first, second = stage.machines
        stage.journal.add({**first.entry("Terminating"), **damage}, second.entry())
        stage.sleep(20)
        submit_five(stage)
        assert not first.set_ups() and len(second.set_ups()) == 5
        assert stage.placer.runtime.counts["journal_bad_entries"] == 1
        stage.journal.add(first.entry())
        stage.sleep(20)
        stage.journal.add(second.entry("Terminating"))
        stage.sleep(20)
        submit_five(stage, 201)
        assert len(first.set_ups()) == 5, "a valid entry did not end the drain"

    Stage().run(play)


def test_a_damaged_drain_is_applied_to_a_machine_added_by_an_event() -> None:
    def play(stage: Stage) -> None:
        late = Machine(stage.hub, "s-late")
        stage.journal.add(late.entry())
        stage.sleep(20)
        stage.journal.add({**late.entry("Terminating"), "cell": None})
        stage.sleep(20)
        assert phase(stage, late) is api.Phase.DRAINING
        stage.journal.add({**late.entry("Gone"), "cell": None})
        stage.sleep(20)
        assert phase(stage, late) is None
        stage.journal.add({**late.entry(), "cell": None})
        stage.sleep(20)
        assert phase(stage, late) is None, "a damaged entry of an unknown machine was not skipped"
        assert stage.placer.runtime.counts["journal_bad_entries"] == 3

    Stage().run(play)


@pytest.mark.parametrize(
    "damage, then",
    [
        ({"cell": None}, api.Phase.RUNNING),
        ({"lifecycle": 7}, api.Phase.DRAINING),
        ({"instanceId": None}, api.Phase.DRAINING),
    ],
)
def test_a_damaged_entry_of_a_full_list_ends_no_running_task(
    damage: dict[str, Any], then: api.Phase
) -> None:
    def play(stage: Stage) -> None:
        first, second = stage.machines
        stage.owner.ask(1)
        stage.sleep(50)
        ((holder, _),) = stage.set_ups(1)
        other = second if holder is first else first
        stage.journal.add({**holder.entry(), **damage}, other.entry(), reset=True)
        stage.sleep(100)
        assert stage.owner.kinds(1) == [Kind.ANSWER]
        assert phase(stage, holder) is then and phase(stage, other) is api.Phase.RUNNING

    Stage().run(play)


@pytest.mark.parametrize(
    "room",
    [[10**400, 1], [float("nan"), float("inf")], ["much", 7], [[1], 2], {"x": 1}, 7],
    ids=["vast", "nan", "text", "list", "object", "figure"],
)
def test_an_invalid_room_does_not_invalidate_the_entry(room: object) -> None:
    def play(stage: Stage) -> None:
        first, late = stage.machines[0], Machine(stage.hub, "s-late")
        stage.journal.add(
            {**first.entry("Terminating"), "room": room}, {**late.entry(), "room": room}
        )
        stage.sleep(50)
        assert phase(stage, first) is api.Phase.DRAINING
        assert phase(stage, late) is api.Phase.RUNNING, "a new machine was not added"
        assert stage.placer.runtime.counts["journal_bad_entries"] == 2

    Stage().run(play)


@pytest.mark.parametrize(
    "started",
    [10**400, -(10**400), 1e308, float("nan"), float("-inf"), True, "1"],
    ids=["vast", "below", "overflow", "nan", "infinite", "bool", "text"],
)
def test_an_invalid_start_time_does_not_hide_a_drain(started: object) -> None:
    def play(stage: Stage) -> None:
        first, _ = stage.machines
        stage.journal.add({**first.entry("Terminating"), "startedAtMs": started})
        stage.sleep(50)
        assert phase(stage, first) is api.Phase.DRAINING
        assert stage.placer.runtime.counts["journal_bad_entries"] == 1

    Stage().run(play)


def test_a_repeated_bad_entry_is_logged_once_and_counted_each_time() -> None:
    def play(stage: Stage) -> None:
        lines: list[tuple[str, dict[str, Any]]] = []
        stage.placer.runtime.log = lambda what, **fields: lines.append((what, fields))
        for _ in range(20):
            stage.journal.add({"instanceId": "s-\ud800" + "x" * 10_000})
            stage.sleep(10)
        stage.sleep(50)
        delivered = [fields["why"] for what, fields in lines if what == "bad-list-entry"]
        assert len(delivered) == 1 and len(delivered[0]) <= 2000 and delivered[0].isascii()
        assert stage.placer.runtime.counts["journal_bad_entries"] == 20

    Stage().run(play)


# -- silence, trickles, repeats, lower event numbers


@pytest.mark.parametrize("late_ms", [0, 500, 990])
def test_a_drain_at_a_silent_service_is_known_soon_after_the_requested_wait(
    late_ms: int,
) -> None:
    def play(stage: Stage) -> None:
        stage.journal.troubles.append(lambda _: stage.hub.sleep(60 * S))
        stage.journal.add(stage.machines[1].entry())
        stage.sleep(10)
        begun = stage.journal.calls[-1][0]
        stage.sleep(late_ms)
        stage.journal.add(stage.machines[0].entry("Terminating"))
        wait_until(stage, lambda: phase(stage, stage.machines[0]) is api.Phase.DRAINING)
        wait_ends = begun + 1000 * MS
        assert stage.hub.now_us() - wait_ends <= 450 * MS, (
            "a withheld drain must be known by 450 ms after the requested wait; it counts as delivered 2 s after"
        )

    Stage().run(play)


def test_a_service_that_answers_at_once_without_news_is_polled_at_a_bounded_rate() -> None:
    def play(stage: Stage) -> None:
        delivered = deliveries(stage)
        hasty = ImmediateJournal(stage.hub)
        switch_to(stage, hasty)
        stage.sleep(5000)
        assert len(hasty.calls) <= 30 and not delivered
        hasty.add(stage.machines[0].entry("Terminating"))
        assert (
            wait_until(stage, lambda: phase(stage, stage.machines[0]) is api.Phase.DRAINING)
            <= 501 * MS
        )
        stage.sleep(3000)
        assert len(delivered) == 1 and stage.placer.runtime.counts["journal_early"] >= 10

    Stage().run(play)


def test_a_lagging_service_reverts_no_drain_and_is_used_again_once_it_caught_up() -> None:
    def play(stage: Stage) -> None:
        first, second = stage.machines
        stage.journal.add(second.entry())
        stage.journal.add(first.entry("Terminating"))
        stage.sleep(50)
        delivered = deliveries(stage)
        lagging = Journal(stage.hub)
        lagging.events = stage.journal.events[:2]
        change_address(stage, lagging)
        stage.sleep(4000)
        assert phase(stage, first) is api.Phase.DRAINING and not delivered
        assert len(lagging.calls) <= 10 and tails(lagging).count(0) == 1
        lagging.events = list(stage.journal.events)
        lagging.add(second.entry("Terminating"))
        assert wait_until(stage, lambda: phase(stage, second) is api.Phase.DRAINING) <= 1010 * MS
        assert [each.position for each in delivered] == [4]

    Stage().run(play)


def test_a_renumbered_list_is_applied_from_its_beginning() -> None:
    def play(stage: Stage) -> None:
        first, second = stage.machines
        stage.journal.events += [event(number, second.entry()) for number in range(2, 7)]
        stage.sleep(50)
        anew = Journal(stage.hub)
        anew.add(first.entry("Terminating"), second.entry(), reset=True)
        change_address(stage, anew)
        assert wait_until(stage, lambda: phase(stage, first) is api.Phase.DRAINING) <= 1100 * MS
        anew.add(second.entry("Terminating"))
        assert wait_until(stage, lambda: phase(stage, second) is api.Phase.DRAINING) <= 10 * MS
        assert len(anew.calls) <= 5

    Stage().run(play)


def test_a_task_on_a_machine_listed_by_a_later_event_of_a_renumbered_list_goes_on() -> None:
    def play(stage: Stage) -> None:
        stage.journal.events += [event(number, stage.machines[1].entry()) for number in range(2, 7)]
        stage.owner.ask(1)
        stage.sleep(50)
        ((holder, _),) = stage.set_ups(1)
        (other,) = (each for each in stage.machines if each is not holder)
        anew = Journal(stage.hub)
        anew.add(other.entry("Terminating"), reset=True)
        anew.add(holder.entry())  # may equal the event of this number before the renumbering
        change_address(stage, anew)
        wait_until(stage, lambda: phase(stage, other) is api.Phase.DRAINING)
        stage.sleep(100)
        assert phase(stage, holder) is api.Phase.RUNNING and stage.owner.kinds(1) == [Kind.ANSWER]

    Stage().run(play)


def test_an_event_number_far_too_high_does_not_stop_later_events() -> None:
    def play(stage: Stage) -> None:
        first, second = stage.machines
        stage.journal.troubles += [answer_with(10**9, event(10**9, second.entry()))] * 3
        stage.journal.add(second.entry())
        stage.sleep(500)
        stage.journal.add(first.entry("Terminating"))
        assert wait_until(stage, lambda: phase(stage, first) is api.Phase.DRAINING) <= 2100 * MS

    Stage().run(play)
