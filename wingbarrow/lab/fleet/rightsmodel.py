"""A model of rights in escrow, explored whole: asks, answers, losses, uses, deaths, changes of leader, in every order.

Abstract, and apart from the program's code: time passes in ticks, a grant lasts GRANT of them by its holder's count
from when it asked and GIVEN by its giver's; what runs lasts at most STRANDED beyond its placer's grant, or death. The
leader may give anything that is left, whatever is wanted. Errors can be planted; without one the whole is never passed.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace

from wingbarrow.lab.fleet.model import Explored, search

GRANT, GIVEN, STRANDED = 1, 2, 2
LAPSES = GIVEN + STRANDED


@dataclass(frozen=True, slots=True)
class RightsPlan:
    """What is explored, and which error is planted."""

    placers: int = 3
    whole: int = 2
    no_stranding: bool = False  # what has lapsed is free at once
    no_former: bool = False  # a former life's part is free at once
    hasty: bool = False  # a new leader thinks that it knows all
    stale: bool = False  # shares outlive the grant, and an answer after a gap brings rights
    reborn: bool = False  # a new leader takes one that is reborn for one that never held anything


@dataclass(frozen=True, slots=True, order=True)
class _Placer:
    share: int = 0
    uses: int = 0
    left: int = 0  # ticks of its grant
    idle: int = STRANDED  # ticks for which it has been without one
    way: tuple[str, int, int] = ("", 0, 0)  # ask: age, what it stated; answer: age, what was given
    young: int = 0  # ticks until nothing of a former life can be in use
    known: bool = False  # to the leader: what follows
    held: int = 0
    until: int = 0
    wait: int = 0
    former: int = 0
    former_until: int = 0


@dataclass(frozen=True, slots=True)
class _State:
    placers: tuple[_Placer, ...]
    orphans: tuple[int, int] = (0, 0)  # how many, and for how many ticks
    began: int = 0  # ticks until all that another leader gave has lapsed


def _passes(state: _State, whole: int) -> bool:
    return sum(each.uses for each in state.placers) + state.orphans[0] > whole


def _tick(each: _Placer, plan: RightsPlan) -> _Placer:
    left, idle = max(0, each.left - 1), 0 if each.left > 1 else min(STRANDED, each.idle + (each.left == 0))
    kind, age, figure = each.way
    former_until = max(0, each.former_until - 1)
    share = each.share if left or plan.stale else 0
    return replace(each, left=left, idle=idle, share=share, uses=0 if left == 0 and idle >= STRANDED else each.uses,
                   way=(kind, age + 1, figure) if kind and age < GRANT else ("", 0, 0),
                   young=max(0, each.young - 1), until=max(0, each.until - 1), wait=max(0, each.wait - 1),
                   held=each.held if each.until > 1 else 0, former=each.former if former_until else 0,
                   former_until=former_until)


def _in_use(each: _Placer) -> int:
    return (each.held if each.until else 0) + each.former


def _answers(state: _State, index: int, plan: RightsPlan) -> Iterator[_Placer]:
    """What the leader may answer to the ask that is under way."""
    placer = state.placers[index]
    _, age, stated = placer.way
    wait = placer.wait if placer.known else (0 if plan.reborn else placer.young)
    others = [each for number, each in enumerate(state.placers) if number != index]
    known = plan.hasty or state.began == 0 or (wait == 0 and all(each.known and each.wait == 0 for each in others))
    room = max(0, plan.whole - sum(map(_in_use, others)) - placer.former)
    most = min(plan.whole, room) if known else stated
    for given in range(most + 1):
        yield replace(placer, way=("answer", age, given), known=True, wait=wait, held=max(stated, given),
                      until=GIVEN if plan.no_stranding else LAPSES)


def _of_one(state: _State, index: int, plan: RightsPlan) -> Iterator[tuple[str, _Placer, int]]:
    """What may happen to one placer: the name of it, the placer after, uses that it leaves behind."""
    placer = state.placers[index]
    kind, age, figure = placer.way
    if not kind:
        yield "ask", replace(placer, way=("ask", 0, max(placer.share, placer.uses))), 0
    else:
        yield "loss", replace(placer, way=("", 0, 0)), 0
    if kind == "ask":
        for after in _answers(state, index, plan):
            yield f"answer {after.way[2]}", after, 0
    if kind == "answer" and age < GRANT:
        share = figure if placer.left or plan.stale else 0  # the first grant after a gap brings no rights
        yield f"takes {share}", replace(placer, share=share, left=max(placer.left, GRANT - age), idle=0,
                                         way=("", 0, 0)), 0
    if placer.left and placer.uses < placer.share:
        yield "use", replace(placer, uses=placer.uses + 1), 0
    if placer.uses:
        yield "end", replace(placer, uses=placer.uses - 1), 0
    former, until = (0, 0) if plan.no_former or not placer.known else (
        min(plan.whole, placer.held * (placer.until > 0) + placer.former), LAPSES)
    yield "death", _Placer(young=LAPSES, known=placer.known, wait=placer.wait, former=former,
                           former_until=until if former else 0), placer.uses


def _steps(state: _State, plan: RightsPlan) -> Iterator[tuple[str, _State]]:
    count, ticks = state.orphans
    yield "tick", _State(tuple(sorted(_tick(each, plan) for each in state.placers)),
                         (count, ticks - 1) if ticks > 1 else (0, 0), max(0, state.began - 1))
    for index, placer in enumerate(state.placers):
        if index and state.placers[index - 1] == placer:
            continue  # the same by symmetry
        for name, after, left in _of_one(state, index, plan):
            orphans = (count + left, STRANDED) if left else state.orphans
            yield name, replace(state, placers=tuple(sorted((*state.placers[:index], after,
                                                             *state.placers[index + 1:]))), orphans=orphans)
    yield "another leader", replace(state, began=LAPSES, placers=tuple(sorted(
        replace(each, known=False, held=0, until=0, wait=0, former=0, former_until=0) for each in state.placers)))


def explore_rights(plan: RightsPlan, most: int = 10_000_000) -> Explored:
    """Every state that can be reached from a fleet that holds nothing; MemoryError past `most` of them."""
    start = _State((_Placer(),) * plan.placers)
    return search(start, lambda state: _passes(state, plan.whole), lambda state: _steps(state, plan), most)
