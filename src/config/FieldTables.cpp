#include "config/Fields.h"

namespace sagechute::config {
namespace {

    constexpr double mebibyte = 1 << 20;
    constexpr double mostQueuedBytes = 1024.0 * 1024 * mebibyte;
    constexpr double dayMs = 24.0 * 3600 * 1000;

} // namespace

template <> const std::vector<Field<Customer>>& fieldsOf<Customer>()
{
    static const std::vector<Field<Customer>> table {
        { "weight", &Customer::weight, "share of service against other customers of the same pool",
            { 0.001, 1'000'000 } },
        { "maxQueued", &Customer::maxQueued, "waiting requests in one router", { 1, 1'000'000 }, "requests" },
        { "maxQueuedBytes", &Customer::maxQueuedBytes, "bodies of waiting requests in one router",
            { 1024, mostQueuedBytes }, "bytes" },
        { "maxConnections", &Customer::maxConnections, "open requests in one router", { 1, 100'000 }, "requests" },
    };
    return table;
}

template <> const std::vector<Field<Service>>& fieldsOf<Service>()
{
    static const std::vector<Field<Service>> table {
        { "pool", &Service::pool, "pool whose targets run the requests", {}, "", TextRule::Name, true },
        { "mode", &Service::mode, "how the pool's targets speak" },
        { "repeatable", &Service::repeatable, "whether a request that does not say may run twice" },
        { "tokenGapLimitMs", &Service::tokenGapLimit, "a stream silent for longer, and for 3 s at least, is broken",
            { 10, 600'000 }, "ms" },
        { "answerLimitMs", &Service::answerLimit, "longest run of one request", { 10, dayMs }, "ms" },
    };
    return table;
}

template <> const std::vector<Field<Target>>& fieldsOf<Target>()
{
    static const std::vector<Field<Target>> table {
        { "pool", &Target::pool, "pool that it belongs to", {}, "", TextRule::Name, true },
        { "zone", &Target::zone, "availability zone", {}, "", TextRule::Name, true },
        { "address", &Target::address, "where it listens", {}, "", TextRule::Address, true },
        { "mode", &Target::mode, "how it speaks" },
        { "slots", &Target::slots, "requests that it runs at once", { 1, 65'536 }, "requests" },
        { "checksFencing", &Target::checksFencing, "whether it refuses orders with an old fencing number" },
        { "state", &Target::state, "a leaving target gets no new work" },
        { "model", &Target::model, "model that it should have loaded; empty: no orders", {}, "", TextRule::Label },
        { "version", &Target::version, "version of the model", {}, "", TextRule::Label },
        { "role", &Target::role, "role that it should have; empty: any", {}, "", TextRule::Label },
    };
    return table;
}

template <> const std::vector<Field<Fleet>>& fieldsOf<Fleet>()
{
    static const std::vector<Field<Fleet>> table {
        { "cellsPerPool", &Fleet::cellsPerPool, "schedulers that share a pool; 0: one for each router", { 0, 4096 } },
        { "locateKeepMs", &Fleet::locateKeep, "how long callers keep the answer to which address", { 100, 600'000 },
            "ms" },
        { "affinitySlack", &Fleet::affinitySlack, "part of the fairness bound that cache affinity may use", { 0, 1 } },
        { "retryBudget", &Fleet::retryBudget, "retries as a part of first attempts", { 0, 1 } },
    };
    return table;
}

template <> const std::vector<Field<Vm>>& fieldsOf<Vm>()
{
    static const std::vector<Field<Vm>> table {
        { "drain", &Vm::drain, "the VM's router takes a planned leave" },
    };
    return table;
}

} // namespace sagechute::config
