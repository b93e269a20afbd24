"""A placer on the platform's protocol: wires its components, applies list updates, handles signals and shutdown."""

from __future__ import annotations

from collections.abc import Callable

from wingbarrow import interface as api
from wingbarrow.core.host import Host
from wingbarrow.core.placer_runtime import PlacerRuntime
from wingbarrow.decide.connection_limits import ConnectionLimits
from wingbarrow.decide.descriptor_budget import DescriptorBudget
from wingbarrow.decide.memory_budget import MemoryBudget
from wingbarrow.relay import journal
from wingbarrow.relay.admission import Admission
from wingbarrow.relay.configuration import BadConfiguration, Configuration, load_journal
from wingbarrow.relay.link import SWEEP_US, Attempts, Link
from wingbarrow.relay.links import Links
from wingbarrow.relay.message import Message
from wingbarrow.relay.offers import Offers
from wingbarrow.relay.owners import Owner, Owners
from wingbarrow.relay.tasks import RequestTable
from wingbarrow.relay.trace import Trace
from wingbarrow.transport import Hub, Nursery, listen

# After SIGTERM the platform waits for the longest deadline, at most 3 s, plus 0.7 s before it kills the placer. Running
# tasks are tracked until shortly before, as no other process tells their owners that they have ended.
MAX_PATIENCE_US = 3_000_000
SHUTDOWN_MARGIN_US = 300_000  # of the 0.7 s after the deadline
# Connections may arrive until 0.4 s after SIGTERM, and their requests 0.2 s later; each must be answered.
LATE_ARRIVALS_US = 620_000
CLOSE_TIMEOUT_US = 80_000  # for output to be sent and clients to close their side
FORGET_GONE_US = 30_000_000  # a removed machine's link is kept for this time
COUNTS_INTERVAL_US = 10_000_000


