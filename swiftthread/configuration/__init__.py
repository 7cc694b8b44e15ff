"""Reads the configuration of a node and the settings of its router, checks them, and returns typed values."""
