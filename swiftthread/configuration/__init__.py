"""Configuration of a node and settings of the router: read once, checked, and typed."""
