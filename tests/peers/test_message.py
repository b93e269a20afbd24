"""Envelopes: encoding and decoding; invalid bytes, other formats or clusters and exceeded bounds raise MessageError."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wingbarrow.decide.coordination.messages import LeaseGrant, LeaseRequest
from wingbarrow.decide.maintenance.messages import MaintenanceReport, MaintenanceResponse
from wingbarrow.decide.maintenance.slots import MAX_LIVE_SLOTS
from wingbarrow.decide.membership.messages import (
    Ack,
    MemberStatus,
    MemberUpdate,
    Nack,
    Ping,
    PingRequest,
    Sync,
)
from wingbarrow.decide.sessions.leased_job_record import (
    MAX_RECORD_BYTES,
    KnownTask,
    LeasedJobRecord,
)
from wingbarrow.decide.sessions.messages import (
    MAX_ENDED_PER_RESPONSE,
    MAX_HELD_SESSIONS,
    HeldRecords,
    MachineQuery,
    MachineReport,
    ReplicateRequest,
    ReplicateResponse,
    ResolveRequest,
    ResolveResponse,
    SessionsReport,
    SessionsResponse,
)
from wingbarrow.decide.sessions.session import EndedSession, Session
from wingbarrow.peers.message import (
    MAX_ENVELOPE_BYTES,
    MAX_MESSAGES_PER_ENVELOPE,
    MessageError,
    decode_envelope,
    encode_envelope,
    encode_message,
)
from wingbarrow.peers.message_bounds import MAX_RECORDS, MAX_UIDS

UPDATE = MemberUpdate("placer-1", 7, MemberStatus.SUSPECT, "127.0.0.1:1", "north", 3, "placer-2")
GOSSIP_MESSAGES = [
    Ping(1, (UPDATE,)),
    PingRequest(2, "a", "127.0.0.1:2"),
    Ack(3, "a", (UPDATE, UPDATE)),
    Nack(4),
    Sync(True, (UPDATE,)),
]


def envelope(**changes: Any) -> bytes:
    value = json.loads(
        encode_envelope(
            "main", "placer-1", "127.0.0.1:1", [encode_message(each) for each in GOSSIP_MESSAGES]
        )
    )
    return json.dumps({**value, **changes}).encode()


def test_an_envelope_survives_encoding_and_decoding() -> None:
    decoded = decode_envelope(envelope(), "main")
    assert (decoded.sender, decoded.address, decoded.messages, decoded.unknown_kinds) == (
        "placer-1",
        "127.0.0.1:1",
        GOSSIP_MESSAGES,
        0,
    )


def test_a_message_of_an_unknown_kind_is_skipped() -> None:
    letters = json.loads(envelope())["letters"]
    decoded = decode_envelope(
        envelope(letters=[{"kind": "from-the-future", "body": {"x": [1]}}, *letters]), "main"
    )
    assert decoded.messages == GOSSIP_MESSAGES
    assert decoded.unknown_kinds == 1


def update_with(**changes: Any) -> list[dict[str, Any]]:
    value = json.loads(encode_message(Ping(1, (UPDATE,))))
    value["body"]["news"][0].update(changes)
    return [value]


@pytest.mark.parametrize(
    ("raw", "reason"),
    [
        (b"", "no mail"),
        (b"{", "no mail"),
        (b"\xff\xfe", "no mail"),
        (b"[" * 100_000, "no mail"),
        (b"x" * (MAX_ENVELOPE_BYTES + 1), "are the most"),
        (envelope(form=2), "form 2"),
        (envelope(cluster="other"), "another cluster"),
        (envelope(sender=""), "empty"),
        (envelope(sender="x" * 254), "too long"),
        (envelope(address=""), "empty"),
        (
            envelope(
                letters=[{"kind": "ack", "body": {"number": 1, "ident": "a"}}]
                * (MAX_MESSAGES_PER_ENVELOPE + 1)
            ),
            "are the most",
        ),
        (envelope(letters=[{"kind": "probe", "body": {"number": "one"}}]), "probe:"),
        (envelope(letters=update_with(standing="asleep")), "probe:"),
        (envelope(letters=update_with(ident="")), "name"),
        (envelope(letters=update_with(incarnation=-1)), "out of range"),
        (envelope(letters=update_with(life=1 << 62)), "out of range"),
        (envelope(letters=update_with(address="x" * 301)), "address"),
    ],
)
def test_an_invalid_envelope_is_rejected_with_a_reason(raw: bytes, reason: str) -> None:
    with pytest.raises(MessageError, match=reason):
        decode_envelope(raw, "main")


@given(st.binary(max_size=400))
def test_arbitrary_bytes_raise_only_message_error(raw: bytes) -> None:
    with pytest.raises(MessageError):
        decode_envelope(raw, "main")


@given(st.integers(0, 10_000), st.integers(0, 255))
def test_an_envelope_with_one_changed_byte_is_decoded_or_rejected(at: int, byte: int) -> None:
    raw = bytearray(envelope())
    raw[at % len(raw)] = byte
    try:
        decode_envelope(bytes(raw), "main")
    except MessageError:
        pass


# -- leases

SESSION = Session("p", 1, 2)
RECORD = LeasedJobRecord(
    1,
    "u",
    "default/j",
    SESSION,
    0,
    1,
    "north",
    "shop",
    "unsafe",
    "none",
    0,
    5,
    3,
    1.0,
    2.0,
    1,
    "{}",
    ("k",),
    "",
    0,
    (KnownTask(0, "about", "m", "pod", 3),),
)
ENDED = EndedSession(1, SESSION, "north", (("k", "l"), ("m",)), ("k",), 3)
LEASE_MESSAGES = [
    LeaseRequest(
        1,
        0,
        0,
        sessions=SessionsReport("north", 1, 2, (HeldRecords(SESSION, 3, 4),), 5, True),
        turns=MaintenanceReport((1,), (2,), (3,)),
    ),
    LeaseGrant(
        1,
        0,
        "",
        1,
        0,
        0,
        "",
        0,
        sessions=SessionsResponse(True, 1, 10, 3, (ENDED,), 9),
        turns=MaintenanceResponse(1, ((1, "m", "out", ""),)),
    ),
    ReplicateRequest(1, SESSION, (RECORD,), ("u",)),
    ReplicateResponse(1, SESSION, False, "full", True),
    ResolveRequest(1, SESSION, ("u",)),
    ResolveResponse(1, SESSION, (("u", 3, "run"),)),
    MachineQuery(1, "m", "u", 3),
    MachineReport(1, "m", "u", True, False, 9),
]


def envelope_of(*messages: Any) -> bytes:
    return encode_envelope("main", "p", "127.0.0.1:1", [encode_message(each) for each in messages])


def test_lease_messages_survive_encoding_and_decoding() -> None:
    assert decode_envelope(envelope_of(*LEASE_MESSAGES), "main").messages == LEASE_MESSAGES


@pytest.mark.parametrize(
    "message",
    [
        LeaseRequest(1, 0, 0, sessions=SessionsReport("x" * 254, 1, 2)),
        LeaseRequest(1, 0, 0, sessions=SessionsReport("r", -1, 2)),
        LeaseRequest(
            1, 0, 0, sessions=SessionsReport("r", 1, 2, (HeldRecords(SESSION, 1, 1),) * 2)
        ),
        LeaseRequest(
            1,
            0,
            0,
            sessions=SessionsReport(
                "r",
                1,
                2,
                tuple(HeldRecords(Session("p", n, 1), 1, 1) for n in range(MAX_HELD_SESSIONS + 1)),
            ),
        ),
        LeaseRequest(
            1,
            0,
            0,
            sessions=SessionsReport("r", 1, 2, (HeldRecords(replace(SESSION, placer=""), 1, 1),)),
        ),
        LeaseRequest(1, 0, 0, turns=MaintenanceReport(tuple(range(MAX_LIVE_SLOTS + 1)))),
        LeaseGrant(1, 0, "", 1, 0, 0, "", 0, sessions=SessionsResponse(True, 1, 0, 3)),
        LeaseGrant(
            1,
            0,
            "",
            1,
            0,
            0,
            "",
            0,
            sessions=SessionsResponse(True, 1, 10, 3, (ENDED,) * (MAX_ENDED_PER_RESPONSE + 1)),
        ),
        LeaseGrant(
            1,
            0,
            "",
            1,
            0,
            0,
            "",
            0,
            sessions=SessionsResponse(True, 1, 10, 3, (replace(ENDED, epoch=-1),)),
        ),
        LeaseGrant(
            1,
            0,
            "",
            1,
            0,
            0,
            "",
            0,
            sessions=SessionsResponse(True, 1, 10, 3, (replace(ENDED, batches=(("k",) * 65,)),)),
        ),
        LeaseGrant(1, 0, "", 1, 0, 0, "", 0, turns=MaintenanceResponse(1, ((-1, "m", "out", ""),))),
        ReplicateRequest(1, SESSION, (RECORD,) * (MAX_RECORDS + 1)),
        ReplicateRequest(1, SESSION, (), ("u",) * (MAX_UIDS + 1)),
        ReplicateRequest(-1, SESSION),
        *(
            ReplicateRequest(1, SESSION, (replace(RECORD, **change),))
            for change in (
                {"manifest": "x" * (MAX_RECORD_BYTES + 1)},
                {"manifest": "ä" * (MAX_RECORD_BYTES // 2 + 1)},
                {"uid": ""},
                {"effect": "x"},
                {"version": -1},
                {"keepers": ("a", "b", "c")},
                {"cores": -1.0},
                {"tasks": (KnownTask(0, "gone"),)},
                {"tasks": (KnownTask(-1, "about"),)},
            )
        ),
        ReplicateResponse(1, SESSION, False, "x" * 501),
        ResolveRequest(1, SESSION, ("",)),
        ResolveResponse(1, SESSION, (("u", -3, "run"),)),
        MachineQuery(1, "m" * 254, "u", 3),
        MachineReport(1, "m", "u", True, False, -9),
    ],
    ids=lambda each: type(each).__name__,
)
def test_lease_messages_over_a_bound_are_rejected(message: Any) -> None:
    with pytest.raises(MessageError):
        decode_envelope(envelope_of(message), "main")
