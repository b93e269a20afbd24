"""Attempts of the REST front's tasks: pods on machines. Their stages are those of `core.attempt_table`."""

from __future__ import annotations

from dataclasses import dataclass

from wingbarrow.core.attempt_table import AttemptRecord, AttemptTable, Stage
from wingbarrow.core.job_store import TaskRecord
from wingbarrow.core.machine_link import MachineLink
from wingbarrow.decide.gate import HoldReason


@dataclass(slots=True, eq=False)
class Attempt(AttemptRecord[TaskRecord, MachineLink]):
    """One offer of one request to one machine; its key is the pod's name."""

    usage: tuple[float, ...] = ()
    # Runs on a machine, and a replica must acknowledge that before its owner is answered.
    awaiting_confirmation: bool = False
    session: str = ""  # whose lease it runs under, if its Job is leased
    adopted: bool = False  # found running; unknown to the module until then
    remaining_us: int | None = None  # expected rest of its run, if it was adopted
    hold_reason: HoldReason | None = None  # why the send gate held it back
    # The label of the agreed rules that it was decided under; empty if placers agree on none.
    rules_label: str = ""


class Attempts(AttemptTable[Attempt]):
    """All attempts that have not ended; their keys are names of pods."""


__all__ = ["Attempt", "Attempts", "Stage"]
