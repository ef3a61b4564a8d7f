"""Model of a start that an endpoint may get after a restart.

The start of one run gets no answer and may be carried out at any time, by any
life of the endpoint. A life knows nothing of an earlier one: neither the
fencing tokens that it has seen, nor the runs that were stopped there, and its
clock starts anew, so that no deadline keeps an earlier start from running.

The agent therefore raises its fencing token after the time-out of a start, and
calls each life of the endpoint, also while it uses no endpoint. A new process
of the agent does not know the tokens of the one before, and takes a higher one
from the time of birth that the first reply of a life names.

A life gets no start before the first call of the agent. This is an assumption:
it does not hold for the time between the start of a life and that call. The
reply to the call may be lost once the start has timed out; before that, and
for a new process, a lost reply extends this time to the next call.

An endpoint that was dropped is attached again only as a later life. Leases are
in the model of departures: here a lease that has expired is known
to have expired on each life.
"""

import typing

import minicheck

MUTATIONS = (
    "same_token",
    "no_call_without_endpoint",
    "token_of_earlier_life",
    "start_before_first_call",
)
LIVES = 3
PROCESSES = 2
NEVER = -1
# Tokens that follow the times of birth of successive lives.
TOKENS_PER_LIFE = 10
TOKENS_PER_PROCESS = 5


class State(typing.NamedTuple):
    """State of one task, whose first run is ordered at the agent.

    Of the current life: ``life``, ``up``, ``seen`` (its highest fencing
    token), ``stopped`` (it rejects the first run), ``late`` (the deadline of
    the start has passed on its clock), and ``called`` (by the agent).

    ``known`` is the life that the agent takes for the current one,
    ``attached`` is set while it uses it. ``start`` is the token of a start in
    the network. ``unanswered`` is set once the start has timed out,
    ``may_place`` once the entry has been told that the run has ended.
    """

    life: int = 1
    up: bool = True
    seen: int = TOKENS_PER_LIFE
    stopped: bool = False
    late: bool = False
    called: bool = True
    process: int = 1
    alive: bool = True
    token: int = TOKENS_PER_LIFE
    known: int = 1
    attached: bool = True
    sent: bool = False
    start: int = NEVER
    unanswered: bool = False
    may_place: bool = False
    first_runs: bool = False
    second_runs: bool = False


def steps_of(state: State, mutation: str) -> list:
    """Return the steps that are possible in ``state``."""
    steps = [
        *endpoint_steps(state, mutation),
        *start_steps(state, mutation),
    ]
    if state.alive:
        steps += agent_steps(state, mutation)
    else:
        steps += absence_steps(state, mutation)
    if state.may_place and not state.second_runs:
        placed = state._replace(second_runs=True)
        steps.append(("the entry places the task again", placed))
    return steps


def endpoint_steps(state: State, mutation: str) -> list:
    """Return the ends and starts of lives of the endpoint."""
    if state.up:
        ended = state._replace(up=False, first_runs=False)
        return [("the endpoint ends", ended)]
    if state.life == LIVES:
        return []
    begun = state._replace(
        life=state.life + 1,
        up=True,
        seen=0,
        stopped=False,
        late=False,
        called=False,
    )
    steps = [("a life of the endpoint begins", call(begun, mutation))]
    if state.unanswered and state.process == 1:
        lost = call(begun, mutation, has_reply=False)
        steps.append(("a life begins, and its first reply is lost", lost))
    return steps


def call(state: State, mutation: str, *, has_reply: bool = True) -> State:
    """Return the state once the agent has called the current life.

    Its reply names the time of birth.
    """
    is_watched = state.attached or mutation != "no_call_without_endpoint"
    if not state.alive or not is_watched or not state.up:
        return state
    token = state.token
    is_known = state.life == state.known or not has_reply
    if not is_known and mutation != "token_of_earlier_life":
        token = max(token + 1, token_of(state))
    return state._replace(
        token=token, seen=max(state.seen, token), called=True
    )


def token_of(state: State) -> int:
    """Return the token by the time of the current life and process."""
    later = (state.process - 1) * TOKENS_PER_PROCESS
    return state.life * TOKENS_PER_LIFE + later


def start_steps(state: State, mutation: str) -> list:
    """Return the ways in which the endpoint carries out the start."""
    if state.start == NEVER or not state.up:
        return []
    is_watched = state.attached or mutation != "no_call_without_endpoint"
    is_first = not state.called and (not state.alive or is_watched)
    if is_first and mutation != "start_before_first_call":
        return []
    gone = state._replace(start=NEVER)
    if state.start < state.seen or state.stopped or state.late:
        return [("the start is refused", gone)]
    runs = gone._replace(first_runs=True, seen=state.start)
    return [("the start is carried out", runs)]


def agent_steps(state: State, mutation: str) -> list:
    """Return the steps of the agent."""
    died = state._replace(alive=False, attached=False)
    steps = [("the agent dies", died)]
    is_current = state.up and state.life == state.known
    if not state.sent and state.attached and is_current:
        sent = state._replace(sent=True, start=state.token)
        steps.append(("the agent sends the start", sent))
    if state.sent and not state.unanswered and state.process == 1:
        token = state.token + (mutation != "same_token")
        unanswered = state._replace(unanswered=True, token=token)
        # The stop is sent at once, and may get no reply.
        called = call(unanswered, mutation, has_reply=False)
        steps.append(("the start times out", called))
    if state.unanswered and state.process == 1:
        if is_current and state.token >= state.seen:
            stopped = state._replace(
                stopped=True,
                first_runs=False,
                seen=state.token,
                may_place=True,
            )
            steps.append(("the stop is answered", stopped))
        if not state.first_runs:
            is_late = state.late or state.life == state.known
            expired = state._replace(may_place=True, late=is_late)
            steps.append(("the lease has certainly expired", expired))
    if state.attached and (state.may_place or not state.sent):
        dropped = state._replace(attached=False)
        steps.append(("the agent drops the endpoint", dropped))
    if not state.attached and state.up and state.life != state.known:
        token = max(state.token + 1, token_of(state))
        attached = state._replace(
            attached=True,
            known=state.life,
            token=token,
            seen=max(state.seen, token),
            called=True,
        )
        steps.append(("the agent attaches to the endpoint", attached))
    return steps


def absence_steps(state: State, mutation: str) -> list:
    """Return the steps while no process of the agent is alive."""
    steps = []
    if state.sent and not state.first_runs:
        is_late = state.late or state.life == state.known
        given_up = state._replace(may_place=True, late=is_late)
        steps.append(("the entry gives up the agent", given_up))
    if state.process < PROCESSES:
        # It restores the endpoint with a token that a life which has seen a
        # higher one makes it raise.
        begun = state._replace(
            process=state.process + 1, alive=True, attached=True, token=0
        )
        if begun.up and begun.seen:
            token = max(begun.seen + 1, token_of(begun))
            begun = begun._replace(token=token)
        steps.append(("a new process begins", call(begun, mutation)))
    return steps


def build(mutation: str = "") -> minicheck.Protocol:
    """Return the model without the rule named by ``mutation``."""

    def transitions(values: tuple) -> list:
        found = steps_of(State(*values), mutation)
        return [(label, tuple(after)) for label, after in found]

    return minicheck.Protocol(
        name=f"later_lives {mutation}".strip(),
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=transitions,
        invariants={
            "two runs of a task never meet": lambda v: not (
                v["first_runs"] and v["second_runs"]
            ),
        },
    )
