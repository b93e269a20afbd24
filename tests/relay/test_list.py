"""The follower of the machine list where two events cross, and where the service tells what it should not."""

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

Trouble = Callable[[Request], None]


def event(number: object, *entries: object, reset: bool = False) -> dict[str, Any]:
    return {"pos": number, "hosts": {"generation": 1, "reset": reset, "instances": list(entries)}}


def say(body: bytes, status: bytes = b"200 OK") -> Trouble:
    """A trouble: this answer, and the end of its connection."""

    def trouble(request: Request) -> None:
        request.connection.stream.send(
            b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body)
        )
        raise PeerGone("said")

    return trouble


def tell(last: object, *events: object) -> Trouble:
    return say(json.dumps({"pos": last, "entries": events}).encode())


class Losing(Journal):
    """Leaves some numbers out of its answers, for so many answers that would hold one."""

    lost: frozenset[int] = frozenset()
    times = 1 << 30

    def known(self, after: int = 0) -> dict[str, Any]:
        entries, kept = self.events[after:], self.events[after:]
        if self.times > 0:
            kept = [each for each in entries if each["pos"] not in self.lost]
            self.times -= kept != entries
        return {"pos": len(self.events), "entries": kept}


class Hasty(Journal):
    """Answers at once, always with all it has."""

    def _answer(self, request: Request) -> Answer:
        self.calls.append((self.hub.now_us(), request.target))
        if len(self.calls) > 100:  # asked without pause, the virtual clock would stand still
            self.hub.sleep(60 * S)
        return Answer(200, json.dumps(self.known()).encode())


def follower(stage: Stage) -> Follower:
    return stage.placer._follower


def move(stage: Stage, journal: Journal) -> None:
    follower(stage).move_to(Address("127.0.0.1", journal.server.port))


def take_over(stage: Stage, journal: Journal) -> None:
    """The journal goes on with the events of the stage's, and is asked from now on."""
    journal.events = list(stage.journal.events)
    move(stage, journal)
    stage.sleep(20)


def tails(journal: Journal) -> list[int]:
    return [int(target.partition("tail=")[2].partition("&")[0]) for _, target in journal.calls]


def deliveries(stage: Stage) -> list[ListUpdate]:
    """What is delivered from now on."""
    told: list[ListUpdate] = []
    deliver = follower(stage)._deliver

    def keep(news: ListUpdate) -> None:
        told.append(news)
        deliver(news)

    follower(stage)._deliver = keep
    return told


def phase(stage: Stage, machine: Machine) -> api.Phase | None:
    link = stage.placer._links.by_name.get(machine.name)
    return None if link is None or link.closed else link.phase


def until(stage: Stage, holds: Callable[[], bool], most_ms: int = 10_000) -> int:
    """Let time pass until it holds; how long that was, in microseconds."""
    begun = stage.hub.now_us()
    while not holds():
        assert stage.hub.now_us() - begun <= most_ms * MS, "it never came"
        stage.sleep(1)
    return stage.hub.now_us() - begun


def ask_five(stage: Stage, first: int = 101) -> None:
    for task in range(first, first + 5):
        stage.owner.ask(task, name=f"{task:016x}", figures=f"cores:1;memory:1;service:s{task}")
    stage.sleep(100)


# -- numbers that are missing


def test_an_event_that_never_comes_does_not_end_the_news() -> None:
    def play(stage: Stage) -> None:
        journal = Losing(stage.hub)
        journal.lost = frozenset({2})
        take_over(stage, journal)
        first, second = stage.machines
        journal.add(second.entry())
        journal.add(first.entry("Terminating"))
        assert until(stage, lambda: phase(stage, first) is api.Phase.DRAINING, 500) <= 50 * MS
        ask_five(stage)
        assert not first.set_ups() and len(second.set_ups()) == 5
        journal.add(second.entry("Terminating"))
        assert until(stage, lambda: phase(stage, second) is api.Phase.DRAINING, 500) <= 50 * MS
        stage.sleep(5000)
        assert tails(journal)[:5] == [1, 1, 0, 3, 4] and len(journal.calls) <= 12
        counts = stage.placer.life.counts
        assert counts["journal_gaps"] == counts["journal_gaps_given_up"] == 1

    Stage().run(play)


def test_a_missing_event_is_asked_for_and_takes_nothing_back_that_was_told_since() -> None:
    def play(stage: Stage) -> None:
        journal = Losing(stage.hub)
        journal.lost, journal.times = frozenset({2}), 1
        take_over(stage, journal)
        first, second = stage.machines
        journal.events += [
            event(2, first.entry(), second.entry("Terminating")),
            event(3, first.entry("Terminating")),
        ]
        stage.sleep(100)
        assert [phase(stage, each) for each in stage.machines] == [api.Phase.DRAINING] * 2
        assert (
            tails(journal)[:3] == [1, 1, 3]
            and not stage.placer.life.counts["journal_gaps_given_up"]
        )

    Stage().run(play)


