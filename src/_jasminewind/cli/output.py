"""Human text and JSON on stdout, and the progress line on stderr."""

import json
import sys
import time
import typing

PROGRESS_INTERVAL_S = 2.0

Body = dict[str, typing.Any]


def print_json(value: object) -> None:
    """Print one JSON value on one line."""
    print(json.dumps(value, ensure_ascii=False))


def print_error(text: str) -> None:
    """Print one line on stderr."""
    print(text, file=sys.stderr)


def print_error_json(value: object) -> None:
    """Print one JSON value on stderr."""
    print(json.dumps(value, ensure_ascii=False), file=sys.stderr)


def call_text(body: Body) -> str:
    """Return the result of a request."""
    return json.dumps(body.get("payload"), ensure_ascii=False, indent=2)


def table(headings: typing.Sequence[str], rows: list[list[str]]) -> str:
    """Return aligned columns."""
    widths = [
        max(len(row[i]) for row in [list(headings), *rows])
        for i in range(len(headings))
    ]
    lines = []
    for row in [list(headings), *rows]:
        cells = [cell.ljust(width) for cell, width in zip(row, widths)]
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)


def number(value: float) -> str:
    """Return a number without needless digits."""
    return f"{value:g}"


def amounts(found: Body) -> str:
    """Return the amounts of a resource vector that are not zero."""
    units = {
        "slots": "slots",
        "cores": "cores",
        "memoryMb": "MiB",
        "accelerators": "accelerators",
    }
    parts = [
        f"{number(found[key])} {unit}"
        for key, unit in units.items()
        if found.get(key)
    ]
    return ", ".join(parts) or "-"


def outputs(body: Body) -> str:
    """Return the outputs of a complete job."""
    rows = [
        [
            output["name"],
            output.get("endpoint", ""),
            f"{output.get('runS', 0):.3f}",
            json.dumps(output.get("payload"), ensure_ascii=False),
        ]
        for output in body.get("outputs", ())
    ]
    return table(("TASK", "ENDPOINT", "RUN_S", "RESULT"), rows)


def endpoints(found: list[Body]) -> str:
    """Return a table of workers or minions."""
    rows = [
        [
            e["name"],
            e.get("service") or "-",
            e["state"] + (" (drained)" if e.get("drained") else ""),
            e["failureDomain"],
            e["rack"],
            amounts(e.get("free", {})),
            amounts(e.get("capacity", {})),
            str(e["running"]),
            str(e["queued"]),
        ]
        for e in found
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
    return table(headings, rows)


def members(found: list[Body]) -> str:
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
        for m in found
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
    return table(headings, rows)


def teams(found: list[Body]) -> str:
    """Return a table of teams."""
    rows = [
        [
            t["name"],
            str(t.get("maxInFlight", "")),
            number(t.get("startsPerS", 0)),
            number(t.get("weight", 0)),
        ]
        for t in found
    ]
    return table(("TEAM", "MAX_IN_FLIGHT", "STARTS_PER_S", "WEIGHT"), rows)


def configuration(config: Body) -> str:
    """Return a whole configuration."""
    methods = [
        [
            service["name"],
            method["name"],
            "yes" if method.get("repeatable") else "no",
            number(method.get("expectedS", 0)),
        ]
        for service in config["services"]
        for method in service["methods"]
    ]
    parts = [
        f"version {config['version']} by {config['author'] or 'unknown'}, "
        f"{config['shardCount']} shards, {config['cellCount']} cells",
        teams(config["teams"]),
        table(("SERVICE", "METHOD", "REPEATABLE", "EXPECTED_S"), methods),
        settings("POLICY", config.get("policy", {})),
        settings("LIMIT", config.get("limits", {})),
        "drained: " + (", ".join(config["drained"]) or "none"),
    ]
    return "\n\n".join(parts)


def settings(heading: str, found: Body) -> str:
    """Return a table of names and values."""
    rows = [[name, str(value)] for name, value in found.items()]
    return table((heading, "VALUE"), rows)


def status(found: Body) -> str:
    """Return the summary of the system."""
    ready = "ready" if found["ready"] else f"not ready: {found['reason']}"
    return "\n".join(
        (
            f"entry     {ready}",
            f"config    version {found['configVersion']}",
            f"members   {found['entries']} entries, {found['agents']} agents",
            f"endpoints {found['workers']} workers, "
            f"{found['minions']} minions",
            f"tasks     {found['running']} running, "
            f"{found['queued']} queued",
            f"shards    {found['shardsOwned']} of {found['shardCount']} owned",
        )
    )


def explanation(entries: list[Body]) -> str:
    """Return the decisions on one id, one line each."""
    lines = []
    for entry in entries:
        fields = dict(entry)
        moment = fields.pop("wall_ms", None)
        head = "-"
        if isinstance(moment, int | float):
            seconds = time.strftime("%H:%M:%S", time.gmtime(moment / 1000))
            head = f"{seconds}.{int(moment) % 1000:03d}"
        kind = fields.pop("kind", "")
        fields.pop("work_id", None)
        rest = " ".join(f"{k}={v}" for k, v in fields.items())
        lines.append(f"{head}  {kind}  {rest}")
    return "\n".join(lines) or "no decisions are remembered for this id"


class Progress:
    """One line on stderr that shows how far a job is.

    On a terminal the line is rewritten; elsewhere a new line is written
    when the state changed, at most every two seconds.
    """

    def __init__(self, stream: typing.TextIO | None = None) -> None:
        self.stream = stream or sys.stderr
        self.is_terminal = self.stream.isatty()
        self.shown = ""
        self.shown_at_s = -PROGRESS_INTERVAL_S

    def show(self, body: Body) -> None:
        """Show the state in a ``GetJobResponse``."""
        text = (
            f"{body['state'].lower()}: "
            f"{body['tasksDone']} of {body['tasksTotal']} tasks done"
        )
        if text == self.shown:
            return
        now_s = time.monotonic()
        if self.is_terminal:
            self.stream.write(f"\r{text.ljust(len(self.shown))}")
        elif now_s - self.shown_at_s >= PROGRESS_INTERVAL_S:
            self.stream.write(f"{text}\n")
            self.shown_at_s = now_s
        else:
            return
        self.shown = text
        self.stream.flush()

    def end(self) -> None:
        """End the line."""
        if self.is_terminal and self.shown:
            self.stream.write("\n")
            self.stream.flush()
