"""HTTP server and request handling for callers."""
