"""Commands of ``savorystand-lab``, one per module."""
