#include "operators/CtlCommands.h"
#include "operators/Table.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <deque>
#include <fstream>
#include <mutex>
#include <set>
#include <sstream>

using namespace sagechute;
using namespace sagechute::operators;
using nlohmann::json;

namespace {

/// What the API is to answer to one call.
struct Reply {
    int status = 200;
    json body;
};

/// An API that answers by a script, with a clock of its own.
class FakeApi {
public:
    using Script = std::function<Reply(const std::string& method, const std::string& target, const json& body)>;

    Script script;
    std::deque<std::string> streams; ///< Bytes of the next watches; each then breaks off.
    std::vector<std::string> calls; ///< "METHOD TARGET".
    std::vector<std::string> watched;
    TimePoint now {};
    std::mutex mutex;

    struct Run {
        int code = 0;
        std::string out;
        std::string err;
    };

    Run run(const std::vector<std::string>& arguments, const std::string& key = "ann-key-123456")
    {
        std::ostringstream out;
        std::ostringstream err;
        std::vector<std::string> environment;
        if (!key.empty())
            environment.push_back("SAGECHUTE_OPERATOR_KEY=" + key);
        const auto connect = [this](const CtlSettings&) { return std::make_unique<Port>(*this); };
        const int code = runCtl(arguments, environment, connect, out, err);
        return { code, out.str(), err.str() };
    }

private:
    class Port final : public ApiPort {
    public:
        explicit Port(FakeApi& api)
            : m_api(api)
        {
        }

    private:
        ApiAnswer onCall(const std::string& method, const std::string& target, const std::string& body) override
        {
            const std::lock_guard lock(m_api.mutex);
            m_api.calls.push_back(method + " " + target);
            const Reply reply = m_api.script(method, target, json::parse(body.empty() ? "null" : body));
            if (reply.status == 0)
                return { 0, {}, false, "broken" };
            return { reply.status, reply.body.dump(), false, {} };
        }

        ApiAnswer onStream(const std::string& target, const std::function<bool(std::string_view)>& sink) override
        {
            m_api.watched.push_back(target);
            if (m_api.streams.empty())
                return { 401, R"({"kind":"unauthenticated","message":"end of the script","remedy":"none"})", false,
                    {} };
            const std::string bytes = m_api.streams.front();
            m_api.streams.pop_front();
            if (bytes == "410")
                return { 410, R"({"kind":"retention-exceeded","message":"gone","remedy":"list again"})", false, {} };
            sink(bytes);
            return { 200, {}, false, {} };
        }

        void onPause(std::chrono::milliseconds time) override { m_api.now += time; }
        TimePoint onNow() override { return m_api.now; }

        FakeApi& m_api;
    };
};

std::string writeFile(const std::string& name, const std::string& text)
{
    std::string path = "ctl-test-" + name + ".json";
    std::ofstream(path) << text;
    return path;
}

json accepted(LogOffset offset)
{
    return { { "changed", true }, { "change", { { "offset", offset }, { "verdict", "accepted" } } } };
}

std::string idIn(const std::string& call) { return call.substr(call.find("changeId=")); }

std::size_t longestLine(const std::string& text)
{
    std::size_t longest = 0;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        const auto startsPoint = [](char c) { return (static_cast<unsigned char>(c) & 0xC0) != 0x80; };
        longest = std::max<std::size_t>(
            longest, static_cast<std::size_t>(std::count_if(line.begin(), line.end(), startsPoint)));
    }
    return longest;
}

const std::string twoCustomers = R"({"resources":[{"kind":"service","name":"chat","spec":{"pool":"m"}},
    {"kind":"customer","name":"a","spec":{}},{"kind":"target","name":"w","spec":{}}]})";

} // namespace

