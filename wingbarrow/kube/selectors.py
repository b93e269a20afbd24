"""Label and field selectors (Kubernetes documentation, "Labels and Selectors", "Field Selectors")."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping

from wingbarrow.kube.status import ApiError

Predicate = Callable[[Mapping[str, str]], bool]
_SET_REQUIREMENT = re.compile(r"\s*([^\s,!=()]+)\s+(in|notin)\s*\(([^()]*)\)\s*(?:,|$)")
# Equality, inequality or presence of one key.
_SIMPLE_REQUIREMENT = re.compile(
    r"\s*(!?)\s*([^\s,!=()]+)\s*(?:(==|=|!=)\s*([^\s,!=()]*))?\s*(?:,|$)"
)
_LABEL_KEY = re.compile(
    r"(?:[a-z0-9](?:[-a-z0-9.]{0,251}[a-z0-9])?/)?[A-Za-z0-9](?:[-A-Za-z0-9_.]{0,61}[A-Za-z0-9])?"
)
_LABEL_VALUE = re.compile(r"(?:[A-Za-z0-9](?:[-A-Za-z0-9_.]{0,61}[A-Za-z0-9])?)?")
_MAX_REQUIREMENTS = 64  # requirements in one selector


def is_label_key(text: str) -> bool:
    """Whether the text is a valid label key."""
    return bool(_LABEL_KEY.fullmatch(text))


def is_label_value(text: str) -> bool:
    """Whether the text is a valid label value."""
    return bool(_LABEL_VALUE.fullmatch(text))


def _parse_error(what: str, text: str) -> ApiError:
    return ApiError(400, f"unable to parse the {what} selector: {text[:100]!r}", "BadRequest")


def labels(text: str) -> Predicate | None:
    """A predicate on labels; None for an empty selector; raises ApiError 400 for an invalid one."""
    if not text.strip():
        return None
    predicates: list[Predicate] = []
    position = 0
    while position < len(text):
        match = _SET_REQUIREMENT.match(text, position)
        if match:
            values = frozenset(part.strip() for part in match[3].split(","))
            if not all(is_label_value(value) for value in values):
                raise _parse_error("label", text)
            predicates.append(_value_test(match[1], values, match[2] == "in"))
        else:
            match = _SIMPLE_REQUIREMENT.match(text, position)
            if not match or (match[1] and match[3]):
                raise _parse_error("label", text)
            if not match[3]:
                predicates.append(_presence_test(match[2], not match[1]))
            else:
                if not is_label_value(match[4]):
                    raise _parse_error("label", text)
                predicates.append(_value_test(match[2], frozenset((match[4],)), match[3] != "!="))
        if (
            not is_label_key(match[1] if match.re is _SET_REQUIREMENT else match[2])
            or len(predicates) > _MAX_REQUIREMENTS
        ):
            raise _parse_error("label", text)
        position = match.end()
    return lambda actual: all(predicate(actual) for predicate in predicates)


def _value_test(key: str, values: frozenset[str], expected: bool) -> Predicate:
    if expected:
        return lambda actual: actual.get(key) in values
    return lambda actual: key not in actual or actual[key] not in values


def _presence_test(key: str, expected: bool) -> Predicate:
    return lambda actual: (key in actual) == expected


def fields(text: str, known: frozenset[str]) -> Predicate | None:
    """A predicate on fields; None for an empty selector; raises ApiError 400 if invalid or not `known`."""
    if not text.strip():
        return None
    expected: list[tuple[str, str, bool]] = []
    for part in text.split(","):
        match = re.fullmatch(r"\s*([\w.]+)\s*(==|=|!=)\s*([^=!]*?)\s*", part)
        if not match or len(expected) > _MAX_REQUIREMENTS:
            raise _parse_error("field", text)
        if match[1] not in known:
            raise ApiError(400, f"field label not supported: {match[1]}", "BadRequest")
        expected.append((match[1], match[3], match[2] != "!="))
    return lambda actual: all(
        (actual.get(name, "") == value) == same for name, value, same in expected
    )
