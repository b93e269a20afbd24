"""The links of all machines, keyed by the machine's id and never by its address, and their share of the descriptors."""

from __future__ import annotations

from collections.abc import Callable

from wingbarrow.decide.descriptor_budget import CloseCost, DescriptorBudget
from wingbarrow.interface import Phase
from wingbarrow.relay.configuration import Address
from wingbarrow.relay.link import Connection, Link

IDLE_MARGIN_US = 1_000_000  # before the configured idle timeout; at most a quarter of it


class Links:
    """The links of all machines, by name and by the decision module's machine number.

    Their connections and those of owners share the descriptor budget of `decide.descriptor_budget`.
    """

    def __init__(self, budget: DescriptorBudget, owners: Callable[[], int], idle_us: int) -> None:
        self._budget, self._owners = budget, owners
        # An offer does not use a connection that has been idle for longer.
        self.max_idle_us = idle_us - min(IDLE_MARGIN_US, idle_us // 4)
        # All connections that hold a descriptor, including those being read until they close.
        self.connections: dict[Connection, None] = {}
        self.dialing = 0  # dials that have not ended
        self.by_name: dict[str, Link] = {}
        self._by_ident: dict[int, Link] = {}

    @property
    def held(self) -> int:
        """Descriptors in use for machines, including pending dials."""
        return len(self.connections) + self.dialing

    def may_add_extra(self) -> bool:
        """Whether the budget allows one more connection to a machine that already has one."""
        return self._budget.may_add_extra(self._owners(), self.held)

    def may_dial_suspect(self) -> bool:
        """Whether the budget allows one more dial to a suspect machine."""
        return self.dialing < self._budget.max_probes

    def make_room(self, wanted: int = 1) -> bool:
        """Evict the cheapest connections until `wanted` more descriptors fit; False if the rest are in use."""
        while self._budget.excess(self._owners(), self.held + wanted):
            connection = self._budget.connection_to_close(self.connections, CloseCost.UNREAD)
            if connection is None:
                return False
            connection.link.evict(connection)
        return True

    def of(self, ident: int) -> Link | None:
        """The link of the machine with this number, if any."""
        return self._by_ident.get(ident)

    def add(self, link: Link) -> None:
        """Register a machine's link."""
        self.by_name[link.name] = self._by_ident[link.ident] = link

    def remove(self, link: Link) -> None:
        """Unregister a machine's link."""
        self.by_name.pop(link.name, None)
        self._by_ident.pop(link.ident, None)

    def at_address(self, address: Address) -> list[Link]:
        """Links of the machines listed at an address, without those that are gone."""
        return [
            link
            for link in self.by_name.values()
            if link.address == address and link.phase is not Phase.GONE
        ]
