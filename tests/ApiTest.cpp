#include "ApiWorld.h"

#include "operators/DenialLog.h"
#include "operators/Keys.h"

#include <rapidcheck.h>

#include <thread>

using namespace sagechute;
using namespace sagechute::operators;
using Fault = SharedLog::Fault;

TEST_CASE("A lost reply of the log neither loses nor doubles a change")
{
    // Symptom: the operator sees an error and sends again; the change is in the log twice, or the second is a conflict.
    // Sequence: the append is taken, its reply is lost. Cause: an outcome read from the reply instead of from the log.
    ApiWorld world;
    world.log->with([](config::FaultyLog& log) {
        log.faults = { Fault::LostReply };
        return 0;
    });
    const auto answer = world.putCustomer("tellers", 2);
    REQUIRE(answer.status == 200);
    REQUIRE(answer.document["change"]["verdict"] == "accepted");
    REQUIRE(world.log->size() == 1);
}

TEST_CASE("In an outage a change is told to be in doubt, and its id tells later what became of it")
{
    // Symptom: nobody knows whether a weight was changed. Sequence: the record is taken after the outage began, the
    // operator asks by the change's id, and sends again with it. Cause: an error without the id and without the doubt.
    ApiWorld world;
    REQUIRE(world.putCustomer("tellers", 1).status == 200);
    world.log->with([](config::FaultyLog& log) {
        log.faults = { Fault::TakenLate, Fault::Refused, Fault::Refused };
        return 0;
    });
    const json body = { { "spec", { { "weight", 3 } } }, { "changeId", "mine-1" } };
    const auto doubtful = world.call("PUT", "/v1/resources/customer/tellers", body);
    REQUIRE(doubtful.status == 503);
    REQUIRE(doubtful.document["changeId"] == "mine-1");
    REQUIRE(doubtful.document["mayHaveBeenTaken"] == true);
    REQUIRE(world.call("GET", "/v1/changes/mine-1").status == 404);
    world.log->with([](config::FaultyLog& log) {
        log.isOut = true;
        return 0;
    });
    REQUIRE(world.call("GET", "/v1/changes/mine-1").status == 503);
    world.log->with([](config::FaultyLog& log) {
        log.isOut = false;
        log.deliverLate();
        return 0;
    });
    REQUIRE(world.call("GET", "/v1/changes/mine-1").document["verdict"] == "accepted");
    const auto repeated = world.call("PUT", "/v1/resources/customer/tellers", body);
    REQUIRE(repeated.status == 200);
    REQUIRE(repeated.document["repeated"] == true);
    REQUIRE(world.log->size() == 2);
}

TEST_CASE("A change that was certainly not taken is told so")
{
    ApiWorld world;
    world.log->with([](config::FaultyLog& log) {
        log.faults = { Fault::NotSent, Fault::NotSent, Fault::NotSent };
        return 0;
    });
    const auto answer = world.putCustomer("tellers", 1);
    REQUIRE(answer.status == 503);
    REQUIRE(answer.document["mayHaveBeenTaken"] == false);
}

TEST_CASE("Applying the same document again writes nothing, with and without the key")
{
    // Symptom: a job that declares the fleet each minute fills the log. Sequence: put, put again. Cause: a fresh salt
    // makes the digest of the same key another one.
    ApiWorld world;
    REQUIRE(world.putCustomer("tellers", 2).document["changed"] == true);
    REQUIRE(world.putCustomer("tellers", 2).document["changed"] == false);
    const json withoutKey = { { "spec", { { "weight", 2 } } } };
    REQUIRE(world.call("PUT", "/v1/resources/customer/tellers", withoutKey).document["changed"] == false);
    REQUIRE(world.log->size() == 1);
}

TEST_CASE("Unchanged is said only by a reader that stands at the end of the log")
{
    // Symptom: an operator sets a weight back, is told that it is already so, and it is not. Sequence: the API loses
    // the log, somebody else changes the weight, the operator puts the old one. Cause: a comparison with a stale copy.
    ApiWorld world;
    REQUIRE(world.putCustomer("tellers", 2).status == 200);
    world.log->with([](config::FaultyLog& log) {
        log.isOut = true;
        return 0;
    });
    REQUIRE(world.putCustomer("tellers", 2).status == 503);
}

