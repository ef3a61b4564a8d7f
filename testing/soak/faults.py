"""Faults that a soak draws, each of which ends by itself."""

import signal

from testing.soak import proxy as proxies

LONGEST_S = 3.0


class Faults:
    """Draws faults from a seed and injects them from outside."""

    def __init__(self, fleet, rng):
        self.fleet = fleet
        self.rng = rng
        self.version = 1
        self.injected = []
        self.kinds = (
            self.kill,
            self.kill_entry,
            self.kill_entry,
            self.terminate,
            self.pause,
            self.pause,
            self.reset,
            self.silence,
            self.swallow,
            self.swallow,
            self.refuse,
            self.delay,
            self.store_refuses,
            self.store_loses,
            self.store_forgets,
            self.crash_endpoint,
            self.spoil_endpoint,
            self.freeze_endpoint,
            self.configure,
        )

    def inject(self):
        """Inject one drawn fault."""
        kind = self.rng.choice(self.kinds)
        self.injected.append((round(self.fleet.reactor.seconds(), 2), kind()))

    def later(self, call):
        """Undo something after a drawn time."""
        delay_s = self.rng.uniform(0.1, LONGEST_S)
        self.fleet.reactor.callLater(delay_s, self.undo, call)
        return delay_s

    def undo(self, call):
        """Undo something unless the fleet has ended."""
        if not self.fleet.is_stopped:
            call()

    def process(self):
        """Draw a process."""
        return self.rng.choice(list(self.fleet.processes.values()))

    def proxy(self):
        """Draw a proxy."""
        name = self.rng.choice(list(self.fleet.proxies))
        return name, self.fleet.proxies[name]

    def views(self):
        """Draw some processes' views of the store, often all of them."""
        views = list(self.fleet.views.values())
        if self.rng.random() < 0.5:
            return views
        return self.rng.sample(views, self.rng.randint(1, len(views)))

    def machine(self):
        """Draw an endpoint."""
        name = self.rng.choice(self.fleet.agent_names)
        return name, self.fleet.machines[name]

    # Processes

    def kill_entry(self):
        """Kill an entry, whose callers then go to another one."""
        name = self.rng.choice(self.fleet.entry_names)
        return self.kill(self.fleet.processes[name])

    def kill(self, process=None):
        """Kill a process and start it again."""
        process = process or self.process()
        process.send(signal.SIGKILL)
        return f"kill {process.name} for {self.later(process.start):.2f} s"

    def terminate(self):
        """Ask a process to leave; a new one starts once it has."""
        process = self.process()
        process.send(signal.SIGTERM)
        self.fleet.reactor.callLater(
            0.5, self.undo, lambda: self.again(process)
        )
        return f"terminate {process.name}"

    def again(self, process):
        """Start a process once its earlier one has ended."""
        if process.is_running():
            self.fleet.reactor.callLater(
                0.2, self.undo, lambda: self.again(process)
            )
        else:
            process.start()

    def pause(self):
        """Let a process stand still."""
        process = self.process()
        process.send(signal.SIGSTOP)
        for_s = self.later(lambda: process.send(signal.SIGCONT))
        return f"pause {process.name} for {for_s:.2f} s"

    # Connections

    def reset(self):
        """Reset the connections through a proxy."""
        name, proxy = self.proxy()
        proxy.reset()
        return f"reset {name}"

    def silence(self):
        """Let the open connections through a proxy go silent for good."""
        name, proxy = self.proxy()
        proxy.silence()
        return f"silence {name}"

    def swallow(self):
        """Cut one way or both."""
        name, proxy = self.proxy()
        ways = self.rng.choice(
            (
                {proxies.Direction.TO_SERVER},
                {proxies.Direction.TO_CLIENT},
                {proxies.Direction.TO_SERVER, proxies.Direction.TO_CLIENT},
            )
        )
        proxy.dropped_directions = frozenset(ways)

        def mend():
            # What was swallowed has left holes in the streams.
            proxy.reset()
            proxy.dropped_directions = frozenset()

        text = " and ".join(sorted(direction.value for direction in ways))
        return f"cut {name} {text} for {self.later(mend):.2f} s"

    def refuse(self):
        """Refuse new connections."""
        name, proxy = self.proxy()
        proxy.refuses_connections = True
        for_s = self.later(
            lambda: setattr(proxy, "refuses_connections", False)
        )
        return f"refuse at {name} for {for_s:.2f} s"

    def delay(self):
        """Delay what passes a proxy."""
        name, proxy = self.proxy()
        proxy.delay_s = self.rng.choice((0.02, 0.1, 0.4))
        for_s = self.later(lambda: setattr(proxy, "delay_s", 0.0))
        return f"delay {name} for {for_s:.2f} s"

    # Store

    def store_refuses(self):
        """Let the store turn some processes away."""
        views = self.views()
        status = self.rng.choice((503, 429))
        for view in views:
            view.status = status

        def mend():
            for view in views:
                view.status = 200

        return f"store {status} for {len(views)}, {self.later(mend):.2f} s"

    def store_loses(self):
        """Let the store carry out writes without an answer."""
        views = self.views()
        for view in views:
            view.loses = True

        def mend():
            for view in views:
                view.loses = False

        return f"store loses for {len(views)}, {self.later(mend):.2f} s"

    def store_forgets(self):
        """Drop the history of the store."""
        for view in self.fleet.views.values():
            view.oldest = self.fleet.store.version + 1
        self.fleet.store.version += 1
        return "store forgets its history"

    def configure(self):
        """Write a newer configuration."""
        self.version += self.rng.randint(1, 5)
        self.fleet.configure(self.version)
        return f"configuration {self.version}"

    # Endpoints

    def crash_endpoint(self):
        """Let an endpoint crash and begin a new life."""
        name, _ = self.machine()
        self.fleet.renew_life(name)
        return f"crash the endpoint of {name}"

    def spoil_endpoint(self):
        """Let an endpoint fail all that it starts."""
        return self.damage("is_faulty")

    def freeze_endpoint(self):
        """Let new tasks on an endpoint stand still."""
        return self.damage("is_hanging")

    def damage(self, fault):
        """Set a fault of one life of an endpoint for a while."""
        name, machine = self.machine()
        life = machine.fake
        setattr(life, fault, True)
        for_s = self.later(lambda: setattr(life, fault, False))
        return f"{fault} at the endpoint of {name} for {for_s:.2f} s"
