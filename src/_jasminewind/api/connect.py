"""Unary JSON codec of the Connect protocol: headers, bodies, errors."""

import base64
import collections.abc
import dataclasses
import difflib
import json
import math
import re
import typing

import result
from google.protobuf import json_format
from google.protobuf import message as protobuf

from _jasminewind import errors
from _jasminewind.api.pb import errors_pb2

CONTENT_TYPE = "application/json"
PROTOCOL_VERSION = "1"
TIMEOUT_HEADER = "Connect-Timeout-Ms"
VERSION_HEADER = "Connect-Protocol-Version"
MAX_TIMEOUT_DIGITS = 10
# Protobuf stores JSON numbers as doubles, which round larger integers.
MAX_INTEGER = 1 << 53
MAX_INTEGER_DIGITS = 40
MAX_JSON_DEPTH = 90

HTTP_STATUS = {
    errors.Code.CANCELED: 499,
    errors.Code.UNKNOWN: 500,
    errors.Code.INVALID_ARGUMENT: 400,
    errors.Code.DEADLINE_EXCEEDED: 504,
    errors.Code.NOT_FOUND: 404,
    errors.Code.ALREADY_EXISTS: 409,
    errors.Code.RESOURCE_EXHAUSTED: 429,
    errors.Code.FAILED_PRECONDITION: 400,
    errors.Code.ABORTED: 409,
    errors.Code.UNIMPLEMENTED: 501,
    errors.Code.INTERNAL: 500,
    errors.Code.UNAVAILABLE: 503,
}

UNKNOWN_FIELD = re.compile(
    r'has no field named "(?P<name>[^"]*)" at "[^".]*\.?(?P<path>[^"]*)"'
)
AVAILABLE_FIELDS = re.compile(r"Available Fields[^:]*: \"(?P<names>.*)\"")
ROOT_PATH = re.compile(r"\b[A-Z]\w*(?:Request|Response)\.")
KNOWN_NAME = re.compile(r"'(\w+)'")


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallError:
    """Error of a remote call, with its typed details.

    ``http_status`` overrides the status of ``code`` unless it is 0.
    """

    code: errors.Code
    message: str
    details: tuple[protobuf.Message, ...] = ()
    http_status: int = 0

    @property
    def status(self) -> int:
        """Return the HTTP status of the response."""
        return self.http_status or HTTP_STATUS[self.code]


M = typing.TypeVar("M", bound=protobuf.Message)


def failure(
    reason: str,
    *,
    code: errors.Code = errors.Code.INVALID_ARGUMENT,
    outcome: errors.Outcome = errors.Outcome.NOT_RUN,
    field: str = "",
    work_id: str = "",
    not_run_if_first: bool = False,
) -> CallError:
    """Return an error with a ``FailureDetail``.

    ``reason`` says what is wrong and what to do. ``field`` is the path of
    the input field that was refused.
    """
    detail = errors_pb2.FailureDetail(
        outcome=errors_pb2.Outcome.Value(outcome.value),
        reason=reason,
        work_id=work_id,
        field=field,
        not_run_if_first=not_run_if_first,
    )
    text = f"{field}: {reason}" if field else reason
    return CallError(code=code, message=text, details=(detail,))


def encode_error(error: CallError) -> bytes:
    """Return the JSON body of an error response."""
    body: dict[str, typing.Any] = {
        "code": error.code.value,
        "message": error.message,
    }
    if error.details:
        body["details"] = [encode_detail(d) for d in error.details]
    return json.dumps(body).encode()


def encode_detail(detail: protobuf.Message) -> dict[str, typing.Any]:
    """Return the JSON form of one error detail."""
    value = base64.b64encode(detail.SerializeToString()).decode()
    return {
        "type": detail.DESCRIPTOR.full_name,
        # The Connect protocol omits the padding.
        "value": value.rstrip("="),
        "debug": json_format.MessageToDict(detail),
    }


def encode(message: protobuf.Message) -> bytes:
    """Return the JSON body of a successful response.

    Fields with default values are included, so that clients can read the
    JSON without the schema.
    """
    body = json_format.MessageToDict(
        message, always_print_fields_with_no_presence=True
    )
    return json.dumps(restore_integers(body), ensure_ascii=False).encode()


def restore_integers(value: typing.Any) -> typing.Any:
    """Return a JSON value with whole floats converted to integers.

    Protobuf stores the numbers of a payload as doubles and would write 12
    as 12.0, which many parsers do not accept as an integer.
    """
    if isinstance(value, dict):
        return {key: restore_integers(item) for key, item in value.items()}
    if isinstance(value, list):
        return [restore_integers(item) for item in value]
    if isinstance(value, float) and value.is_integer():
        return int(value) if abs(value) <= MAX_INTEGER else value
    return value


def decode(body: bytes, message_type: type[M]) -> result.Result[M, CallError]:
    """Parse a request body into a message."""
    parsed = parse_json(body)
    if isinstance(parsed, result.Err):
        return result.Err(parsed.err_value)
    message = message_type()
    try:
        json_format.ParseDict(
            parsed.ok_value, message, max_recursion_depth=MAX_JSON_DEPTH
        )
    except (json_format.Error, ValueError, TypeError, RecursionError) as e:
        return result.Err(mismatch_error(str(e)))
    return result.Ok(message)


