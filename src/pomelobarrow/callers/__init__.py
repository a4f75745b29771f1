"""The interface for callers and the HTTP server that carries it."""
