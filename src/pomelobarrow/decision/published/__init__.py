"""Configuration as published: its values, checks, copies and proofs; imports common."""
