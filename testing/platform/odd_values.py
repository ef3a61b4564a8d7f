"""Values that another writer may leave, for fuzz tests."""

import json

from hypothesis import strategies

DEPTH = 100_000
NESTED = "[" * DEPTH + "]" * DEPTH
WORDS = ("", "x", "entry", "ready", "done", "127.0.0.1", "127.0.0.1:99999")
NUMBERS = (0, -1, 1, 2**31, 2**53, 2**63, 2**64, 10**30, 10**400, 1e300)

LEAVES = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8)
    | strategies.sampled_from([*WORDS, *NUMBERS])
)
# ``json.dumps`` writes NaN, which is not JSON, and lone surrogates.
JSON = strategies.recursive(
    LEAVES,
    lambda inner: strategies.lists(inner, max_size=4)
    | strategies.dictionaries(strategies.text(max_size=8), inner, max_size=4),
    max_leaves=8,
)


def paths(value, path=()):
    """Yield the path of every field of a JSON value."""
    items = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, inner in items:
        yield (*path, key)
        yield from paths(inner, (*path, key))


def replace(value, path, new):
    """Return a copy of a JSON value with another value at a path."""
    copy = json.loads(json.dumps(value))
    target = copy
    for key in path[:-1]:
        target = target[key]
    target[path[-1]] = new
    return copy


def remove(value, path):
    """Return a copy of a JSON value without the field at a path."""
    copy = json.loads(json.dumps(value))
    target = copy
    for key in path[:-1]:
        target = target[key]
    del target[path[-1]]
    return copy


def texts(example):
    """Return a strategy of malformed variants of a JSON value, as bytes.

    A field has another value or is missing or unknown, or the text is cut,
    nested deeply or not UTF-8.
    """
    chosen = strategies.sampled_from(list(paths(example)))
    whole = json.dumps(example).encode()
    variants = (
        strategies.builds(replace, strategies.just(example), chosen, JSON)
        | strategies.builds(remove, strategies.just(example), chosen)
        | JSON
    )
    added = strategies.sampled_from(
        [
            b'{"x":' + NESTED.encode() + b"," + whole[1:],
            b'{"x":1,' + whole[1:],
            whole.replace(b'"', b'"\xff', 3),
            whole.replace(b'"', b'"\xe2\x82', 3),
            whole.replace(b"{", b"\x00", 1),
            NESTED.encode(),
            b"",
        ]
    )
    cut = strategies.integers(0, len(whole)).map(lambda end: whole[:end])
    return variants.map(lambda v: json.dumps(v).encode()) | added | cut
