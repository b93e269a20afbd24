"""Whether a task that may already have run may be sent again, checked right before the first byte (rule 2).

The decision module makes the same check when it chooses a machine. An offer may then wait for a connection, and the
short deduplication window of a class with idempotency keys may close during that wait.
"""

from __future__ import annotations

from dataclasses import dataclass

from wingbarrow.interface import Effect, ListedMachine, Place, TaskClass


@dataclass(frozen=True, slots=True)
class EarlierAttempt:
    """The first attempt of a request that may have run: when it was decided on (microseconds), and its machine."""

    decided_us: int
    machine: ListedMachine


def group_key(machine: ListedMachine, group: Place) -> object:
    """The key that machines of one deduplication group share; equal for all machines if `group` is `ALL` or `NONE`."""
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
    """Whether an offer to `machine` at `now_us` cannot have its effect twice.

    `slack_us` is a margin before the end of the deduplication window. On machines the window starts at the earlier
    attempt's first byte, which is never before its decision. Here it is counted from the decision, so it ends no later
    than on the machines.
    """
    if earlier is None or cls.effect is Effect.SAFE:
        return True
    if cls.effect is Effect.UNSAFE:
        return False
    return now_us < earlier.decided_us + cls.window_us - slack_us and group_key(
        earlier.machine, cls.group
    ) == group_key(machine, cls.group)
