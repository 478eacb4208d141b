"""Runs complete deployments as local processes, for demo and tests."""
