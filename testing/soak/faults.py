"""Random fault injection for the soak; most faults are undone in time."""

import dataclasses
import enum
import signal

from testing.decisions.jobs import test_registry
from testing.soak import fleet as fleets
from testing.soak import proxy as proxies

MAX_FAULT_S = 3.0
# An agent that hears nothing for 4.5 s may take its endpoint for gone.
SILENCE_S = (5.0, 7.0)
# Longer than the time in which the last start must have happened.
EVACUATION_S = (6.0, 9.0)
# Together at most ``MAX_FAULT_S``.
DRAIN_S = (0.5, 2.0)
MAX_LINGER_S = 0.5
# The platform names 2 to 12 s; a soak is shorter.
START_DELAYS_S = (0.3, 5.0)
ABSENCES_S = (0.0, 0.5)
# Period of the first announcements of an endpoint, which no agent has
# acknowledged.
FIRST_HEARTBEAT_PERIOD_S = 0.1
FIRST_HEARTBEATS = 12
ODD_ROWS = list(test_registry.ODD_VALUES.values())


class Group(enum.StrEnum):
    """Group of faults.

    A seed draws the same faults as long as it is played with the same groups.
    New kinds of faults therefore get a new group.
    """

    SINGLE = "single"
    # Cancelled jobs too.
    COMBINED = "combined"
    # Endpoints that leave, fall silent or are replaced.
    ENDPOINTS = "endpoints"
    # Evacuated failure domains.
    REMOVALS = "removals"
    # Starts without an answer that are carried out late.
    LATE_STARTS = "late_starts"


ALL_GROUPS = tuple(Group)


@dataclasses.dataclass(frozen=True)
class Injection:
    """A fault that was injected."""

    at_s: float
    kind: str
    text: str


