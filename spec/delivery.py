"""Model of the messages for one job between two entries and two agents.

Each message may be lost, doubled and overtaken: one that was sent stays in
the network and may arrive any number of times. A process of an agent and one
of an entry may be replaced. The caller may lose its connection, return to
either entry, and cancel the job at either entry. The job has one task.

There is no clock. Only the return of the caller takes time: by then each
grant has expired that was not extended after the caller had left, and so have
the orders and leases under it (``spec/grants.py``). An entry notices at once
that its caller has left.

Without a clock, a message that is lost is one that never arrives, and a new
link only delays orders. Both are steps of their own in the lossy model, which
asks whether what waits for a message recovers once faults have ended.

Agents are alike until the first order, and entries until the job is submitted.
The first order therefore goes to the first agent, and the first submission to
the first entry.
"""

import enum
import functools
import typing

import minicheck

MUTATIONS = (
    "stop_not_repeated",
    "report_of_successor",
    "acknowledgement_counted_twice",
    "stop_of_other_owner",
    "start_after_stop",
    "start_after_end",
    "order_before_end",
    "forgotten_cancellation",
)
# Mutations after which a fault has an effect for good, and the lossy model
# that shows it.
LIVENESS_MUTATIONS = {
    "lost_batch_blocks": "agents",
    "no_query": "agents",
    "cancellation_not_repeated": "entries",
}
ENTRIES = (0, 1)
AGENTS = (0, 1)
NOBODY = -1


class Phase(enum.IntEnum):
    """What happens to a run at the process that it was ordered from.

    The agent does not know one that is ``NEW`` or, once the order has expired
    on its way, ``EXPIRED``. An ``ORPHAN`` has lost the process that knew it,
    but still has a lease.
    """

    NEW = 0
    RUNNING = 1
    ENDED = 2
    REFUSED = 3
    ORPHAN = 4
    GONE = 5
    EXPIRED = 6


UNKNOWN_TO_AGENT = (Phase.NEW, Phase.EXPIRED)


class Run(typing.NamedTuple):
    """A run, the messages about it, and what its owner knows.

    ``owner`` is the process of the entry, ``process`` that of the agent.
    ``start``, ``stop``, ``report`` and ``ack`` are messages in the network:
    the order, the request to stop it, the report of its end and the
    acknowledgement of its batch. ``received`` is set when the order has
    arrived, ``awaits_ack`` while the batch counts as unacknowledged, and
    ``extended`` when the grant was extended although the run is unwanted.
    """

    number: int
    owner: int
    agent: int
    process: int
    phase: int = Phase.NEW
    start: bool = True
    stop: bool = False
    report: bool = False
    ack: bool = False
    received: bool = False
    awaits_ack: bool = True
    extended: bool = False


NO_RUN = Run(
    number=0,
    owner=NOBODY,
    agent=0,
    process=NOBODY,
    phase=Phase.GONE,
    start=False,
    awaits_ack=False,
)


class Entry(typing.NamedTuple):
    """An entry; ``run`` is the index of the run whose end is unknown.

    ``number`` is that of the last run. ``unwanted`` is set while the run is to
    be stopped, ``has_confirmed`` when the entry must not start the job any
    more. ``queries`` tells for each agent whether its runs have to be queried.
    """

    process: int = 0
    has_job: bool = False
    number: int = 0
    run: int = NOBODY
    unwanted: bool = False
    cancelled: bool = False
    has_confirmed: bool = False
    queries: tuple[bool, ...] = (False, False)


class State(typing.NamedTuple):
    """State of one job.

    Agents are pairs of the process and whether it accepts work. ``caller`` is
    the entry that the caller is connected to, ``canceller`` the one where it
    cancelled the job. ``cancel`` and ``confirm`` are the messages between the
    entries. ``links``, ``agent_deaths``, ``entry_deaths``, ``returns`` and
    ``orders`` count what may still happen. The last three fields are set when
    a rule has been broken.
    """

    entries: tuple[Entry, ...] = (Entry(has_job=True), Entry())
    agents: tuple[tuple[int, bool], ...] = ((0, True), (0, True))
    runs: tuple[tuple[Run, ...], ...] = ((), ())
    caller: int = 0
    returns: int = 1
    canceller: int = NOBODY
    may_cancel: bool = True
    cancel: bool = False
    confirm: bool = False
    is_confirmed: bool = False
    links: int = 0
    agent_deaths: int = 1
    entry_deaths: int = 1
    orders: tuple[int, ...] = (2, 1)
    is_lossy: bool = False
    is_calm: bool = False
    false_ack: bool = False
    late_order: bool = False
    needless_stop: bool = False


