"""Requests for maintenance slots from the windows of the calendar, for one region; no I/O.

The requests are a pure function of the windows that placers agree on, the region's machines and the wall clock. All
machines of a window are requested when its lead time begins; the queue then takes them one after another as the budgets
allow. The latest time of a request is the window's end minus the work on one machine.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from itertools import islice

from wingbarrow.decide.maintenance.drain_plan import MachineState
from wingbarrow.decide.maintenance.entries import CALENDAR, MAX_URGENCY
from wingbarrow.decide.maintenance.messages import SlotRequest
from wingbarrow.decide.maintenance.slots import short_ident
from wingbarrow.decide.maintenance.windows import Occurrence, Series, UnsafePolicy, expand_all
from wingbarrow.decide.rulesets.agreed_drains import series_of
from wingbarrow.decide.rulesets.ruleset import RuleSet

MAX_DUE_REQUESTS = 4096
DEFAULT_URGENCY = 4  # for a window of precedence 0
PRECEDENCE_PER_URGENCY = 100


def urgency_of(precedence: int) -> int:
    """Map a precedence to an urgency: one step per hundred, rounded away from zero; from 0 to MAX_URGENCY - 1."""
    rounded_up = -(-abs(precedence) // PRECEDENCE_PER_URGENCY)
    step = rounded_up if precedence > 0 else -rounded_up
    return max(0, min(MAX_URGENCY - 1, DEFAULT_URGENCY + step))


def calendar_requests(
    rules: RuleSet,
    machines: Sequence[MachineState],
    wall_us: int,
    max_requests: int = MAX_DUE_REQUESTS,
) -> list[SlotRequest]:
    """Return the requests due at a wall time, by window and machine name, without the cancelled ones."""
    return list(islice(_requests(rules, machines, wall_us), max_requests))


def _requests(
    rules: RuleSet, machines: Sequence[MachineState], wall_us: int
) -> Iterator[SlotRequest]:
    lead_us = rules.plan.lead_us
    cancelled = {short_ident(key) for key in rules.cancelled}
    blackouts = rules.plan.rules(()).blackouts
    series = [series_of(each) for each in rules.windows]
    by_name = sorted(machines, key=lambda each: each.name)
    for occurrence in expand_all(series, wall_us, wall_us + lead_us + 1):
        latest_us = _latest_us(occurrence, lead_us)
        if not occurrence.start_us - lead_us <= wall_us < latest_us:
            continue
        if any(each.start_us <= occurrence.start_us < each.end_us for each in blackouts):
            continue
        for machine in by_name:
            ident = short_ident(f"{occurrence.ident}/{machine.name}")
            is_due = machine.running and ident not in cancelled
            if is_due and _selects(occurrence.series, machine):
                yield _request(occurrence, machine, ident, latest_us)


def _selects(series: Series, machine: MachineState) -> bool:
    return any(
        each.matches(machine.name, machine.cell, machine.zone, machine.labels)
        for each in series.selectors
    )


def _latest_us(occurrence: Occurrence, lead_us: int) -> int:
    """Latest start of work on a machine; work as long as its window gets a grace period after the window's start."""
    series = occurrence.series
    grace_us = min(lead_us, series.duration_us // 2)
    return max(occurrence.end_us - series.each_us, occurrence.start_us + grace_us)


def _request(
    occurrence: Occurrence, machine: MachineState, ident: str, latest_us: int
) -> SlotRequest:
    series = occurrence.series
    return SlotRequest(
        ident=ident,
        machine=machine.name,
        zone=machine.zone,
        cell=machine.cell,
        why=CALENDAR,
        urgency=urgency_of(series.precedence),
        latest_us=latest_us,
        lasts_us=series.each_us,
        unsafe=series.unsafe.value,
        ends_us=occurrence.end_us if series.unsafe is not UnsafePolicy.WAIT else 0,
        from_us=occurrence.start_us,
    )
