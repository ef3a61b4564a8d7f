"""Model of one task on the users' platform: grants, leases, resubmission.

An entry orders a run under a heartbeat of an agent. The agent renews the
lease of its endpoint while the entry acknowledges heartbeats. When the entry
dies or is paused, or the caller's connection breaks, the caller submits the
job to a second entry, which runs the task elsewhere. An entry that has lost
its caller has the run stopped; the stop may be lost with its link, so whatever
extends the grant repeats it. The agent may stop serving the entry at any time,
and may let a run wait before it starts it. Time passes in steps of about a
third of a second.
"""

import enum
import typing

import minicheck

MUTATIONS = (
    "expired_grant",
    "renew_orphan",
    "woken_entry",
    "release_silences",
    "stale_queue",
    "bare_acknowledgement",
    "bare_order",
)
# Steps that a grant, a lease and the delay of a resubmission last.
GRANT = 2
LEASE = 2
RESUBMIT = GRANT + LEASE + 1
NEVER = -1


class Entry(enum.IntEnum):
    """State of the first entry.

    A ``WOKEN`` entry has not noticed yet that its caller has left. A
    ``STOPPING`` one has, and lives on.
    """

    WORKING = 0
    PAUSED = 1
    WOKEN = 2
    ENDED = 3
    STOPPING = 4


class State(typing.NamedTuple):
    """State of one task.

    ``away`` counts the steps since the caller left the first entry. ``grant``
    is the age of the newest heartbeat that the entry has acknowledged,
    ``beat`` that of the newest one it received, and ``order`` that of the one
    named by an order in the network. ``lost`` is set when a message was lost
    or late, ``needless_stop`` when a run was stopped although none was.
    """

    entry: int = Entry.WORKING
    away: int = NEVER
    grant: int = 0
    beat: int = 0
    order: int = NEVER
    ordered: bool = False
    released: bool = False
    agent: bool = True
    lease: int = 0
    queued: bool = False
    first_runs: bool = False
    second_runs: bool = False
    lost: bool = False
    needless_stop: bool = False


def older(age: int, limit: int) -> int:
    """Return an age one step later."""
    return age if age == NEVER else min(age + 1, limit)


def steps_of(state: State, mutation: str) -> list:
    """Return the steps that are possible in ``state``."""
    return [
        *time_steps(state, mutation),
        *entry_steps(state, mutation),
        *agent_steps(state, mutation),
    ]


def time_steps(state: State, mutation: str) -> list:
    """Return the ways in which one step of time passes."""
    later = state._replace(
        away=older(state.away, RESUBMIT),
        grant=older(state.grant, GRANT + 1),
        beat=older(state.beat, GRANT + 1),
        order=older(state.order, GRANT + 1),
        lost=state.lost or state.order != NEVER,
    )
    has_runs = state.first_runs or state.queued
    has_runs = has_runs and mutation != "release_silences"
    sends = state.agent and (not state.released or has_runs)
    if not sends or state.entry not in (Entry.WORKING, Entry.STOPPING):
        return [("time passes", supervise(later, mutation))]
    received = later._replace(beat=0)
    acknowledged = received._replace(grant=0)
    if state.entry == Entry.STOPPING and mutation != "bare_acknowledgement":
        acknowledged = stopped(acknowledged)
    return [
        ("heartbeat is acknowledged", supervise(acknowledged, mutation)),
        (
            "acknowledgement is lost",
            supervise(received._replace(lost=True), mutation),
        ),
        (
            "heartbeat is lost",
            supervise(later._replace(lost=True), mutation),
        ),
    ]


def stopped(state: State) -> State:
    """Return the state once a stop has reached the agent.

    An order that has not arrived will be refused.
    """
    return state._replace(first_runs=False, queued=False, order=NEVER)


