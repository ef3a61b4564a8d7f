"""Failure tests with real processes on loopback."""
