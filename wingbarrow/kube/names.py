"""Labels and annotations for data that the Kubernetes API has no fields for, and encodings of names and times."""

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
# Of a Job: the name of its federation spec.
FEDERATION = PREFIX + "federation"
# Of a Pod: until when it may run, on its machine's clock, as "BOOT:MICROSECONDS".
LEASE_UNTIL = PREFIX + "lease-until"
# Of a leased Pod: the session whose lease it runs under, as "placer/incarnation/serial".
SESSION = PREFIX + "session"
# Of a leased Pod: the epoch of the failover that took over its Job; machines refuse Pods of earlier epochs.
EPOCH = PREFIX + "epoch"
# Of a Job that another region forwarded: its identifier.
HANDED = PREFIX + "handed"
USE = PREFIX + "use"
LAUNCHED = PREFIX + "launched"
FREE_CORES, FREE_MEMORY = PREFIX + "free-cores", PREFIX + "free-memory"
ZONE = "topology.kubernetes.io/zone"
CELL = "topology.kubernetes.io/rack"
KIND = "node.kubernetes.io/instance-type"
JOB_NAME = "batch.kubernetes.io/job-name"


def time_text(wall_us: int) -> str:
    """Wall-clock microseconds as RFC 3339 with microseconds (metav1.MicroTime)."""
    return datetime.fromtimestamp(wall_us / 1e6, UTC).strftime("%Y-%m-%dT%H:%M:%S.%fZ")


def short_time(wall_us: int) -> str:
    """Wall-clock microseconds as RFC 3339 in whole seconds, rounded down (metav1.Time)."""
    return datetime.fromtimestamp(wall_us // 1_000_000, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")


def read_time(text: str) -> int:
    """Wall-clock microseconds from RFC 3339; raises ValueError for other texts."""
    return round(datetime.fromisoformat(text).timestamp() * 1e6)


def ident(name: str) -> int:
    """The numeric identifier of a machine or cell: a hash of its name, so all placers agree without communication."""
    return xxhash.xxh64_intdigest(name.encode()) >> 12


def uid(*parts: object) -> str:
    """A UID in UUID format: a hash of its parts."""
    text = xxhash.xxh128_hexdigest("/".join(str(part) for part in parts).encode())
    return f"{text[:8]}-{text[8:12]}-{text[12:16]}-{text[16:20]}-{text[20:]}"


def decode(raw: bytes | str) -> dict[str, Any]:
    """Decode a JSON object; raises ValueError for anything else."""
    try:
        return _DECODER.decode(raw)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ValueError(str(error)) from None


_DECODER: msgspec.json.Decoder[dict[str, Any]] = msgspec.json.Decoder(dict[str, Any])
encode = msgspec.json.Encoder().encode
