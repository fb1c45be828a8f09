"""Let operators publish their register and rules and track the roll-out."""
