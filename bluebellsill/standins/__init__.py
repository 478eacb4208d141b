"""Simulated targets and stores, for tests and the demo."""
