"""This placer's lease at machines: readings of their clocks, until when leased tasks may run, and the renewals.

Machines go by their own clocks. A machine's response carries its clock's reading `c`, and is received at `t` by this
placer's clock. A lease that expires at `u` here expires at `c + (u - t)` there: the reading was taken before it was
received, so that a late response only makes the lease shorter. One message renews all leased tasks of a machine, once
in a third of the lease.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from functools import partial

from wingbarrow.core.attempts import Attempt
from wingbarrow.core.context import CoreContext
from wingbarrow.core.link import MachineLink
from wingbarrow.core.machines import Machines
from wingbarrow.decide.sessions.session import Session
from wingbarrow.decide.sessions.session_lease import SessionLease

RENEWALS_PER_LEASE = 3
CHECKS_PER_RENEWAL = 4  # so often is a renewal that has failed retried before the next is due
MAX_PENDING_RENEWALS = 64
UNKNOWN_EXPIRY = "unknown:0"  # a time of no machine's clock: every machine rejects it


@dataclass(frozen=True, slots=True)
class MachineClock:
    """A reading of a machine's clock, and when it was received by this placer's clock."""

    boot: str
    reading_us: int
    received_us: int

    def machine_time(self, here_us: int) -> str:
        """The machine's time, as it reads it, that is no later than a time of this placer's clock."""
        return f"{self.boot}:{max(0, self.reading_us + here_us - self.received_us)}"


class MachineLeases:
    """Owns the readings of machines' clocks, and the numbers of leased attempts on each machine."""

    def __init__(
        self, context: CoreContext, machines: Machines, lease: SessionLease, lease_us: int
    ) -> None:
        self._context = context
        self._machines = machines
        self.lease = lease
        self.lease_us = lease_us
        self._clocks: dict[MachineLink, MachineClock] = {}
        self._attempts: dict[str, Counter[str]] = {}  # number by machine, by session
        self._renewed: dict[str, tuple[int, int]] = {}  # by machine: the last expiry sent, and when
        self._pending: set[str] = set()  # machines with a renewal under way

    @property
    def session(self) -> Session | None:
        """The present session."""
        return self.lease.session

    def may_send(self, session: str) -> bool:
        """Whether a Job that was accepted under a session may have its next first byte sent at this moment."""
        present = self.lease.session
        return (
            present is not None
            and present.text() == session
            and self.lease.may_send(self._context.hub.now_us())
        )

    # -- clocks

    def has_recent_clock(self, link: MachineLink) -> bool:
        """Whether its clock was read within the last lease. Danger: for so long may the two clocks drift apart."""
        clock = self._clocks.get(link)
        return clock is not None and self._context.hub.now_us() - clock.received_us <= self.lease_us

    def read_clock(self, link: MachineLink) -> bool:
        """Read a machine's clock, and wait for its response; False where it has none."""
        return self.on_clock(link, link.clock())

    def on_clock(self, link: MachineLink, text: str) -> bool:
        """Take a reading that was received just now; False for "" and what is no reading."""
        boot, _, figure = text.rpartition(":")
        if not boot or not figure.isdecimal():
            return False
        self._clocks[link] = MachineClock(boot, int(figure), self._context.hub.now_us())
        return True

    def forget_clock(self, link: MachineLink) -> None:
        """The machine may have restarted, and go by another clock."""
        self._clocks.pop(link, None)

    def expiry(self, link: MachineLink) -> str:
        """Until when a task that is sent to a machine now may run, in that machine's clock."""
        clock = self._clocks.get(link)
        return (
            clock.machine_time(self.lease.machine_lease_until_us)
            if clock is not None
            else UNKNOWN_EXPIRY
        )

    # -- renewals

    def on_attempt_began(self, attempt: Attempt, session: str) -> None:
        """A leased attempt is under way."""
        self._attempts.setdefault(session, Counter())[attempt.link.name] += 1

    def on_attempt_ended(self, attempt: Attempt, session: str) -> None:
        """An attempt that had begun is over."""
        attempts = self._attempts.get(session)
        if attempts is None:
            return
        attempts[attempt.link.name] -= 1
        if attempts[attempt.link.name] <= 0:
            del attempts[attempt.link.name]
        if not attempts:
            del self._attempts[session]

    def run(self) -> None:
        """Renew until cancelled."""
        while True:
            self._context.hub.sleep(self.lease_us // (RENEWALS_PER_LEASE * CHECKS_PER_RENEWAL))
            self._renew_due()

    def _renew_due(self) -> None:
        now = self._context.hub.now_us()
        session = self.lease.session
        self._clocks = {
            link: clock
            for link, clock in self._clocks.items()
            if self._machines.links.get(link.name) is link
        }
        attempts = Counter[str]()
        if session is not None:
            attempts = self._attempts.get(session.text(), attempts)
        self._renewed = {
            name: renewal for name, renewal in self._renewed.items() if name in attempts
        }
        if session is None:
            return
        for name in list(attempts):
            link = self._machines.links.get(name)
            if link is None or name in self._pending or len(self._pending) >= MAX_PENDING_RENEWALS:
                continue
            expiry_us, renewed_us = self._renewed.get(name, (0, 0))
            due_us = renewed_us + self.lease_us // RENEWALS_PER_LEASE
            if expiry_us < self.lease.machine_lease_until_us and now >= due_us:
                self._pending.add(name)
                self._context.spawn(partial(self._renew, link, session.text()), f"renews on {name}")

    def _renew(self, link: MachineLink, session: str) -> None:
        try:
            if not self.has_recent_clock(link) and not self.read_clock(link):
                self._context.counts["leases:no clock"] += 1
                return
            if self.lease.session is None or self.lease.session.text() != session:
                return  # Danger: it has ended while the clock was read.
            expiry_us = self.lease.machine_lease_until_us
            reading = link.renew(session, self.expiry(link))
            if reading is None:
                self.forget_clock(link)  # it has restarted: what ran there is gone
            elif self.on_clock(link, reading):
                self._renewed[link.name] = expiry_us, self._context.hub.now_us()
                self._context.counts["leases:renewed"] += 1
                return
            self._context.counts["leases:not renewed"] += 1
        finally:
            self._pending.discard(link.name)
