"""Small fakes at the interfaces."""
