"""Stand-ins of the cases: endpoints, the platform's agent, clients, and the node as a process."""
