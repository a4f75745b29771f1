"""Reading and watching what the platform publishes; nothing is ever written."""
