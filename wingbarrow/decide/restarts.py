"""After a start: which machines may not be sent to yet, because what this placer's former life runs there is not known.

Rule 5 counts what a placer has placed, and its former life's tasks run on. Only the machines know of them, so a
machine, rack or hall takes nothing before each of its machines has told, or has had its time to. The widest scope
by which a class asks to be spread decides which machines count together.
"""

from __future__ import annotations

from wingbarrow.interface import ListedMachine, Place, TaskClass

WAIT_US = 3_000_000  # a machine that cannot be reached for so long holds up its rack no further
_WIDTH = (Place.NONE, Place.MACHINE, Place.CELL, Place.ZONE, Place.ALL)


class RestartGuard:
    """Machines first seen until the first list from the source itself; times in microseconds."""

    def __init__(self, classes: tuple[TaskClass, ...]) -> None:
        self._scope = max((each.spread for each in classes), key=_WIDTH.index, default=Place.NONE)
        self._pending: dict[
            str, tuple[object, int]
        ] = {}  # machine: its group, and how long it is waited for
        self._pending_by_group: dict[object, int] = {}  # group: machines that have not told
        self._seen: set[str] = set()
        self.list_received = (
            False  # the source's own list is in: later machines cannot hold a former life's tasks
        )
        self._is_disabled = self._scope is Place.NONE

    def on_machine_listed(self, name: str, listed: ListedMachine, now_us: int) -> None:
        """A machine is on the list; only the first sight of each counts."""
        if self._is_disabled or self.list_received or name in self._seen:
            return
        self._seen.add(name)
        group = self._group(listed)
        self._pending[name] = group, now_us + WAIT_US
        self._pending_by_group[group] = self._pending_by_group.get(group, 0) + 1

    def on_pods_listed(self, name: str) -> bool:
        """A machine has told what it runs; True where its group may be sent to from now on."""
        entry = self._pending.pop(name, None)
        if entry is None:
            return False
        self._pending_by_group[entry[0]] -= 1
        if self._pending_by_group[entry[0]]:
            return False
        del self._pending_by_group[entry[0]]
        return True

    def expire(self, now_us: int) -> bool:
        """Let go of machines that had their time; True where a group may be sent to from now on."""
        late = [name for name, (_, until_us) in self._pending.items() if now_us >= until_us]
        return any([self.on_pods_listed(name) for name in late])

    @property
    def is_over(self) -> bool:
        """Nothing is waited for any more, and nothing new will be."""
        return self._is_disabled or (self.list_received and not self._pending)

    def is_closed(self, listed: ListedMachine) -> bool:
        """Whether the machine may not be sent to yet."""
        return bool(self._pending_by_group) and self._group(listed) in self._pending_by_group

    @property
    def pending_count(self) -> int:
        """Machines that have not told."""
        return len(self._pending)

    def _group(self, listed: ListedMachine) -> object:
        return {
            Place.MACHINE: listed.machine,
            Place.CELL: listed.cell,
            Place.ZONE: listed.zone,
        }.get(self._scope)
