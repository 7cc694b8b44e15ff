"""Adapter between the router and the simulator's binary protocol. All decisions are the router's."""
