#include "FaultyLog.h"

#include <rapidcheck.h>

#include <limits>
#include <set>

using namespace sagechute;
using namespace sagechute::config;
using nlohmann::json;

namespace {

constexpr std::array allKinds { Kind::Customer, Kind::Service, Kind::Target, Kind::Fleet, Kind::Vm };

json goodSpec(Kind kind)
{
    switch (kind) {
    case Kind::Customer:
        return { { "key", "a-random-key-0123" }, { "weight", 2 } };
    case Kind::Service:
        return { { "pool", "llm" }, { "mode", "engine" }, { "repeatable", true }, { "tokenGapLimitMs", 500 } };
    case Kind::Target:
        return { { "pool", "llm" }, { "zone", "kokura" }, { "address", "10.0.0.1:8000" }, { "slots", 4 },
            { "model", "m" } };
    case Kind::Fleet:
        return { { "cellsPerPool", 2 }, { "retryBudget", 0.2 } };
    case Kind::Vm:
        return { { "drain", true } };
    }
    return {};
}

std::string nameFor(Kind kind) { return kind == Kind::Fleet ? "fleet" : "thing"; }

absl::StatusOr<json> canonical(Kind kind, const json& spec)
{
    return canonicalSpec(kind, nameFor(kind), spec, testSalt);
}

struct BadField {
    Kind kind;
    std::string field;
    json value;
};

/// A JSON value of any shape, with a taste for the edges.
rc::Gen<json> anyJson(int depth)
{
    auto scalars = rc::gen::element<json>(nullptr, true, 0, -1, 1.5, 1e308, std::numeric_limits<double>::quiet_NaN(),
        std::numeric_limits<std::uint64_t>::max(), std::numeric_limits<std::int64_t>::min(), "", "engine",
        "10.0.0.1:80", "\xff\xfe", std::string(3000, 'x'), json::array(), json::object());
    if (depth == 0)
        return scalars;
    const auto members = rc::gen::container<std::vector<json>>(anyJson(depth - 1));
    return rc::gen::oneOf(scalars, rc::gen::map(members, [](const std::vector<json>& items) { return json(items); }));
}

/// A good spec with some of its fields replaced, taken away or added.
json spoil(Kind kind)
{
    json spec = goodSpec(kind);
    std::vector<std::string> names { "weight", "pool", "key", "keyId", "keySalt", "keyDigest", "mode", "address",
        "drain", "unknown", "" };
    for (const auto& line : explain(kind))
        names.push_back(line.name);
    const auto n = *rc::gen::inRange(0, 4);
    for (int i = 0; i < n; ++i)
        spec[*rc::gen::elementOf(names)] = *anyJson(2);
    return *rc::gen::inRange(0, 10) == 0 ? *anyJson(2) : spec;
}

/// Bytes changed, cut off or added.
std::string damage(std::string text)
{
    switch (*rc::gen::inRange(0, 3)) {
    case 0:
        return text.substr(0, *rc::gen::inRange<std::size_t>(0, text.size()));
    case 1:
        text[*rc::gen::inRange<std::size_t>(0, text.size())] = static_cast<char>(*rc::gen::inRange(0, 256));
        return text;
    default:
        return text + *rc::gen::element<std::string>("x", "{}", "\0", "]", "1", "\xff");
    }
}

/// A replica with one resource of most kinds.
std::unique_ptr<ConfigReplica> furnished()
{
    auto replica = ConfigReplica::make();
    LogOffset offset = 0;
    for (const Kind kind : allKinds) {
        Change change = putCustomer("c" + std::to_string(offset), nameFor(kind), 1, 0);
        change.kind = kind;
        change.spec = canonical(kind, goodSpec(kind)).value();
        replica->apply({ { ++offset, encodeChange(change) } });
    }
    return replica;
}

Change putOf(Kind kind, const std::string& name, const json& spec, LogOffset expected = 0)
{
    Change change = putCustomer("x-" + name, name, 1, expected);
    change.kind = kind;
    change.spec = spec;
    return change;
}

} // namespace

