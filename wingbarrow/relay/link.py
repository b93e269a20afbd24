"""One machine and the connections from the placer to it.

An offer uses a connection without another open set-up where there is one, so that a malformed answer affects one task
only. While tasks run on a machine, one connection stays open for their releases and notes.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Protocol

from wingbarrow.core.attempt_table import AttemptRecord, AttemptTable
from wingbarrow.core.placer_runtime import PlacerRuntime
from wingbarrow.decide.descriptor_budget import CloseCost
from wingbarrow.decide.liveness import HealthAction, Liveness
from wingbarrow.interface import ListedMachine
from wingbarrow.relay.configuration import Address
from wingbarrow.relay.half_closed import HalfClosedConnections
from wingbarrow.relay.message import BadMessage, Cause, Framer, Kind, Message, with_cause
from wingbarrow.relay.tasks import Task
from wingbarrow.transport import MessageTurns, Outbox, PeerGone, Signal, Stream, connect

MAX_UNSENT_BYTES = 1 << 20  # per connection
# Idle timeout since the last set-up, for connections beyond a machine's last one.
SPARE_IDLE_TIMEOUT_US = 3_000_000
LAST_IDLE_TIMEOUT_US = 10_000_000  # for the last connection, if no task runs on the machine
SWEEP_US = 100_000
REDIAL_BACKOFF_US = 100_000
# The backoff doubles up to this while dials are refused and older connections are still open.
MAX_REDIAL_BACKOFF_US = 500_000
# The reconnect fetches what the machine may have sent on the evicted connection.
EVICTION_RECONNECT_DELAY_US = 3_000_000
MAX_CONNECTIONS = 6  # to one machine
# To one machine: the ones that it had before it hung, and those of the first two probes.
MAX_HALF_CLOSED_CONNECTIONS = MAX_CONNECTIONS + 2
MAX_DIALS = 3  # concurrent, to one machine
MAX_ORPHANS = 512  # abandoned offers that may still run, remembered per machine
MAX_QUEUED_RELEASES = 1024  # per machine, waiting for a connection
# Of a connection, in a row: second answers, or releases of tasks that are unknown here. A machine may repeat that many
# of the latter after this placer has restarted.
MAX_UNEXPECTED_MESSAGES = 1024
# Dial errors caused by this host; they are no evidence about the machine.
LOCAL_DIAL_ERRORS = ("EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "EADDRNOTAVAIL")


class Attempt(AttemptRecord[Task, "Link"]):
    """One set-up sent to one machine."""


class Attempts(AttemptTable[Attempt]):
    """All attempts that have not ended."""


class Connection:
    """One connection to a machine and the set-ups open on it."""

    __slots__ = (
        "_unexpected_messages",
        "framer",
        "link",
        "number",
        "open_attempts",
        "outbox",
        "stream",
        "used_us",
    )

    def __init__(self, link: Link, stream: Stream, outbox: Outbox, now_us: int) -> None:
        self.link, self.stream, self.outbox, self.used_us = link, stream, outbox, now_us
        self.number = link.next_connection_number()
        self.framer = Framer()
        self.open_attempts: dict[int, Attempt] = {}
        self._unexpected_messages = 0  # in a row

    @property
    def has_read_all(self) -> bool:
        """Whether the connection is open and all that has arrived was read."""
        return self.stream.is_quiet() and not self.framer.ready

    def count_message(self, was_expected: bool) -> None:
        """Count a message. Raises BadMessage after MAX_UNEXPECTED_MESSAGES in a row that no sound machine sends."""
        self._unexpected_messages = 0 if was_expected else self._unexpected_messages + 1
        if self._unexpected_messages > MAX_UNEXPECTED_MESSAGES:
            raise BadMessage(f"{self._unexpected_messages} unexpected messages in a row")

    @property
    def close_cost(self) -> CloseCost:
        """What closing this connection now would cost."""
        connections = self.link.connections
        if self not in connections:
            return CloseCost.UNREAD if self.link.expects_reports else CloseCost.RETIRING
        if self.open_attempts:
            return CloseCost.BUSY
        if len(connections) > 1:
            return CloseCost.SPARE
        return CloseCost.NEWS if self.link.running else CloseCost.IDLE

    def write(self, data: bytes) -> bool:
        """Send `data`; False if it was not accepted in full."""
        return self.stream.open and self.outbox.write(data) == len(data)


class LinkEvents(Protocol):
    """Receiver of a machine's messages and failures."""

    def on_message(self, link: Link, connection: Connection, message: Message) -> bool:
        """The machine sent a message; False if no sound machine sends it now."""

    def on_unanswered(self, attempt: Attempt, why: str) -> None:
        """The offer's connection ended before its answer, so the task may have run."""

    def on_unresponsive(self, link: Link) -> None:
        """The machine does not respond: its open offers will not be answered."""

    def on_lost(self, link: Link, may_return: bool = False) -> None:
        """All tasks on the machine count as ended; with `may_return`, they may still run if the machine comes back."""


