"""The store: versions, the window of changes, pages of one version, selectors."""

from __future__ import annotations

import random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wingbarrow.kube import selectors
from wingbarrow.kube.names import decode
from wingbarrow.kube.status import ApiError
from wingbarrow.kube.store import Store, matcher, parse_version, watch_lines

ANY = matcher(None, None)


def thing(name: str, **labels: str) -> dict[str, Any]:
    return {"metadata": {"name": name, "namespace": "d", "labels": labels}}


def test_versions_grow_and_a_position_gives_later_changes() -> None:
    store = Store(100, 10)
    things = store.collection("things")
    first = things.put("d/a", thing("a"))
    things.put("d/b", thing("b"))
    things.delete("d/a")
    assert [change.version for change in things.changes(things.position(first.version), 9)] == [
        102,
        103,
    ]
    assert things.position(103) == things.end
    lines = [decode(line) for line in watch_lines(things.changes(things.first, 9), "d/", ANY)]
    assert [(line["type"], line["object"]["metadata"]["name"]) for line in lines] == [
        ("ADDED", "a"),
        ("ADDED", "b"),
        ("DELETED", "a"),
    ]
    assert lines[-1]["object"]["metadata"]["resourceVersion"] == "103"


def test_versions_past_the_window_are_410() -> None:
    store = Store(100, 4)
    things = store.collection("things")
    for turn in range(10):
        things.put("d/a", thing("a", turn=str(turn)))
    assert things.position(106) == things.first
    for version in (100, 105):
        with pytest.raises(ApiError) as caught:
            things.position(version)
        assert caught.value.code == 410
    with pytest.raises(ApiError):
        things.changes(things.first - 1, 1)


def test_an_object_that_stops_matching_is_deleted_for_that_watch() -> None:
    store = Store(0, 10)
    things = store.collection("things")
    things.put("d/a", thing("a", colour="red"))
    things.put("d/a", thing("a", colour="blue"))
    things.put("d/a", thing("a", colour="red"))
    red = matcher(selectors.labels("colour=red"), None)
    kinds = [decode(line)["type"] for line in watch_lines(things.changes(0, 9), "", red)]
    assert kinds == ["ADDED", "DELETED", "ADDED"]


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 1 << 30), st.integers(1, 7))
def test_pages_show_one_version_despite_changes_in_between(seed: int, limit: int) -> None:
    rng = random.Random(seed)
    store = Store(0, 1000)
    things = store.collection("things")
    for name in "abcdefghijkl":
        things.put(f"d/{name}", thing(name, v="0"))
    expected = {key: stored.raw for key, stored in things.objects.items()}
    seen: dict[str, bytes] = {}
    token: str | None = None
    while True:
        page = things.page("d/", ANY, limit, token, None)
        seen |= {stored.key: stored.raw for stored in page.items}
        assert page.version == 12
        assert page.remaining == 12 - len(seen)
        token = page.more
        if token is None:
            break
        for _ in range(3):
            name = rng.choice("abcdefghijklmnop")
            if rng.random() < 0.3:
                things.delete(f"d/{name}")
            else:
                things.put(f"d/{name}", thing(name, v=str(rng.random())[:8]))
    assert seen == expected


def test_a_page_of_a_version_past_the_window_is_410_and_a_bad_token_400() -> None:
    store = Store(0, 3)
    things = store.collection("things")
    for name in "abcd":
        things.put(f"d/{name}", thing(name))
    token = things.page("", ANY, 2, None, None).more
    for turn in range(6):
        things.put("d/z", thing("z", v=str(turn)))
    for bad, code in ((token, 410), ("nonsense", 400), ("AAAA", 400)):
        with pytest.raises(ApiError) as caught:
            things.page("", ANY, 2, bad, None)
        assert caught.value.code == code


@pytest.mark.parametrize(
    ("text", "held", "wanted"),
    [
        ("a=b", {"a": "b"}, True),
        ("a==b", {"a": "c"}, False),
        ("a!=b", {}, True),
        ("a!=b", {"a": "b"}, False),
        ("a in (b, c)", {"a": "c"}, True),
        ("a notin (b,c)", {"a": "c"}, False),
        ("a notin (b)", {}, True),
        ("a", {"a": ""}, True),
        ("!a", {"a": "x"}, False),
        ("!a", {}, True),
        ("x/y=z,!q", {"x/y": "z"}, True),
        ("a in (b),c!=d", {"a": "b", "c": "d"}, False),
        ("a=", {"a": ""}, True),
    ],
)
def test_label_selectors(text: str, held: dict[str, str], wanted: bool) -> None:
    test = selectors.labels(text)
    assert test is not None
    assert test(held) is wanted


@pytest.mark.parametrize(
    "text", ["a=b=c", "=b", "a in b", "a in (b", "!a=b", "a=b c", "a,,b", "-a=b", "a=" + "x" * 99]
)
def test_bad_label_selectors_are_400(text: str) -> None:
    with pytest.raises(ApiError) as caught:
        selectors.labels(text)
    assert caught.value.code == 400


def test_field_selectors() -> None:
    known = frozenset(("metadata.name", "reason"))
    test = selectors.fields("metadata.name=a,reason!=b", known)
    assert test is not None
    assert test({"metadata.name": "a", "reason": "c"})
    assert not test({"metadata.name": "a", "reason": "b"})
    for bad in ("status.phase=x", "metadata.name", "metadata.name=a=b"):
        with pytest.raises(ApiError):
            selectors.fields(bad, known)


@pytest.mark.parametrize("text", ["-1", "1.5", "x", "9" * 30, "１"])
def test_bad_versions_are_400(text: str) -> None:
    with pytest.raises(ApiError):
        parse_version(text)
