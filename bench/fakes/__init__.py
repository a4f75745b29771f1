"""In-memory fakes that drive the decision logic."""
