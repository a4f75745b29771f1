"""Carry out the decisions: admit, queue, place, send, forward and try again."""
