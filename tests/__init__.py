"""Tests of bluebellsill."""