def supervise(state: State, mutation: str) -> State:
    """Let the agent renew the lease or stop the run, and the lease expire."""
    if not state.first_runs:
        return state
    is_granted = state.grant <= GRANT or mutation == "renew_orphan"
    if state.agent and is_granted:
        return state._replace(lease=LEASE)
    is_needless = (
        state.agent and state.entry == Entry.WORKING and not state.lost
    )
    # The stop may be lost, so that only the lease ends the run.
    lease = state.lease - 1
    return state._replace(
        lease=lease,
        first_runs=lease > 0,
        needless_stop=state.needless_stop or is_needless,
    )


def entry_steps(state: State, mutation: str) -> list:
    """Return the steps of the entries and the caller."""
    steps = []
    ordered = state._replace(order=state.beat, ordered=True)
    if state.entry == Entry.WORKING:
        if not state.ordered and state.beat < GRANT:
            steps.append(("the entry orders a run", ordered))
        steps.append(
            ("the entry dies", state._replace(entry=Entry.ENDED, away=0))
        )
        steps.append(
            ("the entry is paused", state._replace(entry=Entry.PAUSED))
        )
        left = state._replace(entry=Entry.STOPPING, away=0)
        steps.append(("the caller leaves, and the stop is lost", left))
        if state.agent:
            steps.append(
                ("the caller leaves, and the run stops", stopped(left))
            )
    if state.entry == Entry.PAUSED:
        fresh = state.agent and not state.released
        woken = state._replace(beat=0 if fresh else state.beat)
        if state.away == NEVER:
            steps.append(("the caller leaves", state._replace(away=0)))
            woken = woken._replace(entry=Entry.WORKING, lost=True)
        else:
            woken = woken._replace(entry=Entry.WOKEN)
        steps.append(("the entry wakes", woken))
    if state.entry == Entry.WOKEN:
        steps.append(
            (
                "the entry notices that its caller left",
                state._replace(entry=Entry.ENDED),
            )
        )
        if mutation == "woken_entry" and not state.ordered:
            steps.append(("the woken entry orders a run", ordered))
    if state.away == RESUBMIT and not state.second_runs:
        steps.append(
            (
                "the second entry starts the task",
                state._replace(second_runs=True),
            )
        )
    return steps


def agent_steps(state: State, mutation: str) -> list:
    """Return the steps of the agent."""
    if not state.agent:
        return []
    steps = [("the agent dies", state._replace(agent=False))]
    if not state.released:
        released = state._replace(released=True)
        steps.append(("the agent releases the entry", released))
    if state.queued and (state.grant <= GRANT or mutation == "stale_queue"):
        # Otherwise the agent refuses the run, now or once it is not paused.
        started = state._replace(queued=False, first_runs=True, lease=LEASE)
        steps.append(("the queued run starts", started))
    if state.entry in (Entry.WORKING, Entry.STOPPING) and state.beat <= GRANT:
        granted = state._replace(grant=min(state.grant, state.beat))
        if state.entry == Entry.STOPPING and mutation != "bare_order":
            granted = stopped(granted)
        steps.append(("an order of another job arrives", granted))
    if state.order == NEVER:
        return steps
    arrived = state._replace(order=NEVER)
    if state.order <= GRANT or mutation == "expired_grant":
        granted = arrived._replace(grant=min(state.grant, state.order))
        arrived = granted._replace(first_runs=True, lease=LEASE)
        queued = granted._replace(queued=True)
        steps.append(("the order arrives and waits", queued))
    steps.append(("the order arrives", arrived))
    return steps


def build(mutation: str = "") -> minicheck.Protocol:
    """Return the model without the rule named by ``mutation``."""

    def transitions(values: tuple) -> list:
        found = steps_of(State(*values), mutation)
        return [(label, tuple(after)) for label, after in found]

    return minicheck.Protocol(
        name=f"grants {mutation}".strip(),
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=transitions,
        invariants={
            "two runs of a task never meet": lambda v: not (
                v["first_runs"] and v["second_runs"]
            ),
            "no run is stopped without a reason": lambda v: not v[
                "needless_stop"
            ],
        },
    )
