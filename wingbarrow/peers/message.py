"""Messages between placers on the wire: one versioned, bounded envelope of typed messages.

An envelope is a JSON object of form, cluster, sender, its address, and messages (`letters` on the wire). A message has a
kind and a body, which is the kind's dataclass. A message of an unknown kind is skipped and counted, since a later
version may know more kinds. A message of a known kind that cannot be decoded or is over a bound rejects the whole
envelope: its sender is not what it claims to be.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

from wingbarrow.decide.consensus import messages as consensus
from wingbarrow.decide.coordination import messages as coordination_messages
from wingbarrow.decide.membership import messages as membership_messages
from wingbarrow.decide.regions import forwarding
from wingbarrow.decide.sessions import messages as session_messages
from wingbarrow.peers.message_bounds import (
    MAX_ADDRESS_CHARS,
    MAX_NAME_CHARS,
    check_message,
)

FORMAT_VERSION = 1
MAX_ENVELOPE_BYTES = 1 << 20  # bytes: what a front takes by default
MAX_MESSAGES_PER_ENVELOPE = 64

MESSAGE_TYPES: dict[str, type[Any]] = {
    "probe": membership_messages.Ping,
    "probe-for": membership_messages.PingRequest,
    "ack": membership_messages.Ack,
    "nack": membership_messages.Nack,
    "sync": membership_messages.Sync,
    "vote-ask": consensus.VoteRequest,
    "vote-answer": consensus.VoteResponse,
    "append": consensus.AppendRequest,
    "append-answer": consensus.AppendResponse,
    "install": consensus.InstallSnapshot,
    "ask": coordination_messages.LeaseRequest,
    "grant": coordination_messages.LeaseGrant,
    "not-leader": coordination_messages.NotLeader,
    "keep": session_messages.ReplicateRequest,
    "keep-answer": session_messages.ReplicateResponse,
    "settle": session_messages.ResolveRequest,
    "settled": session_messages.ResolveResponse,
    "ask-machine": session_messages.MachineQuery,
    "machine-says": session_messages.MachineReport,
    "hand": forwarding.ForwardRequest,
    "hand-stop": forwarding.ForwardCancel,
    "hand-says": forwarding.ForwardStatus,
    "ask-for": coordination_messages.RelayedRequest,
    "grant-for": coordination_messages.RelayedGrant,
}
_NAMES = {kind: name for name, kind in MESSAGE_TYPES.items()}


class MessageError(ValueError):
    """An envelope that cannot be used; its text says why, and goes back to the sender."""


class _WireMessage(msgspec.Struct):
    kind: str
    body: msgspec.Raw


class _WireEnvelope(msgspec.Struct):
    form: int
    cluster: str
    sender: str
    address: str
    letters: list[_WireMessage]


@dataclass(frozen=True, slots=True)
class Envelope:
    """As read: `strange` counts letters of unknown kinds."""

    sender: str
    address: str
    messages: list[Any]
    unknown_kinds: int


_encode = msgspec.json.Encoder().encode
_mail: msgspec.json.Decoder[_WireEnvelope] = msgspec.json.Decoder(_WireEnvelope)
_bodies: dict[str, msgspec.json.Decoder[Any]] = {
    name: msgspec.json.Decoder(kind) for name, kind in MESSAGE_TYPES.items()
}


def encode_message(message: Any) -> bytes:
    """One letter; KeyError for a message of no known kind."""
    return _encode(_WireMessage(_NAMES[type(message)], msgspec.Raw(_encode(message))))


def encode_envelope(cluster: str, sender: str, address: str, letters: Iterable[bytes]) -> bytes:
    """Letters in one mail."""
    return _encode(
        {
            "form": FORMAT_VERSION,
            "cluster": cluster,
            "sender": sender,
            "address": address,
            "letters": [msgspec.Raw(each) for each in letters],
        }
    )


def decode_envelope(raw: bytes, cluster: str) -> Envelope:
    """Mail as it came; MessageError says what is wrong with it, and then nothing of it counts."""
    if len(raw) > MAX_ENVELOPE_BYTES:
        raise MessageError(f"{len(raw)} bytes; {MAX_ENVELOPE_BYTES} are the most")
    try:
        mail = _mail.decode(raw)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise MessageError(f"no mail: {str(error)[:120]}") from None
    if mail.form != FORMAT_VERSION:
        raise MessageError(f"form {mail.form}; {FORMAT_VERSION} is spoken here")
    if mail.cluster != cluster:
        raise MessageError(f"another cluster: {mail.cluster[:80]}")
    if not 0 < len(mail.sender) <= MAX_NAME_CHARS or not 0 < len(mail.address) <= MAX_ADDRESS_CHARS:
        raise MessageError("a name or address that is empty or too long")
    if len(mail.letters) > MAX_MESSAGES_PER_ENVELOPE:
        raise MessageError(f"{len(mail.letters)} letters; {MAX_MESSAGES_PER_ENVELOPE} are the most")
    messages, strange = [], 0
    for letter in mail.letters:
        decoder = _bodies.get(letter.kind)
        if decoder is None:
            strange += 1
            continue
        try:
            message = decoder.decode(letter.body)
        except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
            raise MessageError(f"{letter.kind}: {str(error)[:120]}") from None
        why = check_message(message)
        if why:
            raise MessageError(why)
        messages.append(message)
    return Envelope(mail.sender, mail.address, messages, strange)
