"""Tests of processes under clients that the operators do not control."""
