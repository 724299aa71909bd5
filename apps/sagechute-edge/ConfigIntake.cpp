#include "ConfigIntake.h"

#include "AgeText.h"

#include <sagechute/Process.h>

namespace sagechute::edge {

void ConfigIntake::install(const news::ConfigRecord& record, const std::string& source)
{
    absl::StatusOr<dispatch::FleetConfig> config = m_store.decodeConfig(record.document);
    if (!config.ok()) {
        process::log(process::LogLevel::Error, "configuration-unreadable",
            { { "version", std::to_string(record.version) }, { "reason", std::string(config.status().message()) } });
        return;
    }
    const std::size_t routes = config->routes.size();
    const std::size_t customers = config->customers.size();
    const auto tokensPerSecond = static_cast<std::uint64_t>(config->tokensPerSecond);
    const std::optional<TimePoint> knownUntil = m_state.knowledge().configUntil;
    if (!m_state.installConfig(record, std::move(*config)))
        return;
    m_nextOffset = record.offset + 1;
    process::log(process::LogLevel::Info, "configuration-in-force",
        { { "version", std::to_string(record.version) }, { "offset", std::to_string(record.offset) },
            { "source", source }, { "routes", std::to_string(routes) }, { "customers", std::to_string(customers) },
            { "tokens-per-second", std::to_string(tokensPerSecond) },
            { "former-age-ms", formatAgeMs(knownUntil, unsuspendedNow()) } });
}

} // namespace sagechute::edge
