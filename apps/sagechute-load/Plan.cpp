#include "Plan.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

namespace sagechute::load {

namespace {

    using nlohmann::json;

    /// Reads the members of one JSON object and remembers the first error, so that a reader is a plain list of fields.
    class ObjectReader {
    public:
        ObjectReader(const json& object, std::string path, absl::Status& status)
            : m_object(object)
            , m_path(std::move(path))
            , m_status(status)
        {
            if (!object.is_object())
                fail("", "is not an object");
        }

        /// An unknown field is usually a misspelt one, whose default would silently be used: the run would measure
        /// something else.
        ~ObjectReader()
        {
            if (!m_object.is_object())
                return;
            for (const auto& it : m_object.items()) {
                if (!m_seen.contains(it.key()))
                    fail(it.key(), "is unknown");
            }
        }

        ObjectReader(const ObjectReader&) = delete;
        ObjectReader& operator=(const ObjectReader&) = delete;

        const json* find(const std::string& name)
        {
            m_seen.insert(name);
            if (!m_object.is_object() || !m_object.contains(name))
                return nullptr;
            return &m_object[name];
        }

        void text(const std::string& name, std::string& out)
        {
            const json* value = find(name);
            if (!value)
                return;
            if (!value->is_string())
                return fail(name, "is not a text");
            out = value->get<std::string>();
        }

        void requiredText(const std::string& name, std::string& out)
        {
            text(name, out);
            if (out.empty())
                fail(name, "is missing or empty");
        }

        void flag(const std::string& name, bool& out)
        {
            const json* value = find(name);
            if (!value)
                return;
            if (!value->is_boolean())
                return fail(name, "is neither true nor false");
            out = value->get<bool>();
        }

        template <typename T> void number(const std::string& name, T& out, double least, double most)
        {
            const json* value = find(name);
            if (!value)
                return;
            const double read = value->is_number() ? value->get<double>() : std::numeric_limits<double>::quiet_NaN();
            if (!(read >= least && read <= most))
                return fail(name, "is not a number from " + std::to_string(least) + " to " + std::to_string(most));
            out = static_cast<T>(read);
        }

        void duration(const std::string& name, std::chrono::milliseconds& out)
        {
            constexpr double mostMs = 24.0 * 3600 * 1000;
            std::int64_t read = out.count();
            number(name, read, 0, mostMs);
            out = std::chrono::milliseconds(read);
        }

        void texts(const std::string& name, std::vector<std::string>& out)
        {
            const json* value = find(name);
            if (!value)
                return;
            if (!value->is_array())
                return fail(name, "is not a list");
            for (const json& it : *value) {
                if (!it.is_string())
                    return fail(name, "holds something that is not a text");
                out.push_back(it.get<std::string>());
            }
        }

        template <typename T> void choice(const std::string& name, T& out, const std::map<std::string, T>& choices)
        {
            std::string read;
            text(name, read);
            if (read.empty())
                return;
            const auto it = choices.find(read);
            if (it == choices.end())
                return fail(name, "is not a known choice: " + read);
            out = it->second;
        }

        template <typename T, typename Read> void list(const std::string& name, std::vector<T>& out, Read read)
        {
            const json* value = find(name);
            if (!value)
                return;
            if (!value->is_array())
                return fail(name, "is not a list");
            for (std::size_t n = 0; n < value->size(); ++n) {
                ObjectReader element((*value)[n], m_path + "/" + name + "/" + std::to_string(n), m_status);
                out.push_back(read(element));
            }
        }

        void fail(const std::string& name, const std::string& problem)
        {
            if (!m_status.ok())
                return;
            m_status = makeError(ErrorKind::BadRequest, "the plan's " + m_path + "/" + name + " " + problem,
                "correct that field; apps/sagechute-load/Plan.h lists all of them");
        }

        absl::Status& status() { return m_status; }
        const std::string& path() const { return m_path; }

    private:
        const json& m_object;
        std::string m_path;
        absl::Status& m_status;
        std::set<std::string> m_seen;
    };

    ServicePlan readService(ObjectReader& reader)
    {
        ServicePlan service;
        reader.requiredText("name", service.name);
        reader.requiredText("pool", service.pool.value);
        reader.choice("mode", service.mode,
            std::map<std::string, ServiceMode> {
                { "engine", ServiceMode::Engine }, { "application", ServiceMode::Application } });
        return service;
    }

    CustomerPlan readCustomer(ObjectReader& reader)
    {
        CustomerPlan customer;
        reader.requiredText("name", customer.id.value);
        reader.requiredText("key", customer.key);
        reader.number("weight", customer.weight, 0.001, 1000);
        return customer;
    }

    TargetPlan readTarget(ObjectReader& reader)
    {
        TargetPlan target;
        reader.requiredText("name", target.name);
        reader.requiredText("pool", target.pool.value);
        reader.requiredText("address", target.address);
        return target;
    }

    RouterPlan readRouter(ObjectReader& reader)
    {
        RouterPlan router;
        reader.requiredText("vm", router.vm);
        reader.text("zone", router.zone);
        reader.requiredText("address", router.address);
        reader.number("processId", router.processId, 0, 1 << 30);
        return router;
    }

    Distribution readDistribution(const json& value, const std::string& path, absl::Status& status)
    {
        Distribution distribution;
        ObjectReader reader(value, path, status);
        reader.choice("shape", distribution.shape,
            std::map<std::string, Distribution::Shape> {
                { "uniform", Distribution::Shape::Uniform }, { "longTail", Distribution::Shape::LongTail } });
        reader.number("least", distribution.least, 1, 1 << 20);
        distribution.most = distribution.least;
        reader.number("most", distribution.most, distribution.least, 1 << 20);
        return distribution;
    }

