"""Whether a task that may already have run may be sent once more, asked right before the first byte (rule 2).

The module asks the same when it decides. Between that and the first byte an offer may wait for a connection, and a
short window of a keyed class may close meanwhile.
"""

from __future__ import annotations

from dataclasses import dataclass

from wingbarrow.interface import Effect, ListedMachine, Place, TaskClass


@dataclass(frozen=True, slots=True)
class EarlierAttempt:
    """The first attempt of a request that may have run: where, and when it was decided on (microseconds)."""

    decided_us: int
    machine: ListedMachine


def group_key(machine: ListedMachine, group: Place) -> object:
    """What machines of one group share; the same for all machines where the group is `ALL` or `NONE`."""
    return {Place.MACHINE: machine.machine, Place.CELL: machine.cell, Place.ZONE: machine.zone}.get(
        group
    )


def may_repeat(
    now_us: int,
    cls: TaskClass,
    earlier: EarlierAttempt | None,
    machine: ListedMachine,
    slack_us: int,
) -> bool:
    """Whether a send to `machine` at `now_us` is free of a second effect; `slack_us` is kept before a window's end.

    A window runs from the earlier attempt's send, which is no earlier than its decision: counted from that, this
    closes no later than the machines do.
    """
    if earlier is None or cls.effect is Effect.SAFE:
        return True
    if cls.effect is Effect.UNSAFE:
        return False
    return now_us < earlier.decided_us + cls.window_us - slack_us and group_key(
        earlier.machine, cls.group
    ) == group_key(machine, cls.group)
