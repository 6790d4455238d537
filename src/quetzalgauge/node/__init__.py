"""The program of an instance: sockets, threads and clocks round the core."""
