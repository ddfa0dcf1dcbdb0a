"""The data path of an entry: from a caller's bytes to a server's and back."""
