"""Owners' connections: accepting, reading, and closing."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

from wingbarrow.core.placer_runtime import PlacerRuntime
from wingbarrow.decide.connection_limits import ConnectionActivity, ConnectionLimits
from wingbarrow.decide.memory_budget import MemoryBudget
from wingbarrow.relay.message import BadMessage, Cause, Framer, Kind, Message, with_cause
from wingbarrow.relay.release_delivery import ReleaseDelivery
from wingbarrow.relay.tasks import OwnerConnection, Task
from wingbarrow.relay.trace import Trace
from wingbarrow.transport import Listener, MessageTurns, Outbox, PeerGone, Stream

MAX_UNSENT_BYTES = 256 * 1024  # write buffer of one connection
SWEEP_INTERVAL_US = 250_000
MAX_ACCEPTS_PER_TURN = 8  # new connections are only counted once their task has run
# Danger: a client that closed its connection or gave up is gone, even while its message is still unread here after a
# stall or behind other work. The platform tolerates sends for it up to 100 ms later; input is rechecked after half.
MAX_UNREAD_US = 50_000
RETIRE_US = 500_000  # for a client to close its side of a connection that is half-closed here
# By RETIRE_US each, while input is unread. A client that never stops sending is cut off then.
MAX_RETIRE_EXTENSIONS = 3
MAX_CLOSE_CANDIDATES = 8  # connections checked for unread input before one is closed regardless


class Owner:
    """One accepted connection: an owner's, the front's, or an unknown client's."""

    __slots__ = (
        "_read_callbacks",
        "activity",
        "framer",
        "number",
        "outbox",
        "retired",
        "stream",
        "tasks",
    )

    def __init__(
        self, stream: Stream, outbox: Outbox, activity: ConnectionActivity, number: int
    ) -> None:
        self.stream, self.outbox, self.activity, self.number = stream, outbox, activity, number
        self.framer = Framer()
        self.tasks: dict[int, Task] = {}  # open set-ups, by id
        # Half-closed by the placer: input is still read, set-ups are no longer accepted.
        self.retired = False
        self._read_callbacks: list[Callable[[], None]] = []  # one for each deferred attempt

    def write(self, data: bytes) -> bool:
        """Queue `data` for sending; False if the connection is closed, retired, or its buffer is full."""
        self.activity.was_written_to = True
        return self.stream.open and not self.retired and self.outbox.write(data) == len(data)

    def has_stale_input(self, now_us: int) -> bool:
        """Whether input (or the end of stream) older than MAX_UNREAD_US may still be unread."""
        if not self.stream.open:
            return True  # closed here: the reader withdraws its open set-ups when it next runs
        return self.stream.has_unread(now_us, MAX_UNREAD_US) or (
            self.framer.ready and now_us - self.stream.last_empty_us > MAX_UNREAD_US
        )

    @property
    def has_read_all(self) -> bool:
        """Whether the connection is open and all that has arrived was read."""
        return self.stream.is_quiet() and not self.framer.ready

    def when_read(self, call: Callable[[], None]) -> None:
        """Call `call` once, when all input received so far has been read."""
        self._read_callbacks.append(call)

    def run_read_callbacks(self, now_us: int) -> None:
        """Run the callbacks of `when_read`, unless stale input has arrived meanwhile."""
        if self._read_callbacks and not self.has_stale_input(now_us):
            callbacks, self._read_callbacks = self._read_callbacks, []
            for call in callbacks:
                call()


