"""Reads a placer's configuration: RELAY_NAME, RELAY_LISTEN, and the JSON file that RELAY_CONFIG names."""

from __future__ import annotations

import json
import socket
from collections.abc import Mapping
from dataclasses import dataclass, replace
from math import inf
from pathlib import Path
from typing import Any

from wingbarrow import interface as api
from wingbarrow.decide.descriptor_budget import MIN_DESCRIPTORS
from wingbarrow.settings_parser import JsonValue, format_value, parse_settings

MAX_FILE_BYTES = 16 << 20
# Defaults for intervals that are absent or 0 in `settings.bounds`.
DEFAULT_DIAL_TIMEOUT_US = 250_000
DEFAULT_MAX_RETRY_AFTER_US = 1_000_000
DEFAULT_CONN_IDLE_US = 30_000_000
DEFAULT_MEMORY_MB = (
    32  # the least that the platform gives; used if `limits.memory_mb` is absent or unusable
)
MIN_INTERVAL_US = 1_000  # lower bound of configured intervals; nothing finishes within less
MIN_TICKS_PER_DEADLINE = 20  # the tick, reserved before deadlines, is at most 1/20 of the shortest
MAX_INT_DIGITS = 300  # longer integers overflow a float and are read as infinite


class BadConfiguration(Exception):
    """The configuration is unusable; the message names the key and the fault."""


@dataclass(frozen=True, slots=True)
class Address:
    """A numeric IPv4 or IPv6 address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Configuration:
    """The configuration of one process; times in microseconds."""

    name: str
    listen: Address
    seed: int
    sockets: int
    journal: Address
    known: Any  # the machine list so far, in the JSON form of the journal service
    settings: api.Settings
    dial_us: int
    max_retry_after_us: int
    patience_us: int  # longest deadline of any class
    conn_idle_us: int = (
        DEFAULT_CONN_IDLE_US  # connections are closed after being idle for this interval
    )
    memory_bytes: int = DEFAULT_MEMORY_MB << 20  # the process's limit


def read_address(text: object, what: str) -> Address:
    """Parse HOST:PORT with a numeric host; raises BadConfiguration, naming `what`, for anything else."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not (
        host
        and colon
        and port.isascii()
        and port.isdigit()
        and len(port) <= 5
        and int(port) < 65536
    ):
        raise BadConfiguration(f"{what}: not an address: {format_value(text)}")
    host = host.strip("[]")
    try:
        socket.inet_pton(socket.AF_INET6 if ":" in host else socket.AF_INET, host)
    except (OSError, ValueError):
        raise BadConfiguration(f"{what}: not a numeric IP address: {format_value(text)}") from None
    return Address(host, int(port))


def _parse_int(digits: str) -> int | float:
    return int(digits) if len(digits) <= MAX_INT_DIGITS else float(digits)


def _load(path: str) -> dict[str, Any]:
    try:
        with Path(path).open("rb") as file:
            raw = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise BadConfiguration(f"{path}: {error.strerror}") from None
    if len(raw) > MAX_FILE_BYTES:
        raise BadConfiguration(f"{path}: longer than {MAX_FILE_BYTES} bytes")
    try:
        value = json.loads(raw, parse_int=_parse_int)
    except (ValueError, RecursionError) as error:
        raise BadConfiguration(f"{path}: {error}") from None
    if not isinstance(value, dict):
        raise BadConfiguration(f"{path}: not a JSON object")
    return value


def _seed(part: JsonValue) -> int:
    try:
        return int(str(part.value), 16)
    except ValueError:
        raise part.error("not hex digits") from None


def _known(part: JsonValue) -> Any:
    """Check the outer form of the known machine list; its events are validated where they are parsed."""
    position = part.at("pos")
    if isinstance(position.value, bool) or not isinstance(position.value, int):
        raise position.error("not a position")
    part.at("entries").items()
    return part.value


def _interval_us(settings: JsonValue, key: str, default_us: int) -> int:
    """An interval from `settings.bounds`, in microseconds; `default_us` if absent or 0."""
    part = settings.find(f"bounds.{key}")
    value_us = 0 if part is None else part.microseconds()
    return max(MIN_INTERVAL_US, value_us) if value_us else default_us


def _memory_bytes(part: JsonValue | None) -> int:
    """The memory limit; the default for a value that is no positive number, as it bounds clients alone."""
    value = None if part is None else part.value
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 1 <= value < inf:
        return DEFAULT_MEMORY_MB << 20
    return int(value) << 20


def _deadlines(settings: JsonValue) -> list[int]:
    return [lane.at("deadline_us").microseconds() for lane in settings.at("lanes").items()]


def _scheduler(part: JsonValue) -> api.Settings:
    """The scheduler's settings, with the tick limited to a fraction of the shortest deadline.

    Danger (rule 1): `quantum_us` is the interval between the simulator's batches, which do not exist here. With a
    quantum as long as a deadline, every set-up of that class would be rejected as out of time.
    """
    settings = parse_settings(part.value, part.path)
    tick_us = max(1, min(settings.tick_us, min(_deadlines(part)) // MIN_TICKS_PER_DEADLINE))
    return replace(settings, tick_us=tick_us)


def load(environment: Mapping[str, str]) -> Configuration:
    """Read the environment and the file it names; raises BadConfiguration with a one-line message naming the key."""
    path = environment.get("RELAY_CONFIG", "")
    if not path:
        raise BadConfiguration("RELAY_CONFIG is not set")
    root = JsonValue(_load(path))
    listen = environment.get("RELAY_LISTEN")
    name = environment.get("RELAY_NAME")
    try:
        settings, sockets = root.at("settings"), root.at("limits.sockets")
        if sockets.count() < MIN_DESCRIPTORS:
            raise sockets.error(f"must be at least {MIN_DESCRIPTORS}")
        return Configuration(
            name=name or root.at("name").name(),
            listen=read_address(
                listen or root.at("listen").value, "RELAY_LISTEN" if listen else "listen"
            ),
            seed=_seed(root.at("seed")),
            sockets=sockets.count(),
            journal=read_address(root.at("journal").value, "journal"),
            known=_known(root.at("known")),
            settings=_scheduler(settings),
            dial_us=_interval_us(settings, "dial_timeout_us", DEFAULT_DIAL_TIMEOUT_US),
            max_retry_after_us=_interval_us(
                settings, "max_retry_after_us", DEFAULT_MAX_RETRY_AFTER_US
            ),
            patience_us=max(_deadlines(settings)),
            conn_idle_us=_interval_us(settings, "conn_idle_us", DEFAULT_CONN_IDLE_US),
            memory_bytes=_memory_bytes(root.find("limits.memory_mb")),
        )
    except (BadConfiguration, ValueError) as error:
        raise BadConfiguration(f"{path}: {error}") from None


def load_journal(path: str) -> Address:
    """Read only the journal service's address, from a replaced file; raises BadConfiguration if it has none."""
    return read_address(_load(path).get("journal"), "journal")
