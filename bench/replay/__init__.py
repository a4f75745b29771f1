"""Replays of load patterns: the relay's placement decisions against a simulated fleet."""
