#pragma once

#include "Simulation.h"

#include <LibCore/Random.h>
#include <LibPolicy/Permit.h>

#include <functional>
#include <map>
#include <string>

namespace PolicyBench {

struct BackendModel {
    std::uint32_t slots { 2 };
    Core::Duration meanService { std::chrono::milliseconds(10) };
    /// Latency of a fully cold server relative to a warm one; 1 when latency does not show that it is cold.
    double coldLatency { 4 };
    /// Requests that a cold server must serve until it bears all its slots.
    std::uint32_t requestsToWarm { 60 };
    /// Requests above what a cold server bears, within 200 ms, after which it collapses.
    std::uint32_t excessToCollapse { 8 };
    Core::Duration downTime { std::chrono::seconds(2) };
};

/// How one request ended at a backend server.
struct JobEnd {
    Policy::AttemptOutcome outcome { Policy::AttemptOutcome::Answered };
    bool unreachable { false };
};

/// An emulated backend server. What it bears grows from one request to its slots while it warms up; more is shed, and
/// too much makes it collapse and return cold.
class Backend {
public:
    using Done = std::function<void(JobEnd)>;

    Backend(Simulation&, BackendModel const&, std::string name, std::uint64_t seed);

    /// Starts a request; returns its number for `cancel`.
    std::uint64_t start(bool crashes, Done done);
    void cancel(std::uint64_t job);

    void crash();
    /// Loses the warm state without any notice.
    void becomeCold() { served_ = 0; }
    void becomeWarm() { served_ = model_.requestsToWarm; }
    void slowDown(double factor, Core::TimePoint until);
    /// Part of the requests that are shed at random.
    void setShedRate(double rate) { shedRate_ = rate; }

    std::uint32_t bearable() const;
    bool isDown() const { return down_; }
    std::string const& name() const { return name_; }
    std::uint64_t incarnation() const { return incarnation_; }
    std::uint32_t slots() const { return model_.slots; }
    /// Called when the server has come back after a crash.
    std::function<void()> onReturn;
    std::function<void()> onLost;

    struct Counts {
        /// Requests that arrived.
        std::uint64_t arrived { 0 };
        /// Requests that arrived above what the server bore.
        std::uint64_t exceeded { 0 };
        /// Highest load relative to what the server bore.
        double peakRatio { 0 };
        std::uint64_t crashes { 0 };
        std::uint64_t collapses { 0 };
    };
    Counts counts;

private:
    struct Job {
        Done done;
    };

    Core::Duration serviceTime();
    void finish(std::uint64_t job, JobEnd end);
    void noteExcess();

    Simulation& simulation_;
    BackendModel model_;
    std::string name_;
    Core::Random random_;
    std::map<std::uint64_t, Job> jobs_;
    std::uint64_t lastJob_ { 0 };
    std::uint32_t served_ { 0 };
    double slow_ { 1 };
    Core::TimePoint slowUntil_;
    double shedRate_ { 0 };
    bool down_ { false };
    std::uint64_t incarnation_ { 1 };
    std::uint32_t excess_ { 0 };
    Core::TimePoint excessSince_;
};

} // namespace PolicyBench
