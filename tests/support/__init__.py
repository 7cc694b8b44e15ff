"""What the tests share: fake servers, the node as a process, and simulated nodes."""