TEST_CASE("Wrong usage ends with code 2 and a remedy, before anything is sent")
{
    FakeApi api;
    const std::vector<std::vector<std::string>> wrong { {}, { "aply" }, { "get" }, { "get", "a", "b", "c" },
        { "apply" }, { "apply", "-f", "/nowhere/file" }, { "status", "-o", "yaml" }, { "get", "customer", "--colour" },
        { "watch", "all", "--from", "-3" }, { "delete", "customer", "a", "--expected", "x" },
        { "apply", "--timeout", "5" } };
    for (const auto& arguments : wrong) {
        const auto run = api.run(arguments);
        CHECK(run.code == exitWrongUsage);
        CHECK_FALSE(run.err.empty());
    }
    REQUIRE(api.run({ "drain", "pool", "x" }).code == exitWrongUsage);
    REQUIRE(api.run({ "status" }, "").code == exitNoAccess);
    REQUIRE(api.run({ "help" }, "").code == exitDone);
    REQUIRE(api.run({ "completion", "bash" }, "").out.find("who-is-behind") != std::string::npos);
    REQUIRE(api.run({ "completion", "fish" }, "").code == exitWrongUsage);
    REQUIRE(api.calls.empty());
}

TEST_CASE("Exit codes tell what happened to a change")
{
    struct Case {
        int status;
        int code;
    };
    for (const Case it : { Case { 200, exitDone }, { 400, exitRefused }, { 401, exitNoAccess }, { 403, exitNoAccess },
             { 404, exitNotFound }, { 409, exitConflict }, { 413, exitRefused }, { 500, exitInternal } }) {
        FakeApi api;
        api.script = [&](auto&...) {
            return Reply { it.status, { { "message", "m" }, { "remedy", "do this" }, { "changed", true } } };
        };
        const auto run = api.run({ "delete", "customer", "a" });
        CHECK(run.code == it.code);
        CHECK((it.code == exitDone || run.err.find("do this") != std::string::npos));
        CHECK(api.calls.size() == 1);
    }
}

TEST_CASE("A change whose answer was lost is sent again under the same id")
{
    // Symptom: a change takes effect twice, or is reported as failed though it is in force. Sequence: the answer breaks
    // off after the API took the change. Cause: a new id for the second try.
    FakeApi api;
    api.script = [&](auto&...) { return api.calls.size() < 3 ? Reply { 0, {} } : Reply { 200, accepted(7) }; };
    REQUIRE(api.run({ "delete", "customer", "a" }).code == exitDone);
    REQUIRE(api.calls.size() == 3);
    REQUIRE(idIn(api.calls[0]) == idIn(api.calls[2]));
    api.script = [](auto&...) { return Reply { 200, accepted(8) }; };
    api.run({ "delete", "customer", "b" });
    REQUIRE(idIn(api.calls[3]) != idIn(api.calls[0]));
}

TEST_CASE("An outage that outlasts the timeout is told with the doubt and the change's id")
{
    FakeApi api;
    json body = { { "kind", "log-unavailable" }, { "message", "log out" }, { "remedy", "later" },
        { "mayHaveBeenTaken", true } };
    api.script = [&](auto&...) { return Reply { 503, body }; };
    auto run = api.run({ "delete", "customer", "a", "--timeout", "10s" });
    REQUIRE(run.code == exitUnavailable);
    REQUIRE(run.err.find("may have been taken; see: sagechutectl change ctl-") != std::string::npos);
    REQUIRE(api.now - TimePoint {} <= std::chrono::seconds(10));
    body["mayHaveBeenTaken"] = false;
    run = api.run({ "delete", "customer", "a", "--timeout", "1s" });
    REQUIRE(run.err.find("nothing was changed") != std::string::npos);
}

TEST_CASE("apply declares in the order of references and reports each resource")
{
    FakeApi api;
    api.script = [](const std::string&, const std::string& target, const json&) {
        const bool isTarget = target.find("/target/") != std::string::npos;
        return isTarget ? Reply { 409, { { "message", "came second" }, { "remedy", "look" } } }
                        : Reply { 200, accepted(3) };
    };
    const auto run = api.run({ "apply", "-f", writeFile("order", twoCustomers), "--wait" });
    REQUIRE(run.code == exitConflict);
    REQUIRE(api.calls.size() == 3);
    REQUIRE(api.calls[0].find("customer/a") != std::string::npos);
    REQUIRE(api.calls[1].find("target/w") != std::string::npos);
    REQUIRE(run.out.find("conflict") != std::string::npos);
}

