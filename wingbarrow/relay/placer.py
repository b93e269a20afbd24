"""One placer on the platform's protocol: its components put together, the list's news, its signals, its end."""

from __future__ import annotations

from collections.abc import Callable

from wingbarrow import interface as api
from wingbarrow.core.host import Host
from wingbarrow.core.life import Life
from wingbarrow.decide.crowd import Crowd
from wingbarrow.decide.descriptors import Table
from wingbarrow.relay import journal
from wingbarrow.relay.admission import Admission
from wingbarrow.relay.configuration import BadConfiguration, Configuration, load_journal
from wingbarrow.relay.links import SWEEP_US, Attempts, Link, Links
from wingbarrow.relay.message import Message
from wingbarrow.relay.offers import Offers
from wingbarrow.relay.owners import Owner, Owners
from wingbarrow.relay.tasks import RequestTable
from wingbarrow.relay.trace import Trace
from wingbarrow.transport import Hub, Nursery, listen

# The platform ends a placer no sooner than so long after SIGTERM: the longest deadline, counted as 3 s where it is
# longer, and 0.7 s. Until shortly before, what stands is looked after: nobody else tells its owners that it is over.
MAX_PATIENCE_US, LINGER_US = 3_000_000, 300_000
# Connections come until 0.4 s after SIGTERM and their requests 0.2 s more; each of them is owed an answer.
ARRIVALS_US = 620_000
FAREWELL_US = 80_000  # at most, for what is written to leave, and for clients to hear that this side has ended
FORGET_US = 30_000_000  # a machine that is gone is forgotten so long after
COUNTS_US = 10_000_000


