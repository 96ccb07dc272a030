"""JSON Schema of messages, settings and records, and the generated code."""
