"""Golden data: what an earlier build stored or sent, read by the present one."""
