"""After a start: which machines are closed because the pods of this placer's earlier incarnation are not known yet.

Rule 5 counts the tasks that a placer has placed, and those of its earlier incarnation run on. Only the machines know of
them, so a group of machines stays closed until each of them has listed its pods, or has had its time to. The group is
the widest scope by which a class is spread: machine, cell or zone.
"""

from __future__ import annotations

from wingbarrow.interface import ListedMachine, Place, TaskClass

WAIT_US = 3_000_000  # a machine that cannot be reached is waited for so long
_WIDTH = (Place.NONE, Place.MACHINE, Place.CELL, Place.ZONE, Place.ALL)


class RestartGuard:
    """Follows the machines seen until the first full list from the source; times in microseconds."""

    def __init__(self, classes: tuple[TaskClass, ...]) -> None:
        self._scope = max((each.spread for each in classes), key=_WIDTH.index, default=Place.NONE)
        # Machines that have not listed their pods: group, and until when they are waited for.
        self._pending: dict[str, tuple[object, int]] = {}
        self._pending_by_group: dict[object, int] = {}  # how many
        self._seen: set[str] = set()
        # The source's own list is in: machines that appear later cannot run pods of the earlier incarnation.
        self.list_received = False
        self._is_disabled = self._scope is Place.NONE

    def on_machine_listed(self, name: str, listed: ListedMachine, now_us: int) -> None:
        """A machine is on the list; only its first appearance counts."""
        if self._is_disabled or self.list_received or name in self._seen:
            return
        self._seen.add(name)
        group = self._group(listed)
        self._pending[name] = group, now_us + WAIT_US
        self._pending_by_group[group] = self._pending_by_group.get(group, 0) + 1

    def on_pods_listed(self, name: str) -> bool:
        """A machine has listed its pods; True where that opens its group."""
        entry = self._pending.pop(name, None)
        if entry is None:
            return False
        group, _ = entry
        self._pending_by_group[group] -= 1
        if self._pending_by_group[group]:
            return False
        del self._pending_by_group[group]
        return True

    def expire(self, now_us: int) -> bool:
        """Stop waiting for machines whose time is over; True where that opens a group."""
        late = [name for name, (_, until_us) in self._pending.items() if now_us >= until_us]
        return any([self.on_pods_listed(name) for name in late])

    @property
    def is_over(self) -> bool:
        """Whether no machine is waited for, and none will be."""
        return self._is_disabled or (self.list_received and not self._pending)

    def is_closed(self, listed: ListedMachine) -> bool:
        """Whether a machine is closed, as one of its group is waited for."""
        return bool(self._pending_by_group) and self._group(listed) in self._pending_by_group

    @property
    def pending_count(self) -> int:
        """Number of machines that have not listed their pods."""
        return len(self._pending)

    def _group(self, listed: ListedMachine) -> object:
        return {
            Place.MACHINE: listed.machine,
            Place.CELL: listed.cell,
            Place.ZONE: listed.zone,
        }.get(self._scope)
