"""Random fault injection for the soak; most faults are undone in time."""

import signal

from testing.decisions.jobs import test_registry
from testing.soak import proxy as proxies

MAX_FAULT_S = 3.0
ODD_ROWS = list(test_registry.ODD_VALUES.values())


class Faults:
    """Draws faults from a seeded generator and injects them.

    Without the combined faults a seed draws what it drew before they were
    added.
    """

    def __init__(self, fleet, rng, *, has_combined=True):
        self.fleet = fleet
        self.rng = rng
        self.version = 1
        self.injected = []
        self.injections = (
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
        if has_combined:
            self.injections += (
                self.reset_entry,
                self.reset_entry,
                self.silence_links,
                self.announce_foreign,
                self.write_odd_row,
            )

    def inject(self):
        """Inject one drawn fault."""
        injection = self.rng.choice(self.injections)
        self.injected.append(
            (round(self.fleet.reactor.seconds(), 2), injection())
        )

    def schedule_undo(self, call):
        """Call ``call`` after a random time; return that time."""
        delay_s = self.rng.uniform(0.1, MAX_FAULT_S)
        self.fleet.reactor.callLater(delay_s, self.undo_unless_stopped, call)
        return delay_s

    def undo_unless_stopped(self, call):
        """Call ``call`` unless the fleet has stopped."""
        if not self.fleet.is_stopped:
            call()

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
        self.fleet.reactor.callLater(
            0.5,
            self.undo_unless_stopped,
            lambda: self.start_after_exit(process),
        )
        return f"terminate {process.name}"

    def start_after_exit(self, process):
        """Start a process again once it has exited."""
        if process.is_running():
            self.fleet.reactor.callLater(
                0.2,
                self.undo_unless_stopped,
                lambda: self.start_after_exit(process),
            )
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
        self.fleet.send_heartbeat(
            name,
            endpoint=f"x-{self.rng.randint(1, 3)}",
            service=service,
            address="127.0.0.1:9",
            born=2_000_000_000_000,
        )
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
        name, _ = self.draw_endpoint()
        self.fleet.restart_endpoint(name)
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