class ConnectionRegistry(Protocol):
    """The connections to all machines, and their share of the descriptor budget."""

    # All connections that hold a descriptor, including those being read until they close.
    connections: dict[Connection, None]
    dialing: int  # dials that have not ended
    max_idle_us: int  # an offer does not use a connection that has been idle for longer

    def may_add_extra(self) -> bool:
        """Whether the budget allows one more connection to a machine that already has one."""

    def may_dial_suspect(self) -> bool:
        """Whether the budget allows one more dial to a suspect machine."""

    def make_room(self, wanted: int = 1) -> bool:
        """Evict the cheapest connections until `wanted` more descriptors fit; False if the rest are in use."""


class Link:
    """One machine and this placer's connections to it; `phase` and `launched_us` follow the machine list."""

    def __init__(
        self,
        runtime: PlacerRuntime,
        name: str,
        address: Address,
        listed: ListedMachine,
        registry: ConnectionRegistry,
        dial_us: int,
        events: LinkEvents,
    ) -> None:
        self.name, self.ident = name, listed.machine
        self.address = address
        self.listed = listed  # zone and cell stay the same while the machine is listed
        self.phase, self.launched_us = listed.phase, listed.launched_us
        self.connections: list[Connection] = []
        self._half_closed: HalfClosedConnections[Connection] = HalfClosedConnections(
            runtime, MAX_HALF_CLOSED_CONNECTIONS, lambda: self.expects_reports, self._close
        )
        self.running: dict[int, Attempt] = {}
        # Task ids of abandoned offers that may still run.
        self.orphans: OrderedDict[int, None] = OrderedDict()
        self.liveness = Liveness(runtime.hub.now_us())
        self._runtime, self._events, self._dial_us = runtime, events, dial_us
        self._registry = registry
        self._dialing = 0
        # Whether a connection broke while tasks ran, and none has been established since.
        self._may_have_missed = False
        self._reconnect_after_us: int | None = None  # when to reconnect after an eviction
        self._dial_ended = Signal(runtime.hub)
        self._redial_after_us = 0
        self._refusals = 0  # consecutive, while older connections were open
        # Causes by task id, to be sent on the next connection.
        self._queued_releases: OrderedDict[int, int] = OrderedDict()
        self._connection_numbers = 0
        self.closed = False

    # -- connections

    def next_connection_number(self) -> int:
        """A number for logs that no earlier connection to this machine had."""
        self._connection_numbers += 1
        return self._connection_numbers

    def idle_connection(self) -> Connection | None:
        """A connection without an open set-up that is not near its idle timeout."""
        # Danger: close to the idle timeout an offer may cross the machine's close; whether a task that must never start
        # twice has started is then unknown. Unsent data on the connection would delay the offer's first byte, too.
        since_us = self._runtime.hub.now_us() - self._registry.max_idle_us
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
        """The open connection with the fewest open set-ups."""
        connections = [connection for connection in self.connections if connection.stream.open]
        return min(connections, key=lambda connection: len(connection.open_attempts), default=None)

    @property
    def may_dial(self) -> bool:
        """Whether the limits allow one more connection for an offer."""
        own = self.held
        return (
            not self.closed
            and own < MAX_CONNECTIONS
            and self._dialing < MAX_DIALS
            and (own == 0 or self._registry.may_add_extra())
        )

    @property
    def held(self) -> int:
        """Number of connections, including those being dialed."""
        return len(self.connections) + self._dialing

    @property
    def expects_reports(self) -> bool:
        """Whether the machine runs tasks, whose ends it has yet to report."""
        return bool(self.running) and not self.closed

    def connection_for_offer(self) -> Connection | None:
        """A new connection, else the least loaded one; None if none is established in time or it is suspect."""
        if self.liveness.failed_recently(self._runtime.hub.now_us()) or (
            self.liveness.is_suspect and self._dialing
        ):
            self._runtime.counts["doubted"] += 1
            return None
        connection = self.dial() if self.may_dial else None
        # Danger: without this wait, an offer made while the first dials are still pending would count its machine as
        # unreachable.
        while connection is None and self._dialing and self.least_loaded_connection() is None:
            self._dial_ended.wait()
        return connection or (None if self.liveness.is_suspect else self.least_loaded_connection())

    def dial(self) -> Connection | None:
        """A new connection; None if it is refused, fails or times out, or if the descriptor budget is used up."""
        if not self._registry.make_room():
            self._on_budget_exhausted()
            return None
        began_us = self._runtime.hub.now_us()
        try:
            stream = self._connect()
        except PeerGone as error:
            if not self.closed:
                self._on_dial_failed(str(error), began_us)
            return None
        if self.closed:
            stream.close()
            return None
        return self._on_connected(stream)

    def _connect(self) -> Stream:
        """Connect within the dial timeout. Raises PeerGone, with the reason "silent" at the timeout."""
        self._dialing += 1
        self._registry.dialing += 1
        try:
            with self._runtime.hub.limit(self._dial_us):
                return connect(self._runtime.hub, self.address.host, self.address.port)
            raise PeerGone("silent")
        finally:
            self._dialing -= 1
            self._registry.dialing -= 1
            self._dial_ended.notify()

    def _on_budget_exhausted(self) -> None:
        self._runtime.counts["dials_without_room"] += 1
        self._runtime.log("descriptor-budget-exhausted", level="warning", machine=self.name)
        self._redial_after_us = self._runtime.hub.now_us() + REDIAL_BACKOFF_US

    def _on_dial_failed(self, why: str, began_us: int) -> None:
        """Draw conclusions from a failed dial about the machine, and back off."""
        now = self._runtime.hub.now_us()
        self._runtime.counts["dials_failed:" + why] += 1
        if why in LOCAL_DIAL_ERRORS:
            # Danger: if local errors counted against machines, a full descriptor table here would make all of them look
            # dead.
            self._runtime.log("local-dial-error", level="error", machine=self.name, why=why)
        elif why != "ECONNREFUSED":
            self.liveness.on_connect_timeout(now, began_us)
        elif not any(connection.stream.open for connection in self.connections):
            # The dial was refused and no connection is open: the process has exited, and its tasks with it.
            self._queued_releases.clear()
            self.orphans.clear()
            self._events.on_lost(self)
        else:
            # Danger: a draining machine refuses new connections and keeps open ones. Dials from every placer in every
            # sweep would take up all the time of both sides, hence the backoff.
            self.liveness.on_refused(now)
            self._refusals += 1
        backoff_us = REDIAL_BACKOFF_US << min(self._refusals, 10)
        self._redial_after_us = now + min(MAX_REDIAL_BACKOFF_US, backoff_us)

    def _on_connected(self, stream: Stream) -> Connection:
        """Read from a new connection, and send on it what could not be sent before."""
        hub = self._runtime.hub
        self.liveness.on_connected(hub.now_us())
        self._refusals = 0
        self._may_have_missed, self._reconnect_after_us = False, None
        connection = Connection(self, stream, Outbox(hub, stream, MAX_UNSENT_BYTES), hub.now_us())
        self.connections.append(connection)
        self._registry.connections[connection] = None
        self._runtime.spawn(lambda: self._read_messages(connection), f"connection to {self.name}")
        while self._queued_releases and connection.stream.open:
            ident, cause = self._queued_releases.popitem(last=False)
            connection.write(with_cause(Kind.RELEASE, ident, cause))
        for ident, attempt in self.running.items():
            if attempt.stopping is not None:
                # Danger: if a stop was lost with its connection, a task that its owner has ended would continue to run.
                connection.write(with_cause(Kind.RELEASE, ident, Cause.CANCELLED))
        return connection

    def _read_messages(self, connection: Connection) -> None:
        why = "end of stream"  # the part before a colon becomes a counter's name
        try:
            turns = MessageTurns(self._runtime.hub)
            while data := connection.stream.receive():
                self.liveness.on_data_received(self._runtime.hub.now_us())
                connection.framer.feed(data)
                while connection.stream.open and (message := connection.framer.next()) is not None:
                    connection.count_message(self._events.on_message(self, connection, message))
                    turns.on_handled()
        except BadMessage as error:
            why = f"unreadable: {error}"
            self._runtime.counts["machines:unreadable"] += 1
            self._runtime.log(
                "machine-protocol-error", level="warning", machine=self.name, why=str(error)
            )
        except PeerGone as error:
            why = str(error)
        finally:
            self.drop(connection, why)

    def _close(self, connection: Connection) -> None:
        connection.stream.close()
        self._half_closed.discard(connection)
        self._registry.connections.pop(connection, None)

    def drop(self, connection: Connection, why: str) -> None:
        """Close a connection; every set-up open on it ends as one that may have run."""
        self._close(connection)
        broke = connection in self.connections
        if broke:
            self.connections.remove(connection)
        for attempt in list(connection.open_attempts.values()):
            self._events.on_unanswered(attempt, why)
        connection.open_attempts.clear()
        if broke and self.running and not self.closed:
            # Danger: a release in transit on it is lost; the machine repeats it only on the next connection.
            self._may_have_missed = True
            self._runtime.spawn(self._reconnect, f"reconnect to {self.name}")

    def retire(self, connection: Connection) -> None:
        """Half-close an unused connection, and read it until the machine closes its side."""
        self.connections.remove(connection)
        self._half_closed.add(connection)

    def evict(self, connection: Connection) -> None:
        """Close a connection without open set-ups to free its descriptor; if tasks run, schedule a reconnect."""
        self._runtime.counts["given_up:" + connection.close_cost.name.lower()] += 1
        if connection in self.connections:
            self.connections.remove(connection)
        self._close(connection)
        if self.running and self._reconnect_after_us is None:
            # Danger: the machine repeats what it sent on the closed connection only on the next one.
            self._reconnect_after_us = self._runtime.hub.now_us() + EVICTION_RECONNECT_DELAY_US

    def _dial_to_verify(self) -> None:
        """Dial to verify that the machine is reachable, and to fetch missed messages; replace an older connection.

        Danger: without replacing one, repeated checks of silent machines would fill the descriptor table.
        """
        new = self.dial()
        if new is None:
            return
        idle = [
            connection
            for connection in self.connections
            if connection.stream.open and not connection.open_attempts and connection is not new
        ]
        if not idle:
            return
        if self._half_closed.is_full:
            self._close_latest([*self._half_closed, *idle])
        else:
            self.retire(min(idle, key=lambda connection: connection.used_us))

    def _close_latest(self, connections: list[Connection]) -> None:
        """Close the connection that was opened last, as the machine has left too many half-closed.

        Danger: a process that hangs accepts connections in the order of their opening once it goes on, and repeats
        releases on the first of them. Which one was in use last says nothing about that.
        """
        latest = max(connections, key=lambda connection: connection.number)
        self._runtime.counts["closed_unaccepted"] += 1
        if latest in self.connections:
            self.connections.remove(latest)
        self._close(latest)

    def _reconnect(self) -> None:
        """Dial if messages may have been missed or no connection is open, subject to the redial backoff."""
        now = self._runtime.hub.now_us()
        if (
            self._needs_reconnect(now)
            and not self._dialing
            and not self.closed
            and now >= self._redial_after_us
        ):
            self._redial_after_us = now + REDIAL_BACKOFF_US  # `dial` extends it on a refusal
            self._dial_to_verify()

    def _needs_reconnect(self, now_us: int) -> bool:
        """Whether a new connection is due because messages may have been missed."""
        if (
            self._reconnect_after_us is not None
            and not self._may_have_missed
            and not self._queued_releases
        ):
            # After an eviction, an immediate reconnect would evict another machine's connection.
            return now_us >= self._reconnect_after_us
        return self._may_have_missed or not self.connections

    def release(self, ident: int, cause: int) -> None:
        """Send a release for a task on the least loaded connection; queue it for the next one if it cannot be sent."""
        connection = self.least_loaded_connection()
        if connection is None or not connection.write(with_cause(Kind.RELEASE, ident, cause)):
            self._queued_releases[ident] = cause
            if len(self._queued_releases) > MAX_QUEUED_RELEASES:
                self._queued_releases.popitem(last=False)

    def remember_orphan(self, ident: int) -> None:
        """Record an abandoned offer whose task may still run."""
        self.orphans[ident] = None
        self.orphans.move_to_end(ident)
        if len(self.orphans) > MAX_ORPHANS:
            self.orphans.popitem(last=False)

    def close(self) -> None:
        """Close all connections for good: the machine has left the list, or its address now belongs to another."""
        self.closed = True
        for connection in list(self.connections):
            self.drop(connection, "the machine is gone")

    # -- periodic supervision

    def supervise(self, now_us: int) -> None:
        """Check liveness, close idle connections, and keep one open while tasks run. Called every SWEEP_US."""
        offers = any(connection.open_attempts for connection in self.connections)
        verdict = self.liveness.next_action(now_us, offers, bool(self.running))
        if verdict is HealthAction.PROBE:
            if self._dialing < MAX_DIALS and (
                not self.liveness.is_suspect or self._registry.may_dial_suspect()
            ):
                self._runtime.spawn(self._dial_to_verify, f"verify {self.name}")
        elif verdict is HealthAction.FAIL_OFFERS:
            self._events.on_unresponsive(self)
        elif verdict is HealthAction.FAIL_TASKS:
            self._events.on_lost(self, may_return=True)
        if (self.running or self._queued_releases) and self._needs_reconnect(now_us):
            self._runtime.spawn(self._reconnect, f"reconnect to {self.name}")
        self._retire_idle(now_us)

    def _retire_idle(self, now_us: int) -> None:
        idle = [connection for connection in self.connections if not connection.open_attempts]
        for connection in idle:
            last = len(self.connections) == 1
            if (last and (self.running or self._queued_releases)) or self._half_closed.is_full:
                return
            timeout_us = LAST_IDLE_TIMEOUT_US if last else SPARE_IDLE_TIMEOUT_US
            if now_us - connection.used_us >= timeout_us:
                self.retire(connection)
