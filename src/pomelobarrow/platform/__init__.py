"""The adapter to the platform: it translates the platform's formats and makes no decisions."""
