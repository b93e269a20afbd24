"""A model of leases, explored whole: a session, its expiry, the machine's own stop, and what a successor starts.

Abstract, and apart from the program's code. Region A has a holder with two Jobs and their machine, region B their
keeper, who succeeds; the voters are one log with a leader that may change at any time. Time passes in ticks of the
leader's clock. A lease lasts `lease` ticks by its holder's and machine's clocks, which may lose one of them between
them; the leader reckons one longer. Every message may be lost or take any time: asks and grants, what is kept and its
answer, offers, renewals at the machine, the news of the end. Job 0 must not start twice: before its first byte leaves
the keeper knows that it is about to, and a machine in reach may prove that it never started. Job 1 is keyed: no copy
may start while one runs. Errors can be planted; without one nothing that must not happen is reachable.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from wingbarrow.lab.fleet.model import Explored, search

OPEN, PROPOSED, DECIDED, TOLD = range(4)  # how far the session's end has come
# Job 0: nothing; a word to the keeper is under way; the keeper has it; so does the holder know; an offer is under way;
# it runs; it has run; it was refused. Job 1: nothing, an offer is under way, it runs.
IDLE, KEEP, KEPT, KNOWN, OFFER, RUNS, RAN, REFUSED = range(8)
ERRORS = (
    "no_reckoning",
    "floor",
    "no_stop",
    "forgetful",
    "unkept",
    "from_arrival",
    "unconfirmed",
    "renews_ending",
    "fence_forgets",
    "goes_on",
)


@dataclass(frozen=True, slots=True)
class LeasePlan:
    """What is explored; `planted` names one of `ERRORS`, "" none.

    no_reckoning: the leader ends a session when the lease is over by its own clock. floor: who has no lease sends by
    the rules' floor. no_stop: the machine lets run what was not renewed. forgetful: a new leader does not wait.
    unkept: job 0 is sent before the keeper knows. from_arrival: a lease at the machine counts from when word of it
    came. unconfirmed: a leader answers that was deposed. renews_ending: a session is renewed whose end is proposed.
    fence_forgets: a machine tells only of what it holds, not of what it has run. goes_on: who has a new session goes
    on with the Jobs of the one that has ended.
    """

    jobs: int = 2
    lease: int = 2
    planted: str = ""


class _Left(NamedTuple):
    """Ticks that are left of a lease, and whether a clock has lost one of it; of a message also how old it is."""

    ticks: int
    lost: bool


NONE = _Left(0, False)


class _State(NamedTuple):
    reckoned: int  # ticks for which the leader still reckons with the session
    end: int
    held: _Left  # by the holder
    way: tuple[
        str, _Left
    ]  # ask, grant, or grant of a new session: what would be left of the lease it brings
    renewal: _Left  # under way to the machine
    jobs: tuple[tuple[int, _Left], ...]  # phase, what is left of the lease it goes or runs by
    about: bool  # the keeper knows that job 0 is about to start
    fenced: bool  # the machine refuses job 0 from now on
    copies: tuple[bool, ...]  # that the successor has started
    back: bool  # the holder has heard of the end, with a new session: what is under way is of that one
    late: bool  # a byte left after the end was decided


def _longer(left: _Left) -> tuple[int, bool]:
    return left.ticks, not left.lost


def _bad(state: _State) -> bool:
    if state.late:
        return True
    if state.copies[0] and state.jobs[0][0] in (RUNS, RAN):
        return True
    return len(state.jobs) > 1 and state.copies[1] and state.jobs[1][0] == RUNS


def _aged(left: _Left) -> tuple[_Left, ...]:
    """After a tick, with and without its clock losing it."""
    after = _Left(left.ticks - 1, left.lost) if left.ticks > 1 else NONE
    return (after,) if not left.ticks or left.lost else (after, _Left(left.ticks, True))


def _aged_job(phase: int, left: _Left, plan: LeasePlan, keyed: bool) -> Iterator[tuple[int, _Left]]:
    if phase == RUNS and plan.planted == "no_stop":
        yield phase, left
        return
    for after in _aged(left):
        if phase == RUNS and not after.ticks:
            yield (IDLE if keyed else RAN), NONE
        elif phase == OFFER and not after.ticks and plan.planted != "from_arrival":
            yield (IDLE if keyed else REFUSED), NONE  # it will be refused, whenever it comes
        else:
            yield phase, after


def _tick(state: _State, plan: LeasePlan) -> Iterator[_State]:
    ways = [(state.way[0], after) if after.ticks else ("", NONE) for after in _aged(state.way[1])]
    jobs = [
        list(_aged_job(phase, left, plan, bool(index)))
        for index, (phase, left) in enumerate(state.jobs)
    ]
    for held in _aged(state.held):
        for way in ways:
            for renewal in _aged(state.renewal):
                for first in jobs[0]:
                    for second in jobs[1] if len(jobs) > 1 else (None,):
                        yield state._replace(
                            reckoned=max(0, state.reckoned - 1),
                            held=held,
                            way=way,
                            renewal=renewal,
                            jobs=(first,) if second is None else (first, second),
                        )


def _session(state: _State, plan: LeasePlan) -> Iterator[tuple[str, _State]]:
    """Asks and grants, leaders, the end."""
    kind, left = state.way
    whole = plan.lease + (plan.planted != "no_reckoning")
    if kind:
        yield "loss", state._replace(way=("", NONE))
    else:
        yield "ask", state._replace(way=("ask", _Left(plan.lease, False)))
    if kind == "ask" and (
        state.end == OPEN or (state.end == PROPOSED and plan.planted == "renews_ending")
    ):
        yield "answer", state._replace(way=("grant", left), reckoned=whole)
    if kind == "ask" and plan.planted == "unconfirmed":
        yield "answer by one deposed", state._replace(way=("grant", left))
    if kind == "ask" and state.end >= DECIDED:
        yield "answer with a new session", state._replace(way=("new", left))
    if kind == "new":
        better = left if not state.back else max(state.held, left, key=_longer)
        yield "new session arrives", state._replace(way=("", NONE), held=better, back=True)
    if kind == "grant":
        better = max(state.held, left, key=_longer)
        yield "grant arrives", state._replace(way=("", NONE), held=better)
    if state.end == OPEN:
        yield "another leader", state._replace(reckoned=0 if plan.planted == "forgetful" else whole)
        if not state.reckoned:
            yield "end proposed", state._replace(end=PROPOSED)
    if state.end == PROPOSED:
        yield "end decided", state._replace(end=DECIDED)
    if state.end == DECIDED:
        yield "end told", state._replace(end=TOLD)


def _send(state: _State, plan: LeasePlan, index: int) -> Iterator[tuple[str, _State]]:
    """The gate, and the first byte."""
    phase = state.jobs[index][0]
    ready = phase == IDLE if index or plan.planted == "unkept" else phase == KNOWN
    may = state.held.ticks == plan.lease or (plan.lease > 2 and state.held.ticks == plan.lease - 1)
    of_it = not state.back or plan.planted == "goes_on"
    if ready and of_it and (may or plan.planted == "floor"):
        left = (
            state.held if state.held.ticks else _Left(1, True)
        )  # a floor knows of no lease: it makes one up
        yield (
            f"send {index}",
            _job(state, index, OFFER, left)._replace(late=state.late or state.end >= DECIDED),
        )


def _job(state: _State, index: int, phase: int, left: _Left = NONE) -> _State:
    return state._replace(jobs=(*state.jobs[:index], (phase, left), *state.jobs[index + 1 :]))


def _machine(state: _State, plan: LeasePlan) -> Iterator[tuple[str, _State]]:
    """Offers arrive; leases are renewed."""
    fresh = _Left(plan.lease, False) if plan.planted == "from_arrival" else None
    for index, (phase, left) in enumerate(state.jobs):
        if phase == OFFER:
            yield f"offer {index} lost", _job(state, index, IDLE if index else REFUSED)
            if not index and state.fenced:
                yield "offer 0 refused by epoch", _job(state, index, REFUSED)
            elif left.ticks or fresh:
                yield f"offer {index} starts", _job(state, index, RUNS, fresh or left)
        elif phase == RUNS:
            yield f"job {index} ends", _job(state, index, IDLE if index else RAN)
    if state.renewal.ticks:
        renewal = fresh or state.renewal
        jobs = tuple(
            (phase, max(left, renewal, key=_longer)) if phase == RUNS else (phase, left)
            for phase, left in state.jobs
        )
        yield "renewal arrives", state._replace(renewal=NONE, jobs=jobs)
        yield "renewal lost", state._replace(renewal=NONE)
    elif state.held.ticks and (not state.back or plan.planted == "goes_on"):
        yield "renewal sent", state._replace(renewal=state.held)


def _custody(state: _State) -> Iterator[tuple[str, _State]]:
    """What the keeper hears of job 0 before it leaves."""
    phase = state.jobs[0][0]
    if phase == IDLE:
        yield "keep", _job(state, 0, KEEP)
    if phase == KEEP:
        yield "keep lost", _job(state, 0, IDLE)
        if state.end != TOLD:
            yield "kept", _job(state, 0, KEPT)._replace(about=True)
    if phase == KEPT:
        yield "answer lost", _job(state, 0, KEEP)
        yield "known to be kept", _job(state, 0, KNOWN)


def _successor(state: _State, plan: LeasePlan) -> Iterator[tuple[str, _State]]:
    """What the keeper starts once it has heard of the end."""
    if state.end != TOLD:
        return
    phase = state.jobs[0][0]
    if not state.copies[0]:
        if not state.about:
            yield "successor starts 0", state._replace(copies=(True, *state.copies[1:]))
        elif (
            not state.fenced and phase != RUNS and (phase != RAN or plan.planted == "fence_forgets")
        ):
            yield (
                "the machine proves 0",
                state._replace(fenced=True, copies=(True, *state.copies[1:])),
            )
    if len(state.jobs) > 1 and not state.copies[1]:
        yield "successor starts 1", state._replace(copies=(state.copies[0], True))


def _steps(state: _State, plan: LeasePlan) -> Iterator[tuple[str, _State]]:
    for after in _tick(state, plan):
        yield "tick", after
    yield from _session(state, plan)
    yield from _machine(state, plan)
    yield from _custody(state)
    yield from _successor(state, plan)
    for index in range(len(state.jobs)):
        yield from _send(state, plan, index)


def explore_leases(plan: LeasePlan, most: int = 10_000_000) -> Explored:
    """Every state that can be reached from a session that is open and holds nothing; MemoryError past `most`."""
    if plan.planted and plan.planted not in ERRORS:
        raise ValueError(f"no error {plan.planted!r}")
    start = _State(
        plan.lease + 1,
        OPEN,
        NONE,
        ("", NONE),
        NONE,
        ((IDLE, NONE),) * plan.jobs,
        False,
        False,
        (False,) * plan.jobs,
        False,
        False,
    )
    return search(start, _bad, lambda state: _steps(state, plan), most)
