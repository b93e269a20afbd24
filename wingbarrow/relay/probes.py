"""Probes: requests for a machine's load report on behalf of the decision module."""

from __future__ import annotations

from wingbarrow import interface as api
from wingbarrow.core.host import Host
from wingbarrow.core.placer_runtime import PlacerRuntime
from wingbarrow.relay.link import Link
from wingbarrow.relay.links import Links
from wingbarrow.relay.message import Code, Kind, Message, with_cause
from wingbarrow.settings_parser import parse_report

PROBE_TIMEOUT_US = 1_000_000
TEST_ID_BIT = 1 << 63  # set in the ids of this placer's tests, with a counter in the bits below


class Probes:
    """Open probes; each ends within PROBE_TIMEOUT_US and feeds the module exactly one `Probed` event."""

    def __init__(self, runtime: PlacerRuntime, host: Host, links: Links) -> None:
        self._runtime, self._host, self._links = runtime, host, links
        self._pending: dict[int, Link] = {}  # by test id
        self._sent = 0

    def ask(self, machine: int) -> None:
        """Request a machine's report; the result is fed to the module as `Probed`."""
        link = self._links.of(machine)
        if link is None or link.closed:
            self._host.feed(api.Probed(machine, api.Outcome.UNREACHABLE, None))
            return
        self._runtime.counts["probes"] += 1
        self._runtime.spawn(lambda: self._send_and_wait(link), "probe")

    def _send_and_wait(self, link: Link) -> None:
        connection = (
            None if link.liveness.is_suspect else link.least_loaded_connection()
        ) or link.connection_for_offer()
        self._sent += 1
        ident = TEST_ID_BIT + self._sent
        if connection is None or not connection.write(with_cause(Kind.TEST, ident, 1)):
            self._host.feed(api.Probed(link.ident, api.Outcome.UNREACHABLE, None))
            return
        self._pending[ident] = link
        self._runtime.hub.sleep(PROBE_TIMEOUT_US)
        if self._pending.pop(ident, None) is not None:
            self._host.feed(api.Probed(link.ident, api.Outcome.TIMED_OUT, None))

    def on_answer(self, link: Link, message: Message) -> bool:
        """Handle a machine's answer to a test; False if it was not asked for one, which changes nothing."""
        if self._pending.get(message.task) is not link:
            return False
        del self._pending[message.task]
        report = parse_report(message.text(Code.REPORT) or "-", ";")
        outcome = api.Outcome.DONE if message.values.get(Code.CAUSE) != b"\0" else api.Outcome.ERROR
        self._host.feed(api.Probed(link.ident, outcome, report))
        return True
