"""Register hypothesis profiles: fixed examples for CI, random ones for soak tests."""

import os

from hypothesis import HealthCheck, settings

SUPPRESSED_CHECKS = [HealthCheck.too_slow, HealthCheck.data_too_large]

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    max_examples=100,
    suppress_health_check=SUPPRESSED_CHECKS,
)
settings.register_profile(
    "soak",
    deadline=None,
    max_examples=5000,
    print_blob=True,
    suppress_health_check=SUPPRESSED_CHECKS,
)
settings.load_profile(os.environ.get("BAOBAB_HYPOTHESIS", "ci"))
