#include "Backend.h"

#include <algorithm>
#include <cmath>

namespace PolicyBench {

namespace {
    constexpr Core::Duration shedTime = std::chrono::microseconds(200);
    constexpr Core::Duration connectFailureTime = std::chrono::milliseconds(1);
    constexpr Core::Duration excessWindow = std::chrono::milliseconds(200);
    // A request that crashes its server does so after this part of the mean service time.
    constexpr std::int64_t crashTimeDivisor = 4;
    // Service time: a fixed part and an exponential part of the mean.
    constexpr double fixedPart = 0.6;
} // namespace

Backend::Backend(Simulation& simulation, BackendModel const& model, std::string name, std::uint64_t seed)
    : simulation_(simulation)
    , model_(model)
    , name_(std::move(name))
    , random_(seed)
{
}

std::uint64_t Backend::start(bool crashes, Done done)
{
    auto const job = ++lastJob_;
    if (down_) {
        simulation_.after(connectFailureTime, [done] { done({ Policy::AttemptOutcome::ConnectFailed }); });
        return job;
    }
    ++counts.arrived;
    auto const load = static_cast<double>(jobs_.size() + 1) / bearable();
    counts.peakRatio = std::max(counts.peakRatio, load);
    if (load > 1 || random_.unit() < shedRate_) {
        if (load > 1)
            noteExcess();
        simulation_.after(shedTime, [done] { done({ Policy::AttemptOutcome::Shed }); });
        return job;
    }
    jobs_.emplace(job, Job { std::move(done) });
    if (crashes)
        simulation_.after(model_.meanService / crashTimeDivisor, [this, job] {
            if (jobs_.contains(job))
                crash();
        });
    else
        simulation_.after(serviceTime(), [this, job] { finish(job, {}); });
    return job;
}

void Backend::cancel(std::uint64_t job) { jobs_.erase(job); }

void Backend::crash()
{
    down_ = true;
    ++counts.crashes;
    served_ = 0;
    auto const lost = std::move(jobs_);
    jobs_.clear();
    for (auto const& [number, job] : lost)
        job.done({ Policy::AttemptOutcome::ConnectionLost, true });
    if (onLost)
        onLost();
    simulation_.after(model_.downTime, [this] {
        down_ = false;
        ++incarnation_;
        if (onReturn)
            onReturn();
    });
}

void Backend::slowDown(double factor, Core::TimePoint until)
{
    slow_ = factor;
    slowUntil_ = until;
}

std::uint32_t Backend::bearable() const
{
    return 1 + (model_.slots - 1) * std::min(served_, model_.requestsToWarm) / model_.requestsToWarm;
}

Core::Duration Backend::serviceTime()
{
    auto const warmth
        = static_cast<double>(std::min(served_, model_.requestsToWarm)) / static_cast<double>(model_.requestsToWarm);
    auto factor = fixedPart - (1 - fixedPart) * std::log(1 - random_.unit());
    factor *= 1 + (model_.coldLatency - 1) * (1 - warmth);
    if (simulation_.now() < slowUntil_)
        factor *= slow_;
    return Core::Duration { static_cast<Core::Duration::rep>(
        factor * static_cast<double>(model_.meanService.count())) };
}

void Backend::finish(std::uint64_t job, JobEnd end)
{
    auto const found = jobs_.find(job);
    if (found == jobs_.end())
        return;
    auto const done = std::move(found->second.done);
    jobs_.erase(found);
    ++served_;
    done(end);
}

void Backend::noteExcess()
{
    ++counts.exceeded;
    // Only a cold server collapses; a warm one goes on shedding.
    if (bearable() == model_.slots)
        return;
    if (simulation_.now() - excessSince_ > excessWindow) {
        excessSince_ = simulation_.now();
        excess_ = 0;
    }
    if (++excess_ < model_.excessToCollapse)
        return;
    excess_ = 0;
    ++counts.collapses;
    crash();
}

} // namespace PolicyBench
