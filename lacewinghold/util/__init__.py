"""General-purpose helpers, independent of scheduling."""
