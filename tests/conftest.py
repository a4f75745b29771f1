"""Fixtures shared by several test files."""

from collections.abc import AsyncIterator

import pytest

from harness.deployments import RONDINELLA, VASKTORU
from harness.fleet import Fleet

pytest_plugins = ["proof_report"]


@pytest.fixture
async def rondinella() -> AsyncIterator[Fleet]:
    """Run the complete Rondinella deployment."""
    async with Fleet(RONDINELLA) as fleet:
        yield fleet


@pytest.fixture
async def vasktoru() -> AsyncIterator[Fleet]:
    """Run the complete Vasktoru deployment."""
    async with Fleet(VASKTORU) as fleet:
        yield fleet
