"""Run a whole deployment and compare its guarantees with what was observed."""
