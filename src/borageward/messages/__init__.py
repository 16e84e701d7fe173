"""Wire messages between the processes of the dispatcher."""
