"""Measurements of the real code on in-memory fakes, printed against targets."""
