"""Plays callers, for experiments and the demo."""
