"""Small in-memory fakes that drive the pure decision logic."""