TEST_CASE("A wrong field is refused with its path and a remedy")
{
    const std::vector<BadField> table {
        { Kind::Customer, "weight", 0 },
        { Kind::Customer, "weight", -1 },
        { Kind::Customer, "weight", "2" },
        { Kind::Customer, "weight", std::numeric_limits<double>::quiet_NaN() },
        { Kind::Customer, "weight", std::numeric_limits<double>::infinity() },
        { Kind::Customer, "maxQueued", 1.0 },
        { Kind::Customer, "maxQueued", -1 },
        { Kind::Customer, "maxQueued", std::numeric_limits<std::uint64_t>::max() },
        { Kind::Customer, "key", "short" },
        { Kind::Customer, "key", 5 },

        { Kind::Customer, "wieght", 1 },
        { Kind::Service, "mode", "Engine" },
        { Kind::Service, "pool", std::string(64, 'p') },
        { Kind::Service, "pool", "Upper" },
        { Kind::Service, "repeatable", 1 },
        { Kind::Target, "address", "localhost:80" },
        { Kind::Target, "address", "10.0.0.1" },
        { Kind::Target, "address", "10.0.0.1:0" },
        { Kind::Target, "address", "10.0.0.1:65536" },
        { Kind::Target, "address", "10.0.0.256:80" },
        { Kind::Target, "address", "fd00::7:80" },
        { Kind::Target, "zone", ".a" },
        { Kind::Target, "slots", 0 },
        { Kind::Target, "model", "two words" },
        { Kind::Target, "model", std::string(129, 'm') },
        { Kind::Fleet, "retryBudget", 1.5 },
        { Kind::Vm, "drain", nullptr },
        { Kind::Vm, "state", "x" },
    };
    for (const BadField& bad : table) {
        json spec = goodSpec(bad.kind);
        spec[bad.field] = bad.value;
        const auto result = canonical(bad.kind, spec);
        INFO(bad.field << " = " << bad.value.dump(-1, ' ', false, json::error_handler_t::replace));
        REQUIRE(errorKind(result.status()) == ErrorKind::BadRequest);
        CHECK(std::string(result.status().message()).find("spec." + bad.field) != std::string::npos);
        CHECK_FALSE(errorRemedy(result.status()).empty());
    }
    CHECK_FALSE(canonical(Kind::Service, json::object()).ok());
    CHECK_FALSE(canonical(Kind::Customer, { { "keyId", "0123456789ab" } }).ok());
    CHECK_FALSE(canonical(Kind::Customer, { { "key", "a-random-key-0123" }, { "keyId", "0123456789ab" } }).ok());
    CHECK_FALSE(canonicalSpec(Kind::Vm, "A", goodSpec(Kind::Vm), testSalt).ok());
    CHECK_FALSE(canonicalSpec(Kind::Fleet, "other", goodSpec(Kind::Fleet), testSalt).ok());
    CHECK(canonical(Kind::Target, { { "pool", "llm" }, { "zone", "z" }, { "address", "[fd00::7]:80" } }).ok());
}

TEST_CASE("Hostile specs never crash, and what is accepted is canonical and known")
{
    REQUIRE(rc::check("spec", [] {
        const Kind kind = *rc::gen::elementOf(std::vector<Kind>(allKinds.begin(), allKinds.end()));
        const auto spec = canonical(kind, spoil(kind));
        if (!spec.ok()) {
            RC_ASSERT(errorKind(spec.status()) == ErrorKind::BadRequest);
            return;
        }
        RC_ASSERT(canonical(kind, *spec).value() == *spec);
        std::set<std::string> known { "keyId", "keySalt", "keyDigest" };
        for (const auto& line : explain(kind))
            known.insert(line.name);
        for (const auto& [name, value] : spec->items())
            RC_ASSERT(known.contains(name));
        RC_ASSERT(!spec->contains("key"));
    }));
}

TEST_CASE("A damaged record is invalid at every reader, and changes nothing")
{
    REQUIRE(rc::check("record", [] {
        const std::string good = encodeChange(putCustomer("c1", "tellers", 1, 0));
        const std::string bad = damage(good);
        RC_PRE(bad != good);
        const auto replica = ConfigReplica::make();
        const auto applied = replica->apply({ { 1, bad } });
        RC_ASSERT(replica->offset() == 1U);
        // A changed byte inside a text can leave a good record; cut off or added bytes cannot.
        if (bad.size() != good.size())
            RC_ASSERT(applied.at(0).verdict == Verdict::Invalid);
        const bool isAccepted = !applied.empty() && applied[0].verdict == Verdict::Accepted;
        RC_ASSERT(replica->list(Kind::Customer).empty() == !isAccepted);
    }));
    auto record = json::parse(encodeChange(putCustomer("c1", "tellers", 1, 0)));
    record["more"] = 1;
    CHECK(ConfigReplica::make()->apply({ { 1, record.dump() } }).at(0).verdict == Verdict::Invalid);
}

