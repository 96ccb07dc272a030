"""Adapters between the platform's protocol and the project's interfaces."""