    void readArrival(ObjectReader& reader, FlowPlan& flow)
    {
        reader.choice("arrival", flow.arrival,
            std::map<std::string, Arrival> { { "closed", Arrival::Closed }, { "open", Arrival::Open } });
        reader.number("callers", flow.callers, 1, 100000);
        reader.number("perSecond", flow.perSecond, 0.001, 100000);
        reader.number("maxOutstanding", flow.maxOutstanding, 1, 100000);
        reader.number("clients", flow.clients, 1, 10000);
        reader.duration("startMs", flow.start);
        reader.duration("stopMs", flow.stop);
        reader.texts("pinnedTo", flow.pinnedTo);
    }

    FlowPlan readFlow(ObjectReader& reader)
    {
        FlowPlan flow;
        reader.requiredText("customer", flow.customer.value);
        reader.requiredText("service", flow.service);
        reader.text("zone", flow.zone);
        readArrival(reader, flow);
        reader.number("promptBytes", flow.promptBytes, 64, 1 << 20);
        reader.number("sharedPrefixBytes", flow.sharedPrefixBytes, 0, 1 << 20);
        const json* maxTokens = reader.find("maxTokens");
        flow.maxTokensGiven = maxTokens != nullptr;
        if (maxTokens)
            flow.maxTokens = readDistribution(*maxTokens, reader.path() + "/maxTokens", reader.status());
        reader.choice("hint", flow.hint,
            std::map<std::string, HintQuality> {
                { "none", HintQuality::None }, { "right", HintQuality::Right }, { "wrong", HintQuality::Wrong } });
        reader.flag("repeatable", flow.repeatable);
        reader.flag("streamed", flow.streamed);
        reader.duration("deadlineMs", flow.deadline);
        reader.number("loseReplies", flow.loseReplies, 0, 1);
        reader.duration("loseAfterMs", flow.loseAfter);
        return flow;
    }

    void readResend(ObjectReader& reader, Plan& plan)
    {
        const json* value = reader.find("resend");
        if (!value)
            return;
        ObjectReader resend(*value, reader.path() + "/resend", reader.status());
        resend.number("attempts", plan.resend.attempts, 1, 100);
        resend.duration("backoffMs", plan.resend.backoff);
        resend.duration("mostBackoffMs", plan.resend.mostBackoff);
    }

    void readMembers(ObjectReader& reader, Plan& plan)
    {
        reader.text("scenario", plan.scenario);
        reader.text("deployment", plan.deployment);
        reader.text("policy", plan.policy);
        reader.number("seed", plan.seed, 0, 9e15);
        reader.duration("durationMs", plan.duration);
        reader.duration("warmUpMs", plan.warmUp);
        reader.duration("patienceMs", plan.patience);
        reader.duration("sampleEveryMs", plan.sampleEvery);
        reader.duration("runsEveryMs", plan.runsEvery);
        reader.text("eventsFile", plan.eventsFile);
        reader.texts("entries", plan.entries);
        reader.list("routers", plan.routers, readRouter);
        reader.list("targets", plan.targets, readTarget);
        reader.list("services", plan.services, readService);
        reader.list("customers", plan.customers, readCustomer);
        reader.list("flows", plan.flows, readFlow);
        readResend(reader, plan);
    }

    absl::Status checkReferences(const Plan& plan)
    {
        const auto error = [](const std::string& message) {
            return makeError(
                ErrorKind::BadRequest, message, "declare it in the plan, or correct the flow that names it");
        };
        if (plan.entries.empty() && plan.flows.empty())
            return error("the plan has neither entries nor flows");
        for (const FlowPlan& flow : plan.flows) {
            const ServicePlan* service = plan.service(flow.service);
            if (!service)
                return error("a flow names the unknown service " + flow.service);
            if (!plan.customer(flow.customer))
                return error("a flow names the unknown customer " + flow.customer.value);
            if (flow.streamed && service->mode == ServiceMode::Application)
                return error("a flow wants a streamed answer of the application service " + flow.service);
            if (flow.pinnedTo.empty() && plan.entries.empty())
                return error("the plan has no entries to ask for /v1/locate");
        }
        return absl::OkStatus();
    }

} // namespace

unsigned Distribution::draw(Random& random) const
{
    if (most <= least)
        return least;
    if (shape == Shape::Uniform)
        return least + static_cast<unsigned>(random.below(most - least + 1));
    // Inverse of the bounded Pareto distribution function.
    constexpr double index = 1.2;
    const double tail = 1 - std::pow(static_cast<double>(least) / most, index);
    const double value = least / std::pow(1 - random.fraction() * tail, 1 / index);
    return std::clamp(static_cast<unsigned>(value), least, most);
}

const ServicePlan* Plan::service(std::string_view name) const
{
    const auto it
        = std::find_if(services.begin(), services.end(), [&](const ServicePlan& s) { return s.name == name; });
    return it == services.end() ? nullptr : &*it;
}

const CustomerPlan* Plan::customer(const CustomerId& id) const
{
    const auto it = std::find_if(customers.begin(), customers.end(), [&](const CustomerPlan& c) { return c.id == id; });
    return it == customers.end() ? nullptr : &*it;
}

absl::StatusOr<Plan> parsePlan(std::string_view text)
{
    const absl::StatusOr<json> document = parseJsonStrictly(text);
    if (!document.ok())
        return document.status();
    Plan plan;
    absl::Status status;
    {
        ObjectReader reader(*document, "", status);
        readMembers(reader, plan);
    }
    if (!status.ok())
        return status;
    if (absl::Status references = checkReferences(plan); !references.ok())
        return references;
    return plan;
}

} // namespace sagechute::load
