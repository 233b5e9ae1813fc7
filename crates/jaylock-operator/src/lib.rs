//! The operators' side: the service that answers them and the command-line tool.
