"""What placers and the leader tell each other about maintenance, with each lease request and grant.

Field names are those on the wire (`docs/glossary.md`); where one is older than the code, its comment says what it is.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_REPORTED_CELLS = 2048  # cells in a region's view
MAX_REPORTED_LOSSES = 256  # lost machines in a region's view
MAX_REPORTED_REQUESTS = 32  # requests in one report


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """A request before the queue has numbered it: what a region's calendar or its outlier ejections ask for."""

    ident: str
    machine: str
    zone: str
    cell: str
    why: str
    urgency: int
    latest_us: int
    lasts_us: int
    unsafe: str = "wait"
    ends_us: int = 0
    from_us: int = 0


@dataclass(frozen=True, slots=True)
class RegionView:
    """One region's machines as a placer of it lists them, for the disruption budgets.

    `cells`: (zone, cell, machines that belong there). `lost`: (machine, zone, cell) of those that do not run, are
    lost, were ejected as outliers or are drained by the list. `used`: the demand in machines, counting each machine
    only up to the share of it that may be filled.
    """

    cells: tuple[tuple[str, str, int], ...]
    lost: tuple[tuple[str, str, str], ...] = ()
    used: float = 0.0


@dataclass(frozen=True, slots=True)
class MaintenanceReport:
    """A placer's part of a lease request: what it confirms of slots, by their numbers, and what machines answered."""

    clear: tuple[int, ...] = ()  # closed slots at whose machine it has no task, nor one on its way
    empty: tuple[
        int, ...
    ] = ()  # slots whose machine refuses new work under this number and is empty
    tried: tuple[int, ...] = ()  # returned slots on whose machine it started a task successfully
    bad: tuple[int, ...] = ()  # returned slots whose machine failed a start
    open: tuple[int, ...] = ()  # returned slots whose machine accepts work again
    gone: tuple[int, ...] = ()  # slots whose machine is not on its list
    tasks: tuple[tuple[int, int], ...] = ()  # (requested slot, own tasks at its machine)
    places: tuple[tuple[int, str, str], ...] = ()  # (requested slot, zone, cell) if its list has it
    region: str = ""
    at_us: int = 0  # when it was made, by the reporter's clock
    view: RegionView | None = None  # from the region's reporter only, as are requests
    wants: tuple[SlotRequest, ...] = ()  # requests of the calendar and of outlier ejection


@dataclass(frozen=True, slots=True)
class MaintenanceResponse:
    """The leader's part of a lease grant: all slots whose machine is closed, and some that wait to be counted."""

    version: int  # of the slot queue
    turns: tuple[tuple[int, str, str, str], ...] = ()  # (number, machine, state, contact placer)
    silent: tuple[int, ...] = ()  # slots whose maintenance operator let its lease lapse
    tell: bool = False  # whether the receiver reports its region's view and requests
