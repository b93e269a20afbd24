"""A model of rights in blocks, explored whole: asks, answers, losses, uses, deaths, moves, changes of leader, at will.

Abstract, and apart from the program's code: time passes in ticks, a grant lasts GRANT of them by its holder's count
from when it asked and GIVEN by its giver's; what runs lasts at most STRANDED beyond its placer's grant, or death. The
leader may move any block at any time, whatever is wanted; an entry is decided at once. Errors can be planted; without
one the whole is never passed.
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

    placers: int = 2
    whole: int = 1
    no_lag: bool = False  # what has lapsed is free at once
    no_debt: bool = False  # a former life's part is free at once
    one_life: bool = False  # a new life is taken for the one before
    any_word: bool = False  # an ask that was sent to an earlier leader proves what its sender holds
    at_once: bool = False  # a lowered size counts as lowered without any proof
    forgetful: bool = False  # a new leader knows nothing of blocks
    any_answer: bool = False  # an answer to an ask before the latest is taken


@dataclass(frozen=True, slots=True, order=True)
class _Placer:
    # The placer's own.
    share: int = 0
    uses: int = 0
    left: int = 0  # ticks of its grant
    idle: int = STRANDED  # ticks for which it has been without one
    seen: bool = False  # it has taken a grant of this leader's
    # Its latest ask or the answer: kind, age, what was stated or given, whether it proves (ask) or is of now (answer).
    way: tuple[str, int, int, bool] = ("", 0, 0, False)
    late: tuple[int, int, bool] = (
        0,
        -1,
        False,
    )  # the ask before, still on its way: age, stated, whether it proves
    passed: bool = False  # this leader has heard of a later one than that
    void: int = -1  # an answer to the ask before, still on its way
    # Decided.
    size: int = 0
    count: int = 0
    known: bool = True  # the life that the block is for
    debts: tuple[int, ...] = (0,) * (
        STRANDED + 1
    )  # what former lives may have in use, by ticks until it is over
    # The leader's.
    said: int = -1  # what it holds by its word
    until: int = 0  # ticks until nothing of the life that the block is for can be in use


@dataclass(frozen=True, slots=True)
class _State:
    placers: tuple[_Placer, ...]
    orphans: tuple[int, ...] = (
        0,
    ) * STRANDED  # what runs of former lives, by ticks that it still does


def _passes(state: _State, whole: int) -> bool:
    return sum(each.uses for each in state.placers) + sum(state.orphans) > whole


def _tick(each: _Placer) -> _Placer:
    left, idle = (
        max(0, each.left - 1),
        0 if each.left > 1 else min(STRANDED, each.idle + (each.left == 0)),
    )
    kind, age, figure, good = each.way
    way = (kind, min(GRANT, age + 1), figure, good) if kind else each.way
    if kind == "answer" and age + 1 > GRANT:
        way = ("", 0, 0, False)
    return replace(
        each,
        left=left,
        idle=idle,
        share=each.share if left else 0,
        way=way,
        uses=0 if left == 0 and idle >= STRANDED else each.uses,
        late=(min(GRANT, each.late[0] + 1), *each.late[1:]) if each.late[1] >= 0 else each.late,
        void=each.void if left else -1,
        until=max(0, each.until - 1),
        debts=(each.debts[0] + each.debts[1], *each.debts[2:], 0),
    )


def _heard(placer: _Placer, plan: RightsPlan) -> Iterator[_Placer]:
    """What the leader may answer to the ask that is under way."""
    _, age, stated, proves = placer.way
    if not placer.known:
        if plan.one_life:
            placer = replace(placer, known=True)
        else:
            debt = 0 if plan.no_debt else placer.count
            placer = replace(
                placer,
                known=True,
                debts=(*placer.debts[:-1], placer.debts[-1] + debt),
                size=0,
                count=0,
                said=-1,
            )
    for given in {0, placer.size}:
        yield replace(
            placer,
            way=("answer", age, given, True),
            passed=placer.late[1] >= 0,
            until=LAPSES,
            said=max(stated, given) if proves or plan.any_word else -1,
        )


def _mail(placer: _Placer, plan: RightsPlan) -> Iterator[tuple[str, _Placer]]:
    kind, age, figure, now = placer.way
    ask = ("ask", 0, max(placer.share, placer.uses), placer.seen)
    if kind == "ask":
        yield "ask again", replace(placer, way=ask, late=(age, figure, now), passed=False)
        for after in _heard(placer, plan):
            yield f"answer {after.way[2]}", after
    elif kind == "answer":
        void = figure if plan.any_answer and age < GRANT else -1
        yield "ask again", replace(placer, way=ask, void=void)
        yield (
            f"takes {figure}",
            replace(
                placer,
                share=figure if age < GRANT else placer.share,
                idle=0 if (age < GRANT) else placer.idle,
                left=max(placer.left, GRANT - age),
                seen=placer.seen or now,
                way=("", 0, 0, False),
            ),
        )
    else:
        yield "ask", replace(placer, way=ask)
    if kind:
        yield "loss", replace(placer, way=("", 0, 0, False))
    if placer.void >= 0 and placer.left:
        yield f"takes late {placer.void}", replace(placer, share=placer.void, void=-1)
    if placer.late[1] >= 0 and placer.known and not placer.passed:
        # The answer to an ask that was given up brings a grant and no rights; the ask's word may count.
        age, stated, proves = placer.late
        yield (
            "late ask",
            replace(
                placer,
                late=(0, -1, False),
                left=max(placer.left, GRANT - age),
                until=LAPSES,
                idle=0 if age < GRANT else placer.idle,
                said=max(stated, placer.size) if (proves or plan.any_word) else placer.said,
            ),
        )


def _of_one(state: _State, index: int, plan: RightsPlan) -> Iterator[tuple[str, _Placer, int]]:
    """What may happen to one placer: the name of it, the placer after, uses that it leaves behind."""
    placer = state.placers[index]
    for name, after in _mail(placer, plan):
        yield name, after, 0
    if placer.left and placer.uses < placer.share:
        yield "use", replace(placer, uses=placer.uses + 1), 0
    if placer.uses:
        yield "end", replace(placer, uses=placer.uses - 1), 0
    yield (
        "death",
        replace(
            placer,
            share=0,
            uses=0,
            left=0,
            idle=STRANDED,
            seen=False,
            way=("", 0, 0, False),
            late=(0, -1, False),
            passed=False,
            void=-1,
            known=False,
            said=-1,
        ),
        placer.uses,
    )
    # Moves.
    if placer.size:
        yield (
            "lower",
            replace(
                placer,
                size=placer.size - 1,
                count=placer.size - 1 if plan.at_once else placer.count,
            ),
            0,
        )
    room = plan.whole - sum(each.count + sum(each.debts) for each in state.placers)
    if placer.known and (room > 0 or placer.count > placer.size):
        yield (
            "raise",
            replace(placer, size=placer.size + 1, count=max(placer.count, placer.size + 1)),
            0,
        )
    if placer.known and placer.said >= 0 and max(placer.size, placer.said) < placer.count:
        yield "proven by word", replace(placer, count=max(placer.size, placer.said)), 0
    if placer.count and placer.until <= (STRANDED if plan.no_lag else 0):
        yield "proven by time", replace(placer, size=0, count=0), 0
    if placer.debts[0]:
        yield "debt over", replace(placer, debts=(0, *placer.debts[1:])), 0


def _steps(state: _State, plan: RightsPlan) -> Iterator[tuple[str, _State]]:
    yield "tick", _State(tuple(sorted(map(_tick, state.placers))), (*state.orphans[1:], 0))
    for index, placer in enumerate(state.placers):
        if index and state.placers[index - 1] == placer:
            continue  # the same by symmetry
        for name, after, left in _of_one(state, index, plan):
            orphans = (*state.orphans[:-1], state.orphans[-1] + left)
            yield (
                name,
                replace(
                    state,
                    placers=tuple(
                        sorted((*state.placers[:index], after, *state.placers[index + 1 :]))
                    ),
                    orphans=orphans,
                ),
            )
    yield (
        "another leader",
        replace(state, placers=tuple(sorted(_reign(each, plan) for each in state.placers))),
    )


def _reign(each: _Placer, plan: RightsPlan) -> _Placer:
    """What is left of a placer's state, and of its mail, under another leader."""
    kind, age, figure, _ = each.way
    return replace(
        each,
        seen=False,
        passed=False,
        said=-1,
        until=LAPSES,
        debts=(*[0] * STRANDED, sum(each.debts)),
        way=(kind, age, figure, False),
        late=(*each.late[:2], False),
        size=0 if plan.forgetful else each.size,
        count=0 if plan.forgetful else each.count,
    )


def explore_rights(plan: RightsPlan, most: int = 10_000_000) -> Explored:
    """Every state that can be reached from a fleet that holds nothing; MemoryError past `most` of them."""
    start = _State((_Placer(),) * plan.placers)
    return search(
        start, lambda state: _passes(state, plan.whole), lambda state: _steps(state, plan), most
    )