def replace_at(values: tuple, index: int, value: object) -> tuple:
    """Return ``values`` with the element at ``index`` replaced."""
    return (*values[:index], value, *values[index + 1 :])


def with_entry(state: State, entry: int, **changes: object) -> State:
    """Return the state with an entry changed."""
    changed = state.entries[entry]._replace(**changes)
    return state._replace(entries=replace_at(state.entries, entry, changed))


def with_run(state: State, entry: int, index: int, run: Run) -> State:
    """Return the state with a run of an entry changed."""
    of_entry = replace_at(state.runs[entry], index, run)
    return state._replace(runs=replace_at(state.runs, entry, of_entry))


def may_lose(state: State) -> bool:
    """Tell whether the loss of a message is a step of its own."""
    return state.is_lossy and not state.is_calm


def is_reachable(state: State, run: Run) -> bool:
    """Tell whether the process that a run was ordered from is alive."""
    return state.agents[run.agent][0] == run.process


def other_run(state: State, entry: int, run: Run) -> Run | None:
    """Return the run of another owner that has the same key at an agent."""
    for number, of_entry in enumerate(state.runs):
        for each in of_entry:
            is_same = (each.agent, each.process, each.number) == (
                run.agent,
                run.process,
                run.number,
            )
            is_other = (number, each.owner) != (entry, run.owner)
            is_known = each.phase not in UNKNOWN_TO_AGENT
            if is_same and is_other and is_known:
                return each
    return None


# Agents


def stopped(state: State, entry: int, run: Run, mutation: str) -> Run:
    """Return a run once its agent has handled a stop of it."""
    if run.phase == Phase.RUNNING:
        return run._replace(phase=Phase.ENDED, report=True)
    return absent(state, entry, run, mutation)


def absent(state: State, entry: int, run: Run, mutation: str) -> Run:
    """Return a run once its agent was asked for it and does not run it."""
    if run.phase not in UNKNOWN_TO_AGENT:
        return run._replace(report=True)
    other = other_run(state, entry, run)
    if other is not None and other.phase == Phase.RUNNING:
        return run
    is_recorded = mutation != "start_after_stop"
    phase = Phase.REFUSED if is_recorded else run.phase
    return run._replace(phase=phase, report=True)


def started(state: State, entry: int, run: Run, mutation: str) -> Run:
    """Return a run once its agent has received the order."""
    after = run._replace(received=True, ack=True)
    is_new = run.phase == Phase.NEW
    if run.phase == Phase.ENDED and mutation == "start_after_end":
        is_new = True
    if is_new and other_run(state, entry, run) is None:
        return after._replace(phase=Phase.RUNNING)
    if run.phase == Phase.RUNNING:
        return after
    phase = Phase.REFUSED if is_new else run.phase
    return after._replace(phase=phase, report=True)


def replace_agent(state: State, agent: int) -> State:
    """Return the state once an agent has a new process."""
    process = state.agents[agent][0]
    runs = []
    for of_entry in state.runs:
        changed = []
        for run in of_entry:
            if (run.agent, run.process) == (agent, process):
                is_left = run.phase == Phase.RUNNING
                run = run._replace(
                    phase=Phase.ORPHAN if is_left else Phase.GONE,
                    start=False,
                    stop=False,
                )
            changed.append(run)
        runs.append(tuple(changed))
    return state._replace(
        agents=replace_at(state.agents, agent, (process + 1, False)),
        runs=tuple(runs),
        agent_deaths=state.agent_deaths - 1,
    )


