"""A model of turns, explored whole: grants, confirmations, machines' words, floors, leaders, losses, in every order.

Abstract, and apart from the program's code. Placers may send to two machines, of which one may be out; a lost one
spends that. A placer acts by a grant, or on its floor, on which it knows of no turns (one that may do nothing is within
that: nobody has to send). An answer to an ask tells of the turns as they were when it was given, and may come late, or
never; so may what is sent. A grant lapses at its holder before the leader reckons so; a new leader knows of none, nor
of any confirmation or word. Turns of a machine follow each other without end: what is known of one counts as of an
earlier number from its end on. Bad is work on a machine with a task on it, or by a turn that is over; a machine given
out beyond the budget; and one given out though somebody that acts by a grant has something on its way to it.
Errors can be planted; without one nothing bad is reachable.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from wingbarrow.lab.fleet.model import Explored, search

MACHINES = 2
BY_FLOOR = MACHINES  # added to what was sent by one whose grant has lapsed since, or by the floor
NOTHING = -1
NONE, EARLIER, NOW = (
    0,
    1,
    2,
)  # of which number something is known: of none, of an earlier turn's, of this one's


class TurnsPlan(NamedTuple):
    """What is explored, and which error is planted."""

    placers: int = 3
    no_word: bool = False  # out without the machine's word
    no_placers: bool = False  # out without the placers'
    deposed: bool = False  # a leader that was deposed lets work go on
    lost_free: bool = False  # lost machines spend no budget
    closing_only: bool = (
        False  # the budget is looked at when a turn closes, and not when it goes out
    )
    any_number: bool = False  # what was confirmed under an earlier number counts for a later one
    hasty: bool = False  # a new leader does not wait for grants that the one before gave
    floor_free: bool = False  # the machine takes what comes by a floor


class _Placer(NamedTuple):
    granted: bool = False  # acts by a grant; else, it may, by its floor
    live: bool = False  # the leader reckons with its grant
    knows: tuple[int, ...] = (
        NONE,
    ) * MACHINES  # of which turns it was told, and has closed the machine
    told: tuple[int, ...] = (NONE,) * MACHINES  # what the leader has heard from it
    way: tuple[int, ...] | None = None  # an answer on its way to it: of which turns it tells
    sent: int = NOTHING


class _Machine(NamedTuple):
    state: str = "in"  # in, closing, out; what an open machine runs does not matter
    up: bool = True
    shut: bool = False
    task: bool = False
    word: int = NONE  # what the leader has heard that it said: shut and empty
    works: int = NONE  # by which turn somebody works on it
    over: bool = False  # it went out beyond the budget
    believed: int = NONE  # which turn a deposed leader believes to be out


class _State(NamedTuple):
    placers: tuple[_Placer, ...]
    machines: tuple[_Machine, ...] = (_Machine(),) * MACHINES
    waits: bool = False  # grants of an earlier leader may not have lapsed


def _bad(state: _State) -> bool:
    for which, machine in enumerate(state.machines):
        if machine.over or machine.works == EARLIER or (machine.works and machine.task):
            return True
        if machine.state == "out" and any(each.sent == which for each in state.placers):
            return True
    return False


def _set(values: tuple[int, ...], index: int, value: int) -> tuple[int, ...]:
    return (*values[:index], value, *values[index + 1 :])


def _with_machine(state: _State, which: int, machine: _Machine) -> _State:
    return state._replace(machines=(*state.machines[:which], machine, *state.machines[which + 1 :]))


def _with_placer(state: _State, index: int, placer: _Placer) -> _State:
    return state._replace(
        placers=_sorted((*state.placers[:index], placer, *state.placers[index + 1 :]))
    )


def _sorted(placers: tuple[_Placer, ...]) -> tuple[_Placer, ...]:
    return tuple(sorted(placers, key=lambda each: (each[:4], each.way or (), each.sent)))


def _of_placer(state: _State, index: int, plan: TurnsPlan) -> Iterator[tuple[str, _State]]:
    placer = state.placers[index]

    def to(**more: object) -> _State:
        return _with_placer(state, index, placer._replace(**more))  # type: ignore[arg-type]

    if placer.way is None:
        yield (
            "an ask is answered",
            to(
                live=True, way=tuple(NONE if each.state == "in" else NOW for each in state.machines)
            ),
        )
    else:
        yield "an answer is lost", to(way=None)
        if placer.live:  # one that came later than its grant lasts gives nothing
            by_floor = (
                placer.sent
                if placer.granted or placer.sent < 0
                else placer.sent % MACHINES + BY_FLOOR
            )
            knows = tuple(map(max, placer.knows, placer.way))  # a late answer opens nothing
            yield "an answer arrives", to(granted=True, knows=knows, way=None, sent=by_floor)
    if placer.granted:
        yield (
            "a grant lapses",
            to(
                granted=False,
                sent=placer.sent if placer.sent < 0 else placer.sent % MACHINES + BY_FLOOR,
            ),
        )
    elif placer.live:
        yield "a grant is reckoned lapsed", to(live=False, way=None)
    yield from _sends(state, index, plan)
    for which, number in enumerate(placer.knows):
        if (number > placer.told[which] and placer.sent % MACHINES != which) or (
            number > placer.told[which] and placer.sent < 0
        ):
            yield f"it confirms {which}", to(told=_set(placer.told, which, number))


def _sends(state: _State, index: int, plan: TurnsPlan) -> Iterator[tuple[str, _State]]:
    placer = state.placers[index]
    if placer.sent < 0:
        for which in range(MACHINES):
            if not placer.granted:
                yield (
                    f"it sends to {which} by its floor",
                    _with_placer(state, index, placer._replace(sent=which + BY_FLOOR)),
                )
            elif placer.knows[which] != NOW:
                yield (
                    f"it sends to {which}",
                    _with_placer(state, index, placer._replace(sent=which)),
                )
        return
    which, by_floor = placer.sent % MACHINES, placer.sent >= BY_FLOOR
    machine, after = (
        state.machines[which],
        _with_placer(state, index, placer._replace(sent=NOTHING)),
    )
    yield "what was sent is refused, or lost", after
    if (
        machine.state != "in"
        and machine.up
        and (not machine.shut or (by_floor and plan.floor_free))
    ):
        yield f"a task comes to {which}", _with_machine(after, which, machine._replace(task=True))


def _proved(state: _State, which: int, plan: TurnsPlan) -> bool:
    least = EARLIER if plan.any_number else NOW
    if not plan.no_placers and (
        (state.waits and not plan.hasty)
        or any(each.live and each.told[which] < least for each in state.placers)
    ):
        return False
    return plan.no_word or state.machines[which].word >= least


def _spent(state: _State, which: int, plan: TurnsPlan) -> bool:
    return any(
        each.state != "in" or (not each.up and not plan.lost_free)
        for index, each in enumerate(state.machines)
        if index != which
    )


def _of_machine(state: _State, which: int, plan: TurnsPlan) -> Iterator[tuple[str, _State]]:
    machine = state.machines[which]

    def to(**more: object) -> _State:
        return _with_machine(state, which, machine._replace(**more))  # type: ignore[arg-type]

    if machine.state == "in":
        if not _spent(state, which, plan):
            yield f"{which} closes, with a task", to(state="closing", task=machine.up)
            yield f"{which} closes", to(state="closing")
    else:
        if machine.up and not machine.shut:
            yield f"{which} is shut", to(shut=True)
        if machine.up and machine.shut and not machine.task and machine.word != NOW:
            yield f"{which} says that it is empty", to(word=NOW)
        if machine.task:
            yield f"a task on {which} ends", to(task=False)
        if not machine.works:
            yield f"{which} is back, or given back", _over(state, which, plan)
    if (
        machine.state == "closing"
        and _proved(state, which, plan)
        and (plan.closing_only or not _spent(state, which, plan))
    ):
        yield (
            f"{which} is out",
            to(state="out", over=_spent(state, which, plan._replace(lost_free=False))),
        )
    if machine.state == "out" and not machine.works:
        yield f"work on {which} begins", to(works=NOW)
    if machine.works:
        yield f"work on {which} stops", to(works=NONE)
    elif machine.believed:
        yield f"a deposed leader lets work on {which} begin", to(works=machine.believed)
    if machine.up:
        yield f"{which} is lost", to(up=False, task=False)
    else:
        yield f"{which} is found", to(up=True)


def _over(state: _State, which: int, plan: TurnsPlan) -> _State:
    """A turn ends, and the machine is open: what is known of it is of an earlier number from now on."""

    def past(values: tuple[int, ...]) -> tuple[int, ...]:
        return _set(values, which, EARLIER if values[which] and plan.any_number else NONE)

    machine = state.machines[which]
    state = state._replace(
        placers=_sorted(
            tuple(
                each._replace(
                    knows=past(each.knows),
                    told=past(each.told),
                    way=past(each.way) if each.way else None,
                )
                for each in state.placers
            )
        )
    )
    return _with_machine(
        state,
        which,
        _Machine(
            "in",
            machine.up,
            word=EARLIER if machine.word and plan.any_number else NONE,
            believed=EARLIER if machine.believed else NONE,
        ),
    )


def _steps(state: _State, plan: TurnsPlan) -> Iterator[tuple[str, _State]]:
    for index, placer in enumerate(state.placers):
        if not index or state.placers[index - 1] != placer:  # else the same by symmetry
            yield from _of_placer(state, index, plan)
    for which in range(MACHINES):
        yield from _of_machine(state, which, plan)
    yield (
        "another leader",
        _State(
            _sorted(
                tuple(
                    each._replace(told=(NONE,) * MACHINES, live=False, way=None)
                    for each in state.placers
                )
            ),
            tuple(
                each._replace(
                    word=NONE, believed=NOW if plan.deposed and each.state == "out" else NONE
                )
                for each in state.machines
            ),
            True,
        ),
    )
    if state.waits and not any(each.granted and not each.live for each in state.placers):
        yield "earlier grants have lapsed", state._replace(waits=False)


def _canonical(state: _State) -> _State:
    """The same but for which machine is called which."""
    one, other = state.machines
    if one < other:
        return state
    swapped = _State(
        _sorted(
            tuple(
                each._replace(
                    knows=each.knows[::-1],
                    told=each.told[::-1],
                    way=each.way[::-1] if each.way else None,
                    sent=each.sent if each.sent < 0 else each.sent ^ 1,
                )
                for each in state.placers
            )
        ),
        (other, one),
        state.waits,
    )
    return swapped if other < one else min(state, swapped, key=repr)


def explore_turns(plan: TurnsPlan, most: int = 20_000_000) -> Explored:
    """Every state that can be reached from a fleet that knows of nothing; MemoryError past `most` of them."""
    return search(
        _State((_Placer(),) * plan.placers),
        _bad,
        lambda state: ((name, _canonical(after)) for name, after in _steps(state, plan)),
        most,
    )
