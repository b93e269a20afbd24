"""What the platform tells a placer: the environment RELAY_NAME, RELAY_LISTEN, RELAY_CONFIG and the JSON it names."""

from __future__ import annotations

import json
import socket
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from wingbarrow import interface as api
from wingbarrow.decide.descriptors import LEAST
from wingbarrow.reader import need, settings_of, whole

FILE_MOST = 16 << 20
DIAL_US = 250_000


class BadConfiguration(Exception):
    """The configuration cannot be used; the text names what is wrong."""


@dataclass(frozen=True, slots=True)
class Address:
    """A host, by number, and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Configuration:
    """All that one start is told; times in microseconds."""

    name: str
    listen: Address
    seed: int
    sockets: int
    journal: Address
    known: Any  # of the journal service's form, up to now
    settings: api.Settings
    dial_us: int
    stay_away_most_us: int
    patience_us: int  # the longest of any class


def read_address(text: object, what: str) -> Address:
    """HOST:PORT; BadConfiguration with `what` otherwise."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not (host and colon and port.isascii() and port.isdigit() and 0 <= int(port) < 65536):
        raise BadConfiguration(f"{what}: not an address: {text!r}")
    host = host.strip("[]")
    try:
        socket.inet_pton(socket.AF_INET6 if ":" in host else socket.AF_INET, host)
    except (OSError, ValueError):
        raise BadConfiguration(f"{what}: not a host by number: {text!r}") from None
    return Address(host, int(port))


def _load(path: str) -> dict[str, Any]:
    try:
        with Path(path).open("rb") as file:
            raw = file.read(FILE_MOST + 1)
    except OSError as error:
        raise BadConfiguration(f"{path}: {error.strerror}") from None
    if len(raw) > FILE_MOST:
        raise BadConfiguration(f"{path}: longer than {FILE_MOST} bytes")
    try:
        value = json.loads(raw)
    except (ValueError, RecursionError) as error:
        raise BadConfiguration(f"{path}: {error}") from None
    if not isinstance(value, dict):
        raise BadConfiguration(f"{path}: not a JSON object")
    return value


def load(environment: Mapping[str, str]) -> Configuration:
    """Read the environment and the file it names; BadConfiguration says what is wrong."""
    path = environment.get("RELAY_CONFIG", "")
    if not path:
        raise BadConfiguration("RELAY_CONFIG is not set")
    value = _load(path)
    listen = read_address(environment.get("RELAY_LISTEN") or value.get("listen"), "RELAY_LISTEN")
    name = environment.get("RELAY_NAME") or value.get("name")
    if not isinstance(name, str) or not name:
        raise BadConfiguration("RELAY_NAME: not a name")
    try:
        settings = need(value, "settings")
        bounds = settings.get("bounds", {}) if isinstance(settings, dict) else {}

        sockets = whole(value, "limits.sockets")
        if sockets < LEAST:
            raise ValueError(f"limits.sockets: {sockets}, and no fewer than {LEAST} will do")

        def bound(key: str, usual: int) -> int:
            return max(1_000, whole(bounds, key)) if key in bounds else usual
        return Configuration(
            name=name, listen=listen, seed=int(str(need(value, "seed")), 16),
            sockets=sockets, journal=read_address(value.get("journal"), "journal"),
            known=need(value, "known"), settings=settings_of(settings), dial_us=bound("dial_timeout_us", DIAL_US),
            patience_us=max(whole(lane, "deadline_us") for lane in settings["lanes"]),
            stay_away_most_us=bound("max_retry_after_us", 1_000_000))
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise BadConfiguration(f"{path}: {error}") from None


def load_journal(path: str) -> Address:
    """The journal service's address alone, from a file that was replaced; BadConfiguration where it has none."""
    return read_address(_load(path).get("journal"), "journal")
