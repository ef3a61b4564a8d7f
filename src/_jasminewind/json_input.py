"""Decoding of JSON text that another process wrote."""

import re
import typing

import msgspec
import result

from _jasminewind import errors

# What decoding raises. Text that is nested too deeply ends in a recursion
# error, also in a field that the type does not have.
MALFORMED = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)

T = typing.TypeVar("T")

# A string, or brackets of one kind or a comma outside of strings.
TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[{]+|[\]}]+|,', re.DOTALL)
MAX_CHECKED_BYTES = 1 << 20


def decode(
    text: bytes | str, kind: type[T]
) -> result.Result[T, errors.WireError]:
    """Return the decoded value, or why the text is malformed."""
    try:
        return result.Ok(msgspec.json.decode(text, type=kind))
    except MALFORMED as error:
        return result.Err(errors.WireError(reason=f"malformed: {error}"))


def replace_malformed(text: bytes, level: int) -> bytes:
    """Return JSON text with ``null`` for each malformed item of its lists.

    Only the lists at one level of nesting are looked at; the outermost value
    has level 1. One malformed item makes a decoder refuse the whole text.
    """
    if len(text) > MAX_CHECKED_BYTES:
        return text
    parts = []
    depth = 0
    kept_from = 0
    item_from: int | None = None
    for token in TOKEN.finditer(text):
        start, end = token.span()
        kind = text[start : start + 1]
        if kind in b"[{":
            # The bracket that opens the value at the level.
            opening = start + level - depth - 1
            depth += end - start
            if start <= opening < end:
                is_list = text[opening : opening + 1] == b"["
                item_from = opening + 1 if is_list else None
            continue
        if kind == b'"':
            continue
        # The comma or bracket that ends an item at the level.
        item_end = start + depth - level
        if item_from is not None and start <= item_end < end:
            item = text[item_from:item_end]
            if item.strip() and decode(item, typing.Any).is_err():
                parts += [text[kept_from:item_from], b"null"]
                kept_from = item_end
            item_from = item_end + 1 if kind == b"," else None
        if kind in b"]}":
            depth -= end - start
    return b"".join([*parts, text[kept_from:]])
