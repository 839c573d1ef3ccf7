#include "UsageReporter.h"

namespace Daemon {

namespace {

    constexpr Core::Duration reportInterval = std::chrono::seconds(1);
    constexpr Core::Duration reportTimeout = std::chrono::seconds(5);
    constexpr std::size_t maxBatchesPerReport = 64;

} // namespace

struct UsageReporter::Round {
    std::vector<Telemetry::UsageBatchId> batches;
    std::size_t open { 0 };
    std::size_t stored { 0 };
};

UsageReporter::UsageReporter(Config::DaemonSettings const& settings, Rpc::EventLoop& loop,
    Rpc::Connections& connections, Telemetry::UsageAccount& usage)
    : settings_(settings)
    , loop_(loop)
    , connections_(connections)
    , usage_(usage)
{
    loop_.every(reportInterval, [this] { report(); });
}

void UsageReporter::report()
{
    auto const batches = usage_.unreportedBatches(maxBatchesPerReport);
    if (isRunning_ || batches.empty())
        return;
    isRunning_ = true;
    auto const round = std::make_shared<Round>();
    for (auto const& batch : batches)
        round->batches.push_back(batch.id);
    round->open = settings_.controlPeers.size();
    for (auto const& peer : settings_.controlPeers) {
        auto call = connections_.host(peer.rpc).reportUsageRequest();
        auto lines = call.initBatches(static_cast<unsigned>(batches.size()));
        for (unsigned index = 0; index < batches.size(); ++index)
            lines.set(index, Telemetry::formatUsageBatch(batches[index]));
        auto sent = Rpc::withTimeout(loop_, reportTimeout, call.send().ignoreResult());
        auto const endpoint = peer.rpc;
        loop_.detach(sent.then(
            [this, round] {
                ++round->stored;
                finish(*round);
            },
            [this, round, endpoint](kj::Exception&&) {
                connections_.drop(endpoint);
                finish(*round);
            }));
    }
}

void UsageReporter::finish(Round& round)
{
    if (--round.open > 0)
        return;
    isRunning_ = false;
    if (round.stored > settings_.controlPeers.size() / 2)
        usage_.confirmReported(round.batches);
}

} // namespace Daemon
