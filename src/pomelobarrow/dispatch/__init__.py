"""Execute the decisions: admit, queue, place, send, forward and retry requests."""
