"""The operators' document."""
