"""The side of machines: each with its connections, keyed by the machine's id and never by its address.

An offer goes on a connection without another open set-up where there is one, so that one spoilt answer costs one
task. Where tasks stand, a connection is kept for their news.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import Protocol

from wingbarrow.core.life import Life
from wingbarrow.core.stages import AttemptRecord, AttemptTable
from wingbarrow.decide.descriptors import Rank, Table
from wingbarrow.decide.liveness import Liveness, Verdict
from wingbarrow.interface import ListedMachine, Phase
from wingbarrow.relay.configuration import Address
from wingbarrow.relay.message import BadMessage, Cause, Framer, Kind, Message, with_cause
from wingbarrow.relay.tasks import Task
from wingbarrow.transport import Outbox, PeerGone, Signal, Stream, connect

MAX_UNSENT_BYTES = 1 << 20
SPARE_IDLE_TIMEOUT_US = (
    3_000_000  # a connection beyond the one that news needs is closed so long after its last set-up
)
LAST_IDLE_TIMEOUT_US = 10_000_000  # the last one too, where nothing stands
SWEEP_US = 100_000
REDIAL_BACKOFF_US = 100_000
MAX_REDIAL_BACKOFF_US = (
    500_000  # doubled up to this while connections are refused and old ones stand
)
IDLE_MARGIN_US = 1_000_000  # before the settings' idle time; a quarter of it where that is less
CLOSE_TIMEOUT_US = 1_000_000  # for the machine to end its side of a connection that is closed here
# The reconnect fetches what the machine may have sent on the evicted connection.
EVICTION_RECONNECT_DELAY_US = 3_000_000
MAX_CONNECTIONS = 6  # connections to one machine
MAX_DIALS = 3  # at once to one machine
MAX_ORPHANS = 512  # offers given up that may run all the same, remembered for one machine
MAX_QUEUED_RELEASES = 1024  # that wait for a connection
LOCAL_DIAL_ERRORS = (
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


class Connection:
    """One connection to a machine and the set-ups open on it."""

    __slots__ = ("framer", "link", "number", "open_attempts", "outbox", "stream", "used_us")

    def __init__(self, link: Link, stream: Stream, outbox: Outbox, now_us: int) -> None:
        self.link, self.stream, self.outbox, self.used_us = link, stream, outbox, now_us
        self.number = link.next_connection_number()
        self.framer = Framer()
        self.open_attempts: dict[int, Attempt] = {}

    @property
    def rank(self) -> Rank:
        """What its end would cost now."""
        connections = self.link.connections
        if self not in connections:
            return Rank.RETIRING
        if self.open_attempts:
            return Rank.BUSY
        if len(connections) > 1:
            return Rank.SPARE
        return Rank.NEWS if self.link.running else Rank.IDLE

    def write(self, data: bytes) -> bool:
        """Send; False where not all of it can have left."""
        return self.stream.open and self.outbox.write(data) == len(data)


class LinkEvents(Protocol):
    """Who hears of a machine."""

    def on_message(self, link: Link, connection: Connection, message: Message) -> None:
        """It sent a message."""

    def on_unanswered(self, attempt: Attempt, why: str) -> None:
        """The connection of an offer ended before its answer: it may have run."""

    def on_unresponsive(self, link: Link) -> None:
        """Offers out there will not be answered."""

    def on_lost(self, link: Link, may_return: bool = False) -> None:
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
        events: LinkEvents,
    ) -> None:
        self.name, self.ident = name, listed.machine
        self.address = address
        self.listed = listed  # its place is the same for as long as it is listed
        self.phase, self.launched_us = listed.phase, listed.launched_us
        self.connections: list[Connection] = []
        self.running: dict[int, Attempt] = {}
        self.orphans: OrderedDict[int, None] = (
            OrderedDict()
        )  # ids whose offers were given up and may run
        self.liveness = Liveness(life.hub.now_us())
        self._life, self._events, self._links, self._dial_us = life, events, links, dial_us
        self._dialing = 0
        self._may_have_missed = (
            False  # a connection broke while tasks stood, and none has come up since
        )
        self._reconnect_after_us: int | None = None  # a connection had to go: a new one is due then
        self._dial_ended = Signal(life.hub)
        self._redial_after_us = 0
        self._refusals = 0  # in a row, while old connections stood
        self._queued_releases: OrderedDict[int, int] = (
            OrderedDict()
        )  # to send on the next connection, with their cause
        self._connection_numbers = 0
        self.closed = False

    # -- connections

    def next_connection_number(self) -> int:
        """For logs: a number that no connection to this machine had."""
        self._connection_numbers += 1
        return self._connection_numbers

    def idle_connection(self) -> Connection | None:
        """One on which no set-up is open."""
        # Danger: near the time at which idle connections are closed there, an offer crosses the close, and a task that
        # must never start twice is in doubt. What waits to be sent before it would put its first byte off, too.
        since_us = self._life.hub.now_us() - self._links.max_idle_us
        return next(
            (
                connection
                for connection in self.connections
                if connection.stream.open
                and not connection.open_attempts
                and connection.used_us > since_us
                and not connection.outbox.waiting
            ),
            None,
        )

    def least_loaded_connection(self) -> Connection | None:
        """The one with the fewest set-ups open."""
        connections = [connection for connection in self.connections if connection.stream.open]
        return min(connections, key=lambda connection: len(connection.open_attempts), default=None)

    @property
    def may_dial(self) -> bool:
        """Whether the bounds allow one more connection for an offer."""
        own = self.held
        return (
            not self.closed
            and own < MAX_CONNECTIONS
            and self._dialing < MAX_DIALS
            and (own == 0 or self._links.may_add_extra())
        )

    @property
    def held(self) -> int:
        """Connections it has, and those being asked for."""
        return len(self.connections) + self._dialing

    def connection_for_offer(self) -> Connection | None:
        """A new connection, else the least used one; None where none comes up in its time."""
        if self.liveness.doubts(self._life.hub.now_us()) or (
            self.liveness.doubtful and self._dialing
        ):
            self._life.counts["doubted"] += 1
            return None
        connection = self.dial() if self.may_dial else None
        # Danger: with no connection yet and all dials under way, an offer would count its machine as out of reach.
        while connection is None and self._dialing and self.least_loaded_connection() is None:
            self._dial_ended.wait()
        return connection or (None if self.liveness.doubtful else self.least_loaded_connection())

    def dial(self) -> Connection | None:
        """A new connection; None where it is refused or does not come up in its time."""
        hub = self._life.hub
        if not self._links.make_room():
            self._life.counts["dials_without_room"] += 1
            self._life.log("no-room", level="warning", machine=self.name)
            self._redial_after_us = hub.now_us() + REDIAL_BACKOFF_US
            return None
        began, stream, why = hub.now_us(), None, "silent"
        self._dialing += 1
        self._links.dialing += 1
        try:
            with hub.limit(self._dial_us):
                stream = connect(hub, self.address.host, self.address.port)
        except PeerGone as error:
            why = str(error)
        finally:
            self._dialing -= 1
            self._links.dialing -= 1
            self._dial_ended.notify()
        if self.closed:
            if stream is not None:
                stream.close()
            return None
        if stream is None:
            self._life.counts["dials_failed:" + why] += 1
            if why in LOCAL_DIAL_ERRORS:
                # Danger: a full descriptor table here would look as if every machine were gone.
                self._life.log("no-descriptor", level="error", machine=self.name, why=why)
            elif why != "ECONNREFUSED":
                self.liveness.on_no_show(hub.now_us(), began)
            elif not any(connection.stream.open for connection in self.connections):
                # Nothing listens and nothing is open: the process is gone, and with it what stood there.
                self._queued_releases.clear()
                self.orphans.clear()
                self._events.on_lost(self)
            else:
                # Danger: a machine that drains has closed its door and keeps what is open; asked at each turn by each
                # placer, it and they have no time for anything else.
                self.liveness.on_refused(hub.now_us())
                self._refusals += 1
            self._redial_after_us = hub.now_us() + min(
                MAX_REDIAL_BACKOFF_US, REDIAL_BACKOFF_US << min(self._refusals, 10)
            )
            return None
        self.liveness.on_came_up(hub.now_us())
        self._refusals = 0
        self._may_have_missed, self._reconnect_after_us = False, None
        connection = Connection(self, stream, Outbox(hub, stream, MAX_UNSENT_BYTES), hub.now_us())
        self.connections.append(connection)
        self._links.connections[connection] = None
        self._life.spawn(lambda: self._read_messages(connection), f"line to {self.name}")
        while self._queued_releases and connection.stream.open:
            ident, cause = self._queued_releases.popitem(last=False)
            connection.write(with_cause(Kind.RELEASE, ident, cause))
        for ident, attempt in self.running.items():
            if attempt.stopping is not None:
                # Danger: a stop that was lost with its connection would let a task run on that its owner has ended.
                connection.write(with_cause(Kind.RELEASE, ident, Cause.CANCELLED))
        return connection

    def _read_messages(self, connection: Connection) -> None:
        why = "end of stream"
        try:
            while data := connection.stream.receive():
                self.liveness.on_heard(self._life.hub.now_us())
                connection.framer.feed(data)
                while connection.stream.open and (message := connection.framer.next()) is not None:
                    self._events.on_message(self, connection, message)
        except BadMessage as error:
            why = f"unreadable: {error}"
            self._life.counts["machines:unreadable"] += 1
            self._life.log("unreadable-machine", level="warning", machine=self.name, why=str(error))
        except PeerGone as error:
            why = str(error)
        finally:
            self.drop(connection, why)

    def _close(self, connection: Connection) -> None:
        connection.stream.close()
        self._links.connections.pop(connection, None)

    def drop(self, connection: Connection, why: str) -> None:
        """Close a connection; every set-up open on it ends as may-have-run."""
        self._close(connection)
        broke = connection in self.connections
        if broke:
            self.connections.remove(connection)
        for attempt in list(connection.open_attempts.values()):
            self._events.on_unanswered(attempt, why)
        connection.open_attempts.clear()
        if broke and self.running and not self.closed:
            # Danger: a release that was on its way there is lost, and said again only on the next connection.
            self._may_have_missed = True
            self._life.spawn(self._reconnect, f"news of {self.name}")

    def retire(self, connection: Connection) -> None:
        """Close a connection that is not in use: what the machine has sent on it is read to its end."""
        self.connections.remove(connection)
        connection.stream.end_writing()
        self._close_later(connection)

    def _close_later(self, connection: Connection) -> None:
        def close() -> None:
            if connection.stream.open and not connection.stream.is_quiet():
                self._close_later(
                    connection
                )  # Danger: after a stall, what came in its time lies unread and would be lost
            else:
                self._close(connection)

        self._life.hub.call_at(self._life.hub.now_us() + CLOSE_TIMEOUT_US, close)

    def evict(self, connection: Connection) -> None:
        """Close a connection on which nothing is open, to make room for another; what it missed is asked for soon."""
        self._life.counts["given_up:" + connection.rank.name.lower()] += 1
        if connection in self.connections:
            self.connections.remove(connection)
        self._close(connection)
        if self.running and self._reconnect_after_us is None:
            # Danger: what the machine had sent on it, or would have, comes again only on the next connection.
            self._reconnect_after_us = self._life.hub.now_us() + EVICTION_RECONNECT_DELAY_US

    def _dial_to_verify(self) -> None:
        """A new connection shows whether the machine is there and brings what was missed; it takes an old one's place.

        Danger: kept beside the old one, looks at machines that have nothing to say fill the descriptor table.
        """
        if self.dial() is not None:
            idle = [
                connection
                for connection in self.connections
                if connection.stream.open and not connection.open_attempts
            ]
            if len(idle) > 1:
                self.retire(min(idle, key=lambda connection: connection.used_us))

    def _reconnect(self) -> None:
        """A new connection for what may have been missed, or where there is none."""
        now = self._life.hub.now_us()
        if (
            self._needs_reconnect(now)
            and not self._dialing
            and not self.closed
            and now >= self._redial_after_us
        ):
            self._redial_after_us = now + REDIAL_BACKOFF_US  # put off further where it is refused
            self._dial_to_verify()

    def _needs_reconnect(self, now_us: int) -> bool:
        """Whether a connection is due for what may have been missed."""
        if (
            self._reconnect_after_us is not None
            and not self._may_have_missed
            and not self._queued_releases
        ):
            return (
                now_us >= self._reconnect_after_us
            )  # it went to make room: a new one at once would take another's
        return self._may_have_missed or not self.connections

    def release(self, ident: int, cause: int) -> None:
        """Cut a task, or give a set-up up, on any connection; on the next one where there is none."""
        connection = self.least_loaded_connection()
        if connection is None or not connection.write(with_cause(Kind.RELEASE, ident, cause)):
            self._queued_releases[ident] = cause
            if len(self._queued_releases) > MAX_QUEUED_RELEASES:
                self._queued_releases.popitem(last=False)

    def remember_orphan(self, ident: int) -> None:
        """An offer was given up that may run all the same."""
        self.orphans[ident] = None
        self.orphans.move_to_end(ident)
        if len(self.orphans) > MAX_ORPHANS:
            self.orphans.popitem(last=False)

    def close(self) -> None:
        """The machine has left the list, or another has its address: nothing of it is used any more."""
        self.closed = True
        for connection in list(self.connections):
            self.drop(connection, "the machine is gone")

    # -- now and then

    def supervise(self, now_us: int) -> None:
        """Judge silence, close what is not in use, keep a connection where tasks stand."""
        offers = any(connection.open_attempts for connection in self.connections)
        verdict = self.liveness.judge(now_us, offers, bool(self.running))
        if verdict is Verdict.LOOK:
            if self._dialing < MAX_DIALS and (
                not self.liveness.doubtful or self._links.may_dial_suspect()
            ):
                self._life.spawn(self._dial_to_verify, f"look at {self.name}")
        elif verdict is Verdict.CUT:
            self._events.on_unresponsive(self)
        elif verdict is Verdict.LOST:
            self._events.on_lost(self, may_return=True)
        if (self.running or self._queued_releases) and self._needs_reconnect(now_us):
            self._life.spawn(self._reconnect, f"news of {self.name}")
        idle = [connection for connection in self.connections if not connection.open_attempts]
        for connection in idle:
            last = len(self.connections) == 1
            if last and (self.running or self._queued_releases):
                break
            if now_us - connection.used_us >= (
                LAST_IDLE_TIMEOUT_US if last else SPARE_IDLE_TIMEOUT_US
            ):
                self.retire(connection)


class Links:
    """All machines that this placer reaches, by name and by the module's number.

    Together with owners' connections, theirs stay within the budget of `decide.descriptors`.
    """

    def __init__(self, table: Table, owners: Callable[[], int], idle_us: int) -> None:
        self._table, self._owners = table, owners
        self.max_idle_us = idle_us - min(
            IDLE_MARGIN_US, idle_us // 4
        )  # an offer uses no connection idle for longer
        self.connections: dict[
            Connection, None
        ] = {}  # all that hold a descriptor, also those that are being read to their end
        self.dialing = 0  # connections asked for that have not come up
        self.by_name: dict[str, Link] = {}
        self._by_ident: dict[int, Link] = {}

    @property
    def held(self) -> int:
        """Descriptors that machines take."""
        return len(self.connections) + self.dialing

    def may_add_extra(self) -> bool:
        """Whether one more connection, beyond a machine's first, is within the budget."""
        return self._table.may_add_extra(self._owners(), self.held)

    def may_dial_suspect(self) -> bool:
        """Whether one more machine that does not answer may be asked for a connection."""
        return self.dialing < self._table.looks_most

    def make_room(self, wanted: int = 1) -> bool:
        """Close what costs least until `wanted` more descriptors fit; False where what is left is in use."""
        while self._table.over(self._owners(), self.held + wanted):
            connection = self._table.whom_to_close(self.connections, Rank.NEWS)
            if connection is None:
                return False
            connection.link.evict(connection)
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

    def at_address(self, address: Address) -> list[Link]:
        """Those listed at an address that are not gone."""
        return [
            link
            for link in self.by_name.values()
            if link.address == address and link.phase is not Phase.GONE
        ]
