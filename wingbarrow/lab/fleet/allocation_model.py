"""An exhaustively explored model of quota allocations: asks, answers, losses, uses, deaths, moves, changes of leader.

The model is abstract and shares no code with the implementation. Time passes in ticks. A grant lasts `HOLDER_LEASE`
ticks for its holder, counted from the ask, and `LEADER_LEASE` ticks for the leader. A task runs for at most
`MAX_STRANDED` ticks after its placer's grant has expired or its placer has died. The leader may change any allocation
at any time, whatever the demand; an entry of the log is decided at once. Errors can be planted; without one, the limit
is never exceeded.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace

from wingbarrow.lab.fleet.grant_model import Exploration, search

# All in ticks.
HOLDER_LEASE = 1
LEADER_LEASE = 2
MAX_STRANDED = 2  # how long a task may run without its placer
RELEASE_DELAY = LEADER_LEASE + MAX_STRANDED


@dataclass(frozen=True, slots=True)
class AllocationPlan:
    """Parameters of an exploration; each flag plants one error."""

    placers: int = 2
    limit: int = 1
    no_lag: bool = False  # an expired allocation is free at once
    no_debt: bool = False  # the allocation of a former incarnation is free at once
    one_life: bool = False  # a new incarnation is taken for the one before
    any_word: bool = False  # an ask sent to an earlier leader counts as a report of usage
    at_once: bool = False  # a lowered allocation counts as released without proof
    forgetful: bool = False  # a new leader knows no allocations
    any_answer: bool = False  # the answer to an ask before the latest is accepted


@dataclass(frozen=True, slots=True, order=True)
class _Placer:
    # State of the placer itself.
    share: int = 0
    in_use: int = 0
    lease_ticks: int = 0  # left of its grant
    idle_ticks: int = MAX_STRANDED  # ticks without a grant, at most MAX_STRANDED
    has_leader_grant: bool = False  # accepted a grant of the current leader
    # Its latest ask, or the answer: kind; age; amount stated or granted; whether an ask counts as a report, or an
    # answer is of the current leader.
    message: tuple[str, int, int, bool] = ("", 0, 0, False)
    # The ask before, still in flight: age, amount stated (-1: none), whether it counts as a report.
    earlier_ask: tuple[int, int, bool] = (0, -1, False)
    later_ask_answered: bool = False  # the current leader has answered a later ask than that
    earlier_answer: int = -1  # amount in an answer to the ask before, still in flight; -1: none
    # Decided in the log.
    allocation: int = 0
    counted: int = 0  # counts against the limit until its release is proven
    known: bool = True  # the allocation is for the placer's current incarnation
    # What former incarnations may have in use, by ticks until it ends.
    debts: tuple[int, ...] = (0,) * (MAX_STRANDED + 1)
    # State of the leader.
    reported_max: int = -1  # the most that the placer holds by its report; -1: unknown
    release_ticks: int = 0  # ticks until the current allocation can have nothing in use


@dataclass(frozen=True, slots=True)
class _State:
    placers: tuple[_Placer, ...]
    orphans: tuple[int, ...] = (0,) * MAX_STRANDED  # tasks of former incarnations, by ticks left


def _exceeds_limit(state: _State, limit: int) -> bool:
    return sum(each.in_use for each in state.placers) + sum(state.orphans) > limit


def _after_tick(each: _Placer) -> _Placer:
    lease_ticks, idle_ticks = (
        max(0, each.lease_ticks - 1),
        0 if each.lease_ticks > 1 else min(MAX_STRANDED, each.idle_ticks + (each.lease_ticks == 0)),
    )
    kind, age, amount, valid = each.message
    message = (kind, min(HOLDER_LEASE, age + 1), amount, valid) if kind else each.message
    if kind == "answer" and age + 1 > HOLDER_LEASE:
        message = ("", 0, 0, False)
    return replace(
        each,
        lease_ticks=lease_ticks,
        idle_ticks=idle_ticks,
        share=each.share if lease_ticks else 0,
        message=message,
        in_use=0 if lease_ticks == 0 and idle_ticks >= MAX_STRANDED else each.in_use,
        earlier_ask=(min(HOLDER_LEASE, each.earlier_ask[0] + 1), *each.earlier_ask[1:])
        if each.earlier_ask[1] >= 0
        else each.earlier_ask,
        earlier_answer=each.earlier_answer if lease_ticks else -1,
        release_ticks=max(0, each.release_ticks - 1),
        debts=(each.debts[0] + each.debts[1], *each.debts[2:], 0),
    )


def _answers(placer: _Placer, plan: AllocationPlan) -> Iterator[_Placer]:
    """The answers that the leader may give to the ask in flight."""
    _, age, stated, counts = placer.message
    if not placer.known:
        if plan.one_life:
            placer = replace(placer, known=True)
        else:
            debt = 0 if plan.no_debt else placer.counted
            placer = replace(
                placer,
                known=True,
                debts=(*placer.debts[:-1], placer.debts[-1] + debt),
                allocation=0,
                counted=0,
                reported_max=-1,
            )
    for given in {0, placer.allocation}:
        yield replace(
            placer,
            message=("answer", age, given, True),
            later_ask_answered=placer.earlier_ask[1] >= 0,
            release_ticks=RELEASE_DELAY,
            reported_max=max(stated, given) if counts or plan.any_word else -1,
        )


def _message_steps(placer: _Placer, plan: AllocationPlan) -> Iterator[tuple[str, _Placer]]:
    kind, age, amount, current = placer.message
    ask = ("ask", 0, max(placer.share, placer.in_use), placer.has_leader_grant)
    if kind == "ask":
        yield (
            "new ask",
            replace(
                placer, message=ask, earlier_ask=(age, amount, current), later_ask_answered=False
            ),
        )
        for after in _answers(placer, plan):
            yield f"answer {after.message[2]}", after
    elif kind == "answer":
        earlier_answer = amount if plan.any_answer and age < HOLDER_LEASE else -1
        yield "new ask", replace(placer, message=ask, earlier_answer=earlier_answer)
        yield (
            f"takes {amount}",
            replace(
                placer,
                share=amount if age < HOLDER_LEASE else placer.share,
                idle_ticks=0 if (age < HOLDER_LEASE) else placer.idle_ticks,
                lease_ticks=max(placer.lease_ticks, HOLDER_LEASE - age),
                has_leader_grant=placer.has_leader_grant or current,
                message=("", 0, 0, False),
            ),
        )
    else:
        yield "ask", replace(placer, message=ask)
    if kind:
        yield "loss", replace(placer, message=("", 0, 0, False))
    if placer.earlier_answer >= 0 and placer.lease_ticks:
        yield (
            f"takes late {placer.earlier_answer}",
            replace(placer, share=placer.earlier_answer, earlier_answer=-1),
        )
    if placer.earlier_ask[1] >= 0 and placer.known and not placer.later_ask_answered:
        # The answer to an abandoned ask brings a grant but no allocation; the ask may count as a report.
        age, stated, counts = placer.earlier_ask
        yield (
            "late ask",
            replace(
                placer,
                earlier_ask=(0, -1, False),
                lease_ticks=max(placer.lease_ticks, HOLDER_LEASE - age),
                release_ticks=RELEASE_DELAY,
                idle_ticks=0 if age < HOLDER_LEASE else placer.idle_ticks,
                reported_max=max(stated, placer.allocation)
                if (counts or plan.any_word)
                else placer.reported_max,
            ),
        )


def _placer_steps(
    state: _State, index: int, plan: AllocationPlan
) -> Iterator[tuple[str, _Placer, int]]:
    """Steps of one placer: name of the step, the placer afterwards, and the tasks that become orphans."""
    placer = state.placers[index]
    for name, after in _message_steps(placer, plan):
        yield name, after, 0
    if placer.lease_ticks and placer.in_use < placer.share:
        yield "use", replace(placer, in_use=placer.in_use + 1), 0
    if placer.in_use:
        yield "end", replace(placer, in_use=placer.in_use - 1), 0
    yield (
        "death",
        replace(
            placer,
            share=0,
            in_use=0,
            lease_ticks=0,
            idle_ticks=MAX_STRANDED,
            has_leader_grant=False,
            message=("", 0, 0, False),
            earlier_ask=(0, -1, False),
            later_ask_answered=False,
            earlier_answer=-1,
            known=False,
            reported_max=-1,
        ),
        placer.in_use,
    )
    # Changes of the allocation.
    if placer.allocation:
        yield (
            "lower",
            replace(
                placer,
                allocation=placer.allocation - 1,
                counted=placer.allocation - 1 if plan.at_once else placer.counted,
            ),
            0,
        )
    room = plan.limit - sum(each.counted + sum(each.debts) for each in state.placers)
    if placer.known and (room > 0 or placer.counted > placer.allocation):
        yield (
            "raise",
            replace(
                placer,
                allocation=placer.allocation + 1,
                counted=max(placer.counted, placer.allocation + 1),
            ),
            0,
        )
    if (
        placer.known
        and placer.reported_max >= 0
        and max(placer.allocation, placer.reported_max) < placer.counted
    ):
        yield (
            "release proven by report",
            replace(placer, counted=max(placer.allocation, placer.reported_max)),
            0,
        )
    if placer.counted and placer.release_ticks <= (MAX_STRANDED if plan.no_lag else 0):
        yield "release proven by time", replace(placer, allocation=0, counted=0), 0
    if placer.debts[0]:
        yield "debt expires", replace(placer, debts=(0, *placer.debts[1:])), 0


def _steps(state: _State, plan: AllocationPlan) -> Iterator[tuple[str, _State]]:
    yield "tick", _State(tuple(sorted(map(_after_tick, state.placers))), (*state.orphans[1:], 0))
    for index, placer in enumerate(state.placers):
        if index and state.placers[index - 1] == placer:
            continue  # equal placers have equal steps
        for name, after, orphaned in _placer_steps(state, index, plan):
            orphans = (*state.orphans[:-1], state.orphans[-1] + orphaned)
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
        replace(
            state, placers=tuple(sorted(_under_new_leader(each, plan) for each in state.placers))
        ),
    )


def _under_new_leader(each: _Placer, plan: AllocationPlan) -> _Placer:
    """The state of a placer and its messages after a change of leader."""
    kind, age, amount, _ = each.message
    return replace(
        each,
        has_leader_grant=False,
        later_ask_answered=False,
        reported_max=-1,
        release_ticks=RELEASE_DELAY,
        debts=(*[0] * MAX_STRANDED, sum(each.debts)),
        message=(kind, age, amount, False),
        earlier_ask=(*each.earlier_ask[:2], False),
        allocation=0 if plan.forgetful else each.allocation,
        counted=0 if plan.forgetful else each.counted,
    )


def explore_allocations(plan: AllocationPlan, max_states: int = 10_000_000) -> Exploration:
    """Explore every state reachable from a fleet that holds nothing; raises MemoryError above `max_states` states."""
    start = _State((_Placer(),) * plan.placers)
    return search(
        start,
        lambda state: _exceeds_limit(state, plan.limit),
        lambda state: _steps(state, plan),
        max_states,
    )