TEST_CASE("A damaged snapshot is refused whole, or is a whole one")
{
    const std::string good = furnished()->snapshot();
    REQUIRE(rc::check("snapshot", [&] {
        const std::string bad = damage(good);
        RC_PRE(bad != good);
        const auto replica = ConfigReplica::make();
        const auto isAdopted = replica->adopt(bad);
        if (bad.size() != good.size())
            RC_ASSERT(errorKind(isAdopted.status()) == ErrorKind::BadRequest);
        if (!isAdopted.ok())
            RC_ASSERT(replica->offset() == 0U);
        else
            RC_ASSERT(ConfigReplica::make()->adopt(replica->snapshot()).ok());
    }));
    for (const char* name : { "resources", "changes", "audit" }) {
        auto twice = json::parse(good);
        twice[name].push_back(twice[name].back());
        CHECK_FALSE(ConfigReplica::make()->adopt(twice.dump()).ok());
    }
    auto more = json::parse(good);
    more["more"] = 1;
    CHECK_FALSE(ConfigReplica::make()->adopt(more.dump()).ok());
    CHECK(*ConfigReplica::make()->adopt(good));
}

TEST_CASE("What others refer to stays, and modes of a pool agree")
{
    // Symptom: every request of a service is refused after a clean-up. Sequence: the last target of its pool is deleted
    // or moved. Cause: a reference that nobody checks.
    const auto replica = furnished();
    Change remove = putOf(Kind::Target, "thing", nullptr, 3);
    remove.spec.reset();
    CHECK(std::string(replica->tryOut(remove).message()).find("service/thing") != std::string::npos);
    json spec = goodSpec(Kind::Target);
    spec["pool"] = "other";
    CHECK(errorKind(replica->tryOut(putOf(Kind::Target, "thing", spec, 3))) == ErrorKind::Conflict);
    CHECK(errorKind(replica->tryOut(putOf(Kind::Target, "second", goodSpec(Kind::Target))))
        == ErrorKind::Conflict); // Same address.
    spec = { { "pool", "llm" }, { "zone", "z" }, { "address", "10.0.0.2:1" }, { "mode", "application" } };
    CHECK(errorKind(replica->tryOut(putOf(Kind::Target, "second", spec))) == ErrorKind::Conflict);
    CHECK(errorKind(replica->tryOut(putOf(Kind::Service, "second", { { "pool", "llm" }, { "mode", "application" } })))
        == ErrorKind::Conflict);
    spec["mode"] = "engine";
    replica->apply({ { 6, encodeChange(putOf(Kind::Target, "second", spec)) } });
    CHECK(replica->tryOut(remove).ok());
}

TEST_CASE("A key is found by its digest, stays when it is left out, and belongs to one customer")
{
    const auto replica = furnished();
    const auto view = replica->view();
    REQUIRE(view->customerByKey("a-random-key-0123"));
    CHECK(view->customerByKey("a-random-key-0123")->name.value == "thing");
    CHECK_FALSE(view->customerByKey("a-random-key-0124"));
    ConfigView byHand;
    byHand.customers = view->customers;
    CHECK(byHand.customerByKey("a-random-key-0123"));
    replica->apply({ { 6, encodeChange(putOf(Kind::Customer, "thing", { { "weight", 7 } }, 1)) } });
    REQUIRE(replica->view()->customerByKey("a-random-key-0123"));
    CHECK(replica->view()->customerByKey("a-random-key-0123")->weight == 7);
    CHECK(errorKind(replica->tryOut(putOf(Kind::Customer, "new", { { "weight", 7 } }))) == ErrorKind::BadRequest);
    const json same
        = canonicalSpec(Kind::Customer, "new", { { "key", "a-random-key-0123" } }, "abcdefabcdefabcdef").value();
    CHECK(errorKind(replica->tryOut(putOf(Kind::Customer, "new", same))) == ErrorKind::Conflict);
}
