"""Decoding of JSON text that another process wrote."""

import typing

import msgspec
import result

from _jasminewind import errors

# What decoding raises. Text that is nested too deeply ends in a recursion
# error, also in a field that the type does not have.
MALFORMED = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)

T = typing.TypeVar("T")


def decode(
    text: bytes | str, kind: type[T]
) -> result.Result[T, errors.WireError]:
    """Return the decoded value, or why the text is malformed."""
    try:
        return result.Ok(msgspec.json.decode(text, type=kind))
    except MALFORMED as error:
        return result.Err(errors.WireError(reason=f"malformed: {error}"))
