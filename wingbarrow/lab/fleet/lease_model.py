"""An exhaustively explored model of leases: a session, its expiry, the machine's own stop and the successor's starts.

The model is abstract and shares no code with the implementation. Region A has a lease holder with two Jobs and their
machine. Region B has the replica holder, which succeeds it. The voters are one log whose leader may change at any time.
Time passes in ticks of the leader's clock. A lease lasts `lease` ticks by the clocks of its holder and the machine,
which together may lose one tick; the leader waits one tick longer. Every message may be lost or delayed without bound:
lease requests and grants, replicated records and their acknowledgements, offers, renewals at the machine, and the
notification of the end. Job 0 must not start twice: the replica holder knows of the start before its first byte leaves,
and a machine in reach may prove that it never started. Job 1 is keyed: no copy may start while one runs. Errors can be
planted; without one, no state that violates these rules is reachable.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from wingbarrow.lab.fleet.grant_model import Exploration, search

# Phases of the session's end.
OPEN = 0
PROPOSED = 1
DECIDED = 2
NOTIFIED = 3  # the successor knows of the end

# Phases of a job. Job 1 uses IDLE, OFFERED and RUNNING alone.
IDLE = 0
REPLICATING = 1  # the record is in flight to the replica holder
REPLICATED = 2  # the replica holder has the record
ACKNOWLEDGED = 3  # the lease holder knows that the replica holder has it
OFFERED = 4  # an offer is in flight to the machine
RUNNING = 5
FINISHED = 6
REFUSED = 7
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
    """Parameters of an exploration; `planted` names one of `ERRORS`, or is empty.

    no_reckoning: the leader ends a session as soon as the lease is over by its own clock. floor: a holder without a
    lease sends by the rules' floor. no_stop: the machine does not stop a job whose lease was not renewed. forgetful: a
    new leader does not wait for leases that were granted before. unkept: job 0 is sent before the replica holder knows
    of it. from_arrival: a lease at the machine counts from the arrival of the message that brings it. unconfirmed: a
    deposed leader answers requests. renews_ending: a session is renewed although its end is proposed. fence_forgets: a
    machine reports only the jobs that it runs, not those that it ran. goes_on: a holder with a new session continues
    the jobs of the session that has ended.
    """

    jobs: int = 2
    lease: int = 2
    planted: str = ""


class _LeaseLeft(NamedTuple):
    """Ticks left of a lease, and whether a clock has lost one of them. It also stands for the age of a message."""

    ticks: int
    lost_tick: bool


NO_LEASE = _LeaseLeft(0, False)


class _State(NamedTuple):
    voter_ticks: int  # ticks until the leader may end the session
    end_phase: int
    holder_lease: _LeaseLeft
    # In flight: "ask", "grant" or "new" (a grant of a new session), and what would be left of the lease it brings.
    message: tuple[str, _LeaseLeft]
    renewal: _LeaseLeft  # in flight to the machine
    # Phase, and what is left of the lease of its offer or run.
    jobs: tuple[tuple[int, _LeaseLeft], ...]
    start_replicated: bool  # the replica holder knows that job 0 is about to start
    fenced: bool  # the machine refuses job 0 from now on
    copies: tuple[bool, ...]  # by job: whether the successor has started a copy
    # The holder knows of the end; messages in flight belong to its new session.
    has_new_session: bool
    sent_after_end: bool  # a byte left after the end was decided


def _duration_order(left: _LeaseLeft) -> tuple[int, bool]:
    return left.ticks, not left.lost_tick


def _is_violation(state: _State) -> bool:
    if state.sent_after_end:
        return True
    if state.copies[0] and state.jobs[0][0] in (RUNNING, FINISHED):
        return True
    return len(state.jobs) > 1 and state.copies[1] and state.jobs[1][0] == RUNNING


def _after_tick(left: _LeaseLeft) -> tuple[_LeaseLeft, ...]:
    """The lease after a tick, with and without the clock losing that tick."""
    after = _LeaseLeft(left.ticks - 1, left.lost_tick) if left.ticks > 1 else NO_LEASE
    return (after,) if not left.ticks or left.lost_tick else (after, _LeaseLeft(left.ticks, True))


def _job_after_tick(
    phase: int, left: _LeaseLeft, plan: LeasePlan, keyed: bool
) -> Iterator[tuple[int, _LeaseLeft]]:
    if phase == RUNNING and plan.planted == "no_stop":
        yield phase, left
        return
    for after in _after_tick(left):
        if phase == RUNNING and not after.ticks:
            yield (IDLE if keyed else FINISHED), NO_LEASE
        elif phase == OFFERED and not after.ticks and plan.planted != "from_arrival":
            yield (IDLE if keyed else REFUSED), NO_LEASE  # refused whenever it arrives
        else:
            yield phase, after


def _tick_steps(state: _State, plan: LeasePlan) -> Iterator[_State]:
    messages = [
        (state.message[0], after) if after.ticks else ("", NO_LEASE)
        for after in _after_tick(state.message[1])
    ]
    jobs = [
        list(_job_after_tick(phase, left, plan, bool(index)))
        for index, (phase, left) in enumerate(state.jobs)
    ]
    for holder_lease in _after_tick(state.holder_lease):
        for message in messages:
            for renewal in _after_tick(state.renewal):
                for first in jobs[0]:
                    for second in jobs[1] if len(jobs) > 1 else (None,):
                        yield state._replace(
                            voter_ticks=max(0, state.voter_ticks - 1),
                            holder_lease=holder_lease,
                            message=message,
                            renewal=renewal,
                            jobs=(first,) if second is None else (first, second),
                        )


def _session_steps(state: _State, plan: LeasePlan) -> Iterator[tuple[str, _State]]:
    """Lease requests, grants, changes of leader, and the end of the session."""
    kind, left = state.message
    voter_lease = plan.lease + (plan.planted != "no_reckoning")
    if kind:
        yield "loss", state._replace(message=("", NO_LEASE))
    else:
        yield "ask", state._replace(message=("ask", _LeaseLeft(plan.lease, False)))
    if kind == "ask" and (
        state.end_phase == OPEN or (state.end_phase == PROPOSED and plan.planted == "renews_ending")
    ):
        yield "answer", state._replace(message=("grant", left), voter_ticks=voter_lease)
    if kind == "ask" and plan.planted == "unconfirmed":
        yield "answer by a deposed leader", state._replace(message=("grant", left))
    if kind == "ask" and state.end_phase >= DECIDED:
        yield "answer with a new session", state._replace(message=("new", left))
    if kind == "new":
        longer = (
            left
            if not state.has_new_session
            else max(state.holder_lease, left, key=_duration_order)
        )
        yield (
            "new session arrives",
            state._replace(message=("", NO_LEASE), holder_lease=longer, has_new_session=True),
        )
    if kind == "grant":
        longer = max(state.holder_lease, left, key=_duration_order)
        yield "grant arrives", state._replace(message=("", NO_LEASE), holder_lease=longer)
    if state.end_phase == OPEN:
        yield (
            "another leader",
            state._replace(voter_ticks=0 if plan.planted == "forgetful" else voter_lease),
        )
        if not state.voter_ticks:
            yield "end proposed", state._replace(end_phase=PROPOSED)
    if state.end_phase == PROPOSED:
        yield "end decided", state._replace(end_phase=DECIDED)
    if state.end_phase == DECIDED:
        yield "end notified", state._replace(end_phase=NOTIFIED)


def _send_steps(state: _State, plan: LeasePlan, index: int) -> Iterator[tuple[str, _State]]:
    """The lease check before a send, and the first byte."""
    phase = state.jobs[index][0]
    ready = phase == IDLE if index or plan.planted == "unkept" else phase == ACKNOWLEDGED
    may_send = state.holder_lease.ticks == plan.lease or (
        plan.lease > 2 and state.holder_lease.ticks == plan.lease - 1
    )
    own_session = not state.has_new_session or plan.planted == "goes_on"
    if ready and own_session and (may_send or plan.planted == "floor"):
        # A send by the floor has no lease; the model gives it one tick.
        left = state.holder_lease if state.holder_lease.ticks else _LeaseLeft(1, True)
        yield (
            f"send {index}",
            _with_job(state, index, OFFERED, left)._replace(
                sent_after_end=state.sent_after_end or state.end_phase >= DECIDED
            ),
        )


def _with_job(state: _State, index: int, phase: int, left: _LeaseLeft = NO_LEASE) -> _State:
    return state._replace(jobs=(*state.jobs[:index], (phase, left), *state.jobs[index + 1 :]))


def _machine_steps(state: _State, plan: LeasePlan) -> Iterator[tuple[str, _State]]:
    """Arrival of offers, ends of jobs and renewals of leases at the machine."""
    fresh = _LeaseLeft(plan.lease, False) if plan.planted == "from_arrival" else None
    for index, (phase, left) in enumerate(state.jobs):
        if phase == OFFERED:
            yield f"offer {index} lost", _with_job(state, index, IDLE if index else REFUSED)
            if not index and state.fenced:
                yield "offer 0 refused by epoch", _with_job(state, index, REFUSED)
            elif left.ticks or fresh:
                yield f"offer {index} starts", _with_job(state, index, RUNNING, fresh or left)
        elif phase == RUNNING:
            yield f"job {index} ends", _with_job(state, index, IDLE if index else FINISHED)
    if state.renewal.ticks:
        renewal = fresh or state.renewal
        jobs = tuple(
            (phase, max(left, renewal, key=_duration_order)) if phase == RUNNING else (phase, left)
            for phase, left in state.jobs
        )
        yield "renewal arrives", state._replace(renewal=NO_LEASE, jobs=jobs)
        yield "renewal lost", state._replace(renewal=NO_LEASE)
    elif state.holder_lease.ticks and (not state.has_new_session or plan.planted == "goes_on"):
        yield "renewal sent", state._replace(renewal=state.holder_lease)


def _replication_steps(state: _State) -> Iterator[tuple[str, _State]]:
    """Replication of the record of job 0 before its first byte leaves."""
    phase = state.jobs[0][0]
    if phase == IDLE:
        yield "replicate", _with_job(state, 0, REPLICATING)
    if phase == REPLICATING:
        yield "replication lost", _with_job(state, 0, IDLE)
        if state.end_phase != NOTIFIED:
            yield "replicated", _with_job(state, 0, REPLICATED)._replace(start_replicated=True)
    if phase == REPLICATED:
        yield "answer lost", _with_job(state, 0, REPLICATING)
        yield "replication acknowledged", _with_job(state, 0, ACKNOWLEDGED)


def _successor_steps(state: _State, plan: LeasePlan) -> Iterator[tuple[str, _State]]:
    """Starts by the replica holder after it was notified of the end."""
    if state.end_phase != NOTIFIED:
        return
    phase = state.jobs[0][0]
    if not state.copies[0]:
        if not state.start_replicated:
            yield "successor starts 0", state._replace(copies=(True, *state.copies[1:]))
        elif (
            not state.fenced
            and phase != RUNNING
            and (phase != FINISHED or plan.planted == "fence_forgets")
        ):
            yield (
                "machine proves that 0 never started",
                state._replace(fenced=True, copies=(True, *state.copies[1:])),
            )
    if len(state.jobs) > 1 and not state.copies[1]:
        yield "successor starts 1", state._replace(copies=(state.copies[0], True))


def _steps(state: _State, plan: LeasePlan) -> Iterator[tuple[str, _State]]:
    for after in _tick_steps(state, plan):
        yield "tick", after
    yield from _session_steps(state, plan)
    yield from _machine_steps(state, plan)
    yield from _replication_steps(state)
    yield from _successor_steps(state, plan)
    for index in range(len(state.jobs)):
        yield from _send_steps(state, plan, index)


def explore_leases(plan: LeasePlan, max_states: int = 10_000_000) -> Exploration:
    """Explore every state reachable from an open session that holds nothing.

    Raises MemoryError above `max_states` states, ValueError for an unknown planted error.
    """
    if plan.planted and plan.planted not in ERRORS:
        raise ValueError(f"planted error {plan.planted!r} is none of ERRORS")
    start = _State(
        plan.lease + 1,
        OPEN,
        NO_LEASE,
        ("", NO_LEASE),
        NO_LEASE,
        ((IDLE, NO_LEASE),) * plan.jobs,
        False,
        False,
        (False,) * plan.jobs,
        False,
        False,
    )
    return search(start, _is_violation, lambda state: _steps(state, plan), max_states)
