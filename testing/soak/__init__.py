"""Randomized soak test of real processes on one machine.

Faults are injected from outside the processes: by loopback proxies, by
signals, and by fakes of the store and of the endpoints.
"""
