"""The adapter between the decisions and the simulator's wire. It decides nothing."""