def parse_json(
    body: bytes,
) -> result.Result[dict[str, typing.Any], CallError]:
    """Parse ``body`` strictly as a JSON object.

    Repeated names, NaN, infinite numbers and integers that a double cannot
    hold are errors, because the input would silently change otherwise.
    """
    try:
        # An empty body is a message without fields.
        parsed = json.loads(
            body.decode() or "{}",
            object_pairs_hook=reject_duplicate_names,
            parse_constant=reject_constant,
            parse_int=parse_exact_integer,
            parse_float=parse_finite_number,
        )
    except UnicodeDecodeError as e:
        return result.Err(malformed_body_error(f"not UTF-8 at byte {e.start}"))
    except json.JSONDecodeError as e:
        return result.Err(
            malformed_body_error(
                f"{e.msg} at line {e.lineno} column {e.colno}"
            )
        )
    except RecursionError:
        return result.Err(malformed_body_error("nested too deeply"))
    except ValueError as e:
        return result.Err(malformed_body_error(str(e)))
    if not isinstance(parsed, dict):
        return result.Err(malformed_body_error("need a JSON object"))
    return result.Ok(parsed)


def malformed_body_error(reason: str) -> CallError:
    """Return the error for a body that is not the expected JSON."""
    return failure(f"malformed body: {reason}")


def reject_duplicate_names(
    pairs: list[tuple[str, typing.Any]],
) -> dict[str, typing.Any]:
    """Return a JSON object as a dict; raise on a repeated name."""
    fields = dict(pairs)
    if len(fields) != len(pairs):
        names = [name for name, _ in pairs]
        repeated = next(n for n in names if names.count(n) > 1)
        raise ValueError(f"the name {repeated[:64]!r} is repeated")
    return fields


def reject_constant(text: str) -> typing.NoReturn:
    """Raise for ``NaN`` and infinite numbers, which are not valid JSON."""
    raise ValueError(f"{text} is not a JSON number")


def parse_exact_integer(text: str) -> int:
    """Parse an integer; raise if a double cannot hold it exactly."""
    value = int(text) if len(text) <= MAX_INTEGER_DIGITS else None
    if value is None or abs(value) > MAX_INTEGER:
        raise ValueError(
            f"integer {text[:MAX_INTEGER_DIGITS]} is beyond 2^53; send it as "
            "a string"
        )
    return value


def parse_finite_number(text: str) -> float:
    """Parse a number; raise if a double cannot hold it."""
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(f"number {text[:64]} is too large")
    return value


def mismatch_error(text: str) -> CallError:
    """Return the error for JSON that does not match the message type."""
    unknown = UNKNOWN_FIELD.search(text)
    if unknown is None:
        first_line = (
            text.splitlines()[0] if text else "does not fit the schema"
        )
        first_line = ROOT_PATH.sub("", first_line)
        return malformed_body_error(first_line[:500])
    name = unknown["name"]
    path = unknown["path"]
    available = AVAILABLE_FIELDS.search(text)
    known = KNOWN_NAME.findall(available["names"]) if available else []
    return failure(
        f"unknown field{suggestion(name, known)}",
        field=f"{path}.{name}"[:200] if path else name[:200],
    )


def suggestion(name: str, known: collections.abc.Sequence[str]) -> str:
    """Return an error suffix: the closest known name, or up to 20 names."""
    matches = difflib.get_close_matches(name, known, n=1)
    if matches:
        return f"; did you mean {matches[0]!r}?"
    return f"; known: {', '.join(sorted(known)[:20])}" if known else ""


def parse_timeout(text: str | None) -> result.Result[float | None, CallError]:
    """Parse a ``Connect-Timeout-Ms`` header into seconds."""
    if text is None:
        return result.Ok(None)
    if not (text.isascii() and text.isdigit()):
        return result.Err(
            failure(
                f"{text[:32]!r} is not a whole number of milliseconds",
                field=TIMEOUT_HEADER,
            )
        )
    if len(text) > MAX_TIMEOUT_DIGITS:
        return result.Err(
            failure(
                f"has more than {MAX_TIMEOUT_DIGITS} digits",
                field=TIMEOUT_HEADER,
            )
        )
    return result.Ok(int(text) / 1000.0)


def check_content_type(text: str | None) -> CallError | None:
    """Return the error unless the content type is JSON in UTF-8."""
    mime, _, parameters = (text or "").partition(";")
    charset = parameters.strip().lower().removeprefix("charset=").strip('"')
    if mime.strip().lower() == CONTENT_TYPE and charset in ("", "utf-8"):
        return None
    return dataclasses.replace(
        failure(
            f"{(text or '')[:64]!r} is not supported; send {CONTENT_TYPE}",
            field="Content-Type",
        ),
        http_status=415,
    )


def check_encoding(text: str | None) -> CallError | None:
    """Return the error for a compressed body."""
    if text is None or text.strip().lower() == "identity":
        return None
    return failure(
        f"{text[:32]!r} is not supported; send the body uncompressed",
        code=errors.Code.UNIMPLEMENTED,
        field="Content-Encoding",
    )


def check_version(text: str | None) -> CallError | None:
    """Return the error for an unsupported Connect protocol version."""
    if text is None or text.strip() == PROTOCOL_VERSION:
        return None
    return failure(
        f"{text[:32]!r} is not supported; send {PROTOCOL_VERSION!r}",
        field=VERSION_HEADER,
    )
