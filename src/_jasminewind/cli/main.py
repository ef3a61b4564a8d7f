"""Commands of the ``jasminewind`` command line, and its entry point."""

import os
import pathlib
import re
import sys
import typing

import fire
import fire.core
import fire.parser
import result

from _jasminewind.cli import configs
from _jasminewind.cli import context
from _jasminewind.cli import jobs
from _jasminewind.cli import outcomes
from _jasminewind.cli import output

INTERRUPTED_EXIT_CODE = 130
# Options that are true if they are given without a value.
SWITCHES = (
    "--json",
    "--detach",
    "--even-if-unknown",
    "--earlier-processes-gone",
)
# A line of fire's help that lists a command by its method name.
COMMAND_NAME_LINE = re.compile(r"^ {5}[a-z]+(?:_[a-z]+)+$", re.MULTILINE)
DEFAULT_CALL_DEADLINE_S = 30.0
DRAIN_TIMEOUT_S = 15.0

Body = dict[str, typing.Any]


class Jasminewind:
    """Submit work to jasminewind, and operate it.

    Every command takes --entry URL, the address of an entry or of the
    load balancer (http://host:port; default is the environment variable
    JASMINEWIND_ENTRY, then http://127.0.0.1:7480), and --json, which prints
    JSON instead of text. COMMAND --help explains a command.

    Exit codes: 0 complete, 1 failed while running, 2 usage or bad input,
    3 not run, 4 may have run, 5 entry unreachable. Submitting work again
    with the same id is always safe.
    """

    def __init__(self, *, entry: str = "", json: str = "false") -> None:
        # Private, because fire exposes public attributes as commands.
        self._context = context.Context(
            entry=context.entry_address(entry),
            is_json=context.parse_bool("json", json),
        )
        self.job = jobs.JobCommands(self._context)
        self.config = configs.ConfigCommands(self._context)

    @context.command
    def new_id(self) -> None:
        """Print a new id (UUIDv7) for a job or a request."""
        work_id = context.new_id()
        self._context.show({"id": work_id}, lambda: work_id)

    @context.command
    def call(
        self,
        service: str,
        method: str,
        *,
        team: str = "",
        payload: str = "{}",
        deadline_s: str = str(DEFAULT_CALL_DEADLINE_S),
        id: str = "",
    ) -> None:
        """Call METHOD of SERVICE and print its result.

        Calling again with the same id is safe: the request never runs
        twice and returns the same answer.

        Args:
            service: Name of the service.
            method: Name of the method.
            team: Your team.
            payload: JSON object for the method, or @FILE to read it.
            deadline_s: Seconds after which the result is no longer useful.
            id: UUIDv7 of the request; default is a new one.
        """
        if payload.startswith("@"):
            payload_object = context.read_json_object(payload[1:])
        else:
            payload_object = context.parse_json_object("--payload", payload)
        timeout_s = context.parse_float("deadline-s", deadline_s)
        work_id = id or context.new_id()
        if not self._context.is_json:
            output.print_error(f"id: {work_id}")
        body = self._context.call(
            "RequestService/Call",
            {
                "id": work_id,
                "team": team,
                "service": service,
                "method": method,
                "payload": payload_object,
                "deadlineS": timeout_s,
            },
            # Invalid deadlines are left for the entry to reject; the socket
            # needs a valid timeout all the same.
            timeout_s=(
                timeout_s if 0 < timeout_s < 1e6 else DEFAULT_CALL_DEADLINE_S
            ),
            hint=jobs.resubmit_hint(work_id),
            is_first=not id,
        )
        self._context.show(body, lambda: output.format_result(body))

    @context.command
    def cancel(self, id: str) -> None:
        """Cancel a request; has no effect on one that has ended.

        Args:
            id: UUIDv7 of the request.
        """
        body = self._context.call(
            "RequestService/Cancel",
            {"id": id},
            hint="the request may not be cancelled; run the command again",
        )
        self._context.show(body, lambda: f"cancellation of {id} was sent")

    @context.command
    def members(self) -> None:
        """Print the entries and agents of the system."""
        body = self._context.call("OperationsService/ListMembers")
        self._context.show(
            body, lambda: output.format_members(body["members"])
        )

    @context.command
    def workers(self) -> None:
        """Print the workers."""
        body = self._context.call("OperationsService/ListWorkers")
        self._context.show(
            body, lambda: output.format_endpoints(body["workers"])
        )

    @context.command
    def minions(self, *, service: str = "") -> None:
        """Print the minions.

        Args:
            service: Print the minions of this service only.
        """
        body = self._context.call(
            "OperationsService/ListMinions", {"service": service}
        )
        self._context.show(
            body, lambda: output.format_endpoints(body["minions"])
        )

    @context.command
    def teams(self) -> None:
        """Print the teams and their quotas."""
        body = self._context.call("OperationsService/ListTeams")
        self._context.show(body, lambda: output.format_teams(body["teams"]))

    @context.command
    def drain(
        self,
        name: str,
        *,
        even_if_unknown: str = "false",
        change_id: str = "",
        author: str = "",
    ) -> None:
        """Stop sending new work to an endpoint; its running work completes.

        Args:
            name: Name of a worker or a minion.
            even_if_unknown: Also drain a name that no live endpoint has.
            change_id: Id of the change; an id is applied at most once.
            author: Your name; default is your login.
        """
        body = {
            "name": name,
            "evenIfUnknown": context.parse_bool(
                "even-if-unknown", even_if_unknown
            ),
        }
        self._set_drained("Drain", body, change_id, author)

    @context.command
    def undrain(
        self, name: str, *, change_id: str = "", author: str = ""
    ) -> None:
        """Resume sending work to a drained endpoint.

        Args:
            name: Name of a worker or a minion.
            change_id: Id of the change; an id is applied at most once.
            author: Your name; default is your login.
        """
        self._set_drained("Undrain", {"name": name}, change_id, author)

    def _set_drained(
        self, method: str, body: Body, change_id: str, author: str
    ) -> None:
        """Drain or undrain an endpoint."""
        change_id = change_id or context.new_id()
        reply = self._context.call(
            f"OperationsService/{method}",
            {
                **body,
                "changeId": change_id,
                "author": author or configs.default_author(),
            },
            timeout_s=DRAIN_TIMEOUT_S,
            hint=configs.change_hint(change_id),
        )
        done = "drained" if method == "Drain" else "not drained"
        self._context.show(
            reply,
            lambda: f"{body['name']} is {done} in version "
            f"{reply['version']}",
        )

    @context.command
    def release_shard(
        self, shard: str, *, earlier_processes_gone: str = "false"
    ) -> None:
        """Let a live agent take over a shard whose processes are gone.

        Only use it after verifying that the previous owner and its
        successors no longer run; otherwise tasks may start twice.

        Args:
            shard: Number of the shard.
            earlier_processes_gone: Confirm that these processes are gone.
        """
        body = self._context.call(
            "OperationsService/ReleaseShard",
            {
                "shard": context.parse_int("shard", shard),
                "earlierProcessesGone": context.parse_bool(
                    "earlier-processes-gone", earlier_processes_gone
                ),
            },
            hint="the shard may be released; check `jasminewind members`",
        )
        self._context.show(body, lambda: f"shard {shard} is released")

    @context.command
    def explain(self, id: str) -> None:
        """Print the recent decisions on a job or a request.

        Args:
            id: UUIDv7 of the job or the request.
        """
        body = self._context.call("OperationsService/Explain", {"id": id})
        self._context.show(
            body, lambda: output.format_decisions(body["entries"])
        )

    @context.command
    def story(self, job: str, *files: str) -> None:
        """Print the timeline of a job from the log files of processes.

        Args:
            job: Id of the job.
            files: Log files of entries and agents.
        """
        # Imported here, because no other command needs it.
        from _jasminewind.cli import timelines

        read = timelines.read_decisions(files)
        if isinstance(read, result.Err):
            raise outcomes.bad_input(read.err_value)
        lines = timelines.job_timeline(read.ok_value, job)
        if not lines:
            raise outcomes.bad_input(
                f"no decision on job {job} in these files; add the log of the "
                "entry that the caller used"
            )
        body = {"lines": [line.text for line in lines]}
        self._context.show(body, lambda: "\n".join(body["lines"]))

    @context.command
    def status(self) -> None:
        """Print a summary of the system."""
        body = self._context.call("OperationsService/GetStatus")
        self._context.show(body, lambda: output.format_status(body))

    @context.command
    def check_settings(self, file: str) -> None:
        """Check a settings file of `jasminewindd` and print all errors.

        Args:
            file: File with the settings.
        """
        # Imported here, because no other command needs it.
        from _jasminewind import job_settings
        from _jasminewind import settings

        if job_settings.is_job_settings(pathlib.Path(file)):
            self._check_job_settings(file)
            return
        read = settings.load(pathlib.Path(file))
        if isinstance(read, result.Err):
            raise outcomes.bad_input(f"{file}:\n{read.err_value}")
        initial_file = read.ok_value.initial_config_file
        if initial_file:
            check_initial_config(initial_file)
        body = {"file": file, "role": read.ok_value.role.value}
        self._context.show(body, lambda: f"{file}: valid, role {body['role']}")

    def _check_job_settings(self, file: str) -> None:
        """Check the settings of a process that runs jobs."""
        from _jasminewind import job_settings

        read = job_settings.parse(pathlib.Path(file).read_bytes())
        if isinstance(read, result.Err):
            raise outcomes.bad_input(f"{file}:\n{read.err_value}")
        role = read.ok_value.role.value
        body = {"file": file, "role": role}
        self._context.show(body, lambda: f"{file}: valid, role {role}, jobs")


