#include <LibConfig/DaemonSettings.h>
#include <LibConfig/IniDocument.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace Config;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view validText = R"([host]
name = c1
failure-domain = fd1
region = west
cluster = letters
roles = entry, control
data-directory = /var/lib/primroseshift

[listen]
rpc = 10.0.0.1:7000
caller = 10.0.0.1:8080
admin = 10.0.0.1:8081
operator = 10.0.0.1:8082

[control-peers]
c1 = 10.0.0.1:7000, fd1
c2 = 10.0.0.2:7000, fd2
c3 = 10.0.0.3:7000, fd3
)";

ConfigErrors errorsOf(std::string const& text)
{
    auto result = parseDaemonSettings(text, "test.ini");
    return result.isError() ? std::move(result).error() : ConfigErrors {};
}

/// The single error of the valid text with these lines appended.
ConfigError errorWith(std::string const& lines)
{
    auto errors = errorsOf(std::string(validText) + lines);
    BOOST_REQUIRE_EQUAL(errors.size(), 1U);
    return errors.front();
}

std::string replaced(std::string_view from, std::string_view to)
{
    std::string text(validText);
    return text.replace(text.find(from), from.size(), to);
}

template <typename Reason> bool hasReason(ConfigError const& error)
{
    return std::holds_alternative<Reason>(error.reason);
}

bool breaksRule(std::string const& text, CrossCheck rule)
{
    auto const errors = errorsOf(text);
    return std::ranges::any_of(errors, [&](auto const& error) {
        auto const* fault = std::get_if<Inconsistent>(&error.reason);
        return fault && fault->rule == rule;
    });
}

std::uint32_t const lineAfterValidText = static_cast<std::uint32_t>(std::ranges::count(validText, '\n')) + 1;

} // namespace

BOOST_AUTO_TEST_SUITE(Settings)

// Guards against keys that are accepted but stored in the wrong field or with the wrong unit.
BOOST_AUTO_TEST_CASE(ValuesReachTheirFields)
{
    auto const result = parseDaemonSettings(std::string(validText)
            + "[timing]\nview-lease = 2500ms\n[traffic]\nstream-buffer = 8KiB\n[log]\nlevel = warning\n",
        "test.ini");
    BOOST_REQUIRE(!result.isError());
    auto const& settings = result.value();
    BOOST_TEST(settings.host.name.value == "c1");
    BOOST_TEST((settings.host.isEntry && settings.host.isControl));
    BOOST_TEST(settings.listen.operatorApi->toString() == "10.0.0.1:8082");
    BOOST_TEST(settings.controlPeers.size() == 3U);
    BOOST_TEST(settings.controlPeers[2].failureDomain.value == "fd3");
    BOOST_TEST((settings.timing.viewLease == 2500ms));
    BOOST_TEST((settings.timing.grantTimeToLive == 1500ms));
    BOOST_TEST(settings.traffic.streamBufferBytes == 8192U);
    BOOST_TEST((settings.log.level == LogLevel::Warning));
}

