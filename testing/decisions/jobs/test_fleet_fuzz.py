"""Stateful fuzzing of owners and executors under random faults.

Invariants: runs of one task never overlap, no endpoint is overcommitted, and
after all faults have healed each submission whose caller still waits is
answered exactly once.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from testing.decisions.jobs import cluster as clusters

ENTRIES = ("entry-0", "entry-1")
AGENTS = ("agent-0", "agent-1", "agent-2")
# Callers resubmit a job this long after their connection broke.
RESUBMIT_DELAY_S = 1.3
# Time in which a cluster without faults completes all jobs of a test.
RECOVERY_S = 40.0


class JobsUnderFaults(stateful.RuleBasedStateMachine):
    """Submits jobs while processes, links and endpoints fail."""

    def __init__(self):
        super().__init__()
        self.cluster = clusters.SimulatedCluster(seed=1)
        self.cluster.run(1.0)
        self.count = 0
        self.incarnation = 1
        self.open = {}
        self.disconnected = {}
        self.submitted_s = {}

    @stateful.rule(
        entry=strategies.sampled_from(ENTRIES),
        count=strategies.integers(1, 6),
        work_s=strategies.sampled_from([0.1, 0.4, 1.5]),
    )
    def submit(self, entry, count, work_s):
        """Submit a new job."""
        if self.cluster.processes[entry].is_dead:
            return
        self.count += 1
        spec = clusters.job(self.count, count=count, work_s=work_s)
        self.open_job(self.count, entry, spec)

    def open_job(self, number, entry, spec):
        """Submit a job on behalf of a caller that waits."""
        self.open[number] = (entry, spec)
        self.submitted_s[number] = self.cluster.now_s
        self.cluster.submit(entry, spec)

    @stateful.rule()
    @stateful.precondition(lambda self: self.open)
    def leave(self):
        """Disconnect the caller of the oldest job."""
        number = min(self.open)
        entry, spec = self.open.pop(number)
        self.disconnected[number] = (self.cluster.now_s, spec)
        self.cluster.disconnect(entry, spec.job)

    @stateful.rule(entry=strategies.sampled_from(ENTRIES))
    @stateful.precondition(lambda self: self.disconnected)
    def submit_again(self, entry):
        """Resubmit the oldest job whose caller was disconnected."""
        number = min(self.disconnected)
        left_at_s, spec = self.disconnected[number]
        if self.cluster.processes[entry].is_dead:
            return
        if self.cluster.now_s < left_at_s + RESUBMIT_DELAY_S:
            return
        del self.disconnected[number]
        self.open_job(number, entry, spec)

    @stateful.rule(for_s=strategies.sampled_from([0.02, 0.2, 0.7, 1.4]))
    def wait(self, for_s):
        """Advance the clock."""
        self.cluster.run(for_s)

    @stateful.rule(
        name=strategies.sampled_from(ENTRIES + AGENTS),
        for_s=strategies.sampled_from([0.3, 0.9, 1.2, 2.5]),
    )
    def pause(self, name, for_s):
        """Pause a process; callers of a paused entry disconnect."""
        if name in ENTRIES:
            self.disconnect_callers(name)
        self.cluster.pause(name, for_s)

    @stateful.rule(
        name=strategies.sampled_from(ENTRIES), callers=strategies.booleans()
    )
    def reset_connections(self, name, callers):
        """Reset the links of an entry, and its callers' connections too."""
        if callers:
            self.disconnect_callers(name)
        self.cluster.reset_links(name)

    @stateful.rule(name=strategies.sampled_from(ENTRIES))
    def restart_entry(self, name):
        """Kill and restart an entry."""
        self.disconnect_callers(name)
        self.incarnation += 1
        self.cluster.kill(name)
        self.cluster.add_entry(name, self.incarnation)

    @stateful.rule(name=strategies.sampled_from(AGENTS))
    def restart_agent(self, name):
        """Kill and restart the agent of an endpoint."""
        self.incarnation += 1
        self.cluster.kill(name)
        self.cluster.start_agent(name, self.incarnation)

    @stateful.rule(
        entry=strategies.sampled_from(ENTRIES),
        agent=strategies.sampled_from(AGENTS),
        ways=strategies.sampled_from(["to", "from", "both"]),
    )
    def cut(self, entry, agent, ways):
        """Drop the messages between an entry and an agent."""
        if ways in ("to", "both"):
            self.cluster.partitions.add((entry, agent))
        if ways in ("from", "both"):
            self.cluster.partitions.add((agent, entry))

    @stateful.rule()
    def heal_links(self):
        """Heal all partitions."""
        self.cluster.partitions.clear()

    @stateful.rule(
        share=strategies.sampled_from([0.0, 0.3]),
        late_s=strategies.sampled_from([0.0, 0.4, 3.0]),
    )
    def lose_starts(self, share, late_s):
        """Lose a share of the replies to starts."""
        self.cluster.start_loss = share
        self.cluster.start_delay_s = late_s

    @stateful.rule(name=strategies.sampled_from(AGENTS))
    def toggle_faulty(self, name):
        """Make an endpoint fail all its runs, or stop doing so."""
        endpoint = self.cluster.endpoints[name]
        endpoint.is_faulty = not endpoint.is_faulty

    def disconnect_callers(self, entry):
        """Disconnect all callers of an entry."""
        for number, (name, spec) in list(self.open.items()):
            if name == entry:
                del self.open[number]
                self.disconnected[number] = (self.cluster.now_s, spec)
                self.cluster.disconnect(entry, spec.job)

    @stateful.invariant()
    def no_violations(self):
        """Check the invariants that endpoints record."""
        assert not self.cluster.violations()

    def teardown(self):
        """Heal all faults; then each waiting caller gets one answer."""
        self.cluster.partitions.clear()
        self.cluster.start_loss = 0.0
        for endpoint in self.cluster.endpoints.values():
            endpoint.is_faulty = False
        self.cluster.run(RECOVERY_S)
        assert not self.cluster.violations()
        for number, (entry, spec) in self.open.items():
            found = self.cluster.answers.get(spec.job, [])
            final = [
                answer
                for at_s, _, answer in found
                if at_s >= self.submitted_s[number]
                and answer.state.value != "cancelled"
            ]
            assert len(final) == 1, (number, entry, found)


def test_random_faults_break_no_promise_fuzz(fuzz_settings):
    """Guards against broken invariants under untested interleavings."""
    stateful.run_state_machine_as_test(
        JobsUnderFaults,
        # Shrinking replays the simulated time many times, which takes
        # minutes; the failing steps are short enough to read.
        settings=hypothesis.settings(
            fuzz_settings,
            stateful_step_count=40,
            phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
        ),
    )
