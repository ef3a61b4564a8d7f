"""Scheduling of jobs: queues, placement, runs and their leases."""
