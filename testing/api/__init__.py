"""Tests of the Connect API."""
