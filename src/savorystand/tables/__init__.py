"""The operators' two tables: routes and pools."""
