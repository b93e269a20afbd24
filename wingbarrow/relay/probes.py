"""Probes: machines are asked for their reports, as the module wants."""

from __future__ import annotations

from wingbarrow import interface as api
from wingbarrow.core.host import Host
from wingbarrow.core.life import Life
from wingbarrow.relay.links import Link, Links
from wingbarrow.relay.message import Code, Kind, Message, with_cause
from wingbarrow.settings_parser import parse_report

PROBE_US = 1_000_000  # for a machine's answer
TEST = 1 << 63  # ids of own tests have the highest bit, and a count below


class Probes:
    """Each probe ends within PROBE_US, answered or not; the module hears of its end once."""

    def __init__(self, life: Life, host: Host, links: Links) -> None:
        self._life, self._host, self._links = life, host, links
        self._asked: dict[int, Link] = {}  # by the test's id
        self._tests = 0

    def ask(self, machine: int) -> None:
        """Ask a machine for its report."""
        link = self._links.of(machine)
        if link is None or link.closed:
            self._host.feed(api.Probed(machine, api.Outcome.UNREACHABLE, None))
            return
        self._life.counts["probes"] += 1
        self._life.spawn(lambda: self._ask(link), "probe")

    def _ask(self, link: Link) -> None:
        line = (None if link.liveness.is_suspect else link.shared_line()) or link.line_for_offer()
        self._tests += 1
        ident = TEST + self._tests
        if line is None or not line.write(with_cause(Kind.TEST, ident, 1)):
            self._host.feed(api.Probed(link.ident, api.Outcome.UNREACHABLE, None))
            return
        self._asked[ident] = link
        self._life.hub.sleep(PROBE_US)
        if self._asked.pop(ident, None) is not None:
            self._host.feed(api.Probed(link.ident, api.Outcome.TIMED_OUT, None))

    def answered(self, link: Link, message: Message) -> None:
        """A machine's answer to a test; one that nobody waits for changes nothing."""
        if self._asked.get(message.task) is not link:
            self._asked.pop(message.task, None)
            return
        del self._asked[message.task]
        report = parse_report(message.text(Code.REPORT) or "-", ";")
        outcome = api.Outcome.DONE if message.values.get(Code.CAUSE) != b"\0" else api.Outcome.ERROR
        self._host.feed(api.Probed(link.ident, outcome, report))
