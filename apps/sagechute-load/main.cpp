/// @file
/// sagechute-load: callers for trials. Reads a plan, sends its requests, checks every byte of every answer, and
/// reports.

#include "Report.h"

#include <sagechute/Process.h>

#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace sagechute;

/// Exit code when an answer was wrong or a promise broken.
constexpr int exitWrong = 1;

struct Arguments {
    std::string planFile;
    std::string reportFile;
    std::uint64_t threads = 2;
};

absl::StatusOr<std::string> readFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return makeError(
            ErrorKind::NotFound, "the file " + path + " cannot be read", "name an existing file with --plan");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

int fail(const absl::Status& status)
{
    std::cerr << "sagechute-load: " << status.message() << "; " << errorRemedy(status) << '\n';
    return process::exitUsage;
}

nlohmann::json runPlan(const load::Plan& plan, std::unique_ptr<net::HttpClient> http)
{
    load::EventLoop loop;
    load::Callers callers(plan, loop, *http);
    load::Sampler sampler(plan, loop, *http, callers);
    const TimePoint startedAt = steadyNow();
    sampler.start();
    callers.start([&] { sampler.finish([&] { loop.stop(); }); });
    loop.run();
    http.reset(); // Its threads may still post to the loop.
    return load::reportDocument(load::makeReportInput(plan, callers, sampler, steadyNow() - startedAt));
}

int runLoad(const Arguments& arguments)
{
    const absl::StatusOr<std::string> text = readFile(arguments.planFile);
    if (!text.ok())
        return fail(text.status());
    const absl::StatusOr<load::Plan> plan = load::parsePlan(*text);
    if (!plan.ok())
        return fail(plan.status());
    net::ClientOptions options;
    options.threads = static_cast<unsigned>(arguments.threads);
    options.maxPooledConnections = 4096;
    auto http = net::HttpClient::make(options);
    if (!http.ok())
        return fail(http.status());
    const nlohmann::json report = runPlan(*plan, *std::move(http));
    load::printTable(std::cout, report);
    if (!arguments.reportFile.empty())
        std::ofstream(arguments.reportFile) << report.dump(2) << '\n';
    return report["right"].get<bool>() && report["completed"].get<std::uint64_t>() > 0 ? 0 : exitWrong;
}

} // namespace

int main(int argc, char** argv)
{
    Arguments arguments;
    process::Settings settings("sagechute-load", "Sends the requests of a plan, checks every answer, and reports.");
    settings.requiredText("plan", arguments.planFile, "plan file (JSON)")
        .text("report", arguments.reportFile, "where the JSON report goes; none when empty")
        .count("threads", arguments.threads, 1, 16, "threads that send and check");
    if (const std::optional<int> exitCode = settings.read(argc, argv))
        return *exitCode;
    return runLoad(arguments);
}
