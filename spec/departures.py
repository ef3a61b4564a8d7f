"""Model of one run whose endpoint leaves, or whose agent is replaced.

An agent reports a run as ended only on proof: its endpoint lists the end, or
does not list the run after a start or a stop was answered, or the lease has
certainly expired. A notice of the endpoint that it leaves, silence, and a
reply of another incarnation only make the agent stop the run and let the
lease expire.

A new process of the agent accepts work once every lease that a predecessor can
have extended has expired, whatever its own endpoint lists: the predecessor may
have used another one. It waits for no lease if it registers the agent for the
first time; a process therefore starts runs only once the agent is registered.

The entry, which lives on, places the task again after the agent's report,
after a new process accepts work, or after a time without heartbeats. Time
passes in steps of about a third of a second; the drift of clocks is a part of
the lease. A lost report only delays the entry, so that reports are not lost.
"""

import enum
import typing

import minicheck

MUTATIONS = (
    "notice_is_end",
    "silence_is_end",
    "successor_is_end",
    "unconfirmed_absence",
    "early_acceptance",
    "short_wait",
    "unregistered_start",
    "short_timeout",
    "skipped_renewal",
)
# Steps that a grant and a lease last, and after which an entry gives up the
# runs of an agent that sends no heartbeats.
GRANT = 2
LEASE = 2
TIMEOUT = GRANT + LEASE
# Processes of the agent, one after another.
PROCESSES = 3
NEVER = -1


class Doubt(enum.IntEnum):
    """Why the first process no longer uses the endpoint.

    It is ``SILENT`` until it announces itself again.
    """

    NONE = 0
    SILENT = 1
    GONE = 2


class State(typing.NamedTuple):
    """State of one task, whose first run is ordered at the agent.

    ``exists`` is set until the first endpoint has ended. ``lease`` is the
    time that its lease lasts, ``sent_lease`` that of the newest deadline sent
    to it, and ``start`` the time left to a start in the network. ``arrived``
    is set when the run has begun, ``answered`` when the agent knows that no
    start can take effect any more. ``grant`` is the age of the newest
    acknowledged heartbeat, ``silence`` that of the newest received one.
    ``age`` is that of a later process, ``registered`` is set once a process
    has registered the agent.
    ``may_place`` is set when the entry has been told that the run has ended,
    ``disturbed`` when there was a reason for an end.
    """

    exists: bool = True
    lease: int = 0
    sent_lease: int = 0
    start: int = NEVER
    started: bool = False
    arrived: bool = False
    answered: bool = False
    doubt: int = Doubt.NONE
    grant: int = 0
    silence: int = 0
    process: int = 1
    alive: bool = True
    age: int = 0
    registered: bool = False
    may_place: bool = False
    first_runs: bool = False
    second_runs: bool = False
    disturbed: bool = False
    needless_end: bool = False


def steps_of(state: State, mutation: str) -> list:
    """Return the steps that are possible in ``state``."""
    is_over = state.started and not state.first_runs and state.start == NEVER
    if state.second_runs and is_over:
        return []
    steps = [
        *time_steps(state, mutation),
        *endpoint_steps(state, mutation),
        *entry_steps(state, mutation),
    ]
    if not state.alive:
        if state.process < PROCESSES:
            steps.append(("a new process of the agent begins", begin(state)))
        return steps
    died = state._replace(
        alive=False, doubt=Doubt.NONE, answered=False, disturbed=True
    )
    steps.append(("the agent dies", died._replace(grant=GRANT + 1)))
    if state.process == 1:
        return steps + first_process_steps(state, mutation)
    return steps + later_process_steps(state, mutation)


def begin(state: State) -> State:
    """Return the state once a later process has begun."""
    return state._replace(process=state.process + 1, alive=True, age=0)


def time_steps(state: State, mutation: str) -> list:
    """Return the ways in which one step of time passes."""
    later = state._replace(
        sent_lease=max(state.sent_lease - 1, 0),
        lease=max(state.lease - 1, 0),
        start=NEVER if state.start <= 1 else state.start - 1,
        grant=min(state.grant + 1, GRANT + 1),
        silence=min(state.silence + 1, TIMEOUT),
        age=min(state.age + 1, LEASE) if state.process > 1 else 0,
    )
    if not state.alive or state.process > 1:
        return [("time passes", lapsed(later))]
    lost = later._replace(disturbed=True)
    paused = ("the agent is paused", lapsed(lost))
    # An expired grant is final for the run, which is being stopped.
    grant = 0 if later.grant <= GRANT else later.grant
    received = later._replace(grant=grant, silence=0)
    return [paused] + [
        step
        for label, each in (
            ("heartbeat is acknowledged", received),
            ("acknowledgement is lost", lost._replace(silence=0)),
            ("heartbeat is lost", lost),
        )
        for step in renewal_steps(label, each, mutation)
    ]


def may_use(state: State) -> bool:
    """Tell whether the first process may start a run or renew the lease."""
    return state.doubt == Doubt.NONE and state.grant <= GRANT


