#pragma once

#include "EdgeState.h"

namespace sagechute::edge {

/// Puts configurations in force, whoever brings them. May be called from any thread.
class ConfigIntake {
public:
    ConfigIntake(EdgeState& state, const news::FleetStore& store)
        : m_state(state)
        , m_store(store)
    {
    }

    /// @param source the router that handed it over, or "store".
    void adopt(const news::ConfigRecord&, const std::string& source);

    /// @return the record after the newest configuration in force; zero before the first.
    LogOffset next() const { return m_next; }

private:
    EdgeState& m_state;
    const news::FleetStore& m_store;
    std::atomic<LogOffset> m_next { 0 };
};

} // namespace sagechute::edge
