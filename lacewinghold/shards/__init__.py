"""Ownership of shards at work: queues, workers and recovery."""