def test_a_missing_whole_list_takes_nothing_back_that_was_told_since() -> None:
    def play(stage: Stage) -> None:
        journal = Losing(stage.hub)
        journal.lost, journal.times = frozenset({2}), 1
        take_over(stage, journal)
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


def test_an_event_that_cannot_be_read_keeps_the_others_from_nobody() -> None:
    def play(stage: Stage) -> None:
        first, second = stage.machines
        journal = Journal(stage.hub)
        take_over(stage, journal)
        journal.events += [
            event(2, first.entry("Terminating")),
            {"pos": 3, "hosts": {"instances": 7}},
        ]
        stage.sleep(300)
        assert phase(stage, first) is api.Phase.DRAINING
        journal.add(second.entry("Terminating"))
        stage.sleep(500)
        assert phase(stage, second) is api.Phase.DRAINING
        assert stage.placer.life.counts["journal_bad_entries"] >= 1 and len(journal.calls) <= 8

    Stage().run(play)


def test_nothing_is_sent_between_two_events_of_one_answer() -> None:
    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        stage.owner.ask(1)
        stage.sleep(50)
        stage.journal.add(machine.entry("Terminating"))
        stage.sleep(20)
        stage.owner.ask(2, name="2" * 16)  # waits for a machine
        stage.sleep(20)
        stage.journal.events += [event(3, machine.entry()), event(4, machine.entry("Terminating"))]
        stage.sleep(100)
        assert not machine.set_ups(2)
        assert phase(stage, machine) is api.Phase.DRAINING

    Stage(1).run(play)


# -- entries that are damaged


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
def test_a_drain_in_a_damaged_entry_is_heard(damage: dict[str, Any]) -> None:
    def play(stage: Stage) -> None:
        first, second = stage.machines
        stage.journal.add({**first.entry("Terminating"), **damage}, second.entry())
        stage.sleep(20)
        ask_five(stage)
        assert not first.set_ups() and len(second.set_ups()) == 5
        assert stage.placer.life.counts["journal_bad_entries"] == 1
        stage.journal.add(first.entry())
        stage.sleep(20)
        stage.journal.add(second.entry("Terminating"))
        stage.sleep(20)
        ask_five(stage, 201)
        assert len(first.set_ups()) == 5, "a good entry counts again"

    Stage().run(play)


def test_a_damaged_drain_is_heard_of_a_machine_that_an_event_told_of() -> None:
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
        assert phase(stage, late) is None, "no longer known, and not readable: passed over"
        assert stage.placer.life.counts["journal_bad_entries"] == 3

    Stage().run(play)


