"""Tests of failures with real processes on loopback."""
