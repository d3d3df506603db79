"""In-memory fakes of the interfaces that the product depends on."""
