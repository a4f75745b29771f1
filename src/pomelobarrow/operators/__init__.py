"""What operators use: the command line, logs, metrics and traces."""
