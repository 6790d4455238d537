"""Sans-I/O core of an instance: no sockets, files, threads or clock reads."""
