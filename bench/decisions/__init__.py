"""Measure the pure decision logic, one matter a module."""
