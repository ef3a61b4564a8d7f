"""Registry of the message types that a frame may hold, by name.

A module of messages is imported when the first of them is received: a process
of one role uses few of them, and its start should be short.
"""

import functools
import importlib

TYPES_BY_MODULE: dict[str, tuple[str, ...]] = {
    "links": (
        "Hello",
        "HelloRefused",
        "Ping",
        "Pong",
    ),
    "membership": (
        "Join",
        "Welcome",
        "Heartbeat",
        "Beat",
        "RecordRequest",
        "Leave",
        "CellDigest",
        "DigestBeat",
        "DigestRequest",
    ),
    "ownership": (
        "PromiseRequest",
        "PromiseReply",
        "OwnerAnnounce",
        "TakeOverRequest",
        "HandOver",
        "HandOverAck",
    ),
    "work": (
        "Submit",
        "Answer",
        "Redirect",
        "Cancel",
        "QueryWork",
        "WorkStatus",
        "ExplainRequest",
        "ExplainReply",
    ),
    "tasks": (
        "StartTasks",
        "TasksRefused",
        "TaskResults",
        "ResultsAck",
        "StopTasks",
        "QueryTasks",
        "TaskStatuses",
        "LoadReport",
    ),
    "configuration": (
        "ConfigPush",
        "ConfigAck",
        "ConfigFetch",
        "ConfigBeacon",
    ),
    "runs": (
        "AgentBeat",
        "BeatEcho",
        "LoadChanged",
        "StartRuns",
        "StopRuns",
        "QueryRuns",
        "RunsEnded",
        "CancelJob",
        "JobCancelled",
    ),
}
MODULE_BY_TYPE = {
    name: module for module, names in TYPES_BY_MODULE.items() for name in names
}


@functools.cache
def message_type(name: str) -> type | None:
    """Return the message type called ``name``, ``None`` if it is unknown."""
    module = MODULE_BY_TYPE.get(name)
    if module is None:
        return None
    messages = importlib.import_module(f"_jasminewind.messages.{module}")
    found: type = getattr(messages, name)
    return found
