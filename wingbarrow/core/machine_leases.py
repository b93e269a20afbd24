"""Leases at machines: readings of the machines' clocks, expiry times of leased tasks, and renewals.

A machine measures a lease by its own clock. Its response carries a reading `c` of its clock, and is received at `t` by
this placer's clock. A lease that expires at `u` here expires at `c + (u - t)` there: the reading was taken before it
was received, so that a late response only shortens the lease. One message renews all leased tasks of a machine, every
third of the lease.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from functools import partial

from wingbarrow.core.attempts import Attempt
from wingbarrow.core.context import CoreContext
from wingbarrow.core.machine_link import MachineLink
from wingbarrow.core.machines import Machines
from wingbarrow.decide.sessions.session import Session
from wingbarrow.decide.sessions.session_lease import SessionLease

RENEWALS_PER_LEASE = 3
CHECKS_PER_RENEWAL = 4  # checks, and so retries of a failed renewal, per interval of renewals
MAX_PENDING_RENEWALS = 64
UNKNOWN_EXPIRY = "unknown:0"  # belongs to no machine's clock, so that every machine rejects it


@dataclass(frozen=True, slots=True)
class MachineClock:
    """A reading of a machine's clock, its boot ID, and the time of receipt by this placer's clock."""

    boot: str
    reading_us: int
    received_us: int

    def machine_time(self, placer_us: int) -> str:
        """A time of the machine's clock, "BOOT:MICROSECONDS", no later than `placer_us` of this placer's clock."""
        return f"{self.boot}:{max(0, self.reading_us + placer_us - self.received_us)}"


class MachineLeases:
    """Owns the readings of machines' clocks, and the counts of leased attempts on each machine."""

    def __init__(
        self, context: CoreContext, machines: Machines, lease: SessionLease, lease_us: int
    ) -> None:
        self._context = context
        self._machines = machines
        self.lease = lease
        self.lease_us = lease_us
        self._clocks: dict[MachineLink, MachineClock] = {}
        self._attempts: dict[str, Counter[str]] = {}  # by session: attempts by machine
        self._renewed: dict[str, tuple[int, int]] = {}  # by machine: last expiry sent, sent when
        self._pending: set[str] = set()  # machines with a renewal in progress

    @property
    def session(self) -> Session | None:
        """The current session; None without one."""
        return self.lease.session

    def may_send(self, session: str) -> bool:
        """Whether an attempt's first byte may be sent at this moment, for a Job that was accepted under `session`."""
        current = self.lease.session
        return (
            current is not None
            and current.text() == session
            and self.lease.may_send(self._context.hub.now_us())
        )

    # -- clocks

    def has_recent_clock(self, link: MachineLink) -> bool:
        """Whether the clock was read within the last lease duration.

        Danger: the two clocks drift apart from the reading on, so an older reading must not be used.
        """
        clock = self._clocks.get(link)
        return clock is not None and self._context.hub.now_us() - clock.received_us <= self.lease_us

    def read_clock(self, link: MachineLink) -> bool:
        """Request a machine's clock, and wait for the response. False without a readable one."""
        return self.on_clock(link, link.read_clock())

    def on_clock(self, link: MachineLink, text: str) -> bool:
        """Store a reading, "BOOT:MICROSECONDS", that was received just now; False for a malformed or empty one."""
        boot, _, reading = text.rpartition(":")
        if not boot or not reading.isdecimal():
            return False
        self._clocks[link] = MachineClock(boot, int(reading), self._context.hub.now_us())
        return True

    def forget_clock(self, link: MachineLink) -> None:
        """Drop the reading of a machine that may have restarted, and then has another clock."""
        self._clocks.pop(link, None)

    def expiry(self, link: MachineLink) -> str:
        """The time of a machine's clock until which a task that is sent to it now may run."""
        clock = self._clocks.get(link)
        return (
            clock.machine_time(self.lease.machine_lease_until_us)
            if clock is not None
            else UNKNOWN_EXPIRY
        )

    # -- renewals

    def on_attempt_began(self, attempt: Attempt, session: str) -> None:
        """Count a leased attempt that began."""
        self._attempts.setdefault(session, Counter())[attempt.link.name] += 1

    def on_attempt_ended(self, attempt: Attempt, session: str) -> None:
        """Stop counting an attempt that ended."""
        attempts = self._attempts.get(session)
        if attempts is None:
            return
        attempts[attempt.link.name] -= 1
        if attempts[attempt.link.name] <= 0:
            del attempts[attempt.link.name]
        if not attempts:
            del self._attempts[session]

    def run(self) -> None:
        """Check for due renewals at intervals, until cancelled."""
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
                self._context.spawn(
                    partial(self._renew, link, session.text()), f"renew leases on {name}"
                )

    def _renew(self, link: MachineLink, session: str) -> None:
        try:
            if not self.has_recent_clock(link) and not self.read_clock(link):
                self._context.counts["leases:no clock"] += 1
                return
            if self.lease.session is None or self.lease.session.text() != session:
                return  # Danger: the session ended while the clock was read, so nothing may be renewed for it.
            expiry_us = self.lease.machine_lease_until_us
            reading = link.renew_lease(session, self.expiry(link))
            if reading is None:
                self.forget_clock(link)  # the machine restarted, and its tasks are gone
            elif self.on_clock(link, reading):
                self._renewed[link.name] = expiry_us, self._context.hub.now_us()
                self._context.counts["leases:renewed"] += 1
                return
            self._context.counts["leases:not renewed"] += 1
        finally:
            self._pending.discard(link.name)
