"""Fleet-wide budgets: the store leases shares to pilots, and pilots lease shares to proxies."""