def end_orphans(state: State, agent: int) -> State:
    """Return the state once the lease of an agent's endpoint has expired."""
    runs = tuple(
        tuple(
            (
                run._replace(phase=Phase.GONE)
                if run.phase == Phase.ORPHAN and run.agent == agent
                else run
            )
            for run in of_entry
        )
        for of_entry in state.runs
    )
    return state._replace(runs=runs)


def agent_steps(state: State) -> list:
    """Return the replacement of an agent's process, and its settling."""
    steps = []
    for agent, (process, accepts) in enumerate(state.agents):
        name = f"agent {agent}"
        if state.agent_deaths and not state.is_calm:
            steps.append((f"{name} is replaced", replace_agent(state, agent)))
        if not accepts:
            settled = end_orphans(state, agent)._replace(
                agents=replace_at(state.agents, agent, (process, True))
            )
            steps.append((f"{name} accepts work", settled))
    return steps


# Messages about runs


def run_steps(
    state: State, entry: int, index: int, run: Run, mutation: str
) -> list:
    """Return the steps of a run and of the messages about it."""
    name = f"run {run.number} of entry {entry}"
    steps = []

    def add(label: str, after: Run) -> None:
        if after != run:
            changed = with_run(state, entry, index, after)
            steps.append((f"{name}: {label}", changed))

    for message in ("start", "stop", "report", "ack"):
        if may_lose(state) and getattr(run, message):
            lost = typing.cast(Run, run._replace(**{message: False}))
            add(f"{message} is lost", lost)
    if is_reachable(state, run):
        if run.start:
            add("start arrives", started(state, entry, run, mutation))
        if run.stop and mutation == "stop_of_other_owner":
            steps += needless_stop_steps(state, entry, run)
        if run.stop:
            add("stop arrives", stopped(state, entry, run, mutation))
        if run.phase == Phase.RUNNING:
            add("ends", run._replace(phase=Phase.ENDED, report=True))
    owner = state.entries[entry]
    if run.owner != owner.process:
        return steps
    if run.report and owner.run == index:
        after = end_known(state, entry, mutation)
        steps.append((f"{name}: report arrives", after))
    if run.ack:
        steps += ack_steps(state, entry, index, mutation)
    if owner.run == index:
        steps += owner_steps(state, entry, index, mutation)
    return steps


def needless_stop_steps(state: State, entry: int, run: Run) -> list:
    """Return the stop of another owner's run that has the same key."""
    other = other_run(state, entry, run)
    if other is None or other.phase != Phase.RUNNING:
        return []
    after = state._replace(needless_stop=True)
    return [(f"run {run.number} of entry {entry}: stops another run", after)]


def ack_steps(state: State, entry: int, index: int, mutation: str) -> list:
    """Return the arrival of the acknowledgement of a batch."""
    acked = index
    if mutation == "acknowledgement_counted_twice":
        waiting = [
            number
            for number, run in enumerate(state.runs[entry])
            if run.awaits_ack
            and run.agent == state.runs[entry][index].agent
            and run.owner == state.entries[entry].process
        ]
        acked = waiting[0] if waiting else index
    run = state.runs[entry][acked]
    if not run.awaits_ack:
        return []
    after = with_run(state, entry, acked, run._replace(awaits_ack=False))
    after = after._replace(false_ack=after.false_ack or not run.received)
    return [(f"run {run.number} of entry {entry}: ack arrives", after)]


def owner_steps(state: State, entry: int, index: int, mutation: str) -> list:
    """Return what an entry does about a run whose end it does not know."""
    steps = []
    run = state.runs[entry][index]
    owner = state.entries[entry]
    name = f"run {run.number} of entry {entry}"
    is_here = is_reachable(state, run)
    if is_here and owner.unwanted:
        extended = run._replace(extended=True)
        if mutation != "stop_not_repeated":
            extended = stopped(state, entry, extended, mutation)
        if extended != run:
            after = with_run(state, entry, index, extended)
            steps.append((f"{name}: heartbeat is acknowledged", after))
    if is_here and mutation != "no_query":
        queried = with_run(
            state, entry, index, query(state, entry, run, mutation)
        )
        if queried != state:
            steps.append((f"{name}: overdue, is queried", queried))
    if is_here:
        return steps
    if mutation == "report_of_successor":
        after = end_known(state, entry, mutation)
        steps.append((f"{name}: the new process has no such run", after))
    if state.agents[run.agent][1]:
        after = end_known(state, entry, mutation)
        steps.append((f"{name}: the new process accepts work", after))
    return steps


