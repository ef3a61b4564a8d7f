"""A randomized soak of real processes on one machine.

Faults are injected from outside the processes: by loopback proxies, by
signals, and by stand-ins of the store and of the endpoints.
"""
