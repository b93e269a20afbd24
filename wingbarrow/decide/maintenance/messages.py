"""Maintenance messages between placers and the leader, sent with each lease request and grant.

Field names are the names on the wire (`docs/glossary.md`); the comment of a field explains a name that the code no
longer uses.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_REPORTED_CELLS = 2048  # cells in a region's view
MAX_REPORTED_LOSSES = 256  # lost machines in a region's view
MAX_REPORTED_REQUESTS = 32  # requests in one report


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """A request for a slot, by a region's calendar or its outlier ejection, before the queue has given it a number."""

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
    """The machines of a region as listed by one of its placers, for the disruption budgets.

    `cells`: (zone, cell, number of machines). `lost`: (machine, zone, cell) of the machines that do not run, are lost,
    were ejected as outliers or are drained by the machine list. `used`: the demand as a number of machines, where a
    machine provides only the share of its capacity that may be filled.
    """

    cells: tuple[tuple[str, str, int], ...]
    lost: tuple[tuple[str, str, str], ...] = ()
    used: float = 0.0


@dataclass(frozen=True, slots=True)
class MaintenanceReport:
    """The part of a placer's lease request: what it and its machines confirm about slots, by slot number."""

    clear: tuple[int, ...] = ()  # closed slots: it has no task at the machine or on its way there
    empty: tuple[int, ...] = ()  # slots whose machine refuses new work by number and is empty
    tried: tuple[int, ...] = ()  # returned slots: it started a task on the machine successfully
    bad: tuple[int, ...] = ()  # returned slots: a task failed to start on the machine
    open: tuple[int, ...] = ()  # returned slots whose machine accepts work again
    gone: tuple[int, ...] = ()  # slots whose machine is not on its machine list
    tasks: tuple[tuple[int, int], ...] = ()  # (requested slot, own tasks at its machine)
    places: tuple[tuple[int, str, str], ...] = ()  # (requested slot, zone, cell) of listed machines
    region: str = ""
    at_us: int = 0  # when the report was made, by the reporter's clock
    view: RegionView | None = None  # sent by the region's reporter only, like `wants`
    wants: tuple[SlotRequest, ...] = ()  # requests of the calendar and of outlier ejection


@dataclass(frozen=True, slots=True)
class MaintenanceResponse:
    """The part of a lease grant: all slots whose machine is closed, and some whose tasks are still to be counted."""

    version: int  # of the slot queue
    turns: tuple[tuple[int, str, str, str], ...] = ()  # (number, machine, state, contact placer)
    silent: tuple[int, ...] = ()  # slots whose maintenance operator's lease has lapsed
    tell: bool = False  # whether the receiver reports its region's view and requests
