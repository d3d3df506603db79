"""What the product keeps in the platform's store, in its own names."""