TEST_CASE(
    "Two operators who start from one version: the second gets a conflict with the reason, and both are in the trail")
{
    ApiWorld world;
    const auto first = world.putCustomer("tellers", 2);
    const auto put = [&](int weight) {
        return world.call("PUT", "/v1/resources/customer/tellers",
            { { "spec", { { "weight", weight } } }, { "expected", first.document["resource"]["version"] } });
    };
    REQUIRE(put(3).status == 200);
    const auto second = put(4);
    REQUIRE(second.status == 409);
    REQUIRE(second.document["kind"] == "conflict");
    REQUIRE_FALSE(second.document["remedy"].get<std::string>().empty());
    const json line = world.awaitAudit([](const json& it) { return it["verdict"] == "conflict"; });
    REQUIRE(line["operator"] == "kaito");
    REQUIRE(world.call("GET", "/v1/resources/customer/tellers").document["spec"]["weight"] == 3);
}

TEST_CASE("Deleting what others refer to is refused with their names")
{
    ApiWorld world;
    const json target = { { "pool", "models" }, { "zone", "kokura" }, { "address", "10.0.0.1:80" } };
    REQUIRE(world.call("PUT", "/v1/resources/target/worker-1", { { "spec", target } }).status == 200);
    REQUIRE(world.call("PUT", "/v1/resources/service/chat", { { "spec", { { "pool", "models" } } } }).status == 200);
    const auto refused = world.call("DELETE", "/v1/resources/target/worker-1");
    REQUIRE(refused.status == 409);
    REQUIRE(refused.document["message"].get<std::string>().find("chat") != std::string::npos);
    REQUIRE(world.call("DELETE", "/v1/resources/customer/nobody").status == 404);
}

TEST_CASE("A trial changes nothing and names what would differ")
{
    ApiWorld world;
    REQUIRE(world.putCustomer("tellers", 2).status == 200);
    const auto trial
        = world.call("POST", "/v1/resources/customer/tellers?dryRun=1", { { "spec", { { "weight", 5 } } } }, viewerKey);
    REQUIRE(trial.status == 200);
    REQUIRE(trial.document["wouldChange"] == true);
    REQUIRE(trial.document["differences"].dump() == R"([{"after":5.0,"before":2.0,"path":"/weight"}])");
    REQUIRE(world.log->size() == 1);
    REQUIRE(world.call("POST", "/v1/resources/customer/tellers", { { "spec", { { "weight", 5 } } } }).status == 400);
}

TEST_CASE("Neither a wrong key nor a right key without the role changes anything, and both are in the trail")
{
    // Symptom: a viewer drains a target. Sequence: a put with each key. Cause: a route that asks only whether the key
    // is known.
    ApiWorld world;
    const json body = { { "spec", { { "weight", 1 }, { "key", "a-random-key-of-tellers" } } } };
    for (const std::string method : { "PUT", "DELETE" }) {
        REQUIRE(world.call(method, "/v1/resources/customer/tellers", body, "wrong-key-1").status == 401);
        REQUIRE(world.call(method, "/v1/resources/customer/tellers", body, "").status == 401);
        REQUIRE(world.call(method, "/v1/resources/customer/tellers", body, viewerKey).status == 403);
    }
    REQUIRE(world.call("GET", "/v1/resources/customer", {}, "wrong-key-1").status == 401);
    const json denied = world.awaitAudit([](const json& it) { return it["operator"] == "anjali"; });
    REQUIRE(denied["action"] == "denied");
    REQUIRE(denied["from"] == "10.0.0.9");
    world.awaitAudit([](const json& it) { return it["operator"].get<std::string>().empty(); });
    REQUIRE(world.call("GET", "/v1/resources/customer").document["resources"].empty());
    for (const char* secret : { "wrong-key-1", viewerKey, changerKey, "a-random-key-of-tellers" })
        REQUIRE(world.log->text().find(secret) == std::string::npos);
}

