#include "Observations.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <sstream>
#include <unistd.h>

namespace sagechute::load {

namespace {

    using nlohmann::json;

    absl::Status formError(const std::string& what, const json::exception& error)
    {
        return makeError(ErrorKind::BadRequest, what + " has another form: " + error.what(),
            "compare it with docs/design/protocols.md");
    }

    /// Reads the labels of {name="value",...}.
    /// @param text from after the opening brace.
    /// @return the position after the closing brace, or npos.
    std::size_t readLabels(std::string_view text, std::map<std::string, std::string>& out)
    {
        std::size_t at = 0;
        while (at < text.size() && text[at] != '}') {
            const std::size_t equals = text.find("=\"", at);
            if (equals == std::string_view::npos)
                return std::string_view::npos;
            const std::size_t quote = text.find('"', equals + 2);
            if (quote == std::string_view::npos)
                return std::string_view::npos;
            out[std::string(text.substr(at, equals - at))] = text.substr(equals + 2, quote - equals - 2);
            at = quote + 1;
            if (at < text.size() && text[at] == ',')
                ++at;
        }
        return at < text.size() ? at + 1 : std::string_view::npos;
    }

    bool readMetricLine(std::string_view line, MetricSample& out)
    {
        if (line.empty() || line.front() == '#')
            return false;
        std::size_t at = line.find_first_of("{ ");
        if (at == std::string_view::npos)
            return false;
        out.name = line.substr(0, at);
        if (line[at] == '{') {
            const std::size_t length = readLabels(line.substr(at + 1), out.labels);
            if (length == std::string_view::npos)
                return false;
            at += 1 + length;
        }
        std::istringstream value { std::string(line.substr(at)) };
        return static_cast<bool>(value >> out.value);
    }

    template <typename Use> void forEachLine(std::string_view text, Use use)
    {
        for (std::size_t end = text.find('\n'); end != std::string_view::npos; end = text.find('\n')) {
            use(text.substr(0, end));
            text.remove_prefix(end + 1);
        }
    }

} // namespace

absl::StatusOr<TargetStats> parseTargetStats(std::string_view body)
{
    try {
        const json document = json::parse(body);
        TargetStats stats;
        stats.busySlotSeconds = document.at("busySlotSeconds").get<double>();
        stats.slots = document.at("slots").get<double>();
        stats.sinceSeconds = document.at("sinceSeconds").get<double>();
        stats.running = document.at("running").get<unsigned>();
        stats.lastStartedAtUnix = std::chrono::milliseconds(document.at("lastStartedMs").get<std::int64_t>());
        document.at("costByCustomer").get_to(stats.costByCustomer);
        stats.tellsRunningByCustomer = document.contains("runningByCustomer");
        if (stats.tellsRunningByCustomer)
            document.at("runningByCustomer").get_to(stats.runningByCustomer);
        document.at("startedByCustomer").get_to(stats.startedByCustomer);
        return stats;
    } catch (const json::exception& error) {
        return formError("a target's /standin/stats", error);
    }
}

absl::StatusOr<TargetRuns> parseTargetRuns(std::string_view body)
{
    try {
        const json document = json::parse(body);
        TargetRuns runs;
        runs.total = document.at("total").get<std::uint64_t>();
        if (document.contains("tags"))
            document.at("tags").get_to(runs.tags);
        return runs;
    } catch (const json::exception& error) {
        return formError("a target's /standin/runs", error);
    }
}

std::vector<MetricSample> parseMetrics(std::string_view page)
{
    std::vector<MetricSample> samples;
    forEachLine(page, [&](std::string_view line) {
        MetricSample sample;
        if (readMetricLine(line, sample))
            samples.push_back(std::move(sample));
    });
    return samples;
}

double sumOf(const std::vector<MetricSample>& samples, std::string_view name)
{
    double sum = 0;
    for (const MetricSample& it : samples)
        sum += it.name == name ? it.value : 0;
    return sum;
}

std::vector<ScriptEvent> parseScriptEvents(std::string_view text)
{
    std::vector<ScriptEvent> events;
    forEachLine(text, [&](std::string_view line) {
        const json document = json::parse(line, nullptr, false);
        if (!document.is_object())
            return;
        ScriptEvent event;
        event.atUnix = std::chrono::milliseconds(document.value("atUnixMs", std::int64_t { 0 }));
        event.event = document.value("event", "");
        event.target = document.value("target", "");
        event.text = document.value("text", "");
        event.milliseconds = document.value("milliseconds", 0.0);
        events.push_back(std::move(event));
    });
    return events;
}

ProcessUsage processUsage(int processId)
{
    const std::string folder = "/proc/" + std::to_string(processId);
    ProcessUsage usage;
    std::uint64_t totalPages = 0;
    std::uint64_t residentPages = 0;
    std::ifstream(folder + "/statm") >> totalPages >> residentPages;
    usage.residentBytes = residentPages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
    std::string line;
    std::getline(std::ifstream(folder + "/stat"), line);
    // The second field is the program's name in parentheses and may hold spaces; count from behind it.
    const std::size_t nameEnd = line.rfind(')');
    if (nameEnd == std::string::npos)
        return usage;
    std::istringstream fields(line.substr(nameEnd + 1));
    std::string skipped;
    constexpr int fieldsBeforeUserTime = 11;
    for (int n = 0; n < fieldsBeforeUserTime; ++n)
        fields >> skipped;
    double userTicks = 0;
    double systemTicks = 0;
    fields >> userTicks >> systemTicks;
    usage.cpuSeconds = (userTicks + systemTicks) / static_cast<double>(sysconf(_SC_CLK_TCK));
    return usage;
}

} // namespace sagechute::load
