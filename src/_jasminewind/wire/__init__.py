"""Framing and lasting links between the processes."""