TEST_CASE("What is kept of a key is shown nowhere, and what is shown can be put back")
{
    ApiWorld world;
    REQUIRE(world.putCustomer("tellers", 2).status == 200);
    const auto shown = world.call("GET", "/v1/resources/customer/tellers", {}, viewerKey);
    const std::string all = shown.document.dump() + world.call("GET", "/v1/resources").document.dump()
        + world.call("GET", "/v1/audit").document.dump();
    for (const char* hidden : { "keyDigest", "keySalt", "a-random-key" })
        REQUIRE(all.find(hidden) == std::string::npos);
    REQUIRE(world.call("PUT", "/v1/resources/customer/tellers", { { "spec", shown.document["spec"] } }).status == 200);
}

TEST_CASE("Hostile documents are refused clearly and change nothing")
{
    // Symptom: a document that a program put together wrongly crashes the API or leaves half a resource. Sequence: any
    // bytes as a body. Cause: a check that trusts a type, a depth or an encoding.
    ApiWorld world;
    const std::vector<std::string> hostile { "", "{", std::string(100'000, '['), "null", R"({"spec":1})",
        R"({"spec":{},"spec":{}})", R"({"spec":{"weight":1e999}})", R"({"spec":{"weight":-1}})",
        R"({"spec":{"weight":"1"}})", R"({"spec":{"wieght":1}})", R"({"spec":{"weight":1},"other":1})",
        R"({"spec":{"weight":1},"expected":-1})", R"({"spec":{"weight":1}} x)", "{\"spec\":{\"key\":\"\xff\xfe\"}}",
        R"({"spec":{"weight":1},"changeId":"a/b"})" };
    for (const std::string& body : hostile) {
        const net::ServerResponse response = world.send("PUT", "/v1/resources/customer/tellers", body)->response();
        INFO(body.substr(0, 60));
        REQUIRE(response.status == 400);
        REQUIRE_FALSE(json::parse(response.body)["remedy"].get<std::string>().empty());
    }
    REQUIRE(rc::check("no body makes the API fail or accept", [&](const std::string& body) {
        const int status = world.send("PUT", "/v1/resources/customer/tellers", body)->response().status;
        RC_ASSERT(status == 400);
    }));
    REQUIRE(world.call("GET", "/v1/resources/customer").document["resources"].empty());
    world.awaitAudit([](const json& it) { return it["action"] == "refused" && it["resource"] == "customer/tellers"; });
}

TEST_CASE("Hostile paths and queries are refused clearly")
{
    ApiWorld world;
    for (const std::string target : { "/v1/resources/custom", "/v1/resources/customer/a/b", "/v1/nothing", "//", "",
             "/v1/changes/never", "/v1/explain/x", "/v1/resources/customer/../../etc" })
        REQUIRE(world.call("GET", target).status == 404);
    for (const std::string target : { "/v1/resources?wach=1", "/v1/resources?watch=2", "/v1/resources?watch=1",
             "/v1/audit?most=x", "/v1/audit?most=99999999999999999999", "/v1/resources?watch=1&from=-1",
             "/v1/progress/1?waitMs=1&waitMs=2", "/v1/progress/x" })
        REQUIRE(world.call("GET", target).status == 400);
    REQUIRE(world.call("PATCH", "/v1/resources/customer/tellers").status == 405);
    const std::string longName(5000, 'n');
    REQUIRE(world.call("PUT", "/v1/resources/customer/" + longName, { { "spec", json::object() } }).status == 400);
}

TEST_CASE("Waiting for a change ends when the last router has it, and names those that lag")
{
    // Symptom: apply --wait returns though a router still works with the old weight. Sequence: one of two routers stays
    // behind, then reads on. Cause: progress taken from one router's own offset.
    ApiWorld world;
    world.routers.set("vm-2", 0);
    while (world.call("GET", "/v1/fleet").document["routers"].size() < 2)
        std::this_thread::yield();
    const auto put = world.putCustomer("tellers", 2);
    const std::string offset = put.document["change"]["offset"].dump();
    const auto lagging = world.call("GET", "/v1/progress/" + offset + "?waitMs=100").document["progress"];
    REQUIRE(lagging["everywhere"] == false);
    REQUIRE(lagging["inForce"] == 1);
    REQUIRE(lagging["lagging"][0]["vm"] == "vm-2");
    REQUIRE_FALSE(lagging["lagging"][0]["why"].get<std::string>().empty());
    const auto waiting = world.send("GET", "/v1/progress/" + offset + "?waitMs=30000");
    world.routers.set("vm-2", put.document["change"]["offset"]);
    REQUIRE(json::parse(waiting->response().body)["progress"]["everywhere"] == true);
    const std::string id = put.document["change"]["id"];
    REQUIRE(world.call("GET", "/v1/changes/" + id).document["progress"]["inForce"] == 2);
}

TEST_CASE("A hundred concurrent changes all take effect, each once")
{
    ApiWorld world;
    std::vector<std::shared_ptr<FakeExchange>> exchanges;
    for (int i = 0; i < 100; ++i) {
        const json body = { { "spec", { { "weight", 1 }, { "key", "a-random-key-of-" + std::to_string(1000 + i) } } } };
        exchanges.push_back(world.send("PUT", "/v1/resources/customer/c" + std::to_string(i), body.dump()));
    }
    for (const auto& exchange : exchanges)
        REQUIRE(exchange->response().status == 200);
    REQUIRE(world.call("GET", "/v1/resources/customer").document["resources"].size() == 100);
    REQUIRE(world.log->size() == 100);
}

TEST_CASE("A flood of wrong keys cannot fill the log, nor crowd out what an operator was refused")
{
    // Symptom: the audit trail holds nothing but one stranger's tries, and the log's retention has dropped the rest.
    // Sequence: 100,000 wrong keys in a minute beside one operator's refusals. Cause: a line for each request.
    DenialLog denials;
    config::AuditEntry stranger;
    stranger.action = "denied";
    config::AuditEntry known = stranger;
    known.operatorName = "anjali";
    std::size_t lines = 0;
    std::size_t knownLines = 0;
    TimePoint now {};
    for (int i = 0; i < 100'000; ++i, now += std::chrono::microseconds(600)) {
        lines += denials.admit(now, stranger).has_value();
        if (i % 5000 == 0)
            knownLines += denials.admit(now, known).has_value();
    }
    REQUIRE(lines <= 10 + 60 / 10 + 1);
    REQUIRE(knownLines == 20);
    const auto summary = denials.summarize(now + std::chrono::seconds(60), "");
    REQUIRE(summary);
    REQUIRE_FALSE(denials.summarize(now + std::chrono::seconds(120), ""));
}

TEST_CASE("Operator keys are read strictly, and an error never shows one")
{
    const auto keys = parseOperatorKeys("ann:change:secret:with:colons,bob:view:12345678");
    REQUIRE(keys.ok());
    REQUIRE(keys->at(0).key == "secret:with:colons");
    REQUIRE(keys->at(1).role == Role::View);
    for (const std::string text : { "", "ann:change", "ann:admin:topsecret1", ":view:topsecret1", "ann:view:short",
             "ann:view:topsecret1,ann:change:topsecret2", "ann:view:topsecret1,x" }) {
        const auto wrong = parseOperatorKeys(text);
        REQUIRE_FALSE(wrong.ok());
        REQUIRE(std::string(wrong.status().message()).find("topsecret") == std::string::npos);
        REQUIRE_FALSE(errorRemedy(wrong.status()).empty());
    }
    REQUIRE(rc::check(
        "the constant-time comparison agrees with the plain one", [](const std::string& a, const std::string& b) {
            RC_ASSERT(equalInConstantTime(a, b) == (a == b));
            RC_ASSERT(equalInConstantTime(a, a));
            RC_ASSERT(!equalInConstantTime(a + a, a) || a.empty());
        }));
}
