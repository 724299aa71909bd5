// Transcripts of complete scenarios, event by event and action by action, compared with the files in tests/golden. The
// files show the effect of a change in the decisions. Rewrite them with SAGECHUTE_WRITE_GOLDEN=1 and review them before
// committing.

#include "RoutingFleets.h"

using namespace sagechute;
using namespace sagechute::testing;
using namespace std::chrono_literals;

namespace {

void requireGolden(FleetFake& fleet, const std::string& name)
{
    requireNoViolations(fleet);
    std::string difference;
    const bool same = matchesGolden("routing-" + name + ".txt", fleet.transcript(), difference);
    INFO(difference);
    REQUIRE(same);
}

struct GoldenRun {
    explicit GoldenRun(std::size_t routers = 3)
        : fleet(oneCellFleet({ .routers = routers }))
        , owner(fleet->ownerOf("model"))
        , holder(routerOtherThan(*fleet, { owner }))
    {
        fleet->startTranscript();
    }

    std::unique_ptr<FleetFake> fleet;
    std::size_t owner;
    std::size_t holder;
};

Send posting(const std::string& session, std::uint64_t sequence)
{
    Send send;
    send.customer = "tellers";
    send.service = "posting";
    send.session = session;
    send.sequence = sequence;
    return send;
}

} // namespace

TEST_CASE("golden: a streamed answer that breaks once")
{
    GoldenRun run;
    run.fleet->target("worker-1").faults = { Fault::BreakStream };
    run.fleet->target("worker-2").faults = { Fault::BreakStream };
    run.fleet->send(run.holder, { .customer = "tellers", .cost = 200ms, .streamed = true });
    run.fleet->run(1s);
    requireGolden(*run.fleet, "streamed-answer");
}

TEST_CASE("golden: refusals")
{
    GoldenRun run;
    run.fleet->send(run.holder, { .customer = "tellers", .service = "unheard-of" });
    for (int n = 0; n < 7; ++n)
        run.fleet->send(run.owner, { .customer = "batch", .cost = 400ms });
    Send hurried { .customer = "tellers" };
    hurried.deadline = 100ms;
    run.fleet->send(run.holder, hurried);
    run.fleet->run(1s);
    requireGolden(*run.fleet, "refusals");
}

TEST_CASE("golden: a resend after a lost reply")
{
    GoldenRun run;
    const std::string name = run.fleet->session(run.holder);
    run.fleet->send(run.holder, posting(name, 1));
    run.fleet->run(300ms);
    run.fleet->note("the reply is lost; the caller sends again, to another router");
    run.fleet->send(run.owner, posting(name, 1));
    run.fleet->run(300ms);
    run.fleet->note("the same while it runs");
    run.fleet->send(run.holder, posting(name, 2));
    run.fleet->run(20ms);
    run.fleet->send(run.owner, posting(name, 2));
    run.fleet->run(300ms);
    requireGolden(*run.fleet, "resend-after-lost-reply");
}

TEST_CASE("golden: the owner crashes with work waiting")
{
    GoldenRun run;
    for (int n = 0; n < 9; ++n)
        run.fleet->send(run.holder, { "tellers" });
    run.fleet->run(50ms);
    run.fleet->crash(run.owner);
    run.fleet->run(6s);
    run.fleet->restart(run.owner);
    run.fleet->run(3s);
    run.fleet->send(run.holder, { "tellers" });
    run.fleet->run(1s);
    requireGolden(*run.fleet, "owner-crash");
}

TEST_CASE("golden: a partition and the rejoin")
{
    GoldenRun run;
    for (int n = 0; n < 8; ++n)
        run.fleet->send(run.owner, { .customer = "tellers", .cost = 2s });
    run.fleet->run(20ms);
    run.fleet->isolate(run.owner);
    run.fleet->setLogReachable(run.owner, false);
    run.fleet->send(run.holder, { "batch" });
    run.fleet->run(5s);
    run.fleet->send(run.owner, { "tellers" });
    run.fleet->send(run.holder, { "batch" });
    run.fleet->run(1s);
    run.fleet->isolate(run.owner, false);
    run.fleet->setLogReachable(run.owner, true);
    run.fleet->run(15s);
    run.fleet->send(run.owner, { "tellers" });
    run.fleet->send(run.holder, { "batch" });
    run.fleet->run(1s);
    requireGolden(*run.fleet, "partition-and-rejoin");
}

TEST_CASE("golden: crossed answers")
{
    GoldenRun run;
    for (const std::string target : { "worker-1", "worker-2", "posting-1", "posting-2" })
        run.fleet->target(target).faults = { Fault::Crossed };
    run.fleet->send(run.holder, { "tellers" });
    run.fleet->send(run.holder, { .customer = "tellers", .service = "posting" });
    run.fleet->run(3s);
    requireGolden(*run.fleet, "crossed-answer");
}

TEST_CASE("golden: a stale connection")
{
    GoldenRun run;
    for (const std::string target : { "worker-1", "worker-2", "posting-1", "posting-2" })
        run.fleet->target(target).faults = { Fault::Stale };
    run.fleet->send(run.holder, { "tellers" });
    run.fleet->send(run.holder, { .customer = "tellers", .service = "posting" });
    run.fleet->run(3s);
    requireGolden(*run.fleet, "stale-connection");
}

TEST_CASE("golden: a planned stop under load")
{
    GoldenRun run;
    const std::string name = run.fleet->session(run.owner);
    run.fleet->send(run.owner, posting(name, 1));
    for (int n = 0; n < 8; ++n)
        run.fleet->send(run.holder, { "tellers" });
    run.fleet->send(run.owner, { .customer = "batch", .cost = 8s, .streamed = true });
    run.fleet->run(50ms);
    run.fleet->stop(run.owner);
    run.fleet->run(3s);
    run.fleet->note("a caller with an old answer to which address");
    run.fleet->send(run.owner, { "tellers" });
    run.fleet->run(10s);
    run.fleet->note("a resend after the stop");
    run.fleet->send(run.holder, posting(name, 1));
    run.fleet->run(1s);
    requireGolden(*run.fleet, "planned-stop");
}

TEST_CASE("golden: a target leaves")
{
    GoldenRun run;
    for (int n = 0; n < 9; ++n)
        run.fleet->send(run.holder, { .customer = "tellers", .cost = 150ms });
    run.fleet->run(50ms);
    run.fleet->declareTarget("worker-1", "model", 2, true);
    run.fleet->run(2s);
    run.fleet->note("it is empty");
    for (int n = 0; n < 4; ++n)
        run.fleet->send(run.holder, { "tellers" });
    run.fleet->run(1s);
    requireGolden(*run.fleet, "leaving-target");
}
