"""The codec: round trips, data split at any position, every kind of malformed message, and a bound on the buffer."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wingbarrow.relay.message import (
    MAX_BODY_BYTES,
    MIN_BODY_BYTES,
    BadMessage,
    Code,
    Framer,
    Kind,
    Message,
    encode,
    with_cause,
)

MESSAGES = st.builds(
    lambda kind, task, values: (int(kind), task, values),
    st.sampled_from(list(Kind)),
    st.integers(0, 2**64 - 1),
    st.dictionaries(st.integers(0, 255), st.binary(max_size=300), max_size=8),
)


def read_all(framer: Framer) -> list[Message]:
    out = []
    while (message := framer.next()) is not None:
        out.append(message)
    return out


@given(st.lists(MESSAGES, max_size=6), st.lists(st.integers(0, 2000), max_size=12))
def test_messages_come_out_as_they_went_in_wherever_they_are_cut(
    wanted: list[tuple[int, int, dict[int, bytes]]], cuts: list[int]
) -> None:
    data = b"".join(encode(*each) for each in wanted)
    framer, got, at = Framer(), [], 0
    for cut in [*sorted(cut for cut in cuts if cut < len(data)), len(data)]:
        framer.feed(data[at:cut])
        got += read_all(framer)
        at = cut
    assert [(each.kind, each.task, dict(each.values)) for each in got] == wanted
    assert framer.buffered == 0


@given(st.binary(max_size=400))
def test_any_bytes_give_messages_or_one_kind_of_error_and_nothing_after_it(data: bytes) -> None:
    framer = Framer()
    framer.feed(data)
    try:
        read_all(framer)
    except BadMessage:
        framer.feed(encode(Kind.TEST, 1, {}))
        with pytest.raises(BadMessage):
            framer.next()
        return
    assert framer.buffered <= max(len(data), MAX_BODY_BYTES + 2)


def head(length: int, kind: int = 1) -> bytes:
    return length.to_bytes(2, "big") + bytes((kind,)) + bytes(8)


@pytest.mark.parametrize(
    "data",
    [
        head(0),
        head(MIN_BODY_BYTES - 1),
        head(MAX_BODY_BYTES + 1),
        head(65535),
        head(20, 99),
        head(MIN_BODY_BYTES + 2) + b"\x03\x00",  # a truncated parameter
        head(MIN_BODY_BYTES + 4) + b"\x03\x00\x05a",  # a parameter longer than its message
        head(MIN_BODY_BYTES + 8) + b"\x03\x00\x01a\x03\x00\x01b",  # a duplicate parameter
    ],
)
def test_a_malformed_message_is_reported_at_once(data: bytes) -> None:
    framer = Framer()
    framer.feed(data)
    with pytest.raises(BadMessage):
        framer.next()
    assert framer.buffered == 0


def test_an_invalid_length_is_reported_before_the_body_arrives() -> None:
    framer = Framer()
    framer.feed(b"\xff\xff")
    with pytest.raises(BadMessage):
        framer.next()


def test_a_message_longer_than_allowed_is_not_written() -> None:
    with pytest.raises(ValueError, match="bytes"):
        encode(Kind.ANSWER, 1, {Code.DESCRIPTION: bytes(MAX_BODY_BYTES)})


def test_a_cause_is_one_byte_and_text_is_text() -> None:
    framer = Framer()
    framer.feed(
        with_cause(Kind.RELEASE, 7, 34, {Code.REMARK: b"nc"})
        + encode(Kind.RELEASE, 7, {Code.CLASS: b"\xff"})
    )
    first, second = read_all(framer)
    assert (first.cause, first.text(Code.REMARK), first.text(Code.LEVEL)) == (34, "nc", None)
    with pytest.raises(BadMessage):
        _ = second.cause
    with pytest.raises(BadMessage):
        second.text(Code.CLASS)
