"""Commands for developers."""
