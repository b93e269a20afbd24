"""The machines that this placer is connected to, by name and by their number in the decision module."""

from __future__ import annotations

from wingbarrow.core.machine_link import MachineLink


class Machines:
    """Table of machine links, which `core.fleet` alone changes."""

    def __init__(self) -> None:
        self.links: dict[str, MachineLink] = {}
        self._names: dict[int, str] = {}

    def by_ident(self, ident: int) -> MachineLink | None:
        """The link of a machine by its number in the decision module; None where it has none."""
        return self.links.get(self._names.get(ident, ""))

    def add(self, link: MachineLink) -> None:
        """Add a link, in place of one to a machine of the same name."""
        self.links[link.name] = link
        self._names[link.ident] = link.name

    def remove(self, link: MachineLink) -> None:
        """Remove a link; a newer one to a machine of the same name stays."""
        if self.links.get(link.name) is link:
            del self.links[link.name]
            self._names.pop(link.ident, None)
