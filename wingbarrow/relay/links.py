"""The side of machines: each with its connections, keyed by the machine's id and never by its address.

An offer goes on a connection without another open set-up where there is one, so that one spoilt answer costs one
task. Where tasks stand, a connection is kept for their news.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import Protocol

from wingbarrow.core.attempt_table import AttemptRecord, AttemptTable
from wingbarrow.core.life import Life
from wingbarrow.decide.descriptor_budget import CloseCost, DescriptorBudget
from wingbarrow.decide.liveness import HealthAction, Liveness
from wingbarrow.interface import ListedMachine, Phase
from wingbarrow.relay.configuration import Address
from wingbarrow.relay.message import BadMessage, Cause, Framer, Kind, Message, with_cause
from wingbarrow.relay.tasks import Task
from wingbarrow.transport import Outbox, PeerGone, Signal, Stream, connect

MAX_UNSENT_BYTES = 1 << 20
SPARE_US = (
    3_000_000  # a connection beyond the one that news needs is closed so long after its last set-up
)
LAST_US = 10_000_000  # the last one too, where nothing stands
SWEEP_US = 100_000
REDIAL_US = 100_000
MAX_REDIAL_US = 500_000  # doubled up to this while connections are refused and old ones stand
IDLE_MARGIN_US = 1_000_000  # before the settings' idle time; a quarter of it where that is less
RETIRE_US = 1_000_000  # for the machine to end its side of a connection that is closed here
VISIT_US = 3_000_000  # after a connection had to go, the machine is asked on a new one for what it may have said
MAX_LINES = 6  # connections to one machine
MAX_DIALS = 3  # at once to one machine
MAX_ORPHANS = 512  # offers given up that may run all the same, remembered for one machine
MAX_RELEASES = 1024  # that wait for a connection
OWN_FAULTS = (
    "EMFILE",
    "ENFILE",
    "ENOBUFS",
    "ENOMEM",
    "EADDRNOTAVAIL",
)  # of dials: they say nothing of the machine


class Attempt(AttemptRecord[Task, "Link"]):
    """One set-up sent to one machine."""


class Attempts(AttemptTable[Attempt]):
    """All attempts that are not over."""


class Line:
    """One connection to a machine and the set-ups open on it."""

    __slots__ = ("framer", "link", "number", "out", "outbox", "stream", "used_us")

    def __init__(self, link: Link, stream: Stream, outbox: Outbox, now_us: int) -> None:
        self.link, self.stream, self.outbox, self.used_us = link, stream, outbox, now_us
        self.number = link.next_line_number()
        self.framer = Framer()
        self.out: dict[int, Attempt] = {}

    @property
    def close_cost(self) -> CloseCost:
        """What its end would cost now."""
        lines = self.link.lines
        if self not in lines:
            return CloseCost.RETIRING
        if self.out:
            return CloseCost.BUSY
        if len(lines) > 1:
            return CloseCost.SPARE
        return CloseCost.NEWS if self.link.running else CloseCost.IDLE

    def write(self, data: bytes) -> bool:
        """Send; False where not all of it can have left."""
        return self.stream.open and self.outbox.write(data) == len(data)


class News(Protocol):
    """Who hears of a machine."""

    def message(self, link: Link, line: Line, message: Message) -> None:
        """It sent a message."""

    def unanswered(self, attempt: Attempt, why: str) -> None:
        """The connection of an offer ended before its answer: it may have run."""

    def cut(self, link: Link) -> None:
        """Offers out there will not be answered."""

    def lost(self, link: Link, may_return: bool = False) -> None:
        """What stood there is over; where the machine may come back, it may run on there."""


class Link:
    """One machine as this placer reaches it; `phase` and `launched_us` follow the list."""

    def __init__(
        self,
        life: Life,
        name: str,
        address: Address,
        listed: ListedMachine,
        links: Links,
        dial_us: int,
        news: News,
    ) -> None:
        self.name, self.ident = name, listed.machine
        self.address = address
        self.listed = listed  # its place is the same for as long as it is listed
        self.phase, self.launched_us = listed.phase, listed.launched_us
        self.lines: list[Line] = []
        self.running: dict[int, Attempt] = {}
        self.strays: OrderedDict[int, None] = (
            OrderedDict()
        )  # ids whose offers were given up and may run
        self.liveness = Liveness(life.hub.now_us())
        self._life, self._news, self._links, self._dial_us = life, news, links, dial_us
        self._dials = 0
        self._missed = False  # a connection broke while tasks stood, and none has come up since
        self._visit_us: int | None = None  # a connection had to go: a new one is due then
        self._dialled = Signal(life.hub)
        self._redial_us = 0
        self._refusals = 0  # in a row, while old connections stood
        self._releases: OrderedDict[int, int] = (
            OrderedDict()
        )  # to send on the next connection, with their cause
        self._line_numbers = 0
        self.closed = False

    # -- connections

    def next_line_number(self) -> int:
        """For logs: a number that no connection to this machine had."""
        self._line_numbers += 1
        return self._line_numbers

    def free_line(self) -> Line | None:
        """One on which no set-up is open."""
        # Danger: near the time at which idle connections are closed there, an offer crosses the close, and a task that
        # must never start twice is in doubt. What waits to be sent before it would put its first byte off, too.
        since_us = self._life.hub.now_us() - self._links.fresh_us
        return next(
            (
                line
                for line in self.lines
                if line.stream.open
                and not line.out
                and line.used_us > since_us
                and not line.outbox.waiting
            ),
            None,
        )

    def shared_line(self) -> Line | None:
        """The one with the fewest set-ups open."""
        lines = [line for line in self.lines if line.stream.open]
        return min(lines, key=lambda line: len(line.out), default=None)

    @property
    def may_dial(self) -> bool:
        """Whether the bounds allow one more connection for an offer."""
        own = self.held
        return (
            not self.closed
            and own < MAX_LINES
            and self._dials < MAX_DIALS
            and (own == 0 or self._links.may_add_extra())
        )

    @property
    def held(self) -> int:
        """Connections it has, and those being asked for."""
        return len(self.lines) + self._dials

    def line_for_offer(self) -> Line | None:
        """A new connection, else the least used one; None where none comes up in its time."""
        if self.liveness.failed_recently(self._life.hub.now_us()) or (
            self.liveness.is_suspect and self._dials
        ):
            self._life.counts["doubted"] += 1
            return None
        line = self.dial() if self.may_dial else None
        # Danger: with no connection yet and all dials under way, an offer would count its machine as out of reach.
        while line is None and self._dials and self.shared_line() is None:
            self._dialled.wait()
        return line or (None if self.liveness.is_suspect else self.shared_line())

    def dial(self) -> Line | None:
        """A new connection; None where it is refused or does not come up in its time."""
        hub = self._life.hub
        if not self._links.make_room():
            self._life.counts["dials_without_room"] += 1
            self._life.log("no-room", level="warning", machine=self.name)
            self._redial_us = hub.now_us() + REDIAL_US
            return None
        began, stream, why = hub.now_us(), None, "silent"
        self._dials += 1
        self._links.dials += 1
        try:
            with hub.limit(self._dial_us):
                stream = connect(hub, self.address.host, self.address.port)
        except PeerGone as error:
            why = str(error)
        finally:
            self._dials -= 1
            self._links.dials -= 1
            self._dialled.notify()
        if self.closed:
            if stream is not None:
                stream.close()
            return None
        if stream is None:
            self._life.counts["dials_failed:" + why] += 1
            if why in OWN_FAULTS:
                # Danger: a full descriptor table here would look as if every machine were gone.
                self._life.log("no-descriptor", level="error", machine=self.name, why=why)
            elif why != "ECONNREFUSED":
                self.liveness.on_connect_timeout(hub.now_us(), began)
            elif not any(line.stream.open for line in self.lines):
                # Nothing listens and nothing is open: the process is gone, and with it what stood there.
                self._releases.clear()
                self.strays.clear()
                self._news.lost(self)
            else:
                # Danger: a machine that drains has closed its door and keeps what is open; asked at each turn by each
                # placer, it and they have no time for anything else.
                self.liveness.on_refused(hub.now_us())
                self._refusals += 1
            self._redial_us = hub.now_us() + min(
                MAX_REDIAL_US, REDIAL_US << min(self._refusals, 10)
            )
            return None
        self.liveness.on_connected(hub.now_us())
        self._refusals = 0
        self._missed, self._visit_us = False, None
        line = Line(self, stream, Outbox(hub, stream, MAX_UNSENT_BYTES), hub.now_us())
        self.lines.append(line)
        self._links.lines[line] = None
        self._life.spawn(lambda: self._read(line), f"line to {self.name}")
        while self._releases and line.stream.open:
            ident, cause = self._releases.popitem(last=False)
            line.write(with_cause(Kind.RELEASE, ident, cause))
        for ident, attempt in self.running.items():
            if attempt.stopping is not None:
                # Danger: a stop that was lost with its connection would let a task run on that its owner has ended.
                line.write(with_cause(Kind.RELEASE, ident, Cause.CANCELLED))
        return line

    def _read(self, line: Line) -> None:
        why = "end of stream"
        try:
            while data := line.stream.receive():
                self.liveness.on_data_received(self._life.hub.now_us())
                line.framer.feed(data)
                while line.stream.open and (message := line.framer.next()) is not None:
                    self._news.message(self, line, message)
        except BadMessage as error:
            why = f"unreadable: {error}"
            self._life.counts["machines:unreadable"] += 1
            self._life.log("unreadable-machine", level="warning", machine=self.name, why=str(error))
        except PeerGone as error:
            why = str(error)
        finally:
            self.drop(line, why)

    def _close(self, line: Line) -> None:
        line.stream.close()
        self._links.lines.pop(line, None)

    def drop(self, line: Line, why: str) -> None:
        """Close a connection; every set-up open on it ends as may-have-run."""
        self._close(line)
        broke = line in self.lines
        if broke:
            self.lines.remove(line)
        for attempt in list(line.out.values()):
            self._news.unanswered(attempt, why)
        line.out.clear()
        if broke and self.running and not self.closed:
            # Danger: a release that was on its way there is lost, and said again only on the next connection.
            self._missed = True
            self._life.spawn(self._renew, f"news of {self.name}")

    def retire(self, line: Line) -> None:
        """Close a connection that is not in use: what the machine has sent on it is read to its end."""
        self.lines.remove(line)
        line.stream.end_writing()
        self._close_later(line)

    def _close_later(self, line: Line) -> None:
        def close() -> None:
            if line.stream.open and not line.stream.is_quiet():
                self._close_later(
                    line
                )  # Danger: after a stall, what came in its time lies unread and would be lost
            else:
                self._close(line)

        self._life.hub.call_at(self._life.hub.now_us() + RETIRE_US, close)

    def give_up(self, line: Line) -> None:
        """Close a connection on which nothing is open, to make room for another; what it missed is asked for soon."""
        self._life.counts["given_up:" + line.close_cost.name.lower()] += 1
        if line in self.lines:
            self.lines.remove(line)
        self._close(line)
        if self.running and self._visit_us is None:
            # Danger: what the machine had sent on it, or would have, comes again only on the next connection.
            self._visit_us = self._life.hub.now_us() + VISIT_US

    def _look(self) -> None:
        """A new connection shows whether the machine is there and brings what was missed; it takes an old one's place.

        Danger: kept beside the old one, looks at machines that have nothing to say fill the descriptor table.
        """
        if self.dial() is not None:
            idle = [line for line in self.lines if line.stream.open and not line.out]
            if len(idle) > 1:
                self.retire(min(idle, key=lambda line: line.used_us))

    def _renew(self) -> None:
        """A new connection for what may have been missed, or where there is none."""
        now = self._life.hub.now_us()
        if self._wants_news(now) and not self._dials and not self.closed and now >= self._redial_us:
            self._redial_us = now + REDIAL_US  # put off further where it is refused
            self._look()

    def _wants_news(self, now_us: int) -> bool:
        """Whether a connection is due for what may have been missed."""
        if self._visit_us is not None and not self._missed and not self._releases:
            return (
                now_us >= self._visit_us
            )  # it went to make room: a new one at once would take another's
        return self._missed or not self.lines

    def release(self, ident: int, cause: int) -> None:
        """Cut a task, or give a set-up up, on any connection; on the next one where there is none."""
        line = self.shared_line()
        if line is None or not line.write(with_cause(Kind.RELEASE, ident, cause)):
            self._releases[ident] = cause
            if len(self._releases) > MAX_RELEASES:
                self._releases.popitem(last=False)

    def remember_stray(self, ident: int) -> None:
        """An offer was given up that may run all the same."""
        self.strays[ident] = None
        self.strays.move_to_end(ident)
        if len(self.strays) > MAX_ORPHANS:
            self.strays.popitem(last=False)

    def close(self) -> None:
        """The machine has left the list, or another has its address: nothing of it is used any more."""
        self.closed = True
        for line in list(self.lines):
            self.drop(line, "the machine is gone")

    # -- now and then

    def look_after(self, now_us: int) -> None:
        """Judge silence, close what is not in use, keep a connection where tasks stand."""
        offers = any(line.out for line in self.lines)
        verdict = self.liveness.next_action(now_us, offers, bool(self.running))
        if verdict is HealthAction.PROBE:
            if self._dials < MAX_DIALS and (
                not self.liveness.is_suspect or self._links.may_probe()
            ):
                self._life.spawn(self._look, f"look at {self.name}")
        elif verdict is HealthAction.FAIL_OFFERS:
            self._news.cut(self)
        elif verdict is HealthAction.FAIL_TASKS:
            self._news.lost(self, may_return=True)
        if (self.running or self._releases) and self._wants_news(now_us):
            self._life.spawn(self._renew, f"news of {self.name}")
        idle = [line for line in self.lines if not line.out]
        for line in idle:
            last = len(self.lines) == 1
            if last and (self.running or self._releases):
                break
            if now_us - line.used_us >= (LAST_US if last else SPARE_US):
                self.retire(line)


class Links:
    """All machines that this placer reaches, by name and by the module's number.

    Together with owners' connections, theirs stay within the budget of `decide.descriptor_budget`.
    """

    def __init__(self, budget: DescriptorBudget, owners: Callable[[], int], idle_us: int) -> None:
        self._budget, self._owners = budget, owners
        self.fresh_us = idle_us - min(
            IDLE_MARGIN_US, idle_us // 4
        )  # an offer uses no connection idle for longer
        self.lines: dict[
            Line, None
        ] = {}  # all that hold a descriptor, also those that are being read to their end
        self.dials = 0  # connections asked for that have not come up
        self.by_name: dict[str, Link] = {}
        self._by_ident: dict[int, Link] = {}

    @property
    def held(self) -> int:
        """Descriptors that machines take."""
        return len(self.lines) + self.dials

    def may_add_extra(self) -> bool:
        """Whether one more connection, beyond a machine's first, is within the budget."""
        return self._budget.may_add_extra(self._owners(), self.held)

    def may_probe(self) -> bool:
        """Whether one more machine that does not answer may be asked for a connection."""
        return self.dials < self._budget.max_probes

    def make_room(self, wanted: int = 1) -> bool:
        """Close what costs least until `wanted` more descriptors fit; False where what is left is in use."""
        while self._budget.excess(self._owners(), self.held + wanted):
            line = self._budget.connection_to_close(self.lines, CloseCost.NEWS)
            if line is None:
                return False
            line.link.give_up(line)
        return True

    def of(self, ident: int) -> Link | None:
        """The machine by its number with the module."""
        return self._by_ident.get(ident)

    def add(self, link: Link) -> None:
        """A machine is reached from now on."""
        self.by_name[link.name] = self._by_ident[link.ident] = link

    def remove(self, link: Link) -> None:
        """A machine is reached no more."""
        self.by_name.pop(link.name, None)
        self._by_ident.pop(link.ident, None)

    def at(self, address: Address) -> list[Link]:
        """Those listed at an address that are not gone."""
        return [
            link
            for link in self.by_name.values()
            if link.address == address and link.phase is not Phase.GONE
        ]