def query(state: State, entry: int, run: Run, mutation: str) -> Run:
    """Return a run once its agent has received a query for it."""
    repeated = run._replace(ack=run.ack or run.received)
    if run.phase == Phase.RUNNING:
        return repeated
    return absent(state, entry, repeated, mutation)


def end_known(state: State, entry: int, mutation: str) -> State:
    """Return the state once an entry knows the end of its run."""
    index = state.entries[entry].run
    run = state.runs[entry][index]
    if mutation != "lost_batch_blocks":
        run = run._replace(awaits_ack=False)
    after = with_run(state, entry, index, run)
    return with_entry(after, entry, run=NOBODY, unwanted=False)


# Entries


def awaits_ack(state: State, entry: int, agent: int) -> bool:
    """Tell whether an entry waits for an agent to acknowledge a batch."""
    return any(
        run.awaits_ack
        for run in state.runs[entry]
        if run.owner == state.entries[entry].process
        and run.agent == agent
        and is_reachable(state, run)
    )


def is_usable(state: State, entry: int, agent: int) -> bool:
    """Tell whether an entry may order runs from an agent."""
    return (
        state.agents[agent][1]
        and not state.entries[entry].queries[agent]
        and not awaits_ack(state, entry, agent)
    )


def entry_steps(state: State, entry: int, mutation: str) -> list:
    """Return the orders and queries of an entry, and its death."""
    steps = []
    owner = state.entries[entry]
    is_first = not any(state.runs)
    is_free = owner.run == NOBODY or mutation == "order_before_end"
    can_order = state.orders[entry] > 0
    if owner.has_job and is_free and not owner.unwanted and can_order:
        for agent in AGENTS:
            if is_usable(state, entry, agent) and not (is_first and agent):
                after = order(state, entry, agent)
                steps.append((f"entry {entry} orders from {agent}", after))
    for agent in AGENTS:
        if owner.queries[agent]:
            steps += link_query_steps(state, entry, agent, mutation)
        elif state.links and not state.is_calm:
            queries = replace_at(owner.queries, agent, True)
            after = with_entry(state, entry, queries=queries)
            steps.append(
                (
                    f"the link of entry {entry} and agent {agent} is replaced",
                    after._replace(links=state.links - 1),
                )
            )
    if state.entry_deaths and not state.is_calm:
        steps.append(
            (f"entry {entry} is replaced", replace_entry(state, entry))
        )
    return steps


def order(state: State, entry: int, agent: int) -> State:
    """Return the state once an entry has ordered a run."""
    owner = state.entries[entry]
    run = Run(
        number=owner.number + 1,
        owner=owner.process,
        agent=agent,
        process=state.agents[agent][0],
    )
    after = with_entry(
        state, entry, run=len(state.runs[entry]), number=run.number
    )
    return after._replace(
        runs=replace_at(state.runs, entry, (*state.runs[entry], run)),
        orders=replace_at(state.orders, entry, state.orders[entry] - 1),
        late_order=state.late_order or owner.has_confirmed,
    )


def link_query_steps(
    state: State, entry: int, agent: int, mutation: str
) -> list:
    """Return the first heartbeat on a new link, which triggers a query."""
    owner = state.entries[entry]
    queries = replace_at(owner.queries, agent, False)
    after = with_entry(state, entry, queries=queries)
    label = f"entry {entry} hears agent {agent} on the new link"
    steps = [(label + ", and the query is lost", after)]
    if owner.run == NOBODY or mutation == "no_query":
        return steps
    run = state.runs[entry][owner.run]
    if run.agent == agent and is_reachable(state, run):
        queried = query(state, entry, run, mutation)
        steps.append((label, with_run(after, entry, owner.run, queried)))
    return steps


