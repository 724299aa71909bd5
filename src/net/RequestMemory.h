#pragma once

#include <sagechute/Net.h>

namespace sagechute::net {

/// What a request holds of its server's budgets, while it is read and until it is answered.
struct RequestMemory {
    explicit RequestMemory(const ServerOptions& options)
        : head(options.headBudget)
        , body(options.bodyBudget)
    {
    }

    ByteReservation head;
    ByteReservation body;
};

} // namespace sagechute::net
