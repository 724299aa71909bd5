#include "operators/CtlCommands.h"

#include <array>
#include <cmath>
#include <cstdio>
#include <ostream>

namespace sagechute::operators {
namespace {

    using nlohmann::json;

    /// A column of a kind's list: its header and where the value stands in a resource's document.
    struct Column {
        std::string header;
        std::string pointer;
        bool isWide = false; ///< Left out of the narrow form.
    };

    struct KindColumns {
        std::string kind;
        std::vector<Column> columns;
    };

    const std::vector<Column>& columnsOf(const std::string& kind)
    {
        static const std::vector<KindColumns> table {
            { "customer",
                { { "WEIGHT", "/spec/weight" }, { "QUEUE", "/spec/maxQueued" }, { "KEY", "/status/keyId", true } } },
            { "service", { { "POOL", "/spec/pool" }, { "MODE", "/spec/mode" }, { "REPEAT", "/spec/repeatable" } } },
            { "target",
                { { "POOL", "/spec/pool" }, { "ZONE", "/spec/zone" }, { "ADDRESS", "/spec/address", true },
                    { "SLOTS", "/spec/slots", true }, { "STATE", "/spec/state" } } },
            { "vm",
                { { "DRAIN", "/spec/drain" }, { "ROUTER", "/status/router/state" },
                    { "LOAD", "/status/router/load" } } },
            { "fleet", { { "SETTINGS", "/spec" } } },
        };
        static const std::vector<Column> others { { "SPEC", "/spec" } };
        for (const KindColumns& it : table) {
            if (it.kind == kind)
                return it.columns;
        }
        return others;
    }

    std::string at(const json& document, const std::string& pointer)
    {
        const json::json_pointer place(pointer);
        return document.contains(place) ? valueText(document.at(place)) : "-";
    }

    std::string inForce(const json& resource)
    {
        return at(resource, "/status/inForce/inForce") + "/" + at(resource, "/status/inForce/routers");
    }

    Table listTable(const json& resources, const std::string& kind, bool isNarrow)
    {
        std::vector<Column> columns = columnsOf(kind);
        if (isNarrow)
            std::erase_if(columns, [](const Column& column) { return column.isWide; });
        std::vector<std::string> headers { "NAME", "VERSION", "IN-FORCE" };
        for (const Column& column : columns)
            headers.push_back(column.header);
        Table table(headers);
        for (const json& resource : resources) {
            std::vector<std::string> cells { memberText(resource, "name"), memberText(resource, "version"),
                inForce(resource) };
            for (const Column& column : columns)
                cells.push_back(at(resource, column.pointer));
            table.add(std::move(cells));
        }
        return table;
    }

    Table allTable(const json& resources)
    {
        Table table({ "RESOURCE", "VERSION", "IN-FORCE" });
        for (const json& resource : resources) {
            table.add({ memberText(resource, "kind") + "/" + memberText(resource, "name"),
                memberText(resource, "version"), inForce(resource) });
        }
        return table;
    }

    std::string percent(const json& object, const char* name)
    {
        const auto it = object.find(name);
        if (it == object.end() || !it->is_number())
            return "-";
        return std::to_string(std::lround(it->get<double>() * 100)) + "%";
    }

    std::string rounded(const json& object, const char* name)
    {
        const auto it = object.find(name);
        if (it == object.end() || !it->is_number())
            return "-";
        std::array<char, 32> buf {};
        const int n = std::snprintf(buf.data(), buf.size(), "%.4g", it->get<double>());
        return { buf.data(), static_cast<std::size_t>(n) };
    }

    std::string yesOrNo(const json& object, const char* name)
    {
        const auto it = object.find(name);
        if (it == object.end() || !it->is_boolean())
            return "?";
        return it->get<bool>() ? "yes" : "no";
    }

    std::string stateOf(const json& router)
    {
        const std::string fault = memberText(router, "fault");
        if (!fault.empty() && fault != "-")
            return "no answer";
        return router.value("draining", false) ? "draining" : memberText(router, "state");
    }

    Table routerTable(const json& fleet)
    {
        Table table({ "VM", "ZONE", "STATE", "LOAD", "OFFSET", "LOG" });
        for (const json& router : fleet.value("routers", json::array())) {
            table.add({ memberText(router, "vm"), memberText(router, "zone"), stateOf(router),
                memberText(router, "load"), memberText(router, "configOffset"), yesOrNo(router, "logReachable") });
        }
        return table;
    }

    Table poolTable(const json& fleet)
    {
        Table table({ "POOL", "WAITING", "RUNNING", "SLOTS", "GAP", "BOUND" });
        for (const json& pool : fleet.value("pools", json::array())) {
            table.add({ memberText(pool, "pool"), memberText(pool, "waiting"), memberText(pool, "running"),
                memberText(pool, "slots"), rounded(pool, "gap"), rounded(pool, "gapBound") });
        }
        return table;
    }

    Table customerTable(const json& fleet)
    {
        Table table({ "CUSTOMER", "POOL", "WEIGHT", "SHARE", "WAITING" });
        for (const json& pool : fleet.value("pools", json::array())) {
            for (const json& customer : pool.value("customers", json::array())) {
                table.add({ memberText(customer, "customer"), memberText(pool, "pool"), memberText(customer, "weight"),
                    percent(customer, "share"), memberText(customer, "waiting") });
            }
        }
        return table;
    }

