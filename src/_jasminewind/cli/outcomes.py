"""Exit codes of the command line, and errors that carry them."""

import enum
import typing


class ExitCode(enum.IntEnum):
    """Exit codes; `docs/cli.md` says how to react to each."""

    COMPLETE = 0
    FAILED_WHILE_RUNNING = 1
    BAD_INPUT = 2
    NOT_RUN = 3
    MAY_HAVE_RUN = 4
    UNREACHABLE = 5


BAD_INPUT_CODES = frozenset(
    (
        "invalid_argument",
        "not_found",
        "unimplemented",
        "failed_precondition",
    )
)


class CommandError(Exception):
    """Ends a command with ``exit_code`` and a message on stderr.

    ``body`` is the error body of the response, if there is one.
    """

    def __init__(
        self,
        exit_code: ExitCode,
        text: str,
        body: dict[str, typing.Any] | None = None,
    ) -> None:
        super().__init__(text)
        self.exit_code = exit_code
        self.text = text
        self.body = body or {"message": text}


def bad_input(text: str) -> CommandError:
    """Return the error for invalid user input."""
    return CommandError(ExitCode.BAD_INPUT, text)


def failure_detail(body: dict[str, typing.Any]) -> dict[str, typing.Any]:
    """Return the ``FailureDetail`` of an error body, or an empty dict."""
    for detail in body.get("details") or ():
        if detail.get("type") == "jasminewind.v1.FailureDetail":
            return typing.cast(dict[str, typing.Any], detail.get("debug", {}))
    return {}


def is_not_run_if_first(body: dict[str, typing.Any]) -> bool:
    """Return whether only an earlier submission of the id may have run."""
    return bool(failure_detail(body).get("notRunIfFirst"))


def exit_code(
    body: dict[str, typing.Any], *, is_first: bool = False
) -> ExitCode:
    """Return the exit code for the error body of a response.

    ``is_first`` is set when the command made the id of the submission and
    sent it once, which excludes an earlier submission. If neither the outcome
    nor the code tells, the work may have run.
    """
    outcome = failure_detail(body).get("outcome")
    if is_first and is_not_run_if_first(body):
        outcome = "NOT_RUN"
    if outcome in ("FAILED_WHILE_RUNNING", "MAY_HAVE_RUN"):
        return ExitCode[outcome]
    if body.get("code") in BAD_INPUT_CODES:
        return ExitCode.BAD_INPUT
    if outcome == "NOT_RUN":
        return ExitCode.NOT_RUN
    return ExitCode.MAY_HAVE_RUN
