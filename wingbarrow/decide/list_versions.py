"""Which versions of the machine list are accepted: an older list or entry must not undo a drain that is known."""

from __future__ import annotations

from enum import Enum

# After so long with older lists only, the source has restarted with new versions, and its lists are accepted again.
NEW_SOURCE_US = 30_000_000


class ListDecision(Enum):
    """What to do with a complete list."""

    ACCEPT = "accept"
    REJECT_STALE = "reject: older than what was read before"
    ACCEPT_NEW_SOURCE = "accept: the source has restarted with new versions"


class ListVersionCheck:
    """Compares resourceVersions of one source; they increase with time until the source restarts."""

    def __init__(self) -> None:
        self._latest = -1
        self._entries: dict[str, int] = {}
        self._stale_since_us: int | None = None

    def check_list(self, version: int, now_us: int) -> ListDecision:
        """Whether a complete list of that version may replace the one held."""
        if version >= self._latest:
            self._latest, self._stale_since_us = version, None
            return ListDecision.ACCEPT
        # Danger (rule 3): an older list shows a machine as running that is known to be draining.
        if self._stale_since_us is None:
            self._stale_since_us = now_us
        if now_us - self._stale_since_us < NEW_SOURCE_US:
            return ListDecision.REJECT_STALE
        self._latest, self._stale_since_us = version, None
        self._entries.clear()
        return ListDecision.ACCEPT_NEW_SOURCE

    def accept_entry(self, name: str, version: int) -> bool:
        """Whether an entry is at least as new as the one accepted before for that name; records its version if so."""
        if version < self._entries.get(name, -1):
            return False
        self._entries[name] = version
        self._latest = max(self._latest, version)
        return True

    def observe_version(self, version: int) -> None:
        """Record the version of an entry that is not held: lists older than it are stale all the same."""
        self._latest = max(self._latest, version)

    def is_stale(self, version: int) -> bool:
        """Whether a list of that version is older than what was read; one of the same version is not."""
        return version < self._latest

    def prune(self, keep: set[str]) -> None:
        """Drop the versions of entries outside `keep` once they are the larger part, which bounds memory."""
        if len(self._entries) > 2 * len(keep) + 64:
            self._entries = {
                name: version for name, version in self._entries.items() if name in keep
            }
