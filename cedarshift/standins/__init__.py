"""Stand-ins for rehearsals and tests: endpoints, proxies, clients, lists and fault-injecting relays."""
