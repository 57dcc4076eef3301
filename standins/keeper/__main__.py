import sys

from standins.keeper.server import main

sys.exit(main())
