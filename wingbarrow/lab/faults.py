"""Faults that a stand-in brings about at its socket or in its behaviour, drawn from a seed."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum


class Fault(Enum):
    """What goes wrong with one offer."""

    RESET_BEFORE = "reset before the effect"
    RESET_AFTER = "reset after the effect"
    SILENT_BEFORE = "silence before the effect"
    SILENT_AFTER = "silence after the effect"
    HALF = "half an answer, after the effect"
    GARBAGE = "garbage, after the effect"
    REFUSE = "refused in spite of room, no reason given"
    DELAY = "the answer comes late"


@dataclass(frozen=True, slots=True)
class FaultRule:
    """A fault for a share of the offers of some classes (none named: all), in a span of time."""

    fault: Fault
    share: float
    from_us: int = 0
    until_us: int = 1 << 62
    classes: tuple[str, ...] = ()
    delay_us: int = 2_000_000


class FaultPlan:
    """The rules of one stand-in; the first that hits is drawn."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self.rules: list[FaultRule] = []

    def draw(self, now_us: int, task_class: str) -> FaultRule | None:
        """The fault of the next offer, if any."""
        for rule in self.rules:
            if (
                rule.from_us <= now_us < rule.until_us
                and (not rule.classes or task_class in rule.classes)
                and self._random.random() < rule.share
            ):
                return rule
        return None
