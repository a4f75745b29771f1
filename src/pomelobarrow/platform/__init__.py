"""The adapter to the platform: it translates what the platform says and decides nothing."""
