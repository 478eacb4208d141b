"""Tests with clients that try to exhaust a node."""
