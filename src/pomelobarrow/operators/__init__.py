"""Command line, logs, metrics and traces for operators."""
