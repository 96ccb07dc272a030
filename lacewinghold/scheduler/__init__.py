"""Decides for all workers of a cell: queues, placement, runs and recovery."""
