"""Rows by which operators evacuate failure domains."""

import collections.abc
import typing

from _jasminewind.platform import bodies

# The key is the prefix and the name of the failure domain.
KEY_PREFIX = "evacuate/"


class EvacuationBody(bodies.Body):
    """Value of the row of an evacuated domain; it has no fields yet."""


class Mistake(typing.NamedTuple):
    """A row that evacuates nothing, and why."""

    key: str
    reason: str


class Listed(typing.NamedTuple):
    """The evacuated failure domains, and the rows that cannot be used."""

    domains: frozenset[str]
    mistakes: tuple[Mistake, ...]


def read(rows: collections.abc.Mapping[str, bytes]) -> Listed:
    """Read the evacuations among the rows of the operators' table."""
    domains = set()
    mistakes = []
    for key, value in rows.items():
        if not key.startswith(KEY_PREFIX):
            continue
        domain = key.removeprefix(KEY_PREFIX)
        reason = find_mistake(domain, value)
        if reason:
            mistakes.append(Mistake(key, reason))
        else:
            domains.add(domain)
    return Listed(frozenset(domains), tuple(mistakes))


def find_mistake(domain: str, value: bytes) -> str:
    """Return why a row evacuates nothing, empty if it does."""
    if not 0 < len(domain) <= bodies.MAX_NAME_CHARS:
        return "the key names no failure domain"
    decoded = bodies.decode(value, EvacuationBody)
    return decoded.unwrap_err().reason if decoded.is_err() else ""
