"""swiftthread: a delivery service for notifications to outside receivers."""
