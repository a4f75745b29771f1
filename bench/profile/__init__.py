"""Measure one daemon's CPU time and memory for requests and state exchange, by fleet size."""