// Guards against errors that lose their line, key or type.
BOOST_AUTO_TEST_CASE(EachErrorNamesLineKeyAndReason)
{
    auto const checkAt = [](ConfigError const& error, std::uint32_t line, std::string_view key) {
        BOOST_TEST(error.file == "test.ini");
        BOOST_TEST(error.line == line);
        BOOST_TEST(error.key == key);
    };
    auto const second = lineAfterValidText + 1;
    auto error = errorWith("[timing]\nnone = 1\n");
    checkAt(error, second, "none");
    BOOST_TEST(hasReason<UnknownKey>(error));
    error = errorWith("[timing]\nview-lease = 2\n");
    checkAt(error, second, "view-lease");
    BOOST_TEST(hasReason<BadUnit>(error));
    error = errorWith("[timing]\nview-lease = 1d\n");
    checkAt(error, second, "view-lease");
    BOOST_TEST(hasReason<OutOfRange>(error));
    error = errorWith("[log]\nlevel = loud\n");
    checkAt(error, second, "level");
    BOOST_TEST(hasReason<BadValue>(error));
    error = errorWith("[log]\nburst = 1\nburst = 2\n");
    checkAt(error, second + 1, "burst");
    BOOST_REQUIRE(hasReason<DuplicateKey>(error));
    BOOST_TEST(std::get<DuplicateKey>(error.reason).firstLine == second);
    error = errorWith("[none]\n");
    checkAt(error, lineAfterValidText, "");
    BOOST_TEST(hasReason<UnknownSection>(error));
    error = errorWith("[host]\n");
    BOOST_REQUIRE(hasReason<DuplicateSection>(error));
    BOOST_TEST(std::get<DuplicateSection>(error.reason).firstLine == 1U);
    error = errorWith("[timing\n");
    checkAt(error, lineAfterValidText, "");
    BOOST_TEST(hasReason<MalformedLine>(error));
    BOOST_TEST(hasReason<MalformedLine>(errorWith("[timing]\nno equals sign\n")));
    BOOST_TEST(hasReason<MalformedLine>(errorWith(std::string("[timing]\nview\0lease = 2s\n", 25))));
    BOOST_TEST(describe(errorWith("[timing]\nview-lease = 2\n"))
        == "test.ini:" + std::to_string(second)
            + ": [timing] view-lease: '2' is not a whole number with one of the units ns, us, ms, s, min, h, d");
}

// Guards against the packaged inih cutting long lines into two, and against an off-by-one in the bound.
BOOST_AUTO_TEST_CASE(OverlongLinesAreRejectedAndTheBoundIsExact)
{
    std::string const prefix = "file = /";
    auto const longest = prefix + std::string(maxLineBytes - prefix.size(), 'a');
    BOOST_TEST(errorsOf(std::string(validText) + "[log]\n" + longest + "\n").empty());
    auto const error = errorWith("[log]\n" + longest + "a\n");
    BOOST_TEST(error.line == lineAfterValidText + 1);
    BOOST_REQUIRE(hasReason<OverlongLine>(error));
    BOOST_TEST(std::get<OverlongLine>(error.reason).bytes == maxLineBytes + 1);
}

// Guards against reporting only the first error, which costs operators one attempt for each.
BOOST_AUTO_TEST_CASE(AllErrorsAreReportedTogetherInOrder)
{
    auto const errors = errorsOf("[host]\nroles = judge\nbad line\n[log]\nburst = x\n");
    BOOST_TEST(std::ranges::is_sorted(errors, {}, &ConfigError::line));
    BOOST_TEST(std::ranges::count_if(errors, hasReason<MissingKey>) == 6);
    BOOST_TEST(std::ranges::count_if(errors, hasReason<BadValue>) == 1);
    BOOST_TEST(std::ranges::count_if(errors, hasReason<BadUnit>) == 1);
    BOOST_TEST(std::ranges::count_if(errors, hasReason<MalformedLine>) == 1);
}

BOOST_AUTO_TEST_CASE(MissingFileIsAnErrorWithItsNumber)
{
    auto const result = loadDaemonSettings("/nonexistent/settings.ini");
    BOOST_REQUIRE(result.isError());
    BOOST_REQUIRE(hasReason<UnreadableFile>(result.error().front()));
    BOOST_TEST(std::get<UnreadableFile>(result.error().front().reason).errorNumber == ENOENT);
    BOOST_TEST(loadDaemonSettings("/").isError());
}

