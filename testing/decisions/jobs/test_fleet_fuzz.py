"""Random faults against owners and executors, with a simple oracle.

No task may run twice at the same time, no endpoint may be given more than
it holds, and when every fault is healed each submission whose caller still
waits is answered once.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from testing.decisions.jobs import world as worlds

ENTRIES = ("entry-0", "entry-1")
AGENTS = ("agent-0", "agent-1", "agent-2")
# Callers submit a job again this long after they lost their connection.
RESEND_S = 1.3
# Time in which a healed fleet ends all work of a test.
HEALED_S = 40.0


class JobsUnderFaults(stateful.RuleBasedStateMachine):
    """Submits jobs while processes, links and endpoints fail."""

    def __init__(self):
        super().__init__()
        self.world = worlds.World(seed=1)
        self.world.run(1.0)
        self.count = 0
        self.incarnation = 1
        self.open = {}
        self.left_s = {}
        self.submitted_s = {}

    @stateful.rule(
        entry=strategies.sampled_from(ENTRIES),
        count=strategies.integers(1, 6),
        work_s=strategies.sampled_from([0.1, 0.4, 1.5]),
    )
    def submit(self, entry, count, work_s):
        """Submit a new job."""
        if self.world.processes[entry].is_dead:
            return
        self.count += 1
        spec = worlds.job(self.count, count=count, work_s=work_s)
        self.open_job(self.count, entry, spec)

    def open_job(self, number, entry, spec):
        """Submit a job for a caller that waits."""
        self.open[number] = (entry, spec)
        self.submitted_s[number] = self.world.now_s
        self.world.submit(entry, spec)

    @stateful.rule()
    @stateful.precondition(lambda self: self.open)
    def leave(self):
        """Let the caller of the oldest job lose its connection."""
        number = min(self.open)
        entry, spec = self.open.pop(number)
        self.left_s[number] = (self.world.now_s, spec)
        self.world.cancel(entry, spec.job)

    @stateful.rule(entry=strategies.sampled_from(ENTRIES))
    @stateful.precondition(lambda self: self.left_s)
    def submit_again(self, entry):
        """Submit a job again whose caller lost its connection."""
        number = min(self.left_s)
        left_s, spec = self.left_s[number]
        if self.world.processes[entry].is_dead:
            return
        if self.world.now_s < left_s + RESEND_S:
            return
        del self.left_s[number]
        self.open_job(number, entry, spec)

    @stateful.rule(for_s=strategies.sampled_from([0.02, 0.2, 0.7, 1.4]))
    def wait(self, for_s):
        """Let time pass."""
        self.world.run(for_s)

    @stateful.rule(
        name=strategies.sampled_from(ENTRIES + AGENTS),
        for_s=strategies.sampled_from([0.3, 0.9, 1.2, 2.5]),
    )
    def pause(self, name, for_s):
        """Let a process stand still; callers of an entry leave it."""
        if name in ENTRIES:
            self.callers_leave(name)
        self.world.pause(name, for_s)

    @stateful.rule(name=strategies.sampled_from(ENTRIES))
    def restart_entry(self, name):
        """Kill an entry and start it again."""
        self.callers_leave(name)
        self.incarnation += 1
        self.world.kill(name)
        self.world.add_entry(name, self.incarnation)

    @stateful.rule(name=strategies.sampled_from(AGENTS))
    def restart_agent(self, name):
        """Kill an agent and start it again beside its endpoint."""
        self.incarnation += 1
        self.world.kill(name)
        self.world.start_agent(name, self.incarnation)

    @stateful.rule(
        entry=strategies.sampled_from(ENTRIES),
        agent=strategies.sampled_from(AGENTS),
        ways=strategies.sampled_from(["to", "from", "both"]),
    )
    def cut(self, entry, agent, ways):
        """Lose the messages between an entry and an agent."""
        if ways in ("to", "both"):
            self.world.cut.add((entry, agent))
        if ways in ("from", "both"):
            self.world.cut.add((agent, entry))

    @stateful.rule()
    def heal_links(self):
        """Let every message arrive again."""
        self.world.cut.clear()

    @stateful.rule(
        share=strategies.sampled_from([0.0, 0.3]),
        late_s=strategies.sampled_from([0.0, 0.4, 3.0]),
    )
    def lose_starts(self, share, late_s):
        """Lose a share of the answers to starts."""
        self.world.lose_starts = share
        self.world.late_s = late_s

    @stateful.rule(name=strategies.sampled_from(AGENTS))
    def toggle_faulty(self, name):
        """Let an endpoint fail all that it starts, or stop doing so."""
        beside = self.world.endpoints[name]
        beside.is_faulty = not beside.is_faulty

    def callers_leave(self, entry):
        """Let every caller of an entry lose its connection."""
        for number, (name, spec) in list(self.open.items()):
            if name == entry:
                del self.open[number]
                self.left_s[number] = (self.world.now_s, spec)
                self.world.cancel(entry, spec.job)

    @stateful.invariant()
    def nothing_broken(self):
        """Check what must never happen."""
        assert not self.world.violations()

    def teardown(self):
        """Heal every fault; then each job whose caller waits is answered."""
        self.world.cut.clear()
        self.world.lose_starts = 0.0
        for beside in self.world.endpoints.values():
            beside.is_faulty = False
        self.world.run(HEALED_S)
        assert not self.world.violations()
        for number, (entry, spec) in self.open.items():
            found = self.world.answers.get(spec.job, [])
            final = [
                answer
                for at_s, _, answer in found
                if at_s >= self.submitted_s[number]
                and answer.state.value != "cancelled"
            ]
            assert len(final) == 1, (number, entry, found)


def test_random_faults_break_no_promise_fuzz(fuzz_settings):
    """Guards against interleavings that nobody thought of."""
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
