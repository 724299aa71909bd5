#pragma once

#include "net/FileDescriptor.h"

#include <sagechute/Net.h>

namespace sagechute::net {

/// A bound, listening, non-blocking socket and the endpoint that it really has.
struct ListenSocket {
    static constexpr int backlog = 1024; ///< Connections that the kernel keeps until they are taken.

    FileDescriptor fd;
    Endpoint endpoint;

    /// @param silenceLimit time after which the kernel starts to probe a silent connection of this socket.
    /// @return the socket, or an error whose remedy names the address.
    static absl::StatusOr<ListenSocket> make(const Endpoint&, std::chrono::seconds silenceLimit);
};

} // namespace sagechute::net
