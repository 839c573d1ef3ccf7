#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace LoadTool {

enum class Ending : std::uint8_t { Answered, NotRun, Unknown };

/// One request with all its resends.
struct RequestResult {
    std::string loadId;
    std::string operation;
    bool isIdempotent { true };
    Ending ending { Ending::Unknown };
    bool isWrong { false };
    /// Status of the last response, zero without one.
    int status { 0 };
    std::string reason;
    std::uint32_t latencyMicroseconds { 0 };
    bool isWarmUp { false };
};

struct Row {
    std::uint64_t sent { 0 };
    std::uint64_t answered { 0 };
    std::uint64_t notRun { 0 };
    std::uint64_t unknown { 0 };
    std::uint64_t runTwice { 0 };
    std::uint64_t wrong { 0 };
    /// Reported as not run although an emulator ran it, or answered although none did.
    std::uint64_t falseOutcome { 0 };
};

/// How often each load id ran, from the emulators' execution logs.
using RunCounts = std::unordered_map<std::string, std::uint32_t>;

/// Empty when a log cannot be read.
bool readExecutionLogs(std::span<std::string const> files, RunCounts&);

class Report {
public:
    void add(RequestResult);
    /// Compares the endings with what ran. Without execution logs only the responses are checked.
    void check(RunCounts const&);
    std::string table() const;
    /// Requests per second and latency percentiles of the answered requests.
    std::string latencies(double seconds) const;
    /// A promise was broken: a non-idempotent request ran twice, a response was wrong, or an outcome was false.
    bool hasBrokenPromise() const;

private:
    std::vector<RequestResult> results_;
    std::map<std::string, Row> rows_;
    std::map<std::string, std::uint64_t> reasons_;
};

} // namespace LoadTool