class Placer:
    """Serves until cancelled, or until it was told to end and nothing is owed."""

    def __init__(
        self,
        hub: Hub,
        configuration: Configuration,
        log: Callable[..., None],
        trace: Trace | None = None,
    ) -> None:
        self._configuration, trace = configuration, trace or Trace()
        settings = configuration.settings
        life = self.life = Life(hub, log, configuration.seed)
        self._host = Host(life, settings)
        table = self._table = Table(configuration.sockets)
        self._requests, self._attempts, self._links = (
            RequestTable(),
            Attempts(),
            Links(table, lambda: len(self.owners), configuration.conn_idle_us),
        )
        crowd = Crowd(table.owners_most)
        self.owners = Owners(
            life, crowd, self._take, self._left, lambda: self._links.make_room(0), trace
        )
        self._offers = Offers(
            life,
            self._host,
            self._requests,
            self._attempts,
            self._links,
            self.owners,
            settings,
            trace,
        )
        self.admission = Admission(
            life,
            self._host,
            self._requests,
            self._attempts,
            self._links,
            self._offers,
            crowd,
            settings,
            configuration.stay_away_most_us,
            configuration.patience_us,
            trace,
        )
        self.admission.owners = self.owners
        self._host.action_handler = self
        self._shift_us = hub.clock.now_us() - hub.clock.wall_us()
        self._gone: dict[str, int] = {}
        self._ending = False
        self.port = configuration.listen.port
        position, known = journal.read(
            configuration.known,
            self._shift_us,
            lambda why: log("bad-list-entry", level="warning", why=why),
        )
        self._follower = journal.Follower(
            life,
            configuration.journal,
            position,
            self._shift_us,
            self._on_news,
            self._on_failed,
            known,
        )
        self._offers.list_behind = self._follower.is_behind
        self._begin(known)

    # -- the module's hands

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
        """Ask a machine for its report."""
        self._offers.probes.ask(machine)

    def flush(self) -> None:
        """Everything has been written already."""

    # -- what connections tell

    def _take(self, owner: Owner, message: Message, came_us: int) -> None:
        self.admission.take(owner, message, came_us)

    def _left(self, owner: Owner) -> None:
        self.admission.left(owner)

    # -- the list of machines

    def _begin(self, known: list[journal.News]) -> None:
        entries: dict[str, journal.Entry] = {}
        for news in known:
            if news.whole:
                entries.clear()
            entries.update((each.name, each) for each in news.entries)
        running = tuple(
            each for each in entries.values() if each.listed.phase is not api.Phase.GONE
        )
        for entry in running:
            self._reach(entry)
        self._host.feed(api.MachineList(api.ListForm.SAVED, tuple(each.listed for each in running)))

    def _reach(self, entry: journal.Entry) -> Link:
        link = Link(
            self.life,
            entry.name,
            entry.address,
            entry.listed,
            self._links,
            self._configuration.dial_us,
            self._offers,
        )
        self._links.add(link)
        return link

    def _on_news(self, news: journal.News) -> None:
        form = api.ListForm.FULL if news.whole else api.ListForm.CHANGES
        if news.whole:
            names = {each.name for each in news.entries}
            for link in list(self._links.by_name.values()):
                if link.name not in names:
                    self._is_gone(link)
        for entry in news.entries:
            self._on_entry(entry)
        # Links first: what the module decides on hearing the list must find them as it says.
        self._host.feed(api.MachineList(form, tuple(each.listed for each in news.entries)))

    def _on_entry(self, entry: journal.Entry) -> None:
        link, listed = self._links.by_name.get(entry.name), entry.listed
        if listed.phase is api.Phase.GONE:
            if link is not None:
                self._is_gone(link)
            return
        for other in self._links.at(entry.address):
            if other.name != entry.name:
                self._is_gone(other)  # its address is another machine's now
        if link is not None and (link.closed or link.address != entry.address):
            self._is_gone(link)
            link = None
        if link is None:
            link = self._reach(entry)
            self._gone.pop(entry.name, None)
        elif listed.launched_us > link.launched_us:
            self._offers.restarted(link, listed.launched_us)
        link.phase, link.launched_us = listed.phase, listed.launched_us

    def _is_gone(self, link: Link) -> None:
        if not link.closed:
            link.phase = api.Phase.GONE
            link.close()
            self._offers.lost(link)
            self._gone[link.name] = self.life.hub.now_us()

    def _on_failed(self) -> None:
        self._host.feed(api.MachineList(api.ListForm.FAILED, ()))

    # -- life

    def run(self) -> None:
        """Serve; a failure of the core itself ends it."""
        hub, configuration = self.life.hub, self._configuration
        with Nursery(hub) as nursery:
            self.life.live_in(nursery)
            listener = listen(
                hub,
                configuration.listen.host,
                configuration.listen.port,
                lambda text: self.life.log("listener", level="warning", why=text),
            )
            self.port = listener.port
            nursery.spawn(lambda: self.owners.serve(listener), "listener")
            nursery.spawn(self.owners.sweep, "owners")
            nursery.spawn(self._look_after_links, "links")
            nursery.spawn(self._follower.run, "journal")
            nursery.spawn(self._tell_counts, "counts")
            self.admission.ready = True
            self.life.log(
                "ready",
                name=configuration.name,
                listen=str(configuration.listen),
                machines=len(self._links.by_name),
            )
        if self._host.failed is not None:
            raise self._host.failed

    def _look_after_links(self) -> None:
        hub = self.life.hub
        while True:
            hub.sleep(SWEEP_US)
            now = hub.now_us()
            for link in list(self._links.by_name.values()):
                if not link.closed:
                    link.look_after(now)
            for name, since_us in list(self._gone.items()):
                if now - since_us >= FORGET_US:
                    del self._gone[name]
                    link_gone = self._links.by_name.get(name)
                    if link_gone is not None and link_gone.closed:
                        self._links.remove(link_gone)

    def _tell_counts(self) -> None:
        while True:
            self.life.hub.sleep(COUNTS_US)
            self.tell_counts()

    def tell_counts(self) -> None:
        """A line with all counters."""
        self.life.log(
            "counts",
            owners=len(self.owners),
            machines=self._links.held,
            descriptors_most=self._table.most,
            running=len(self._attempts),
            pending=self._requests.pending,
            module_ms=self._host.module_ns // 1_000_000,
            lag_worst_us=self.life.hub.lag.worst_us,
            odd=dict(self._requests.odd + self._attempts.unexpected_transitions),
            **self.life.counts,
        )

    def reload(self, path: str) -> None:
        """SIGHUP: use the journal service's address in the file; what cannot be read leaves the old one in force."""
        try:
            address = load_journal(path)
        except BadConfiguration as error:
            self.life.log("reload-refused", level="error", why=str(error))
            return
        self.life.log("reloaded", journal=str(address))
        self._follower.move_to(address)

    def finish(self) -> None:
        """SIGTERM: tests fail from now on; the end comes when nothing more arrives and nothing is owed."""
        if not self._ending:
            self._ending, self.admission.ready = True, False
            self.life.log("ending", pending=self._requests.pending, running=len(self._attempts))
            self.life.spawn(self._wind_up, "end")

    def _wind_up(self) -> None:
        hub = self.life.hub
        patience_us = min(MAX_PATIENCE_US, self._configuration.patience_us)
        end_us = hub.now_us() + max(patience_us + LINGER_US, ARRIVALS_US)
        while self._requests.pending or hub.now_us() < end_us:
            hub.sleep(20_000)
        self.tell_counts()
        # Danger: a connection that is closed with something unread is reset, and an answer on its way is thrown away.
        self.owners.say_farewell()
        end_us = hub.now_us() + FAREWELL_US
        while len(self.owners) and hub.now_us() < end_us:
            hub.sleep(10_000)
        self.life.end()