    /// What a line of the audit trail is about: what differed, and why it was judged so.
    std::string whatOf(const json& line)
    {
        std::string what;
        for (const char* part : { "difference", "reason" }) {
            const std::string text = memberText(line, part);
            if (!text.empty() && text != "-")
                what += (what.empty() ? "" : " | ") + text;
        }
        return what;
    }

    /// Nested objects as lines "name/name: value".
    void describeInto(Table& table, const std::string& prefix, const json& value)
    {
        if (!value.is_structured() || value.empty()) {
            table.add({ prefix, value.is_structured() ? "-" : valueText(value) });
            return;
        }
        const std::string start = prefix.empty() ? prefix : prefix + "/";
        for (const auto& [name, item] : value.items())
            describeInto(table, start + name, item);
    }

} // namespace

int Ctl::get()
{
    const bool isAll = word(1) == "all";
    std::string target = "/v1/resources" + (isAll ? "" : "/" + net::percentEncoded(word(1)));
    if (hasWord(2))
        target += "/" + net::percentEncoded(word(2));
    const CtlResult result = m_client.get(target);
    if (!result.ok())
        return fail(result);
    if (printJson(result.document))
        return exitDone;
    const json resources
        = hasWord(2) ? json::array({ result.document }) : result.document.value("resources", json::array());
    if (m_options.output == OutputForm::Names) {
        for (const json& resource : resources)
            m_out << printable(memberText(resource, "name")) << "\n";
        return exitDone;
    }
    print(isAll ? allTable(resources) : listTable(resources, word(1), m_options.output == OutputForm::Narrow));
    return exitDone;
}

int Ctl::describe()
{
    const CtlResult result = m_client.get(resourcePath(word(1), word(2)));
    if (!result.ok())
        return fail(result);
    if (printJson(result.document))
        return exitDone;
    Table table({ "FIELD", "VALUE" });
    describeInto(table, "", result.document);
    print(table);
    return exitDone;
}

int Ctl::status()
{
    const CtlResult result = m_client.get("/v1/fleet");
    if (!result.ok())
        return fail(result);
    const json& fleet = result.document;
    if (printJson(fleet))
        return exitDone;
    const json progress = fleet.value("progress", json::object());
    printLine("configuration: offset " + memberText(fleet, "configOffset") + ", in force on "
        + memberText(progress, "inForce") + " of " + memberText(progress, "routers") + " routers");
    if (!fleet.value("logReachable", false))
        printLine("log: OUT OF REACH, changes cannot be accepted: " + memberText(fleet, "logFault"));
    if (progress.value("routers", 0) == 0)
        printLine("routers: NONE ANSWERS; check the API's --routers, or the fleet");
    m_out << "\n";
    print(routerTable(fleet));
    m_out << "\n";
    print(poolTable(fleet));
    m_out << "\n";
    print(customerTable(fleet));
    return exitDone;
}

int Ctl::whoIsBehind()
{
    const CtlResult result = m_client.get("/v1/fleet");
    if (!result.ok())
        return fail(result);
    const json progress = result.document.value("progress", json::object());
    const bool isEverywhere = progress.value("everywhere", false);
    const int code = isEverywhere ? exitDone : exitDiffers;
    if (printJson(progress))
        return code;
    if (isEverywhere) {
        printLine("nobody: offset " + memberText(result.document, "configOffset") + " is in force on all "
            + memberText(progress, "routers") + " routers");
        return code;
    }
    if (progress.value("routers", 0) == 0)
        printLine("no router answers; check the API's --routers, or the fleet");
    Table table({ "VM", "OFFSET", "WHY" });
    for (const json& router : progress.value("lagging", json::array()))
        table.add({ memberText(router, "vm"), memberText(router, "configOffset"), memberText(router, "why") });
    print(table);
    return code;
}

int Ctl::audit()
{
    const CtlResult result = m_client.get("/v1/audit?most=" + std::to_string(m_options.most));
    if (!result.ok())
        return fail(result);
    if (printJson(result.document))
        return exitDone;
    if (m_options.output == OutputForm::Narrow)
        return auditBlocks(result.document);
    Table table({ "AT", "WHO", "FROM", "ACTION", "RESOURCE", "VERDICT", "OFFSET", "WHAT" });
    for (const json& line : result.document.value("lines", json::array())) {
        table.add({ memberText(line, "at"), memberText(line, "operator"), memberText(line, "from"),
            memberText(line, "action"), memberText(line, "resource"), memberText(line, "verdict"),
            memberText(line, "offset"), whatOf(line) });
    }
    print(table);
    return exitDone;
}

int Ctl::auditBlocks(const json& document)
{
    for (const json& line : document.value("lines", json::array())) {
        printLine(memberText(line, "at") + " " + memberText(line, "operator") + " from " + memberText(line, "from"));
        printLine("  " + memberText(line, "action") + " " + memberText(line, "resource") + " "
            + memberText(line, "verdict") + " at " + memberText(line, "offset"));
        if (const std::string what = whatOf(line); !what.empty())
            printLine("  " + what);
    }
    return exitDone;
}

int Ctl::explain()
{
    const CtlResult result = m_client.get("/v1/explain/" + net::percentEncoded(word(1)));
    if (!result.ok())
        return fail(result);
    if (printJson(result.document))
        return exitDone;
    Table table({ "FIELD", "TYPE", "UNIT", "DEFAULT", "MEANING" });
    for (const json& field : result.document.value("fields", json::array())) {
        table.add({ memberText(field, "name"), memberText(field, "type"), memberText(field, "unit"),
            memberText(field, "default"), memberText(field, "meaning") });
    }
    print(table);
    return exitDone;
}

} // namespace sagechute::operators
