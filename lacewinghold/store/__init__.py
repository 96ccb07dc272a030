"""The platform's key-value store."""