class Faults:
    """Draws faults from a seeded generator and injects them."""

    def __init__(self, fleet, rng, *, groups=ALL_GROUPS):
        self.fleet = fleet
        self.rng = rng
        self.version = 1
        self.injected = []
        by_group = {
            Group.SINGLE: self.single_faults(),
            Group.COMBINED: self.combined_faults(),
            Group.ENDPOINTS: self.endpoint_faults(),
            Group.REMOVALS: self.removal_faults(),
            Group.LATE_STARTS: self.late_start_faults(),
        }
        self.injections = [
            injection
            for group in Group
            if group in groups
            for injection in by_group[group]
        ]

    # A fault that is listed twice is drawn twice as often.

    def single_faults(self):
        """Return faults of one process, connection, store or endpoint."""
        return (
            self.kill,
            self.kill_entry,
            self.kill_entry,
            self.terminate,
            self.pause,
            self.pause,
            self.reset_connections,
            self.silence_connections,
            self.drop_data,
            self.drop_data,
            self.refuse_connections,
            self.delay_data,
            self.fail_store_calls,
            self.lose_store_answers,
            self.drop_store_history,
            self.crash_endpoint,
            self.fail_endpoint_tasks,
            self.hang_endpoint_tasks,
            self.configure,
        )

    def combined_faults(self):
        """Return faults of several connections, and data of others."""
        return (
            self.reset_entry,
            self.reset_entry,
            self.silence_links,
            self.announce_foreign,
            self.write_odd_row,
        )

    def endpoint_faults(self):
        """Return changes of the endpoint of an agent."""
        return (
            self.drain_endpoint,
            self.drain_endpoint,
            self.remove_endpoint,
            self.remove_endpoint,
            self.silence_endpoint,
            self.silence_endpoint,
            self.restart_endpoint,
            self.restart_endpoint,
            self.replace_endpoint_and_agent,
            self.replace_endpoint_and_agent,
        )

    def removal_faults(self):
        """Return removals of the capacity of several endpoints."""
        return (self.evacuate_domain, self.evacuate_domain)

    def late_start_faults(self):
        """Return faults after which starts arrive late."""
        return (
            self.hold_up_starts,
            self.restart_while_starts_are_held_up,
            self.restart_while_starts_are_held_up,
        )

    def counts(self):
        """Return how often each kind that may be drawn was injected."""
        kinds = [injection.kind for injection in self.injected]
        return {
            injection.__name__: kinds.count(injection.__name__)
            for injection in self.injections
        }

    def inject(self):
        """Inject one drawn fault."""
        injection = self.rng.choice(self.injections)
        at_s = round(self.fleet.reactor.seconds(), 2)
        self.injected.append(Injection(at_s, injection.__name__, injection()))

    def schedule_undo(self, call):
        """Call ``call`` after a random time; return that time."""
        delay_s = self.rng.uniform(0.1, MAX_FAULT_S)
        self.schedule(delay_s, call)
        return delay_s

    def schedule(self, delay_s, call):
        """Call ``call`` after a time unless the fleet has stopped by then."""

        def call_unless_stopped():
            if not self.fleet.is_stopped:
                call()

        self.fleet.reactor.callLater(delay_s, call_unless_stopped)

    def draw_process(self):
        """Draw a process."""
        return self.rng.choice(list(self.fleet.processes.values()))

    def draw_proxy(self):
        """Draw a proxy."""
        name = self.rng.choice(list(self.fleet.proxies))
        return name, self.fleet.proxies[name]

    def draw_views(self):
        """Draw store views of some processes, half the time of all."""
        views = list(self.fleet.store_views.values())
        if self.rng.random() < 0.5:
            return views
        return self.rng.sample(views, self.rng.randint(1, len(views)))

    def draw_endpoint(self):
        """Draw the endpoint of an agent."""
        name = self.rng.choice(self.fleet.agent_names)
        return name, self.fleet.machines[name]

    # Processes

    def kill_entry(self):
        """Kill an entry, so that its callers retry at another one."""
        name = self.rng.choice(self.fleet.entry_names)
        return self.kill(self.fleet.processes[name])

    def kill(self, process=None):
        """Kill a process and restart it later."""
        process = process or self.draw_process()
        process.send_signal(signal.SIGKILL)
        return (
            f"kill {process.name} for "
            f"{self.schedule_undo(process.start):.2f} s"
        )

    def terminate(self):
        """Shut a process down gracefully and restart it once it exits."""
        process = self.draw_process()
        process.send_signal(signal.SIGTERM)
        self.schedule(0.5, lambda: self.start_after_exit(process))
        return f"terminate {process.name}"

    def start_after_exit(self, process):
        """Start a process again once it has exited."""
        if process.is_running():
            self.schedule(0.2, lambda: self.start_after_exit(process))
        else:
            process.start()

    def pause(self):
        """Stop a process with SIGSTOP and continue it later."""
        process = self.draw_process()
        process.send_signal(signal.SIGSTOP)
        duration_s = self.schedule_undo(
            lambda: process.send_signal(signal.SIGCONT)
        )
        return f"pause {process.name} for {duration_s:.2f} s"

    # Connections

    def reset_connections(self):
        """Reset the connections through a proxy."""
        name, proxy = self.draw_proxy()
        proxy.reset()
        return f"reset {name}"

    def silence_connections(self):
        """Blackhole the open connections through a proxy for good."""
        name, proxy = self.draw_proxy()
        proxy.silence()
        return f"silence {name}"

    def drop_data(self):
        """Drop the data through a proxy in one direction or both."""
        name, proxy = self.draw_proxy()
        directions = self.rng.choice(
            (
                {proxies.Direction.TO_SERVER},
                {proxies.Direction.TO_CLIENT},
                {proxies.Direction.TO_SERVER, proxies.Direction.TO_CLIENT},
            )
        )
        proxy.dropped_directions = frozenset(directions)

        def undo():
            # The streams lack the dropped bytes and cannot be continued.
            proxy.reset()
            proxy.dropped_directions = frozenset()

        text = " and ".join(
            sorted(direction.value for direction in directions)
        )
        return f"drop {name} {text} for {self.schedule_undo(undo):.2f} s"

    def refuse_connections(self):
        """Refuse new connections at a proxy."""
        name, proxy = self.draw_proxy()
        proxy.refuses_connections = True
        duration_s = self.schedule_undo(
            lambda: setattr(proxy, "refuses_connections", False)
        )
        return f"refuse connections at {name} for {duration_s:.2f} s"

    def delay_data(self):
        """Delay the data through a proxy."""
        name, proxy = self.draw_proxy()
        proxy.delay_s = self.rng.choice((0.02, 0.1, 0.4))
        duration_s = self.schedule_undo(lambda: setattr(proxy, "delay_s", 0.0))
        return f"delay {name} for {duration_s:.2f} s"

    def reset_entry(self):
        """Reset the callers' connections and the links of an entry at once."""
        name = self.rng.choice(self.fleet.entry_names)
        for kind in ("callers", "links"):
            self.fleet.proxies[f"{name}-{kind}"].reset()
        return f"reset all of {name}"

    def silence_links(self):
        """Blackhole the open links of some entries at once."""
        count = self.rng.randint(1, len(self.fleet.entry_names))
        names = self.rng.sample(self.fleet.entry_names, count)
        for name in names:
            self.fleet.proxies[f"{name}-links"].silence()
        return f"silence the links of {', '.join(names)}"

    # Other writers

    def announce_foreign(self):
        """Send an agent a heartbeat of an endpoint that is not there."""
        name, _ = self.draw_endpoint()
        service = self.rng.choice(("label-printers", "orders"))
        foreign = f"x-{self.rng.randint(1, 3)}"
        heartbeat = self.fleet.heartbeat(
            self.fleet.machines[name],
            service=service,
            address="127.0.0.1:9",
            born=2_000_000_000_000,
        )
        self.fleet.send(name, heartbeat.renamed(foreign))
        return f"foreign heartbeat of service {service} to {name}"

    def write_odd_row(self):
        """Write a row that no process can use among those of the entries."""
        key = f"odd-{self.rng.randint(1, 3)}"
        number = self.rng.randrange(len(ODD_ROWS))
        self.fleet.store.put("members", key, ODD_ROWS[number])
        return f"odd row {number}"

    # Store

    def fail_store_calls(self):
        """Answer store calls of some processes with 503 or 429."""
        views = self.draw_views()
        status = self.rng.choice((503, 429))
        for view in views:
            view.status = status

        def undo():
            for view in views:
                view.status = 200

        return (
            f"store {status} for {len(views)} processes, "
            f"{self.schedule_undo(undo):.2f} s"
        )

    def lose_store_answers(self):
        """Apply store writes of some processes without answering them."""
        views = self.draw_views()
        for view in views:
            view.drops_answers = True

        def undo():
            for view in views:
                view.drops_answers = False

        return (
            f"store drops answers for {len(views)} processes, "
            f"{self.schedule_undo(undo):.2f} s"
        )

    def drop_store_history(self):
        """Drop the change history of the store."""
        for view in self.fleet.store_views.values():
            view.oldest = self.fleet.store.version + 1
        self.fleet.store.version += 1
        return "store drops its history"

    def configure(self):
        """Write a configuration with a higher version."""
        self.version += self.rng.randint(1, 5)
        self.fleet.configure(self.version)
        return f"configuration {self.version}"

    # Endpoints

    def crash_endpoint(self):
        """Crash an endpoint and start a new instance."""
        name, machine = self.draw_endpoint()
        self.fleet.start_endpoint(machine)
        return f"crash the endpoint of {name}"

    def fail_endpoint_tasks(self):
        """Make an endpoint fail all new tasks for a while."""
        return self.set_endpoint_fault("is_faulty")

    def hang_endpoint_tasks(self):
        """Make new tasks on an endpoint hang for a while."""
        return self.set_endpoint_fault("is_hanging")

    def set_endpoint_fault(self, fault):
        """Set a fault attribute of an endpoint instance for a while."""
        name, machine = self.draw_endpoint()
        instance = machine.fake
        setattr(instance, fault, True)
        duration_s = self.schedule_undo(
            lambda: setattr(instance, fault, False)
        )
        return f"{fault} at the endpoint of {name} for {duration_s:.2f} s"

    def drain_endpoint(self):
        """Drain an endpoint, then let it leave."""
        name, machine = self.draw_endpoint()
        drain_s = self.rng.uniform(*DRAIN_S)
        leave, text = self.draw_leave(name, machine)
        machine.fake.is_draining = True
        now_s = self.fleet.reactor.seconds()
        machine.fake.drain_ends_s = now_s + drain_s
        self.fleet.announce(name, machine)
        self.schedule(drain_s, leave)
        return f"drain the endpoint of {name} for {drain_s:.2f} s; {text}"

    def remove_endpoint(self):
        """Let an endpoint leave that has not drained."""
        name, machine = self.draw_endpoint()
        leave, text = self.draw_leave(name, machine)
        leave()
        return f"the endpoint of {name}: {text}"

    def draw_leave(self, name, machine):
        """Return a function that lets an endpoint leave, and its text.

        It sends its notice, executes its runs for a while, and ends. A new
        instance starts at once or later.
        """
        instance = machine.fake
        linger_s = self.rng.uniform(0.0, MAX_LINGER_S)
        absence_s = self.rng.choice(ABSENCES_S)

        def leave():
            if machine.fake is instance and not instance.is_down:
                instance.has_left = True
                self.fleet.send(name, self.fleet.leave_notice(machine))
                self.schedule(linger_s, end)

        def end():
            if machine.fake is instance:
                self.fleet.end_endpoint(machine)
                self.schedule(absence_s, start)

        def start():
            if machine.fake is instance:
                self.fleet.start_endpoint(machine)

        return leave, (
            f"it leaves, ends {linger_s:.2f} s later and is replaced "
            f"{absence_s:.2f} s after that"
        )

    def silence_endpoint(self):
        """Stop the heartbeats of an endpoint that answers calls."""
        name, machine = self.draw_endpoint()
        instance = machine.fake
        instance.is_silent = True
        duration_s = self.rng.uniform(*SILENCE_S)
        self.schedule(
            duration_s, lambda: setattr(instance, "is_silent", False)
        )
        return f"no heartbeats of the endpoint of {name}, {duration_s:.2f} s"

    def evacuate_domain(self):
        """Evacuate a failure domain for longer than that may take."""
        domain = self.rng.choice(fleets.DOMAINS)
        duration_s = self.rng.uniform(*EVACUATION_S)
        self.fleet.evacuate(domain)
        self.schedule(duration_s, lambda: self.fleet.end_evacuation(domain))
        return f"evacuate domain {domain} for {duration_s:.2f} s"

    def restart_endpoint(self):
        """Restart an endpoint under its identifier.

        What the earlier instance sent arrives after the new one registered.
        """
        name, machine = self.draw_endpoint()
        kind = self.rng.choice(("ready", "draining", "leave"))
        delay_s = self.rng.uniform(0.05, 1.0)
        if kind == "leave":
            late = self.fleet.leave_notice(machine)
        else:
            late = self.fleet.heartbeat(machine, state=kind)
        self.fleet.start_endpoint(machine, identifier=machine.fake.record.name)
        self.fleet.announce(name, machine)
        self.schedule(delay_s, lambda: self.fleet.send(name, late))
        return (
            f"restart the endpoint of {name} as {machine.fake.record.name}; "
            f"a late call of the earlier instance ({kind}) {delay_s:.2f} s "
            "later"
        )

    def hold_up_starts(self, name="", machine=None):
        """Hold up the starts on an endpoint for a while."""
        if machine is None:
            name, machine = self.draw_endpoint()
        machine.start_delay_s = self.rng.uniform(*START_DELAYS_S)
        duration_s = self.schedule_undo(
            lambda: setattr(machine, "start_delay_s", 0.0)
        )
        return (
            f"hold up the starts of {name} for {machine.start_delay_s:.2f} s, "
            f"{duration_s:.2f} s long"
        )

    def restart_while_starts_are_held_up(self):
        """Hold up the starts on an endpoint, which restarts meanwhile.

        It keeps its identifier. Its agent may restart as well.
        """
        name, machine = self.draw_endpoint()
        text = self.hold_up_starts(name, machine)
        identifier = machine.fake.record.name
        crash_s = self.rng.uniform(0.2, 2.0)
        down_s = self.rng.uniform(0.0, 0.5)

        def crash():
            if machine.fake.record.name == identifier:
                self.fleet.end_endpoint(machine)
                self.schedule(down_s, start)

        def start():
            if machine.fake.record.name == identifier:
                self.fleet.start_endpoint(machine, identifier=identifier)

        self.schedule(crash_s, crash)
        text += f"; it restarts {crash_s:.2f} s later, down {down_s:.2f} s"
        if self.rng.random() < 0.25:
            text += f"; {self.kill(self.fleet.processes[name])}"
        return text

    def replace_endpoint_and_agent(self):
        """Cut an endpoint off, restart its agent and announce another one.

        The endpoint that is cut off executes its runs until the lease ends.
        """
        name, machine = self.draw_endpoint()
        spare = self.fleet.spare_machines[name]
        proxy = self.fleet.proxies[f"{name}-endpoint"]
        process = self.fleet.processes[name]
        start_s = self.rng.uniform(0.0, 0.1)
        duration_s = self.rng.uniform(1.5, MAX_FAULT_S)
        proxy.dropped_directions = frozenset(proxies.Direction)
        machine.fake.is_silent = True
        process.kill()
        self.schedule(start_s, process.start)
        self.fleet.start_endpoint(spare)
        for number in range(FIRST_HEARTBEATS):
            self.schedule(
                number * FIRST_HEARTBEAT_PERIOD_S,
                lambda: self.fleet.announce(name, spare),
            )

        def undo():
            proxy.reset()
            proxy.dropped_directions = frozenset()
            self.fleet.end_endpoint(spare)
            self.fleet.start_endpoint(machine)

        self.schedule(duration_s, undo)
        return (
            f"cut off the endpoint of {name}, restart the agent after "
            f"{start_s:.2f} s, announce {spare.fake.record.name} for "
            f"{duration_s:.2f} s"
        )
