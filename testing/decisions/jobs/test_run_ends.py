"""What proves that a run has ended or was not started, and what does not."""

import dataclasses

import pytest

from _jasminewind.decisions import core
from _jasminewind.decisions.jobs import actions
from _jasminewind.decisions.jobs import endpoint_selection
from _jasminewind.decisions.jobs import executor
from _jasminewind.decisions.jobs import leases
from _jasminewind.messages import runs
from testing.decisions.jobs import cluster
from testing.decisions.jobs import endpoint
from testing.decisions.jobs import test_endpoint_selection
from testing.decisions.jobs import test_paused_agent

ENTRY = test_paused_agent.ENTRY
FIRST = test_paused_agent.FIRST
RECORD = test_paused_agent.RECORD
OTHER_CLOCK_MS = 10_000_000
LOST = actions.CallReply(outcome=actions.CallOutcome.LOST)


@pytest.fixture
def busy():
    """Return an agent with a run in progress under a fresh lease."""
    agent = test_paused_agent.Agent()
    agent.executor.on_start_reply(FIRST, test_paused_agent.DONE, agent.now())
    agent.renewed(running=(actions.RunningRun(key=FIRST),))
    return agent


def reported(found):
    """Return the reported ends by run."""
    return {
        end.key: end.outcome
        for action in found
        if isinstance(action, core.Send)
        and isinstance(action.message, runs.RunsEnded)
        for end in action.message.ends
    }


# The clock of another incarnation


@pytest.mark.parametrize("clock_ms", [0, OTHER_CLOCK_MS])
@pytest.mark.parametrize(
    ("outcome", "born_ms"),
    [
        (actions.CallOutcome.OTHER_ENDPOINT, 0),
        (actions.CallOutcome.DONE, RECORD.born_ms + 1),
    ],
)
def test_the_clock_of_a_successor_does_not_end_a_run(
    busy, outcome, born_ms, clock_ms
):
    """Guards against runs given up because a successor's clock is ahead."""
    reply = actions.RenewReply(
        outcome=outcome,
        sent_s=busy.now_s,
        clock_ms=clock_ms,
        born_ms=born_ms,
    )
    found = busy.executor.on_renew_reply(busy.pending, reply, busy.now())
    busy.now_s += executor.RunExecutor.TICK_S
    found += busy.executor.on_tick(busy.now())
    assert FIRST not in reported(found)


def test_a_refused_start_of_a_successor_does_not_end_other_runs(busy):
    """Guards against the same by the 421 that answers a start."""
    busy.executor.stop_runs(ENTRY, (test_paused_agent.QUEUED,), busy.now())
    key = runs.RunKey("0000000000000003.0.0.0", 1)
    assert busy.order(3, test_paused_agent.order(key, 0.1)) == [key]
    reply = actions.CallReply(
        outcome=actions.CallOutcome.OTHER_ENDPOINT, clock_ms=OTHER_CLOCK_MS
    )
    found = busy.executor.on_start_reply(key, reply, busy.now())
    busy.now_s += executor.RunExecutor.TICK_S
    found += busy.executor.on_tick(busy.now())
    assert FIRST not in reported(found)


class Successor(endpoint.FakeEndpoint):
    """An endpoint that refuses calls meant for its predecessor."""

    offset_ms = 0

    def rejection(self, fencing_token, now_s):
        """Refuse every call, and name the clock if it is ahead."""
        del fencing_token
        clock_ms = self.offset_ms and self.offset_ms + self.clock_ms(now_s)
        return actions.CallReply(
            outcome=actions.CallOutcome.OTHER_ENDPOINT, clock_ms=clock_ms
        )


@pytest.mark.parametrize("offset_ms", [0, OTHER_CLOCK_MS])
def test_the_runs_of_a_replaced_endpoint_end_before_others_start(offset_ms):
    """Guards against two runs of a task while the predecessor exits."""
    simulated = cluster.SimulatedCluster(entries=1, agents=3)
    simulated.run(2.5)
    simulated.submit("entry-0", cluster.job(1, count=6, work_s=2.0))
    simulated.run(0.3)
    earlier = simulated.endpoints["agent-0"]
    assert earlier.running
    successor = Successor("endpoint-successor", born_s=simulated.now_s)
    successor.offset_ms = offset_ms
    simulated.endpoints["agent-0"] = successor
    everyone = [earlier, *simulated.endpoints.values()]
    for each in everyone:
        each.peers = everyone
    simulated.run(3.0)
    assert [text for each in everyone for text in each.violations] == []


