#include "ConfigIntake.h"

#include "AgeText.h"

#include <sagechute/Process.h>

#include <algorithm>

namespace sagechute::edge {

namespace {

    void logInstalled(const news::ConfigRecord& record, const dispatch::FleetConfig& config, const std::string& source,
        const std::string& formerAge)
    {
        process::log(process::LogLevel::Info, "configuration-in-force",
            { { "version", std::to_string(record.version) }, { "offset", std::to_string(record.position.offset) },
                { "source", source }, { "routes", std::to_string(config.routes.size()) },
                { "customers", std::to_string(config.customers.size()) },
                { "tokens-per-second", std::to_string(static_cast<std::uint64_t>(config.tokensPerSecond)) },
                { "former-age-ms", formerAge } });
    }

} // namespace

void ConfigIntake::install(OperatorNews news, const std::string& source)
{
    std::optional<dispatch::FleetConfig> config;
    if (news.config) {
        absl::StatusOr<dispatch::FleetConfig> decoded = m_store.decodeConfig(news.config->document);
        if (decoded.ok()) {
            config = std::move(*decoded);
        } else {
            process::log(process::LogLevel::Error, "configuration-unreadable",
                { { "version", std::to_string(news.config->version) },
                    { "reason", std::string(decoded.status().message()) } });
            // The record counts as unknown, so that it is read from the store.
            const news::LogPosition position = news.config->position;
            news.next = position.era == news.next.era ? std::min(news.next, position) : news::LogPosition {};
        }
    }
    const TimePoint now = unsuspendedNow();
    const std::string formerAge = formatAgeMs(m_state.knowledge().configUntil, now);
    const OperatorChanges changes = m_state.installOperatorNews(now, news, config);
    for (const news::ZoneChange& it : changes.zones)
        process::log(process::LogLevel::Warning, it.isEvacuated ? "zone-evacuated" : "zone-returned",
            { { "zone", it.zone.value }, { "offset", std::to_string(it.position.offset) }, { "source", source },
                { "former-age-ms", formerAge }, { "in-force", m_state.appliesEvacuations ? "yes" : "no" } });
    if (news.hasAllZones && news.config && news.config->version < m_state.configVersion())
        process::log(process::LogLevel::Info, "older-configuration-ignored",
            { { "version", std::to_string(news.config->version) }, { "source", source },
                { "in-force", std::to_string(m_state.configVersion()) } });
    if (changes.isConfigInstalled)
        logInstalled(*news.config, *config, source, formerAge);
}

} // namespace sagechute::edge
