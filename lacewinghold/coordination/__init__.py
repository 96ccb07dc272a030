"""Leases, epochs, ledgers and membership, usable without the daemons."""