@pytest.mark.parametrize(
    "damage, then",
    [
        ({"cell": None}, api.Phase.RUNNING),
        ({"lifecycle": 7}, api.Phase.DRAINING),
        ({"instanceId": None}, api.Phase.DRAINING),
    ],
)
def test_a_damaged_entry_of_a_whole_list_ends_nothing_that_stands(
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
def test_room_that_is_no_number_harms_nothing(room: object) -> None:
    def play(stage: Stage) -> None:
        first, late = stage.machines[0], Machine(stage.hub, "s-late")
        stage.journal.add(
            {**first.entry("Terminating"), "room": room}, {**late.entry(), "room": room}
        )
        stage.sleep(50)
        assert phase(stage, first) is api.Phase.DRAINING
        assert phase(stage, late) is api.Phase.RUNNING, "a machine that was not known counts too"
        assert stage.placer.life.counts["journal_bad_entries"] == 2

    Stage().run(play)


@pytest.mark.parametrize(
    "started",
    [10**400, -(10**400), 1e308, float("nan"), float("-inf"), True, "1"],
    ids=["vast", "below", "overflow", "nan", "infinite", "bool", "text"],
)
def test_a_start_that_is_no_time_harms_nothing(started: object) -> None:
    def play(stage: Stage) -> None:
        first, _ = stage.machines
        stage.journal.add({**first.entry("Terminating"), "startedAtMs": started})
        stage.sleep(50)
        assert phase(stage, first) is api.Phase.DRAINING
        assert stage.placer.life.counts["journal_bad_entries"] == 1

    Stage().run(play)


def test_what_cannot_be_read_is_logged_once_and_counted_each_time() -> None:
    def play(stage: Stage) -> None:
        lines: list[tuple[str, dict[str, Any]]] = []
        stage.placer.life.log = lambda what, **fields: lines.append((what, fields))
        for _ in range(20):
            stage.journal.add({"instanceId": "s-\ud800" + "x" * 10_000})
            stage.sleep(10)
        stage.sleep(50)
        told = [fields["why"] for what, fields in lines if what == "bad-list-entry"]
        assert len(told) == 1 and len(told[0]) <= 2000 and told[0].isascii()
        assert stage.placer.life.counts["journal_bad_entries"] == 20

    Stage().run(play)


# -- silence, trickles, repeats, numbers that go back


def test_a_service_that_trickles_is_asked_anew_after_the_bound_of_the_whole_call() -> None:
    def play(stage: Stage) -> None:
        def trickle(request: Request) -> None:
            for each in b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n" + b" " * 900:
                request.connection.stream.send(bytes([each]))
                stage.sleep(100)

        stage.journal.troubles.append(trickle)
        stage.journal.add(stage.machines[1].entry())
        stage.sleep(10)
        begun = stage.journal.calls[-1][0]
        stage.journal.add(stage.machines[0].entry("Terminating"))
        until(stage, lambda: phase(stage, stage.machines[0]) is api.Phase.DRAINING)
        assert 1400 * MS <= stage.hub.now_us() - begun <= 1450 * MS
        assert stage.placer.life.counts["journal_failures"] == 1

    Stage().run(play)


@pytest.mark.parametrize("late_ms", [0, 500, 990])
def test_a_watch_that_falls_silent_at_a_drain_has_it_known_soon_after_its_wait(
    late_ms: int,
) -> None:
    def play(stage: Stage) -> None:
        stage.journal.troubles.append(lambda _: stage.hub.sleep(60 * S))
        stage.journal.add(stage.machines[1].entry())
        stage.sleep(10)
        begun = stage.journal.calls[-1][0]
        stage.sleep(late_ms)
        stage.journal.add(stage.machines[0].entry("Terminating"))
        until(stage, lambda: phase(stage, stage.machines[0]) is api.Phase.DRAINING)
        wait_ends = begun + 1000 * MS
        assert stage.hub.now_us() - wait_ends <= 450 * MS, "it counts as told 2 s after the wait"

    Stage().run(play)


def test_a_service_that_repeats_all_at_once_is_asked_at_a_bounded_pace() -> None:
    def play(stage: Stage) -> None:
        told = deliveries(stage)
        hasty = Hasty(stage.hub)
        take_over(stage, hasty)
        stage.sleep(5000)
        assert len(hasty.calls) <= 30 and not told
        hasty.add(stage.machines[0].entry("Terminating"))
        assert (
            until(stage, lambda: phase(stage, stage.machines[0]) is api.Phase.DRAINING) <= 501 * MS
        )
        stage.sleep(3000)
        assert len(told) == 1 and stage.placer.life.counts["journal_early"] >= 10

    Stage().run(play)


def test_a_service_that_lags_takes_no_drain_back_and_is_heard_when_it_has_caught_up() -> None:
    def play(stage: Stage) -> None:
        first, second = stage.machines
        stage.journal.add(second.entry())
        stage.journal.add(first.entry("Terminating"))
        stage.sleep(50)
        told = deliveries(stage)
        lagging = Journal(stage.hub)
        lagging.events = stage.journal.events[:2]
        move(stage, lagging)
        stage.sleep(4000)
        assert phase(stage, first) is api.Phase.DRAINING and not told
        assert len(lagging.calls) <= 10 and tails(lagging).count(0) == 1
        lagging.events = list(stage.journal.events)
        lagging.add(second.entry("Terminating"))
        assert until(stage, lambda: phase(stage, second) is api.Phase.DRAINING) <= 1010 * MS
        assert [each.position for each in told] == [4]

    Stage().run(play)


def test_a_list_that_is_numbered_anew_is_taken_in_from_its_beginning() -> None:
    def play(stage: Stage) -> None:
        first, second = stage.machines
        stage.journal.events += [event(number, second.entry()) for number in range(2, 7)]
        stage.sleep(50)
        anew = Journal(stage.hub)
        anew.add(first.entry("Terminating"), second.entry(), reset=True)
        move(stage, anew)
        assert until(stage, lambda: phase(stage, first) is api.Phase.DRAINING) <= 1100 * MS
        anew.add(second.entry("Terminating"))
        assert until(stage, lambda: phase(stage, second) is api.Phase.DRAINING) <= 10 * MS
        assert len(anew.calls) <= 5

    Stage().run(play)


def test_what_stands_on_a_machine_that_comes_later_in_a_list_numbered_anew_goes_on() -> None:
    def play(stage: Stage) -> None:
        stage.journal.events += [event(number, stage.machines[1].entry()) for number in range(2, 7)]
        stage.owner.ask(1)
        stage.sleep(50)
        ((holder, _),) = stage.set_ups(1)
        (other,) = (each for each in stage.machines if each is not holder)
        anew = Journal(stage.hub)
        anew.add(other.entry("Terminating"), reset=True)
        anew.add(holder.entry())  # as our own event of this number may have been
        move(stage, anew)
        until(stage, lambda: phase(stage, other) is api.Phase.DRAINING)
        stage.sleep(100)
        assert phase(stage, holder) is api.Phase.RUNNING and stage.owner.kinds(1) == [Kind.ANSWER]

    Stage().run(play)


def test_a_number_far_too_high_does_not_end_the_news() -> None:
    def play(stage: Stage) -> None:
        first, second = stage.machines
        stage.journal.troubles += [tell(10**9, event(10**9, second.entry()))] * 3
        stage.journal.add(second.entry())
        stage.sleep(500)
        stage.journal.add(first.entry("Terminating"))
        assert until(stage, lambda: phase(stage, first) is api.Phase.DRAINING) <= 2100 * MS

    Stage().run(play)
