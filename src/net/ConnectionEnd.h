#pragma once

#include <poll.h>

namespace sagechute::net {

/// @return whether the other side has ended the connection, as far as the kernel knows.
inline bool hasEnded(int fd)
{
    pollfd end { fd, POLLRDHUP, 0 };
    return poll(&end, 1, 0) == 1 && (end.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

} // namespace sagechute::net