TEST_CASE("apply --wait succeeds only once every router has the last offset, and says who lags")
{
    FakeApi api;
    bool isEverywhere = false;
    api.script = [&](const std::string& method, const std::string& target, const json&) {
        if (method == "PUT")
            return Reply { 200, accepted(target.find("/chat") != std::string::npos ? 9 : 4) };
        api.now += std::chrono::seconds(10);
        const json lagging = { { { "vm", "vm-3" }, { "why", "cannot reach the log" } } };
        return Reply { 200,
            { { "progress",
                { { "everywhere", isEverywhere }, { "inForce", 7 }, { "routers", 8 }, { "lagging", lagging } } } } };
    };
    const std::string file = writeFile("wait", twoCustomers);
    auto run = api.run({ "apply", "-f", file, "--wait" });
    REQUIRE(run.code == exitNotYetInForce);
    REQUIRE(run.out.find("vm-3 is behind: cannot reach the log") != std::string::npos);
    REQUIRE(api.calls.back().find("/v1/progress/9") != std::string::npos);
    isEverywhere = true;
    REQUIRE(api.run({ "apply", "-f", file, "--wait" }).code == exitDone);
}

TEST_CASE("Documents are read strictly")
{
    for (const std::string text : { "", "[]", "{}", R"({"resources":{}})", R"({"resources":[1]})",
             R"({"resources":[{"kind":"vm"}]})", R"({"resources":[{"kind":"vm","name":"a"}]})",
             R"({"resources":[{"kind":"vm","name":"a","spec":{},"spce":1}]})",
             R"({"resources":[{"kind":"vm","name":"a","spec":{}},{"kind":"vm","name":"a","spec":{}}]})",
             R"({"resources":[{"kind":"vm","name":"a","spec":{},"version":-1}]})" }) {
        const auto resources = parseDeclaration(text);
        CHECK_FALSE(resources.ok());
        CHECK_FALSE(errorRemedy(resources.status()).empty());
    }
    const auto printed = parseDeclaration(
        R"({"offset":9,"resources":[{"kind":"vm","name":"a","spec":{"drain":true},"version":3,"status":{}}]})");
    REQUIRE(printed.ok());
    REQUIRE(printed->front().expected == 3);
    REQUIRE(rc::check("no text makes it fail", [](const std::string& text) { (void)parseDeclaration(text).ok(); }));
}

TEST_CASE("drain looks again when somebody changed the target in between, and keeps that change")
{
    // Symptom: draining a target sets its slots back. Sequence: get, another operator's put, our put. Cause: the old
    // spec sent again with the new version.
    FakeApi api;
    int gets = 0;
    json put;
    api.script = [&](const std::string& method, const std::string&, const json& body) {
        if (method == "GET")
            return Reply { 200,
                { { "version", ++gets }, { "spec", { { "slots", gets * 4 }, { "state", "serving" } } } } };
        put = body;
        return body["expected"] == 1 ? Reply { 409, { { "message", "m" }, { "remedy", "r" } } }
                                     : Reply { 200, accepted(5) };
    };
    REQUIRE(api.run({ "drain", "target", "w" }).code == exitDone);
    REQUIRE(put["spec"] == json({ { "slots", 8 }, { "state", "leaving" } }));
    REQUIRE(put["expected"] == 2);
}

TEST_CASE("drain vm declares the VM when nobody has yet")
{
    FakeApi api;
    json put;
    api.script = [&](const std::string& method, const std::string&, const json& body) {
        if (method == "GET")
            return Reply { 404, { { "message", "m" }, { "remedy", "r" } } };
        put = body;
        return Reply { 200, accepted(5) };
    };
    REQUIRE(api.run({ "drain", "vm", "vm-2" }).code == exitDone);
    REQUIRE(put == json({ { "spec", { { "drain", true } } }, { "expected", 0 } }));
}

