"""The decisions of an instance: no sockets, files, threads or clock reads."""
