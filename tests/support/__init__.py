"""What the tests share: stand-ins, processes and simulated instances."""
