"""An exhaustively explored model of maintenance slots: grants, confirmations, reports, floors, leaders, losses.

The model is abstract and shares no code with the implementation. Placers may send tasks to two machines. The budget
allows one machine to be out for maintenance; a lost machine uses it up. A placer acts by a grant, or by its floor, in
which case it knows no slots. (A placer that may do nothing is covered, as nobody has to send.) An answer to an ask has
the slots as of when it was given, and may arrive late or never; so may a task. A grant lapses at its holder before the
leader regards it as lapsed. A new leader knows no grants, confirmations or reports. Slots of a machine follow each
other without end: after the end of a slot, knowledge of it counts as knowledge of an earlier slot. Violations are work
on a machine with a task on it or by a slot that has ended; a machine out beyond the budget; and a machine that is out
while a placer with a grant has a task in flight to it. Errors can be planted; without one, none is reachable.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from wingbarrow.lab.fleet.grant_model import Exploration, search

MACHINES = 2
# Added to the target of a task sent by the floor, or by a grant that has lapsed since.
BY_FLOOR = MACHINES
NOT_SENT = -1
# The slot of a machine that a piece of knowledge is about.
NO_SLOT = 0
EARLIER_SLOT = 1
CURRENT_SLOT = 2


class SlotPlan(NamedTuple):
    """Parameters of an exploration; each flag plants one error."""

    placers: int = 3
    no_word: bool = False  # a machine goes out without its own report that it is empty
    no_placers: bool = False  # a machine goes out without the confirmations of the placers
    deposed: bool = False  # a deposed leader allows work to start
    lost_free: bool = False  # lost machines use no budget
    closing_only: bool = False  # the budget is checked when a machine closes, not when it goes out
    any_number: bool = False  # a confirmation of an earlier slot counts for a later one
    hasty: bool = False  # a new leader does not wait for grants of the one before
    floor_free: bool = False  # a closed machine accepts tasks sent by the floor


class _Placer(NamedTuple):
    granted: bool = False  # acts by a grant; else it may act by its floor
    lease_open: bool = False  # the leader regards its grant as valid
    # Per machine: the slot that it was notified of and for which it has closed the machine.
    notified: tuple[int, ...] = (NO_SLOT,) * MACHINES
    confirmed: tuple[int, ...] = (NO_SLOT,) * MACHINES  # per machine: the slot it confirmed
    answer: tuple[int, ...] | None = None  # the slots in an answer in flight to it
    sent: int = NOT_SENT  # target of the task in flight


class _Machine(NamedTuple):
    state: str = "in"  # in, closing, out; the tasks of an open machine do not matter
    up: bool = True
    closed: bool = False
    task: bool = False
    reported: int = NO_SLOT  # the slot for which the leader knows that it is closed and empty
    work_slot: int = NO_SLOT  # the slot by which somebody works on it
    over_budget: bool = False  # it went out beyond the budget
    believed_slot: int = NO_SLOT  # the slot that a deposed leader believes to be out


class _State(NamedTuple):
    placers: tuple[_Placer, ...]
    machines: tuple[_Machine, ...] = (_Machine(),) * MACHINES
    waits_for_leases: bool = False  # grants of an earlier leader may still be valid


def _is_violation(state: _State) -> bool:
    for machine_index, machine in enumerate(state.machines):
        if (
            machine.over_budget
            or machine.work_slot == EARLIER_SLOT
            or (machine.work_slot and machine.task)
        ):
            return True
        if machine.state == "out" and any(each.sent == machine_index for each in state.placers):
            return True
    return False


def _with_value(values: tuple[int, ...], index: int, value: int) -> tuple[int, ...]:
    return (*values[:index], value, *values[index + 1 :])


def _with_machine(state: _State, machine_index: int, machine: _Machine) -> _State:
    return state._replace(
        machines=(*state.machines[:machine_index], machine, *state.machines[machine_index + 1 :])
    )


def _with_placer(state: _State, index: int, placer: _Placer) -> _State:
    return state._replace(
        placers=_sorted((*state.placers[:index], placer, *state.placers[index + 1 :]))
    )


def _sorted(placers: tuple[_Placer, ...]) -> tuple[_Placer, ...]:
    return tuple(sorted(placers, key=lambda each: (each[:4], each.answer or (), each.sent)))


def _placer_steps(state: _State, index: int, plan: SlotPlan) -> Iterator[tuple[str, _State]]:
    placer = state.placers[index]

    def changed(**changes: object) -> _State:
        return _with_placer(state, index, placer._replace(**changes))  # type: ignore[arg-type]

    if placer.answer is None:
        yield (
            "an ask is answered",
            changed(
                lease_open=True,
                answer=tuple(
                    NO_SLOT if each.state == "in" else CURRENT_SLOT for each in state.machines
                ),
            ),
        )
    else:
        yield "an answer is lost", changed(answer=None)
        if placer.lease_open:  # an answer that arrives after its grant has lapsed has no effect
            sent = (
                placer.sent
                if placer.granted or placer.sent < 0
                else placer.sent % MACHINES + BY_FLOOR
            )
            # A late answer reopens no machine.
            notified = tuple(map(max, placer.notified, placer.answer))
            yield (
                "an answer arrives",
                changed(granted=True, notified=notified, answer=None, sent=sent),
            )
    if placer.granted:
        yield (
            "a grant lapses",
            changed(
                granted=False,
                sent=placer.sent if placer.sent < 0 else placer.sent % MACHINES + BY_FLOOR,
            ),
        )
    elif placer.lease_open:
        yield "the leader regards a grant as lapsed", changed(lease_open=False, answer=None)
    yield from _send_steps(state, index, plan)
    for machine_index, slot in enumerate(placer.notified):
        if (slot > placer.confirmed[machine_index] and placer.sent % MACHINES != machine_index) or (
            slot > placer.confirmed[machine_index] and placer.sent < 0
        ):
            yield (
                f"it confirms {machine_index}",
                changed(confirmed=_with_value(placer.confirmed, machine_index, slot)),
            )


def _send_steps(state: _State, index: int, plan: SlotPlan) -> Iterator[tuple[str, _State]]:
    placer = state.placers[index]
    if placer.sent < 0:
        for machine_index in range(MACHINES):
            if not placer.granted:
                yield (
                    f"it sends to {machine_index} by its floor",
                    _with_placer(state, index, placer._replace(sent=machine_index + BY_FLOOR)),
                )
            elif placer.notified[machine_index] != CURRENT_SLOT:
                yield (
                    f"it sends to {machine_index}",
                    _with_placer(state, index, placer._replace(sent=machine_index)),
                )
        return
    machine_index, by_floor = placer.sent % MACHINES, placer.sent >= BY_FLOOR
    machine, after = (
        state.machines[machine_index],
        _with_placer(state, index, placer._replace(sent=NOT_SENT)),
    )
    yield "what was sent is refused, or lost", after
    if (
        machine.state != "in"
        and machine.up
        and (not machine.closed or (by_floor and plan.floor_free))
    ):
        yield (
            f"a task comes to {machine_index}",
            _with_machine(after, machine_index, machine._replace(task=True)),
        )


def _is_proven_empty(state: _State, machine_index: int, plan: SlotPlan) -> bool:
    min_slot = EARLIER_SLOT if plan.any_number else CURRENT_SLOT
    if not plan.no_placers and (
        (state.waits_for_leases and not plan.hasty)
        or any(
            each.lease_open and each.confirmed[machine_index] < min_slot for each in state.placers
        )
    ):
        return False
    return plan.no_word or state.machines[machine_index].reported >= min_slot


def _budget_spent(state: _State, machine_index: int, plan: SlotPlan) -> bool:
    return any(
        each.state != "in" or (not each.up and not plan.lost_free)
        for index, each in enumerate(state.machines)
        if index != machine_index
    )


def _machine_steps(
    state: _State, machine_index: int, plan: SlotPlan
) -> Iterator[tuple[str, _State]]:
    machine = state.machines[machine_index]

    def changed(**changes: object) -> _State:
        return _with_machine(state, machine_index, machine._replace(**changes))  # type: ignore[arg-type]

    if machine.state == "in":
        if not _budget_spent(state, machine_index, plan):
            yield f"{machine_index} closes, with a task", changed(state="closing", task=machine.up)
            yield f"{machine_index} closes", changed(state="closing")
    else:
        if machine.up and not machine.closed:
            yield f"{machine_index} is closed", changed(closed=True)
        if machine.up and machine.closed and not machine.task and machine.reported != CURRENT_SLOT:
            yield f"{machine_index} reports that it is empty", changed(reported=CURRENT_SLOT)
        if machine.task:
            yield f"a task on {machine_index} ends", changed(task=False)
        if not machine.work_slot:
            yield f"{machine_index} leaves its slot", _after_slot(state, machine_index, plan)
    if (
        machine.state == "closing"
        and _is_proven_empty(state, machine_index, plan)
        and (plan.closing_only or not _budget_spent(state, machine_index, plan))
    ):
        yield (
            f"{machine_index} is out",
            changed(
                state="out",
                over_budget=_budget_spent(state, machine_index, plan._replace(lost_free=False)),
            ),
        )
    if machine.state == "out" and not machine.work_slot:
        yield f"work on {machine_index} begins", changed(work_slot=CURRENT_SLOT)
    if machine.work_slot:
        yield f"work on {machine_index} stops", changed(work_slot=NO_SLOT)
    elif machine.believed_slot:
        yield (
            f"a deposed leader lets work on {machine_index} begin",
            changed(work_slot=machine.believed_slot),
        )
    if machine.up:
        yield f"{machine_index} is lost", changed(up=False, task=False)
    else:
        yield f"{machine_index} is found", changed(up=True)


def _after_slot(state: _State, machine_index: int, plan: SlotPlan) -> _State:
    """The state after the end of a slot: the machine is open; knowledge of the slot is of an earlier one."""

    def expired(values: tuple[int, ...]) -> tuple[int, ...]:
        return _with_value(
            values,
            machine_index,
            EARLIER_SLOT if values[machine_index] and plan.any_number else NO_SLOT,
        )

    machine = state.machines[machine_index]
    state = state._replace(
        placers=_sorted(
            tuple(
                each._replace(
                    notified=expired(each.notified),
                    confirmed=expired(each.confirmed),
                    answer=expired(each.answer) if each.answer else None,
                )
                for each in state.placers
            )
        )
    )
    return _with_machine(
        state,
        machine_index,
        _Machine(
            "in",
            machine.up,
            reported=EARLIER_SLOT if machine.reported and plan.any_number else NO_SLOT,
            believed_slot=EARLIER_SLOT if machine.believed_slot else NO_SLOT,
        ),
    )


def _steps(state: _State, plan: SlotPlan) -> Iterator[tuple[str, _State]]:
    for index, placer in enumerate(state.placers):
        if not index or state.placers[index - 1] != placer:  # equal placers have equal steps
            yield from _placer_steps(state, index, plan)
    for machine_index in range(MACHINES):
        yield from _machine_steps(state, machine_index, plan)
    yield (
        "another leader",
        _State(
            _sorted(
                tuple(
                    each._replace(confirmed=(NO_SLOT,) * MACHINES, lease_open=False, answer=None)
                    for each in state.placers
                )
            ),
            tuple(
                each._replace(
                    reported=NO_SLOT,
                    believed_slot=CURRENT_SLOT if plan.deposed and each.state == "out" else NO_SLOT,
                )
                for each in state.machines
            ),
            True,
        ),
    )
    if state.waits_for_leases and not any(
        each.granted and not each.lease_open for each in state.placers
    ):
        yield "earlier grants have lapsed", state._replace(waits_for_leases=False)


def _canonical(state: _State) -> _State:
    """The representative of the states that differ only in the order of the machines."""
    one, other = state.machines
    if one < other:
        return state
    swapped = _State(
        _sorted(
            tuple(
                each._replace(
                    notified=each.notified[::-1],
                    confirmed=each.confirmed[::-1],
                    answer=each.answer[::-1] if each.answer else None,
                    sent=each.sent if each.sent < 0 else each.sent ^ 1,
                )
                for each in state.placers
            )
        ),
        (other, one),
        state.waits_for_leases,
    )
    return swapped if other < one else min(state, swapped, key=repr)


def explore_slots(plan: SlotPlan, max_states: int = 20_000_000) -> Exploration:
    """Explore every state reachable from a fleet without slots; raises MemoryError above `max_states` states."""
    return search(
        _State((_Placer(),) * plan.placers),
        _is_violation,
        lambda state: ((name, _canonical(after)) for name, after in _steps(state, plan)),
        max_states,
    )