class Placer:
    """Serves until cancelled, or until `begin_shutdown` was called and all answers are sent."""

    def __init__(
        self,
        hub: Hub,
        configuration: Configuration,
        log: Callable[..., None],
        trace: Trace | None = None,
    ) -> None:
        self._configuration, trace = configuration, trace or Trace()
        settings = configuration.settings
        runtime = self.runtime = PlacerRuntime(hub, log, configuration.seed)
        self._host = Host(runtime, settings)
        budget = self._budget = DescriptorBudget(configuration.sockets)
        self._requests = RequestTable()
        self._attempts = Attempts()
        self._links = Links(budget, lambda: len(self.owners), configuration.conn_idle_us)
        limits = ConnectionLimits(budget.max_owners)
        memory = MemoryBudget(configuration.memory_bytes)
        self.owners = Owners(
            runtime,
            limits,
            memory,
            self._on_owner_message,
            self._on_owner_disconnect,
            lambda: self._links.make_room(0),
            trace,
        )
        self._offers = Offers(
            runtime,
            self._host,
            self._requests,
            self._attempts,
            self._links,
            self.owners,
            settings,
            trace,
        )
        self.admission = Admission(
            runtime,
            self._host,
            self._requests,
            self._attempts,
            self._links,
            self._offers,
            limits,
            memory,
            settings,
            configuration.max_retry_after_us,
            configuration.patience_us,
            trace,
        )
        self.admission.owners = self.owners
        self.owners.refuse_open = self.admission.refuse_open
        self._host.action_handler = self
        self._shift_us = hub.clock.now_us() - hub.clock.wall_us()
        self._gone_since_us: dict[str, int] = {}
        self._shutting_down = False
        self.port = configuration.listen.port
        position, known = journal.read(
            configuration.known,
            self._shift_us,
            lambda why: log("bad-list-entry", level="warning", why=why),
        )
        self._follower = journal.Follower(
            runtime,
            configuration.journal,
            position,
            self._shift_us,
            self._on_list_update,
            self._on_list_failure,
            # The platform allows a placer to be without a new call for this time.
            settings.ask_every_us,
            known,
        )
        self._offers.list_has_stale_input = self._follower.has_stale_input
        self._offers.list_holds_sends = self._follower.holds_sends
        self._load_known(known)

    # -- actions of the scheduler

    def bind(self, bind: api.Bind) -> None:
        """Offer a task to a machine."""
        self._offers.bind(bind)

    def refuse(self, request: int) -> None:
        """Final answer: refused."""
        self.admission.refuse(request)

    def fail(self, request: int) -> None:
        """Final answer: failed."""
        self.admission.fail(request)

    def move(self, request: int) -> None:
        """Stop a placed task."""
        self.admission.move(request)

    def probe(self, machine: int) -> None:
        """Request a load report from a machine."""
        self._offers.probes.ask(machine)

    def flush(self) -> None:
        """Do nothing, as each action is written at once."""

    # -- events of connections

    def _on_owner_message(self, owner: Owner, message: Message, came_us: int) -> None:
        self.admission.on_message(owner, message, came_us)

    def _on_owner_disconnect(self, owner: Owner) -> None:
        self.admission.on_disconnect(owner)

    # -- the list of machines

    def _load_known(self, known: list[journal.ListUpdate]) -> None:
        entries: dict[str, journal.Entry] = {}
        for news in known:
            if news.full:
                entries.clear()
            entries.update((each.name, each) for each in news.entries)
        running = tuple(
            each for each in entries.values() if each.listed.phase is not api.Phase.GONE
        )
        for entry in running:
            self._add_link(entry)
        self._host.feed(api.MachineList(api.ListForm.SAVED, tuple(each.listed for each in running)))

    def _add_link(self, entry: journal.Entry) -> Link:
        link = Link(
            self.runtime,
            entry.name,
            entry.address,
            entry.listed,
            self._links,
            self._configuration.dial_us,
            self._offers,
        )
        self._links.add(link)
        return link

    def _on_list_update(self, news: journal.ListUpdate) -> None:
        form = api.ListForm.FULL if news.full else api.ListForm.CHANGES
        if news.full:
            names = {each.name for each in news.entries}
            for link in list(self._links.by_name.values()):
                if link.name not in names:
                    self._remove_link(link)
        for entry in news.entries:
            self._on_entry(entry)
        # Links are updated first, because the scheduler's actions on this event use them.
        self._host.feed(api.MachineList(form, tuple(each.listed for each in news.entries)))
        self.admission.on_listed({each.name for each in news.entries})

    def _on_entry(self, entry: journal.Entry) -> None:
        link, listed = self._links.by_name.get(entry.name), entry.listed
        if listed.phase is api.Phase.GONE:
            if link is not None:
                self._remove_link(link)
            return
        for other in self._links.at_address(entry.address):
            if other.name != entry.name:
                self._remove_link(other)  # the address now belongs to this entry's machine
        if link is not None and (link.closed or link.address != entry.address):
            self._remove_link(link)
            link = None
        if link is None:
            link = self._add_link(entry)
            self._gone_since_us.pop(entry.name, None)
        elif listed.launched_us > link.launched_us:
            self._offers.on_restarted(link, listed.launched_us)
        link.phase, link.launched_us = listed.phase, listed.launched_us

    def _remove_link(self, link: Link) -> None:
        if not link.closed:
            link.phase = api.Phase.GONE
            link.close()
            self._offers.on_lost(link)
            self._gone_since_us[link.name] = self.runtime.hub.now_us()

    def _on_list_failure(self) -> None:
        self._host.feed(api.MachineList(api.ListForm.FAILED, ()))

    # -- lifecycle

    def run(self) -> None:
        """Serve until the end; raises the error if the scheduler's core failed."""
        hub, configuration = self.runtime.hub, self._configuration
        with Nursery(hub) as nursery:
            self.runtime.attach_nursery(nursery)
            listener = listen(
                hub,
                configuration.listen.host,
                configuration.listen.port,
                lambda text: self.runtime.log("listener", level="warning", why=text),
            )
            self.port = listener.port
            nursery.spawn(lambda: self.owners.serve(listener), "listener")
            nursery.spawn(self.owners.sweep, "owners")
            nursery.spawn(self._maintain_links, "links")
            nursery.spawn(self._follower.run, "journal")
            nursery.spawn(self._log_counts_periodically, "counts")
            self.admission.ready = True
            self.runtime.log(
                "ready",
                name=configuration.name,
                listen=str(configuration.listen),
                machines=len(self._links.by_name),
            )
        if self._host.failed is not None:
            raise self._host.failed

    def _maintain_links(self) -> None:
        hub = self.runtime.hub
        while True:
            hub.sleep(SWEEP_US)
            now = hub.now_us()
            for link in list(self._links.by_name.values()):
                if not link.closed:
                    link.supervise(now)
            for name, since_us in list(self._gone_since_us.items()):
                if now - since_us >= FORGET_GONE_US:
                    del self._gone_since_us[name]
                    gone_link = self._links.by_name.get(name)
                    if gone_link is not None and gone_link.closed:
                        self._links.remove(gone_link)

    def _log_counts_periodically(self) -> None:
        while True:
            self.runtime.hub.sleep(COUNTS_INTERVAL_US)
            self.log_counts()

    def log_counts(self) -> None:
        """Log all counters in one line."""
        self.runtime.log(
            "counts",
            owners=len(self.owners),
            machines=self._links.held,
            descriptors_most=self._budget.total,
            running=len(self._attempts),
            pending=self._requests.pending,
            module_ms=self._host.module_ns // 1_000_000,
            lag_worst_us=self.runtime.hub.lag.worst_us,
            odd=dict(self._requests.unexpected_transitions + self._attempts.unexpected_transitions),
            **self.runtime.counts,
        )

    def reload(self, path: str) -> None:
        """SIGHUP: take the journal service's address from the file; an unusable file is logged and the old one kept."""
        try:
            address = load_journal(path)
        except BadConfiguration as error:
            self.runtime.log("reload-refused", level="error", why=str(error))
            return
        self.runtime.log("reloaded", journal=str(address))
        self._follower.change_address(address)

    def begin_shutdown(self) -> None:
        """SIGTERM: fail tests from now on, and end once late requests have arrived and all are answered."""
        if not self._shutting_down:
            self._shutting_down, self.admission.ready = True, False
            self.runtime.log("ending", pending=self._requests.pending, running=len(self._attempts))
            self.runtime.spawn(self._shut_down, "end")

    def _shut_down(self) -> None:
        hub = self.runtime.hub
        patience_us = min(MAX_PATIENCE_US, self._configuration.patience_us)
        end_us = hub.now_us() + max(patience_us + SHUTDOWN_MARGIN_US, LATE_ARRIVALS_US)
        while self._requests.pending or hub.now_us() < end_us:
            hub.sleep(20_000)
        self.log_counts()
        # Danger: closing a connection with unread input resets it and discards an answer in flight.
        self.owners.retire_all()
        end_us = hub.now_us() + CLOSE_TIMEOUT_US
        while len(self.owners) and hub.now_us() < end_us:
            hub.sleep(10_000)
        self.runtime.shut_down()
