"""Small stand-ins for what a pilot serves: endpoints, proxies, clients, a list service, and relays that break links."""
