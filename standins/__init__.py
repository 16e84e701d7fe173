"""Stand-ins for systems outside the product."""
