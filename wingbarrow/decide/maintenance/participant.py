"""A placer's side of turns: which machines are closed to it, what it confirms of them, what it tells of its region.

A machine is closed to a placer from when a grant told it of the turn, which is before that grant lets it act, until a
grant tells that the turn is over; in `back`, to all but the one that tries it. Grants that come late change nothing:
the queue's version only grows.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from wingbarrow.decide.effects import Effect, Notify
from wingbarrow.decide.maintenance.slots import (
    CELLS_MOST,
    LOST_MOST,
    WANTS_MOST,
    MaintenanceReport,
    MaintenanceResponse,
    RegionView,
    SlotRequest,
)


class LocalObservations(Protocol):
    """What a placer knows of its machines."""

    def listed(self, machine: str) -> bool:
        """Whether its list has it; True while it has no list yet."""

    def place(self, machine: str) -> tuple[str, str] | None:
        """Its zone and cell; None where the list does not have it."""

    def tasks(self, machine: str) -> int:
        """Own tasks there or on their way: placed, offered, or to be stopped; -1 where that is not known (yet)."""

    def word(self, number: int) -> str:
        """What the machine said last under a turn's number: shut, empty, open; "" for nothing."""

    def came_to(self, number: int) -> str:
        """What starts at a machine that is tried came to, since it is tried: well, bad; "" for none yet."""

    def view(self) -> RegionView | None:
        """What the list tells of the region; None where there is none."""

    def wants(self) -> Sequence[SlotRequest]:
        """Turns that the calendar, or verdicts, want now."""


class NoObservations:
    """The eyes of one without machines."""

    def listed(self, machine: str) -> bool:
        """None is."""
        return False

    def place(self, machine: str) -> tuple[str, str] | None:
        """Nowhere."""
        return None

    def tasks(self, machine: str) -> int:
        """None."""
        return 0

    def word(self, number: int) -> str:
        """Nobody says any."""
        return ""

    def came_to(self, number: int) -> str:
        """Nothing."""
        return ""

    def view(self) -> RegionView | None:
        """None."""
        return None

    def wants(self) -> Sequence[SlotRequest]:
        """None."""
        return ()


@dataclass(frozen=True, slots=True)
class KnownSlot:
    """A turn as this placer was told of it."""

    number: int
    machine: str
    state: str
    hand: str  # who speaks with its machine, and tries it
    silent: bool = False


class MaintenanceMember:
    """A side. `region`: this placer's."""

    name = "turns"

    def __init__(self, me: str, region: str, eyes: LocalObservations) -> None:
        self.me, self.region, self.eyes = me, region, eyes
        self.turns: dict[int, KnownSlot] = {}
        self.tells = False  # whether this placer tells of its region
        self._version = 0
        self._next_want = 0
        self._shut: frozenset[str] = frozenset()

    def closes(self, machine: str) -> bool:
        """Whether a turn closes a machine to this placer."""
        return machine in self._shut

    @property
    def shut(self) -> frozenset[str]:
        """The machines that turns close to this placer."""
        return self._shut

    def report(self, now_us: int) -> MaintenanceReport:
        """What is confirmed as of now."""
        clear, gone, empty, opened, tried, bad = (list[int]() for _ in range(6))
        tasks: list[tuple[int, int]] = []
        places: list[tuple[int, str, str]] = []
        for number, turn in self.turns.items():
            there = self.eyes.tasks(turn.machine)
            if not self.eyes.listed(turn.machine):
                gone.append(number)
            if turn.state == "asked":
                place = self.eyes.place(turn.machine)
                tasks.append((number, max(0, there)))
                places += [(number, *place)] if place is not None else []
                continue
            if there == 0 and turn.state != "back":
                clear.append(number)
            word = self.eyes.word(number)
            if word == "empty" and turn.state != "back":
                empty.append(number)
            if word == "open" and turn.state == "back":
                opened.append(number)
                came_to = self.eyes.came_to(number) if turn.hand == self.me else ""
                tried += [number] if came_to == "well" else []
                bad += [number] if came_to == "bad" else []
        return MaintenanceReport(
            tuple(clear),
            tuple(empty),
            tuple(tried),
            tuple(bad),
            tuple(opened),
            tuple(gone),
            tuple(tasks),
            tuple(places),
            self.region,
            now_us,
            self._view(),
            self._wants(),
        )

    def _view(self) -> RegionView | None:
        view = self.eyes.view() if self.tells else None
        if view is None or (len(view.cells) <= CELLS_MOST and len(view.lost) <= LOST_MOST):
            return view
        return None  # too many are lost, or too many cells: its region counts as out of reach, and nothing goes out

    def _wants(self) -> tuple[SlotRequest, ...]:
        """Some at a time, all in turn: those that the queue has already are passed over there."""
        found = list(self.eyes.wants()) if self.tells else []
        if len(found) <= WANTS_MOST:
            return tuple(found)
        begin = self._next_want % len(found)
        self._next_want = begin + WANTS_MOST
        return tuple((found + found)[begin : begin + WANTS_MOST])

    def on_response(
        self, now_us: int, asked_us: int, told: MaintenanceResponse | None
    ) -> list[Effect]:
        """What a grant tells, in place of what was told before."""
        if told is None or told.version < self._version:
            return []  # Danger: a late grant would open a machine that a turn has closed since
        self._version, self.tells = told.version, told.tell
        before, silent = self.turns, frozenset(told.silent)
        self.turns = {
            number: KnownSlot(number, machine, state, hand, number in silent)
            for number, machine, state, hand in told.turns
        }
        self._shut = frozenset(
            each.machine
            for each in self.turns.values()
            if each.state != "asked" and not (each.state == "back" and each.hand == self.me)
        )
        out: list[Effect] = []
        for number, each in self.turns.items():
            held = before.get(number)
            if each.state != "asked" and (
                held is None or (held.state, held.silent) != (each.state, each.silent)
            ):
                out.append(
                    Notify(
                        "turn",
                        {
                            "number": number,
                            "machine": each.machine,
                            "state": "silent" if each.silent else each.state,
                        },
                    )
                )
        for number, held in before.items():
            if number not in self.turns and held.state != "asked":
                out.append(
                    Notify("turn", {"number": number, "machine": held.machine, "state": "over"})
                )
        return out
