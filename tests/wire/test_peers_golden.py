"""What placers say to each other, byte for byte: `tests/data/wire` against the program, both ways.

The files were written by the program of commit ff53260 and never change; `tests.wire.samples` has the values.
"""

from __future__ import annotations

import json
from collections import defaultdict
from typing import Any

import pytest

from tests.stored import scenario
from tests.wire import samples

WIRE = samples.DATA / "wire"
PEERS = WIRE / "peers"
OTHER_PAGES = {"knowledge-page", "knowledge-change", "instance", "instance-least"}


@pytest.mark.parametrize("kind", samples.LETTERS)
def test_a_letter_is_written_as_its_file_has_it(kind: str) -> None:
    raw = (PEERS / f"{kind}.json").read_bytes()
    assert samples.write_mail(samples.LETTERS[kind]) == raw
    assert {each["kind"] for each in json.loads(raw)["letters"]} == {kind}


@pytest.mark.parametrize("kind", samples.LETTERS)
def test_a_letter_is_read_as_its_value(kind: str) -> None:
    read = samples.read_mail((PEERS / f"{kind}.json").read_bytes())
    assert read == samples.LETTERS[kind]
    assert {type(each) for each in read} == {samples.letter_kinds()[kind]}


@pytest.mark.parametrize("kind", samples.LETTERS)
def test_what_is_left_out_of_a_letter_has_its_default(kind: str) -> None:
    letter = samples.LETTERS[kind][-1]
    assert samples.read_mail(samples.without_defaults(letter)) == (letter,)


def test_each_kind_of_letter_has_a_sample_and_a_file() -> None:
    kinds = samples.letter_kinds()
    assert set(samples.LETTERS) == set(kinds)
    assert {each.stem for each in PEERS.iterdir()} == set(kinds) | OTHER_PAGES
    assert set(kinds.values()) >= samples.message_types()


def test_each_field_of_a_letter_is_told_with_and_without_a_value() -> None:
    seen: dict[tuple[type[Any], str], list[Any]] = defaultdict(list)
    for value in samples.values_in([*samples.LETTERS.values()]):
        for field in samples.fields_of(type(value)):
            seen[type(value), field.name].append(getattr(value, field.name))
    types: set[Any] = set()
    for kind in samples.letter_kinds().values():
        samples.types_in(kind, types)
    assert {kind for kind, _ in seen} == types
    for kind in types:
        for field in samples.fields_of(kind):
            values = seen[kind, field.name]
            assert len(set(map(repr, values))) > 1, (kind, field.name)
            if field.optional:
                assert field.default in values, (kind, field.name)
                assert any(each != field.default for each in values), (kind, field.name)


# -- entries of the log


def decided() -> dict[str, str]:
    """The first body of each kind that a voter's life comes to."""
    out: dict[str, str] = {}
    for entry in scenario.entries(scenario.run_history()[0]):
        out.setdefault(entry.kind, entry.body)
    return out


def test_a_leader_writes_each_kind_of_entry_as_its_file_has_it() -> None:
    files = {each.stem: each.read_text() for each in (WIRE / "entries").iterdir()}
    assert {kind.replace("/", ".") or "empty": body for kind, body in decided().items()} == files


def test_each_kind_of_entry_in_the_program_is_decided_in_the_samples() -> None:
    named = {
        f"{chapter}/{kind}" if chapter else kind
        for chapter, kinds in samples.ENTRY_KINDS.items()
        for kind in kinds
    }
    assert set(decided()) == named - samples.OF_CHAPTERS_THEMSELVES
    of_states = {kind for kinds in samples.ENTRY_KINDS.values() for kind in kinds} - {"", "voters"}
    assert samples.kinds_in_code() == of_states


# -- rules and snapshots


@pytest.mark.parametrize("name", samples.RULE_SETS)
def test_a_rule_set_has_the_text_and_digest_of_its_file(name: str) -> None:
    rules = samples.RULE_SETS[name]
    text = (WIRE / "rules" / f"{name}.json").read_text()
    assert samples.rules_text(rules) == text
    assert samples.rules_digest(rules) == (WIRE / "rules" / f"{name}.digest").read_text()
    assert samples.read_rules(text) == rules


@pytest.mark.parametrize("name", ["agreed", "sessions", "blocks", "turns"])
def test_a_snapshot_is_written_and_read_as_its_file_has_it(name: str) -> None:
    text = (WIRE / "snapshots" / f"{name}.json").read_text()
    assert samples.snapshots()[name] == text
    read, value, again = samples.restored(name, text)
    assert read == value
    assert again == text


# -- what instances tell at a start


def test_a_page_of_knowledge_is_written_and_read_as_its_file_has_it() -> None:
    raw = (PEERS / "knowledge-page.json").read_bytes()
    assert samples.write_page() == raw
    assert samples.read_page(raw) == samples.PAGE


def test_a_change_of_knowledge_is_written_and_read_as_its_file_has_it() -> None:
    raw = (PEERS / "knowledge-change.json").read_bytes()
    assert samples.write_change() == raw
    assert samples.read_page(raw) == samples.CHANGE


@pytest.mark.parametrize("name", samples.INSTANCES)
def test_an_instance_announces_itself_as_its_file_has_it(name: str) -> None:
    raw, value = (PEERS / name).read_bytes(), samples.INSTANCES[name]
    assert samples.write_announced(value) == raw
    assert samples.read_announced(raw) == value
