#include "Link/peer_link.h"
