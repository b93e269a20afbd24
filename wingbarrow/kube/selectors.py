"""Label and field selectors (Kubernetes documentation, "Labels and Selectors", "Field Selectors")."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping

from wingbarrow.kube.status import ApiError

Test = Callable[[Mapping[str, str]], bool]
_SET = re.compile(r"\s*([^\s,!=()]+)\s+(in|notin)\s*\(([^()]*)\)\s*(?:,|$)")
_ONE = re.compile(r"\s*(!?)\s*([^\s,!=()]+)\s*(?:(==|=|!=)\s*([^\s,!=()]*))?\s*(?:,|$)")
_LABEL_KEY = re.compile(
    r"(?:[a-z0-9](?:[-a-z0-9.]{0,251}[a-z0-9])?/)?[A-Za-z0-9](?:[-A-Za-z0-9_.]{0,61}[A-Za-z0-9])?"
)
_LABEL_VALUE = re.compile(r"(?:[A-Za-z0-9](?:[-A-Za-z0-9_.]{0,61}[A-Za-z0-9])?)?")
_MOST = 64  # requirements in one selector


def is_label_key(text: str) -> bool:
    """Whether the text may be a label's key."""
    return bool(_LABEL_KEY.fullmatch(text))


def is_label_value(text: str) -> bool:
    """Whether the text may be a label's value."""
    return bool(_LABEL_VALUE.fullmatch(text))


def _bad(what: str, text: str) -> ApiError:
    return ApiError(400, f"unable to parse the {what} selector: {text[:100]!r}", "BadRequest")


def labels(text: str) -> Test | None:
    """A test of labels; None where everything matches; ApiError 400 for what cannot be read."""
    if not text.strip():
        return None
    tests: list[Test] = []
    at = 0
    while at < len(text):
        match = _SET.match(text, at)
        if match:
            values = frozenset(part.strip() for part in match[3].split(","))
            if not all(is_label_value(value) for value in values):
                raise _bad("label", text)
            tests.append(_among(match[1], values, match[2] == "in"))
        else:
            match = _ONE.match(text, at)
            if not match or (match[1] and match[3]):
                raise _bad("label", text)
            if not match[3]:
                tests.append(_present(match[2], not match[1]))
            else:
                if not is_label_value(match[4]):
                    raise _bad("label", text)
                tests.append(_among(match[2], frozenset((match[4],)), match[3] != "!="))
        if not is_label_key(match[1] if match.re is _SET else match[2]) or len(tests) > _MOST:
            raise _bad("label", text)
        at = match.end()
    return lambda held: all(test(held) for test in tests)


def _among(key: str, values: frozenset[str], wanted: bool) -> Test:
    if wanted:
        return lambda held: held.get(key) in values
    return lambda held: key not in held or held[key] not in values


def _present(key: str, wanted: bool) -> Test:
    return lambda held: (key in held) == wanted


def fields(text: str, known: frozenset[str]) -> Test | None:
    """A test of the named fields; ApiError 400 for a field that cannot be selected by."""
    if not text.strip():
        return None
    wanted: list[tuple[str, str, bool]] = []
    for part in text.split(","):
        match = re.fullmatch(r"\s*([\w.]+)\s*(==|=|!=)\s*([^=!]*?)\s*", part)
        if not match or len(wanted) > _MOST:
            raise _bad("field", text)
        if match[1] not in known:
            raise ApiError(400, f"field label not supported: {match[1]}", "BadRequest")
        wanted.append((match[1], match[3], match[2] != "!="))
    return lambda held: all((held.get(name, "") == value) == same for name, value, same in wanted)
