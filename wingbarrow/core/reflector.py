"""The reflector lists, then watches, the Nodes of the list source; after a failure it backs off and resumes or relists.

It follows "Efficient detection of changes" of the Kubernetes API concepts. `decide.list_versions` decides which
resource versions are accepted, `decide.backoff` the delay after a failure.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from wingbarrow.core.nodes import NodeEntry, read_node
from wingbarrow.decide.backoff import Backoff
from wingbarrow.decide.list_versions import ListDecision, ListVersionCheck
from wingbarrow.http.client import CallFailed, Pool, PoolLimits
from wingbarrow.http.message import Limits
from wingbarrow.http.watching import list_all, watch_batches
from wingbarrow.interface import ListForm
from wingbarrow.kube.status import ApiError
from wingbarrow.transport import Hub

SECOND = 1_000_000
LIST_TIMEOUT_US = 10 * SECOND
# The source sends a bookmark at least this often while anything changes.
MAX_SILENCE_US = 30 * SECOND
WATCH_TIMEOUT_S = 300
LIST_PAGE_SIZE = 500
RANKING_BATCH_SIZE = 100  # names ranked between two yields to other tasks


class Reflector:
    """Calls `deliver(form, entries, deleted_names)` for each list, watch batch and failure of the source.

    `is_wanted(name)` restricts the entries that are held; others are skipped before they are decoded.
    """

    def __init__(
        self,
        hub: Hub,
        host: str,
        port: int,
        agent: str,
        seed: random.Random,
        max_machines: int,
        shift_us: int,
        deliver: Callable[[ListForm, list[NodeEntry], list[str]], None],
        log: Callable[..., None],
    ) -> None:
        self._hub = hub
        self._shift_us = shift_us
        self._pool = Pool(
            hub, host, port, PoolLimits(connections=4, message=Limits(body=256 << 20)), agent
        )
        self._deliver = deliver
        self._log = log
        self._versions = ListVersionCheck()
        self._backoff = Backoff(seed, 100_000, 5 * SECOND)
        self._max_machines = max_machines
        self._version = ""
        self._reported_failure = False
        self.is_wanted: Callable[[str], bool] = _accept_all
        self.skipped_entries = 0  # total of list entries and watch events that were not wanted
        self.left_out = 0  # machines on the list that are not held
        self.supplementary_lists = 0
        self.invalid_entries = 0
        self.relists = 0
        self.watches = 0
        self.failures = 0
        self.held: dict[str, NodeEntry] = {}
        self.last_contact_us: int | None = None  # when the source last sent anything
        self.version = 0  # resourceVersion of the list as held
        self.on_new_source: Callable[[], None] = lambda: None

    def run(self) -> None:
        """List and watch until cancelled."""
        # Danger (rule 3): after a stall, offers that are ready would be sent before the drains that were announced
        # during the stall are read. This task therefore runs first.
        self._hub.current().urgent = True
        while True:
            try:
                if not self._version:
                    self._list()
                self._watch()
            except (CallFailed, ApiError, ValueError) as error:
                if isinstance(error, ApiError) and error.code == 410:
                    self._version = ""
                self._on_failure(error)
                self._hub.sleep(self._backoff.next_delay_us())

    def _on_failure(self, error: Exception) -> None:
        self.failures += 1
        self._log(
            "list-source-failed",
            level="warning",
            why=str(error)[:200],
            failures=self._backoff.failures,
        )
        if not self._reported_failure:
            self._reported_failure = True
            self._deliver(ListForm.FAILED, [], [])

    def _list(self) -> None:
        items, version = list_all(
            self._pool, "/api/v1/nodes", "", LIST_PAGE_SIZE, self._hub.now_us() + LIST_TIMEOUT_US
        )
        self._prepare_is_wanted(items)
        self.relists += 1
        if not version.isascii() or not version.isdigit():
            raise ValueError(
                f"the Node list has no valid resourceVersion: expected digits, got {version[:40]!r}"
            )
        decision = self._versions.check_list(int(version), self._hub.now_us())
        if decision is ListDecision.REJECT_STALE:
            raise ValueError(
                f"the Node list is stale: version {version} is older than the one held"
            )
        if decision is ListDecision.ACCEPT_NEW_SOURCE:
            self._log("list-source-replaced", level="warning", version=version)
            self.on_new_source()
        entries: dict[str, NodeEntry] = {}
        wanted = [value for value in items if self._is_wanted(value)]
        self.left_out = len(items) - len(wanted)
        for value in wanted[: self._max_machines]:
            entry = self._read(value)
            if entry is None:
                name = str(value.get("metadata", {}).get("name", ""))
                if name in self.held:
                    entries[name] = self.held[name]
            else:
                # Keep the held entry where the listed one has an older version.
                newer = self._versions.accept_entry(entry.name, entry.version)
                entries[entry.name] = entry if newer else self.held.get(entry.name, entry)
        if len(wanted) > self._max_machines:
            self._log("list-too-long", level="error", machines=len(wanted), most=self._max_machines)
        gone = [name for name in self.held if name not in entries]
        self.held = entries
        self._versions.prune(set(entries))
        self._version = version
        self._on_success()
        self._deliver(ListForm.FULL, list(entries.values()), gone)

    def list_missing_machines(self) -> None:
        """Add machines that are wanted but not held, by a supplementary list while the watch goes on.

        Raises CallFailed, ApiError or ValueError where the list fails or is older than what was already read.
        """
        items, version = list_all(
            self._pool, "/api/v1/nodes", "", LIST_PAGE_SIZE, self._hub.now_us() + LIST_TIMEOUT_US
        )
        self._prepare_is_wanted(items)
        if not version.isascii() or not version.isdigit():
            raise ValueError(
                f"the Node list has no valid resourceVersion: expected digits, got {version[:40]!r}"
            )
        # Danger (rule 3): the watch may have announced a drain that an older list does not contain yet.
        if self._versions.is_stale(int(version)):
            raise ValueError(
                f"the Node list is stale: version {version} is older than one already read"
            )
        self.supplementary_lists += 1
        added: list[NodeEntry] = []
        wanted = [value for value in items if self._is_wanted(value)]
        self.left_out = len(items) - len(wanted)
        for value in wanted:
            if _name(value) in self.held:
                continue  # the watch keeps this entry up to date
            entry = self._read(value)
            # Skip an entry whose deletion the watch has reported meanwhile: its version here is lower.
            if entry is None or not self._versions.accept_entry(entry.name, entry.version):
                continue
            if len(self.held) >= self._max_machines:
                self._log(
                    "list-too-long", level="error", machines=len(wanted), most=self._max_machines
                )
                break
            self.held[entry.name] = entry
            added.append(entry)
        if added:
            self._deliver(ListForm.CHANGES, added, [])

    def drop(self, name: str) -> None:
        """Stop holding a machine; its further events are skipped until it is wanted again."""
        if self.held.pop(name, None) is not None:
            self.left_out += 1

    def _prepare_is_wanted(self, items: list[dict[str, Any]]) -> None:
        """Call `is_wanted` for every name, and yield between batches: the first call for a name is expensive.

        Danger (rule 1): ranking 10,000 machines for 100 placers without a yield takes more than a second.
        """
        if self.is_wanted is _accept_all:
            return
        for begin in range(0, len(items), RANKING_BATCH_SIZE):
            for value in items[begin : begin + RANKING_BATCH_SIZE]:
                self.is_wanted(_name(value))
            self._hub.checkpoint()

    def _is_wanted(self, value: dict[str, Any]) -> bool:
        """Whether an entry is to be decoded, by its name alone; counts the entries that are skipped."""
        name = _name(value)
        if not name or self.is_wanted(name):
            return True
        self.skipped_entries += 1
        return False

    def _on_success(self) -> None:
        self.last_contact_us = self._hub.now_us()
        self.version = int(self._version or 0)
        self._backoff.reset()
        self._reported_failure = False

    def _read(self, value: dict[str, Any]) -> NodeEntry | None:
        try:
            return read_node(value, self._shift_us)
        except ValueError as error:
            self.invalid_entries += 1
            self._log(
                "bad-list-entry",
                level="warning",
                field=str(error),
                machine=str(value.get("metadata", {}).get("name", ""))[:100]
                if isinstance(value.get("metadata"), dict)
                else "",
            )
            return None

    def _watch(self) -> None:
        self.watches += 1
        target = (
            f"/api/v1/nodes?watch=true&resourceVersion={self._version}&allowWatchBookmarks=true"
            f"&timeoutSeconds={WATCH_TIMEOUT_S}"
        )
        until = self._hub.now_us() + LIST_TIMEOUT_US
        batches = watch_batches(self._pool, target, until, MAX_SILENCE_US)
        try:
            for batch in batches:
                self._on_batch(batch)
                self._on_success()
        finally:
            batches.close()  # type: ignore[attr-defined]

    def _on_batch(self, batch: list[tuple[str, dict[str, Any]]]) -> None:
        """Apply events that arrived together in one delivery, as the decision module replans after each delivery."""
        changed: dict[str, NodeEntry] = {}
        gone: dict[str, None] = {}
        for kind, value in batch:
            version = value.get("metadata", {}).get("resourceVersion")
            if not isinstance(version, str) or not version.isdigit():
                raise ValueError(
                    "a watch event has no valid resourceVersion: expected digits,"
                    f" got {str(version)[:40]!r}"
                )
            if kind != "BOOKMARK":
                self._on_event(kind, value, changed, gone)
            if int(version) > int(self._version):
                self._version = version
        if changed or gone:
            self._deliver(ListForm.CHANGES, list(changed.values()), list(gone))

    def _on_event(
        self, kind: str, value: dict[str, Any], changed: dict[str, NodeEntry], gone: dict[str, None]
    ) -> None:
        if not self._is_wanted(value):
            self._versions.observe_version(int(value["metadata"]["resourceVersion"]))
            self.left_out = max(0, self.left_out + {"ADDED": 1, "DELETED": -1}.get(kind, 0))
            return
        entry = self._read(value)
        if entry is None or not self._versions.accept_entry(entry.name, entry.version):
            return
        if kind == "DELETED":
            self.held.pop(entry.name, None)
            changed.pop(entry.name, None)
            gone[entry.name] = None
        elif entry.name in self.held or len(self.held) < self._max_machines:
            self.held[entry.name] = changed[entry.name] = entry
            gone.pop(entry.name, None)
        else:
            self._log(
                "list-too-long", level="error", machines=len(self.held) + 1, most=self._max_machines
            )


def _accept_all(name: str) -> bool:
    return True


def _name(value: dict[str, Any]) -> str:
    """The name of a listed object; "" without a usable one."""
    meta = value.get("metadata")
    name = meta.get("name") if isinstance(meta, dict) else None
    return name if isinstance(name, str) else ""
