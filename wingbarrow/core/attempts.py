"""Attempts of the REST front's tasks: pods on machines. Their stages are those of `core.attempt_table`."""

from __future__ import annotations

from dataclasses import dataclass

from wingbarrow.core.attempt_table import AttemptRecord, AttemptTable, Stage
from wingbarrow.core.job_store import TaskRecord
from wingbarrow.core.link import MachineLink
from wingbarrow.decide.gate import HoldReason


@dataclass(slots=True, eq=False)
class Attempt(AttemptRecord[TaskRecord, MachineLink]):
    """One offer of one request to one machine; its key is the pod's name."""

    use: tuple[float, ...] = ()
    confirming: bool = (
        False  # a machine runs it, and a keeper is to know that before its owner does
    )
    session: str = ""  # by whose lease it runs, where its Job is leased
    found: bool = False  # it was found running, and the module knows nothing of it
    left_us: int | None = None  # of its run, where it was found
    held: HoldReason | None = None  # why the gate held it
    rules: str = ""  # the label of the agreed rules that it was decided under; empty where none are


class Attempts(AttemptTable[Attempt]):
    """All attempts that are not over; by key is by pod."""


__all__ = ["Attempt", "Attempts", "Stage"]
