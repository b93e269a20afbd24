"""One placer process: settings in, core and fronts started, signals heard."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from wingbarrow.config import PlacerSettings, SettingsError, load_file
from wingbarrow.core.placer import Placer
from wingbarrow.fronts.rest import RestFront
from wingbarrow.transport import Hub, Nursery


class Service:
    """A placer with its fronts, on a hub; `run` goes on until cancelled."""

    def __init__(self, hub: Hub, settings: PlacerSettings, log: Callable[..., None]) -> None:
        self.hub = hub
        self.placer = Placer(hub, settings, log)
        self.rest = RestFront(hub, self.placer, log)
        self.url = f"http://{settings.host}:{self.rest.port}"

    def run(self) -> None:
        """Serve."""
        with Nursery(self.hub) as nursery:
            nursery.spawn(self.rest.server.serve, "front")
            self.placer.run()
            nursery.cancel()


def reload_file(
    path: Path, running: PlacerSettings, log: Callable[..., None]
) -> PlacerSettings | None:
    """The file's settings for a running placer; None, and told, where they cannot be taken."""
    try:
        fresh = load_file(path)
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
        if getattr(fresh, name) != getattr(running, name):
            log(
                "settings-refused",
                level="error",
                file=str(path),
                why=f"{name} changes only with a restart",
            )
            return None
    return fresh