def renewal_steps(label: str, state: State, mutation: str) -> list:
    """Let the first process renew the lease; the renewal may be lost."""
    is_skipped = mutation == "skipped_renewal"
    if not state.started or not may_use(state) or is_skipped:
        return [(label, lapsed(state))]
    sent = state._replace(sent_lease=LEASE)
    lost = sent._replace(disturbed=True)
    return [
        (label, sent._replace(lease=LEASE)),
        (f"{label}, and the renewal is lost", lapsed(lost)),
    ]


def lapsed(state: State) -> State:
    """Return the state once an expired lease has ended the run."""
    if state.lease or not state.first_runs:
        return state
    return state._replace(
        first_runs=False,
        needless_end=state.needless_end or not state.disturbed,
    )


def endpoint_steps(state: State, mutation: str) -> list:
    """Return the steps of the first endpoint and of calls to it."""
    if not state.exists:
        return []
    ended = state._replace(
        exists=False, first_runs=False, start=NEVER, disturbed=True
    )
    steps = [("the endpoint ends", ended)]
    if state.first_runs:
        steps.append(("the run ends", state._replace(first_runs=False)))
        if state.lease < state.sent_lease:
            late = state._replace(lease=state.sent_lease)
            steps.append(("a late renewal takes effect", late))
    if state.start != NEVER:
        runs = state._replace(
            first_runs=True,
            arrived=True,
            lease=max(state.lease, state.start),
            start=NEVER,
        )
        is_first = state.alive and state.process == 1
        steps.append(("the start arrives", runs._replace(answered=is_first)))
        unanswered = runs._replace(disturbed=True)
        steps.append(("the start arrives, unanswered", unanswered))
        lost = state._replace(start=NEVER, disturbed=True)
        steps.append(("the start is lost", lost))
    if state.alive and state.process == 1:
        steps += doubt_steps(state, mutation)
    return steps


def doubt_steps(state: State, mutation: str) -> list:
    """Return what makes the first process doubt its endpoint."""
    doubted = state._replace(disturbed=True)
    gone = doubted._replace(doubt=Doubt.GONE)
    left = gone
    replaced = gone
    silent = doubted._replace(doubt=max(state.doubt, Doubt.SILENT))
    if mutation == "notice_is_end":
        left = left._replace(may_place=True)
    if mutation == "successor_is_end":
        replaced = replaced._replace(may_place=True)
    if mutation == "silence_is_end":
        silent = silent._replace(may_place=True)
    steps = [
        ("the endpoint announces that it leaves", left),
        ("another incarnation replies", replaced),
        ("the endpoint is silent", silent),
    ]
    if state.doubt == Doubt.SILENT:
        known = state._replace(doubt=Doubt.NONE)
        steps.append(("the endpoint announces itself again", known))
    return steps


def first_process_steps(state: State, mutation: str) -> list:
    """Return the starts, stops and reports of the first process."""
    steps = []
    if not state.registered:
        registered = state._replace(registered=True)
        steps.append(("the agent is registered", registered))
    if not state.started:
        is_allowed = state.registered or mutation == "unregistered_start"
        if may_use(state) and is_allowed:
            sent = state._replace(started=True, start=LEASE, sent_lease=LEASE)
            steps.append(("the agent sends the start", sent))
        if not may_use(state):
            refused = state._replace(started=True, may_place=True)
            steps.append(("the agent refuses the run", refused))
        return steps
    if state.exists and not (may_use(state) and state.answered):
        stopped = state._replace(
            first_runs=False, start=NEVER, answered=True, disturbed=True
        )
        steps.append(("a stop is answered", stopped))
    reported = state._replace(may_place=True)
    if state.exists and not state.first_runs:
        if state.arrived:
            steps.append(("the endpoint lists the end", reported))
        if state.answered or mutation == "unconfirmed_absence":
            steps.append(("the endpoint does not list the run", reported))
    if not state.sent_lease:
        steps.append(("the lease has certainly expired", reported))
    return steps


def later_process_steps(state: State, mutation: str) -> list:
    """Return the steps of a process that replaces an earlier one."""
    accepting = state._replace(may_place=True, registered=True)
    wait = LEASE - 1 if mutation == "short_wait" else LEASE
    if state.age >= wait:
        return [("the process accepts after the leases", accepting)]
    if not state.registered:
        return [("the process registers the agent and accepts", accepting)]
    if mutation == "early_acceptance":
        return [("the process accepts, no unknown run listed", accepting)]
    return []


def entry_steps(state: State, mutation: str) -> list:
    """Return the step by which the entry places the task again."""
    limit = TIMEOUT - 1 if mutation == "short_timeout" else TIMEOUT
    if state.second_runs or not (state.may_place or state.silence >= limit):
        return []
    placed = state._replace(second_runs=True)
    return [("the entry places the task again", placed)]


def build(mutation: str = "") -> minicheck.Protocol:
    """Return the model without the rule named by ``mutation``."""

    def transitions(values: tuple) -> list:
        found = steps_of(State(*values), mutation)
        return [(label, tuple(after)) for label, after in found]

    return minicheck.Protocol(
        name=f"departures {mutation}".strip(),
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=transitions,
        invariants={
            "two runs of a task never meet": lambda v: not (
                v["first_runs"] and v["second_runs"]
            ),
            "no run ends without a reason": lambda v: not v["needless_end"],
        },
    )
