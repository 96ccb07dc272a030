"""Organisations that share the cell: keys, caps and fair shares."""
