"""Ejections as the leader sends them with a grant, and as a placer applies them until they end by its own clock."""

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
    prober: str  # "" until one is chosen


class ActiveEjections:
    """The ejections that one placer applies; they only take from what the endpoint list allows."""

    def __init__(self) -> None:
        self._until_us: dict[str, int] = {}
        self._since_us: dict[str, int] = {}
        self.probed_here: frozenset[str] = frozenset()  # machines that this placer may try

    def apply(self, now_us: int, placer: str, ejections: Iterable[Ejection]) -> None:
        """Replace all ejections by those of a grant; `placer` is this placer's name."""
        ejections = list(ejections)
        self._until_us = {each.machine: now_us + each.left_us for each in ejections}
        self._since_us = {each.machine: now_us - each.age_us for each in ejections}
        self.probed_here = frozenset(each.machine for each in ejections if each.prober == placer)

    def ejected(self, now_us: int) -> frozenset[str]:
        """Machines that get no tasks from this placer."""
        return frozenset(
            machine
            for machine, until_us in self._until_us.items()
            if until_us > now_us and machine not in self.probed_here
        )

    def repeatedly_ejected(
        self, now_us: int, doublings: int, settings: OutlierSettings = OutlierSettings()
    ) -> list[str]:
        """Machines whose ejection has been doubled at least so often."""
        shortest_us = settings.base_ejection_us << doublings
        return sorted(
            machine
            for machine, until_us in self._until_us.items()
            if until_us > now_us and until_us - self._since_us[machine] >= shortest_us
        )

    def age_us(self, now_us: int, machine: str) -> int:
        """Age of an ejection; it does not hold for a machine that was launched since."""
        return now_us - self._since_us.get(machine, now_us)
