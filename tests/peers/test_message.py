"""Mail: what is written is read; rubbish, other forms and clusters, and what is over a bound are refused in words."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wingbarrow.decide.peers.words import Ack, Nack, Probe, ProbeFor, Standing, Sync, Word
from wingbarrow.peers.message import LETTERS_MOST, MAIL_MOST, BadMail, read_mail, write_letter, write_mail

WORD = Word("placer-1", 7, Standing.SUSPECTED, "127.0.0.1:1", "north", 3, "placer-2")
MESSAGES = [Probe(1, (WORD,)), ProbeFor(2, "a", "127.0.0.1:2"), Ack(3, "a", (WORD, WORD)), Nack(4), Sync(True, (WORD,))]


def mail(**changes: Any) -> bytes:
    value = json.loads(write_mail("main", "placer-1", "127.0.0.1:1", [write_letter(each) for each in MESSAGES]))
    return json.dumps({**value, **changes}).encode()


def test_what_is_written_is_read() -> None:
    read = read_mail(mail(), "main")
    assert (read.sender, read.address, read.messages, read.strange) == ("placer-1", "127.0.0.1:1", MESSAGES, 0)


def test_a_letter_of_an_unknown_kind_is_passed_over_and_the_others_count() -> None:
    letters = json.loads(mail())["letters"]
    read = read_mail(mail(letters=[{"kind": "from-the-future", "body": {"x": [1]}}, *letters]), "main")
    assert read.messages == MESSAGES and read.strange == 1


def word(**changes: Any) -> list[dict[str, Any]]:
    value = json.loads(write_letter(Probe(1, (WORD,))))
    value["body"]["news"][0].update(changes)
    return [value]


@pytest.mark.parametrize("raw, words", [
    (b"", "no mail"), (b"{", "no mail"), (b"\xff\xfe", "no mail"), (b"[" * 100_000, "no mail"),
    (b"x" * (MAIL_MOST + 1), "are the most"), (mail(form=2), "form 2"), (mail(cluster="other"), "another cluster"),
    (mail(sender=""), "empty"), (mail(sender="x" * 254), "too long"), (mail(address=""), "empty"),
    (mail(letters=[{"kind": "ack", "body": {"number": 1, "ident": "a"}}] * (LETTERS_MOST + 1)), "are the most"),
    (mail(letters=[{"kind": "probe", "body": {"number": "one"}}]), "probe:"),
    (mail(letters=word(standing="asleep")), "probe:"), (mail(letters=word(ident="")), "name"),
    (mail(letters=word(incarnation=-1)), "out of range"), (mail(letters=word(life=1 << 62)), "out of range"),
    (mail(letters=word(address="x" * 301)), "address"),
])
def test_what_cannot_be_used_is_refused_in_words(raw: bytes, words: str) -> None:
    with pytest.raises(BadMail, match=words):
        read_mail(raw, "main")


@given(st.binary(max_size=400))
def test_no_bytes_bring_about_anything_but_a_refusal(raw: bytes) -> None:
    with pytest.raises(BadMail):
        read_mail(raw, "main")


@given(st.integers(0, 10_000), st.integers(0, 255))
def test_one_byte_changed_is_read_or_refused(at: int, byte: int) -> None:
    raw = bytearray(mail())
    raw[at % len(raw)] = byte
    try:
        read_mail(bytes(raw), "main")
    except BadMail:
        pass
