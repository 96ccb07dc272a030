"""Decisions on where tasks run."""
