"""Tests of the remote calls."""
