"""Speak to engines and plain services."""
