#pragma once

#include "Operations.h"
#include "Report.h"

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <atomic>
#include <mutex>

namespace LoadTool {

struct Plan {
    std::vector<Core::Endpoint> entryHosts;
    std::vector<Operation> operations;
    std::uint32_t connections { 16 };
    /// Requests per second over all connections; zero sends as fast as responses come.
    double rate { 0 };
    std::uint64_t maxRequests { 10'000 };
    Core::Duration maxTime { std::chrono::seconds(30) };
    std::uint64_t keys { 1'000 };
    std::uint64_t uploadBytes { 64UL * 1024 };
    /// Requests of this first part of the run are sent and checked, but not counted in throughput and latencies.
    Core::Duration warmUp { 0 };
    /// Each connection keeps to one entry host in place of choosing one for each send.
    bool isSticky { false };
    std::uint32_t maxSends { 5 };
    Core::Duration timeout { std::chrono::seconds(30) };
    /// Share of non-idempotent requests with an Idempotency-Key; those are resent when their outcome is unknown.
    double keyedShare { 0.5 };
    std::uint64_t seed { 1 };
    std::string runName { "run" };
};

/// Runs the load on one thread per connection and fills the report. Returns the seconds after the warm-up.
double runLoad(Plan const&, Report&);

} // namespace LoadTool
