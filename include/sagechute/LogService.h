#pragma once

/// @file
/// Adapters over HTTP to the log service and the list of VMs of deployments that bring these: the product's own
/// interface.

#include <sagechute/Config.h>
#include <sagechute/Net.h>

#include <memory>
#include <string>
#include <vector>

namespace sagechute::logservice {

/// The log over HTTP. Safe to use from several threads.
/// @param client outlives the port. @param baseUrl "http://ADDRESS:PORT".
std::unique_ptr<config::LogPort> makeHttpLog(
    net::HttpClient& client, std::string baseUrl, std::chrono::milliseconds timeout);

/// A VM as the platform lists it; the list lags.
struct ListedVm {
    VmId vm;
    ZoneId zone;
    std::string address;
    bool leaving = false;
};
absl::StatusOr<std::vector<ListedVm>> listVms(
    net::HttpClient&, const std::string& baseUrl, std::chrono::milliseconds timeout);

} // namespace sagechute::logservice
