#pragma once

#include <sagechute/Process.h>
#include <sagechute/Steward.h>

namespace sagechute::steward {

/// Command-line and file settings of the daemon.
struct Options {
    std::string vm;
    std::string platform;
    std::string listen = "127.0.0.1:9300";
    std::string logLevel = "info";
    std::uint64_t memoryMb = 256;
    Duration logTimeout = std::chrono::seconds(3);
    LeaseSettings lease;
    SnapshotSettings snapshots;
    OrderSettings orders;

    /// Declares the settings and binds them to this object, which must outlive @p settings.
    void declare(process::Settings& settings);
};

} // namespace sagechute::steward