def replace_entry(state: State, entry: int) -> State:
    """Return the state once an entry has a new process."""
    process = state.entries[entry].process + 1
    after = state._replace(
        entries=replace_at(state.entries, entry, Entry(process=process)),
        entry_deaths=state.entry_deaths - 1,
    )
    if state.caller == entry:
        after = after._replace(caller=NOBODY)
    if state.canceller == entry:
        # The caller has no answer, and would cancel the job again.
        after = after._replace(canceller=NOBODY, cancel=False, confirm=False)
    return after


def stop_job(state: State, entry: int) -> State:
    """Return the state once an entry has stopped its job, if it has one."""
    owner = state.entries[entry]
    after = with_entry(state, entry, has_job=False)
    if state.caller == entry:
        after = after._replace(caller=NOBODY)
    if not owner.has_job or owner.run == NOBODY:
        return after
    run = state.runs[entry][owner.run]
    after = with_run(after, entry, owner.run, run._replace(stop=True))
    return with_entry(after, entry, unwanted=True)


# The caller


def caller_steps(state: State) -> list:
    """Return the steps of the caller."""
    steps: list = []
    if state.is_calm:
        return steps
    if state.caller != NOBODY:
        left = stop_job(state, state.caller)
        steps.append(("the caller leaves", left))
    elif state.returns:
        later = expire(state)._replace(returns=state.returns - 1)
        for entry in ENTRIES:
            label = f"the caller returns to entry {entry}"
            if state.entries[entry].cancelled:
                steps.append((f"{label}, which refuses", later))
            else:
                accepted = with_entry(later, entry, has_job=True)
                steps.append((label, accepted._replace(caller=entry)))
    if state.may_cancel:
        for entry in ENTRIES:
            cancelled = with_entry(
                stop_job(state, entry),
                entry,
                cancelled=True,
                has_confirmed=True,
            )
            cancelled = cancelled._replace(
                canceller=entry, may_cancel=False, cancel=True
            )
            steps.append((f"the job is cancelled at {entry}", cancelled))
    return steps


def expire(state: State) -> State:
    """Return the state once the grants that were not extended have expired."""
    runs = []
    for entry, of_entry in enumerate(state.runs):
        changed = []
        for run in of_entry:
            is_kept = (
                run.extended and run.owner == state.entries[entry].process
            )
            if run.phase == Phase.NEW:
                run = run._replace(phase=Phase.EXPIRED)
            elif run.phase == Phase.RUNNING and not is_kept:
                run = run._replace(phase=Phase.ENDED, report=True)
            elif run.phase == Phase.ORPHAN:
                run = run._replace(phase=Phase.GONE)
            changed.append(run._replace(start=False))
        runs.append(tuple(changed))
    return state._replace(runs=tuple(runs))


def cancellation_steps(state: State, mutation: str) -> list:
    """Return the messages between the entries about a cancellation."""
    if state.canceller == NOBODY or state.is_confirmed:
        return []
    other = 1 - state.canceller
    steps = []
    if state.cancel:
        if may_lose(state):
            lost = state._replace(cancel=False)
            steps.append(("the cancellation is lost", lost))
        is_kept = mutation != "forgotten_cancellation"
        arrived = with_entry(
            stop_job(state, other),
            other,
            cancelled=is_kept,
            has_confirmed=True,
        )
        confirmed = arrived._replace(confirm=True)
        steps.append(("the cancellation arrives", confirmed))
    elif mutation != "cancellation_not_repeated":
        repeated = state._replace(cancel=True)
        steps.append(("the cancellation is repeated", repeated))
    if state.confirm:
        if may_lose(state):
            lost = state._replace(confirm=False)
            steps.append(("the confirmation is lost", lost))
        known = state._replace(is_confirmed=True, cancel=False, confirm=False)
        steps.append(("the confirmation arrives", known))
    return steps


# The model


def steps_of(state: State, mutation: str) -> list:
    """Return the steps that are possible in ``state``."""
    if is_over(state):
        return []
    steps = [
        *caller_steps(state),
        *cancellation_steps(state, mutation),
        *agent_steps(state),
    ]
    if may_lose(state):
        calm = state._replace(is_calm=True)
        steps.append(("faults end, and the caller waits", calm))
    for entry in ENTRIES:
        steps += entry_steps(state, entry, mutation)
        for index, run in enumerate(state.runs[entry]):
            steps += run_steps(state, entry, index, run, mutation)
    return steps


