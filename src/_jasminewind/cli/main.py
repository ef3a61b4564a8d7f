"""The command line ``jasminewind``."""

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

INTERRUPTED = 130
SWITCHES = (
    "--json",
    "--detach",
    "--even-if-unknown",
    "--earlier-processes-gone",
)
# Lines that hold nothing but the name of a command.
COMMAND_NAME = re.compile(r"^ {5}[a-z]+(?:_[a-z]+)+$", re.MULTILINE)
DEFAULT_CALL_DEADLINE_S = 30.0
DRAIN_LIMIT_S = 15.0

Body = dict[str, typing.Any]


class Jasminewind:
    """Submit work to jasminewind, and operate it.

    Every command takes --entry URL, the address of an entry or of the
    balancer (http://host:port; default is the environment variable
    JASMINEWIND_ENTRY, then http://127.0.0.1:7480), and --json, which prints
    JSON instead of text. COMMAND --help explains a command.

    Exit codes: 0 complete, 1 failed while running, 2 usage or bad input,
    3 not run, 4 may have run, 5 entry unreachable. Sending work again with
    the same id is always safe.
    """

    def __init__(self, *, entry: str = "", json: str = "false") -> None:
        # fire would offer a public attribute as a further command.
        self._shared = context.Context(
            entry=context.entry_address(entry),
            is_json=context.flag("json", json),
        )
        self.job = jobs.JobCommands(self._shared)
        self.config = configs.ConfigCommands(self._shared)

    @context.command
    def new_id(self) -> None:
        """Print a new id (UUIDv7) for a job or a request."""
        work_id = context.new_id()
        self._shared.show({"id": work_id}, lambda: work_id)

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
            deadline_s: Seconds until the answer is of no more use.
            id: UUIDv7 of the request; default is a new one.
        """
        if payload.startswith("@"):
            found = context.read_object(payload[1:])
        else:
            found = context.parse_object("--payload", payload)
        limit_s = context.number("deadline-s", deadline_s)
        work_id = id or context.new_id()
        if not self._shared.is_json:
            output.print_error(f"id: {work_id}")
        body = self._shared.call(
            "RequestService/Call",
            {
                "id": work_id,
                "team": team,
                "service": service,
                "method": method,
                "payload": found,
                "deadlineS": limit_s,
            },
            # A deadline that the entry refuses must not break the socket.
            limit_s=limit_s if 0 < limit_s < 1e6 else DEFAULT_CALL_DEADLINE_S,
            hint=jobs.resend_hint(work_id),
        )
        self._shared.show(body, lambda: output.call_text(body))

    @context.command
    def cancel(self, id: str) -> None:
        """Cancel a request; one that has ended is left as it is.

        Args:
            id: UUIDv7 of the request.
        """
        body = self._shared.call(
            "RequestService/Cancel",
            {"id": id},
            hint="the request may not be cancelled; cancel it again",
        )
        self._shared.show(body, lambda: f"cancellation of {id} was sent")

    @context.command
    def members(self) -> None:
        """Print the processes of the system."""
        body = self._shared.call("OperationsService/ListMembers")
        self._shared.show(body, lambda: output.members(body["members"]))

    @context.command
    def workers(self) -> None:
        """Print the workers."""
        body = self._shared.call("OperationsService/ListWorkers")
        self._shared.show(body, lambda: output.endpoints(body["workers"]))

    @context.command
    def minions(self, *, service: str = "") -> None:
        """Print the minions.

        Args:
            service: Print the minions of this service only.
        """
        body = self._shared.call(
            "OperationsService/ListMinions", {"service": service}
        )
        self._shared.show(body, lambda: output.endpoints(body["minions"]))

    @context.command
    def teams(self) -> None:
        """Print the teams and their quotas."""
        body = self._shared.call("OperationsService/ListTeams")
        self._shared.show(body, lambda: output.teams(body["teams"]))

    @context.command
    def drain(
        self,
        name: str,
        *,
        even_if_unknown: str = "false",
        change_id: str = "",
        author: str = "",
    ) -> None:
        """Give an endpoint no new work; what it runs completes.

        Args:
            name: Name of a worker or a minion.
            even_if_unknown: Also drain a name that no live endpoint has.
            change_id: Id of the change; the same id is applied once.
            author: Your name; default is your user.
        """
        body = {
            "name": name,
            "evenIfUnknown": context.flag("even-if-unknown", even_if_unknown),
        }
        self._set_drained("Drain", body, change_id, author)

    @context.command
    def undrain(
        self, name: str, *, change_id: str = "", author: str = ""
    ) -> None:
        """Give a drained endpoint work again.

        Args:
            name: Name of a worker or a minion.
            change_id: Id of the change; the same id is applied once.
            author: Your name; default is your user.
        """
        self._set_drained("Undrain", {"name": name}, change_id, author)

    def _set_drained(
        self, method: str, body: Body, change_id: str, author: str
    ) -> None:
        """Drain or undrain an endpoint."""
        change_id = change_id or context.new_id()
        reply = self._shared.call(
            f"OperationsService/{method}",
            {
                **body,
                "changeId": change_id,
                "author": author or configs.default_author(),
            },
            limit_s=DRAIN_LIMIT_S,
            hint=configs.change_hint(change_id),
        )
        done = "drained" if method == "Drain" else "not drained"
        self._shared.show(
            reply,
            lambda: f"{body['name']} is {done} in version "
            f"{reply['version']}",
        )

    @context.command
    def release_shard(
        self, shard: str, *, earlier_processes_gone: str = "false"
    ) -> None:
        """Let a live agent take a shard over whose processes are gone.

        Only use it when you have made sure that the earlier owner and its
        successors no longer run; tasks may start twice otherwise.

        Args:
            shard: Number of the shard.
            earlier_processes_gone: Confirms that you made sure.
        """
        body = self._shared.call(
            "OperationsService/ReleaseShard",
            {
                "shard": context.whole("shard", shard),
                "earlierProcessesGone": context.flag(
                    "earlier-processes-gone", earlier_processes_gone
                ),
            },
            hint="the shard may be released; see `jasminewind members`",
        )
        self._shared.show(body, lambda: f"shard {shard} is released")

    @context.command
    def explain(self, id: str) -> None:
        """Print the recent decisions on a job or a request.

        Args:
            id: UUIDv7 of the job or the request.
        """
        body = self._shared.call("OperationsService/Explain", {"id": id})
        self._shared.show(body, lambda: output.explanation(body["entries"]))

    @context.command
    def story(self, job: str, *files: str) -> None:
        """Print what log files of several processes tell about one job.

        Args:
            job: Id of the job.
            files: Log files of entries and agents.
        """
        # Imported here, because the other commands do not need it.
        from _jasminewind.cli import stories

        read = stories.read(files)
        if isinstance(read, result.Err):
            raise outcomes.bad_input(read.err_value)
        found = stories.story(read.ok_value, job)
        if not found:
            raise outcomes.bad_input(
                f"no line about {job} in these files; name the log of the "
                "entry that the caller reached"
            )
        body = {"lines": [line.text for line in found]}
        self._shared.show(body, lambda: "\n".join(body["lines"]))

    @context.command
    def status(self) -> None:
        """Print a summary of the system."""
        body = self._shared.call("OperationsService/GetStatus")
        self._shared.show(body, lambda: output.status(body))

    @context.command
    def check_settings(self, file: str) -> None:
        """Check a settings file of `jasminewindd` and print all mistakes.

        Args:
            file: File with the settings.
        """
        # Imported here, because the other commands do not need it.
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
            check_initial(initial_file)
        body = {"file": file, "role": read.ok_value.role.value}
        self._shared.show(body, lambda: f"{file}: valid, role {body['role']}")

    def _check_job_settings(self, file: str) -> None:
        """Check the settings of a process that runs jobs."""
        from _jasminewind import job_settings

        read = job_settings.parse(pathlib.Path(file).read_bytes())
        if isinstance(read, result.Err):
            raise outcomes.bad_input(f"{file}:\n{read.err_value}")
        role = read.ok_value.role.value
        body = {"file": file, "role": role}
        self._shared.show(body, lambda: f"{file}: valid, role {role}, jobs")


def check_initial(file: str) -> None:
    """Raise unless ``file`` holds a valid first configuration."""
    from _jasminewind.api import initial

    read = initial.read(pathlib.Path(file))
    if isinstance(read, result.Err):
        raise outcomes.bad_input(f"initial_config_file: {read.err_value}")


def normalized(arguments: list[str]) -> list[str]:
    """Return the arguments with a value for each switch.

    fire would take the argument after ``--json`` for its value.
    """
    return [f"{a}=true" if a in SWITCHES else a for a in arguments]


def parse(arguments: list[str]) -> object:
    """Return the plan of the command, or show help or a usage error."""
    # fire would show help in a pager, which hangs in scripts.
    fire.core.Display = show_help
    # fire would turn a name such as 1e5 into a number.
    fire.parser.DefaultParseValue = str
    return fire.Fire(
        Jasminewind,
        command=normalized(arguments),
        name="jasminewind",
        serialize=lambda found: (
            None if isinstance(found, context.Plan) else found
        ),
    )


def show_help(lines: list[str], out: typing.TextIO) -> None:
    """Print help text, with the names of commands as users type them."""
    for line in lines:
        print(COMMAND_NAME.sub(hyphenate, line), file=out)


def hyphenate(found: re.Match[str]) -> str:
    """Return a command's name with hyphens."""
    return found[0].replace("_", "-")


def main(arguments: list[str] | None = None) -> None:
    """Run the command line and exit."""
    arguments = sys.argv[1:] if arguments is None else arguments
    is_json = "--json" in arguments
    try:
        plan = parse(arguments)
        if isinstance(plan, context.Plan):
            context.run(plan)
        sys.stdout.flush()
    except outcomes.CommandError as e:
        if is_json:
            output.print_error_json({**e.body, "exitCode": int(e.exit_code)})
        else:
            output.print_error(f"jasminewind: {e.text}")
        raise SystemExit(int(e.exit_code)) from None
    except KeyboardInterrupt:
        output.print_error("jasminewind: interrupted")
        raise SystemExit(INTERRUPTED) from None
    except BrokenPipeError:
        # The reader of the output has gone, for example `head`.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        raise SystemExit(0) from None
