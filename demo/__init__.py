"""Runs whole deployments as processes, for the demo and the tests."""
