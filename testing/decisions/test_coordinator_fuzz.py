"""Stateful fuzzing of the coordinator with fake executors.

The machine loses, repeats, delays and reorders messages, replaces executors
and cancels work. It checks the invariants of a single coordinator against
the tasks that the fake executors ran.
"""

import collections
import dataclasses

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from _jasminewind import errors
from _jasminewind.messages import tasks
from _jasminewind.messages import work
from testing.decisions import conftest

DEFAULT_EXAMPLES = 80
STEPS = 50
PICK = strategies.integers(min_value=0, max_value=10_000)
# Faults that end much work at once are less frequent than other steps.
RARE = strategies.integers(min_value=0, max_value=5)
# Several picks per step, so that tasks start and end in most examples.
PICKS = strategies.lists(PICK, min_size=1, max_size=8)
# Number of tasks, is_job, repeatable and budget_s of a submission.
SHAPES = strategies.tuples(
    strategies.integers(min_value=1, max_value=6),
    strategies.booleans(),
    strategies.booleans(),
    strategies.sampled_from([0.5, 3.0, 60.0, 60.0]),
)
Outcome = errors.Outcome


class CoordinatorMachine(stateful.RuleBasedStateMachine):
    """A coordinator, three minions and two workers on a lossy network."""

    def __init__(self):
        super().__init__()
        self.harness = conftest.Harness(minions=3, workers=2, slots=2)
        self.submits = {}
        self.requesters = collections.defaultdict(set)
        self.refused = set()
        # Undelivered results, which may be lost, repeated or reordered.
        self.inbox = []
        # Starts per task, over all incarnations.
        self.starts = collections.Counter()

    def send(self, sender, message):
        """Deliver a message to the coordinator."""
        self.harness.receive(sender, message)

    @stateful.initialize(shapes=strategies.lists(SHAPES, min_size=2))
    def submit_first(self, shapes):
        """Submit the first work."""
        self.submit(shapes)

    @stateful.rule(shapes=strategies.lists(SHAPES, min_size=1, max_size=4))
    def submit(self, shapes):
        """Submit new jobs or requests."""
        for count, is_job, repeatable, budget_s in shapes:
            kind = work.WorkKind.JOB if is_job else work.WorkKind.REQUEST
            count = count if is_job else 1
            work_id = self.harness.new_id()
            self.submits[work_id] = (count, kind, repeatable)
            self.requesters[work_id].add(conftest.ENTRY)
            self.harness.submit(
                count,
                work_id=work_id,
                kind=kind,
                repeatable=repeatable,
                budget_s=budget_s,
            )

    @stateful.precondition(lambda self: self.submits)
    @stateful.rule(pick=PICK)
    def resubmit(self, pick):
        """Submit a known id again through another entry."""
        work_id = list(self.submits)[pick % len(self.submits)]
        if conftest.OTHER_ENTRY in self.requesters[work_id]:
            return
        self.requesters[work_id].add(conftest.OTHER_ENTRY)
        count, kind, repeatable = self.submits[work_id]
        self.harness.submit(
            count,
            work_id=work_id,
            kind=kind,
            repeatable=repeatable,
            sender=conftest.OTHER_ENTRY,
        )

    @stateful.precondition(lambda self: self.submits)
    @stateful.rule(pick=PICK, chance=RARE)
    def cancel(self, pick, chance):
        """Cancel a known id."""
        if chance < 3:
            return
        work_id = list(self.submits)[pick % len(self.submits)]
        self.send(conftest.ENTRY, work.Cancel(work_id=work_id))

    @stateful.rule(picks=PICKS)
    def deliver_to_executors(self, picks):
        """Deliver messages to executors, in any order."""
        undelivered = self.harness.undelivered
        for pick in picks:
            if undelivered:
                self.deliver_to_executor(
                    undelivered.pop(pick % len(undelivered))
                )

    def deliver_to_executor(self, send):
        """Deliver one message to its executor."""
        executor = self.harness.executors.get(send.to)
        if executor is None:
            return
        message = send.message
        if isinstance(message, tasks.StartTasks):
            before = set(executor.running)
            refusal = executor.take(message)
            for key in executor.running:
                if key not in before:
                    self.starts[(key.work_id, key.index)] += 1
            if refusal is not None:
                self.inbox.append((executor.node, refusal))
        elif isinstance(message, tasks.StopTasks):
            error = conftest.failure(
                Outcome.FAILED_WHILE_RUNNING, errors.Code.CANCELED
            )
            for key in message.keys:
                if key in executor.running:
                    ended = executor.end(key, error=error)
                    self.inbox.append((executor.node, ended))
                elif key not in executor.done:
                    executor.tombstones.add(key)
        else:
            self.inbox.append((executor.node, executor.answer(message)))

    @stateful.rule(
        picks=PICKS,
        outcome=strategies.sampled_from([None, None, None, *Outcome]),
    )
    def end(self, picks, outcome):
        """End running tasks, with success or with a failure."""
        self.end_tasks(picks, outcome)

    def end_tasks(self, picks, outcome):
        """End the picked tasks."""
        error = conftest.failure(outcome) if outcome is not None else None
        for pick in picks:
            running = [
                (executor, key)
                for executor in self.harness.executors.values()
                for key in executor.running
            ]
            if not running:
                return
            executor, key = running[pick % len(running)]
            if outcome == Outcome.NOT_RUN:
                self.starts[(key.work_id, key.index)] -= 1
            self.inbox.append((executor.node, executor.end(key, error=error)))

    @stateful.rule(picks=PICKS, keep=strategies.booleans())
    def deliver_to_coordinator(self, picks, keep):
        """Deliver messages of executors; ``keep`` lets them be repeated."""
        for pick in picks:
            if not self.inbox:
                return
            index = pick % len(self.inbox)
            sender, message = self.inbox[index]
            if not keep:
                del self.inbox[index]
            self.send(sender, message)

    @stateful.rule(stages=strategies.integers(min_value=1, max_value=4))
    def progress(self, stages):
        """In turn, deliver all messages to executors and end tasks.

        Each stage also delivers the messages of executors.
        """
        for stage in range(stages):
            if stage % 2 == 0:
                sends, self.harness.undelivered = self.harness.undelivered, []
                for send in sends:
                    self.deliver_to_executor(send)
            else:
                self.end_tasks([0] * 8, None)
            inbox, self.inbox = self.inbox, []
            for sender, message in inbox:
                self.send(sender, message)

    @stateful.rule(
        picks=PICKS, fault=strategies.sampled_from(["outbox", "inbox", "send"])
    )
    def lose_message(self, picks, fault):
        """Lose a message, with or without a report that it was not sent."""
        harness = self.harness
        lossy = self.inbox if fault == "inbox" else harness.undelivered
        if not lossy:
            return
        lost = lossy.pop(picks[0] % len(lossy))
        if fault == "send":
            harness.run(
                harness.coordinator.on_send_failed(
                    lost.to, lost.message, harness.now
                )
            )

    @stateful.rule(pick=PICK)
    def lose_link(self, pick):
        """Report the loss of a link."""
        nodes = list(self.harness.executors)
        node = nodes[pick % len(nodes)]
        harness = self.harness
        harness.run(harness.coordinator.on_link_lost(node, harness.now))

    @stateful.rule(pick=PICK, chance=RARE)
    def replace_executor(self, pick, chance):
        """Replace an executor by a new incarnation without state."""
        if chance < 3:
            return
        harness = self.harness
        nodes = list(harness.executors)
        executor = harness.executors.pop(nodes[pick % len(nodes)])
        node = dataclasses.replace(
            executor.node, incarnation=executor.node.incarnation + 1
        )
        harness.add_executor(dataclasses.replace(executor.member, node=node))
        harness.announce()

    @stateful.rule(pick=PICK, chance=RARE)
    def suspect_executor(self, pick, chance):
        """Mark one executor or none as suspect in the member view."""
        nodes = list(self.harness.executors)
        suspects = (nodes[pick % len(nodes)].name,) if chance == 5 else ()
        self.harness.announce(suspects=suspects)

    @stateful.rule(seconds=strategies.sampled_from([0.1, 0.5, 3.0]))
    def wait(self, seconds):
        """Advance the clock."""
        self.harness.advance(seconds)

    @stateful.invariant()
    def no_second_run(self):
        """A task that is not repeatable is started at most once."""
        for (work_id, index), count in self.starts.items():
            if not self.submits[work_id][2]:
                assert count <= 1, f"{work_id}/{index} started {count} times"

    @stateful.invariant()
    def answers_are_complete(self):
        """Answers are complete, equal, and sent once to each requester."""
        seen = {}
        for _, answer in self.harness.answers:
            stored = seen.setdefault(answer.work_id, answer)
            assert stored == answer
            count = self.submits[answer.work_id][0]
            if answer.state == work.WorkState.COMPLETE:
                assert answer.error is None
                payloads = [each.payload for each in answer.outputs]
                wanted = [f'"{index}"' for index in range(count)]
                assert payloads == wanted
            else:
                assert answer.outputs == ()
                assert answer.error is not None
        receivers = [
            (answer.work_id, to) for to, answer in self.harness.answers
        ]
        assert len(set(receivers)) == len(receivers)

    @stateful.invariant()
    def not_run_means_not_run(self):
        """No task of work that was answered NOT_RUN has run."""
        for _, answer in self.harness.answers:
            if answer.error is None:
                continue
            if answer.error.outcome == Outcome.NOT_RUN:
                for index in range(self.submits[answer.work_id][0]):
                    assert self.starts[(answer.work_id, index)] <= 0

    @stateful.invariant()
    def counts_match(self):
        """Counts of queues, quotas and demand match their tasks."""
        dispatcher = self.harness.coordinator.dispatcher
        queued = collections.Counter()
        for run in dispatcher.runs.values():
            for task in run.tasks:
                queued[run.pool] += task.waiting
        for pool in dispatcher.pools.values():
            assert pool.queued_count() == queued[pool]
        in_flight = sum(len(run.tasks) for run in dispatcher.runs.values())
        usage = self.harness.coordinator.admission.usage.values()
        assert sum(each.in_flight for each in usage) == in_flight
        for executor in dispatcher.executors.values():
            for attempt in executor.outstanding.values():
                assert dispatcher.attempts[attempt.key] is attempt
            demand = [0.0] * 4
            for attempt in executor.unreported.values():
                for index, amount in enumerate(attempt.task.amounts):
                    demand[index] += amount
            assert demand == executor.unreported_demand

    def teardown(self):
        """Without further faults, all work is answered by its deadline."""
        self.harness.advance(61.0, step_s=0.5)
        for work_id, requesters in self.requesters.items():
            for requester in requesters:
                assert self.harness.answer(work_id, requester) is not None
        self.answers_are_complete()
        self.not_run_means_not_run()
        assert not self.harness.coordinator.has_work()


def test_coordinator_fuzz(request):
    """Guards against combinations of faults that break an invariant."""
    examples = request.config.getoption("--fuzz-examples", default=None)
    stateful.run_state_machine_as_test(
        CoordinatorMachine,
        settings=settings(
            max_examples=examples or DEFAULT_EXAMPLES,
            stateful_step_count=STEPS,
            derandomize=True,
            database=None,
            deadline=None,
        ),
    )
