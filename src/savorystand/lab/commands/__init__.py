"""Commands of savorystand-lab, one file each."""
