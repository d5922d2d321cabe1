"""Fields of JSON objects, checked: a wrong one is told by its place, what was found and what is allowed."""

from __future__ import annotations

import math
from typing import Any

from cedarshift.codec.platform.errors import Spoilt


def text(raw: Any, key: str, most: int = 256) -> str:
    got = raw.get(key)
    if not isinstance(got, str) or not 0 < len(got) <= most:
        raise Spoilt(f"{key}: {_shown(got)}, a text of 1 to {most} characters is allowed")
    return got


def number(raw: Any, key: str, least: float, most: float) -> float:
    got = raw.get(key)
    if (
        isinstance(got, bool)
        or not isinstance(got, (int, float))
        or not math.isfinite(got)
        or not least <= got <= most
    ):
        raise Spoilt(f"{key}: {_shown(got)}, a number from {least:g} to {most:g} is allowed")
    return got


def whole(raw: Any, key: str, least: int, most: int) -> int:
    got = raw.get(key)
    if isinstance(got, float) and got.is_integer():
        got = int(got)
    if isinstance(got, bool) or not isinstance(got, int) or not least <= got <= most:
        raise Spoilt(f"{key}: {_shown(got)}, a whole number from {least} to {most} is allowed")
    return got


def flag(raw: Any, key: str) -> bool:
    return _of(raw, key, bool, "true or false")


def mapping(raw: Any, key: str) -> dict:
    return _of(raw, key, dict, "an object")


def sequence(raw: Any, key: str) -> list:
    return _of(raw, key, list, "a list")


def _of(raw: Any, key: str, kind: type, allowed: str) -> Any:
    got = raw.get(key)
    if not isinstance(got, kind):
        raise Spoilt(f"{key}: {_shown(got)}, {allowed} is allowed")
    return got


def _shown(got: Any) -> str:
    return "missing" if got is None else repr(got)[:60]
