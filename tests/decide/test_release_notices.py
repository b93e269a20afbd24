"""The life of a notice to owners: each step of its table, and a search over all orders of a few events."""

from __future__ import annotations

from collections.abc import Callable
from copy import deepcopy
from dataclasses import dataclass, field

from wingbarrow.decide.release_notices import NoticeEnd, ReleaseNotices

TTL_US = 100
OWNER, STRANGER = 1, 2
TASK = 7


def notices(max_notices: int = 8) -> ReleaseNotices:
    return ReleaseNotices(TTL_US, max_notices)


def test_a_notice_is_due_once_on_each_possible_owners_connection_in_order() -> None:
    kept = notices()
    kept.add(0, 1, b"a")
    kept.add(0, 2, b"b")
    first, second = kept.unwritten(STRANGER)
    assert (first.ident, second.ident) == (1, 2)
    kept.on_written(STRANGER, first)
    assert kept.unwritten(STRANGER) == [second]
    kept.on_written(STRANGER, second)
    assert kept.unwritten(STRANGER) == []
    assert kept.unwritten(OWNER) == [first, second]


def test_a_notice_that_an_owner_took_is_due_again_everywhere_when_its_connection_ends() -> None:
    kept = notices()
    kept.add(0, TASK, b"a")
    (notice,) = kept.unwritten(STRANGER)
    kept.on_written(STRANGER, notice)
    kept.on_told(OWNER, notice)
    assert not kept.are_waiting
    assert kept.on_closed(OWNER) == [notice]
    assert kept.unwritten(STRANGER) == [notice]


def test_what_was_written_before_a_connection_was_proven_is_told() -> None:
    kept = notices()
    kept.add(0, 1, b"a")
    kept.on_written(OWNER, kept.unwritten(OWNER)[0])
    kept.add(0, 2, b"b")
    kept.on_proven(OWNER)
    assert [notice.ident for notice in kept.unwritten(OWNER)] == [2]
    assert kept.on_acknowledged(OWNER, 1)


def test_each_notice_that_is_not_kept_has_a_reason() -> None:
    kept = notices(max_notices=2)
    kept.add(0, 1, b"a")
    kept.add(1, 2, b"b")
    (dropped,) = kept.add(2, 3, b"c")
    assert (dropped.ident, dropped.reason, dropped.written_to) == (1, NoticeEnd.DROPPED, 0)
    kept.on_told(OWNER, kept.unwritten(OWNER)[0])
    assert [(each.ident, each.reason) for each in kept.expire(2 + TTL_US)] == [
        (2, NoticeEnd.UNACKNOWLEDGED),
        (3, NoticeEnd.EXPIRED),
    ]
    assert len(kept) == 0


# -- all orders of a few events

MAX_COUNTED = 2  # more reads than these are the same state


@dataclass
class World:
    """One notice, an owner's connection and a stranger's, and what each of them has read."""

    kept: ReleaseNotices = field(default_factory=notices)
    ended: bool = False
    has_asked: dict[int, bool] = field(default_factory=lambda: {OWNER: False, STRANGER: False})
    is_proven: bool = False
    is_open: bool = True  # the owner's connection; it opens again under another number
    number: int = OWNER
    reads: int = 0  # by the owner, on any of its connections
    strangers_reads: int = 0

    def key(self) -> tuple[object, ...]:
        """Two worlds with the same key have the same future."""
        return (
            self.ended,
            tuple(self.has_asked.values()),
            self.is_proven,
            self.is_open,
            min(self.reads, MAX_COUNTED),
            min(self.strangers_reads, MAX_COUNTED),
            len(self.kept),
            self.kept.are_waiting,
            len(self.kept.unwritten(self.number)),
            len(self.kept.unwritten(STRANGER)),
        )

    def write(self) -> None:
        """What the placer does after each event."""
        if self.is_open and self.is_proven:
            for notice in self.kept.unwritten(self.number):
                self.kept.on_told(self.number, notice)
                self.reads += 1
        if self.is_open and not self.is_proven and self.has_asked[OWNER]:
            for notice in self.kept.unwritten(self.number):
                self.kept.on_written(self.number, notice)
                self.reads += 1
        if self.has_asked[STRANGER]:
            for notice in self.kept.unwritten(STRANGER):
                self.kept.on_written(STRANGER, notice)
                self.strangers_reads += 1

    # -- events

    def end_task(self) -> None:
        if not self.ended:
            self.ended = True
            self.kept.add(0, TASK, b"over")

    def owner_asks(self) -> None:
        if self.is_open:
            self.has_asked[OWNER] = True

    def owner_is_answered(self) -> None:
        if self.is_open and self.has_asked[OWNER] and not self.is_proven:
            self.is_proven = True
            self.kept.on_proven(self.number)

    def owner_acknowledges(self) -> None:
        if self.reads and self.is_open:
            self.kept.on_acknowledged(self.number, TASK)

    def owner_closes(self) -> None:
        if self.is_open:
            self.is_open = self.is_proven = self.has_asked[OWNER] = False
            self.kept.on_closed(self.number)

    def owner_connects(self) -> None:
        if not self.is_open:
            self.is_open = True
            self.number += 10

    def stranger_asks(self) -> None:
        self.has_asked[STRANGER] = True

    def stranger_acknowledges(self) -> None:
        self.kept.on_acknowledged(STRANGER, TASK)


EVENTS: tuple[Callable[[World], None], ...] = (
    World.end_task,
    World.owner_asks,
    World.owner_is_answered,
    World.owner_acknowledges,
    World.owner_closes,
    World.owner_connects,
    World.stranger_asks,
    World.stranger_acknowledges,
)


def check(world: World) -> None:
    """The invariants: an owner that can be told has been, a stranger at most once for each wait, nothing is lost."""
    can_be_told = world.is_open and world.has_asked[OWNER]
    if world.ended and can_be_told:
        assert world.reads, "an owner that has asked was not told"
    if world.ended and not world.reads:
        assert len(world.kept) == 1, "the notice is gone before any owner has read it"
    if not world.is_open:
        assert not world.ended or world.kept.are_waiting or world.reads


def test_in_every_order_of_events_an_owner_that_has_asked_has_been_told() -> None:
    seen, frontier, steps, depth = {World().key()}, [World()], 0, 0
    while frontier:
        following = []
        for world in frontier:
            for event in EVENTS:
                after = deepcopy(world)
                event(after)
                after.write()
                steps += 1
                check(after)
                if after.key() not in seen:
                    seen.add(after.key())
                    following.append(after)
        frontier, depth = following, depth + 1
    print(f"{len(seen)} states, {steps} steps, whole at depth {depth}")
    assert any(state[0] for state in seen), "no task has ended"