def test_a_late_reply_of_the_earlier_life_does_not_lengthen_leases(busy):
    """Guards against leases up to the endpoint's limit of 1 s.

    A stop sent to the endpoint before is answered after the next one was
    attached, with the clock of the one before.
    """
    following = dataclasses.replace(RECORD, name="i-2", born_ms=2_000)
    busy.executor.expect_end("another incarnation replied", busy.now())
    busy.now_s += 1.0
    busy.executor.on_tick(busy.now())
    found = busy.executor.on_announcement(
        following, clock_ms=1_000, is_draining=False, now=busy.now()
    )
    (renewal,) = test_paused_agent.calls(found, actions.CallRenew)
    late = actions.CallReply(
        outcome=actions.CallOutcome.DONE, clock_ms=OTHER_CLOCK_MS
    )
    busy.executor.on_stop_reply(FIRST, late, busy.now())
    reply = actions.RenewReply(
        outcome=actions.CallOutcome.DONE,
        sent_s=busy.now_s,
        clock_ms=1_001,
        born_ms=2_000,
    )
    found = busy.executor.on_renew_reply(renewal, reply, busy.now())
    (renewal,) = test_paused_agent.calls(found, actions.CallRenew)
    assert renewal.deadline_ms <= 1_001 + 1_000 * leases.ENDPOINT_LEASE_S


# Reports that a run was not started


def test_a_doubled_order_does_not_deny_a_run_in_progress(busy):
    """Guards against "not started" for a run that goes on."""
    message = runs.StartRuns(
        batch=1,
        grant=busy.grant,
        orders=(test_paused_agent.order(FIRST, 9.0),),
    )
    found = busy.executor.on_message(ENTRY, message, busy.now())
    assert FIRST in busy.executor.allocation.runs
    assert FIRST not in reported(found)


@pytest.mark.parametrize("is_doubled", [False, True])
def test_doubled_orders_start_no_second_run(is_doubled):
    """Guards against two runs of a task after a doubled order."""
    simulated = cluster.SimulatedCluster(entries=1, agents=3)
    simulated.run(2.5)
    send = simulated.HANDLERS[core.Send]

    def send_twice(rig, process, action):
        send(rig, process, action)
        if is_doubled and isinstance(action.message, runs.StartRuns):
            rig.at(0.05, lambda: send(rig, process, action))

    simulated.HANDLERS = {**simulated.HANDLERS, core.Send: send_twice}
    simulated.submit("entry-0", cluster.job(1, count=2, work_s=1.0))
    simulated.run(4.0)
    assert simulated.violations() == []


def test_a_doubled_order_does_not_deny_a_run_that_is_done(busy):
    """Guards against "not started" for a run that has ended."""
    listed = actions.ListedEnd(
        number=1, key=FIRST, outcome=runs.RunOutcome.DONE
    )
    busy.renewed(ended=(listed,))
    message = runs.StartRuns(
        batch=1,
        grant=busy.grant,
        orders=(test_paused_agent.order(FIRST, 9.0),),
    )
    found = busy.executor.on_message(ENTRY, message, busy.now())
    assert reported(found)[FIRST] is runs.RunOutcome.DONE


# Processes of one agent


def test_a_late_heartbeat_of_a_dead_process_ends_no_run():
    """Guards against runs requeued while their agent executes them.

    The last heartbeat of the earlier process arrives after the new one has
    accepted work, on a link that the entry has not closed yet.
    """
    simulated = cluster.SimulatedCluster(entries=1, agents=2)
    sent = []
    send = simulated.HANDLERS[core.Send]

    def record(rig, process, action):
        if isinstance(action.message, runs.AgentBeat):
            sent.append((process, action))
        send(rig, process, action)

    simulated.HANDLERS = {**simulated.HANDLERS, core.Send: record}
    simulated.run(2.5)
    simulated.kill("agent-0")
    process, action = [
        each for each in sent if each[0].node.name == "agent-0"
    ][-1]
    assert action.message.load.accepting
    simulated.run(0.5)
    simulated.start_agent("agent-0", incarnation=2)
    simulated.run(2 * leases.MAX_LEASE_S)
    simulated.submit("entry-0", cluster.job(1, count=4, work_s=2.0))
    simulated.run(0.1)
    assert simulated.endpoints["agent-0"].running
    send(simulated, process, action)
    simulated.run(4.0)
    assert simulated.violations() == []


