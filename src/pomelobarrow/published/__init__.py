"""What the platform publishes, as this daemon holds it, and the watch that keeps it fresh."""
