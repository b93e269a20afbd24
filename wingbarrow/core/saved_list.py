"""The last good list of machines on disk, for a restart: written whole beside the old one, then renamed."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import msgspec
import xxhash

_MOST = 256 << 20


class _File(msgspec.Struct):
    form: int
    digest: str
    nodes: msgspec.Raw


def save(folder: Path, nodes: list[dict[str, Any]]) -> None:
    """Write the Node objects; OSError where the disk does not take them."""
    raw = msgspec.json.encode(nodes)
    write_whole(
        folder / "machines.json",
        msgspec.json.encode(_File(1, xxhash.xxh64_hexdigest(raw), msgspec.Raw(raw))),
    )


def stamp_alive(folder: Path, wall_us: int) -> None:
    """Leave word that this life works at this time; no sync: a lost stamp only makes a later life more careful."""
    folder.mkdir(parents=True, exist_ok=True)
    temporary = folder / f"alive.{os.getpid()}"
    temporary.write_text(f"{wall_us}\n", encoding="ascii")
    os.replace(temporary, folder / "alive")


def last_alive(folder: Path) -> int | None:
    """When a former life last worked (microseconds since 1970); None where that is not known."""
    try:
        text = (folder / "alive").read_text(encoding="ascii")[:40].strip()
    except (OSError, ValueError):
        return None
    return int(text) if text.isascii() and text.isdigit() else None


def write_whole(path: Path, data: bytes) -> None:
    """Replace a file so that a crash leaves the old one or the new one whole; OSError where it cannot be."""
    path.parent.mkdir(parents=True, exist_ok=True)
    temporary = path.with_name(f"{path.name}.{os.getpid()}")
    with open(temporary, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)


def load(folder: Path) -> list[dict[str, Any]]:
    """The Node objects last saved; an empty list without a file; ValueError for one that cannot be used."""
    path = folder / "machines.json"
    try:
        if path.stat().st_size > _MOST:
            raise ValueError(f"{path}: more than {_MOST} bytes")
        data = path.read_bytes()
    except FileNotFoundError:
        return []
    except OSError as error:
        raise ValueError(f"{path}: {error.strerror}") from None
    try:
        file: _File = msgspec.json.decode(data, type=_File)
        if file.form != 1 or xxhash.xxh64_hexdigest(bytes(file.nodes)) != file.digest:
            raise ValueError("its digest or form is wrong")
        nodes: list[dict[str, Any]] = msgspec.json.decode(file.nodes, type=list[dict[str, Any]])
        return nodes
    except (msgspec.MsgspecError, ValueError) as error:
        raise ValueError(f"{path}: {error}") from None