# An endpoint whose wall clock was set back between two lives


def test_a_life_that_seems_born_earlier_ends_no_run(busy):
    """Guards against a successor that is taken for the known incarnation."""
    reply = actions.RenewReply(
        outcome=actions.CallOutcome.DONE,
        sent_s=busy.now_s + 0.01,
        clock_ms=1_000,
        born_ms=4_000,
    )
    record = dataclasses.replace(RECORD, born_ms=5_000)
    busy.executor.endpoint = record
    call = dataclasses.replace(busy.pending, endpoint=record)
    busy.now_s += 0.02
    found = busy.executor.on_renew_reply(call, reply, busy.now())
    assert FIRST not in reported(found)


def test_a_life_that_seems_born_earlier_reports_what_is_done(busy):
    """Guards against runs that are done and are reported as lapsed.

    The ends of the new life have lower numbers than the last one known.
    """
    busy.executor.last_end = 5
    record = dataclasses.replace(RECORD, born_ms=5_000)
    busy.executor.endpoint = record
    call = dataclasses.replace(busy.pending, endpoint=record)
    busy.now_s += 0.02
    listed = actions.ListedEnd(
        number=1, key=FIRST, outcome=runs.RunOutcome.DONE
    )
    reply = actions.RenewReply(
        outcome=actions.CallOutcome.DONE,
        sent_s=busy.now_s - 0.01,
        clock_ms=1_000,
        born_ms=4_000,
        ended=(listed,),
    )
    found = busy.executor.on_renew_reply(call, reply, busy.now())
    assert reported(found).get(FIRST) is not runs.RunOutcome.LAPSED


def test_a_life_that_seems_born_earlier_is_used():
    """Guards against an endpoint that is never attached again."""
    agent = test_endpoint_selection.Agent()
    record = test_endpoint_selection.RECORD
    agent.announce(record)
    reborn = dataclasses.replace(record, born_ms=record.born_ms - 100)
    agent.endpoints = {test_endpoint_selection.ADDRESS: reborn}
    for number in range(1, 8):
        agent.announce(reborn, sequence=number)
        for _ in range(30):
            agent.tick()
            reply = actions.RenewReply(
                outcome=actions.CallOutcome.DONE,
                sent_s=agent.now_s,
                clock_ms=500 + number,
                born_ms=reborn.born_ms,
            )
            for action in agent.executor.on_renew_reply(
                agent.renewal, reply, agent.now()
            ):
                if isinstance(action, actions.CallRenew):
                    agent.renewal = action
    assert agent.used == reborn


# The time from the caller's leaving


@pytest.mark.parametrize("notice_s", [0.0, 0.05, 0.3, 0.6])
def test_a_run_whose_entry_notices_late_ends_before_its_caller_returns(
    notice_s,
):
    """Guards against two runs if the entry reads the broken connection late.

    It is busy or was paused, and acknowledges heartbeats that were sent
    after the caller left. The endpoint answers renewals but no stop.
    """
    simulated = cluster.SimulatedCluster(entries=2, agents=3)
    simulated.run(2.5)
    spec = cluster.job(1, count=2, work_s=3.0)
    simulated.submit("entry-0", spec)
    simulated.run(0.3)
    simulated.stop_loss = 1.0
    simulated.run(notice_s)
    simulated.disconnect("entry-0", spec.job)
    simulated.run(leases.RESUBMIT_DELAY_S - notice_s)
    simulated.stop_loss = 0.0
    simulated.submit("entry-1", dataclasses.replace(spec))
    simulated.run(0.1)
    assert simulated.violations() == []


@pytest.mark.parametrize("stop_loss", [0.0, 1.0])
@pytest.mark.parametrize("pause_s", [0.05, 0.3, 0.45, 0.6])
def test_a_paused_entry_does_not_prolong_runs_whose_caller_left(
    pause_s, stop_loss
):
    """Guards against the same after a pause of the entry.

    On waking it reads all that its links hold before the connection of the
    caller, as a reactor may.
    """
    simulated = cluster.SimulatedCluster(entries=2, agents=3)
    simulated.run(2.5)
    spec = cluster.job(1, count=2, work_s=3.0)
    simulated.submit("entry-0", spec)
    simulated.run(0.3)
    simulated.stop_loss = stop_loss
    simulated.pause("entry-0", pause_s)
    simulated.run(0.01)
    # The caller leaves now, which is read last.
    simulated.at(
        pause_s - 0.011, lambda: simulated.disconnect("entry-0", spec.job)
    )
    simulated.run(leases.RESUBMIT_DELAY_S)
    simulated.stop_loss = 0.0
    simulated.submit("entry-1", spec)
    simulated.run(0.1)
    assert simulated.violations() == []


