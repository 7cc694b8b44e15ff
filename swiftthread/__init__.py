"""swiftthread: a service that delivers notifications to external receivers."""
