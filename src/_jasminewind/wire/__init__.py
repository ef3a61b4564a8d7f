"""Framing and persistent links between processes."""