# What undoes a departure


def test_a_delayed_announcement_does_not_undo_the_reply_of_a_successor(busy):
    """Guards against new work for an incarnation that was replaced."""
    reply = actions.RenewReply(
        outcome=actions.CallOutcome.OTHER_ENDPOINT, sent_s=busy.now_s
    )
    busy.executor.on_renew_reply(busy.pending, reply, busy.now())
    assert not busy.executor.is_accepting()
    busy.now_s += 0.01
    # Sent before the reply.
    busy.executor.on_announcement(
        RECORD,
        clock_ms=int(busy.now_s * 1000) - 3_000,
        is_draining=False,
        now=busy.now(),
    )
    assert not busy.executor.is_accepting()


def test_a_notice_outlasts_later_announcements_of_the_same_life(busy):
    """Guards against a lease that is renewed for an endpoint that leaves.

    It got no acknowledgement of its notice, and announces itself as draining
    until it ends. Its runs are not placed again before that.
    """
    selection = endpoint_selection.EndpointSelection(
        run_executor=busy.executor
    )
    selection.on_endpoint_left(RECORD.name)
    busy.executor.on_endpoint_left(RECORD.name, busy.now())
    assert busy.executor.departure
    busy.now_s += 0.2
    announcement = test_endpoint_selection.announce(
        RECORD, clock_ms=int(busy.now_s * 1000), is_draining=True
    )
    selection.on_announcement(announcement, busy.now())
    busy.executor.on_announcement(
        RECORD,
        clock_ms=announcement.clock_ms,
        is_draining=True,
        now=busy.now(),
    )
    assert not busy.executor.may_renew(busy.now())


def test_a_notice_before_the_endpoint_is_known_counts():
    """Guards against use of a leaving endpoint after a restart of the agent.

    The notice reaches the new process before the endpoint is restored, and an
    older announcement after it.
    """
    agent = test_endpoint_selection.Agent()
    agent.leave()
    agent.announce(test_endpoint_selection.RECORD, clock_ms=400)
    assert agent.used is None


# Arithmetic of the lease


@pytest.mark.parametrize("unread_s", [0.0, 0.1, 0.31, 0.62])
def test_a_lease_ends_within_its_maximum(unread_s):
    """Guards against a lease that lasts longer than ``MAX_LEASE_S``.

    The clock of the endpoint runs 2% slow, and was last read ``unread_s``
    before the renewal, as after one or two lost replies.
    """
    lease = leases.EndpointLease()
    lease.observe_clock(1_000, 0.0)
    deadline_ms = lease.next_deadline_ms(unread_s)
    end_s = (deadline_ms - 1_000) / 1000 / (1 - leases.CLOCK_DRIFT)
    assert end_s - unread_s <= leases.MAX_LEASE_S + 1e-9


@pytest.mark.parametrize("unread_s", [0.0, 0.31, 0.62])
def test_a_lease_is_not_taken_for_expired_early(unread_s):
    """Guards against runs given up while a slow clock still allows them."""
    lease = leases.EndpointLease()
    lease.observe_clock(1_000, 0.0)
    deadline_ms = lease.next_deadline_ms(unread_s)
    end_s = (deadline_ms - 1_000) / 1000 / (1 - leases.CLOCK_DRIFT)
    assert not lease.has_expired(end_s - 1e-5)


# A restart under the same name, seen late


class Reborn(endpoint.FakeEndpoint):
    """An endpoint whose lists name its time of birth."""

    names_birth = True


