"""Links between entry instances."""
