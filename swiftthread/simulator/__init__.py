"""Adapter between the router and the simulator's binary protocol. Nothing is decided here."""
