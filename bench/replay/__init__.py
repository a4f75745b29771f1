"""Replays of load patterns: the relay's own decisions before a modelled fleet."""
