"""Messages between placers on the wire: one versioned, bounded envelope of typed messages.

An envelope is a JSON object of form, cluster, sender, its address, and messages (`letters` on the wire). A message has a
kind and a body, which is the kind's dataclass. A message of an unknown kind is skipped and counted, since a later
version may know more kinds. A message of a known kind that cannot be decoded or exceeds a bound rejects the whole
envelope: its sender does not speak this protocol.
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
MAX_ENVELOPE_BYTES = 1 << 20  # default limit of a front for a request body
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
_KINDS = {kind: name for name, kind in MESSAGE_TYPES.items()}


class MessageError(ValueError):
    """An invalid envelope; the text with the reason is returned to the sender."""


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
    """A decoded envelope; `unknown_kinds` counts the messages that were skipped."""

    sender: str
    address: str
    messages: list[Any]
    unknown_kinds: int


_encode = msgspec.json.Encoder().encode
_envelope_decoder: msgspec.json.Decoder[_WireEnvelope] = msgspec.json.Decoder(_WireEnvelope)
_body_decoders: dict[str, msgspec.json.Decoder[Any]] = {
    name: msgspec.json.Decoder(kind) for name, kind in MESSAGE_TYPES.items()
}


def encode_message(message: Any) -> bytes:
    """Encode one message; raises KeyError for a type that `MESSAGE_TYPES` lacks."""
    return _encode(_WireMessage(_KINDS[type(message)], msgspec.Raw(_encode(message))))


def encode_envelope(cluster: str, sender: str, address: str, messages: Iterable[bytes]) -> bytes:
    """Put encoded messages into one envelope."""
    return _encode(
        {
            "form": FORMAT_VERSION,
            "cluster": cluster,
            "sender": sender,
            "address": address,
            "letters": [msgspec.Raw(each) for each in messages],
        }
    )


def decode_envelope(raw: bytes, cluster: str) -> Envelope:
    """Decode an envelope; raises MessageError with the reason if any part of it is invalid."""
    if len(raw) > MAX_ENVELOPE_BYTES:
        raise MessageError(f"{len(raw)} bytes; {MAX_ENVELOPE_BYTES} are the most")
    try:
        envelope = _envelope_decoder.decode(raw)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise MessageError(f"no mail: {str(error)[:120]}") from None
    if envelope.form != FORMAT_VERSION:
        raise MessageError(f"form {envelope.form}; {FORMAT_VERSION} is spoken here")
    if envelope.cluster != cluster:
        raise MessageError(f"another cluster: {envelope.cluster[:80]}")
    if (
        not 0 < len(envelope.sender) <= MAX_NAME_CHARS
        or not 0 < len(envelope.address) <= MAX_ADDRESS_CHARS
    ):
        raise MessageError("a name or address that is empty or too long")
    if len(envelope.letters) > MAX_MESSAGES_PER_ENVELOPE:
        raise MessageError(
            f"{len(envelope.letters)} letters; {MAX_MESSAGES_PER_ENVELOPE} are the most"
        )
    messages, unknown_kinds = [], 0
    for wire_message in envelope.letters:
        decoder = _body_decoders.get(wire_message.kind)
        if decoder is None:
            unknown_kinds += 1
            continue
        try:
            message = decoder.decode(wire_message.body)
        except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
            raise MessageError(f"{wire_message.kind}: {str(error)[:120]}") from None
        problem = check_message(message)
        if problem:
            raise MessageError(problem)
        messages.append(message)
    return Envelope(envelope.sender, envelope.address, messages, unknown_kinds)
