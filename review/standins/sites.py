"""Settings of small deployments, with figures from the ranges of their site files."""

from __future__ import annotations

from typing import Any


def _settings(lanes: list[dict[str, Any]], info: dict[str, Any], **more: Any) -> dict[str, Any]:
    count = len(lanes)
    return {
        "balancers": 3,
        "me": 0,
        "bounds": {
            "cancel": True,
            "conn_idle_us": 30_000_000,
            "dial_timeout_us": 250_000,
            "max_retry_after_us": 3_000_000,
            "may_duplicate": False,
            "probes": True,
            "retry_after": True,
            "send_cap": 4,
        },
        "costs": {"cross_zone": 0.03, "fleet": 0.2, "moves": 0.08, "probe": 0.003, "waste": 0.08},
        "failure_domains": ["hall-a", "hall-b"],
        "family": "place",
        "kinds": ["small-node"],
        "lanes": lanes,
        "quantum_us": 2000,
        "zone": "hall-a",
        "family_info": {
            "class_kind": [-1] * count,
            "free_in_list": True,
            "report_counts": "used",
            "says_yes": "running",
            "settle_us": 3_000_000,
            **info,
        },
        **more,
    }


def _lane(name: str, effect: str, worth: float, deadline_ms: int) -> dict[str, Any]:
    return {
        "name": name,
        "effect": effect,
        "importance": worth,
        "deadline_us": deadline_ms * 1000,
        "dedup_scope": "all",
        "dedup_window_us": 5_000_000,
        "runs_on": True,
    }


def vantaa_campus() -> dict[str, Any]:
    """A small `vantaa-campus`."""
    return _settings(
        [
            _lane("label-web", "retryable", 1.0, 5000),
            _lane("tracking", "retryable", 1.0, 8000),
            _lane("settlement", "fragile", 3.0, 10000),
        ],
        {
            "admit_memory": 1.0,
            "class_most": [3, 3, 2],
            "cores_by_kind": [28],
            "cpu_booking": 1.0,
            "easy_until": [1.0, 0.8, 0.8],
            "fresh_offers": 37.0,
            "lost_after": [1.0, 0.2, 0.15],
            "memory_by_kind": [44.0],
            "spread_by": ["cell", "cell", "off"],
        },
        discovery="push",
        report={"how": "on_probe", "names": ["x0", "x1"]},
        rules={
            "answer_slack_us": 8000,
            "ask_every_us": 10_000_000,
            "cold_from": 0.2,
            "cold_us": 18_000_000,
            "drain_grace_us": 250_000,
            "fall_us": 2_000_000,
            "overload_factor": 2.0,
        },
    )


def umea_hall() -> dict[str, Any]:
    """A small `umea-hall`."""
    return _settings(
        [
            _lane("map-tiles", "retryable", 1.0, 6000),
            _lane("field-api", "retryable", 1.0, 6000),
            _lane("season-trace", "fragile", 5.0, 10000),
        ],
        {
            "admit_memory": 1.3,
            "class_most": [3, 3, 2],
            "cores_by_kind": [24],
            "cpu_booking": 3.0,
            "easy_until": [0.8, 0.8, 0.8],
            "fresh_offers": 37.0,
            "lost_after": [0.2, 0.2, 0.2],
            "memory_by_kind": [44.0],
            "spread_by": ["off", "off", "off"],
        },
        discovery="ask",
        report={"how": "inline", "names": ["x0", "x1"]},
        rules={
            "answer_slack_us": 8000,
            "ask_every_us": 10_000_000,
            "cold_from": 0.28,
            "cold_us": 18_000_000,
            "drain_grace_us": 250_000,
            "fall_us": 2_000_000,
            "overload_factor": 3.0,
        },
    )
