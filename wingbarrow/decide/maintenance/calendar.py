"""Windows of the calendar as turns: which machines are to be asked for now, planned once for a region; no I/O.

A pure function of the windows on which placers agree, a region's machines, and the wall clock. A window's machines are
asked for as it begins, all of them, less the calendar's lead; the queue then takes them one after another as budgets
allow, so that no slots need to be cut beforehand. The latest time of each is the window's end less one machine's turn.
"""

from __future__ import annotations

from collections.abc import Sequence

from wingbarrow.decide.drains import MachineState
from wingbarrow.decide.maintenance.slots import URGENCY_MOST, SlotRequest, short_ident
from wingbarrow.decide.rulesets.agreed_drains import series_of
from wingbarrow.decide.rulesets.ruleset import RuleSet
from wingbarrow.decide.windows import Occurrence, Series, UnsafePolicy, expand_all

DAY_US = 86_400_000_000
WANTED_MOST = 4096
USUAL = 4  # the urgency of a window of precedence 0


def urgency_of(precedence: int) -> int:
    """A window's precedence as urgency: its sign, and one more for each further hundred."""
    step = (precedence + 99) // 100 if precedence > 0 else -((99 - precedence) // 100)
    return max(0, min(URGENCY_MOST - 1, USUAL + step))


def wanted(
    rules: RuleSet, machines: Sequence[MachineState], wall_us: int, most: int = WANTED_MOST
) -> list[SlotRequest]:
    """Turns that windows want at a wall time, by window and machine's name; those taken back are left out."""
    lead, cancelled = rules.plan.lead_us, {short_ident(key) for key in rules.cancelled}
    blackouts = rules.plan.rules(()).blackouts
    series = [series_of(each) for each in rules.windows]
    out: list[SlotRequest] = []
    for occurrence in expand_all(series, wall_us, wall_us + lead + 1):
        latest = _latest(occurrence, lead)
        if not occurrence.start_us - lead <= wall_us < latest:
            continue
        if any(each.start_us <= occurrence.start_us < each.end_us for each in blackouts):
            continue
        for machine in sorted(machines, key=lambda each: each.name):
            ident = short_ident(f"{occurrence.ident}/{machine.name}")
            if machine.running and ident not in cancelled and _meant(occurrence.series, machine):
                out.append(_one(occurrence, machine, ident, latest))
                if len(out) >= most:
                    return out
    return out


def _meant(series: Series, machine: MachineState) -> bool:
    return any(
        each.matches(machine.name, machine.cell, machine.zone, machine.labels)
        for each in series.selectors
    )


def _latest(occurrence: Occurrence, lead_us: int) -> int:
    """When a machine's turn has to have begun; one that fills its window is not lost by a moment's wait for proof."""
    series = occurrence.series
    return max(
        occurrence.end_us - series.each_us, occurrence.start_us + min(lead_us, series.lasts_us // 2)
    )


def _one(occurrence: Occurrence, machine: MachineState, ident: str, latest_us: int) -> SlotRequest:
    series = occurrence.series
    ends = occurrence.end_us if series.unsafe is not UnsafePolicy.WAIT else 0
    return SlotRequest(
        ident,
        machine.name,
        machine.zone,
        machine.cell,
        "calendar",
        urgency_of(series.precedence),
        latest_us,
        series.each_us,
        series.unsafe.value,
        ends,
        occurrence.start_us,
    )