@pytest.mark.parametrize("stop_loss", [0.0, 1.0])
def test_a_run_under_the_clock_of_an_earlier_life_ends_in_time(stop_loss):
    """Guards against a lease of 1 s on an endpoint that has restarted.

    A start is sent before the agent learns of the restart. Its deadline is on
    the clock of the earlier life, and the stop that follows is lost.
    """
    simulated = cluster.SimulatedCluster(entries=1, agents=3)
    simulated.run(6.5)
    name = "agent-0"
    earlier = simulated.endpoints[name]
    reborn = Reborn(earlier.record.name, born_s=simulated.now_s)
    reborn.fencing_token = 0
    simulated.end_endpoint(earlier)
    simulated.endpoints[name] = reborn
    for each in simulated.endpoints.values():
        each.peers = list(simulated.endpoints.values())
    simulated.stop_loss = stop_loss
    simulated.submit("entry-0", cluster.job(1, count=6, work_s=2.0))
    simulated.run(4.0)
    assert reborn.starts
    assert simulated.violations() == []


def test_a_start_that_a_later_life_may_have_taken_is_given_up(busy):
    """Guards against a task that waits for as long as a later life answers.

    The start of its run is unanswered, and so is the stop.
    """
    key = runs.RunKey("0000000000000003.0.0.0", 1)
    busy.executor.stop_runs(ENTRY, (test_paused_agent.QUEUED,), busy.now())
    assert busy.order(3, test_paused_agent.order(key, 0.1)) == [key]
    busy.executor.on_start_reply(key, LOST, busy.now())
    ended = {}
    pending = [busy.pending]
    for _ in range(40):
        busy.now_s += executor.RunExecutor.TICK_S
        reply = actions.RenewReply(
            outcome=actions.CallOutcome.DONE,
            sent_s=busy.now_s,
            clock_ms=1_000,
            born_ms=RECORD.born_ms + 5_000,
        )
        found = busy.executor.on_tick(busy.now())
        for call in pending:
            found += busy.executor.on_renew_reply(call, reply, busy.now())
        ended.update(reported(found))
        pending = test_paused_agent.calls(found, actions.CallRenew)
    assert ended[key] is runs.RunOutcome.LAPSED


def reply_of_later_life(agent):
    """Return the reply of a later life to a call that was just sent."""
    return actions.RenewReply(
        outcome=actions.CallOutcome.DONE,
        sent_s=agent.now_s,
        clock_ms=300,
        born_ms=RECORD.born_ms + 5_000,
    )


def reported_s(agent, pending, *, for_s):
    """Return after how long the first run is reported, ``None`` if not.

    A later life answers a read of its state and all later calls. The pending
    renewal is lost with the earlier life.
    """
    began_s = agent.now_s
    agent.executor.read_state()
    (read,) = test_paused_agent.calls(
        agent.executor.flush(), actions.CallRenew
    )
    lost = actions.RenewReply(
        outcome=actions.CallOutcome.LOST, sent_s=agent.now_s
    )
    found = agent.executor.on_renew_reply(
        read, reply_of_later_life(agent), agent.now()
    )
    found += agent.executor.on_renew_reply(pending, lost, agent.now())
    while agent.now_s < began_s + for_s:
        reply = reply_of_later_life(agent)
        found = [
            after
            for call in test_paused_agent.calls(found, actions.CallRenew)
            for after in agent.executor.on_renew_reply(
                call, reply, agent.now()
            )
        ] + agent.executor.on_tick(agent.now())
        if FIRST in reported(found):
            return agent.now_s - began_s
        agent.now_s += executor.RunExecutor.TICK_S
    return None


def test_a_run_that_a_later_life_may_have_started_outlasts_its_lease():
    """Guards against a run that is given up while a later life executes it.

    The start was answered, but no state was read since, so that the later
    life may have answered it. That one takes the deadline for a later one.
    """
    agent = test_paused_agent.Agent()
    agent.now_s += 0.01
    agent.executor.on_start_reply(FIRST, test_paused_agent.DONE, agent.now())
    after_s = reported_s(agent, agent.pending, for_s=2.0)
    assert after_s is not None
    assert after_s >= leases.LEASE_LIMIT_S


def test_a_run_that_the_earlier_life_has_listed_is_given_up_soon(busy):
    """Guards against tasks that wait after each restart of an endpoint."""
    busy.now_s += 0.01
    busy.renewed(running=(actions.RunningRun(key=FIRST),))
    after_s = reported_s(busy, busy.pending, for_s=2.0)
    assert after_s is not None
    assert after_s < leases.MAX_LEASE_S + 0.1


# An endpoint that is attached again


@pytest.fixture
def idle():
    """Return a cluster whose endpoints execute nothing."""
    simulated = cluster.SimulatedCluster(entries=1, agents=2)
    simulated.run(3.1)
    return simulated


