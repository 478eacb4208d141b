"""Adapters for the names, formats and APIs of the Palaistra platform."""
