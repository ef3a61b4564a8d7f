"""Tests of the decoding of JSON text that another process wrote."""

import json

import hypothesis
import pytest
from hypothesis import strategies

from _jasminewind import json_input
from testing.platform import odd_values

MALFORMED = [
    odd_values.NESTED,
    "[{" * 50_000 + "}]" * 50_000,
    "NaN",
    '"\\ud800"',
    "1e400",
    "[1,]",
    "1 2",
    "x",
]


@pytest.mark.parametrize("odd", MALFORMED, ids=lambda text: text[:20])
@pytest.mark.parametrize("other", ['{"a": [1, {"b": "],["}]}', "[[]]", "5"])
def test_a_malformed_item_is_replaced_alone(odd, other):
    """Guards against items that one malformed item makes unreadable."""
    text = f'{{"a": [{other}, {odd}, {other}], "b": [{odd}], "c": {{}}}}'
    found = json_input.replace_malformed(text.encode(), 2)
    kept = json.loads(other)
    assert json.loads(found) == {
        "a": [kept, None, kept],
        "b": [None],
        "c": {},
    }


@hypothesis.given(value=odd_values.JSON, level=strategies.integers(1, 4))
def test_json_is_not_changed(value, level):
    """Guards against readable items that are replaced."""
    text = json.dumps(value).encode()
    if json_input.decode(text, object).is_ok():
        assert json_input.replace_malformed(text, level) == text


@hypothesis.given(text=odd_values.texts({"a": [[1, "x"], {}], "b": 2}))
def test_any_text_is_taken(text):
    """Guards against an exception for text that is no JSON."""
    json_input.replace_malformed(text, 2)


def test_a_long_text_is_not_searched():
    """Guards against a process that is busy with one text for long."""
    text = b"[" + b"x," * json_input.MAX_CHECKED_BYTES + b"]"
    assert json_input.replace_malformed(text, 1) is text
