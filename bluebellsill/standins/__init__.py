"""Stand-ins for what surrounds a node, for tests and the demo."""
