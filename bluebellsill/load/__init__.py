"""The load generator, for experiments and the demo."""
