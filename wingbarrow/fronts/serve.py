"""Assembles a placer process from its settings: the core and the fronts, and reloads of the settings file."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from wingbarrow.config import PlacerSettings, SettingsError, load_file
from wingbarrow.core.placer import Placer
from wingbarrow.fronts.rest import RestFront
from wingbarrow.transport import Hub, Nursery


class Service:
    """A placer with its fronts on a hub."""

    def __init__(self, hub: Hub, settings: PlacerSettings, log: Callable[..., None]) -> None:
        self.hub = hub
        self.placer = Placer(hub, settings, log)
        self.rest = RestFront(hub, self.placer, log)
        self.url = f"http://{settings.host}:{self.rest.port}"

    def run(self) -> None:
        """Serve until cancelled."""
        with Nursery(self.hub) as nursery:
            nursery.spawn(self.rest.server.serve, "front")
            self.placer.run()
            nursery.cancel()


def reload_file(
    path: Path, running: PlacerSettings, log: Callable[..., None]
) -> PlacerSettings | None:
    """The settings of a file for a running placer; None, with the errors in the log, if they cannot be applied."""
    try:
        loaded = load_file(path)
    except SettingsError as error:
        for line, text in error.problems[:20]:
            log("settings-refused", level="error", file=str(path), line=line, why=text)
        return None
    for name in (
        "name",
        "host",
        "port",
        "source_host",
        "source_port",
        "scheduler",
        "state",
        "subset",
    ):
        if getattr(loaded, name) != getattr(running, name):
            log(
                "settings-refused",
                level="error",
                file=str(path),
                why=f"{name} cannot change without a restart",
            )
            return None
    return loaded
