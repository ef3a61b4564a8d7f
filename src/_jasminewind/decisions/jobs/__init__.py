"""Jobs whose answer waits for their tasks: queues, placement and runs."""
