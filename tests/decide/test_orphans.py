"""Actions on tasks that run without an open attempt."""

from __future__ import annotations

import itertools
from dataclasses import replace

from wingbarrow.decide import orphans
from wingbarrow.decide.orphans import Orphan, OrphanAction
from wingbarrow.interface import Effect


def every_orphan() -> list[Orphan]:
    flags = list(itertools.product([False, True], repeat=6))
    return [Orphan(effect, *each) for effect in Effect for each in flags]


def test_no_action_stops_an_unsafe_orphan_whose_job_is_wanted() -> None:
    for orphan in every_orphan():
        action = orphans.action_for(orphan)
        if (
            orphan.effect is Effect.UNSAFE
            and orphan.is_known
            and orphan.is_wanted
            and not orphan.has_ended
        ):
            assert action is not OrphanAction.STOP
        if orphan.is_known and not orphan.is_wanted:
            assert action is OrphanAction.STOP
        if action is OrphanAction.PLACE:
            assert orphan.is_unanswered
            assert not orphan.has_attempt
            assert not orphan.has_other_copy
        if not orphan.is_known:
            assert action is OrphanAction.ADOPT


def test_an_idempotent_copy_beside_another_is_stopped() -> None:
    base = Orphan(Effect.SAFE, True, True, True, True, False, False)
    assert orphans.action_for(base) is OrphanAction.STOP
    assert orphans.action_for(replace(base, effect=Effect.KEYED)) is OrphanAction.LEAVE
    assert orphans.action_for(replace(base, has_attempt=False)) is OrphanAction.PLACE
    assert orphans.action_for(replace(base, is_unanswered=False)) is OrphanAction.STOP
    assert (
        orphans.action_for(replace(base, is_unanswered=False, effect=Effect.UNSAFE))
        is OrphanAction.ADOPT
    )
