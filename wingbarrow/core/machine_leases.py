"""This placer's lease at machines: each machine's clock, until when it may run leased tasks, and the renewals.

Machines go by their own clocks. A machine's answer says its clock `c`; it came at `t` by this placer's. A lease that
ends at `u` here ends at `c + (u - t)` there: the answer was written before it came, so a late one only makes the lease
shorter. All leased tasks of a machine are renewed by one message, once in a third of the lease.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from wingbarrow.core.attempts import Attempt
from wingbarrow.core.base import Base
from wingbarrow.core.link import MachineLink
from wingbarrow.core.machines import Machines
from wingbarrow.decide.sessions.session import Session
from wingbarrow.decide.sessions.session_lease import SessionLease

PARTS, LOOKS = (
    3,
    4,
)  # renewed once in a third of the lease; one that failed is tried again four times within that
OUT_MOST = 64  # renewals on their way at once
UNKNOWN = "unknown:0"  # a time of no machine's clock: refused by every one


@dataclass(frozen=True, slots=True)
class Clock:
    """What a machine said of its clock, and when that came by this placer's."""

    boot: str
    at_us: int
    came_us: int

    def at(self, here_us: int) -> str:
        """The machine's time that is no later than a time of this placer's clock."""
        return f"{self.boot}:{max(0, self.at_us + here_us - self.came_us)}"


class MachineLeases:
    """Owns what is known of machines' clocks, and which machines hold leased tasks."""

    def __init__(self, base: Base, machines: Machines, lease: SessionLease, lease_us: int) -> None:
        self._base, self._machines, self.lease, self.lease_us = base, machines, lease, lease_us
        self._clocks: dict[MachineLink, Clock] = {}
        self._held: dict[str, Counter[str]] = {}  # by session: leased attempts on each machine
        self._renewed: dict[
            str, tuple[int, int]
        ] = {}  # by machine: the lease's end it was told last, and when
        self._out: set[str] = set()

    @property
    def session(self) -> Session | None:
        """The present one."""
        return self.lease.session

    def may_send(self, session: str) -> bool:
        """Whether a Job that was taken under a session may have its next first byte sent at this moment."""
        now = self.lease.session
        return (
            now is not None
            and now.text() == session
            and self.lease.may_send(self._base.hub.now_us())
        )

    # -- clocks

    def knows(self, link: MachineLink) -> bool:
        """Whether its clock was told within the last lease. Danger: two clocks drift apart for as long as that."""
        clock = self._clocks.get(link)
        return clock is not None and self._base.hub.now_us() - clock.came_us <= self.lease_us

    def ask(self, link: MachineLink) -> bool:
        """Have a machine tell its clock; waits for its answer."""
        return self.heard(link, link.clock())

    def heard(self, link: MachineLink, text: str) -> bool:
        """A machine told its clock just now; "" where it did not."""
        boot, _, figure = text.rpartition(":")
        if not boot or not figure.isdecimal():
            return False
        self._clocks[link] = Clock(boot, int(figure), self._base.hub.now_us())
        return True

    def forget(self, link: MachineLink) -> None:
        """It goes by another clock than the one that was told."""
        self._clocks.pop(link, None)

    def until(self, link: MachineLink) -> str:
        """Until when a task sent to a machine now may run, in that machine's clock."""
        clock = self._clocks.get(link)
        return clock.at(self.lease.machine_lease_until_us) if clock is not None else UNKNOWN

    # -- renewals

    def began(self, attempt: Attempt, session: str) -> None:
        """A leased attempt is on its way."""
        self._held.setdefault(session, Counter())[attempt.link.name] += 1

    def over(self, attempt: Attempt, session: str) -> None:
        """One that had begun is over."""
        held = self._held.get(session)
        if held is None:
            return
        held[attempt.link.name] -= 1
        if held[attempt.link.name] <= 0:
            del held[attempt.link.name]
        if not held:
            del self._held[session]

    def run(self) -> None:
        """Renew until cancelled."""
        while True:
            self._base.hub.sleep(self.lease_us // (PARTS * LOOKS))
            self._look()

    def _look(self) -> None:
        now, session = self._base.hub.now_us(), self.lease.session
        self._clocks = {
            link: clock
            for link, clock in self._clocks.items()
            if self._machines.links.get(link.name) is link
        }
        held = self._held.get(session.text(), Counter()) if session is not None else Counter[str]()
        self._renewed = {name: told for name, told in self._renewed.items() if name in held}
        if session is None:
            return
        for name in list(held):
            link, (until, when) = self._machines.links.get(name), self._renewed.get(name, (0, 0))
            if link is None or name in self._out or len(self._out) >= OUT_MOST:
                continue
            if until < self.lease.machine_lease_until_us and now >= when + self.lease_us // PARTS:
                self._out.add(name)
                self._base.spawn(
                    lambda link=link: self._renew(link, session.text()),  # type: ignore[misc]
                    f"renews on {name}",
                )

    def _renew(self, link: MachineLink, session: str) -> None:
        try:
            if not self.knows(link) and not self.ask(link):
                self._base.counts["leases:no clock"] += 1
                return
            if self.lease.session is None or self.lease.session.text() != session:
                return  # Danger: it ended while the machine was asked
            told = self.lease.machine_lease_until_us
            text = link.renew(session, self.until(link))
            if text is None:
                self.forget(link)  # it has started anew: what ran there is gone
            elif self.heard(link, text):
                self._renewed[link.name] = told, self._base.hub.now_us()
                self._base.counts["leases:renewed"] += 1
                return
            self._base.counts["leases:not renewed"] += 1
        finally:
            self._out.discard(link.name)
