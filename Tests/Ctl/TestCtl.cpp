#include "../LibOperator/FakeService.h"
#include "../Support/TemporaryFolder.h"

#include <LibOperator/OperatorServer.h>
#include <LibTelemetry/SpanWriter.h>

#include <sys/wait.h>

#include <array>
#include <atomic>
#include <cstdio>

using namespace std::chrono_literals;

namespace {

struct RunResult {
    int exitCode { -1 };
    /// Standard output and standard error.
    std::string output;

    bool contains(std::string_view text) const { return output.find(text) != std::string::npos; }
};

/// Runs the built program, so that options, output and exit codes are tested as operators see them.
RunResult runCtl(std::string const& arguments)
{
    auto const command = "USER=ann " PRIMROSESHIFT_CTL " " + arguments + " 2>&1";
    auto* pipe = popen(command.c_str(), "r");
    BOOST_REQUIRE(pipe != nullptr);
    RunResult result;
    std::array<char, 4096> buffer {};
    for (auto bytes = fread(buffer.data(), 1, buffer.size(), pipe); bytes > 0;
         bytes = fread(buffer.data(), 1, buffer.size(), pipe))
        result.output.append(buffer.data(), bytes);
    auto const status = pclose(pipe);
    result.exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return result;
}

class Cluster {
public:
    Cluster()
    {
        auto started = Operator::OperatorServer::start({ .listen = { "127.0.0.1", 0 } }, service);
        BOOST_REQUIRE(!started.isError());
        server_ = std::move(started).value();
    }

    RunResult run(std::string const& arguments, std::string const& timeout = "20s") const
    {
        return runCtl(
            arguments + " --timeout " + timeout + " --entry-points 127.0.0.1:1," + server_->endpoint().toString());
    }

