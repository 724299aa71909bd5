#include "FaultyLog.h"

using namespace sagechute;
using namespace sagechute::config;
using Fault = FaultyLog::Fault;

namespace {

/// Tells what a member is told, and what the log holds at the end.
class Transcript {
public:
    explicit Transcript(FaultyLog& log)
        : m_log(log)
    {
        log.onTaken = [this](const std::string& stream, const LogRecord& record) {
            const auto document = nlohmann::json::parse(record.data);
            m_out << "  log " << stream << "@" << record.offset << ": " << document["action"].get<std::string>() << " "
                  << document["name"].get<std::string>() << " expecting " << document["expected"] << " id "
                  << document["id"] << "\n";
        };
    }

    void submit(std::string_view who, Member& member, const Change& change)
    {
        m_out << who << " submits " << change.id << "\n";
        const absl::StatusOr<Applied> applied = member.writer->submit(change);
        if (applied.ok())
            m_out << "  told: " << toString(applied->verdict) << " at " << applied->offset << " " << applied->reason
                  << "\n";
        else
            m_out << "  told: " << applied.status().message() << " | " << errorRemedy(applied.status())
                  << (mayHaveBeenTaken(applied.status()) ? " (may have been taken)" : " (not taken)") << "\n";
    }

    void say(std::string_view text) { m_out << text << "\n"; }
    std::string text() const { return m_out.str(); }

private:
    FaultyLog& m_log;
    std::ostringstream m_out;
};

} // namespace

TEST_CASE("Golden: two operators race")
{
    // Symptom: one operator's weight is silently overwritten by another's. Sequence: both read version 1, both put.
    // Cause: a put that does not say what it was made from.
    FaultyLog log;
    Transcript transcript(log);
    Member kaito(log, {});
    Member anjali(log, {});
    transcript.submit("kaito", kaito, putCustomer("k1", "tellers", 1, 0));
    REQUIRE(anjali.follower->readToEnd().ok());
    transcript.submit("anjali", anjali, putCustomer("a1", "tellers", 5, 1));
    transcript.submit("kaito", kaito, putCustomer("k2", "tellers", 2, 1));
    transcript.say("kaito reads version 2 and sends again");
    transcript.submit("kaito", kaito, putCustomer("k3", "tellers", 2, 2));
    transcript.submit("anjali", anjali, deleteCustomer("a2", "tellers", 2));
    checkGolden("config-two-operators-race", transcript.text());
}

TEST_CASE("Golden: reply lost")
{
    // Symptom: a change is there twice, or its operator is told that it failed though it is in force.
    // Sequence: the append is taken and its reply lost; then one is taken late, after it was sent again.
    // Cause: sending again without looking, or telling a verdict from the reply alone.
    FaultyLog log;
    Transcript transcript(log);
    Member member(log, {});
    log.faults = { Fault::LostReply };
    transcript.submit("kaito", member, putCustomer("k1", "tellers", 1, 0));
    log.faults = { Fault::TakenLate };
    transcript.submit("kaito", member, putCustomer("k2", "tellers", 2, 1));
    transcript.say("the late record arrives");
    log.deliverLate();
    transcript.submit("kaito", member, putCustomer("k3", "tellers", 3, 2));
    transcript.say("kaito's tool sends k2 once more");
    transcript.submit("kaito", member, putCustomer("k2", "tellers", 2, 1));
    transcript.say("and uses the id for something else");
    transcript.submit("kaito", member, putCustomer("k2", "tellers", 9, 1));
    checkGolden("config-reply-lost", transcript.text());
}

TEST_CASE("In an outage the operator is told whether the change may have been taken, and how to find out")
{
    // Symptom: after "log unavailable" nobody knows whether to send again. Sequence: appends fail, some after they may
    // have been taken. Cause: one error for what is certain and what is not.
    FaultyLog log;
    Member member(log, {});
    log.faults = { Fault::NotSent, Fault::NotSent, Fault::NotSent };
    const auto untaken = member.writer->submit(putCustomer("k1", "tellers", 1, 0));
    CHECK_FALSE(mayHaveBeenTaken(untaken.status()));
    CHECK(std::string(untaken.status().message()).find("was not taken") != std::string::npos);
    log.faults = { Fault::NotSent, Fault::TakenLate, Fault::NotSent };
    const auto unclear = member.writer->submit(putCustomer("k2", "tellers", 1, 0));
    CHECK(errorKind(unclear.status()) == ErrorKind::LogUnavailable);
    CHECK(mayHaveBeenTaken(unclear.status()));
    CHECK(errorRemedy(unclear.status()).find("k2") != std::string::npos);
    log.deliverLate();
    REQUIRE(member.follower->readToEnd().ok());
    CHECK(member.replica->outcomeOf("k2")->verdict == Verdict::Accepted);
}

TEST_CASE("A plain key or an unfit id does not get into the log")
{
    FaultyLog log;
    Member member(log, {});
    Change change = putCustomer("k1", "tellers", 1, 0);
    change.spec = nlohmann::json::object({ { "key", "a-plain-random-key-0" } });
    CHECK(errorKind(member.writer->submit(change).status()) == ErrorKind::BadRequest);
    CHECK(encodeChange(change).find("a-plain-random-key-0") == std::string::npos);
    CHECK(
        errorKind(member.writer->submit(putCustomer("two words", "tellers", 1, 0)).status()) == ErrorKind::BadRequest);
    CHECK(log.end(configStream) == 0);
}

TEST_CASE("A log that was emptied between append and reading back is noticed")
{
    // Symptom: a change is reported as accepted that no reader will ever apply. Sequence: readers stand at 3, the log
    // starts anew, and a change gets offset 1. Cause: an offset taken for a verdict.
    FaultyLog log;
    Member member(log, {});
    for (int i = 0; i < 3; ++i)
        log.put(configStream, encodeChange(putCustomer("c" + std::to_string(i), "n" + std::to_string(i), 1, 0)));
    REQUIRE(member.follower->readToEnd().ok());
    FaultyLog emptied;
    const auto follower = LogFollower::make(emptied, *member.replica);
    const auto writer = ChangeWriter::make(emptied, *member.replica, [&] { return follower->readToEnd(); });
    const auto applied = writer->submit(putCustomer("k1", "tellers", 1, 0));
    CHECK_FALSE(applied.ok());
    CHECK(member.replica->offset() == 3);
}
