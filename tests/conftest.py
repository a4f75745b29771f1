"""Fixtures that several test files share."""

pytest_plugins = ["proof_report"]
