"""Ejections: as the leader sends them in a grant, and as a placer applies them until they end by its own clock."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from wingbarrow.decide.outliers.health import OutlierSettings

MAX_EJECTIONS_PER_GRANT = 64


@dataclass(frozen=True, slots=True)
class Ejection:
    """An ejection in a grant: the time left, its age, and the placer that probes the machine; fields are wire names."""

    machine: str
    left_us: int
    age_us: int
    prober: str  # "" before one is chosen


class ActiveEjections:
    """The ejections that one placer applies; they only exclude machines of the endpoint list, and never add any."""

    def __init__(self) -> None:
        self._until_us: dict[str, int] = {}
        self._since_us: dict[str, int] = {}
        self.probed_here: frozenset[str] = frozenset()  # ejected machines that this placer probes

    def apply(self, now_us: int, placer: str, ejections: Iterable[Ejection]) -> None:
        """Replace all ejections by those in a grant; `placer` is the name of this placer."""
        ejections = list(ejections)
        self._until_us = {each.machine: now_us + each.left_us for each in ejections}
        self._since_us = {each.machine: now_us - each.age_us for each in ejections}
        self.probed_here = frozenset(each.machine for each in ejections if each.prober == placer)

    def ejected(self, now_us: int) -> frozenset[str]:
        """The machines that get no tasks from this placer."""
        return frozenset(
            machine
            for machine, until_us in self._until_us.items()
            if until_us > now_us and machine not in self.probed_here
        )

    def repeatedly_ejected(
        self, now_us: int, doublings: int, settings: OutlierSettings = OutlierSettings()
    ) -> list[str]:
        """The machines whose ejection time has been doubled at least `doublings` times."""
        shortest_us = settings.base_ejection_us << doublings
        return sorted(
            machine
            for machine, until_us in self._until_us.items()
            if until_us > now_us and until_us - self._since_us[machine] >= shortest_us
        )

    def age_us(self, now_us: int, machine: str) -> int:
        """Age of an ejection, 0 for none; an ejection does not apply to a machine that was launched after it began."""
        return now_us - self._since_us.get(machine, now_us)
