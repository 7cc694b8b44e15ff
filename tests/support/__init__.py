"""Helpers shared by the tests: fake servers, the node as a process, and simulated nodes."""
