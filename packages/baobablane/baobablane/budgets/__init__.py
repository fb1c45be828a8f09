"""Re-export availability budgets."""

from ._availability import AvailabilityBudget, spends_budget

__all__ = ["AvailabilityBudget", "spends_budget"]
