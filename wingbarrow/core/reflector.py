"""The reflector: lists, then watches, the Nodes of the list source; resumes, relists or backs off when that fails.

Kubernetes API concepts, "Efficient detection of changes". Which versions are accepted is decided in
`decide.list_versions`; how long to wait after a failure, in `decide.backoff`.
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
MAX_SILENCE_US = (
    30 * SECOND
)  # the source sends a bookmark at least this often while anything changes
WATCH_S = 300
PAGE = 500
RANKING_BATCH = 100  # names between two checkpoints


class Reflector:
    """Calls `deliver(form, entries, names that are gone)` for each list, watch batch and failure of the source.

    `is_wanted(name)` restricts what is held; other entries are skipped before they are decoded.
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
        self.skipped_entries = 0  # so far
        self.left_out = 0  # machines on the list that are not held
        self.supplementary_lists = 0
        self.bad_entries = 0
        self.relists = 0
        self.watches = 0
        self.failures = 0
        self.held: dict[str, NodeEntry] = {}
        self.last_contact_us: int | None = None  # when the source last sent anything
        self.version = 0  # resourceVersion of the list as held
        self.on_new_source: Callable[[], None] = lambda: None

    def run(self) -> None:
        """List and watch until cancelled."""
        # Danger (rule 3): after a stall, ready offers would be sent before the drains announced meanwhile are read.
        self._hub.current().first = True
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
            self._pool, "/api/v1/nodes", "", PAGE, self._hub.now_us() + LIST_TIMEOUT_US
        )
        self._prepare_is_wanted(items)
        self.relists += 1
        if not version.isascii() or not version.isdigit():
            raise ValueError(f"a list without a resourceVersion: {version[:40]!r}")
        decision = self._versions.check_list(int(version), self._hub.now_us())
        if decision is ListDecision.REJECT_STALE:
            raise ValueError(f"the list goes back to version {version}; the newer one held is kept")
        if decision is ListDecision.ACCEPT_NEW_SOURCE:
            self._log("list-source-began-anew", level="warning", version=version)
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
                # An entry of an older version than the one held: the newer one is kept.
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
        """Add machines that are wanted and not held, by a further list while the watch goes on.

        Raises CallFailed, ApiError or ValueError where there is no list, or one older than what was read.
        """
        items, version = list_all(
            self._pool, "/api/v1/nodes", "", PAGE, self._hub.now_us() + LIST_TIMEOUT_US
        )
        self._prepare_is_wanted(items)
        if not version.isascii() or not version.isdigit():
            raise ValueError(f"a list without a resourceVersion: {version[:40]!r}")
        # Danger (rule 3): the watch may have announced a drain that an older list does not contain yet.
        if self._versions.is_stale(int(version)):
            raise ValueError(f"the list goes back to version {version}")
        self.supplementary_lists += 1
        added: list[NodeEntry] = []
        wanted = [value for value in items if self._is_wanted(value)]
        self.left_out = len(items) - len(wanted)
        for value in wanted:
            if _name(value) in self.held:
                continue  # the watch keeps it current
            entry = self._read(value)
            # An entry that the watch has reported deleted meanwhile has a lower version here.
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
        """Stop holding a machine; its further events are skipped unless it is wanted again."""
        if self.held.pop(name, None) is not None:
            self.left_out += 1

    def _prepare_is_wanted(self, items: list[dict[str, Any]]) -> None:
        """Call `is_wanted` for every name, yielding in between: the first call for a name is the expensive one.

        Danger (rule 1): ranking 10,000 machines for 100 placers without a yield takes more than a second.
        """
        if self.is_wanted is _accept_all:
            return
        for begin in range(0, len(items), RANKING_BATCH):
            for value in items[begin : begin + RANKING_BATCH]:
                self.is_wanted(_name(value))
            self._hub.checkpoint()

    def _is_wanted(self, value: dict[str, Any]) -> bool:
        """Whether an entry is to be read; only its name is decoded for that. Counts those that are not."""
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
            self.bad_entries += 1
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
            f"&timeoutSeconds={WATCH_S}"
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
        """Apply events that arrived together as one delivery, since the module plans anew after each delivery."""
        changed: dict[str, NodeEntry] = {}
        gone: dict[str, None] = {}
        for kind, value in batch:
            version = value.get("metadata", {}).get("resourceVersion")
            if not isinstance(version, str) or not version.isdigit():
                raise ValueError("a watch event without a resourceVersion")
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
