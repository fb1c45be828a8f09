"""Re-export the availability budgets of services."""

from ._availability import AvailabilityBudget, spends_budget

__all__ = ["AvailabilityBudget", "spends_budget"]
