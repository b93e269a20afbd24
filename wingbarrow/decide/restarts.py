"""After a restart: which machines are closed because pods of this placer's earlier incarnation may run there unknown.

Rule 5 counts the tasks that a placer has placed, and those of its earlier incarnation keep running. Only the machines
know them, so a group of machines stays closed until each of them has listed its pods or timed out. The group is the
widest scope by which a class is spread: machine, cell or zone.
"""

from __future__ import annotations

from wingbarrow.interface import ListedMachine, Place, TaskClass

POD_LIST_TIMEOUT_US = 3_000_000  # how long an unreachable machine keeps its group closed
_SCOPES_BY_WIDTH = (Place.NONE, Place.MACHINE, Place.CELL, Place.ZONE, Place.ALL)


class RestartGuard:
    """Tracks the machines listed up to the first complete list from the source; times in microseconds."""

    def __init__(self, classes: tuple[TaskClass, ...]) -> None:
        self._scope = max(
            (each.spread for each in classes), key=_SCOPES_BY_WIDTH.index, default=Place.NONE
        )
        # Machines that have not listed their pods, by name: group, and when they time out.
        self._pending: dict[str, tuple[object, int]] = {}
        self._pending_by_group: dict[object, int] = {}  # number of machines
        self._seen: set[str] = set()
        # The first complete list was received: machines listed later cannot run pods of the earlier incarnation.
        self.list_received = False
        self._is_disabled = self._scope is Place.NONE

    def on_machine_listed(self, name: str, listed: ListedMachine, now_us: int) -> None:
        """A machine is on the list; calls for a name seen before are ignored."""
        if self._is_disabled or self.list_received or name in self._seen:
            return
        self._seen.add(name)
        group = self._group(listed)
        self._pending[name] = group, now_us + POD_LIST_TIMEOUT_US
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
        """Stop waiting for machines that have timed out; True where that opens a group."""
        timed_out = [name for name, (_, until_us) in self._pending.items() if now_us >= until_us]
        return any([self.on_pods_listed(name) for name in timed_out])

    @property
    def is_over(self) -> bool:
        """Whether no machine is pending, and none will be."""
        return self._is_disabled or (self.list_received and not self._pending)

    def is_closed(self, listed: ListedMachine) -> bool:
        """Whether a machine is closed because one of its group is pending."""
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
