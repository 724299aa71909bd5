#pragma once

/// @file
/// The load plan: who sends what, when, how fast, and where the processes under load are.

#include <sagechute/Core.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sagechute::load {

/// How a service's targets answer.
enum class ServiceMode { Engine, Application };

/// A service that callers address by name.
struct ServicePlan {
    std::string name;
    PoolId pool;
    ServiceMode mode = ServiceMode::Engine;
};

/// A customer and the key that its callers present.
struct CustomerPlan {
    CustomerId id;
    std::string key;
    double weight = 1;
};

/// A target stand-in whose counts are sampled.
struct TargetPlan {
    std::string name;
    PoolId pool;
    std::string address; ///< "127.0.0.1:PORT".
};

/// A router whose metrics are sampled.
struct RouterPlan {
    std::string vm;
    std::string zone;
    std::string address; ///< Callers' address, "127.0.0.1:PORT".
    int processId = 0; ///< Its /proc entry is read when not 0.
};

/// Random whole numbers between two ends.
struct Distribution {
    enum class Shape {
        Uniform,
        LongTail, ///< Bounded Pareto with index 1.2: many near the least, few near the most.
    };
    Shape shape = Shape::Uniform;
    unsigned least = 1;
    unsigned most = 1;

    /// @return a number in [least, most].
    unsigned draw(Random&) const;
};

/// How the requests of a flow begin.
enum class Arrival {
    Closed, ///< A fixed number of callers, each sending its next request after the end of the last.
    Open, ///< A Poisson process of a given rate, whatever the answers do.
};

/// What a flow's callers say about the cost of a request.
enum class HintQuality { None, Right, Wrong };

/// Requests of one customer that are alike.
struct FlowPlan {
    CustomerId customer;
    std::string service;
    std::string zone;
    Arrival arrival = Arrival::Closed;
    unsigned callers = 1; ///< Closed: how many callers.
    double perSecond = 1; ///< Open: mean arrivals a second.
    unsigned maxOutstanding = 2000; ///< Open: arrivals beyond it are left out and counted.
    unsigned clients = 1; ///< Client programs, each with an answer to /v1/locate of its own.
    unsigned promptBytes = 256; ///< Engine: length of the prompt. Application: length of the body.
    unsigned sharedPrefixBytes = 0; ///< Leading bytes that are the same in all prompts of the flow.
    Distribution maxTokens; ///< Engine: tokens asked for. Application: hundredths of a mean call's work, when given.
    bool maxTokensGiven = false;
    HintQuality hint = HintQuality::Right;
    bool repeatable = true;
    bool streamed = false;
    std::chrono::milliseconds deadline { 0 }; ///< 0: none.
    std::chrono::milliseconds start { 0 };
    std::chrono::milliseconds stop { 0 }; ///< 0: at the end of the plan.
    std::vector<std::string> pinnedTo; ///< Addresses that these callers use, whatever /v1/locate says.
    double loseReplies = 0; ///< Share of the sends whose connection the caller closes before the answer, to send again.
    std::chrono::milliseconds loseAfter { 20 }; ///< How long after sending it closes the connection.
};

/// What a caller does after a reply to a request that may not be repeated was lost.
struct ResendPlan {
    unsigned attempts = 8; ///< Sends of the same session and sequence in all, the first included.
    std::chrono::milliseconds backoff { 100 }; ///< Before the second send; doubled for each further one.
    std::chrono::milliseconds mostBackoff { 2000 };
};

/// Everything that sagechute-load is told.
struct Plan {
    std::string scenario = "unnamed";
    std::string deployment = "none";
    std::string policy = "cells";
    std::uint64_t seed = 1;
    std::chrono::milliseconds duration { 10000 }; ///< During which requests begin.
    std::chrono::milliseconds warmUp { 1000 }; ///< Leading time left out of the fairness and utilisation figures.
    std::chrono::milliseconds patience { 30000 }; ///< A request with no end after that counts as lost.
    std::chrono::milliseconds sampleEvery { 250 };
    std::chrono::milliseconds runsEvery {
        2000
    }; ///< How often run counts are fetched, so that a dead target's are known.
    std::string eventsFile; ///< JSON lines written by whoever provokes faults; see Events.h. Empty: none.
    std::vector<std::string> entries; ///< Addresses asked for /v1/locate.
    std::vector<RouterPlan> routers;
    std::vector<TargetPlan> targets;
    std::vector<ServicePlan> services;
    std::vector<CustomerPlan> customers;
    std::vector<FlowPlan> flows;
    ResendPlan resend;

    const ServicePlan* service(std::string_view name) const;
    const CustomerPlan* customer(const CustomerId&) const;
};

/// Reads a plan strictly.
/// @return the plan, or BadRequest naming the path of the field that is unknown, missing or out of range.
absl::StatusOr<Plan> parsePlan(std::string_view text);

} // namespace sagechute::load