def leave_and_announce(simulated, name, after_s):
    """Deliver a late notice of an earlier life, then an announcement."""
    process = simulated.processes[name]
    left = process.state_machine.on_endpoint_left(
        f"endpoint-{name}", simulated.instant()
    )
    simulated.perform(process, left)
    assert process.state_machine.endpoint is None
    simulated.run(after_s)
    simulated.announce(name)


@pytest.mark.parametrize("after_s", [0.0, 0.01, 0.05, 0.2, 0.4])
def test_an_endpoint_that_is_attached_again_takes_work(idle, after_s):
    """Guards against renewals that raise each other's fencing token.

    The endpoint is dropped by a late notice while a renewal is pending, and
    attached again before that is answered.
    """
    leave_and_announce(idle, "agent-0", after_s)
    machine = idle.processes["agent-0"].state_machine
    token = machine.fencing_token
    idle.run(3.0)
    assert machine.is_accepting()
    assert machine.fencing_token == token


@pytest.mark.parametrize("after_s", [0.01, 0.05, 0.2, 0.4])
def test_an_endpoint_that_is_attached_again_gets_one_renewal(idle, after_s):
    """Guards against two renewals at a time from then on.

    Here the endpoint checks the token when a call arrives, and not again when
    it answers.
    """
    pending = []
    most = []

    def call_renew(rig, process, action):
        if process.node.name != "agent-0":
            cluster.SimulatedCluster.call_renew(rig, process, action)
            return
        pending.append(action)
        most.append(len(pending))
        fake = rig.fake_endpoint(process)
        fake.renew(action, rig.now_s, rig.now_s)
        sent_s = rig.now_s

        def answer():
            pending.remove(action)
            fresh = dataclasses.replace(
                action, fencing_token=fake.fencing_token
            )
            reply = fake.renew(fresh, rig.now_s, sent_s)
            rig.renewed(process, action, reply)

        rig.at(action.wait_s + 0.001, answer)

    idle.HANDLERS = {**idle.HANDLERS, actions.CallRenew: call_renew}
    idle.run(1.0)
    assert max(most) == 1
    leave_and_announce(idle, "agent-0", after_s)
    idle.run(1.0)
    most.clear()
    idle.run(3.0)
    assert max(most) == 1


# Fencing tokens


def test_the_fencing_token_rises_with_each_process():
    """Guards against late calls of a process that its successor can't fence.

    Both restore an endpoint that started less than 10 s ago.
    """
    tokens = []
    for number in range(2):
        machine = executor.RunExecutor(agent="agent-0")
        now = core.Instant(100.0 + number, 0)
        machine.restore_endpoint(RECORD, now)
        fenced = actions.CallReply(
            outcome=actions.CallOutcome.FENCED, clock_ms=4_000 + 1_000 * number
        )
        machine.observe_reply(fenced, machine.fencing_token, now)
        tokens.append(machine.fencing_token)
    assert tokens[0] < tokens[1]


def test_a_later_life_is_attached_above_all_earlier_tokens(busy):
    """Guards against a late renewal that extends the lease of a later life.

    It takes the deadline for a longer one. Here its predecessor has refused
    the agent's token, which was raised by 10 s.
    """
    fenced = actions.CallReply(outcome=actions.CallOutcome.FENCED)
    busy.executor.observe_reply(
        fenced, busy.executor.fencing_token, busy.now()
    )
    token = busy.executor.fencing_token
    busy.executor.expect_end("another incarnation replied", busy.now())
    busy.now_s += 1.0
    busy.executor.on_tick(busy.now())
    following = dataclasses.replace(RECORD, born_ms=5_000)
    found = busy.executor.on_announcement(
        following, clock_ms=300, is_draining=False, now=busy.now()
    )
    (renewal,) = test_paused_agent.calls(found, actions.CallRenew)
    assert renewal.endpoint == following
    assert renewal.fencing_token > token


def test_a_life_that_is_attached_as_an_earlier_one_takes_no_work():
    """Guards against runs that are ordered for a life that has ended.

    A delayed announcement of it was used, as a later life refused the fencing
    token of the call that asks who is there, and did not name its birth.
    """
    machine = executor.RunExecutor(agent="agent-0")
    machine.on_registered(is_first=True)
    now = core.Instant(10.0, 10_000)
    found = machine.on_announcement(
        RECORD, clock_ms=9_000, is_draining=False, now=now
    )
    (renewal,) = test_paused_agent.calls(found, actions.CallRenew)
    reply = actions.RenewReply(
        outcome=actions.CallOutcome.DONE,
        sent_s=now.mono_s,
        clock_ms=300,
        born_ms=RECORD.born_ms + 5_000,
    )
    machine.on_renew_reply(renewal, reply, now)
    assert machine.endpoint is None
    assert not machine.is_accepting()


