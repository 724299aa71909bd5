#pragma once

#include "EdgeState.h"

namespace sagechute::edge {

/// Decodes operator records from the store or from other routers and puts them in force. Thread-safe.
class ConfigIntake {
public:
    ConfigIntake(EdgeState& state, const news::FleetStore& store)
        : m_state(state)
        , m_store(store)
    {
    }

    /// Puts the evacuations in force together with the configuration, so that the configuration is never in force
    /// without the evacuations that were known with it. Logs and ignores a configuration that cannot be decoded;
    /// ignores one that is not newer than the configuration in force.
    /// @param source the router that sent the records, or "store".
    void install(OperatorNews, const std::string& source);

private:
    EdgeState& m_state;
    const news::FleetStore& m_store;
};

} // namespace sagechute::edge
