"""Routes callers' requests to the backend servers of long-running services."""
