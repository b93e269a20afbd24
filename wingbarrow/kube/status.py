"""Status objects and errors (Kubernetes API conventions, "Response Status Kind")."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

_REASONS = {
    400: "BadRequest",
    403: "Forbidden",
    404: "NotFound",
    405: "MethodNotAllowed",
    406: "NotAcceptable",
    409: "Conflict",
    410: "Expired",
    413: "RequestEntityTooLarge",
    415: "UnsupportedMediaType",
    422: "Invalid",
    429: "TooManyRequests",
    500: "InternalError",
    503: "ServiceUnavailable",
    504: "Timeout",
}


@dataclass(frozen=True, slots=True)
class Cause:
    """One cause of an error: the field's path, a reason as in the API conventions, and a text for people."""

    field: str
    reason: str
    message: str


@dataclass
class ApiError(Exception):
    """A failure that is returned to the client as a Status; `retry_after_s` is sent as Retry-After."""

    code: int
    message: str
    reason: str = ""
    causes: list[Cause] = field(default_factory=list)
    retry_after_s: int | None = None
    name: str = ""
    kind: str = ""

    def __str__(self) -> str:
        return f"{self.code} {self.message}"

    def status(self) -> dict[str, Any]:
        """The Status object."""
        details: dict[str, Any] = {}
        if self.name:
            details["name"] = self.name
        if self.kind:
            details["kind"] = self.kind
        if self.causes:
            details["causes"] = [
                {"reason": each.reason, "message": each.message, "field": each.field}
                for each in self.causes
            ]
        if self.retry_after_s is not None:
            details["retryAfterSeconds"] = self.retry_after_s
        out: dict[str, Any] = {
            "kind": "Status",
            "apiVersion": "v1",
            "metadata": {},
            "status": "Failure",
            "message": self.message,
            "reason": self.reason or _REASONS.get(self.code, ""),
            "code": self.code,
        }
        if details:
            out["details"] = details
        return out


def invalid(kind: str, name: str, causes: list[Cause]) -> ApiError:
    """422 for an object with invalid fields."""
    words = ", ".join(f"{each.field}: {each.message}" for each in causes[:5])
    return ApiError(
        422, f'{kind} "{name}" is invalid: {words}', "Invalid", causes, name=name, kind=kind
    )


def not_found(kind: str, name: str) -> ApiError:
    """404 for an object that does not exist."""
    return ApiError(404, f'{kind} "{name}" not found', "NotFound", name=name, kind=kind)


def expired(message: str) -> ApiError:
    """410 for a resourceVersion older than the window of changes."""
    return ApiError(410, message, "Expired")