    FakeService service;

private:
    std::unique_ptr<Operator::OperatorServer> server_;
};

std::string writeFile(TemporaryFolder const& folder, std::string const& name, std::string const& text)
{
    std::ofstream(folder.file(name)) << text;
    return folder.file(name);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Ctl)

BOOST_AUTO_TEST_CASE(EverySubcommandHasHelpAndVersion)
{
    for (std::string const name : { "status", "pools", "routes", "backends", "domains", "owners", "history", "diff",
             "edit", "drain", "return", "quarantine", "usage", "check", "trace" }) {
        BOOST_TEST_CONTEXT(name)
        {
            BOOST_TEST(runCtl("--help").contains("\n  " + name));
            auto const help = runCtl(name + " --help");
            BOOST_TEST(help.exitCode == 0);
            BOOST_TEST(help.contains("primroseshiftctl " + name));
            auto const version = runCtl(name + " --version");
            BOOST_TEST((version.exitCode == 0 && version.contains("primroseshiftctl 0.")));
        }
    }
}

// Guards against scripts that take a usage error for a success.
BOOST_AUTO_TEST_CASE(UsageErrorsHaveTheirExitCode)
{
    for (std::string const arguments : { "", "none", "status --none", "status extra --entry-points 127.0.0.1:1",
             "status --entry-points host:80", "status", "owners --entry-points 127.0.0.1:1",
             "drain --entry-points 127.0.0.1:1", "drain --server a --domain b --entry-points 127.0.0.1:1",
             "usage --entry-points 127.0.0.1:1", "usage --from tomorrow --entry-points 127.0.0.1:1",
             "diff 1 x --entry-points 127.0.0.1:1", "status --timeout 5 --entry-points 127.0.0.1:1", "check settings",
             "trace 00 file", "quarantine lift x --entry-points 127.0.0.1:1" }) {
        auto const result = runCtl(arguments);
        BOOST_TEST(result.exitCode == 2, arguments << ": " << result.output);
    }
    BOOST_TEST(runCtl("status --timeout 50ms --entry-points 127.0.0.1:1").exitCode == 6);
}

BOOST_AUTO_TEST_CASE(ResponsesAreShownAsTablesAndJson)
{
    Cluster cluster;
    BOOST_TEST(cluster.run("status").contains("cluster letters, answered by c1"));
    BOOST_TEST(cluster.run("status --json").contains("\"cluster\":\"letters\""));
    BOOST_TEST(cluster.run("pools").contains("a     any-server"));
    BOOST_TEST(cluster.run("domains").contains("fd1     in-service"));
    BOOST_TEST(cluster.run("owners a --key k").exitCode == 0);
    BOOST_TEST(cluster.run("drain --domain fd1").contains("s1 is draining"));
    BOOST_TEST(cluster.run("return --server s1").exitCode == 0);
    for (std::string const name : { "routes", "backends", "history", "quarantine", "diff 1 2" })
        BOOST_TEST(cluster.run(name).exitCode == 0);
    auto const usage = cluster.run("usage --from 2026-12-01 --to 2026-12-04T01:30Z --by pool --format csv");
    BOOST_TEST(usage.contains("POOL,ROUTE,CALLER,REQUESTS"));
    BOOST_TEST(usage.contains("a,,,3,3,0,0,0,0,0.000,0,0\r\n"));
    BOOST_TEST(cluster.service.lastUsage().from == 1'796'083'200'000);
    BOOST_TEST(cluster.service.lastUsage().to == 1'796'347'800'000);
}

// Guards against an edit that overwrites one made after the document was fetched.
BOOST_AUTO_TEST_CASE(EditsAreBasedOnTheFetchedRevision)
{
    Cluster const cluster;
    TemporaryFolder const folder;
    auto const shown = cluster.run("edit show");
    BOOST_TEST(shown.output == "# base revision: 5\n");
    auto const file = writeFile(folder, "tables.ini", shown.output + "[pool a]\n[route r]\npool = a\n");
    auto const applied = cluster.run("edit apply " + file + " --wait");
    BOOST_TEST(applied.exitCode == 0);
    BOOST_TEST(applied.contains("revision 6 accepted\nrevision 6 is in effect everywhere"));
    auto const conflict = cluster.run("edit apply " + file);
    BOOST_TEST(conflict.exitCode == 4);
    BOOST_TEST(conflict.contains("the current one, 6"));
    auto const withoutBase = writeFile(folder, "no-base.ini", "[pool a]\n");
    BOOST_TEST(cluster.run("edit apply " + withoutBase).exitCode == 2);
    BOOST_TEST(cluster.run("edit apply " + withoutBase + " --base 5").exitCode == 4);
    BOOST_TEST(cluster.run("edit apply " + withoutBase + " --base current --json").contains("\"revision\":7"));
    BOOST_TEST(cluster.run("edit show").contains("# base revision: 7\n[pool a]"));
    auto const faulty = writeFile(folder, "faulty.ini", "[pool a]\nkind = x\n[route r]\n");
    auto const invalid = cluster.run("edit apply " + faulty + " --base 7");
    BOOST_TEST(invalid.exitCode == 3);
    BOOST_TEST(invalid.contains("faulty.ini:2: [pool a] kind: "));
    BOOST_TEST(invalid.contains("faulty.ini:3: [route r] pool: required key is missing"));
}

// Guards against an operator who cannot tell whether an edit was applied.
BOOST_AUTO_TEST_CASE(RepeatedEditIdGivesTheFirstOutcome)
{
    Cluster cluster;
    TemporaryFolder const folder;
    auto const file = writeFile(folder, "tables.ini", "[pool a]\n");
    std::atomic<bool> losesResponses { true };
    cluster.service.beforeRequest = [&]() -> std::optional<Operator::OperatorError> {
        return losesResponses ? std::optional<Operator::OperatorError>(Operator::Timeout { 1s }) : std::nullopt;
    };
    auto const open = cluster.run("edit apply " + file + " --base 5 --id e-1", "2s");
    BOOST_TEST(open.exitCode == 7);
    BOOST_TEST(open.contains("--id e-1"));
    losesResponses = false;
    auto const repeated = cluster.run("edit apply " + file + " --base 5 --id e-1");
    BOOST_TEST(repeated.exitCode == 0);
    BOOST_TEST(repeated.contains("revision 6 accepted by an earlier submission"));
}

BOOST_AUTO_TEST_CASE(DocumentsAreCheckedOffline)
{
    TemporaryFolder const folder;
    auto const tables = writeFile(folder, "tables.ini", "[pool a]\n");
    BOOST_TEST(runCtl("check tables " + tables).exitCode == 0);
    auto const settings = runCtl("check settings " + tables);
    BOOST_TEST(settings.exitCode == 3);
    BOOST_TEST(settings.contains("tables.ini:1: [pool a] unknown section"));
    BOOST_TEST(settings.contains("[host] name: required key is missing"));
    BOOST_TEST(runCtl("check --reference").contains("| `view-lease` | `2s` | duration |"));
}

// Guards against spans that are shown under the wrong parent, and against loops in faulty files.
BOOST_AUTO_TEST_CASE(TraceIsPrintedAsATree)
{
    TemporaryFolder const folder;
    auto const line = [](std::uint64_t id, std::uint64_t parent, std::string name, std::int64_t start) {
        Telemetry::Span span { .context = { { 1, 2 }, id, true }, .parentSpanId = parent, .name = std::move(name) };
        span.startNanoseconds = start;
        span.endNanoseconds = start + 5000;
        return Telemetry::formatOtlpLine(span, "primroseshift", "e1") + "\n";
    };
    auto const first = writeFile(folder, "a.jsonl", line(2, 1, "attempt", 2000) + line(1, 99, "request", 1000));
    auto const second = writeFile(folder, "b.jsonl", line(3, 2, "serve", 3000) + line(4, 1, "late", 9000));
    std::string const id = "00000000000000010000000000000002";
    auto const result = runCtl("trace " + id + " " + first + " " + second);
    BOOST_TEST(result.exitCode == 0);
    BOOST_TEST(result.output
        == "request  e1  +0us  5us\n  attempt  e1  +1us  5us\n    serve  e1  +2us  5us\n  late  e1  +8us  5us\n");
    BOOST_TEST(runCtl("trace 00000000000000010000000000000003 " + first).exitCode == 5);
    auto const loop = writeFile(folder, "loop.jsonl", line(5, 6, "x", 1) + line(6, 5, "y", 2) + line(7, 0, "z", 3));
    auto const looped = runCtl("trace " + id + " " + loop);
    BOOST_TEST(looped.contains("2 spans name each other as parents"));
}

BOOST_AUTO_TEST_SUITE_END()
