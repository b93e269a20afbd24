"""An exhaustively explored model of rule set grants and floors: asks, answers, losses, ticks, changes of leader.

The model is abstract and shares no code with the implementation. Time passes in ticks. A grant lasts `HOLDER_LEASE`
ticks for its holder, counted from the ask, and `LEADER_LEASE` ticks for the leader. A message may be lost or delayed
without bound. Versions V and W contradict each other; M is what both allow. Floors have a model of their own, in which
W forbids what the first floor allows. Errors can be planted; without one, no violation is reachable.

`search` is the breadth-first search that all models share.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import TypeVar

# In ticks.
HOLDER_LEASE = 2
LEADER_LEASE = 3
FLOOR_HOLDER_LEASE = 2
FLOOR_LEADER_LEASE = 3

# Versions of the rule set.
V = 1
M = 2
W = 3

StateT = TypeVar("StateT")

# A placer: (version that it holds, ticks left of its lease, message in flight, ticks for which the leader assumes that
# it may act on the version in force, the same for earlier versions). A message is None, ("ask", age, version held) or
# ("grant", age, version).
Placer = tuple[int, int, tuple[str, int, int] | None, int, int]


@dataclass(frozen=True, slots=True)
class GrantPlan:
    """Parameters of an exploration; each flag plants one error."""

    placers: int = 3
    from_answer: bool = False  # a grant counts from the arrival of its answer
    no_wait: bool = False  # a new version comes into force without waiting for grants to lapse
    forgetful: bool = False  # a new leader does not wait for grants of the one before
    hasty: bool = False  # a placer counts as off its last version once it is granted a later one
    floor_unchecked: bool = False  # W is accepted though the floor allows what it forbids


@dataclass(frozen=True, slots=True)
class Exploration:
    """Number of states seen, and the steps that lead to a violation; empty if there is none."""

    states: int
    trace: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class _State:
    version: int  # in force
    placers: tuple[Placer, ...]


def _is_violation(state: _State) -> bool:
    held = {each[0] for each in state.placers if each[1] > 0}
    return V in held and W in held


def _after_tick(placer: Placer) -> Placer:
    version, lease_ticks, message, current, old = placer
    lease_ticks = max(0, lease_ticks - 1)
    if message is not None:
        # A message older than a grant has no effect, unless the planted error counts from the answer.
        message = (message[0], min(message[1] + 1, HOLDER_LEASE), message[2])
    return (version, lease_ticks, message, max(0, current - 1), max(0, old - 1))


def _placer_steps(placer: Placer, in_force: int, plan: GrantPlan) -> Iterator[tuple[str, Placer]]:
    """Steps of one placer and its message."""
    version, lease_ticks, message, current, old = placer
    if message is None:
        yield f"ask by one on {version}", (version, lease_ticks, ("ask", 0, version), current, old)
        return
    yield "loss", (version, lease_ticks, None, current, old)
    kind, age, message_version = message
    if kind == "ask":
        # A placer that asks with the version in force has left the earlier ones; others may still act on theirs.
        released = message_version >= in_force or plan.hasty
        yield (
            f"answer with {in_force}",
            (version, lease_ticks, ("grant", age, in_force), LEADER_LEASE, 0 if released else old),
        )
        return
    new_ticks = HOLDER_LEASE if plan.from_answer else HOLDER_LEASE - age
    if message_version > version:
        version, lease_ticks = message_version, max(0, new_ticks)
    elif message_version == version:
        lease_ticks = max(lease_ticks, new_ticks)
    yield f"grant of {message_version} arrives", (version, lease_ticks, None, current, old)


def _steps(state: _State, plan: GrantPlan) -> Iterator[tuple[str, _State]]:
    placers = state.placers
    yield "tick", _State(state.version, _ordered(_after_tick(each) for each in placers))
    for index, placer in enumerate(placers):
        if index and placers[index - 1] == placer:
            continue  # equal placers have equal steps
        for name, after in _placer_steps(placer, state.version, plan):
            yield (
                name,
                _State(state.version, _ordered((*placers[:index], after, *placers[index + 1 :]))),
            )
    if state.version < W and (plan.no_wait or not any(each[4] for each in placers)):
        yield (
            f"step to {state.version + 1}",
            _State(
                state.version + 1,
                _ordered(
                    (version, lease_ticks, message, 0, max(current, old))
                    for version, lease_ticks, message, current, old in placers
                ),
            ),
        )
    # A new leader knows no grants: each was asked for before its election.
    ticks = 0 if plan.forgetful else LEADER_LEASE
    yield (
        "another leader",
        _State(
            state.version,
            _ordered(
                (version, lease_ticks, message, ticks, ticks)
                for version, lease_ticks, message, _, _ in placers
            ),
        ),
    )


def _ordered(placers: Iterable[Placer]) -> tuple[Placer, ...]:
    return tuple(sorted(placers, key=repr))


def explore_grants(plan: GrantPlan, max_states: int = 5_000_000) -> Exploration:
    """Explore every state reachable from placers without grants; raises MemoryError above `max_states` states."""
    start = _State(V, ((0, 0, None, 0, 0),) * plan.placers)
    return search(start, _is_violation, lambda state: _steps(state, plan), max_states)


def search(
    start: StateT,
    is_violation: Callable[[StateT], bool],
    steps: Callable[[StateT], Iterator[tuple[str, StateT]]],
    max_states: int,
) -> Exploration:
    """Breadth-first search from `start` to the first violation; raises MemoryError above `max_states` states."""
    reached_from: dict[StateT, tuple[StateT, str] | None] = {start: None}
    frontier = [start]
    while frontier:
        next_frontier: list[StateT] = []
        for state in frontier:
            if is_violation(state):
                return Exploration(len(reached_from), _trace(reached_from, state))
            for name, after in steps(state):
                if after not in reached_from:
                    reached_from[after] = (state, name)
                    next_frontier.append(after)
        if len(reached_from) > max_states:
            raise MemoryError(f"more than {max_states} states")
        frontier = next_frontier
    return Exploration(len(reached_from), ())


def _trace(reached_from: dict[StateT, tuple[StateT, str] | None], state: StateT) -> tuple[str, ...]:
    names: list[str] = []
    while (origin := reached_from[state]) is not None:
        state, name = origin
        names.append(name)
    return tuple(reversed(names))


# -- floors: the first allows what W forbids, the second does not


@dataclass(frozen=True, slots=True)
class _FloorState:
    floor: int  # the latest decided
    accepted: bool  # W may be in use
    first_floor_ticks: int  # ticks for which the leader assumes grants of the first floor
    placers: tuple[Placer, ...]


def _floor_steps(state: _FloorState, plan: GrantPlan) -> Iterator[tuple[str, _FloorState]]:
    """As `_steps`; a placer with a grant of a floor may continue to act by it."""
    placers = state.placers
    yield (
        "tick",
        _FloorState(
            state.floor,
            state.accepted,
            max(0, state.first_floor_ticks - 1),
            _ordered(_after_tick(each) for each in placers),
        ),
    )
    for index, placer in enumerate(placers):
        for name, after in _placer_steps(placer, state.floor, plan):
            first_floor_ticks = (
                FLOOR_LEADER_LEASE
                if state.floor == 1 and name.startswith("answer")
                else state.first_floor_ticks
            )
            # Only grants of the first floor count here; the ticks kept by placer are not used.
            yield (
                name,
                _FloorState(
                    state.floor,
                    state.accepted,
                    first_floor_ticks,
                    _ordered((*placers[:index], (*after[:3], 0, 0), *placers[index + 1 :])),
                ),
            )
    yield (
        "another leader",
        _FloorState(state.floor, state.accepted, FLOOR_LEADER_LEASE, state.placers),
    )
    if state.floor == 1:
        yield (
            "lower the floor",
            _FloorState(2, state.accepted, state.first_floor_ticks, state.placers),
        )
    if not state.accepted and (
        plan.floor_unchecked or (state.floor == 2 and state.first_floor_ticks == 0)
    ):
        yield "accept W", _FloorState(state.floor, True, state.first_floor_ticks, state.placers)


def explore_floors(plan: GrantPlan, max_states: int = 5_000_000) -> Exploration:
    """As `explore_grants`; a violation is a placer that acts by the first floor after W was accepted."""

    def is_violation(state: _FloorState) -> bool:
        return state.accepted and any(each[0] == 1 and each[1] > 0 for each in state.placers)

    return search(
        _FloorState(1, False, 0, ((0, 0, None, 0, 0),) * plan.placers),
        is_violation,
        lambda state: _floor_steps(state, plan),
        max_states,
    )
