"""Text and JSON output on stdout; errors and job progress on stderr."""

import json
import sys
import time
import typing

PROGRESS_INTERVAL_S = 2.0

Body = dict[str, typing.Any]


def print_json(value: object) -> None:
    """Print a JSON value on one line of stdout."""
    print(json.dumps(value, ensure_ascii=False))


def print_error(text: str) -> None:
    """Print a line on stderr."""
    print(text, file=sys.stderr)


def print_error_json(value: object) -> None:
    """Print a JSON value on one line of stderr."""
    print(json.dumps(value, ensure_ascii=False), file=sys.stderr)


def format_result(body: Body) -> str:
    """Return the result of a request as indented JSON."""
    return json.dumps(body.get("payload"), ensure_ascii=False, indent=2)


def format_table(headings: typing.Sequence[str], rows: list[list[str]]) -> str:
    """Return a table with aligned columns."""
    widths = [
        max(len(row[i]) for row in [list(headings), *rows])
        for i in range(len(headings))
    ]
    lines = []
    for row in [list(headings), *rows]:
        cells = [cell.ljust(width) for cell, width in zip(row, widths)]
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)


def format_number(value: float) -> str:
    """Return a number without trailing zeros."""
    return f"{value:g}"


def format_resources(resources: Body) -> str:
    """Return the non-zero amounts of a resource vector."""
    units = {
        "slots": "slots",
        "cores": "cores",
        "memoryMb": "MiB",
        "accelerators": "accelerators",
    }
    parts = [
        f"{format_number(resources[key])} {unit}"
        for key, unit in units.items()
        if resources.get(key)
    ]
    return ", ".join(parts) or "-"


def format_outputs(body: Body) -> str:
    """Return a table of the outputs of a complete job."""
    rows = [
        [
            output["name"],
            output.get("endpoint", ""),
            f"{output.get('runS', 0):.3f}",
            json.dumps(output.get("payload"), ensure_ascii=False),
        ]
        for output in body.get("outputs", ())
    ]
    return format_table(("TASK", "ENDPOINT", "RUN_S", "RESULT"), rows)


def format_endpoints(endpoints: list[Body]) -> str:
    """Return a table of workers or minions."""
    rows = [
        [
            e["name"],
            e.get("service") or "-",
            e["state"] + (" (drained)" if e.get("drained") else ""),
            e["failureDomain"],
            e["rack"],
            format_resources(e.get("free", {})),
            format_resources(e.get("capacity", {})),
            str(e["running"]),
            str(e["queued"]),
        ]
        for e in endpoints
    ]
    headings = (
        "NAME",
        "SERVICE",
        "STATE",
        "DOMAIN",
        "RACK",
        "FREE",
        "CAPACITY",
        "RUNNING",
        "QUEUED",
    )
    return format_table(headings, rows)


def format_members(members: list[Body]) -> str:
    """Return a table of members."""
    rows = [
        [
            m["name"],
            m["role"],
            m["state"],
            m["address"],
            m["region"],
            m["failureDomain"],
            m["rack"],
            ",".join(str(s) for s in m["shards"]) or "-",
            m["configVersion"],
        ]
        for m in members
    ]
    headings = (
        "NAME",
        "ROLE",
        "STATE",
        "ADDRESS",
        "REGION",
        "DOMAIN",
        "RACK",
        "SHARDS",
        "CONFIG",
    )
    return format_table(headings, rows)


def format_teams(teams: list[Body]) -> str:
    """Return a table of teams."""
    rows = [
        [
            t["name"],
            str(t.get("maxInFlight", "")),
            format_number(t.get("startsPerS", 0)),
            format_number(t.get("weight", 0)),
        ]
        for t in teams
    ]
    return format_table(
        ("TEAM", "MAX_IN_FLIGHT", "STARTS_PER_S", "WEIGHT"), rows
    )


def format_config(config: Body) -> str:
    """Return a configuration as several tables."""
    methods = [
        [
            service["name"],
            method["name"],
            "yes" if method.get("repeatable") else "no",
            format_number(method.get("expectedS", 0)),
        ]
        for service in config["services"]
        for method in service["methods"]
    ]
    parts = [
        f"version {config['version']} by {config['author'] or 'unknown'}, "
        f"{config['shardCount']} shards, {config['cellCount']} cells",
        format_teams(config["teams"]),
        format_table(
            ("SERVICE", "METHOD", "REPEATABLE", "EXPECTED_S"), methods
        ),
        format_settings("POLICY", config.get("policy", {})),
        format_settings("LIMIT", config.get("limits", {})),
        "drained: " + (", ".join(config["drained"]) or "none"),
    ]
    return "\n\n".join(parts)


def format_settings(heading: str, values: Body) -> str:
    """Return a table of setting names and values."""
    rows = [[name, str(value)] for name, value in values.items()]
    return format_table((heading, "VALUE"), rows)


def format_status(status: Body) -> str:
    """Return the status of an entry and a summary of the system."""
    ready = "ready" if status["ready"] else f"not ready: {status['reason']}"
    return "\n".join(
        (
            f"entry     {ready}",
            f"config    version {status['configVersion']}",
            f"members   {status['entries']} entries, "
            f"{status['agents']} agents",
            f"endpoints {status['workers']} workers, "
            f"{status['minions']} minions",
            f"tasks     {status['running']} running, "
            f"{status['queued']} queued",
            f"shards    {status['shardsOwned']} of "
            f"{status['shardCount']} owned",
        )
    )


def format_decisions(decisions: list[Body]) -> str:
    """Return one line for each decision on a job or request."""
    lines = []
    for decision in decisions:
        fields = dict(decision)
        wall_ms = fields.pop("wall_ms", None)
        time_text = "-"
        if isinstance(wall_ms, int | float):
            seconds = time.strftime("%H:%M:%S", time.gmtime(wall_ms / 1000))
            time_text = f"{seconds}.{int(wall_ms) % 1000:03d}"
        kind = fields.pop("kind", "")
        fields.pop("work_id", None)
        details = " ".join(f"{k}={v}" for k, v in fields.items())
        lines.append(f"{time_text}  {kind}  {details}")
    return "\n".join(lines) or "no recent decisions on this id"


class Progress:
    """Progress line of a job on stderr.

    On a terminal the line is overwritten; elsewhere a new line is written
    when the progress changes, at most every `PROGRESS_INTERVAL_S`.
    """

    def __init__(self, stream: typing.TextIO | None = None) -> None:
        self.stream = stream or sys.stderr
        self.is_terminal = self.stream.isatty()
        self.last_text = ""
        self.last_shown_s = -PROGRESS_INTERVAL_S

    def show(self, body: Body) -> None:
        """Show the progress in a ``GetJobResponse``."""
        text = (
            f"{body['state'].lower()}: "
            f"{body['tasksDone']} of {body['tasksTotal']} tasks done"
        )
        if text == self.last_text:
            return
        now_s = time.monotonic()
        if self.is_terminal:
            self.stream.write(f"\r{text.ljust(len(self.last_text))}")
        elif now_s - self.last_shown_s >= PROGRESS_INTERVAL_S:
            self.stream.write(f"{text}\n")
            self.last_shown_s = now_s
        else:
            return
        self.last_text = text
        self.stream.flush()

    def end(self) -> None:
        """Write a line break after the last progress on a terminal."""
        if self.is_terminal and self.last_text:
            self.stream.write("\n")
            self.stream.flush()
