#include <sagechute/LogService.h>

#include "core/Concat.h"

#include <nlohmann/json.hpp>

namespace sagechute::logservice {
namespace {

    using nlohmann::json;

    constexpr int okStatus = 200;
    constexpr int answerDepth = 6;
    constexpr std::string_view leavingState = "leaving";

    std::string textIn(const json& item, const char* name)
    {
        const auto it = item.find(name);
        return it != item.end() && it->is_string() ? it->get<std::string>() : std::string();
    }

    absl::Status badList(std::string_view problem)
    {
        return makeError(ErrorKind::Internal, concat("The platform's list of VMs cannot be used: ", problem),
            "Go on with the VMs known so far; the list is only a hint");
    }

    absl::StatusOr<ListedVm> parseVm(const json& item)
    {
        if (!item.is_object())
            return badList("an entry is not an object");
        ListedVm vm { VmId { textIn(item, "vm") }, ZoneId { textIn(item, "zone") }, textIn(item, "address"),
            textIn(item, "state") == leavingState };
        if (vm.vm.empty() || vm.address.empty())
            return badList("an entry has no vm or no address");
        return vm;
    }

} // namespace

absl::StatusOr<std::vector<ListedVm>> listVms(
    net::HttpClient& client, const std::string& baseUrl, std::chrono::milliseconds timeout)
{
    net::ClientRequest request;
    request.url = baseUrl + "/v1/vms";
    request.totalTimeout = timeout;
    const net::ClientResponse response = client.perform(std::move(request));
    if (!net::isUncut(response.result.end) || response.result.httpStatus != okStatus)
        return badList(
            response.result.httpStatus ? concat("status ", response.result.httpStatus) : response.result.detail);
    const absl::StatusOr<json> document = parseJsonStrictly(response.body, answerDepth);
    if (!document.ok())
        return badList(std::string(document.status().message()));
    const auto list = document->is_object() ? document->find("vms") : document->end();
    if (list == document->end() || !list->is_array())
        return badList("it has no \"vms\"");
    std::vector<ListedVm> vms;
    for (const json& item : *list) {
        absl::StatusOr<ListedVm> vm = parseVm(item);
        if (!vm.ok())
            return vm.status();
        vms.push_back(*std::move(vm));
    }
    return vms;
}

} // namespace sagechute::logservice
