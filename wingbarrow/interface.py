"""Settings, events and actions of the scheduler, in scheduling's own terms; decisions are in logic.py.

Times are microseconds on the caller's clock. A figure that was not told is None.
"""

from wingbarrow.interface_actions import (
    Action,
    Bind,
    Fail,
    Log,
    Move,
    Probe,
    Refuse,
    SetTimer,
    WatchList,
)
from wingbarrow.interface_events import (
    AttemptEnded,
    Event,
    Knowledge,
    Learned,
    LearnedMachine,
    ListForm,
    ListedMachine,
    MachineKnowledge,
    MachineList,
    NoteKind,
    Outcome,
    Phase,
    Planned,
    Probed,
    Reason,
    Report,
    TaskArrived,
    TaskFound,
    TaskNote,
    TaskPlaced,
    TaskWithdrawn,
    TimerDue,
)
from wingbarrow.interface_settings import (
    Discovery,
    Effect,
    MachineKind,
    Place,
    Prices,
    Reports,
    Settings,
    TaskClass,
)

__all__ = [
    "Action", "AttemptEnded", "Bind", "Discovery", "Effect", "Event", "Fail", "Knowledge", "Learned",
    "LearnedMachine", "ListForm", "ListedMachine", "Log", "MachineKind", "MachineKnowledge",
    "MachineList", "Move", "NoteKind", "Outcome", "Phase", "Place", "Planned", "Prices", "Probe",
    "Probed", "Reason", "Refuse", "Report", "Reports", "SetTimer", "Settings", "TaskArrived",
    "TaskClass", "TaskFound", "TaskNote", "TaskPlaced", "TaskWithdrawn", "TimerDue", "WatchList",
]
