"""Typed access to the fields of JSON objects. Each function raises InvalidMessage naming the field."""

from __future__ import annotations

import math
from typing import Any

from cedarshift.codec.platform.errors import InvalidMessage


def string(raw: Any, key: str, max_length: int = 256) -> str:
    value = raw.get(key)
    if not isinstance(value, str) or not 0 < len(value) <= max_length:
        raise InvalidMessage(f"{key}: {_describe(value)}, a text of 1 to {max_length} characters is allowed")
    return value


def number(raw: Any, key: str, minimum: float, maximum: float) -> float:
    value = raw.get(key)
    if (
        isinstance(value, bool)
        or not isinstance(value, (int, float))
        or not math.isfinite(value)
        or not minimum <= value <= maximum
    ):
        raise InvalidMessage(f"{key}: {_describe(value)}, expected a number from {minimum:g} to {maximum:g}")
    return value


def integer(raw: Any, key: str, minimum: int, maximum: int) -> int:
    """Also accepts a float without a fractional part."""
    value = raw.get(key)
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if isinstance(value, bool) or not isinstance(value, int) or not minimum <= value <= maximum:
        raise InvalidMessage(f"{key}: {_describe(value)}, expected an integer from {minimum} to {maximum}")
    return value


def boolean(raw: Any, key: str) -> bool:
    return _typed(raw, key, bool, "true or false")


def mapping(raw: Any, key: str) -> dict:
    return _typed(raw, key, dict, "an object")


def sequence(raw: Any, key: str) -> list:
    return _typed(raw, key, list, "a list")


def _typed(raw: Any, key: str, kind: type, expected: str) -> Any:
    value = raw.get(key)
    if not isinstance(value, kind):
        raise InvalidMessage(f"{key}: {_describe(value)}, expected {expected}")
    return value


def _describe(value: Any) -> str:
    return "missing" if value is None else repr(value)[:60]
