"""Local copies of the keyspaces that the platform publishes, and the watcher that updates them."""
