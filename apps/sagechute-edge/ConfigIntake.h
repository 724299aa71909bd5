#pragma once

#include "EdgeState.h"

namespace sagechute::edge {

/// Decodes configurations from the store or from other routers and puts them in force. Thread-safe.
class ConfigIntake {
public:
    ConfigIntake(EdgeState& state, const news::FleetStore& store)
        : m_state(state)
        , m_store(store)
    {
    }

    /// Logs and ignores a record that cannot be decoded; ignores one that is not newer than the configuration in force.
    /// @param source the router that sent the record, or "store".
    void install(const news::ConfigRecord&, const std::string& source);

    /// @return offset after the record of the configuration in force; zero before the first one.
    LogOffset nextOffset() const { return m_nextOffset; }

private:
    EdgeState& m_state;
    const news::FleetStore& m_store;
    std::atomic<LogOffset> m_nextOffset { 0 };
};

} // namespace sagechute::edge
