#include "operators/RouterStatus.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace sagechute::operators {
namespace {

    using nlohmann::json;

    constexpr std::array<std::string_view, 4> healthNames { "alive", "suspect", "dead", "left" };

    /// Reads typed fields of one object; the first fault is kept and later reads give defaults.
    class FieldReader {
    public:
        FieldReader(const json& object, std::string path, absl::Status& status)
            : m_object(object)
            , m_path(std::move(path))
            , m_status(status)
        {
            if (!m_object.is_object())
                fail("", "is not an object");
        }

        std::string text(const char* name)
        {
            const json* value = find(name);
            if (value && value->is_string())
                return value->get<std::string>();
            fail(name, "is not a text");
            return {};
        }

        bool flag(const char* name)
        {
            const json* value = find(name);
            if (value && value->is_boolean())
                return value->get<bool>();
            fail(name, "is neither true nor false");
            return false;
        }

        std::uint64_t count(const char* name)
        {
            const json* value = find(name);
            if (value && value->is_number_unsigned())
                return value->get<std::uint64_t>();
            fail(name, "is not a whole number");
            return 0;
        }

        /// A count, or whether there are any.
        std::uint64_t countOrFlag(const char* name)
        {
            const json* value = find(name);
            if (value && value->is_boolean())
                return value->get<bool>() ? 1 : 0;
            return count(name);
        }

        double number(const char* name)
        {
            const json* value = find(name);
            if (value && value->is_number() && std::isfinite(value->get<double>()))
                return value->get<double>();
            fail(name, "is not a number");
            return 0;
        }

        template <typename Read> auto list(const char* name, Read read)
        {
            std::vector<decltype(read(std::declval<FieldReader&>()))> items;
            const json* value = find(name);
            if (!value || !value->is_array()) {
                fail(name, "is not a list");
                return items;
            }
            for (std::size_t i = 0; i < value->size() && m_status.ok(); ++i) {
                FieldReader item((*value)[i], m_path + name + "/" + std::to_string(i) + "/", m_status);
                items.push_back(read(item));
            }
            return items;
        }

        void fail(const char* name, const char* what)
        {
            if (m_status.ok())
                m_status = makeError(ErrorKind::BadRequest, "status field /" + m_path + name + " " + what,
                    "check that the address is that of a sagechute router");
        }

    private:
        const json* find(const char* name) const
        {
            if (!m_object.is_object())
                return nullptr;
            const auto it = m_object.find(name);
            return it == m_object.end() ? nullptr : &*it;
        }

        const json& m_object;
        const std::string m_path;
        absl::Status& m_status;
    };

    MemberStatus readMember(FieldReader& fields)
    {
        MemberStatus member;
        member.vm.value = fields.text("vm");
        const std::string health = fields.text("state");
        const auto it = std::find(healthNames.begin(), healthNames.end(), health);
        if (it == healthNames.end())
            fields.fail("state", "is none of alive, suspect, dead and left");
        else
            member.health = static_cast<MemberHealth>(it - healthNames.begin());
        member.zone.value = fields.text("zone");
        member.callerAddress = fields.text("callerAddress");
        member.configOffset = fields.count("configOffset");
        member.draining = fields.flag("draining");
        return member;
    }

    PoolCustomerStatus readCustomer(FieldReader& fields)
    {
        PoolCustomerStatus customer;
        customer.customer.value = fields.text("customer");
        customer.virtualService = fields.number("virtualService");
        customer.waiting = fields.countOrFlag("waiting");
        return customer;
    }

    PoolStatus readPool(FieldReader& fields)
    {
        PoolStatus pool;
        pool.pool.value = fields.text("pool");
        pool.waiting = fields.count("waiting");
        pool.running = fields.count("running");
        pool.slots = fields.count("slots");
        pool.gap = fields.number("gap");
        pool.gapBound = fields.number("gapBound");
        pool.customers = fields.list("customers", readCustomer);
        return pool;
    }

} // namespace

std::string_view toString(MemberHealth health) { return healthNames[static_cast<std::size_t>(health)]; }

absl::StatusOr<RouterStatus> parseRouterStatus(std::string_view body)
{
    const absl::StatusOr<json> document = parseJsonStrictly(body);
    if (!document.ok())
        return document.status();
    absl::Status status;
    FieldReader fields(*document, "", status);
    RouterStatus router;
    router.vm.value = fields.text("vm");
    router.incarnation = fields.count("incarnation");
    router.zone.value = fields.text("zone");
    router.configOffset = fields.count("configOffset");
    router.logReachable = fields.flag("logReachable");
    router.draining = fields.flag("draining");
    router.load = fields.count("load");
    router.members = fields.list("members", readMember);
    router.pools = fields.list("pools", readPool);
    if (!status.ok())
        return status;
    return router;
}

} // namespace sagechute::operators
