"""Reads and checks the configuration of a node and the settings of its router once, into typed values."""
