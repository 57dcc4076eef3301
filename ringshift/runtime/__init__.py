"""Clock, log set-up and bounds: the floor that all other packages stand on, importing none of them."""