def is_over(state: State) -> bool:
    """Tell whether no rule can be broken any more.

    A state of the lossy model may still have to recover.
    """
    if state.is_lossy or state.caller != NOBODY or state.returns:
        return False
    at_work = (Phase.NEW, Phase.RUNNING, Phase.ORPHAN)
    return (
        sum(
            run.start or run.phase in at_work
            for of_entry in state.runs
            for run in of_entry
        )
        <= 1
    )


def simplified(state: State, mutation: str) -> State:
    """Return the state without what can have no effect any more."""
    runs = []
    for of_entry, owner in zip(state.runs, state.entries):
        changed = []
        for index, run in enumerate(of_entry):
            is_here = is_reachable(state, run)
            is_owned = run.owner == owner.process
            is_open = is_owned and owner.run == index
            changed.append(
                simplified_run(run, is_here, is_owned, is_open, mutation)
            )
        runs.append(tuple(changed))
    return state._replace(runs=tuple(runs))


@functools.cache
def simplified_run(
    run: Run, is_here: bool, is_owned: bool, is_open: bool, mutation: str
) -> Run:
    """Return a run without what can have no effect any more."""
    if run.phase == Phase.GONE and not is_open:
        return NO_RUN
    if not is_owned:
        run = run._replace(ack=False, awaits_ack=False, received=False)
    if not is_here:
        run = run._replace(
            start=False, stop=False, report=False, ack=False, extended=False
        )
    if is_open:
        return run
    if mutation != "stop_of_other_owner":
        run = run._replace(stop=False)
    run = run._replace(report=False)
    if run.phase not in (Phase.ENDED, Phase.REFUSED):
        return run
    run = run._replace(extended=False)
    if mutation == "start_after_end":
        return run
    run = run._replace(start=False)
    if mutation in ("acknowledgement_counted_twice", "lost_batch_blocks"):
        return run
    return run._replace(ack=False, received=False)


def is_settled(values: dict) -> bool:
    """Tell whether nothing waits for a message that was lost."""
    state = State(**values)
    is_cancelling = state.canceller != NOBODY and not state.is_confirmed
    return (
        state.is_calm
        and not is_cancelling
        and all(
            state.entries[entry].run == NOBODY
            and is_usable(state, entry, agent)
            for entry in ENTRIES
            for agent in AGENTS
        )
    )


def running(values: dict) -> int:
    """Return the number of runs that are at work."""
    return sum(
        run.phase in (Phase.RUNNING, Phase.ORPHAN)
        for of_entry in values["runs"]
        for run in of_entry
    )


FIRST_STATE = State()
# What may be lost, replaced and ordered in the lossy models.
LOSSY_STATES = {
    "agents": State(
        is_lossy=True,
        links=1,
        entry_deaths=0,
        orders=(1, 0),
        may_cancel=False,
    ),
    "entries": State(
        is_lossy=True,
        agent_deaths=0,
        entry_deaths=0,
        orders=(1, 0),
    ),
}


def build_lossy(name: str, mutation: str = "") -> minicheck.Protocol:
    """Return a lossy model without the rule named by ``mutation``."""
    return build(mutation, initial=LOSSY_STATES[name])


def build(
    mutation: str = "", *, initial: State = FIRST_STATE
) -> minicheck.Protocol:
    """Return the model without the rule named by ``mutation``."""

    def transitions(values: tuple) -> list:
        found = steps_of(State(*values), mutation)
        return [
            (label, tuple(simplified(after, mutation)))
            for label, after in found
        ]

    return minicheck.Protocol(
        name=f"delivery {mutation}".strip(),
        candidate=False,
        fields=State._fields,
        initial=tuple(initial),
        transitions=transitions,
        invariants={
            "two runs of a task never meet": lambda v: running(v) <= 1,
            "only received batches count as acknowledged": lambda v: not v[
                "false_ack"
            ],
            "an entry that confirmed a cancellation orders no run": (
                lambda v: not v["late_order"]
            ),
            "no run is stopped without a reason": lambda v: not v[
                "needless_stop"
            ],
        },
        goal=is_settled,
    )
