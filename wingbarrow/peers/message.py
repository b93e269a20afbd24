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
from wingbarrow.decide.coordination import messages as asking
from wingbarrow.decide.membership import messages as words
from wingbarrow.decide.outliers.ejection import EVIDENCE_MOST, VERDICTS_MOST
from wingbarrow.decide.quotas.limits import MAX_LIMITS
from wingbarrow.decide.regions import forwarding as handing
from wingbarrow.decide.sessions import messages as leasing
from wingbarrow.peers.message_bounds import fault

FORM = 1
MAIL_MOST = 1 << 20  # bytes: what a front takes by default
LETTERS_MOST = 64
NAME_MOST, ADDRESS_MOST = 253, 300
WORDS_MOST, ENTRIES_MOST = 64, 64
INCARNATION_MOST = 1 << 62

KINDS: dict[str, type[Any]] = {
    "probe": words.Ping,
    "probe-for": words.PingRequest,
    "ack": words.Ack,
    "nack": words.Nack,
    "sync": words.Sync,
    "vote-ask": consensus.VoteRequest,
    "vote-answer": consensus.VoteResponse,
    "append": consensus.AppendRequest,
    "append-answer": consensus.AppendResponse,
    "install": consensus.InstallSnapshot,
    "ask": asking.LeaseRequest,
    "grant": asking.LeaseGrant,
    "not-leader": asking.NotLeader,
    "keep": leasing.ReplicateRequest,
    "keep-answer": leasing.ReplicateResponse,
    "settle": leasing.ResolveRequest,
    "settled": leasing.ResolveResponse,
    "ask-machine": leasing.MachineQuery,
    "machine-says": leasing.MachineReport,
    "hand": handing.ForwardRequest,
    "hand-stop": handing.ForwardCancel,
    "hand-says": handing.ForwardStatus,
    "ask-for": asking.RelayedRequest,
    "grant-for": asking.RelayedGrant,
}
_NAMES = {kind: name for name, kind in KINDS.items()}


class BadMail(ValueError):
    """Mail that cannot be used; what is wrong in words."""


class _Letter(msgspec.Struct):
    kind: str
    body: msgspec.Raw


class _Mail(msgspec.Struct):
    form: int
    cluster: str
    sender: str
    address: str
    letters: list[_Letter]


@dataclass(frozen=True, slots=True)
class Mail:
    """As read: `strange` counts letters of unknown kinds."""

    sender: str
    address: str
    messages: list[Any]
    strange: int


_encode = msgspec.json.Encoder().encode
_mail: msgspec.json.Decoder[_Mail] = msgspec.json.Decoder(_Mail)
_bodies: dict[str, msgspec.json.Decoder[Any]] = {
    name: msgspec.json.Decoder(kind) for name, kind in KINDS.items()
}


def write_letter(message: Any) -> bytes:
    """One letter; KeyError for a message of no known kind."""
    return _encode(_Letter(_NAMES[type(message)], msgspec.Raw(_encode(message))))


def write_mail(cluster: str, sender: str, address: str, letters: Iterable[bytes]) -> bytes:
    """Letters in one mail."""
    return _encode(
        {
            "form": FORM,
            "cluster": cluster,
            "sender": sender,
            "address": address,
            "letters": [msgspec.Raw(each) for each in letters],
        }
    )


def read_mail(raw: bytes, cluster: str) -> Mail:
    """Mail as it came; BadMail says what is wrong with it, and then nothing of it counts."""
    if len(raw) > MAIL_MOST:
        raise BadMail(f"{len(raw)} bytes; {MAIL_MOST} are the most")
    try:
        mail = _mail.decode(raw)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise BadMail(f"no mail: {str(error)[:120]}") from None
    if mail.form != FORM:
        raise BadMail(f"form {mail.form}; {FORM} is spoken here")
    if mail.cluster != cluster:
        raise BadMail(f"another cluster: {mail.cluster[:80]}")
    if not 0 < len(mail.sender) <= NAME_MOST or not 0 < len(mail.address) <= ADDRESS_MOST:
        raise BadMail("a name or address that is empty or too long")
    if len(mail.letters) > LETTERS_MOST:
        raise BadMail(f"{len(mail.letters)} letters; {LETTERS_MOST} are the most")
    messages, strange = [], 0
    for letter in mail.letters:
        decoder = _bodies.get(letter.kind)
        if decoder is None:
            strange += 1
            continue
        try:
            message = decoder.decode(letter.body)
        except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
            raise BadMail(f"{letter.kind}: {str(error)[:120]}") from None
        _check(message)
        messages.append(message)
    return Mail(mail.sender, mail.address, messages, strange)


def _check(message: Any) -> None:
    if isinstance(message, asking.RelayedRequest | asking.RelayedGrant):
        if not 0 < len(message.ident) <= NAME_MOST:
            raise BadMail("an ask, or a grant, for nobody")
        message = message.ask if isinstance(message, asking.RelayedRequest) else message.grant
    news = getattr(message, "news", ())
    if len(news) > WORDS_MOST:
        raise BadMail(f"{len(news)} words; {WORDS_MOST} are the most")
    for word in news:
        if (
            not 0 < len(word.ident) <= NAME_MOST
            or len(word.by) > NAME_MOST
            or len(word.region) > NAME_MOST
        ):
            raise BadMail("a member's name that is empty or too long")
        if not 0 < len(word.address) <= ADDRESS_MOST:
            raise BadMail("a member's address that is empty or too long")
        if not (0 <= word.incarnation < INCARNATION_MOST and 0 <= word.life < INCARNATION_MOST):
            raise BadMail("an incarnation out of range")
    if isinstance(message, consensus.AppendRequest) and len(message.entries) > ENTRIES_MOST:
        raise BadMail(f"{len(message.entries)} entries; {ENTRIES_MOST} are the most")
    if isinstance(message, asking.LeaseRequest) and (
        len(message.stated) > MAX_LIMITS
        or len({each.key for each in message.stated}) < len(message.stated)
        or message.up_us < 0
    ):
        raise BadMail("more limits than there can be, one twice, or a life of no length")
    if isinstance(message, asking.LeaseRequest) and (
        len(message.evidence) > EVIDENCE_MOST
        or not all(
            0 <= each.failed <= each.tried and 0 < len(each.machine) <= NAME_MOST
            for each in message.evidence
        )
    ):
        raise BadMail("evidence that cannot be")
    if isinstance(message, asking.LeaseGrant) and len(message.closed) > VERDICTS_MOST:
        raise BadMail(f"{len(message.closed)} verdicts; {VERDICTS_MOST} are the most")
    if isinstance(message, words.PingRequest) and not (
        0 < len(message.ident) <= NAME_MOST and 0 < len(message.address) <= ADDRESS_MOST
    ):
        raise BadMail("a probe for nobody")
    why = fault(message)
    if why:
        raise BadMail(why)
