"""The HTTP/1.1 parser: independence of how bytes are split, and the errors for invalid messages."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wingbarrow.http.message import END, BadMessage, Data, End, Event, Limits, Request
from wingbarrow.http.parse import Parser
from wingbarrow.http.write import write_chunk, write_request, write_response

HEAD = b"POST /x HTTP/1.1\r\nHost: a\r\n"


def events(parts: list[bytes], requests: bool = True, limits: Limits = Limits()) -> list[object]:
    """All events of some parts, adjacent data joined; a BadMessage as (status, text)."""
    parser = Parser(requests, limits)
    out: list[object] = []
    try:
        for part in [*parts, None]:
            if part is None:
                parser.feed_end()
            else:
                parser.feed(part)
            while (event := parser.next()) is not None:
                if isinstance(event, Data) and out and isinstance(out[-1], bytes):
                    out[-1] += event.data
                else:
                    out.append(event.data if isinstance(event, Data) else event)
    except BadMessage as error:
        out.append((error.status, str(error)))
    return out


def split(data: bytes, rng: random.Random) -> list[bytes]:
    marks = sorted(rng.sample(range(len(data) + 1), min(len(data), rng.randrange(12))))
    return [data[a:b] for a, b in zip([0, *marks], [*marks, len(data)], strict=True)]


PIECES = [
    b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
    HEAD + b"Content-Length: 5\r\n\r\nhello",
    HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n3;a=b\r\nabc\r\n0\r\nX: y\r\n\r\n",
    HEAD + b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\nok",
    b"\r\n\r\nHEAD /h HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
    HEAD + b"Content-Length: 5, 5\r\n\r\nhello",
    HEAD + b"Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
    HEAD + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
    HEAD + b"Transfer-Encoding: chunked\r\n\r\n5x\r\nhello\r\n",
    HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhelloX\r\n",
    HEAD + b"X: a\r\n folded\r\n\r\n",
    HEAD + b"X : a\r\n\r\n",
    HEAD + b"X: a\rb\r\n\r\n",
    b"GET / HTTP/1.1\n\n",
    b"GET /" + b"a" * 9000 + b" HTTP/1.1\r\nHost: a\r\n\r\n",
    HEAD + b"".join(b"X%d: y\r\n" % i for i in range(120)) + b"\r\n",
]


@settings(max_examples=300, deadline=None)
@given(st.lists(st.sampled_from(PIECES), min_size=1, max_size=4), st.randoms(use_true_random=False))
def test_events_do_not_depend_on_how_bytes_are_split(
    pieces: list[bytes], rng: random.Random
) -> None:
    data = b"".join(pieces)
    assert events(split(data, rng)) == events([data])


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=300), st.randoms(use_true_random=False))
def test_arbitrary_bytes_never_crash_the_parser(noise: bytes, rng: random.Random) -> None:
    data = HEAD + noise
    assert events(split(data, rng)) == events([data])
    events([data], requests=False)


@pytest.mark.parametrize(
    ("message", "status"),
    [
        (HEAD + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (HEAD + b"Content-Length: 5\r\nContent-Length: 6\r\n\r\n", 400),
        (HEAD + b"Content-Length: -5\r\n\r\n", 400),
        (HEAD + b"Content-Length: 5_0\r\n\r\n", 400),
        (HEAD + b"Content-Length: \r\n\r\n", 400),
        (HEAD + b"X: a\r\n folded\r\n\r\n", 400),
        (HEAD + b"X : a\r\n\r\n", 400),
        (HEAD + b"X\r\n\r\n", 400),
        (HEAD + b"X: a\rb\r\n\r\n", 400),
        (HEAD + b"X: a\x00b\r\n\r\n", 400),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n-1\r\n", 400),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"1" * 16 + b"\r\n", 400),
        (HEAD + b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n", 501),
        (b"GET / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (HEAD + b"Host: b\r\n\r\n", 400),
        (b"GET / HTTP/2.0\r\nHost: a\r\n\r\n", 505),
        (b"GET  / HTTP/1.1\r\nHost: a\r\n\r\n", 400),
        (b"G\xc3T / HTTP/1.1\r\nHost: a\r\n\r\n", 400),
        (HEAD + b"Expect: something\r\n\r\n", 417),
        (b"GET /" + b"a" * 9000, 414),
        (HEAD + b"X: " + b"a" * 40000, 431),
        (HEAD + b"".join(b"X%d: y\r\n" % i for i in range(120)) + b"\r\n", 431),
        (HEAD + b"Content-Length: 9999999\r\n\r\n", 413),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\nfffff0\r\n", 413),
    ],
)
def test_protocol_violations_raise_bad_message_with_their_status(
    message: bytes, status: int
) -> None:
    last = events([message])[-1]
    assert isinstance(last, tuple)
    assert last[0] == status
    parser = Parser(True)
    parser.feed(message)
    for _ in range(2):
        with pytest.raises(BadMessage):
            while parser.next() is not None:
                pass


def test_responses_are_framed_by_their_own_rules() -> None:
    answer = write_response(200, [("A", "b")], b"body", True)
    assert events([answer], False)[1:] == [b"body", END]
    assert events([b"HTTP/1.1 204 No Content\r\n\r\n"], False)[1:] == [END]
    assert events([b"HTTP/1.1 200 OK\r\n\r\nuntil the end"], False)[1:] == [b"until the end", END]
    chunked = write_response(200, [], None, True) + write_chunk(b"abc") + b"0\r\n\r\n"
    assert events([chunked], False)[1:] == [b"abc", END]
    assert events([chunked[:-3]], False)[-1] == (400, "the stream ended inside a message")
    parser = Parser(False)
    parser.no_body = True
    parser.feed(answer[:-4])
    assert parser.next() is not None
    assert isinstance(parser.next(), End)


@settings(max_examples=100, deadline=None)
@given(
    st.binary(max_size=200),
    st.lists(
        st.tuples(st.from_regex(r"\AX-[A-Za-z]{1,8}\Z"), st.from_regex(r"\A[!-~]{0,20}\Z")),
        max_size=5,
    ),
)
def test_written_requests_parse_back(body: bytes, fields: list[tuple[str, str]]) -> None:
    read: list[Event | object] = events([write_request("PUT", "/a?b=c", "h", fields, body)])
    head = read[0]
    assert isinstance(head, Request)
    assert (head.method, head.target) == ("PUT", "/a?b=c")
    assert [value for name, value in head.fields if name.startswith("x-")] == [
        value for _, value in fields
    ]
    assert (read[1] if body else b"") == body
