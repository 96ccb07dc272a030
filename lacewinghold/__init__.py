"""A cluster scheduler for heterogeneous workloads."""

from __future__ import annotations

__version__ = "0.1.0"
