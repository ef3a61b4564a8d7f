"""Typed messages that processes send to each other."""
