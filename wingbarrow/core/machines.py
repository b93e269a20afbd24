"""The machines that this placer reaches, by name and by the module's number."""

from __future__ import annotations

from wingbarrow.core.machine_link import MachineLink


class Machines:
    """A table; `core.fleet` alone changes it."""

    def __init__(self) -> None:
        self.links: dict[str, MachineLink] = {}
        self._names: dict[int, str] = {}

    def by_ident(self, ident: int) -> MachineLink | None:
        """The machine by its number with the module."""
        return self.links.get(self._names.get(ident, ""))

    def add(self, link: MachineLink) -> None:
        """A machine is reached from now on, in place of one of the same name."""
        self.links[link.name] = link
        self._names[link.ident] = link.name

    def remove(self, link: MachineLink) -> None:
        """A machine is reached no more; another of the same name stays."""
        if self.links.get(link.name) is link:
            del self.links[link.name]
            self._names.pop(link.ident, None)
