"""Start, stop, turns and limits of a node. It decides nothing."""
