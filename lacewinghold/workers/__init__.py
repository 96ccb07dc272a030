"""Links to workers and the platform's instance list."""
