"""Labels, annotations and node fields that carry what the public specification has no word for."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import Any

import msgspec
import xxhash

PREFIX = "wingbarrow.io/"
CLASS = PREFIX + "class"
SERVICE = PREFIX + "service"
PATIENCE = PREFIX + "patience"
EXPECTED = PREFIX + "expected-duration"
RUNS_FOR = PREFIX + "runs-for"
TASK = PREFIX + "task"
PLACER = PREFIX + "placer"
JOB = PREFIX + "job"
RULES = PREFIX + "rules"
START_WITHIN = PREFIX + "start-within"
FEDERATION = PREFIX + "federation"  # of a Job: the name of its federation spec
LEASE_UNTIL = (
    PREFIX + "lease-until"
)  # of a Pod: until when it may run, in its machine's clock: "BOOT:MICROSECONDS"
SESSION = PREFIX + "session"  # of a leased Pod: whose lease it runs by, "placer/life/serial"
EPOCH = (
    PREFIX + "epoch"
)  # of a leased Pod: at which its Job was taken over; machines refuse those of earlier ones
HANDED = PREFIX + "handed"  # of a Job that another region handed over: its ident
USE = PREFIX + "use"
LAUNCHED = PREFIX + "launched"
FREE_CORES, FREE_MEMORY = PREFIX + "free-cores", PREFIX + "free-memory"
ZONE = "topology.kubernetes.io/zone"
CELL = "topology.kubernetes.io/rack"
KIND = "node.kubernetes.io/instance-type"
JOB_NAME = "batch.kubernetes.io/job-name"


def time_text(wall_us: int) -> str:
    """RFC 3339 with microseconds (metav1.MicroTime)."""
    return datetime.fromtimestamp(wall_us / 1e6, UTC).strftime("%Y-%m-%dT%H:%M:%S.%fZ")


def short_time(wall_us: int) -> str:
    """RFC 3339 in whole seconds (metav1.Time)."""
    return datetime.fromtimestamp(wall_us // 1_000_000, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")


def read_time(text: str) -> int:
    """Wall microseconds from RFC 3339; ValueError otherwise."""
    return round(datetime.fromisoformat(text).timestamp() * 1e6)


def ident(name: str) -> int:
    """The number by which the module knows a machine or a cell: the same at every placer, without talk."""
    return xxhash.xxh64_intdigest(name.encode()) >> 12


def uid(*parts: object) -> str:
    """A UID in the usual form, a function of its parts."""
    text = xxhash.xxh128_hexdigest("/".join(str(part) for part in parts).encode())
    return f"{text[:8]}-{text[8:12]}-{text[12:16]}-{text[16:20]}-{text[20:]}"


def decode(raw: bytes | str) -> dict[str, Any]:
    """A JSON object; ValueError for anything else."""
    try:
        return _DECODER.decode(raw)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ValueError(str(error)) from None


_DECODER: msgspec.json.Decoder[dict[str, Any]] = msgspec.json.Decoder(dict[str, Any])
encode = msgspec.json.Encoder().encode
