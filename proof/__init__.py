"""Run whole systems under random faults and check the promises they make."""
