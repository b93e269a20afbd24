"""Mail between placers: one form, versioned and bounded; what is in it are the messages of the state machines.

A mail is a JSON object of form, cluster, sender, its address, and letters; a letter has a kind and a body, which is the
kind's dataclass. A letter of an unknown kind is passed over and counted: a later program may know more kinds. A letter
of a known kind that cannot be read spoils the whole mail: its sender is not what it says.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

from wingbarrow.decide.consensus import messages as consensus
from wingbarrow.decide.coordination import messages as coordination_messages
from wingbarrow.decide.membership import messages as membership_messages
from wingbarrow.decide.outliers.ejections import MAX_EJECTIONS_PER_GRANT
from wingbarrow.decide.outliers.health import MAX_REPORTS_PER_REQUEST
from wingbarrow.decide.quotas.limits import MAX_LIMITS
from wingbarrow.decide.regions import forwarding
from wingbarrow.decide.sessions import messages as session_messages
from wingbarrow.peers.message_bounds import fault

FORMAT_VERSION = 1
MAX_ENVELOPE_BYTES = 1 << 20  # bytes: what a front takes by default
MAX_MESSAGES_PER_ENVELOPE = 64
MAX_NAME_CHARS, MAX_ADDRESS_CHARS = 253, 300
MAX_MEMBER_UPDATES, MAX_LOG_ENTRIES = 64, 64
MAX_INCARNATION = 1 << 62

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
    """Mail that cannot be used; what is wrong in membership_messages."""


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
        _check(message)
        messages.append(message)
    return Envelope(mail.sender, mail.address, messages, strange)


def _check(message: Any) -> None:
    if isinstance(
        message, coordination_messages.RelayedRequest | coordination_messages.RelayedGrant
    ):
        if not 0 < len(message.ident) <= MAX_NAME_CHARS:
            raise MessageError("an ask, or a grant, for nobody")
        message = (
            message.ask
            if isinstance(message, coordination_messages.RelayedRequest)
            else message.grant
        )
    news = getattr(message, "news", ())
    if len(news) > MAX_MEMBER_UPDATES:
        raise MessageError(f"{len(news)} words; {MAX_MEMBER_UPDATES} are the most")
    for word in news:
        if (
            not 0 < len(word.ident) <= MAX_NAME_CHARS
            or len(word.by) > MAX_NAME_CHARS
            or len(word.region) > MAX_NAME_CHARS
        ):
            raise MessageError("a member's name that is empty or too long")
        if not 0 < len(word.address) <= MAX_ADDRESS_CHARS:
            raise MessageError("a member's address that is empty or too long")
        if not (0 <= word.incarnation < MAX_INCARNATION and 0 <= word.life < MAX_INCARNATION):
            raise MessageError("an incarnation out of range")
    if isinstance(message, consensus.AppendRequest) and len(message.entries) > MAX_LOG_ENTRIES:
        raise MessageError(f"{len(message.entries)} entries; {MAX_LOG_ENTRIES} are the most")
    if isinstance(message, coordination_messages.LeaseRequest) and (
        len(message.stated) > MAX_LIMITS
        or len({each.key for each in message.stated}) < len(message.stated)
        or message.up_us < 0
    ):
        raise MessageError("more limits than there can be, one twice, or a life of no length")
    if isinstance(message, coordination_messages.LeaseRequest) and (
        len(message.evidence) > MAX_REPORTS_PER_REQUEST
        or not all(
            0 <= each.failed <= each.tried and 0 < len(each.machine) <= MAX_NAME_CHARS
            for each in message.evidence
        )
    ):
        raise MessageError("evidence that cannot be")
    if (
        isinstance(message, coordination_messages.LeaseGrant)
        and len(message.closed) > MAX_EJECTIONS_PER_GRANT
    ):
        raise MessageError(
            f"{len(message.closed)} verdicts; {MAX_EJECTIONS_PER_GRANT} are the most"
        )
    if isinstance(message, membership_messages.PingRequest) and not (
        0 < len(message.ident) <= MAX_NAME_CHARS and 0 < len(message.address) <= MAX_ADDRESS_CHARS
    ):
        raise MessageError("a probe for nobody")
    why = fault(message)
    if why:
        raise MessageError(why)
