#include <sagechute/Process.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <sstream>

#include <unistd.h>

using namespace sagechute;
using namespace sagechute::process;
using namespace std::chrono_literals;

namespace {

/// A program's settings of every kind.
struct Program {
    std::string listen = "127.0.0.1:1";
    std::string vm;
    std::string key;
    bool check = true;
    std::uint64_t slots = 4;
    double share = 0.5;
    Duration lease = 3s;
    Duration heartbeat = 1s;
    std::vector<std::string> seeds;
    std::vector<std::string> words;
    std::ostringstream out;
    std::ostringstream err;

    std::optional<int> read(const std::vector<std::string>& arguments,
        const std::vector<std::string>& environment = { "SAGECHUTE_VM_ID=a" })
    {
        Settings settings("program", "does something");
        settings.text("listen", listen, "address")
            .requiredText("vm-id", vm, "VM")
            .secret("admin-key", key, "key")
            .flag("check", check, "check")
            .count("slots", slots, 1, 100, "slots")
            .real("share", share, 0, 1, "share")
            .duration("lease", lease, 1ms, 1min, "lease")
            .duration("heartbeat", heartbeat, 1ms, 1min, "heartbeat")
            .list("seeds", seeds, "seeds")
            .positional("words", words, "words")
            .check([this] {
                return heartbeat < lease
                    ? absl::OkStatus()
                    : makeError(ErrorKind::BadRequest, "heartbeat isn't below lease", "raise --lease");
            });
        return settings.read(arguments, environment, out, err);
    }

    /// Reads arguments that are wrong. @return the message.
    std::string refusal(const std::vector<std::string>& arguments, const std::vector<std::string>& environment = {})
    {
        auto variables = environment;
        variables.emplace_back("SAGECHUTE_VM_ID=a");
        REQUIRE(read(arguments, variables) == exitUsage);
        REQUIRE(out.str().empty());
        return err.str();
    }
};

using Catch::Matchers::Contains;

} // namespace

TEST_CASE("a flag goes before its variable, and a variable before the default")
{
    Program program;
    REQUIRE_FALSE(program
                      .read({ "--check=no", "--slots", "7", "--seeds=a,b", "--seeds", "c", "one", "two" },
                          { "SAGECHUTE_VM_ID=vm-1", "SAGECHUTE_SLOTS=8", "SAGECHUTE_LEASE=30s", "SAGECHUTE_SHARE=0.25",
                              "SAGECHUTE_ADMIN_KEY=secret", "PATH=/bin" })
                      .has_value());
    CHECK(program.slots == 7);
    CHECK_FALSE(program.check);
    CHECK(program.seeds == std::vector<std::string> { "a", "b", "c" });
    CHECK(program.words == std::vector<std::string> { "one", "two" });
    CHECK(program.vm == "vm-1");
    CHECK(program.lease == 30s);
    CHECK(program.share == 0.25);
    CHECK(program.key == "secret");
    CHECK(program.listen == "127.0.0.1:1");
}

TEST_CASE("a setting that is wrong ends the program with a message that names it and the remedy")
{
    // Symptom: a fleet runs with a default that its operator believes to have changed.
    // Sequence: a flag or variable is misspelt or has a value out of range; the program starts all the same.
    // Cause: unknown names and bad values were ignored instead of refused.
    CHECK_THAT(Program().refusal({ "--slotz", "7" }), Contains("unknown flag --slotz") && Contains("--help"));
    CHECK_THAT(Program().refusal({ "--slot", "7" }), Contains("unknown flag --slot"));
    CHECK_THAT(Program().refusal({}, { "SAGECHUTE_SLOTZ=7" }),
        Contains("unknown variable SAGECHUTE_SLOTZ") && Contains("unset"));
    CHECK_THAT(Program().refusal({ "--slots", "101" }), Contains("--slots") && Contains("from 1 to 100"));
    CHECK_THAT(Program().refusal({ "--slots", "-1" }), Contains("--slots") && Contains("whole number"));
    CHECK_THAT(Program().refusal({ "--slots", "99999999999999999999999" }), Contains("from 1 to 100"));
    CHECK_THAT(
        Program().refusal({}, { "SAGECHUTE_SLOTS=7x" }), Contains("SAGECHUTE_SLOTS") && Contains("whole number"));
    CHECK_THAT(Program().refusal({ "--share", "nan" }), Contains("--share"));
    CHECK_THAT(Program().refusal({ "--lease", "3" }), Contains("--lease") && Contains("200ms"));
    CHECK_THAT(Program().refusal({ "--lease", "2m" }), Contains("from 1ms to 1m"));
    CHECK_THAT(Program().refusal({ "--check=perhaps" }), Contains("yes or no"));
    CHECK_THAT(Program().refusal({ "--slots", "7", "--slots", "8" }), Contains("2 times"));
    CHECK_THAT(Program().refusal({ "--slots" }), Contains("--slots"));
    CHECK_THAT(Program().refusal({ "--lease", "1s", "--heartbeat", "1s" }), Contains("raise --lease"));
}

