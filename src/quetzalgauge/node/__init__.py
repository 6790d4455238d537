"""The process of an instance: sockets, threads and clocks around the core."""
