"""Measurements of the decision logic, one topic per module."""
