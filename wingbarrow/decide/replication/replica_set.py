"""Which placers keep for this one: who is there, who was dropped as silent or full, and whose records are to move."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Mapping
from itertools import islice

from wingbarrow.decide.replication.records import ReplicationLimits, choose
from wingbarrow.decide.replication.replica_link import ReplicaLink

LACKING_US = 1_000_000  # between two searches for keepers that are not there


class ReplicaSet:
    """Lines by name. Moves are pairs of a Job's uid and the keeper that is to be replaced ("": it has none)."""

    def __init__(self, me: str, region: str, seed: int, bounds: ReplicationLimits) -> None:
        self.me, self.region, self.bounds = me, region, bounds
        self.lines: dict[str, ReplicaLink] = {}
        self.where: dict[str, str] = {}  # region of each that is alive
        self.move_us: int | None = None
        self._alive: dict[str, tuple[str, ...]] = {}  # by region
        self._random = random.Random(seed)
        self._number = 0
        self._urgent: dict[tuple[str, str], None] = {}  # somebody waits for these
        self._moves: dict[tuple[str, str], None] = {}
        self._lacking: dict[tuple[str, str], None] = {}  # there was no other

    def _next(self) -> int:
        """Danger: a line that is made anew must not number its mails from the start, or they pass for old."""
        self._number += 1
        return self._number

    def line(self, name: str) -> ReplicaLink:
        """The line to a placer, whoever it is."""
        if name not in self.lines:
            self.lines[name] = ReplicaLink(name, 0, self._random, self.bounds, self._next)
        return self.lines[name]

    def members(self, alive: Mapping[str, tuple[str, int]]) -> list[ReplicaLink]:
        """Who is alive, with region and life; lines of those that are not."""
        by_region: dict[str, list[str]] = {}
        for name in sorted(alive.keys() - {self.me}):
            by_region.setdefault(alive[name][0], []).append(name)
        self._alive = {region: tuple(names) for region, names in by_region.items()}
        self.where = {name: region for name, (region, _) in alive.items()}
        for name, line in list(self.lines.items()):
            if name not in alive and not (line.jobs or line.dirty or line.gone or line.out):
                del self.lines[name]
        for name in sorted(alive.keys() - self.lines.keys() - {self.me}):
            self.lines[name] = ReplicaLink(
                name, alive[name][1], self._random, self.bounds, self._next
            )
        return [line for name, line in self.lines.items() if name not in alive]

    def choose(
        self,
        now_us: int,
        uid: str,
        allowed: Collection[str],
        copies: int,
        size: int,
        without: Collection[str] = (),
    ) -> tuple[str, ...]:
        """Keepers with room; one that was slow, and answers now, where there is no other."""
        full = {name for name, line in self.lines.items() if not line.room(size)}
        slow = {name for name, line in self.lines.items() if line.rest_us > now_us}
        silent = {name for name in slow if self.lines[name].out is not None}
        return choose(
            uid, self.region, allowed, self._alive, copies, {*full, *slow, *without}
        ) or choose(uid, self.region, allowed, self._alive, copies, {*full, *silent, *without})

    # -- replacing

    def leave(self, now_us: int, line: ReplicaLink, urgent: Callable[[str], bool]) -> None:
        """Drop a keeper: those of its Jobs that somebody waits for are moved first."""
        line.rest_us = now_us + self.bounds.rest_us
        for uid in line.jobs:
            self.move(now_us, uid, line.name, urgent(uid))

    def move(self, now_us: int, uid: str, name: str, urgent: bool = False) -> None:
        """One is to be replaced."""
        (self._urgent if urgent else self._moves)[uid, name] = None
        if self.move_us is None:
            self.move_us = now_us

    def lack(self, now_us: int, uid: str, name: str) -> None:
        """There is no other now: it is looked for again."""
        self._lacking[uid, name] = None
        if self.move_us is None:
            self.move_us = now_us + LACKING_US

    def moves(self, now_us: int) -> list[tuple[str, str]]:
        """What is to be moved now: so many at a time."""
        if self.move_us is None or self.move_us > now_us:
            return []
        if not self._urgent and not self._moves:
            self._moves, self._lacking = self._lacking, {}
        most = self.bounds.moves
        some = [*islice(self._urgent, most), *islice(self._moves, most)][:most]
        for each in some:
            self._urgent.pop(each, None)
            self._moves.pop(each, None)
        self.move_us = now_us + self.bounds.every_us if self._urgent or self._moves else None
        if self.move_us is None and self._lacking:
            self.move_us = now_us + LACKING_US
        return some

    def stays(self, now_us: int, name: str, allowed: Collection[str]) -> bool:
        """Whether a keeper need not be replaced any more."""
        line = self.lines.get(name)
        return line is not None and line.rest_us <= now_us and self.where.get(name) in allowed

    def clear(self) -> None:
        """Nothing is kept any more."""
        self.move_us = None
        for each in (self._urgent, self._moves, self._lacking):
            each.clear()
        for line in self.lines.values():
            line.clear()
