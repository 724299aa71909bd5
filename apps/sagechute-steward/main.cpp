#include "Daemon.h"

#include <iostream>

using namespace sagechute;

namespace {

int report(const absl::Status& status, int code)
{
    std::cerr << "sagechute-steward: " << status.message() << "; " << errorRemedy(status) << "\n";
    return code;
}

} // namespace

int main(int argc, char** argv)
{
    // First of all: until it blocks SIGHUP, a reload request ends the process.
    process::StopSignal signal;
    process::limitFreedMemory();
    steward::Options options;
    process::Settings settings("sagechute-steward",
        "sends orders to targets and writes configuration snapshots while it holds a lease in the log");
    options.declare(settings);
    if (const std::optional<int> code = settings.read(argc, argv))
        return *code;
    const absl::Status logging = process::startLogging("sagechute-steward", options.logLevel, VmId { options.vm }, 0);
    if (!logging.ok())
        return report(logging, process::exitUsage);
    const auto daemon = steward::Daemon::make(options);
    if (!daemon.ok())
        return report(daemon.status(), 1);
    (*daemon)->run(signal);
    return 0;
}
