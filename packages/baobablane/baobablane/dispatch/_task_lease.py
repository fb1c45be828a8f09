"""Bound how long an upstream runs a task whose lease is not renewed."""

TASK_LEASE_SECONDS = 10.0
RENEWALS_PER_LEASE = 3
