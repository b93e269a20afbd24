"""Faults that a simulated machine injects into its answers to offers, drawn from a seed."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum


class Fault(Enum):
    """A fault of one offer; the value describes it, and "effect" is that the task starts."""

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
    """Injects a fault into a share of the offers of some classes (empty: of all) from `from_us` to before `until_us`.

    `share` is a probability from 0 to 1; `delay_us` applies to `Fault.DELAY` alone.
    """

    fault: Fault
    share: float
    from_us: int = 0
    until_us: int = 1 << 62
    classes: tuple[str, ...] = ()
    delay_us: int = 2_000_000


class FaultPlan:
    """The fault rules of one machine, tried in order."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self.rules: list[FaultRule] = []

    def draw(self, now_us: int, task_class: str) -> FaultRule | None:
        """The first rule that applies to the next offer and is drawn by its share; None if there is none."""
        for rule in self.rules:
            if (
                rule.from_us <= now_us < rule.until_us
                and (not rule.classes or task_class in rule.classes)
                and self._random.random() < rule.share
            ):
                return rule
        return None
