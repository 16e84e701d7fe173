"""Stand-ins for outside systems, and tools that drive a local deployment."""
