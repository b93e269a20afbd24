"""The order of events in answers to calls that overlap, without a network."""

from __future__ import annotations

import random
from typing import Any

from tests.relay.test_list import event
from wingbarrow import interface as api
from wingbarrow.core.logs import silent
from wingbarrow.core.placer_runtime import PlacerRuntime
from wingbarrow.relay.entries import ListUpdate, parse
from wingbarrow.relay.event_sequence import MAX_GAP_POLLS, EventQuery, EventSequence
from wingbarrow.transport import Hub, VirtualClock

MACHINES = ["s-1", "s-2"]


def entry(name: str, lifecycle: str = "Ready") -> dict[str, Any]:
    return {
        "instanceId": name,
        "hostPort": f"10.1.0.{name[-1]}:3868",
        "zone": "east",
        "machineType": "std",
        "cell": 1,
        "lifecycle": lifecycle,
        "startedAtMs": 0,
        "room": [20.0, 40.0],
    }


FULL_LIST = event(1, *(entry(name) for name in MACHINES), reset=True)


class Client:
    """A sequence that has applied one full list, and the machines' phases by its updates."""

    def __init__(self) -> None:
        self.runtime = PlacerRuntime(Hub(VirtualClock()), silent, 1)
        self.sequence = EventSequence(self.runtime, 0)
        self.phases: dict[str, api.Phase] = {}
        self.apply(self.sequence.next_query(), 1, FULL_LIST)

    def apply(self, query: EventQuery, last: int, *events: dict[str, Any]) -> list[ListUpdate]:
        """Apply an answer; the updates."""
        updates = self.sequence.apply(query, *parse({"pos": last, "entries": list(events)}, 0))
        for update in updates:
            self.phases.update((each.name, each.listed.phase) for each in update.entries)
        return updates


def test_a_call_asks_for_events_after_the_position() -> None:
    client = Client()
    query = client.sequence.next_query()
    assert (query.tail, query.position) == (1, 1)
    client.apply(query, 2, event(2, entry("s-1")))
    assert client.sequence.next_query().tail == 2
    assert client.sequence.is_outdated(query)


def test_an_answer_with_fewer_events_than_were_known_when_its_call_began_asks_for_all() -> None:
    client = Client()
    client.apply(client.sequence.next_query(), 2, event(2, entry("s-1")))
    query = client.sequence.next_query()
    assert client.apply(query, 1) == []
    assert client.sequence.next_query().tail == 0
    assert client.runtime.counts["journal_went_back"] == 1


def test_an_answer_with_fewer_events_than_became_known_since_is_passed_over() -> None:
    client = Client()
    first, second = client.sequence.next_query(), client.sequence.next_query()
    drained = event(3, entry("s-1", "Terminating"))
    client.apply(first, 3, event(2, entry("s-2")), drained)
    assert client.apply(second, 2, event(2, entry("s-2"))) == []
    assert client.sequence.next_query().tail == 3
    assert client.runtime.counts["journal_went_back"] == 0


def test_another_answer_does_not_cancel_the_call_for_all_events() -> None:
    """A call that began before answers with the old numbers, before all events were asked for."""
    client = Client()
    client.apply(client.sequence.next_query(), 5, *(event(n, entry("s-2")) for n in range(2, 6)))
    regressed, earlier = client.sequence.next_query(), client.sequence.next_query()
    client.apply(regressed, 1)
    client.apply(earlier, 5)
    assert client.sequence.next_query().tail == 0


def test_an_answer_by_the_old_numbers_is_ignored_after_a_renumbering() -> None:
    client = Client()
    client.apply(client.sequence.next_query(), 5, *(event(n, entry("s-2")) for n in range(2, 6)))
    earlier = client.sequence.next_query()
    client.apply(client.sequence.next_query(), 1)
    renumbered = event(1, entry("s-1", "Terminating"), entry("s-2"), reset=True)
    assert client.apply(client.sequence.next_query(), 1, renumbered)
    assert client.sequence.position == 1
    assert client.apply(earlier, 6, event(6, entry("s-1"))) == []
    assert client.sequence.position == 1
    assert client.phases["s-1"] is api.Phase.DRAINING


def test_answers_to_calls_in_flight_together_count_once_for_a_missing_event() -> None:
    client = Client()
    queries = [client.sequence.next_query() for _ in range(MAX_GAP_POLLS + 1)]
    for query in queries:
        client.apply(query, 3, event(3, entry("s-2")))
    assert client.runtime.counts["journal_gaps_given_up"] == 0
    for tail in (1, 0):
        query = client.sequence.next_query()
        assert query.tail == tail
        client.apply(query, 3, event(3, entry("s-2")))
    assert client.runtime.counts["journal_gaps_given_up"] == 1
    assert client.sequence.position == 3


def test_a_drain_in_any_order_of_overlapping_answers_is_kept() -> None:
    """Each answer has the events up to a random one; they are applied in random order."""
    for seed in range(200):
        drawn, client = random.Random(seed), Client()
        history = [
            event(n, entry(drawn.choice(MACHINES), drawn.choice(["Ready", "Terminating"])))
            for n in range(2, 12)
        ]
        in_flight: list[tuple[EventQuery, int]] = []
        told = 1
        while client.sequence.position < 11:
            told = min(11, told + drawn.randrange(3))
            in_flight.append((client.sequence.next_query(), told))
            if len(in_flight) > drawn.randrange(4):
                query, last = in_flight.pop(drawn.randrange(len(in_flight)))
                client.apply(query, last, *history[max(0, query.tail - 1) : last - 1])
        expected = {
            each["instanceId"]: each["lifecycle"]
            for listed in [FULL_LIST, *history]
            for each in listed["hosts"]["instances"]
        }
        phases = {"Ready": api.Phase.RUNNING, "Terminating": api.Phase.DRAINING}
        assert client.phases == {name: phases[word] for name, word in expected.items()}, seed
        assert client.runtime.counts["journal_went_back"] == 0, seed