// Guards against combinations that break an invariant at run time: for each rule one text that breaks it.
BOOST_AUTO_TEST_CASE(CrossChecksRejectInconsistentValues)
{
    auto const timing = [](std::string const& lines) { return std::string(validText) + "[timing]\n" + lines; };
    BOOST_TEST(errorsOf(std::string(validText)).empty());
    BOOST_TEST(breaksRule(timing("view-lease = 1400ms\n"), CrossCheck::ViewLeaseOutlastsElection));
    BOOST_TEST(!breaksRule(timing("view-lease = 1401ms\n"), CrossCheck::ViewLeaseOutlastsElection));
    BOOST_TEST(breaksRule(timing("election-timeout-min = 800ms\n"), CrossCheck::ElectionTimeoutsInOrder));
    BOOST_TEST(breaksRule(timing("raft-heartbeat = 134ms\n"), CrossCheck::ElectionOutlastsRaftHeartbeat));
    BOOST_TEST(breaksRule(timing("heartbeat-interval = 700ms\n"), CrossCheck::HeartbeatsPerViewLease));
    BOOST_TEST(breaksRule(timing("announce-interval = 501ms\n"), CrossCheck::AnnouncementsPerGrant));
    BOOST_TEST(breaksRule(timing("guard-time = 501ms\n"), CrossCheck::GuardTimeWithinViewLease));
    BOOST_TEST(breaksRule(replaced("c3 = 10.0.0.3:7000, fd3\n", ""), CrossCheck::OddNumberOfVoters));
    BOOST_TEST(breaksRule(
        replaced("c1 = 10.0.0.1:7000, fd1\n", "c9 = 10.0.0.9:7000, fd1\n"), CrossCheck::OwnNameAmongControlPeers));
    BOOST_TEST(breaksRule(replaced("10.0.0.2:7000", "10.0.0.3:7000"), CrossCheck::DistinctControlPeers));
    BOOST_TEST(breaksRule(replaced("10.0.0.1:8081", "10.0.0.1:8080"), CrossCheck::DistinctListeners));
    BOOST_TEST(breaksRule(replaced("caller = 10.0.0.1:8080\n", ""), CrossCheck::EntryNeedsCallerListener));
    BOOST_TEST(breaksRule(replaced("admin = 10.0.0.1:8081\n", ""), CrossCheck::EntryNeedsAdminListener));
    BOOST_TEST(breaksRule(replaced("operator = 10.0.0.1:8082\n", ""), CrossCheck::ControlNeedsOperatorListener));
    BOOST_TEST(
        breaksRule(std::string(validText).substr(0, validText.find("[control-peers]")), CrossCheck::EnoughVoters));
    BOOST_TEST(breaksRule(
        std::string(validText) + "[traffic]\ntraffic-threads = 511\n", CrossCheck::ConnectionsWithinThreads));
    BOOST_TEST(
        breaksRule(std::string(validText) + "[dispatch]\nmax-queued-requests = 255\n", CrossCheck::LimitsInOrder));
}

// Guards against defaults outside their own range, and against a key that is missing in docs/configuration.md.
BOOST_AUTO_TEST_CASE(EveryDefaultIsAcceptedAndDocumented)
{
    auto const document = readFile(PRIMROSESHIFT_SOURCE_DIR "/docs/configuration.md");
    BOOST_REQUIRE(!document.isError());
    std::string text(validText);
    std::string section;
    for (auto const& reference : settingsReference()) {
        auto const row = "| `" + reference.key + "` | "
            + (reference.isRequired                  ? "required"
                    : reference.defaultValue.empty() ? "none"
                                                     : "`" + reference.defaultValue + "`")
            + " | " + reference.type + " | ";
        BOOST_TEST_INFO(reference.section + " " + row);
        BOOST_TEST((document.value().find(row) != std::string::npos));
        if (reference.defaultValue.empty())
            continue;
        if (section != reference.section)
            text += "[" + reference.section + "]\n";
        section = reference.section;
        text += reference.key + " = " + reference.defaultValue + "\n";
    }
    auto const errors = errorsOf(text);
    BOOST_TEST(errors.empty(), (errors.empty() ? "" : describe(errors.front())));
}

BOOST_AUTO_TEST_SUITE_END()
