"""Model of the run protocol in virtual time, with faults drawn from a seed."""
