"""Learning from running instances at a start: announcements of all seed peers, pages of the best one, then its changes.

Placing begins at once and never waits for this. `decide.learning` decides how far a peer's knowledge is trusted.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Protocol
from urllib.parse import quote

from wingbarrow.config.settings import PeerAddress, PlacerSettings
from wingbarrow.decide import learning
from wingbarrow.decide.learning import Announcement, ClockCheck, MachineObservation
from wingbarrow.http.client import CallFailed, Pool, PoolLimits
from wingbarrow.http.message import Limits
from wingbarrow.peers.knowledge_pages import (
    MACHINES_PER_PAGE,
    KnowledgePageError,
    Page,
    decode_instance,
    decode_page,
)
from wingbarrow.transport import Hub, Nursery

SECOND = 1_000_000
ANNOUNCE_TIMEOUT_US = 600_000  # for the concurrent requests of all announcements
PEER_TIMEOUT_US = 2 * SECOND  # for one peer's pages
TOTAL_TIMEOUT_US = 5 * SECOND  # for announcements and pages of all peers
WATCH_DURATION_US = 60 * SECOND
WATCH_SILENCE_US = 5 * SECOND  # a watched peer writes a line every second
MAX_PAGE_BYTES = 4 << 20  # of a page, and of a line of the watch
API_ROOT = "/apis/wingbarrow.io/v1"


class ObservationSink(Protocol):
    """The part of the placer that uses what a peer knows.

    `more_age_us`: time to add to all ages; `clock_good`: whether the ages can be trusted.
    """

    def on_observations(
        self, observations: list[MachineObservation], more_age_us: int, clock_good: bool
    ) -> bool:
        """Handle the observations of a page; False if they belong to another cluster."""

    def on_usage_ratios(self, page: Page, more_age_us: int, clock_good: bool) -> None:
        """Handle the usage ratios of a page."""


class Learner:
    """Learns once after a start.

    `state`: "asking", "followed" while the watch runs, "learned" at its end or after some pages, "cold" without any.
    """

    def __init__(
        self,
        hub: Hub,
        settings: PlacerSettings,
        taker: ObservationSink,
        incarnation: int,
        log: Callable[..., None],
    ) -> None:
        self._hub = hub
        self._settings = settings
        self._sink = taker
        self._incarnation = incarnation
        self._log = log
        self._pools: dict[PeerAddress, Pool] = {}
        self._peers = [peer for peer in settings.peers if peer.seed]
        self.state = "asking" if self._peers else "cold"
        self.source = ""  # the ident of the peer whose pages were read
        self.counts: Counter[str] = Counter()

    def _pool(self, peer: PeerAddress) -> Pool:
        if peer not in self._pools:
            self._pools[peer] = Pool(
                self._hub,
                peer.host,
                peer.port,
                PoolLimits(
                    connections=4,
                    connect_us=ANNOUNCE_TIMEOUT_US,
                    message=Limits(body=MAX_PAGE_BYTES),
                ),
                f"wingbarrow/{self._settings.name}",
            )
        return self._pools[peer]

    def run(self) -> None:
        """Read announcements and pages, then watch the peer; returns when the watch ends or no peer can be read."""
        if not self._peers:
            return
        end = self._hub.now_us() + TOTAL_TIMEOUT_US
        announced = self._announcements()
        candidates = learning.order_peers(
            announced, self._settings.region, self._settings.cluster, self._settings.name
        )
        by_name = {str(peer): peer for peer in self._peers}
        for announcement in candidates:
            peer = by_name[announcement.peer]
            if self._hub.now_us() >= end:
                break
            if self._read_pages(peer, announcement, min(end, self._hub.now_us() + PEER_TIMEOUT_US)):
                self.state, self.source = "followed", announcement.ident
                self._log("learned", peer=announcement.ident, machines=announcement.machines)
                self._watch(peer, announcement)
                self.state = "learned"
                return
            self.counts["fell_back"] += 1
        if self.state == "asking":
            self.state = "learned" if self.counts["pages"] else "cold"
            self._log(
                "cold-start",
                peers=len(self._peers),
                announced=len(announced),
                pages=self.counts["pages"],
            )

    # -- announcements

    def _announcements(self) -> list[Announcement]:
        announcements: list[Announcement] = []

        def ask(peer: PeerAddress) -> None:
            start_us = self._hub.now_us()
            try:
                response = self._pool(peer).request(
                    "GET", f"{API_ROOT}/instance", until_us=start_us + ANNOUNCE_TIMEOUT_US
                )
                if response.status != 200:
                    raise KnowledgePageError(f"status {response.status}")
                announcement, _ = decode_instance(
                    response.body, str(peer), self._hub.now_us() - start_us
                )
            except (CallFailed, KnowledgePageError) as error:
                self.counts["no_announcement"] += 1
                self._log("peer-announcement-failed", peer=str(peer), why=str(error)[:200])
                return
            announcements.append(announcement)

        with self._hub.limit(ANNOUNCE_TIMEOUT_US), Nursery(self._hub) as nursery:
            for peer in self._peers:
                nursery.spawn(lambda peer=peer: ask(peer), "asks a peer")  # type: ignore[misc]
        return announcements

    # -- pages

    def _read_pages(self, peer: PeerAddress, announcement: Announcement, end_us: int) -> bool:
        """Read all pages of one peer and handle each at once; False on a timeout, an error, or another cluster."""
        token, expected, snapshot = "", 0, ""
        clock = ClockCheck()
        max_machines = self._settings.limits.machines
        while True:
            start_us = self._hub.now_us()
            if start_us >= end_us:
                self.counts["stalled"] += 1
                return False
            query = f"?limit={MACHINES_PER_PAGE}" + (f"&continue={quote(token)}" if token else "")
            try:
                response = self._pool(peer).request(
                    "GET", f"{API_ROOT}/knowledge{query}", until_us=end_us
                )
                if response.status != 200:
                    raise KnowledgePageError(f"status {response.status}")
                page = decode_page(response.body, max_machines)
                if page.first != expected or (snapshot and page.snapshot != snapshot):
                    raise KnowledgePageError(
                        f"page at {page.first} of {page.snapshot}, not at {expected} of {snapshot}"
                    )
            except (CallFailed, KnowledgePageError) as error:
                self.counts[
                    "bad_pages" if isinstance(error, KnowledgePageError) else "stalled"
                ] += 1
                self._log(
                    "peer-page-invalid", level="warning", peer=str(peer), why=str(error)[:200]
                )
                return False
            if not self._apply_page(page, clock, start_us):
                return False
            snapshot, expected = page.snapshot, page.first + len(page.observations)
            if not page.next:
                if expected != page.total:
                    self.counts["bad_pages"] += 1
                    return False
                return True
            if not page.observations or page.next == token:
                self.counts["bad_pages"] += 1
                return False
            token = page.next

    def _apply_page(self, page: Page, clock: ClockCheck, requested_us: int) -> bool:
        now = self._hub.now_us()
        clock_good = clock.check_page(now, page.clock_us)
        if not clock_good:
            self.counts["clock_jumps"] += 1
        # The response was written at an unknown time after the request was sent: all of the exchange counts as age.
        more_age_us = page.snapshot_age_us + (now - requested_us)
        self.counts["pages"] += 1
        if not self._sink.on_observations(page.observations, more_age_us, clock_good):
            self.counts["strangers"] += 1
            self._log("peer-of-another-cluster", level="warning")
            return False
        self._sink.on_usage_ratios(page, more_age_us, clock_good)
        return True

    # -- watch

    def _watch(self, peer: PeerAddress, announcement: Announcement) -> None:
        """Watch the peer's changes for `WATCH_DURATION_US`; however the watch ends, what was learned is kept."""
        end = self._hub.now_us() + WATCH_DURATION_US
        clock = ClockCheck()
        try:
            response, parts = self._pool(peer).stream(
                "GET",
                f"{API_ROOT}/knowledge?watch=true",
                until_us=self._hub.now_us() + PEER_TIMEOUT_US,
                silence_us=WATCH_SILENCE_US,
            )
            try:
                if response.status != 200:
                    raise KnowledgePageError(f"status {response.status}")
                for line in _split_lines(parts):
                    if self._hub.now_us() >= end:
                        return
                    if not self._apply_page(
                        decode_page(line, self._settings.limits.machines), clock, self._hub.now_us()
                    ):
                        return
                    self.counts["followed"] += 1
            finally:
                parts.close()  # type: ignore[attr-defined]
        except (CallFailed, KnowledgePageError) as error:
            self.counts["follow_broke"] += 1
            self._log("peer-watch-failed", peer=str(peer), why=str(error)[:200])


def _split_lines(parts: Iterable[bytes]) -> Iterable[bytes]:
    rest = b""
    for part in parts:
        lines = (rest + part).split(b"\n")
        rest = lines.pop()
        if len(rest) > MAX_PAGE_BYTES:
            raise KnowledgePageError(f"a line of more than {MAX_PAGE_BYTES} bytes")
        yield from lines