def check_initial_config(file: str) -> None:
    """Raise unless ``file`` holds a valid initial configuration."""
    from _jasminewind.api import initial

    read = initial.read(pathlib.Path(file))
    if isinstance(read, result.Err):
        raise outcomes.bad_input(f"initial_config_file: {read.err_value}")


def expand_switches(arguments: list[str]) -> list[str]:
    """Return the arguments with an explicit value for each switch.

    fire would parse the argument after ``--json`` as its value.
    """
    return [f"{a}=true" if a in SWITCHES else a for a in arguments]


def parse_command(arguments: list[str]) -> object:
    """Return the pending command, or show help or a usage error."""
    # fire shows help in a pager, which would hang scripts.
    fire.core.Display = show_help
    # fire would convert a name such as 1e5 to a number.
    fire.parser.DefaultParseValue = str
    return fire.Fire(
        Jasminewind,
        command=expand_switches(arguments),
        name="jasminewind",
        serialize=lambda value: (
            None if isinstance(value, context.PendingCommand) else value
        ),
    )


def show_help(lines: list[str], out: typing.TextIO) -> None:
    """Print help text with hyphens in command names."""
    for line in lines:
        print(COMMAND_NAME_LINE.sub(hyphenate, line), file=out)


def hyphenate(match: re.Match[str]) -> str:
    """Return the matched command name with hyphens."""
    return match[0].replace("_", "-")


def main(arguments: list[str] | None = None) -> None:
    """Run a command; exit with its code if it fails."""
    arguments = sys.argv[1:] if arguments is None else arguments
    is_json = "--json" in arguments
    try:
        pending = parse_command(arguments)
        if isinstance(pending, context.PendingCommand):
            context.run(pending)
        sys.stdout.flush()
    except outcomes.CommandError as e:
        if is_json:
            output.print_error_json({**e.body, "exitCode": int(e.exit_code)})
        else:
            output.print_error(f"jasminewind: {e.text}")
        raise SystemExit(int(e.exit_code)) from None
    except KeyboardInterrupt:
        output.print_error("jasminewind: interrupted")
        raise SystemExit(INTERRUPTED_EXIT_CODE) from None
    except BrokenPipeError:
        # The reader of stdout, such as `head`, has exited. Python's flush at
        # exit would fail again without this redirection.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        raise SystemExit(0) from None
