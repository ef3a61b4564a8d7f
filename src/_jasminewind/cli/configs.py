"""The ``config`` commands: read, change and watch the configuration."""

import getpass
import typing

from _jasminewind.cli import context
from _jasminewind.cli import outcomes
from _jasminewind.cli import output

WATCH_TIMEOUT_S = 25.0
PROPOSE_TIMEOUT_S = 15.0
OPERATIONS = (
    "setTeam",
    "removeTeam",
    "setService",
    "removeService",
    "setPolicy",
    "setLimits",
    "drain",
    "undrain",
    "replaceAll",
)

Body = dict[str, typing.Any]


def default_author() -> str:
    """Return the login name, used as the author of changes."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ""


def change_hint(change_id: str) -> str:
    """Return the hint for a change whose response was lost."""
    return (
        "the change may be applied already; run the command again with "
        f"--change-id {change_id}, which applies it only once"
    )


class ConfigCommands:
    """Read, change and watch the configuration."""

    def __init__(self, shared_context: context.Context) -> None:
        # Private, because fire exposes public attributes as commands.
        self._context = shared_context

    def _current(self) -> Body:
        """Fetch the current configuration."""
        body = self._context.call("ConfigService/GetConfig")
        return typing.cast(Body, body["config"])

    def _propose(
        self, operation: Body, change_id: str, author: str, version: str = ""
    ) -> None:
        """Propose a change and print the resulting version."""
        change_id = change_id or context.new_id()
        body = self._context.call(
            "ConfigService/ProposeChange",
            {
                "changeId": change_id,
                "expectedVersion": version or self._current()["version"],
                "author": author or default_author(),
                **operation,
            },
            timeout_s=PROPOSE_TIMEOUT_S,
            hint=change_hint(change_id),
        )
        self._context.show(
            body,
            lambda: f"change {body['changeId']} is in force as version "
            f"{body['version']}",
        )

    @context.command
    def get(self) -> None:
        """Print the current configuration."""
        config = self._current()
        self._context.show(config, lambda: output.format_config(config))

    @context.command
    def list(self) -> None:
        """Print the ids of the latest changes, newest last."""
        body = self._context.call("ConfigService/ListChanges")
        self._context.show(
            body,
            lambda: "\n".join(
                (
                    *body["changeIds"],
                    f"version {body['version']} by "
                    f"{body['author'] or 'unknown'}",
                )
            ),
        )

    @context.command
    def watch(self, *, after: str = "", count: str = "0") -> None:
        """Print each new version of the configuration.

        Args:
            after: Print versions above this one; default is the current one.
            count: Stop after this many versions; 0 means no limit.
        """
        remaining = context.parse_int("--count", count)
        version = after or self._current()["version"]
        while True:
            body = self._context.call(
                "ConfigService/WatchConfig",
                {"afterVersion": version, "timeoutS": WATCH_TIMEOUT_S},
                timeout_s=WATCH_TIMEOUT_S,
            )
            if not body["changed"]:
                continue
            config = body["config"]
            version = config["version"]
            self._context.show(config, lambda: format_version(config))
            remaining -= 1
            if remaining == 0:
                return

    @context.command
    def propose(
        self, file: str, *, change_id: str = "", author: str = ""
    ) -> None:
        """Propose the change in FILE.

        FILE holds a ProposeChangeRequest in JSON. Without expectedVersion
        the change applies to the current version. Proposing again with the
        same change id is safe: the change is applied at most once.

        Args:
            file: File with the change.
            change_id: Id of the change; default is the one in FILE, or a
                new one.
            author: Your name; default is the one in FILE, or your login.
        """
        body = context.read_json_object(file)
        operation = {k: v for k, v in body.items() if k in OPERATIONS}
        allowed = (*OPERATIONS, "changeId", "expectedVersion", "author")
        unknown = [k for k in body if k not in allowed]
        if unknown or len(operation) != 1:
            raise outcomes.bad_input(
                f"{file}: need exactly one of {', '.join(OPERATIONS)}"
                + (
                    f"; unknown fields: {', '.join(unknown)}"
                    if unknown
                    else ""
                )
            )
        self._propose(
            operation,
            change_id or body.get("changeId", ""),
            author or body.get("author", ""),
            str(body.get("expectedVersion", "")),
        )

    @context.command
    def replace(
        self, file: str, *, change_id: str = "", author: str = ""
    ) -> None:
        """Replace the whole configuration with the one in FILE.

        Args:
            file: File with a Configuration in JSON; see examples/.
            change_id: Id of the change; an id is applied at most once.
            author: Your name; default is your login.
        """
        body = context.read_json_object(file)
        self._propose({"replaceAll": body}, change_id, author)

    @context.command
    def set_team(
        self,
        name: str,
        *,
        max_in_flight: str = "",
        starts_per_s: str = "",
        weight: str = "",
        change_id: str = "",
        author: str = "",
    ) -> None:
        """Add a team, or change the given options of an existing one.

        Args:
            name: Name of the team.
            max_in_flight: Maximum number of queued and running tasks.
            starts_per_s: Maximum task starts per second.
            weight: Relative share when teams compete for capacity.
            change_id: Id of the change; an id is applied at most once.
            author: Your name; default is your login.
        """
        config = self._current()
        team: Body = {"name": name}
        for existing in config["teams"]:
            if existing["name"] == name:
                team = dict(existing)
        if max_in_flight:
            team["maxInFlight"] = context.parse_int(
                "--max-in-flight", max_in_flight
            )
        if starts_per_s:
            team["startsPerS"] = context.parse_float(
                "starts-per-s", starts_per_s
            )
        if weight:
            team["weight"] = context.parse_float("weight", weight)
        self._propose({"setTeam": team}, change_id, author, config["version"])

    @context.command
    def remove_team(
        self, name: str, *, change_id: str = "", author: str = ""
    ) -> None:
        """Remove a team; its accepted work still completes.

        Args:
            name: Name of the team.
            change_id: Id of the change; an id is applied at most once.
            author: Your name; default is your login.
        """
        self._propose({"removeTeam": name}, change_id, author)

    @context.command
    def set_service(
        self, file: str, *, change_id: str = "", author: str = ""
    ) -> None:
        """Add or replace the service in FILE.

        Args:
            file: File with a Service in JSON: a name and its methods.
            change_id: Id of the change; an id is applied at most once.
            author: Your name; default is your login.
        """
        body = context.read_json_object(file)
        self._propose({"setService": body}, change_id, author)

    @context.command
    def remove_service(
        self, name: str, *, change_id: str = "", author: str = ""
    ) -> None:
        """Remove a service; its accepted work still completes.

        Args:
            name: Name of the service.
            change_id: Id of the change; an id is applied at most once.
            author: Your name; default is your login.
        """
        self._propose({"removeService": name}, change_id, author)

    @context.command
    def set_policy(
        self,
        *,
        routing: str = "",
        long_task_s: str = "",
        reserved_share: str = "",
        retry_budget: str = "",
        shed_by_deadline: str = "",
        fair_share: str = "",
        separate_long_work: str = "",
        change_id: str = "",
        author: str = "",
    ) -> None:
        """Change the given options of the scheduling policy.

        Args:
            routing: expected_completion, random, round_robin or
                least_outstanding.
            long_task_s: Expected seconds above which work counts as long.
            reserved_share: Share of an endpoint that long work may not use.
            retry_budget: Retries allowed per successful task.
            shed_by_deadline: Refuse work that would miss its deadline.
            fair_share: Share capacity between teams by weight.
            separate_long_work: Keep long work off the reserved share.
            change_id: Id of the change; an id is applied at most once.
            author: Your name; default is your login.
        """
        config = self._current()
        policy = dict(config["policy"])
        if routing:
            policy["routing"] = routing
        numbers = {
            "longTaskS": ("long-task-s", long_task_s),
            "reservedShare": ("reserved-share", reserved_share),
            "retryBudget": ("retry-budget", retry_budget),
        }
        for field, (option, text) in numbers.items():
            if text:
                policy[field] = context.parse_float(option, text)
        booleans = {
            "shedByDeadline": ("shed-by-deadline", shed_by_deadline),
            "fairShare": ("fair-share", fair_share),
            "separateLongWork": ("separate-long-work", separate_long_work),
        }
        for field, (option, text) in booleans.items():
            if text:
                policy[field] = context.parse_bool(option, text)
        self._propose(
            {"setPolicy": policy}, change_id, author, config["version"]
        )

    @context.command
    def set_limits(
        self,
        *,
        max_tasks: str = "",
        max_deadline_s: str = "",
        max_body_bytes: str = "",
        max_queued: str = "",
        change_id: str = "",
        author: str = "",
    ) -> None:
        """Change the given limits.

        Args:
            max_tasks: Maximum number of tasks per job, up to 110.
            max_deadline_s: Maximum deadline in seconds.
            max_body_bytes: Maximum size of a request body.
            max_queued: Maximum number of tasks queued at one coordinator.
            change_id: Id of the change; an id is applied at most once.
            author: Your name; default is your login.
        """
        config = self._current()
        limits = dict(config["limits"])
        given = {
            "maxTasks": ("--max-tasks", max_tasks),
            "maxBodyBytes": ("--max-body-bytes", max_body_bytes),
            "maxQueued": ("--max-queued", max_queued),
        }
        for field, (option, text) in given.items():
            if text:
                limits[field] = context.parse_int(option, text)
        if max_deadline_s:
            limits["maxDeadlineS"] = context.parse_float(
                "max-deadline-s", max_deadline_s
            )
        self._propose(
            {"setLimits": limits}, change_id, author, config["version"]
        )


def format_version(config: Body) -> str:
    """Return a one-line summary of a configuration version."""
    return (
        f"version {config['version']} by {config['author'] or 'unknown'}: "
        f"{len(config['teams'])} teams, {len(config['services'])} services, "
        f"{len(config['drained'])} drained"
    )
