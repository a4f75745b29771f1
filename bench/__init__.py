"""Measure the gateway: its overhead and its decisions."""
