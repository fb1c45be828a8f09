"""Let operators publish their register and rules and watch them applied."""
