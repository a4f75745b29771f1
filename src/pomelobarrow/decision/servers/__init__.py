"""Backend servers: load, health, speed, limits and crashes; imports prompts, streams and below."""
