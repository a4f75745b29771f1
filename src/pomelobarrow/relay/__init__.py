"""Relay requests unchanged: route them, place them on backend servers and forward the answers."""
