"""Fakes at the interfaces, shipped for tests of this and of embedding programs."""
