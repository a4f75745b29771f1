"""Start a deployment as separate processes for the demo, the proof tests and benchmarks."""
