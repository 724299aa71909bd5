#pragma once

#include "net/FileDescriptor.h"

#include <sagechute/Net.h>

namespace sagechute::net {

/// A bound, listening, non-blocking socket and the endpoint that it really has.
struct ListenSocket {
    static constexpr int backlog = 1024; ///< Connections that the kernel keeps until they are taken.

    FileDescriptor fd;
    Endpoint endpoint;

    /// @param options its address and the kernel's buffers; after its idle timeout the kernel starts to probe a silent
    ///        connection.
    /// @return the socket, or an error whose remedy names the address.
    static absl::StatusOr<ListenSocket> make(const ServerOptions& options);
};

} // namespace sagechute::net
