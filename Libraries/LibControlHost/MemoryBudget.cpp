#include <LibControlHost/MemoryBudget.h>

namespace ControlHost {

namespace {

    constexpr std::uint64_t snapshotIntervalEntries = 2'000;
    constexpr std::uint64_t retainedEntries = 500;

} // namespace

MemoryBudget divideMemory(std::uint64_t memoryBytes)
{
    return {
        .change = memoryBytes / 48,
        .requests = memoryBytes / 8,
        .answers = memoryBytes / 16,
        .items = memoryBytes / 16,
        .uncommitted = memoryBytes / 16,
        .snapshotInterval = memoryBytes / 16,
        .retained = memoryBytes / 32,
        .log = memoryBytes / 4,
        .peerMessages = memoryBytes / 64,
        .viewUpdates = memoryBytes / 8,
    };
}

Consensus::Settings consensusSettings(Core::HostName const& identity, MemoryBudget const& memory)
{
    Consensus::Settings settings;
    settings.clusterId = { "fleet" };
    settings.host = identity;
    settings.snapshotInterval = snapshotIntervalEntries;
    settings.snapshotIntervalBytes = memory.snapshotInterval;
    settings.retainedEntries = retainedEntries;
    settings.retainedBytes = memory.retained;
    settings.maxUncommittedBytes = memory.uncommitted;
    settings.maxLogBytes = memory.log;
    return settings;
}

} // namespace ControlHost