TEST_CASE("a flag without a value leaves the next word alone")
{
    // Symptom: "--check FILE" says that FILE is neither yes nor no. Sequence: a switch is given before a positional
    // word. Cause: the parser takes the next word for the switch's value.
    Program program;
    program.check = false;
    REQUIRE_FALSE(program.read({ "--check", "file" }).has_value());
    CHECK(program.check);
    CHECK(program.words == std::vector<std::string> { "file" });
}

TEST_CASE("a required setting that is missing is named with its variable")
{
    Program program;
    REQUIRE(program.read({}, {}) == exitUsage);
    CHECK_THAT(program.err.str(), Contains("--vm-id VALUE") && Contains("SAGECHUTE_VM_ID"));
}

// Guards against a router that does not start in a deployment which lacks one of the values of the settings template.
TEST_CASE("an empty value in the settings file leaves the default of a setting that permits it")
{
    const std::string path = "SettingsTest." + std::to_string(getpid()) + ".settings";
    double share = 0.5;
    std::uint64_t slots = 4;
    const auto read = [&](const std::string& lines) {
        std::ofstream(path) << lines;
        Settings settings("program", "does something");
        settings.real("share", share, 0, 1, "share").emptyIsDefault().count("slots", slots, 1, 100, "slots");
        settings.fileVariable("SAGECHUTE_SETTINGS_FILE");
        std::ostringstream out;
        const auto code = settings.read({}, { "SAGECHUTE_SETTINGS_FILE=" + path }, out, out);
        std::remove(path.c_str());
        return code;
    };
    CHECK_FALSE(read("share=\nslots=5\n"));
    CHECK(share == 0.5);
    CHECK(slots == 5);
    CHECK_FALSE(read("share=0.25\n"));
    CHECK(share == 0.25);
    CHECK(read("slots=\n") == exitUsage);
    CHECK(read("share\n") == exitUsage);
}

TEST_CASE("a secret is neither taken as a flag nor printed")
{
    // Symptom: another user of the VM reads a key in the list of processes, or in a log.
    // Sequence: the key is given as a flag, or the settings are printed into the log.
    // Cause: secrets treated as any other setting.
    const std::string message = Program().refusal({ "--admin-key=hidden" });
    CHECK_THAT(message, Contains("SAGECHUTE_ADMIN_KEY") && !Contains("hidden"));

    Program program;
    REQUIRE(program.read({ "--print-settings" }, { "SAGECHUTE_VM_ID=a", "SAGECHUTE_ADMIN_KEY=hidden" }) == 0);
    CHECK_THAT(program.out.str(), !Contains("hidden") && Contains("admin-key=***") && Contains("lease=3s"));
}

TEST_CASE("help and version need no setting")
{
    Program help;
    REQUIRE(help.read({ "--help" }, {}) == 0);
    CHECK_THAT(
        help.out.str(), Contains("SAGECHUTE_SLOTS") && Contains("SAGECHUTE_ADMIN_KEY") && Contains("default: 3s"));
    Program program;
    REQUIRE(program.read({ "--version" }, {}) == 0);
    CHECK(program.out.str() == "program " + std::string(version()) + "\n");
}

TEST_CASE("durations read back as they are written")
{
    REQUIRE(rc::check("format and parse", [] {
        const Duration duration(*rc::gen::inRange<std::int64_t>(0, 10'000'000'000));
        RC_ASSERT(*parseDuration(formatDuration(duration)) == duration);
    }));
    CHECK(*parseDuration("250us") == 250us);
    CHECK(*parseDuration("5m") == 5min);
    CHECK(*parseDuration("0") == 0us);
    for (const char* text :
        { "", "5", "-1s", "1.5s", "s", "1 s", "1h", "9223372036854775807m", "99999999999999999999s" })
        CHECK_FALSE(parseDuration(text).ok());
}

TEST_CASE("an asked stop stays asked")
{
    // Symptom: a daemon goes on after SIGTERM. Sequence: one part waits and sees the signal, then another part waits.
    // Cause: the first reading consumed the signal.
    StopSignal stop;
    CHECK_FALSE(stop.wait(0s));
    REQUIRE(std::raise(SIGTERM) == 0);
    CHECK(stop.wait(0s));
    CHECK(stop.wait(0s));
}

TEST_CASE("metrics have a text form and usage is read")
{
    Metrics metrics;
    CHECK(metrics.exposition().empty());
    CHECK(usage().residentBytes > 0);
    CHECK(usage().processorTime > Duration::zero());
    CHECK(startLogging("program", "loud", {}, 0).code() == absl::StatusCode::kInvalidArgument);
}
