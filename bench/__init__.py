"""Benchmarks of the gateway's overhead, decisions and behaviour under load and faults."""