@pytest.fixture
def doubtful(busy):
    """Return an agent whose last start timed out while it renewed."""
    key = runs.RunKey("0000000000000003.0.0.0", 1)
    busy.executor.stop_runs(ENTRY, (test_paused_agent.QUEUED,), busy.now())
    assert busy.order(3, test_paused_agent.order(key, 0.1)) == [key]
    busy.unanswered = key
    busy.start_token = busy.executor.fencing_token
    busy.stops = test_paused_agent.calls(
        busy.executor.on_start_reply(key, LOST, busy.now()), actions.CallStop
    )
    return busy


def test_calls_after_an_unanswered_start_are_above_it(doubtful):
    """Guards against a start that a later call does not fence."""
    (stop,) = doubtful.stops
    assert stop.fencing_token > doubtful.start_token
    assert doubtful.executor.fencing_token == stop.fencing_token


def test_a_renewal_refused_as_outdated_is_repeated_at_once(doubtful):
    """Guards against an endpoint that counts as out of reach for that.

    The renewal was sent before the token rose, and arrives after the stop.
    """
    assert doubtful.pending.fencing_token == doubtful.start_token
    token = doubtful.executor.fencing_token
    reply = actions.RenewReply(
        outcome=actions.CallOutcome.FENCED,
        sent_s=doubtful.now_s,
        clock_ms=int(doubtful.now_s * 1000),
    )
    found = doubtful.executor.on_renew_reply(
        doubtful.pending, reply, doubtful.now()
    )
    (renewal,) = test_paused_agent.calls(found, actions.CallRenew)
    assert renewal.fencing_token == token
    assert doubtful.executor.is_accepting()


def test_a_stop_refused_as_outdated_is_repeated_at_once(doubtful):
    """Guards against a run that goes on until the stop is retried.

    Its stop was sent before the token rose, and arrives after that.
    """
    doubtful.executor.stop_runs(ENTRY, (FIRST,), doubtful.now())
    doubtful.executor.flush()
    doubtful.executor.fencing_token += 1
    fenced = actions.CallReply(
        outcome=actions.CallOutcome.FENCED,
        clock_ms=int(doubtful.now_s * 1000),
    )
    found = doubtful.executor.on_stop_reply(FIRST, fenced, doubtful.now())
    (stop,) = test_paused_agent.calls(found, actions.CallStop)
    assert stop.key == FIRST
    assert stop.fencing_token == doubtful.executor.fencing_token


# The clock of one life, read late


def test_an_old_announcement_does_not_make_the_clock_jump():
    """Guards against an endpoint that is dropped as soon as it is attached.

    It could not be identified for a while after its announcement.
    """
    agent = test_endpoint_selection.Agent()
    agent.endpoints = {}
    agent.announce(test_endpoint_selection.RECORD)
    agent.now_s += 3.0
    agent.endpoints = {
        test_endpoint_selection.ADDRESS: test_endpoint_selection.RECORD
    }
    agent.clock_offset_ms = 3_000
    agent.tick()
    agent.tick()
    assert agent.used == test_endpoint_selection.RECORD
    assert agent.executor.is_accepting()


@pytest.mark.parametrize("pause_s", [0.6, 0.69])
def test_a_paused_agent_keeps_its_endpoint(busy, pause_s):
    """Guards against a clock that seems to jump after a pause of the agent.

    It reads a reply that the endpoint has sent before the pause.
    """
    sent_s = busy.now_s
    clock_ms = int(sent_s * 1000) + 50
    busy.now_s += pause_s
    reply = actions.RenewReply(
        outcome=actions.CallOutcome.DONE,
        sent_s=sent_s,
        clock_ms=clock_ms,
        running=(actions.RunningRun(key=FIRST),),
        born_ms=RECORD.born_ms,
    )
    found = busy.executor.on_renew_reply(busy.pending, reply, busy.now())
    (busy.pending,) = test_paused_agent.calls(found, actions.CallRenew)
    busy.now_s += 0.1
    busy.renewed(running=(actions.RunningRun(key=FIRST),))
    assert busy.executor.departure is None
