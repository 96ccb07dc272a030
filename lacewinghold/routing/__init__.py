"""Requests of callers to the backend servers of standing services."""
