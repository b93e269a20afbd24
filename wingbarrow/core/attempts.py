"""Attempts of the REST front's tasks: pods on machines. Their stages are those of `core.stages`."""

from __future__ import annotations

from dataclasses import dataclass

from wingbarrow.core.job_store import TaskRecord
from wingbarrow.core.link import MachineLink
from wingbarrow.core.stages import AttemptRecord, AttemptTable, Stage
from wingbarrow.decide.gate import HoldReason


@dataclass(slots=True, eq=False)
class Attempt(AttemptRecord[TaskRecord, MachineLink]):
    """One offer of one request to one machine; its key is the pod's name."""

    usage: tuple[float, ...] = ()
    awaiting_confirmation: bool = (
        False  # a machine runs it, and a keeper is to know that before its owner does
    )
    session: str = ""  # by whose lease it runs, where its Job is leased
    adopted: bool = False  # it was found running, and the module knows nothing of it
    remaining_us: int | None = None  # of its run, where it was found
    hold_reason: HoldReason | None = None  # why the gate held it
    rules_label: str = (
        ""  # the label of the agreed rules that it was decided under; empty where none are
    )


class Attempts(AttemptTable[Attempt]):
    """All attempts that are not over; by key is by pod."""


__all__ = ["Attempt", "Attempts", "Stage"]
