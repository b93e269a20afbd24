"""What clients may make the placer hold, by the memory limit of its configuration."""

from __future__ import annotations

from tests.relay.stage import MS, Client, Stage
from wingbarrow.decide.memory_budget import MemoryBudget
from wingbarrow.relay.configuration import DEFAULT_MEMORY_MB
from wingbarrow.relay.message import Cause, Kind, with_cause

SHARE_BYTES = (DEFAULT_MEMORY_MB << 20) // 8
DESCRIPTION = b"x" * 15_000
STRANGERS = 30
# Fits on an empty machine alone, and so waits.
LARGE = "cores:20;memory:1;service:s9"


# Picture (a) of issue 71 on the platform: 16 set-ups of 15 KB on each connection went from 22 to 59 MB.
def test_open_set_ups_hold_no_more_than_their_share_and_owners_still_come_in() -> None:
    def play(stage: Stage) -> None:
        stage.owner.ask(1)
        stage.sleep(50)
        clients: list[Client] = []
        for number in range(STRANGERS):
            client = stage.client()
            clients.append(client)
            for task in range(100 * (number + 1), 100 * (number + 1) + 16):
                client.ask(
                    task,
                    name=f"{task:016x}",
                    figures=LARGE,
                    patience_ms=4900,
                    DESCRIPTION=DESCRIPTION,
                )
            stage.sleep(5)
            assert stage.placer._requests.open_bytes <= SHARE_BYTES // 2
        assert stage.placer.runtime.counts["turned_away:too many bytes open"] > 0
        refused = [each.message for client in clients for each in client.received]
        assert {message.cause for message in refused} == {Cause.BUSY}
        stage.owner.ask(2, name="2" * 16)
        owner = stage.client()
        owner.ask(3, name="3" * 16, DESCRIPTION=b"small")
        stage.sleep(50)
        assert stage.owner.kinds(2) == [Kind.ANSWER]
        stage.sleep(6000)
        assert stage.placer._requests.open_bytes == 0

    Stage(1).run(play)


def test_clients_that_do_not_read_are_closed_when_their_answers_exceed_the_share() -> None:
    def play(stage: Stage) -> None:
        owners = stage.placer.owners
        owners._memory = MemoryBudget(8 * 100_000)
        slow = [stage.client() for _ in range(3)]
        stage.sleep(20)
        held = [owner for owner in owners._owners if owner.stream.open][-3:]
        for owner, unsent_bytes in zip(held, (60_000, 90_000, 5_000), strict=True):
            owner.outbox._unsent += b"x" * unsent_bytes
        stage.hub.sleep(300 * MS)
        assert [owner.stream.open for owner in held] == [True, False, True]
        assert stage.placer.runtime.counts["owners:slow_reader"] == 1
        slow[0].stream.send(with_cause(Kind.TEST, 1, 0))

    Stage(1).run(play)