TEST_CASE("watch goes on after lost connections without a gap or a repeat, and says when changes were missed")
{
    // Symptom: a change is printed twice or never. Sequence: the stream breaks within an event, is resumed, is past
    // retention once. Cause: resuming from what was received instead of what was printed whole.
    FakeApi api;
    const auto change = [](int offset) {
        return "event: change\nid: " + std::to_string(offset) + "\ndata: {\"offset\":" + std::to_string(offset)
            + ",\"kind\":\"customer\",\"name\":\"a\",\"deleted\":false,\"spec\":{}}\n\n";
    };
    api.script = [](auto&...) { return Reply { 200, { { "offset", 40 } } }; };
    api.streams = { change(5) + change(6).substr(0, 20), change(5) + change(6) + "event: bookmark\nid: 9\ndata: {}\n\n",
        "410", "event: list-again\ndata: {\"kind\":\"retention-exceeded\"}\n\n", change(41) };
    const auto run = api.run({ "watch", "customer", "--from", "4", "--count", "3" });
    REQUIRE(run.code == exitDone);
    REQUIRE(run.out == "5 customer/a {}\n6 customer/a {}\n41 customer/a {}\n");
    REQUIRE(api.watched[1].ends_with("from=5"));
    REQUIRE(api.watched[2].ends_with("from=9"));
    REQUIRE(api.watched[4].ends_with("from=40"));
    REQUIRE(run.err.find("changes were missed") != std::string::npos);
}

TEST_CASE("diff and who-is-behind tell by their exit code")
{
    FakeApi api;
    api.script = [](const std::string&, const std::string& target, const json&) {
        const json difference = { { "path", "/weight" }, { "before", 1 }, { "after", 2 } };
        const bool differs = target.find("customer/a") != std::string::npos;
        return Reply { 200, { { "wouldChange", differs }, { "exists", true }, { "differences", { difference } } } };
    };
    const auto run = api.run({ "diff", "-f", writeFile("diff", twoCustomers) });
    REQUIRE(run.code == exitDiffers);
    REQUIRE(run.out == "customer/a\n  /weight: 1 -> 2\n");
    json progress = { { "everywhere", true }, { "routers", 8 }, { "lagging", json::array() } };
    api.script = [&](auto&...) { return Reply { 200, { { "configOffset", 7 }, { "progress", progress } } }; };
    REQUIRE(api.run({ "who-is-behind" }).code == exitDone);
    progress["everywhere"] = false;
    REQUIRE(api.run({ "who-is-behind" }).code == exitDiffers);
}

TEST_CASE("Narrow output fits 60 columns whatever it shows, and loses nothing")
{
    REQUIRE(rc::check("any cells", [](const std::vector<std::vector<std::string>>& rows) {
        Table table({ "NAME", "VALUE", "WHY" });
        std::string wanted;
        for (const auto& row : rows) {
            std::vector<std::string> cells(
                row.begin(), row.begin() + static_cast<std::ptrdiff_t>(std::min<std::size_t>(row.size(), 3)));
            cells.resize(3);
            table.add(cells);
        }
        RC_ASSERT(longestLine(table.render(narrowColumns)) <= narrowColumns);
    }));
    REQUIRE(rc::check("wrapping keeps every character but spaces", [] {
        const auto text = *rc::gen::container<std::string>(rc::gen::element('a', 'b', ' '));
        const auto squeeze = [](std::string it) {
            std::erase_if(it, [](char c) { return c == ' ' || c == '\n'; });
            return it;
        };
        const std::string wrapped = wrap(text, 20, 4);
        RC_ASSERT(squeeze(wrapped) == squeeze(text));
        RC_ASSERT(longestLine(wrapped) <= 20u);
    }));
    FakeApi api;
    REQUIRE(longestLine(api.run({ "help" }).out) <= narrowColumns);
}

TEST_CASE("An answer of another form is an error, not a crash")
{
    FakeApi api;
    for (const json& body :
        { json(), json(1), json::array({ 1 }), json({ { "resources", 1 } }), json({ { "progress", 3 } }) }) {
        api.script = [&](auto&...) { return Reply { 200, body }; };
        for (const std::string command : { "status", "who-is-behind", "audit" })
            CHECK(api.run({ command }).code <= exitInternal);
        CHECK(api.run({ "get", "customer" }).code <= exitInternal);
        CHECK(api.run({ "drain", "target", "w" }).code == exitInternal);
    }
}

TEST_CASE("Text of a resource cannot steer the operator's terminal")
{
    FakeApi api;
    api.script = [](auto&...) { return Reply { 200, { { "lines", { { { "reason", "\x1b[2J\nfake line" } } } } } }; };
    const std::string out = api.run({ "audit" }).out;
    REQUIRE(out.find('\x1b') == std::string::npos);
    REQUIRE(std::count(out.begin(), out.end(), '\n') == 2);
}