class Owners:
    """All connections of owners.

    `on_message` gets each message with the latest time (in microseconds) at which it had certainly not arrived yet;
    `on_disconnect` is called when a connection has ended; `free_descriptor` closes other connections if the
    descriptor budget is exceeded, and returns whether the budget is met.
    """

    def __init__(
        self,
        runtime: PlacerRuntime,
        limits: ConnectionLimits,
        memory: MemoryBudget,
        on_message: Callable[[Owner, Message, int], None],
        on_disconnect: Callable[[Owner], None],
        free_descriptor: Callable[[], bool],
        trace: Trace,
    ) -> None:
        self._runtime, self._limits, self._memory = runtime, limits, memory
        self._read_bytes = memory.read_bytes(limits.max_connections)
        self._on_message, self._on_disconnect = on_message, on_disconnect
        self._accepted = 0  # connections so far
        self._free_descriptor = free_descriptor
        self._owners: OrderedDict[Owner, None] = OrderedDict()  # least recently active first
        # Refuses all open set-ups of a connection, and returns True; False if one of them may have reached a machine.
        self.refuse_open: Callable[[Owner], bool] = lambda owner: False
        self.delivery = ReleaseDelivery(runtime, lambda: reversed(self._owners), trace)

    def __len__(self) -> int:
        return len(self._owners)

    def serve(self, listener: Listener) -> None:
        """Accept and serve connections until cancelled."""
        listener.serve(self._serve, MAX_ACCEPTS_PER_TURN)

    def _serve(self, stream: Stream) -> None:
        hub = self._runtime.hub
        self._accepted += 1
        owner = Owner(
            stream,
            Outbox(hub, stream, MAX_UNSENT_BYTES),
            ConnectionActivity(hub.now_us()),
            self._accepted,
        )
        self._owners[owner] = None
        self._make_room_for(owner)
        try:
            turns = MessageTurns(hub)
            while True:
                owner.run_read_callbacks(hub.now_us())
                data = stream.receive(self._read_bytes)
                if not data:
                    return
                owner.framer.feed(data)
                while stream.open:
                    message = owner.framer.next()
                    if message is None:
                        break
                    now = hub.now_us()
                    owner.activity.last_message_us = now
                    self._owners.move_to_end(owner)
                    if message.kind == Kind.RELEASE_HEARD:
                        self.delivery.on_acknowledged(owner, message.task)
                    self._on_message(owner, message, min(now, stream.last_empty_us))
                    turns.on_handled()
        except BadMessage as error:
            self._runtime.counts["owners:unreadable"] += 1
            self._runtime.log("owner-protocol-error", level="warning", why=str(error))
        except PeerGone:
            pass
        finally:
            self._owners.pop(owner, None)
            stream.close()
            self._on_disconnect(owner)
            self.delivery.on_disconnected(owner)

    def close(self, owner: Owner, why: str) -> None:
        """Close a connection at once; `why` goes to the log and to the counter `owners:<why>`."""
        self._log_closed(why)
        owner.stream.close()

    def _log_closed(self, why: str) -> None:
        self._runtime.counts["owners:" + why] += 1
        self._runtime.log("owner-connection-closed", why=why)

    def retire(self, owner: Owner, why: str) -> None:
        """Half-close a connection without open set-ups: its client reads end of stream, and its input is still read.

        Danger: with a full close, a release that crosses it would be lost and its task would keep running. The
        resulting reset would also discard data in flight to the client.
        """
        self._log_closed(why)
        owner.retired = True
        owner.stream.end_writing()
        self._close_later(owner, MAX_RETIRE_EXTENSIONS)

    def _close_later(self, owner: Owner, extensions: int) -> None:
        def close() -> None:
            if extensions and owner.stream.open and not owner.stream.is_quiet():
                # Danger: after a stall of this process, a release that came in time is unread and would be lost.
                self._close_later(owner, extensions - 1)
            else:
                owner.stream.close()

        self._runtime.hub.call_at(self._runtime.hub.now_us() + RETIRE_US, close)

    def retire_all(self) -> None:
        """Retire all connections whose output has been sent, at the end of the placer."""
        for owner in list(self._owners):
            if owner.stream.open and not owner.retired and not owner.outbox.waiting:
                self.retire(owner, "farewell")

    def _make_room_for(self, newest: Owner) -> None:
        """Close one connection if there are too many: an unused one, one whose set-ups can be refused, or the newest.

        Danger (rule 1): what was read and whose connection is closed without an answer is lost. Of the newest nothing
        has been read.
        """
        if len(self._owners) <= self._limits.max_connections and self._free_descriptor():
            return
        others = {
            owner.activity: owner
            for owner in self._owners
            if owner.stream.open and owner is not newest
        }
        if not (self._close_unused(others) or self._close_refused(others)):
            self.close(newest, "turned_away")

    def _close_unused(self, owners: dict[ConnectionActivity, Owner]) -> bool:
        """Close a connection without open set-ups and unread input; False if none is among the first candidates."""
        candidates = dict(owners)
        for _ in range(MAX_CLOSE_CANDIDATES):
            chosen = self._limits.connection_to_close(_with_open_set_ups(candidates))
            if chosen is None:
                return False
            owner = candidates.pop(chosen)
            if owner.has_read_all:
                self.close(owner, "crowded")
                return True
        return False

    def _close_refused(self, owners: dict[ConnectionActivity, Owner]) -> bool:
        """Refuse the open set-ups of a connection and close it; False if none of the first candidates allows it."""
        candidates = self._limits.connections_to_refuse(_with_open_set_ups(owners))
        for activity in candidates[:MAX_CLOSE_CANDIDATES]:
            owner = owners[activity]
            # Danger: with unread input or unsent output, the close would discard the refusal on its way.
            if owner.has_read_all and not owner.outbox.waiting and self.refuse_open(owner):
                self.close(owner, "refused")
                return True
        return False

    def sweep(self) -> None:
        """Retire idle connections and send pending releases, periodically until cancelled."""
        hub = self._runtime.hub
        while True:
            hub.sleep(SWEEP_INTERVAL_US)
            now = hub.now_us()
            self._close_slow_readers()
            for owner in list(self._owners):
                if (
                    owner.stream.open
                    and not owner.retired
                    and self._limits.is_idle(now, owner.activity, len(owner.tasks))
                    and owner.has_read_all
                ):
                    self.retire(owner, "idle" if owner.activity.proven else "silent")
            self.delivery.send_pending()

    def _close_slow_readers(self) -> None:
        """Close the connections that hold the most unsent bytes, if all hold more than their share of the memory."""
        unsent = [(owner, owner.outbox.waiting) for owner in self._owners if owner.outbox.waiting]
        for owner in self._memory.connections_to_close(unsent):
            self.close(owner, "slow_reader")

    def on_answered(self, owner: OwnerConnection) -> None:
        """A task of this connection was placed, and the answer written: it is an owner's."""
        owner.activity.proven = True
        if not owner.activity.received_answer:
            owner.activity.received_answer = True
            self.delivery.on_proven(owner)


def _with_open_set_ups(
    owners: dict[ConnectionActivity, Owner],
) -> list[tuple[ConnectionActivity, int]]:
    return [(activity, len(owner.tasks)) for activity, owner in owners.items()]


def refusal(ident: int, cause: int = Cause.BUSY, more: dict[int, bytes] | None = None) -> bytes:
    """Encode the RELEASE that answers a set-up which was refused or failed; `more` holds further parameters."""
    return with_cause(Kind.RELEASE, ident, cause, more)
