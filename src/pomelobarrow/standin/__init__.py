"""Simulated platform, engine, service and network processes (stand-ins) for tests and demos."""
